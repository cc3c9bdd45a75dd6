#pragma once

#include "context.h"
#include "ranges/evacuate.h"
#include "ranges/ledger.h"
#include "ranges/owner_speeds.h"
#include "ranges/planner.h"
#include "ranges/targets.h"

#include <map>

// Leader of one keyed service. Hosts elect it by a record in the store that is bound to the leader's lease. The leader
// plans which upstream owns which range, writes the range table, and sends the upstreams their grants. It may write the
// table only while its lease is valid, and goes on renewing grants for outageMs after that.
//
// How a range moves to a new owner:
//   asked      the new owner shows that it answers; until then nothing changes
//   written    the table names the new owner, its fencing token and the previous owners
//   clearing   each previous owner is asked to release the range, or the leader waits until all its grants have expired
//   granting   the new owner is sent a grant, with the handover data from the release
//   active     the grant is renewed until the next table write moves the range
//
// When the store comes back from an older copy, the record no longer counts. The leader goes on under its old table as
// in an outage and is elected again before others. It takes over the ranges of which it knows that no other leader of
// the earlier era had them (carryOver); any other range, and every range if another host is elected, is granted once
// all grants of the earlier era have expired.
namespace pistachiospur {

constexpr Millis kPlanInterval { 300 };

class RangeLeader {
public:
    RangeLeader(GatewayContext&, ServiceName);

    void tick();
    void onLoadReport(const LoadReport&);
    // Another host announced that it is the leader: steps down if its record is newer than the known one. Returns the
    // reply to send: that this host sends no orders, or its own announcement if its record is the newer one.
    Message onLeaderAnnouncement(const LeaderAnnouncement&);
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
        bool renewedInEra = false; // the owner accepted a grant that was sent after this host knew of the present era
        Millis nextGrantAt {};
        Millis grantedUntil {}; // boot clock; the owner's grant is valid at least until then
        bool hasEarlierGrants = false; // no grant has proved yet that previous leaders' grants cannot take effect
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
    bool mayClaimAgain(const LeaderEntry* current) const;
    bool mayReplace(const LeaderEntry&) const;
    bool mayOthersClaimAgain() const;
    Millis electionDelay(bool replacesOwnRecord) const;
    void writeLeaderRecord(const std::optional<LeaderEntry>& replaced, bool mayRetry);
    void onLeaderRecordConflict(const WriteConflict&);
    void revokeLease();
    void onLeaseEnded();
    void becomeLeader(StoreRevision);
    void startAnew();
    void carryOver();
    bool isRewriteDue() const;
    void stepDown(const char* reason);
    bool mayWriteTable() const;
    bool mayRenew() const;
    Millis unknownGrantsEnd() const;
    Millis renewalInterval(std::size_t rangeCount) const;
    Millis grantTtlFor(std::size_t rangeCount, std::int64_t processorPercent) const;
    std::int64_t slowestHostsPercent() const;
    Millis earlierGrantsEnd() const;
    std::optional<Millis> earlierOrdersEnd() const;
    bool mayHaveEarlierGrants(const RangeState&) const;
    bool awaitsProof(const Range&) const;
    bool hasWriterEnded(const std::string& writer) const;
    std::string writerName() const;
    void loadPreviousLeaders(const StoredTable&);
    LeaderAnnouncement announcement() const;
    void checkPreviousLeaders();

    void plan();
    std::vector<OwnerCapacity> eligibleOwners() const;
    void addEvacuatedOwners(
        std::vector<OwnerCapacity>&, std::set<std::uint32_t>& fixed, const std::vector<Range>&, const SlotLoads&) const;
    std::vector<Range> initialRanges();
    std::set<std::uint32_t> settleGrants(std::vector<Range>&, bool& changed);
    std::vector<Range> nextRanges(bool& changed);
    std::vector<Move> planAnsweredMoves(const std::vector<Range>&, const std::set<std::uint32_t>& fixed);
    void askTarget(const Move&);
    void allowForUnknownGrants(std::vector<Range>&) const;
    bool hasCleared(const Range&) const;
    void writeFirstTable();
    void writeTable(std::vector<Range>);
    void abandonTableWrite();
    void onTableWritten(std::uint64_t start, const std::string& text, const WriteResult&);
    void resolveConflict(const std::string& text, const WriteConflict&);
    void adoptTable(RangeTable, StoreRevision stored);

    void sendDueGrants();
    bool isGrantDue(const Range&, RangeState&, Millis now);
    bool hasRoomForGrant(bool isRetry) const;
    void grantWithinLimits(const Range&, RangeState&);
    bool isBelowGrantLimits(const InstanceId&, bool isRetry) const;
    bool clearPreviousOwners(const Range&, RangeState&);
    bool clearPreviousOwner(const Range&, const InstanceId&, PreviousOwner&, bool hasEarlierGrants);
    std::string orderText(OrderId) const;
    void sendRelease(const Range&, const InstanceId&, PreviousOwner&, const UpstreamInstance&);
    void onRelease(const RangeKey&, const InstanceId&, const ReleaseResult&);
    void sendGrant(const Range&, RangeState&, const UpstreamInstance&);
    void onGrant(const Range&, const UpstreamInstance&, const SentGrant&, OrderVerdict);
    void noteWhoAnswered(const UpstreamInstance&, OrderVerdict);
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
    StoreRevision m_recordRevision; // of the leader record, in the era of the election
    std::string m_claim; // of the record that this host wrote last
    std::uint64_t m_claimCount = 0;
    LeaderEntry m_lastLeader; // the latest that this host has heard of
    StoreEra m_era; // the latest known
    Millis m_eraKnownAt {}; // boot clock; since when
    LeaseHolder m_lease; // the leader record is bound to it
    Millis m_leaseValidUntil {}; // boot clock; of the lease under which this host leads
    StoreRevision m_tableRevision;
    std::optional<StoreRevision> m_storedTable; // the table that the store has, if it is known to be another
    bool m_carriesOver = false; // leads in this era, but still under the table and the right of an earlier one
    bool m_needsProof = false; // another host may have led in the earlier era
    Millis m_rewriteBy {}; // boot clock; when the table is written in this era, even if proofs are missing
    Millis m_unknownGrantsEnd {}; // boot clock; until then, grants of leaders that no table names may be valid
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
        // It said so, or its process has ended. Otherwise only its right is over, which a later era may give it again.
        bool isKnownStopped = false;
    };
    std::map<std::string, PreviousLeader> m_previousLeaders; // by writer name
    StoreRevision m_loadedRevision; // of the table that named them
    Millis m_earlierGrantTtl {}; // TTL of the previous leaders' grants
    Millis m_nextQueryAt {}; // next announcement to previous leaders that have not confirmed that they stopped
    // How often this host has begun to lead or started anew. A table write concerns only the start that sent it.
    std::uint64_t m_startCount = 0;
    bool m_writing = false; // a table write of the present start is in flight
    std::string m_unsettledText; // of a table write of the present start whose outcome is unknown
    std::uint64_t m_writeCount = 0;
    Millis m_nextPlanAt {};
    std::size_t m_initialOwners = 0; // number of eligible owners before there is a table
    Millis m_initialOwnersSince {}; // when that number last changed
    Millis m_announcedAt { -100000 };
    std::vector<RangeUpdate::Pending> m_announcedPending;
    StoreRevision m_announcedRevision;
    std::vector<Range> m_announcedRanges; // at that revision

    PlanMemory m_plans; // loads, hot slots and past moves
    Targets m_targets; // of planned moves
    OwnerSpeeds m_ownerSpeeds;
};

} // namespace pistachiospur
