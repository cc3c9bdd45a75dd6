#include "leader.h"

#include "cold_monitor.h"
#include "observe/events.h"

#include <algorithm>

// The part of RangeLeader that plans which upstream owns which range.
namespace pistachiospur {

namespace {

constexpr Millis kInitialOwnersSettleTime { 1000 };
// One plan may make one move per this many owners, so that large sites are balanced as fast as small ones.
constexpr std::size_t kOwnersPerMove = 10;

} // namespace

std::vector<OwnerCapacity> RangeLeader::eligibleOwners() const
{
    std::vector<OwnerCapacity> found;
    const Millis now = monotonicNow();
    // Upstreams that have not answered a grant, or that a host cannot connect to, may not accept the grant of a move.
    std::set<InstanceId> failing;
    for (const auto& it : m_table.ranges) {
        const auto state = m_rangeStates.find(keyOf(it));
        if (state != m_rangeStates.end() && state->second.lastGrantFailed)
            failing.insert(it.owner);
    }
    for (const auto& [host, lost] : m_context.lostByHost)
        failing.insert(lost.upstreams.begin(), lost.upstreams.end());
    for (const auto& [name, entry] : m_context.directory.instances()) {
        if (entry.instance.service != m_service || !mayTakeWork(entry, now) || entry.instance.draining
            || isUnreachable(entry.instance.id) || isEvacuated(m_context, entry.instance))
            continue;
        const double runMs = runMsOf(m_ownerSpeeds, entry.instance.id);
        const bool mayReceive = !failing.count(entry.instance.id)
            && !isFailing(m_context.reach, m_service, entry.instance.id)
            && !isSilent(m_targets, entry.instance.id, now);
        const double capacity = coldCapacity(m_context, entry, entry.instance.slots * 1000.0 / runMs);
        found.push_back({ entry.instance.id, capacity, mayReceive });
    }
    return found;
}

// Adds the upstreams that still own ranges in a data centre that is emptied, and whose turn to give them up has not
// come. Their ranges are fixed.
void RangeLeader::addEvacuatedOwners(std::vector<OwnerCapacity>& owners, std::set<std::uint32_t>& fixed,
    const std::vector<Range>& ranges, const SlotLoads& loads) const
{
    const auto& active = m_context.directory.evacuations().active;
    if (active.empty())
        return;
    std::vector<EvacuatedOwner> evacuated;
    for (const auto& [name, entry] : m_context.directory.instances()) {
        const auto evacuation = active.find(entry.instance.dataCentre);
        if (evacuation == active.end() || entry.instance.service != m_service || !mayTakeWork(entry, monotonicNow())
            || entry.instance.draining || isUnreachable(entry.instance.id))
            continue;
        const Millis evacuateTime(m_context.settings.limits.evacuateMs);
        const double runMs = runMsOf(m_ownerSpeeds, entry.instance.id);
        evacuated.push_back({ { entry.instance.id, entry.instance.slots * 1000.0 / runMs, false },
            emptyBy(evacuation->second, evacuateTime) - bootNow() });
    }
    std::set<InstanceId> staying;
    for (auto& it : ownersThatStay(ranges, evacuated, loads, !owners.empty(), kPlanInterval)) {
        staying.insert(it.id);
        owners.push_back(std::move(it));
    }
    for (const auto& it : ranges) {
        if (staying.count(it.owner))
            fixed.insert(it.first.value);
    }
}

// Brings ranges of the table up to what is known of their grants. Sets `changed` if one differs from the table then.
// Returns the first slots of the ranges that must not move.
std::set<std::uint32_t> RangeLeader::settleGrants(std::vector<Range>& ranges, bool& changed)
{
    std::set<std::uint32_t> fixed;
    for (auto& range : ranges) {
        const RangeState& state = m_rangeStates[keyOf(range)];
        if (!range.previous.empty() && state.confirmed) {
            range.previous.clear();
            changed = true;
        }
        if (state.fenceOutdated) {
            range.fence = kFenceOfThisWrite;
            changed = true;
        }
        if (m_carriesOver && m_needsProof && !state.renewedInEra) {
            addUnknownOwner(range);
            changed = true;
        }
        // A move that waits for grants of other leaders leaves its slots without an owner, so only those that need one
        // move.
        if (!state.confirmed || !range.previous.empty() || bootNow() < m_unknownGrantsEnd
            || mayHaveEarlierGrants(state))
            fixed.insert(range.first.value);
    }
    return fixed;
}

// The moves to make now. Those whose new owner has not just answered wait for a later plan, which begins soon after it
// has answered.
std::vector<Move> RangeLeader::planAnsweredMoves(
    const std::vector<Range>& ranges, const std::set<std::uint32_t>& fixedRanges)
{
    const Millis now = monotonicNow();
    forgetOldAnswers(m_targets, now);
    std::set<std::uint32_t> fixed = fixedRanges;
    auto eligible = eligibleOwners();
    addEvacuatedOwners(eligible, fixed, ranges, lastingLoads(m_plans.rates));
    BalancePolicy policy;
    policy.maxMoves = std::max(policy.maxMoves, static_cast<unsigned>(eligible.size() / kOwnersPerMove));
    const bool isJudged = m_context.settings.limits.judgedMoves > 0;
    const HotSlots hotBefore = m_plans.hot;
    auto moves = isJudged ? planNextMoves(m_plans, ranges, eligible, fixed, policy, {}, now)
                          : planMoves(ranges, eligible, recentLoads(m_plans.rates), fixed, policy);
    const auto mustWait = [this](const Move& it) {
        const Range* current = findRange(m_table, it.first);
        return current && awaitsProof(*current);
    };
    moves.erase(std::remove_if(moves.begin(), moves.end(), mustWait), moves.end());
    // The plan that follows answers asks nobody, so that answers cause no more plans than one.
    const bool followsAnswers = std::any_of(m_targets.begin(), m_targets.end(),
        [now](const auto& it) { return it.second.answeredAt && now <= *it.second.answeredAt + kMaxAnswerAge; });
    for (const auto& it : holdBack(moves, m_targets, now)) {
        if (!followsAnswers)
            askTarget(it);
        for (auto hot = m_plans.hot.lower_bound(it.first.value);
             hot != m_plans.hot.end() && hot->first <= it.last.value; ++hot) {
            const auto before = hotBefore.find(hot->first);
            hot->second.settled = before != hotBefore.end() && before->second.settled;
        }
    }
    return moves;
}

// The ranges to write next: without previous owners where the new owner has accepted a grant, with a new fencing token
// where the owner has seen a higher one, and with the moves of a new plan. Sets `changed` if they differ from the
// table.
std::vector<Range> RangeLeader::nextRanges(bool& changed)
{
    std::vector<Range> ranges = m_table.ranges;
    std::set<std::uint32_t> fixed = settleGrants(ranges, changed);
    for (const auto& it : planAnsweredMoves(ranges, fixed)) {
        logEvent(EventKind::state, "move",
            { { "service", m_service }, { "first", it.first.value }, { "last", it.last.value }, { "to", it.to.name } });
        if (m_context.settings.limits.judgedMoves > 0)
            noteMove(m_plans.history, ranges, it.first, it.last, monotonicNow());
        m_context.metrics.count("pistachiospur_slot_moves_total");
        m_context.metrics.count("pistachiospur_moved_slots_total", {}, it.last.value - it.first.value + 1);
        assign(ranges, it.first, it.last, it.to);
        changed = true;
    }
    allowForUnknownGrants(ranges);
    // If there is a write anyway, neighbouring ranges of one owner are joined under this write's fencing token.
    for (std::size_t n = 1; changed && n < ranges.size(); ++n) {
        Range &left = ranges[n - 1], &right = ranges[n];
        const bool joinable = left.owner == right.owner && !fixed.count(left.first.value)
            && !fixed.count(right.first.value) && left.previous.empty() && right.previous.empty();
        if (joinable)
            left.fence = right.fence = kFenceOfThisWrite;
    }
    joinNeighbours(ranges);
    if (m_carriesOver) {
        changed = true;
        for (auto& it : ranges)
            it.fence = kFenceOfThisWrite;
    }
    return ranges;
}

// Lets each move wait until the grants of leaders that no table names have expired.
void RangeLeader::allowForUnknownGrants(std::vector<Range>& ranges) const
{
    if (bootNow() >= m_unknownGrantsEnd)
        return;
    for (auto& it : ranges) {
        if (!it.previous.empty() && !hasCleared(it))
            addUnknownOwner(it);
    }
}

// Whether no previous owner of a range of the table can have a valid grant for it any more.
bool RangeLeader::hasCleared(const Range& range) const
{
    const auto state = m_rangeStates.find(keyOf(range));
    return state != m_rangeStates.end()
        && std::all_of(range.previous.begin(), range.previous.end(), [&](const InstanceId& instance) {
               const auto it = state->second.previousOwners.find(instance);
               return it != state->second.previousOwners.end() && it->second.cleared;
           });
}

// Even runs of slots for all eligible upstreams. Empty until their number has settled, because upstreams start together
// with the hosts.
std::vector<Range> RangeLeader::initialRanges()
{
    const auto eligible = eligibleOwners();
    const Millis now = monotonicNow();
    if (eligible.size() != m_initialOwners) {
        m_initialOwners = eligible.size();
        m_initialOwnersSince = now;
    }
    return now < m_initialOwnersSince + kInitialOwnersSettleTime ? std::vector<Range>() : evenRanges(eligible);
}

void RangeLeader::plan()
{
    if (!m_unsettledText.empty())
        return writeTable({});
    if (!m_tableWritten)
        return writeFirstTable();
    if (m_carriesOver && !isRewriteDue())
        return;
    // A host that is cut off would move ranges away from upstreams that are well, and its successor wait for them.
    if (mayHaveLost(m_context.reach, m_service))
        return;
    bool changed = false;
    auto ranges = nextRanges(changed);
    if (changed)
        writeTable(std::move(ranges));
}

} // namespace pistachiospur
