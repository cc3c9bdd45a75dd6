#pragma once

#include "pistachiospur/types.h"

#include <deque>

// Retry window budget: limits a service's retries within a sliding window to a fraction of its requests plus a
// constant. The platform sets the limit for all hosts together. Each host enforces its own part without coordination
// with others.
namespace pistachiospur {

struct RetryWindowPolicy {
    double ratio = 0; // retries allowed per request in the window
    double slack = 0; // this host's part of the retries allowed regardless of the number of requests
    Millis window {};
};

struct RetryWindowBudget {
    std::deque<Millis> requests; // times of the requests in the window
    std::deque<Millis> retries; // times of the retries in the window
};

void countRequest(RetryWindowBudget&, const RetryWindowPolicy&, Millis now);
// Takes one retry from the budget. Returns false if the budget is exhausted.
bool spendRetry(RetryWindowBudget&, const RetryWindowPolicy&, Millis now);

} // namespace pistachiospur
