#include "retry.h"

#include <algorithm>

namespace pistachiospur {

void addRetryTokens(RetryBudget& budget)
{
    budget.tokens = std::min(kMaxRetryTokens, budget.tokens + kRetryTokensPerRequest);
}

namespace {

// True if the coordinator's idempotency cache keeps a request with an idempotency key from running twice. Such a
// request may be sent again after its coordinating host was lost, and also while its first run is still in progress, in
// order to wait for the answer.
bool isCoveredByIdempotencyCache(const RetryState& state, const Request& request, const Refusal& refusal)
{
    if (request.idempotent || !request.idempotencyKey)
        return false;
    return refusal.reason == RefusalReason::hostLost || (refusal.reason == RefusalReason::inProgress && state.runs > 1);
}

bool mayRunAgain(RetryBudget& budget, const RetryState& state, const Request& request, const Refusal& refusal)
{
    if (isCoveredByIdempotencyCache(state, request, refusal))
        return true;
    const bool mayHelp = refusal.reason == RefusalReason::upstreamBroken
        || refusal.reason == RefusalReason::upstreamLost || refusal.reason == RefusalReason::hostLost;
    if (!request.idempotent || !mayHelp || state.runs >= kMaxRuns || budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

} // namespace

// A retry after a refusal that proves that the request did not run costs no budget, because the request only waits for
// its owner until its deadline. A request that may have run is retried only if it is idempotent and the budget has
// a token, or if the idempotency cache keeps it from running twice.
std::optional<Millis> decideRetry(
    RetryBudget& budget, RetryState& state, const Request& request, const Refusal& refusal, Millis now)
{
    const Millis backoff = std::min(kMaxRetryBackoff, kInitialRetryBackoff * (1 << std::min(state.tries, 3u)));
    ++state.tries;
    if (refusal.ran == Ran::unknown)
        ++state.runs;
    if (now + backoff >= request.deadline)
        return std::nullopt;
    if (refusal.ran == Ran::no)
        return factsOf(refusal.reason).transient ? std::optional(backoff) : std::nullopt;
    return mayRunAgain(budget, state, request, refusal) ? std::optional(backoff) : std::nullopt;
}

} // namespace pistachiospur
