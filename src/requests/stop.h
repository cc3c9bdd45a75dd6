#pragma once

#include "pistachiospur/types.h"

// Decides what a host still takes on during a planned stop.
namespace pistachiospur {

struct PlannedStop {
    Millis requestedAt {};
    Millis endsAt {}; // open requests are answered by then, and the process exits
};

// The stop of a process that the platform kills when `grace` has passed.
PlannedStop planStop(Millis now, Millis grace);
// Whether a request that arrives during the stop may be passed on: it has its answer, or has reached its deadline,
// before the stop ends.
bool mayPassOn(const PlannedStop&, Millis deadline);

} // namespace pistachiospur
