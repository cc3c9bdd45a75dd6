#pragma once

#include "table.h"

#include <map>
#include <set>
#include <vector>

// Plans who should own which slots: ranges of upstreams that left find new owners, and busy runs of slots move from the
// busiest upstream to the idlest.
namespace pistachiospur {

// Requests per second by slot, from the entry hosts' recent counts. Slots without requests are not listed.
using SlotLoads = std::map<std::uint32_t, double>;

struct OwnerFacts {
    LifeId id;
    double capacity = 1; // requests per second that it can run
};

// Slots that change hands.
struct Move {
    SlotId first;
    SlotId last;
    LifeId to;

    friend bool operator==(const Move& a, const Move& b)
    {
        return std::tie(a.first, a.last, a.to) == std::tie(b.first, b.last, b.to);
    }
};

struct BalancePolicy {
    unsigned mostMoves = 3; // in one plan
    double busyEnough = 0.55; // utilization below which an upstream is relieved of nothing
    double worthwhileGap = 0.2; // least difference in utilization between giver and taker
    std::size_t rangesPerOwner
        = 2; // with more, quiet ranges go to their neighbours' owners: each costs an order a renewal
};

// The first table: even runs, one for each owner.
std::vector<Range> evenRanges(const std::vector<OwnerFacts>& owners);

// Moves for every range whose owner may not keep it, then for balance, then to have fewer ranges. `owners` are those
// that may own; `fixed` holds the first slots of ranges that must not move for balance now. Empty when there is no
// owner at all.
std::vector<Move> planMoves(const std::vector<Range>&, const std::vector<OwnerFacts>& owners, const SlotLoads&,
    const std::set<std::uint32_t>& fixed, const BalancePolicy&);

} // namespace pistachiospur
