#pragma once

#include "ranges/balance.h"
#include "ranges/ledger.h"
#include "site.h"

#include <map>

// Keeps the ranges of one keyed service: on one host at a time, elected by a leased record, it plans who owns what,
// writes the table, and gives the upstreams their grants. Its right to order ends with its lease.
//
// A range's way from one owner to the next:
//   written    the table names the new owner, its fence and the previous one
//   clearing   the previous owner is asked to release; or everything that it may hold is waited out
//   granting   the new owner gets the range with the handover of the release
//   held       renewed until the next write moves it
namespace pistachiospur {

class Keeper {
public:
    Keeper(Site&, ServiceName);

    void tick();
    void onLoadReport(const LoadReport&);
    // Another host keeps the ranges now: stops ordering before it answers.
    KeeperStopped onKeeperNews(const KeeperNews&);
    void onKeeperStopped(const HostName& from, const KeeperStopped&);
    // Gives the record up, so that another host takes over at once. Until one does, this one goes on renewing.
    void resign();
    bool isKeeping() const { return m_keeping; }
    void publishMetrics();

private:
    // How far a previous owner of a range is with leaving it.
    struct Leaver {
        bool cleared = false; // holds nothing of it any more
        bool releasing = false;
        bool released = false;
        Millis releaseAt {}; // next try
        Millis checkAt {}; // boot clock: not looked at before
    };
    // What this keeper knows of one range of its table, beyond the table.
    struct Holding {
        std::map<LifeId, Leaver> leavers;
        std::string handover;
        bool confirmed = false; // granted under the present fence
        bool active = false; // its owner has it, as far as is known
        bool refused = false; // the owner has seen a higher fence
        bool granting = false;
        bool failed = false; // the last grant
        Millis renewAt {};
        Millis heldUntil {}; // boot clock: its owner has it at least until then
        bool inherited = false; // grants of an earlier keeper may be in force
    };
    struct SentGrant {
        OrderId order = 0;
        Millis hold {};
        Millis sentAt {}; // boot clock
        bool retry = false; // after one without an answer
    };
    using Key = std::tuple<std::uint32_t, std::uint32_t, std::uint64_t>; // first, last, fence

    // An upstream that takes no connection from this keeper.
    struct Unreachable {
        unsigned failures = 0; // in a row
        Millis since {};
        Millis probeAt {};
        Range lost; // a range that it had, for probing
    };

    static Key keyOf(const Range&);
    void elect();
    void acquire();
    void withdraw();
    void onLeaseGone();
    void onAcquired(StoreRevision);
    void stepDown(const char* reason);
    bool mayOrder() const;
    bool mayRenew() const;
    Millis renewalInterval(std::size_t ranges) const;
    Millis holdFor(std::size_t ranges) const;
    Millis earlierGrantsEnd() const;
    bool isGone(const std::string& writer) const;
    std::string writerName() const;
    void takePredecessors(const RangeTable&);
    void askPredecessors();

    void plan();
    std::vector<OwnerCapacity> owners() const;
    std::vector<Range> firstRanges();
    std::vector<Range> nextRanges(bool& changed);
    void write(std::vector<Range>);
    void onWritten(const std::string& text, const WriteResult&);
    void settleConflict(const std::string& text, const WriteConflict&);
    void adopt(RangeTable, StoreRevision);

    void workAll();
    bool isDue(const Range&, Holding&);
    void grantIfRoom(const Range&, Holding&);
    bool hasRoomFor(const LifeId&, bool failed) const;
    bool clear(const Range&, Holding&);
    bool clear(const Range&, const LifeId&, Leaver&, bool inherited);
    void release(const Range&, Leaver&, const UpstreamLife&);
    void onRelease(const Key&, const LifeId&, const ReleaseResult&);
    void grant(const Range&, Holding&, const UpstreamLife&);
    void onGrant(const Range&, const SentGrant&, OrderVerdict);
    Millis readyIn(const Range&, const Holding&) const;
    Holding carryOver(const Range&, bool first) const;
    void tellHosts();
    void countReach(const Range&, OrderVerdict);
    bool isUnreachable(const LifeId&) const;
    void probeUnreachable();
    void yieldIfCutOff();

    Site& m_site;
    ServiceName m_service;
    bool m_keeping = false;
    bool m_standing = false; // holds a lease to keep the ranges, or opens one
    bool m_resigned = false;
    Millis m_resignAt {}; // next try
    Millis m_vacantSince { -1 };
    StoreRevision m_keeperVersion;
    LeaseHolder m_lease; // that the record is bound to
    StoreRevision m_tableRevision;
    RangeTable m_table;
    bool m_tableKnown = false; // written by this keeper
    std::map<Key, Holding> m_holdings;
    GrantLedger m_ledger;
    std::map<LifeId, Unreachable> m_unreachable;
    Millis m_yieldUntil {}; // another host is to keep the ranges until then
    OrderId m_nextOrder = 1;
    std::size_t m_orders = 0; // under way
    std::size_t m_retries = 0; // of these, to upstreams that did not answer the last one
    std::map<LifeId, unsigned> m_ordersAt;
    Millis m_tookOverAt {};
    // A keeper before this one.
    struct Predecessor {
        Millis since {}; // wall clock: its lease had ended by then
        std::optional<Millis> stoppedAt; // boot clock: it certainly orders nothing from here on
    };
    std::map<std::string, Predecessor> m_predecessors; // by writer
    Millis m_earlierHold {}; // life of their grants
    Millis m_askAt {};
    bool m_writing = false;
    std::string m_pendingText; // of a write whose outcome is not known
    std::uint64_t m_writes = 0;
    Millis m_planAt {};
    std::size_t m_firstOwners = 0;
    Millis m_firstOwnersAt {};
    Millis m_toldAt { -100000 };
    std::vector<RangeNews::Pending> m_told;
    StoreRevision m_toldRevision;
    std::vector<Range> m_toldRanges; // at that revision

    SlotLoads m_loads;
    std::map<LifeId, double> m_runMs;
    Millis m_decayAt {};
};

} // namespace pistachiospur
