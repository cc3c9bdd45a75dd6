#include "slot_share.h"

#include <algorithm>

namespace pistachiospur {

namespace {

// Others are expected again for this long after they asked.
constexpr Millis kOthersExpected { 2000 };

} // namespace

void noteArrival(SlotArrivals& arrivals, SlotId slot, Millis now)
{
    if (arrivals.lastAt && arrivals.last != slot)
        arrivals.otherAt = arrivals.lastAt;
    arrivals.last = slot;
    arrivals.lastAt = now;
}

bool mayWait(const SlotQueue& queue, const SlotArrivals& arrivals, SlotId slot, Millis targetLatency, Millis now)
{
    const auto othersAt = arrivals.last == slot ? arrivals.otherAt : arrivals.lastAt;
    const bool othersExpected = queue.ofOthers > 0 || (othersAt && now < *othersAt + kOthersExpected);
    if (!othersExpected || queue.runMs <= 0 || targetLatency <= Millis(0))
        return true;
    const double starts
        = std::max(0.0, static_cast<double>(targetLatency.count()) - queue.runMs) * queue.slots / queue.runMs;
    const auto most = std::max<std::size_t>(queue.slots, static_cast<std::size_t>(starts / 2));
    return queue.ofSlot < most;
}

} // namespace pistachiospur
