#include "retry.h"

#include <algorithm>

namespace pistachiospur {

void earnRetry(RetryBudget& budget)
{
    budget.tokens = std::min(kRetryBudgetGreatest, budget.tokens + kRetryBudgetShare);
}

namespace {

// A keyed request may be asked for again after its host was lost, since the coordinator's memory keeps it from running
// twice; and while it still runs there, its answer is worth waiting for.
bool isSettledByMemory(const RetryState& state, const Request& request, const Refusal& refusal)
{
    if (request.idempotent || !request.idempotencyKey)
        return false;
    return refusal.reason == RefusalReason::hostLost || (refusal.reason == RefusalReason::inProgress && state.runs > 1);
}

bool mayRunAgain(RetryBudget& budget, const RetryState& state, const Request& request, const Refusal& refusal)
{
    if (isSettledByMemory(state, request, refusal))
        return true;
    const bool worthIt = refusal.reason == RefusalReason::upstreamBroken
        || refusal.reason == RefusalReason::upstreamLost || refusal.reason == RefusalReason::hostLost;
    if (!request.idempotent || !worthIt || state.runs >= kMostRuns || budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

} // namespace

// A refusal that proves the request did not run costs no budget: the request only waits for its owner, within its
// deadline. Anything else is tried again for idempotent requests alone, out of the budget.
std::optional<Millis> decideRetry(
    RetryBudget& budget, RetryState& state, const Request& request, const Refusal& refusal, Millis now)
{
    const Millis pause = std::min(kRetryPauseGreatest, kRetryPause * (1 << std::min(state.tries, 3u)));
    ++state.tries;
    if (refusal.ran == Ran::unknown)
        ++state.runs;
    if (now + pause >= request.deadline)
        return std::nullopt;
    if (refusal.ran == Ran::no)
        return factsOf(refusal.reason).transient ? std::optional(pause) : std::nullopt;
    return mayRunAgain(budget, state, request, refusal) ? std::optional(pause) : std::nullopt;
}

} // namespace pistachiospur
