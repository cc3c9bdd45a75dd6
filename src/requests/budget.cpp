#include "budget.h"

namespace pistachiospur {

namespace {

void expire(std::deque<Millis>& times, Millis oldest)
{
    while (!times.empty() && times.front() < oldest)
        times.pop_front();
}

} // namespace

void countRequest(RetryWindowBudget& budget, const RetryWindowPolicy& policy, Millis now)
{
    expire(budget.requests, now - policy.window);
    budget.requests.push_back(now);
}

bool spendRetry(RetryWindowBudget& budget, const RetryWindowPolicy& policy, Millis now)
{
    expire(budget.requests, now - policy.window);
    expire(budget.retries, now - policy.window);
    const double maxRetries = policy.ratio * static_cast<double>(budget.requests.size()) + policy.slack;
    if (static_cast<double>(budget.retries.size()) + 1 > maxRetries)
        return false;
    budget.retries.push_back(now);
    return true;
}

} // namespace pistachiospur
