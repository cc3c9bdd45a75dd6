#pragma once

#include "context.h"
#include "ranges/balance.h"
#include "ranges/ledger.h"

#include <map>

// Leader of one keyed service. Hosts elect it by a record in the store that is bound to the leader's lease. The leader
// plans which upstream owns which range, writes the range table, and sends the upstreams their grants. It may write the
// table only while its lease is valid, and goes on renewing grants for outageMs after that.
//
// How a range moves to a new owner:
//   written    the table names the new owner, its fencing token and the previous owners
//   clearing   each previous owner is asked to release the range, or the leader waits until all its grants have expired
//   granting   the new owner is sent a grant, with the handover data from the release
//   active     the grant is renewed until the next table write moves the range
namespace pistachiospur {

class RangeLeader {
public:
    RangeLeader(GatewayContext&, ServiceName);

    void tick();
    void onLoadReport(const LoadReport&);
    // Another host announced that it is the leader: steps down if its record is newer than the known one, and returns
    // the reply to send.
    LeaderSteppedDown onLeaderAnnouncement(const LeaderAnnouncement&);
    void onLeaderSteppedDown(const HostName& from, const LeaderSteppedDown&);
    // Deletes the leader record, so that another host is elected at once. Until then this host goes on renewing grants.
    void resign();
    bool isLeader() const { return m_isLeader; }
    // Whether tick() must be called often: this host leads, stands for election, or nobody leads.
    bool needsTicks() const { return m_isLeader || m_wantsLease || m_vacantSince >= Millis(0); }
    void publishMetrics();

private:
    // Progress in taking a range from a previous owner.
    struct PreviousOwner {
        bool cleared = false; // has no valid grant for any part of the range any more
        bool releasing = false; // a release call is in flight
        bool released = false;
        Millis nextReleaseAt {};
        Millis nextCheckAt {}; // boot clock
    };
    // What the leader tracks for one range of its table.
    struct RangeState {
        std::map<InstanceId, PreviousOwner> previousOwners;
        std::string handover;
        bool confirmed = false; // the owner accepted a grant with the current fencing token
        bool active = false; // the owner is believed to have a valid grant
        bool fenceOutdated = false; // the owner rejected a grant because it has seen a higher fencing token
        bool granting = false; // a grant is in flight
        bool lastGrantFailed = false;
        Millis nextGrantAt {};
        Millis grantedUntil {}; // boot clock; the owner's grant is valid at least until then
        bool hasEarlierGrants = false; // grants that a previous leader sent may still be valid
    };
    struct SentGrant {
        OrderId order = 0;
        Millis ttl {};
        Millis sentAt {}; // boot clock
        bool isRetry = false; // the range's last grant failed
    };
    using RangeKey = std::tuple<std::uint32_t, std::uint32_t, std::uint64_t>; // first, last, fence

    // An upstream to which this leader could not connect.
    struct UnreachableUpstream {
        unsigned failures = 0; // consecutive
        Millis firstFailureAt {};
        Millis nextProbeAt {};
        Range probeRange; // a range that it owned; probes ask to release its first slot
    };

    static RangeKey keyOf(const Range&);
    void updateLeadership();
    void writeLeaderRecord();
    void revokeLease();
    void onLeaseEnded();
    void becomeLeader(StoreRevision);
    void stepDown(const char* reason);
    bool mayWriteTable() const;
    bool mayRenew() const;
    Millis renewalInterval(std::size_t rangeCount) const;
    Millis grantTtlFor(std::size_t rangeCount) const;
    Millis earlierGrantsEnd() const;
    bool hasWriterEnded(const std::string& writer) const;
    std::string writerName() const;
    void loadPreviousLeaders(const StoredTable&);
    void checkPreviousLeaders();

    void plan();
    std::vector<OwnerCapacity> eligibleOwners() const;
    std::vector<Range> initialRanges();
    std::vector<Range> nextRanges(bool& changed);
    void writeTable(std::vector<Range>);
    void onTableWritten(const std::string& text, const WriteResult&);
    void resolveConflict(const std::string& text, const WriteConflict&);
    void adoptTable(RangeTable, StoreRevision);

    void sendDueGrants();
    bool isGrantDue(const Range&, RangeState&);
    void grantWithinLimits(const Range&, RangeState&);
    bool isBelowGrantLimits(const InstanceId&, bool isRetry) const;
    bool clearPreviousOwners(const Range&, RangeState&);
    bool clearPreviousOwner(const Range&, const InstanceId&, PreviousOwner&, bool hasEarlierGrants);
    std::string orderText(OrderId) const;
    void sendRelease(const Range&, PreviousOwner&, const UpstreamInstance&);
    void onRelease(const RangeKey&, const InstanceId&, const ReleaseResult&);
    void sendGrant(const Range&, RangeState&, const UpstreamInstance&);
    void onGrant(const Range&, const SentGrant&, OrderVerdict);
    Millis estimateReadyIn(const Range&, const RangeState&) const;
    RangeState carryOverState(const Range&, bool isFirstWrite) const;
    void announceRanges();
    void recordReachability(const Range&, OrderVerdict);
    bool isUnreachable(const InstanceId&) const;
    void probeUnreachable();
    void stepDownIfCutOff();

    GatewayContext& m_context;
    ServiceName m_service;
    bool m_isLeader = false;
    bool m_wantsLease = false; // holds the leader lease or is opening it
    bool m_resigned = false;
    Millis m_nextResignAt {};
    Millis m_vacantSince { -1 }; // since when this host may stand for election; negative if it may not
    StoreRevision m_recordRevision; // of the leader record
    LeaseHolder m_lease; // the leader record is bound to it
    StoreRevision m_tableRevision;
    RangeTable m_table;
    bool m_tableWritten = false; // this leader has written its first table
    std::map<RangeKey, RangeState> m_rangeStates;
    GrantLedger m_ledger;
    std::map<InstanceId, UnreachableUpstream> m_unreachable;
    Millis m_ineligibleUntil {}; // does not stand for election until then
    OrderId m_nextOrder = 1;
    std::size_t m_grantsInFlight = 0;
    std::size_t m_retriesInFlight = 0; // those of m_grantsInFlight that follow a failed grant
    std::map<InstanceId, unsigned> m_grantsInFlightByOwner;
    Millis m_leaderSince {}; // boot clock
    struct PreviousLeader {
        Millis leaseEndedBy {}; // boot clock; its lease had ended by then
        std::optional<Millis> stoppedAt; // boot clock; it sends no orders after this time
    };
    std::map<std::string, PreviousLeader> m_previousLeaders; // by writer name
    StoreRevision m_loadedRevision; // of the table that named them
    Millis m_earlierGrantTtl {}; // TTL of the previous leaders' grants
    Millis m_nextQueryAt {}; // next announcement to previous leaders that have not confirmed that they stopped
    bool m_writing = false;
    std::string m_unsettledText; // of a table write whose outcome is unknown
    std::uint64_t m_writeCount = 0;
    Millis m_nextPlanAt {};
    std::size_t m_initialOwners = 0; // number of eligible owners before there is a table
    Millis m_initialOwnersSince {}; // when that number last changed
    Millis m_announcedAt { -100000 };
    std::vector<RangeUpdate::Pending> m_announcedPending;
    StoreRevision m_announcedRevision;
    std::vector<Range> m_announcedRanges; // at that revision

    SlotLoads m_loads; // decayed request counts
    std::map<InstanceId, double> m_runMs;
    Millis m_nextDecayAt {};
};

} // namespace pistachiospur
