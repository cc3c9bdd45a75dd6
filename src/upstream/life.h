#pragma once

#include "pistachiospur/types.h"

// Upstreams that register themselves in the store. Each start of an upstream's process is a separate instance, even
// when it uses the same name as before.
namespace pistachiospur {

// Start of an upstream's process, as Unix time in ms.
using BornAt = Strong<struct BornAtTag, std::int64_t>;

struct LifeId {
    UpstreamName name;
    BornAt born;

    friend bool operator==(const LifeId& a, const LifeId& b) { return a.born == b.born && a.name == b.name; }
    friend bool operator!=(const LifeId& a, const LifeId& b) { return !(a == b); }
    friend bool operator<(const LifeId& a, const LifeId& b)
    {
        return std::tie(a.name, a.born) < std::tie(b.name, b.born);
    }
};

struct UpstreamLife {
    LifeId id;
    ServiceName service;
    Endpoint endpoint;
    DataCentreName dataCentre;
    unsigned slots = 1; // requests that the upstream runs concurrently
    bool draining = false; // the upstream is shutting down and must not get new requests
    Millis warmUpLeft {}; // remaining time in which the upstream is slow after its start; not part of equality

    friend bool operator==(const UpstreamLife& a, const UpstreamLife& b)
    {
        return std::tie(a.id, a.service, a.endpoint, a.dataCentre, a.slots, a.draining)
            == std::tie(b.id, b.service, b.endpoint, b.dataCentre, b.slots, b.draining);
    }
};

} // namespace pistachiospur
