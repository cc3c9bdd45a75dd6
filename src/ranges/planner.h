#pragma once

#include "balance.h"

// Plans the moves of a keyed service over time: what is known of its loads, which slots are hot, and what was moved.
namespace pistachiospur {

struct PlanMemory {
    SlotRates rates;
    HotSlots hot;
    MoveHistory history;
};

// The moves to make now, as planMoves() with a judge. Those that are made must be noted in the memory's history.
std::vector<Move> planNextMoves(PlanMemory&, const std::vector<Range>&, const std::vector<OwnerCapacity>& owners,
    const std::set<std::uint32_t>& fixed, const BalancePolicy&, const JudgePolicy&, Millis now);

} // namespace pistachiospur
