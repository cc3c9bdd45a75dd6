#include "hot_slots.h"

#include "balance.h"

#include <algorithm>

namespace pistachiospur {

namespace {

// A load of one slot that is gone within this time is not followed.
constexpr Millis kMinHotTime { 800 };
// A hot slot stays one until its load is below this part of what the fastest upstream can run.
constexpr double kCoolUtilization = 0.6;

double loadOf(const SlotLoads& loads, std::uint32_t slot)
{
    const auto found = loads.find(slot);
    return found == loads.end() ? 0 : found->second;
}

} // namespace

void updateHotSlots(HotSlots& hot, const SlotRates& rates, const std::vector<OwnerCapacity>& owners, Millis now)
{
    double fastest = 0;
    for (const auto& it : owners)
        fastest = std::max(fastest, it.capacity);
    const SlotLoads recent = recentLoads(rates), lasting = lastingLoads(rates);
    for (auto it = hot.begin(); it != hot.end();)
        it = loadOf(recent, it->first) < kCoolUtilization * fastest ? hot.erase(it) : std::next(it);
    const double window = lastingWindow(rates);
    for (const auto& [slot, load] : recent) {
        if (fastest > 0 && load > fastest && leastLoad(loadOf(lasting, slot), window) > kCoolUtilization * fastest)
            hot.try_emplace(slot, HotSlot { now, false });
    }
}

bool isDue(const HotSlot& slot, Millis now) { return !slot.settled && now >= slot.since + kMinHotTime; }

double hotLoadBetween(const HotSlots& hot, const SlotLoads& loads, SlotId first, SlotId last)
{
    double sum = 0;
    for (auto it = hot.lower_bound(first.value); it != hot.end() && it->first <= last.value; ++it)
        sum += loadOf(loads, it->first);
    return sum;
}

double gainOfIsolation(const JudgePolicy& policy, const OwnerStrain& from, const OwnerStrain& to)
{
    const auto room
        = [](const OwnerStrain& it) { return std::max(0.0, it.capacity - std::max(it.lasting, it.recent)); };
    return policy.horizonSeconds * (room(to) - room(from)) - policy.ownerlessSeconds * room(from) - policy.costPerSlot;
}

} // namespace pistachiospur
