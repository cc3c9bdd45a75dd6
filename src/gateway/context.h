#pragma once

#include "directory.h"
#include "membership/reach.h"
#include "observe/metrics.h"
#include "peers/hub.h"
#include "requests/coldness.h"
#include "requests/pause.h"
#include "requests/quarantine.h"
#include "requests/stop.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

// State that the gateway's components share, and the choice of a host for a piece of work.
namespace pistachiospur {

// Ranges whose owners have no valid grant yet, from the leader's latest update.
struct PendingRanges {
    StoreRevision revision; // of the range table
    std::vector<RangeUpdate::Pending> ranges;
    Millis updatedAt {}; // monotonic clock; `readyIn` of the ranges counts from here
};

// A group of a pooled service's upstreams. One host coordinates it and keeps one queue for it. Groups are as large as
// one host can coordinate, since one queue for many upstreams waits less than several for few; a data centre with
// enough upstreams for a group has groups of its own.
struct PoolGroup {
    DataCentreName dataCentre; // empty if the members are in several
    std::vector<UpstreamName> members;
    unsigned slots = 0; // requests that its members can run concurrently
};

using PoolGroups = std::vector<PoolGroup>;

// A report of load that its coordinator has not taken note of.
struct ReportedLoad {
    UpstreamLoad load;
    Millis reportedAt {};
};

// A run of a request that ended with its connection. Whether its upstream has ended as well is not known yet.
struct BrokenRun {
    std::uint64_t fingerprint = 0;
    std::string requestId;
    std::string target;
    UpstreamInstance upstream;
    Millis startedAt {}; // monotonic clock, as the other times
    Millis brokenAt {};
    Millis probedAt {}; // when the last test of the upstream's address began; zero if there was none
    bool isUnreachable = false; // that test failed
};

struct GatewayContext {
    GatewayContext(GatewaySettings, const PlatformAdapter&, PeerHub::Handlers);

    const GatewaySettings settings;
    const PlatformAdapter& adapter;
    const Incarnation incarnation;
    const std::shared_ptr<MemoryBudget> bodyBudget; // for bodies of requests in transit
    HttpClient http;
    Metrics metrics;
    Directory directory;
    PeerHub hub;
    std::map<ServiceName, PendingRanges> pending;
    std::map<ServiceName, PoolGroups> groups;
    Pauses pauses; // of this host, and of the hosts that send requests in turns which this host gives
    Coldness coldness; // of the upstreams that this host coordinates
    std::map<InstanceId, ReportedLoad> loads; // from the latest answers to this host, and to hosts in their turns
    Reach reach; // of this host
    Quarantine quarantine; // changed by QuarantineMonitor
    std::vector<BrokenRun> brokenRuns; // noted by noteRun(), settled by QuarantineMonitor
    std::set<std::uint64_t> answeredSuspects; // the same; by fingerprint
    std::map<HostName, ReachReport> lostByHost; // what other hosts report that they have lost
    std::map<HostName, Millis> unreachableUntil; // hosts that get no new work until then: link lost, or stopping
    // Orders of hosts by name, as computed for the current hosts; see hostsFor() and firstHostFor().
    struct Rankings {
        std::uint64_t hostsVersion = 0;
        std::map<std::string, std::vector<HostName>> all;
        std::unordered_map<std::string, std::vector<HostName>> first; // the first few hosts
    };
    mutable Rankings rankings;
    bool rangesChanged = false; // a leader on this host changed the ranges; waiting requests must be re-evaluated
    bool quarantineChanged = false; // a request has been quarantined; waiting requests must be re-evaluated
    bool stopping = false;
    PlannedStop stop; // while stopping
};

bool isSelf(const GatewayContext&, const HostName&);
// The fingerprint of a caller's request. `bodyBytes` is the size of its whole body, 0 if that is not known.
std::uint64_t fingerprintOf(const GatewayContext&, const Request&, std::uint64_t bodyBytes);
// The time until this host may send an instance anything, orders included; zero if it may now.
Millis ownPauseLeft(const GatewayContext&, const InstanceId&, Millis now);
// All hosts in the directory except this one.
std::vector<HostName> otherHosts(const GatewayContext&);
enum class HostOrder {
    proportional, // each host comes first for a share of the names in proportion to its weight
    fastestFirst, // hosts are sorted by weight; the hash of the name only orders equal ones
};
// The hosts that can take work now, in the order of weighted rendezvous hashing for the name. This host is among them
// unless it is stopping or the directory lacks its entry. Any two hosts compute the same order if they agree on the
// directory and on which hosts can take work. If `near` is not empty, hosts of that data centre come first.
std::vector<HostName> hostsFor(
    const GatewayContext&, const std::string& name, const DataCentreName& near, HostOrder = HostOrder::proportional);
// The order of all hosts, whether or not they can take work now. Valid until the hosts change.
const std::vector<HostName>& rankedHosts(
    const GatewayContext&, const std::string& name, const DataCentreName& near, HostOrder = HostOrder::proportional);
// Whether a host can take work now.
bool canTakeWork(const GatewayContext&, const HostName&, Millis now);
// The first host of that order; nothing if no host can take work.
std::optional<HostName> firstHostFor(
    const GatewayContext&, const std::string& name, const DataCentreName& near, HostOrder = HostOrder::proportional);
// What a host reports that it has lost, this host included.
const ReachReport& lostBy(const GatewayContext&, const HostName&);
// Whether a host connects to an upstream, as far as it has reported. An upstream that several hosts have lost which
// have their way to others is regarded as reached by such hosts: it has failed itself, and no other host would do
// better.
bool reaches(const GatewayContext&, const HostName&, const UpstreamInstance&);
// The same for an upstream or a group of a pooled service, by name; a group is reached if half of its members are.
bool reaches(const GatewayContext&, const HostName&, const ServiceName&, const UpstreamName& upstreamOrGroup);
// Whether every host that can take work has lost the upstream or group, or the whole service.
bool isLostByAll(const GatewayContext&, const ServiceName&, const UpstreamName& upstreamOrGroup);
bool isLostByAll(const GatewayContext&, const ServiceName&);
// The host that coordinates an upstream or a group: the first of the order that reaches it and has not failed to
// connect before, else the first that has not failed.
std::optional<HostName> coordinatorFor(const GatewayContext&, const ServiceName&, const UpstreamName& upstreamOrGroup,
    const DataCentreName& near, const std::set<HostName>& failed);
// Recomputes the groups of every service from the upstreams that may take work; only pooled services use them. Called
// when the directory changes.
void regroupPools(GatewayContext&);
// The name that requests carry instead of an upstream's name when they go to a group.
std::string groupName(unsigned group);
// The members of the group with this name; null if the service has no such group now.
const std::vector<UpstreamName>* findGroup(const PoolGroups&, const std::string& name);
// The number of hosts in the directory, at least 1.
std::size_t hostCount(const GatewayContext&);
// Estimated time until the owner of the slot has a valid grant; zero if the slot's range is not pending.
Millis timeUntilReady(const GatewayContext&, const ServiceName&, SlotId, Millis now);
// Whether this host may send the request to the upstream or group. False if this host's table assigns the slot to
// another upstream or the slot's range is pending. True if this host has no table, or an older one than the request was
// routed by, and for requests to pooled services.
bool mayServe(const GatewayContext&, const Request&, const UpstreamName&, Millis now);
// Whether the upstream may get new requests, as far as it concerns the upstream itself.
bool mayTakeWork(const InstanceEntry&, Millis now);
// Whether the upstream may get new requests: also whether its data centre is emptied.
bool mayTakeWork(const GatewayContext&, const InstanceEntry&, Millis now);
// Whether the upstream's data centre is to be emptied. If it owns ranges, it may still get requests for a while.
bool isEvacuated(const GatewayContext&, const UpstreamInstance&);
// Whether the upstream gets no requests because its data centre is emptied. Counts a request that is refused for that.
bool isHeldBack(GatewayContext&, const UpstreamInstance&);

} // namespace pistachiospur
