#include "announcements.h"
#include "leader.h"
#include "notices.h"
#include "reach_monitor.h"

#include "observe/events.h"

#include <algorithm>

// The part of RangeLeader that puts a written table into effect: sends releases and grants, detects unreachable
// upstreams, and sends range updates to the other hosts.
namespace pistachiospur {

namespace {

constexpr Millis kGrantRetry { 200 };
constexpr Millis kReleaseRetry { 200 };
// Expected duration of a release call: one request's run time on today's services.
constexpr Millis kReleaseEstimate { 200 };
constexpr Millis kAnnounceInterval { 1000 };
// Interval of checks on a previous owner whose grants must expire. Proof that its instance has ended may come earlier.
constexpr Millis kClearCheckInterval { 100 };
// Assumed time for an update to reach the other hosts.
constexpr Millis kAnnounceDelay { 15 };
// An upstream loses its ranges if connections to it have failed for this time and at least twice.
constexpr Millis kUnreachableAfter { 600 };
constexpr Millis kProbeInterval { 1000 };
// Answers of several upstreams that are to get slots are waited for together.
constexpr Millis kAnswerWait { 20 };
// A leader that stepped down because it was cut off does not stand for election for this time.
constexpr Millis kCutOffPause { 4000 };
// Limits on grants in flight, per processor core and per upstream. A new leader grants every range at once; without the
// limits it would starve its own event loop and use up an upstream's few connections.
constexpr std::size_t kGrantsInFlightPerCore = 120;
constexpr std::size_t kMinGrantsInFlightLimit = 12;
constexpr unsigned kMaxGrantsInFlightPerOwner = 2;
// Retries of failed grants are limited separately, to the limit above divided by this.
constexpr std::size_t kRetryLimitDivisor = 2;

} // namespace

// --- Orders ---

// Sends the grants that are due, those that have been due for longest first. With thousands of ranges most are due or
// not on any tick, so what is looked up for each range is kept small, and the rest ends with the room in flight.
void RangeLeader::sendDueGrants()
{
    struct DueGrant {
        Millis since;
        const Range* range;
        RangeState* state;
    };
    std::vector<DueGrant> due;
    const Millis now = monotonicNow(), boot = bootNow();
    for (const auto& it : m_table.ranges) {
        RangeState& state = m_rangeStates[keyOf(it)];
        if (state.active && state.confirmed && boot >= state.grantedUntil)
            state.active = false;
        if (isGrantDue(it, state, now))
            due.push_back({ state.nextGrantAt, &it, &state });
    }
    std::sort(due.begin(), due.end(),
        [](const auto& a, const auto& b) { return std::tie(a.since, a.range) < std::tie(b.since, b.range); });
    for (const auto& it : due) {
        if (!hasRoomForGrant(false) && !hasRoomForGrant(true))
            return;
        grantWithinLimits(*it.range, *it.state);
    }
}

void RangeLeader::grantWithinLimits(const Range& range, RangeState& state)
{
    if (!isBelowGrantLimits(range.owner, state.lastGrantFailed))
        return;
    const InstanceEntry* owner = m_context.directory.findInstance(range.owner);
    if (owner && !owner->entryGone && ownPauseLeft(m_context, range.owner, monotonicNow()) == Millis(0))
        sendGrant(range, state, owner->instance);
}

// Whether it is time to grant a range that no other upstream may hold. Also advances the clearing of the range.
bool RangeLeader::isGrantDue(const Range& range, RangeState& state, Millis now)
{
    return clearPreviousOwners(range, state) && !state.granting && !state.fenceOutdated && now >= state.nextGrantAt;
}

// Retries have a limit of their own, so that the upstreams of a failed rack do not delay the renewals of the others.
bool RangeLeader::hasRoomForGrant(bool isRetry) const
{
    const auto percent = static_cast<std::size_t>(m_context.settings.processorPercent);
    const std::size_t maxGrants = std::max(kMinGrantsInFlightLimit, kGrantsInFlightPerCore * percent / 100);
    return isRetry ? m_retriesInFlight < maxGrants / kRetryLimitDivisor
                   : m_grantsInFlight - m_retriesInFlight < maxGrants;
}

bool RangeLeader::isBelowGrantLimits(const InstanceId& owner, bool isRetry) const
{
    const auto atOwner = m_grantsInFlightByOwner.find(owner);
    if (atOwner != m_grantsInFlightByOwner.end() && atOwner->second >= kMaxGrantsInFlightPerOwner)
        return false;
    return hasRoomForGrant(isRetry);
}

// Advances the clearing of all previous owners. Returns true once none of them can have a valid grant for the range.
bool RangeLeader::clearPreviousOwners(const Range& range, RangeState& state)
{
    bool allCleared = true;
    for (const auto& instance : range.previous) {
        PreviousOwner& previousOwner = state.previousOwners[instance];
        if (!previousOwner.cleared)
            allCleared &= clearPreviousOwner(range, instance, previousOwner, state.hasEarlierGrants);
    }
    return allCleared;
}

// A previous owner is cleared if another upstream answers at its address, or once every grant counted against it has
// expired. After an answered release only unanswered grants count. That a later process has started under its name does
// not clear it, unless the range goes to that process: orders are addressed to the name, so it may hold the range.
bool RangeLeader::clearPreviousOwner(
    const Range& range, const InstanceId& instance, PreviousOwner& previousOwner, bool hasEarlierGrants)
{
    if (bootNow() < previousOwner.nextCheckAt)
        return false;
    if (instance == kUnknownOwner) {
        previousOwner.cleared = bootNow() >= m_unknownGrantsEnd;
        return previousOwner.cleared;
    }
    const auto counted = previousOwner.released ? Counted::unansweredOnly : Counted::everyGrant;
    const auto validUntil = mayHoldUntil(m_ledger, instance.name, range.first, range.last, counted);
    const InstanceEntry* known = m_context.directory.findSameOrLaterInstance(instance);
    const Millis earlierEnd = hasEarlierGrants ? earlierGrantsEnd() : Millis(0);
    const bool ended = m_context.directory.isProvenEnded(instance);
    const bool returns = isLaterProcess(range.owner, instance);
    if (ended || returns || (validUntil && bootNow() >= std::max(*validUntil, earlierEnd))) {
        previousOwner.cleared = true;
        logEvent(EventKind::state, "range_cleared",
            { { "service", m_service }, { "first", range.first.value }, { "last", range.last.value },
                { "previous", instance.name }, { "previous_born", instance.startTime.value },
                { "how",
                    ended                        ? "ended"
                        : returns                ? "returns"
                        : previousOwner.released ? "released"
                                                 : "expired" } });
        return true;
    }
    // A release must not be sent while a grant is in flight, because the grant could arrive after it. It also waits
    // until the other hosts have the update on the move and send this upstream no more requests for the range.
    const bool announced = m_announcedRevision == m_tableRevision && monotonicNow() >= m_announcedAt + kAnnounceDelay;
    if (validUntil && known && announced && !previousOwner.released && !previousOwner.releasing
        && monotonicNow() >= previousOwner.nextReleaseAt
        && ownPauseLeft(m_context, known->instance.id, monotonicNow()) == Millis(0))
        sendRelease(range, instance, previousOwner, known->instance);
    if (validUntil && (previousOwner.released || previousOwner.releasing || !known))
        previousOwner.nextCheckAt = std::min(bootNow() + kClearCheckInterval, *validUntil);
    return false;
}

// The order's id as the upstream sees it: no other process uses the same.
std::string RangeLeader::orderText(OrderId order) const
{
    return std::to_string(m_context.incarnation.value) + "-" + std::to_string(order);
}

// Asks for a range that an instance may hold. `upstream` is that instance or a later process under its name.
void RangeLeader::sendRelease(
    const Range& range, const InstanceId& instance, PreviousOwner& previousOwner, const UpstreamInstance& upstream)
{
    previousOwner.releasing = true;
    const ReleaseOrder order { range.first, range.last, range.fence, orderText(m_nextOrder++) };
    HttpCall call = m_context.adapter.releaseCall(upstream, order);
    const Millis timeout = call.timeout;
    m_context.http.start(std::move(call),
        [this, key = keyOf(range), instance, upstream, id = order.id, timeout, begunAt = monotonicNow()](
            const HttpOutcome& outcome) {
            noteContact(m_context, upstream, outcome, begunAt, timeout);
            takeOrderNotice(m_context, upstream.id, outcome, id);
            ReleaseResult result = m_context.adapter.interpretRelease(outcome, id);
            noteWhoAnswered(upstream, result.verdict);
            const bool isElsewhere
                = result.verdict == OrderVerdict::otherInstance && !m_context.directory.isProvenEnded(upstream.id);
            if (isElsewhere) // it may live, and hold the range
                result.verdict = OrderVerdict::refused;
            onRelease(key, instance, result);
        });
}

void RangeLeader::onRelease(const RangeKey& key, const InstanceId& instance, const ReleaseResult& result)
{
    const auto found = m_rangeStates.find(key);
    if (found == m_rangeStates.end() || !found->second.previousOwners.count(instance))
        return;
    PreviousOwner& previousOwner = found->second.previousOwners[instance];
    previousOwner.releasing = false;
    previousOwner.released = result.verdict == OrderVerdict::done || result.verdict == OrderVerdict::otherInstance;
    previousOwner.nextReleaseAt = monotonicNow() + kReleaseRetry;
    previousOwner.nextCheckAt = Millis(0);
    RangeState& state = found->second;
    if (!result.handover.empty())
        state.handover = result.handover;
    const Range* range = findRange(m_table, { std::get<0>(key) });
    if (range && keyOf(*range) == key && mayRenew() && isGrantDue(*range, state, monotonicNow()))
        grantWithinLimits(*range, state);
}

void RangeLeader::sendGrant(const Range& range, RangeState& state, const UpstreamInstance& upstream)
{
    const OrderId order = m_nextOrder++;
    const Millis ttl = m_table.grantTtl;
    const SentGrant sent { order, ttl, bootNow(), state.lastGrantFailed };
    state.granting = true;
    ++m_grantsInFlight;
    m_retriesInFlight += sent.isRetry;
    ++m_grantsInFlightByOwner[range.owner];
    recordSent(m_ledger, order, range.owner, range.first, range.last);
    HttpCall call = m_context.adapter.grantCall(upstream,
        { range.first, range.last, range.fence, ttl, state.confirmed ? "" : state.handover, orderText(order) });
    call.timeout = Millis(m_context.settings.limits.orderTimeoutMs);
    // A reused connection may be dead after a failure. With a new one, a failure to connect proves that the grant did
    // not arrive. The first grant of a move is worth one, since a range whose grant may have arrived waits for its end.
    call.freshConnection = state.lastGrantFailed || (!state.confirmed && !range.previous.empty());
    m_context.http.start(
        std::move(call), [this, range, sent, upstream, begunAt = monotonicNow()](const HttpOutcome& outcome) {
            noteContact(m_context, upstream, outcome, begunAt, Millis(m_context.settings.limits.orderTimeoutMs));
            takeOrderNotice(m_context, range.owner, outcome, orderText(sent.order));
            onGrant(range, upstream, sent, m_context.adapter.interpretGrant(outcome, orderText(sent.order)));
        });
}

// An upstream refuses orders for another one, so any other answer is of the one that the order was for.
void RangeLeader::noteWhoAnswered(const UpstreamInstance& upstream, OrderVerdict verdict)
{
    if (verdict == OrderVerdict::done || verdict == OrderVerdict::outdatedFence)
        m_context.directory.recordAnswer(upstream);
    else if (verdict == OrderVerdict::otherInstance)
        m_context.directory.recordReplaced(upstream);
}

void RangeLeader::onGrant(
    const Range& range, const UpstreamInstance& upstream, const SentGrant& sent, OrderVerdict verdict)
{
    const Millis now = bootNow();
    const auto [order, ttl] = std::pair(sent.order, sent.ttl);
    --m_grantsInFlight;
    m_retriesInFlight -= sent.isRetry;
    if (--m_grantsInFlightByOwner[range.owner] == 0)
        m_grantsInFlightByOwner.erase(range.owner);
    if (verdict == OrderVerdict::done)
        recordAnswered(m_ledger, order, now, ttl);
    else if (verdict == OrderVerdict::unanswered)
        recordUnanswered(m_ledger, order, now, ttl);
    else
        recordNotApplied(m_ledger, order);
    m_context.metrics.count(
        "pistachiospur_renewals_total", { { "result", verdict == OrderVerdict::done ? "accepted" : "failed" } });
    recordReachability(range, verdict);
    noteWhoAnswered(upstream, verdict);
    const auto found = m_rangeStates.find(keyOf(range));
    if (found == m_rangeStates.end())
        return;
    RangeState& state = found->second;
    state.granting = false;
    state.nextGrantAt = monotonicNow() + kGrantRetry;
    state.lastGrantFailed = verdict != OrderVerdict::done;
    if (state.lastGrantFailed) {
        state.fenceOutdated = verdict == OrderVerdict::outdatedFence;
        logEvent(EventKind::state, "grant_failed",
            { { "service", m_service }, { "upstream", range.owner.name }, { "first", range.first.value },
                { "fence", textOf(range.fence) }, { "verdict", static_cast<int>(verdict) } });
        return;
    }
    state.nextGrantAt = monotonicNow() + renewalInterval(m_table.ranges.size());
    state.confirmed = true;
    // A grant that was accepted earlier proves less: an upstream that starts again forgets its fencing token, and would
    // accept what a previous leader still sends.
    const auto earlierEnd = earlierOrdersEnd();
    state.hasEarlierGrants &= !earlierEnd || sent.sentAt < *earlierEnd;
    state.renewedInEra |= sent.sentAt >= m_eraKnownAt;
    state.grantedUntil = sent.sentAt + ttl;
    if (!std::exchange(state.active, true))
        logEvent(EventKind::state, "range_active",
            { { "service", m_service }, { "upstream", range.owner.name }, { "first", range.first.value },
                { "last", range.last.value }, { "fence", textOf(range.fence) } });
}

// Asks the upstream that is to get slots to release the first of them, which it does not own: that changes nothing, and
// shows whether it takes connections and answers.
void RangeLeader::askTarget(const Move& move)
{
    const InstanceEntry* entry = m_context.directory.findInstance(move.to);
    const Range* range = findRange(m_table, move.first);
    if (!entry || entry->entryGone || !range || isAsked(m_targets, move.to)
        || ownPauseLeft(m_context, move.to, monotonicNow()) > Millis(0))
        return;
    noteAsked(m_targets, move.to);
    const ReleaseOrder order { move.first, move.first, range->fence, orderText(m_nextOrder++) };
    HttpCall call = m_context.adapter.releaseCall(entry->instance, order);
    const Millis timeout(m_context.settings.limits.orderTimeoutMs);
    call.timeout = timeout;
    m_context.http.start(std::move(call),
        [this, upstream = entry->instance, id = order.id, timeout, begunAt = monotonicNow(), nextPlanAt = m_nextPlanAt](
            const HttpOutcome& outcome) {
            noteContact(m_context, upstream, outcome, begunAt, timeout);
            takeOrderNotice(m_context, upstream.id, outcome, id);
            const Millis now = monotonicNow();
            const bool isAnswered = m_context.adapter.interpretRelease(outcome, id).verdict == OrderVerdict::done;
            noteAnswer(m_targets, upstream.id, isAnswered, now);
            if (isAnswered && m_nextPlanAt == nextPlanAt)
                m_nextPlanAt = std::min(m_nextPlanAt, now + kAnswerWait);
            if (!isAnswered)
                logEvent(EventKind::state, "move_target_silent",
                    { { "service", m_service }, { "upstream", upstream.id.name } });
        });
}

// --- Unreachable upstreams ---

// Counts only failures to connect. An order that was sent but not answered may still be carried out later.
void RangeLeader::recordReachability(const Range& range, OrderVerdict verdict)
{
    if (verdict != OrderVerdict::notSent) {
        if (verdict != OrderVerdict::unanswered && m_unreachable.erase(range.owner))
            m_nextPlanAt = Millis(0);
        return;
    }
    UnreachableUpstream& upstream = m_unreachable[range.owner];
    const Millis now = monotonicNow();
    if (upstream.failures++ == 0)
        upstream.firstFailureAt = now;
    upstream.probeRange = range;
    upstream.nextProbeAt = now + kProbeInterval;
    if (isUnreachable(range.owner) && now - upstream.firstFailureAt < kUnreachableAfter + kGrantRetry)
        logEvent(EventKind::state, "upstream_unreachable",
            { { "service", m_service }, { "upstream", range.owner.name }, { "failures", upstream.failures } });
}

bool RangeLeader::isUnreachable(const InstanceId& instance) const
{
    const auto found = m_unreachable.find(instance);
    return found != m_unreachable.end() && found->second.failures > 1
        && monotonicNow() >= found->second.firstFailureAt + kUnreachableAfter;
}

// Probes unreachable upstreams that no longer own their ranges: asks each to release the first slot of one of them
// again, which has no effect but shows whether the upstream answers.
void RangeLeader::probeUnreachable()
{
    const Millis now = monotonicNow();
    for (auto it = m_unreachable.begin(); it != m_unreachable.end();) {
        const InstanceEntry* entry = m_context.directory.findInstance(it->first);
        if (!entry || entry->entryGone) {
            it = m_unreachable.erase(it);
            continue;
        }
        auto& [instance, upstream] = *it++;
        const Range* range = findRange(m_table, upstream.probeRange.first);
        const bool owns = range && range->owner == instance;
        if (owns || now < upstream.nextProbeAt || ownPauseLeft(m_context, instance, now) > Millis(0))
            continue;
        upstream.nextProbeAt = now + kProbeInterval;
        const ReleaseOrder order { upstream.probeRange.first, upstream.probeRange.first, upstream.probeRange.fence,
            orderText(m_nextOrder++) };
        HttpCall call = m_context.adapter.releaseCall(entry->instance, order);
        call.timeout = Millis(m_context.settings.limits.orderTimeoutMs);
        m_context.http.start(std::move(call), [this, instance = instance, id = order.id](const HttpOutcome& outcome) {
            takeOrderNotice(m_context, instance, outcome, id);
            if (m_context.adapter.interpretRelease(outcome, id).verdict == OrderVerdict::done)
                m_unreachable.erase(instance);
        });
    }
}

// A leader is cut off itself if it has lost the service, or cannot reach more than half of the service's upstreams, and
// at least two.
void RangeLeader::stepDownIfCutOff()
{
    if (m_context.reach.lost.services.count(m_service) > 0 && !isLostByAll(m_context, m_service)) {
        m_ineligibleUntil = monotonicNow() + kCutOffPause;
        return stepDown("this host has lost its way to the upstreams");
    }
    std::size_t total = 0, unreachable = 0;
    for (const auto& [name, entry] : m_context.directory.instances()) {
        if (entry.instance.service != m_service || entry.entryGone)
            continue;
        ++total;
        unreachable += isUnreachable(entry.instance.id);
    }
    if (unreachable * 2 <= total || unreachable < 2)
        return;
    m_ineligibleUntil = monotonicNow() + kCutOffPause;
    stepDown("most upstreams are out of this host's reach");
}

// --- Updates for the other hosts ---

// Estimated time until the owner of a range has a valid grant: the longest wait for any of its previous owners, as in
// clearPreviousOwner().
Millis RangeLeader::estimateReadyIn(const Range& range, const RangeState& state) const
{
    const Millis now = bootNow();
    Millis longest = std::max(kReleaseEstimate / 2, ownPauseLeft(m_context, range.owner, monotonicNow()));
    for (const auto& instance : range.previous) {
        const auto previousOwner = state.previousOwners.find(instance);
        const bool hasState = previousOwner != state.previousOwners.end();
        if (hasState && previousOwner->second.cleared)
            continue;
        if (instance == kUnknownOwner) {
            longest = std::max(longest, m_unknownGrantsEnd - now);
            continue;
        }
        if (isLaterProcess(range.owner, instance) || m_context.directory.isProvenEnded(instance))
            continue;
        if (state.hasEarlierGrants)
            longest = std::max(longest, earlierGrantsEnd() - now);
        if (hasState && previousOwner->second.released)
            continue;
        const InstanceEntry* known = m_context.directory.findSameOrLaterInstance(instance);
        const auto validUntil = mayHoldUntil(m_ledger, instance.name, range.first, range.last, Counted::everyGrant);
        const Millis validEnd = validUntil.value_or(now + longestGrant(m_table.grantTtl));
        const bool reachable = known && !known->entryGone;
        const Millis pause = ownPauseLeft(m_context, instance, monotonicNow());
        longest = std::max({ longest, kReleaseEstimate, reachable ? std::min(pause, validEnd - now) : validEnd - now });
    }
    return longest;
}

// Sends the table's changes and the pending ranges to all other hosts. While ranges are pending, repeats the update at
// an interval, because the estimates change.
void RangeLeader::announceRanges()
{
    const Millis now = monotonicNow();
    if (!m_tableWritten || now < m_announcedAt + announceInterval(m_context.directory.hosts().size()))
        return;
    RangeUpdate update { m_service, m_tableRevision, m_tableRevision, {}, {} };
    for (const auto& it : m_table.ranges) {
        const RangeState& state = m_rangeStates[keyOf(it)];
        if (!state.active)
            update.pending.push_back({ it.first, it.last, estimateReadyIn(it, state) });
    }
    update.pending = joinPending(update.pending);
    const bool unchanged = m_announcedRevision == m_tableRevision && hasSameSlots(m_announcedPending, update.pending);
    if (unchanged && (update.pending.empty() || now < m_announcedAt + kAnnounceInterval))
        return;
    if (m_announcedRevision != m_tableRevision) {
        update.base = m_announcedRevision;
        update.changes = changesBetween(m_announcedRanges, m_table);
        m_announcedRanges = m_table.ranges;
    }
    dropUnusable(update);
    m_announcedRevision = m_tableRevision;
    m_announcedPending = update.pending;
    m_announcedAt = now;
    m_context.pending[m_service] = { m_tableRevision, update.pending, now };
    m_context.rangesChanged = true;
    m_context.hub.send(otherHosts(m_context), update);
}

} // namespace pistachiospur
