#pragma once

#include "directory.h"
#include "observe/metrics.h"
#include "peers/hub.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

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
    std::vector<std::vector<UpstreamName>> members; // by group
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
    bool rangesTold = false; // this host's keeper told of a change that its own requests have not looked at
    bool stopping = false;
};

bool isSelf(const Site&, const HostName&);
// Every host in the directory but this one.
std::vector<HostName> otherHosts(const Site&);
// Whether hosts come first as often as their processors are fast, or those with the fastest always do.
enum class Preferred { byWeight, strongest };
// Hosts that can take work from this one now, itself included, in a stable order for the name: every host computes the
// same first one from the same directory. Hosts of the data centre come first when one is given.
std::vector<HostName> hostsFor(
    const Site&, const std::string& name, const DataCentreName& near, Preferred = Preferred::byWeight);
// The first of them; nothing when no host can take work.
std::optional<HostName> firstHostFor(
    const Site&, const std::string& name, const DataCentreName& near, Preferred = Preferred::byWeight);
// Divides the upstreams that may take work; called when the directory changes.
void regroupPools(Site&);
// The name of a pooled service's group, as requests for it carry it in the place of an upstream's name.
std::string groupName(unsigned group);
// The group of that name; null when it is not the name of a group that the service has now.
const std::vector<UpstreamName>* findGroup(const PoolGroups&, const std::string& name);
// How many hosts share what the site has in common.
std::size_t hostCount(const Site&);
// How long until the owner of a slot has it: zero when it has.
Millis pendingFor(const Site&, const ServiceName&, SlotId, Millis now);
// Whether an upstream, or a group of a pooled service, may be sent a request: false once its range is known to have, or
// to be about to get, another owner. A host whose table is older than the request's goes by what the request says.
bool mayServe(const Site&, const Request&, const UpstreamName&, Millis now);
// True when new work may go to the upstream.
bool mayTakeWork(const LifeEntry&, Millis now);

} // namespace pistachiospur
