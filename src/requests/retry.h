#pragma once

#include "pistachiospur/request.h"

#include <optional>

// Decides whether the host that received a request retries it after a refusal.
namespace pistachiospur {

// Token bucket for retries of requests that may have run: tokens added by each new request, and capacity of the bucket.
constexpr double kRetryTokensPerRequest = 0.1;
constexpr double kMaxRetryTokens = 20;
// Exponential backoff before a retry.
constexpr Millis kInitialRetryBackoff { 20 };
constexpr Millis kMaxRetryBackoff { 160 };
// Maximum number of attempts of one request that may have been executed, including the first.
constexpr unsigned kMaxRuns = 2;

struct RetryBudget {
    double tokens = kMaxRetryTokens;
};

struct RetryState {
    unsigned tries = 0; // refused attempts so far
    unsigned runs = 0; // attempts that may have been executed
};

// Adds a new request's share of a token to the budget.
void addRetryTokens(RetryBudget&);
// Returns the backoff before the next attempt, or nothing if the refusal is final. Counts the refusal in `state`.
std::optional<Millis> decideRetry(RetryBudget&, RetryState&, const Request&, const Refusal&, Millis now);

} // namespace pistachiospur
