#pragma once

#include "directory.h"
#include "observe/metrics.h"
#include "peers/hub.h"

#include <map>

// What the parts of a gateway share.
namespace pistachiospur {

// Ranges whose owners do not have them yet, as the keeper last told.
struct PendingRanges {
    StoreRevision revision;
    std::vector<RangeNews::Pending> ranges;
    Millis at {}; // when it was told, on the monotonic clock
};

// How the upstreams of a pooled service are divided among the hosts that coordinate them: each group has one queue.
struct PoolGroups {
    std::map<UpstreamName, unsigned> groupOf;
    std::vector<unsigned> slots; // by group
};

struct Site {
    Site(GatewaySettings, const Dialect&, PeerHub::Handlers);

    const GatewaySettings settings;
    const Dialect& dialect;
    const Incarnation incarnation;
    HttpClient http;
    Metrics metrics;
    Directory directory;
    PeerHub hub;
    std::map<ServiceName, PendingRanges> pending;
    std::map<ServiceName, PoolGroups> groups;
    std::map<HostName, Millis> unreachableUntil; // hosts whose link was just lost
    bool stopping = false;
};

bool isSelf(const Site&, const HostName&);
// Hosts that can take work from this one now, itself included, in a stable order for the name: every host computes the
// same first one from the same directory, and a host is first as often as its processor is fast. Hosts of the data
// centre come first when one is given.
std::vector<HostName> hostsFor(const Site&, const std::string& name, const DataCentreName& near);
// Divides the upstreams that may take work; called when the directory changes.
void regroupPools(Site&);
// The name of a pooled service's group, as requests for it carry it in the place of an upstream's name.
std::string groupName(unsigned group);
// How many hosts share what the site has in common.
std::size_t hostCount(const Site&);
// How long until the owner of a slot has it: zero when it has.
Millis pendingFor(const Site&, const ServiceName&, SlotId, Millis now);
// True when new work may go to the upstream.
bool mayTakeWork(const LifeEntry&, Millis now);

} // namespace pistachiospur
