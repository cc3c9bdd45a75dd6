#pragma once

#include "pistachiospur/request.h"

#include <optional>

// Decides whether an entry host tries a refused request again.
namespace pistachiospur {

// Share of requests that may be run again after they may have run, and how many such runs can be saved up.
constexpr double kRetryBudgetShare = 0.1;
constexpr double kRetryBudgetGreatest = 20;
// Pause before asking for an owner again; doubled each time up to the greatest.
constexpr Millis kRetryPause { 20 };
constexpr Millis kRetryPauseGreatest { 160 };
// Runs of one request that may each have been executed, the first included.
constexpr unsigned kMostRuns = 2;

struct RetryBudget {
    double tokens = kRetryBudgetGreatest;
};

struct RetryState {
    unsigned tries = 0; // refusals so far
    unsigned runs = 0; // tries that may have been executed
};

// A new request adds to the budget.
void earnRetry(RetryBudget&);
// The pause before the next try, or nothing when the refusal is final. Counts the refusal in `state`.
std::optional<Millis> decideRetry(RetryBudget&, RetryState&, const Request&, const Refusal&, Millis now);

} // namespace pistachiospur
