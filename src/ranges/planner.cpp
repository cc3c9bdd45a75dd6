#include "planner.h"

#include <algorithm>

namespace pistachiospur {

std::vector<Move> planNextMoves(PlanMemory& memory, const std::vector<Range>& ranges,
    const std::vector<OwnerCapacity>& owners, const std::set<std::uint32_t>& fixed, const BalancePolicy& policy,
    const JudgePolicy& judgePolicy, Millis now)
{
    updateHotSlots(memory.hot, memory.rates, owners, now);
    forgetOldMoves(memory.history, judgePolicy, now);
    const PlanJudge judge { judgePolicy, recentLoads(memory.rates), lastingWindow(memory.rates), memory.hot,
        memory.history, now };
    auto moves = planMoves(ranges, owners, lastingLoads(memory.rates), fixed, policy, &judge);
    // A slot whose range could not move yet is decided on by a later plan.
    for (auto& [slot, hot] : memory.hot) {
        const auto range = std::find_if(ranges.begin(), ranges.end(),
            [slot = slot](const Range& it) { return it.first.value <= slot && slot <= it.last.value; });
        const bool canMove = range != ranges.end() && range->previous.empty() && !fixed.count(range->first.value);
        hot.settled |= canMove && isDue(hot, now);
    }
    return moves;
}

} // namespace pistachiospur
