#pragma once

#include "node.h"
#include "ownership/recovery.h"
#include "ownership/release.h"

#include <map>
#include <set>

// Drives changes of ownership for the services that this host plans: each step is one conditional write, and the next
// step begins when the write has come back through the replica. Another host that plans at the same time can only make
// a write fail.
namespace pistachiospur {

class Planner {
public:
    explicit Planner(Node&);

    void tick();
    void onReport(const UpstreamReport&);
    void onStopped(const HostName& from, const RenewalStopped&);
    void onReleaseReport(const HostName& from, const ReleaseReport&);

private:
    struct ServiceState {
        bool writing = false;
        Millis writeUntil {}; // after which a write without an answer no longer holds up the next
        StoreRevision awaited; // replica revision at which the last write is visible
        std::map<UpstreamName, Millis> lost; // reported, and when last
        std::map<UpstreamName, Millis> back;
        std::map<UpstreamName, Recovery> recoveries;
        std::map<UpstreamName, Release> releases;
        Millis askedAt {};
        StoreRevision quietAt; // revision at which the table needed nothing
        Millis quietUntil {};
        Millis standInUntil {}; // this host plans though it is not the first in order
    };

    void planService(const Placement&, const Service&);
    bool keepRecords(const Placement&);
    bool markUpstreams(ServiceState&, const Placement&);
    bool recover(ServiceState&, const Placement&, const Service&);
    bool release(ServiceState&, const Service&);
    bool move(const Placement&, const Service&);
    std::vector<UpstreamName> targets(const Placement&) const;
    std::vector<HostName> wantedRenewers(const UpstreamRecord*, const Upstream&) const;
    void askRenewers(const std::set<HostName>&, const Message&, std::set<HostName>& gone);

    ConditionalWrite pageWrite(
        const ServiceName&, const std::vector<SlotChange>&, const std::set<UpstreamName>& guardedBy) const;
    bool isGone(const HostName&) const;
    void write(const ServiceName&, const char* kind, const ConditionalWrite&);

    Node& m_node;
    std::map<ServiceName, ServiceState> m_services;
};

} // namespace pistachiospur
