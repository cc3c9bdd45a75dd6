#pragma once

#include "pistachiospur/types.h"

#include <optional>

// Bounds how many requests for one slot may wait for an upstream that serves other slots as well. Otherwise the queue
// of a hot slot would fill the upstream, and requests for its neighbours would wait behind it for as long as their
// callers do.
namespace pistachiospur {

// The slots that an upstream was asked for last.
struct SlotArrivals {
    SlotId last;
    std::optional<Millis> lastAt;
    std::optional<Millis> otherAt; // of any slot but `last`
};

void noteArrival(SlotArrivals&, SlotId, Millis now);

struct SlotQueue {
    std::size_t ofSlot = 0; // waiting requests for the slot of the new request
    std::size_t ofOthers = 0; // waiting requests for other slots
    unsigned slots = 1; // requests that the upstream runs concurrently
    double runMs = 0; // their mean run time; 0 while unknown
};

// Whether one more request for a slot may wait: always if nobody has asked for another slot lately; else as long as
// those for the slot leave others half of the starts within the target latency. Enough may wait to keep the upstream
// busy in any case.
bool mayWait(const SlotQueue&, const SlotArrivals&, SlotId, Millis targetLatency, Millis now);

} // namespace pistachiospur
