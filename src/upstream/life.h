#pragma once

#include "pistachiospur/types.h"

// Upstreams that announce themselves in the store, as lives: each start of an upstream is a new one, even under the
// name that it had before.
namespace pistachiospur {

// Unix time in ms of an upstream's start.
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
    unsigned slots = 1; // requests that it runs at once
    bool draining = false; // it leaves: no new work
    Millis warmUpLeft {}; // how much longer it is slow after its start

    friend bool operator==(const UpstreamLife& a, const UpstreamLife& b)
    {
        return std::tie(a.id, a.service, a.endpoint, a.dataCentre, a.slots, a.draining)
            == std::tie(b.id, b.service, b.endpoint, b.dataCentre, b.slots, b.draining);
    }
};

} // namespace pistachiospur
