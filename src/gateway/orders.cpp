#include "keeper.h"

#include "observe/events.h"

#include <algorithm>

// The part of Keeper that carries a table out: clears and grants ranges, notices upstreams out of reach, tells the
// hosts.
namespace pistachiospur {

namespace {

constexpr Millis kGrantRetry { 200 };
constexpr Millis kReleaseRetry { 200 };
// A release that is under way is expected to take so long: one run of the work of today's services.
constexpr Millis kReleaseEstimate { 200 };
constexpr Millis kTellInterval { 1000 };
// A range that only time can clear is looked at again after so long: a proof of death may come sooner than its end.
constexpr Millis kClearCheck { 100 };
// News of a move reaches the other hosts within so long.
constexpr Millis kTellLead { 15 };
// Changes within so long reach the hosts as one message: at a large site each is some ninety sends.
constexpr Millis kTellPause { 50 };
// An upstream that refused connections for so long, and twice at least, loses its ranges.
constexpr Millis kUnreachableAfter { 600 };
constexpr Millis kProbeInterval { 1000 };
// A keeper that yielded leaves the ranges to others for so long.
constexpr Millis kYieldTime { 4000 };
// Orders under way at once by processor, and of these at one upstream: a keeper that takes over must not crowd out its
// own loop, nor fill an upstream's few connections.
constexpr std::size_t kOrdersPerCore = 120;
constexpr std::size_t kLeastOrders = 12;
constexpr unsigned kMostOrdersEach = 2;
// Beyond these, retries of orders that had no answer: one for so many.
constexpr std::size_t kRetryPart = 2;

} // namespace

// --- Orders ---

// Sends the grants that are due, the longest due first.
void Keeper::workAll()
{
    std::vector<std::pair<Millis, const Range*>> due;
    for (const auto& it : m_table.ranges) {
        Holding& holding = m_holdings[keyOf(it)];
        if (holding.active && holding.confirmed && bootNow() >= holding.heldUntil)
            holding.active = false;
        if (isDue(it, holding))
            due.emplace_back(holding.renewAt, &it);
    }
    std::sort(due.begin(), due.end());
    for (const auto& [renewAt, range] : due)
        grantIfRoom(*range, m_holdings[keyOf(*range)]);
}

void Keeper::grantIfRoom(const Range& range, Holding& holding)
{
    const LifeEntry* owner = m_site.directory.findLife(range.owner);
    if (owner && hasRoomFor(range.owner, holding.failed))
        grant(range, holding, owner->life);
}

bool Keeper::isDue(const Range& range, Holding& holding)
{
    if (!clear(range, holding))
        return false;
    const LifeEntry* owner = m_site.directory.findLife(range.owner);
    return owner && !owner->entryGone && !holding.granting && !holding.refused && monotonicNow() >= holding.renewAt;
}

// Upstreams that do not answer have a small part of the orders to themselves, so that a rack that is lost does not hold
// up the renewals of the others.
bool Keeper::hasRoomFor(const LifeId& owner, bool failed) const
{
    const auto percent = static_cast<std::size_t>(m_site.settings.processorPercent);
    const std::size_t most = std::max(kLeastOrders, kOrdersPerCore * percent / 100);
    const auto each = m_ordersAt.find(owner);
    if (each != m_ordersAt.end() && each->second >= kMostOrdersEach)
        return false;
    return failed ? m_retries < most / kRetryPart : m_orders - m_retries < most;
}

// Whether no other upstream holds the range any more.
bool Keeper::clear(const Range& range, Holding& holding)
{
    bool all = true;
    for (const auto& it : range.previous) {
        Leaver& leaver = holding.leavers[it];
        if (!leaver.cleared)
            all &= clear(range, it, leaver, holding.inherited);
    }
    return all;
}

bool Keeper::clear(const Range& range, const LifeId& life, Leaver& leaver, bool inherited)
{
    if (bootNow() < leaver.checkAt)
        return false;
    const auto counted = leaver.released ? Counted::unansweredOnly : Counted::everyGrant;
    const auto until = mayHoldUntil(m_ledger, life, range.first, range.last, counted);
    const bool dead = m_site.directory.isProvenDead(life);
    const Millis earlier = inherited ? earlierGrantsEnd() : Millis(0);
    if (dead || (until && bootNow() >= std::max(*until, earlier))) {
        leaver.cleared = true;
        logEvent(EventKind::state, "range_cleared",
            { { "service", m_service }, { "first", range.first.value }, { "last", range.last.value },
                { "previous", life.name },
                { "how",
                    dead                  ? "restarted"
                        : leaver.released ? "released"
                                          : "expired" } });
        return true;
    }
    const LifeEntry* known = m_site.directory.findLife(life);
    // A grant under way could arrive behind the release. Hosts that have heard of the move send nothing for it more.
    const bool told = m_toldRevision == m_tableRevision && monotonicNow() >= m_toldAt + kTellLead;
    if (until && known && told && !leaver.released && !leaver.releasing && monotonicNow() >= leaver.releaseAt)
        release(range, leaver, known->life);
    if (until && (leaver.released || leaver.releasing || !known))
        leaver.checkAt = std::min(bootNow() + kClearCheck, *until);
    return false;
}

void Keeper::release(const Range& range, Leaver& leaver, const UpstreamLife& life)
{
    leaver.releasing = true;
    m_site.http.start(m_site.dialect.releaseCall(life, range.first, range.last, range.fence),
        [this, key = keyOf(range), id = life.id](
            const HttpOutcome& outcome) { onRelease(key, id, m_site.dialect.interpretRelease(outcome)); });
}

void Keeper::onRelease(const Key& key, const LifeId& life, const ReleaseResult& result)
{
    const auto found = m_holdings.find(key);
    if (found == m_holdings.end() || !found->second.leavers.count(life))
        return;
    Leaver& leaver = found->second.leavers[life];
    leaver.releasing = false;
    leaver.released = result.verdict == OrderVerdict::done || result.verdict == OrderVerdict::otherLife;
    leaver.releaseAt = monotonicNow() + kReleaseRetry;
    leaver.checkAt = Millis(0);
    Holding& holding = found->second;
    if (!result.handover.empty())
        holding.handover = result.handover;
    const Range* range = findRange(m_table, { std::get<0>(key) });
    if (range && keyOf(*range) == key && mayRenew() && isDue(*range, holding))
        grantIfRoom(*range, holding);
}

void Keeper::grant(const Range& range, Holding& holding, const UpstreamLife& life)
{
    const OrderId order = m_nextOrder++;
    const Millis hold = m_table.hold;
    const SentGrant sent { order, hold, bootNow(), holding.failed };
    holding.granting = true;
    ++m_orders;
    m_retries += sent.retry;
    ++m_ordersAt[range.owner];
    recordSent(m_ledger, order, range.owner, range.first, range.last);
    HttpCall call = m_site.dialect.grantCall(
        life, { range.first, range.last, range.fence, hold, holding.confirmed ? "" : holding.handover });
    call.timeout = Millis(m_site.settings.limits.orderTimeoutMs);
    // After a failure a kept connection may be silent; what fails to connect cannot have arrived.
    call.freshConnection = holding.failed;
    m_site.http.start(std::move(call), [this, range, sent](const HttpOutcome& outcome) {
        onGrant(range, sent, m_site.dialect.interpretGrant(outcome));
    });
}

void Keeper::onGrant(const Range& range, const SentGrant& sent, OrderVerdict verdict)
{
    const Millis now = bootNow();
    const auto [order, hold] = std::pair(sent.order, sent.hold);
    --m_orders;
    m_retries -= sent.retry;
    if (--m_ordersAt[range.owner] == 0)
        m_ordersAt.erase(range.owner);
    if (verdict == OrderVerdict::done)
        recordAnswered(m_ledger, order, now, hold);
    else if (verdict == OrderVerdict::unanswered)
        recordUnanswered(m_ledger, order, now, hold);
    else
        recordNotApplied(m_ledger, order);
    m_site.metrics.count(
        "pistachiospur_renewals_total", { { "result", verdict == OrderVerdict::done ? "accepted" : "failed" } });
    countReach(range, verdict);
    if (verdict == OrderVerdict::otherLife)
        m_site.directory.learnEnded(range.owner);
    const auto found = m_holdings.find(keyOf(range));
    if (found == m_holdings.end())
        return;
    Holding& holding = found->second;
    holding.granting = false;
    holding.renewAt = monotonicNow() + kGrantRetry;
    holding.failed = verdict != OrderVerdict::done;
    if (holding.failed) {
        holding.refused = verdict == OrderVerdict::outdatedFence;
        logEvent(EventKind::state, "grant_failed",
            { { "service", m_service }, { "upstream", range.owner.name }, { "first", range.first.value },
                { "fence", range.fence.value }, { "verdict", static_cast<int>(verdict) } });
        return;
    }
    holding.renewAt = monotonicNow() + renewalInterval(m_table.ranges.size());
    holding.confirmed = true;
    holding.heldUntil = sent.sentAt + hold;
    if (!std::exchange(holding.active, true))
        logEvent(EventKind::state, "range_active",
            { { "service", m_service }, { "upstream", range.owner.name }, { "first", range.first.value },
                { "last", range.last.value }, { "fence", range.fence.value } });
}

// --- Upstreams out of reach ---

// Only a connection that could not be made counts: an order without an answer may be one that is carried out late.
void Keeper::countReach(const Range& range, OrderVerdict verdict)
{
    if (verdict != OrderVerdict::notSent) {
        if (verdict != OrderVerdict::unanswered && m_unreachable.erase(range.owner))
            m_planAt = Millis(0);
        return;
    }
    Unreachable& it = m_unreachable[range.owner];
    const Millis now = monotonicNow();
    if (it.failures++ == 0)
        it.since = now;
    it.lost = range;
    it.probeAt = now + kProbeInterval;
    if (isUnreachable(range.owner) && now - it.since < kUnreachableAfter + kGrantRetry)
        logEvent(EventKind::state, "upstream_unreachable",
            { { "service", m_service }, { "upstream", range.owner.name }, { "failures", it.failures } });
}

bool Keeper::isUnreachable(const LifeId& life) const
{
    const auto it = m_unreachable.find(life);
    return it != m_unreachable.end() && it->second.failures > 1
        && monotonicNow() >= it->second.since + kUnreachableAfter;
}

// Asks upstreams that lost their ranges to release one of them, which changes nothing but shows whether they answer.
void Keeper::probeUnreachable()
{
    const Millis now = monotonicNow();
    for (auto it = m_unreachable.begin(); it != m_unreachable.end();) {
        const LifeEntry* entry = m_site.directory.findLife(it->first);
        if (!entry || entry->entryGone) {
            it = m_unreachable.erase(it);
            continue;
        }
        auto& [life, state] = *it++;
        const Range* range = findRange(m_table, state.lost.first);
        const bool owns = range && range->owner == life;
        if (owns || now < state.probeAt)
            continue;
        state.probeAt = now + kProbeInterval;
        HttpCall call = m_site.dialect.releaseCall(entry->life, state.lost.first, state.lost.first, state.lost.fence);
        call.timeout = Millis(m_site.settings.limits.orderTimeoutMs);
        call.freshConnection = true;
        m_site.http.start(std::move(call), [this, id = life](const HttpOutcome& outcome) {
            if (m_site.dialect.interpretRelease(outcome).verdict == OrderVerdict::done)
                m_unreachable.erase(id);
        });
    }
}

// A keeper that reaches less than half of the upstreams is taken to be the one that is cut off.
void Keeper::yieldIfCutOff()
{
    std::size_t all = 0, lost = 0;
    for (const auto& [name, entry] : m_site.directory.lives()) {
        if (entry.life.service != m_service || entry.entryGone)
            continue;
        ++all;
        lost += isUnreachable(entry.life.id);
    }
    if (lost * 2 <= all || lost < 2)
        return;
    m_yieldUntil = monotonicNow() + kYieldTime;
    stepDown("most upstreams are out of this host's reach");
}

// --- News for the other hosts ---

Millis Keeper::readyIn(const Range& range, const Holding& holding) const
{
    const Millis now = bootNow();
    Millis longest = kReleaseEstimate / 2;
    for (const auto& it : range.previous) {
        const auto leaver = holding.leavers.find(it);
        if (leaver != holding.leavers.end() && (leaver->second.cleared || leaver->second.released))
            continue;
        const LifeEntry* known = m_site.directory.findLife(it);
        const auto until = mayHoldUntil(m_ledger, it, range.first, range.last, Counted::everyGrant);
        const Millis bound = until.value_or(now + longestHold(m_table.hold));
        const bool answers = known && !known->entryGone;
        longest = std::max({ longest, kReleaseEstimate, answers ? Millis(0) : bound - now });
    }
    const bool inherited = holding.inherited && !range.previous.empty();
    return std::max(longest, inherited ? earlierGrantsEnd() - now : Millis(0));
}

void Keeper::tellHosts()
{
    const Millis now = monotonicNow();
    if (!m_tableKnown || now < m_toldAt + kTellPause)
        return;
    RangeNews news { m_service, m_tableRevision, m_tableRevision, {}, {} };
    bool same = m_toldRevision == m_tableRevision;
    for (const auto& it : m_table.ranges) {
        const Holding& holding = m_holdings[keyOf(it)];
        if (!holding.active)
            news.pending.push_back({ it.first, it.last, readyIn(it, holding) });
    }
    same = same && news.pending.size() == m_told.size()
        && std::equal(m_told.begin(), m_told.end(), news.pending.begin(),
            [](const auto& a, const auto& b) { return a.first == b.first && a.last == b.last; });
    if (same && (news.pending.empty() || now < m_toldAt + kTellInterval))
        return;
    if (m_toldRevision != m_tableRevision) {
        news.base = m_toldRevision;
        news.changes = changesBetween(m_toldRanges, m_table);
        m_toldRanges = m_table.ranges;
    }
    m_toldRevision = m_tableRevision;
    m_told = news.pending;
    m_toldAt = now;
    m_site.pending[m_service] = { m_tableRevision, news.pending, now };
    m_site.rangesTold = true;
    m_site.hub.send(otherHosts(m_site), news);
}

} // namespace pistachiospur
