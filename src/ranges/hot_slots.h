#pragma once

#include "plan_judge.h"
#include "slot_rates.h"

#include <map>
#include <vector>

// Slots that get more requests than any upstream can run. No move helps such a slot beyond the fastest upstream that
// can be had, so it is moved once, alone, and then left there; its surplus moves nothing else.
namespace pistachiospur {

struct OwnerCapacity;

struct HotSlot {
    Millis since {};
    bool settled = false; // it has been decided where it stays
};

using HotSlots = std::map<std::uint32_t, HotSlot>;

// Adds the slots that have become hot and removes those that are no longer.
void updateHotSlots(HotSlots&, const SlotRates&, const std::vector<OwnerCapacity>&, Millis now);
// Whether a slot has been hot for long enough to be moved, and where it stays has not been decided.
bool isDue(const HotSlot&, Millis now);
// The sum of the loads of the hot slots in a run, which is contained in `loads`.
double hotLoadBetween(const HotSlots&, const SlotLoads&, SlotId first, SlotId last);
// Requests served more within the horizon if a hot slot moves from one owner to another. Each serves its other load
// first; the load of the hot slot is not contained in either.
double gainOfIsolation(const JudgePolicy&, const OwnerStrain& from, const OwnerStrain& to);

} // namespace pistachiospur
