#include "leader.h"

#include "observe/events.h"

#include <algorithm>

// The part of RangeLeader that stands for election, takes over from an earlier era of the store, and steps down.
namespace pistachiospur {

namespace {

// Each host stands for election this much later than the host before it in the order. The earlier hosts may have failed
// although their directory entries have not expired yet.
constexpr Millis kElectionStep { 200 };
// When the store has come back from an older copy, the host that led may claim its office again before others stand.
constexpr Millis kReclaimTime { 1000 };
constexpr Millis kResignRetry { 300 };

} // namespace

void RangeLeader::updateLeadership()
{
    const Millis now = monotonicNow();
    if (m_era != m_context.directory.storeEra()) {
        m_era = m_context.directory.storeEra();
        m_eraKnownAt = bootNow();
        for (auto& [key, state] : m_rangeStates)
            state.renewedInEra = false;
    }
    const LeaderEntry* known = m_context.directory.leaderOf(m_service);
    if (known && m_lastLeader.version <= known->version)
        m_lastLeader = *known;
    const LeaderEntry* entry = known && eraOf(known->version) == m_era ? known : nullptr;
    const bool ownHost = entry && isSelf(m_context, entry->host);
    const bool ownRecord = ownHost && entry->claim == m_claim && !m_claim.empty();
    if (m_isLeader && !ownRecord && !mayClaimAgain(entry))
        stepDown("another host is the leader, or the leader record is gone");
    if (m_isLeader && ownRecord && entry->version == m_recordRevision) {
        if (m_carriesOver && !mayRenew())
            startAnew();
        return;
    }
    if (ownRecord && entry->lease == m_lease.id())
        return becomeLeader(entry->version);
    const bool eligible = !m_resigned && !m_context.stopping && now >= m_ineligibleUntil
        && (m_isLeader || m_context.directory.hasHostEntry());
    if (!eligible || (entry && !ownHost)) {
        m_vacantSince = Millis(-1);
        if (m_wantsLease)
            revokeLease();
        return;
    }
    if (m_wantsLease)
        return m_lease.followEra();
    if (m_vacantSince < Millis(0) || mayOthersClaimAgain())
        m_vacantSince = now;
    if (now >= m_vacantSince + electionDelay(ownHost || m_isLeader)) {
        m_wantsLease = true;
        m_lease.start();
    }
}

// Whether this host, which leads under the record of an earlier era, may claim its office again.
bool RangeLeader::mayClaimAgain(const LeaderEntry* current) const
{
    return !current && eraOf(m_recordRevision) != m_era && mayRenew();
}

// Whether this host may write its leader record in place of a known one: that of an earlier process of this host, or of
// an earlier era.
bool RangeLeader::mayReplace(const LeaderEntry& record) const
{
    return isSelf(m_context, record.host) || eraOf(record.version) != m_era;
}

// Whether the host that led in the earlier era may still be elected again before others.
bool RangeLeader::mayOthersClaimAgain() const
{
    return !m_lastLeader.host.empty() && eraOf(m_lastLeader.version) != m_era && !isSelf(m_context, m_lastLeader.host)
        && canTakeWork(m_context, m_lastLeader.host, monotonicNow()) && bootNow() < m_eraKnownAt + kReclaimTime;
}

// How long this host waits from the vacancy until it stands for election.
Millis RangeLeader::electionDelay(bool replacesOwnRecord) const
{
    if (replacesOwnRecord)
        return Millis(0);
    auto order = hostsFor(m_context, "keeper/" + m_service, "", HostOrder::fastestFirst);
    // A leader that reaches no upstream cannot renew their grants.
    std::stable_partition(order.begin(), order.end(),
        [&](const HostName& host) { return !lostBy(m_context, host).services.count(m_service); });
    return kElectionStep * (std::find(order.begin(), order.end(), m_context.settings.host) - order.begin());
}

void RangeLeader::revokeLease()
{
    m_wantsLease = false;
    m_lease.revoke([] {});
}

// Writes the leader record under the lease that was just opened, in place of the record that is known.
void RangeLeader::writeLeaderRecord(const std::optional<LeaderEntry>& replaced, bool mayRetry)
{
    if (replaced && !mayReplace(*replaced))
        return revokeLease();
    m_claim = writerName() + "/" + std::to_string(++m_claimCount);
    LeaderEntry entry { m_context.settings.host, m_context.incarnation, m_lease.id(), m_claim,
        inEra(m_lease.era(), {}) };
    ConditionalWrite write { { { leaderKey(m_service), replaced ? replaced->version : StoreRevision {} } },
        { { leaderKey(m_service), encode(entry), entry.lease },
            { claimKey(m_service, m_claim), writerName(), entry.lease } } };
    if (replaced && !replaced->claim.empty()) {
        write.expected.push_back({ claimKey(m_service, replaced->claim), replaced->version });
        write.puts.push_back({ claimKey(m_service, replaced->claim), std::nullopt, kNoLease });
    }
    m_context.directory.store().write(write, [this, entry, mayRetry](const WriteResult& result) mutable {
        const auto* written = std::get_if<Written>(&result);
        if (written && eraOf(written->revision) == m_lease.era()) {
            entry.version = written->revision;
            m_context.directory.recordLeader(m_service, entry);
            return updateLeadership();
        }
        const auto* conflict = std::get_if<WriteConflict>(&result);
        // The result may come late: for a lease that has been replaced since, or for a record that is known to have
        // been written meanwhile, under which this host may lead.
        if (entry.lease != m_lease.id())
            return;
        if (conflict && mayRetry && entry.claim == m_claim)
            return onLeaderRecordConflict(*conflict);
        const LeaderEntry* known = m_context.directory.leaderOf(m_service);
        if (!known || known->claim != entry.claim)
            revokeLease();
    });
}

// The store has another leader record than this host knew of, or none. After it came back from an older copy, that is
// where the next try starts.
void RangeLeader::onLeaderRecordConflict(const WriteConflict& conflict)
{
    std::optional<LeaderEntry> current;
    for (const auto& it : conflict.current) {
        if (it.key == leaderKey(m_service) && it.text)
            current = decodeLeaderEntry(*it.text, it.version);
    }
    writeLeaderRecord(current, false);
}

void RangeLeader::onLeaseEnded()
{
    if (m_isLeader && eraOf(m_recordRevision) == m_context.directory.storeEra())
        stepDown("the lease has ended");
}

void RangeLeader::becomeLeader(StoreRevision version)
{
    const bool carriesOver = m_isLeader && m_tableWritten && mayRenew();
    m_isLeader = true;
    m_wantsLease = true;
    m_recordRevision = version;
    m_leaderSince = bootNow();
    abandonTableWrite();
    m_storedTable.reset();
    logEvent(EventKind::process, "leading",
        { { "service", m_service }, { "keeper_revision", textOf(version) }, { "carries_over", carriesOver } });
    if (carriesOver)
        carryOver();
    else
        startAnew();
}

// Starts with an empty ledger: earlierGrantsEnd() covers the grants of previous leaders. Those that a leader sent just
// before it stopped are valid for one more TTL.
void RangeLeader::startAnew()
{
    abandonTableWrite();
    m_carriesOver = false;
    m_leaseValidUntil = m_lease.validUntil();
    m_nextQueryAt = Millis(0);
    m_nextPlanAt = Millis(0);
    m_tableWritten = false;
    m_rangeStates.clear();
    m_ledger = {};
    m_unknownGrantsEnd = Millis(0);
    m_announcedRevision = {};
    m_announcedRanges.clear();
}

// Goes on under the table of the earlier era until it is written in this one. If this host's lease may have ended in
// that era, another host may have led since. Its moves wait for this host to stop, and so end after its own right, if
// this host's lease ended no longer ago than computed here; otherwise this host starts anew when its old right ends. An
// owner that has seen the other leader's fencing token refuses the old one; its range waits for unknown grants.
void RangeLeader::carryOver()
{
    m_carriesOver = true;
    m_nextPlanAt = Millis(0);
    m_needsProof = m_leaseValidUntil < m_eraKnownAt;
    if (!m_needsProof) {
        m_rewriteBy = bootNow();
        return;
    }
    const auto& limits = m_context.settings.limits;
    const Millis orderTimeout(limits.orderTimeoutMs);
    const Millis provableUntil = m_leaseValidUntil + orderTimeout + longestGrant(m_table.grantTtl) - m_lease.ttl();
    m_unknownGrantsEnd = std::max(m_unknownGrantsEnd, unknownGrantsEnd());
    m_rewriteBy = m_leaderSince <= provableUntil ? m_eraKnownAt + renewalInterval(m_table.ranges.size()) + orderTimeout
                                                 : Millis::max();
}

// Whether the table is to be written in this era now: all ranges that can be taken over are known.
bool RangeLeader::isRewriteDue() const
{
    if (bootNow() >= m_rewriteBy)
        return true;
    return m_rewriteBy != Millis::max() && std::all_of(m_rangeStates.begin(), m_rangeStates.end(), [](const auto& it) {
        return it.second.renewedInEra;
    });
}

void RangeLeader::stepDown(const char* reason)
{
    logEvent(EventKind::process, "not_leading", { { "service", m_service }, { "reason", reason } });
    m_isLeader = false;
    m_carriesOver = false;
    m_tableWritten = false;
    m_rangeStates.clear();
    m_unsettledText.clear();
    m_vacantSince = Millis(-1);
    m_unreachable.clear();
    revokeLease();
}

void RangeLeader::resign()
{
    m_resigned = true;
    if (!m_isLeader) {
        if (m_wantsLease)
            revokeLease();
        return;
    }
    const Millis now = monotonicNow();
    if (now < m_nextResignAt)
        return;
    m_nextResignAt = now + kResignRetry;
    const ConditionalWrite write { { { claimKey(m_service, m_claim), m_recordRevision } },
        { { leaderKey(m_service), std::nullopt, kNoLease },
            { claimKey(m_service, m_claim), std::nullopt, kNoLease } } };
    m_context.directory.store().write(write, [](const WriteResult&) {}); // the watch reports the result
}

} // namespace pistachiospur
