#pragma once

#include "balance.h"

// Paces the moves of ranges out of a data centre that is emptied. Its upstreams own a good part of all slots: moved all
// at once, their ranges would wait for each other's grants without an owner, and the upstreams that receive them would
// get the load of a data centre in one step.
namespace pistachiospur {

// An owner of ranges in a data centre that is emptied.
struct EvacuatedOwner {
    OwnerCapacity owner;
    Millis timeLeft {}; // until the last range is to have left its data centre; may be over
};

// The owners that keep their ranges in this plan; the others give them up now, the busiest first. They receive nothing.
// `planInterval` is the time between two plans. All of them stay if no upstream elsewhere can take over.
std::vector<OwnerCapacity> ownersThatStay(const std::vector<Range>&, const std::vector<EvacuatedOwner>&,
    const SlotLoads&, bool hasReceivers, Millis planInterval);

} // namespace pistachiospur
