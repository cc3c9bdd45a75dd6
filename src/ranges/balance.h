#pragma once

#include "hot_slots.h"
#include "plan_judge.h"
#include "slot_rates.h"
#include "table.h"

#include <set>
#include <vector>

// Plans which upstream should own which slots: reassigns the ranges of upstreams that left, moves busy runs of slots
// from the most to the least utilized upstreams, and reduces the number of ranges.
namespace pistachiospur {

struct OwnerCapacity {
    InstanceId id;
    double capacity = 1; // requests per second that it can run
    bool mayReceive = true; // may get further slots; if no owner may, ranges that need a new one go to any
};

// A run of slots that gets a new owner.
struct Move {
    SlotId first;
    SlotId last;
    InstanceId to;

    friend bool operator==(const Move& a, const Move& b)
    {
        return std::tie(a.first, a.last, a.to) == std::tie(b.first, b.last, b.to);
    }
};

struct BalancePolicy {
    unsigned maxMoves = 3; // per plan, for balancing and again for joining ranges
    double minSourceUtilization = 0.55; // below this, an upstream loses slots only to one that owns none
    double minUtilizationGap = 0.2; // between the upstream that loses slots and the one that gets them
    // With more ranges per owner, quiet ranges are moved to their neighbours' owners, since each range costs one grant
    // per renewal interval.
    std::size_t maxRangesPerOwner = 2;
};

// What a plan is judged by, beside the lasting loads.
struct PlanJudge {
    JudgePolicy policy;
    SlotLoads recent;
    double window = 0; // of the lasting loads, in seconds
    HotSlots hot;
    MoveHistory history;
    Millis now {};
};

// The first table: one run of slots for each owner, all of about the same length.
std::vector<Range> evenRanges(const std::vector<OwnerCapacity>& owners);

// Moves for all ranges whose owner is not among `owners`, then for balance, then to reduce the number of ranges.
// `fixed` holds the first slots of ranges that must not move for the latter two reasons. Empty if there are no owners.
// With a judge, hot slots are isolated, and moves for balance are made only if they gain by its policy; without one,
// any difference of utilization beyond the policy's gap moves slots.
std::vector<Move> planMoves(const std::vector<Range>&, const std::vector<OwnerCapacity>& owners, const SlotLoads&,
    const std::set<std::uint32_t>& fixed, const BalancePolicy&, const PlanJudge* = nullptr);

} // namespace pistachiospur
