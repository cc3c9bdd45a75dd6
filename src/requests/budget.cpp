#include "budget.h"

namespace pistachiospur {

namespace {

void expire(std::deque<Millis>& times, Millis oldest)
{
    while (!times.empty() && times.front() < oldest)
        times.pop_front();
}

} // namespace

void countRequest(RepeatBudget& budget, const RepeatPolicy& policy, Millis now)
{
    expire(budget.requests, now - policy.window);
    budget.requests.push_back(now);
}

bool spendRepeat(RepeatBudget& budget, const RepeatPolicy& policy, Millis now)
{
    expire(budget.requests, now - policy.window);
    expire(budget.repeats, now - policy.window);
    const double maxRepeats = policy.ratio * static_cast<double>(budget.requests.size()) + policy.slack;
    if (static_cast<double>(budget.repeats.size()) + 1 > maxRepeats)
        return false;
    budget.repeats.push_back(now);
    return true;
}

} // namespace pistachiospur
