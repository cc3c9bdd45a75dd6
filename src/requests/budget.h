#pragma once

#include "pistachiospur/types.h"

#include <deque>

// Sliding-window retry budget. The platform limits how many requests of a service all hosts together may send to
// upstreams more than once within a window. Each host enforces its own part without coordination with the others.
namespace pistachiospur {

struct RepeatPolicy {
    double ratio = 0; // repeats allowed per request in the window
    double slack = 0; // this host's part of the repeats allowed regardless of the number of requests
    Millis window {};
};

struct RepeatBudget {
    std::deque<Millis> requests; // times of the requests in the window
    std::deque<Millis> repeats; // times of the repeats in the window
};

void countRequest(RepeatBudget&, const RepeatPolicy&, Millis now);
// Takes one repeat from the budget. Returns false if the budget is exhausted.
bool spendRepeat(RepeatBudget&, const RepeatPolicy&, Millis now);

} // namespace pistachiospur
