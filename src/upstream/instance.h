#pragma once

#include "pistachiospur/types.h"

// Upstreams that register themselves in the store. Each start of an upstream's process is a separate instance, even
// when it uses the same name as before.
namespace pistachiospur {

// Start of an upstream's process, as Unix time in ms.
using StartTime = Strong<struct StartTimeTag, std::int64_t>;

struct InstanceId {
    UpstreamName name;
    StartTime startTime;

    friend bool operator==(const InstanceId& a, const InstanceId& b)
    {
        return a.startTime == b.startTime && a.name == b.name;
    }
    friend bool operator!=(const InstanceId& a, const InstanceId& b) { return !(a == b); }
    friend bool operator<(const InstanceId& a, const InstanceId& b)
    {
        return std::tie(a.name, a.startTime) < std::tie(b.name, b.startTime);
    }
};

// Whether an instance is a later process of the same upstream as the other one.
inline bool isLaterProcess(const InstanceId& instance, const InstanceId& other)
{
    return instance.name == other.name && other.startTime < instance.startTime;
}

struct UpstreamInstance {
    InstanceId id;
    ServiceName service;
    Endpoint endpoint;
    DataCentreName dataCentre;
    unsigned slots = 1; // max requests that the upstream runs at once; not slots of the key space
    bool draining = false; // the upstream is shutting down and must not get new requests
    std::uint64_t heartbeats = 0; // that it has sent by its own count; not part of equality
    Millis warmUpLeft {}; // remaining time in which the upstream is slow after its start; not part of equality

    friend bool operator==(const UpstreamInstance& a, const UpstreamInstance& b)
    {
        return std::tie(a.id, a.service, a.endpoint, a.dataCentre, a.slots, a.draining)
            == std::tie(b.id, b.service, b.endpoint, b.dataCentre, b.slots, b.draining);
    }
};

} // namespace pistachiospur
