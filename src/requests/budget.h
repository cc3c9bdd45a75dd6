#pragma once

#include "pistachiospur/types.h"

#include <deque>

// How often requests may be sent to upstreams again. The platform bounds repeated sends of a service over a window, for
// all hosts together; each host keeps to its part without asking the others.
namespace pistachiospur {

struct RepeatPolicy {
    double ratio = 0; // repeats for each request
    double slack = 0; // repeats that need no requests, this host's part
    Millis window {};
};

struct RepeatBudget {
    std::deque<Millis> requests; // in the window
    std::deque<Millis> repeats;
};

void countRequest(RepeatBudget&, const RepeatPolicy&, Millis now);
// Takes one repeat from the budget; false when it is used up.
bool spendRepeat(RepeatBudget&, const RepeatPolicy&, Millis now);

} // namespace pistachiospur
