#pragma once

#include "context.h"
#include "ownership/recovery.h"
#include "ownership/release.h"

#include <map>
#include <set>

// Plans ownership changes for the services that this host is the planner of. Each step is one conditional write. The
// next step of a service starts when the replica includes that write. If two hosts plan at the same time, the writes of
// one of them fail with a conflict.
namespace pistachiospur {

class Planner {
public:
    explicit Planner(HostContext&);

    void tick();
    void onReport(const UpstreamReport&);
    void onRenewalStopped(const HostName& from, const RenewalStopped&);
    void onReleaseReport(const HostName& from, const ReleaseReport&);

private:
    struct ServiceState {
        bool writing = false;
        Millis writeUntil {}; // the next step does not wait longer than this for a write
        StoreRevision writtenRevision; // the next step waits until the replica has reached it
        std::map<UpstreamName, Millis> lostReports; // time of the last report that the upstream is lost
        std::map<UpstreamName, Millis> recoveredReports; // time of the last report that it answers again
        std::map<UpstreamName, Recovery> recoveries;
        std::map<UpstreamName, Release> releases;
        Millis queriedAt {}; // when renewers were last queried
        StoreRevision idleRevision; // at which no step was needed
        Millis idleUntil {};
        Millis backupUntil {}; // until then this host plans although it is not the first planner
    };

    void planService(const Placement&, const Service&);
    // The steps of planService, most urgent first. Each one returns true if it has started a write.
    bool updateRenewers(const Placement&);
    bool updateUpstreamStates(ServiceState&, const Placement&);
    bool recover(ServiceState&, const Placement&, const Service&);
    bool release(ServiceState&, const Service&);
    bool startMoves(const Placement&, const Service&);

    std::vector<UpstreamName> targetUpstreams(const Placement&) const;
    std::vector<HostName> wantedRenewers(const UpstreamRecord*, const Upstream&) const;
    void queryRenewers(const std::set<HostName>&, const Message&, std::set<HostName>& removed);

    ConditionalWrite pageWrite(
        const ServiceName&, const std::vector<SlotChange>&, const std::set<UpstreamName>& guardedBy) const;
    // True if the host has been off the platform's host list for longer than its grants can last.
    bool isRemoved(const HostName&) const;
    void write(const ServiceName&, const char* kind, const ConditionalWrite&);

    HostContext& m_context;
    std::map<ServiceName, ServiceState> m_services;
};

} // namespace pistachiospur
