#include "frontend.h"

#include <algorithm>

// The part of GatewayFrontend that decides which refused requests get another attempt, and when.
namespace pistachiospur {

namespace {

// Delay before the next attempt after the upstream did not own the slot, another upstream had its address, or the
// hosts' range tables differed.
constexpr Millis kOwnerChangeDelay { 50 };
// Delay before the next attempt after an upstream accepted no connection.
constexpr Millis kConnectRetryDelay { 100 };
// Max attempts of one request, including those that provably did not run it.
constexpr unsigned kMaxTotalAttempts = 5;

} // namespace

RetryWindowPolicy GatewayFrontend::retryWindowPolicy() const
{
    // Part of the platform's limits that is used. The rest covers hosts that have just started or count slightly later.
    constexpr double kUsedShare = 0.8;
    const auto& limits = m_context.settings.limits;
    return { kUsedShare * limits.retryRatio,
        kUsedShare * static_cast<double>(limits.retrySlack) / static_cast<double>(hostCount(m_context)),
        Millis(limits.retryWindowMs) };
}

Millis GatewayFrontend::retryDelay(const PendingRequest& pending, const Refusal& refusal) const
{
    switch (refusal.reason) {
    case RefusalReason::upstreamNotOwner:
    case RefusalReason::upstreamReplaced:
        return kOwnerChangeDelay;
    case RefusalReason::notCoordinator:
        // Hosts learn of a range's move one after the other. After the second refusal, the delay gives the remaining
        // hosts time to learn of it.
        return pending.refusedAttempts > 1 ? kOwnerChangeDelay : Millis(0);
    case RefusalReason::upstreamUnreachable:
        // If the first host has lost its way to the upstream, the second one has not; if the upstream is down, it needs
        // time.
        return pending.refusedAttempts > 1 ? kConnectRetryDelay : Millis(0);
    default:
        return Millis(0);
    }
}

// Whether another group of the pooled service may serve a request that one has refused.
bool GatewayFrontend::mayTryAnotherGroup(const PendingRequest& pending) const
{
    const ServiceName& service = pending.request.service;
    const auto groups = m_context.groups.find(service);
    return pending.refusedAttempts < 2 && !isKeyed(service) && groups != m_context.groups.end()
        && groups->second.size() > 1;
}

// Decides whether a refused request gets another attempt, and spends a retry from the service's retry window budget if
// one is needed. A request that may have run is retried only if it is idempotent.
bool GatewayFrontend::approveRetry(PendingRequest& pending, const Refusal& refusal)
{
    const Request& request = pending.request;
    const Millis now = monotonicNow();
    if (now + kConnectRetryDelay >= request.deadline || pending.refusedAttempts >= kMaxTotalAttempts)
        return false;
    // What has been sent of a body that flows is not kept, so the request cannot be sent again.
    if (pending.rest && pending.rest->wasRead())
        return false;
    if (refusal.ran == Ran::unknown) {
        return request.idempotent && refusal.reason != RefusalReason::upstreamTimeout
            && !isSuspect(m_context.quarantine, request.fingerprint) && pending.possibleRuns < pending.maxAttempts
            && spendRetry(m_retryWindowBudgets[request.service], retryWindowPolicy(), now);
    }
    switch (refusal.reason) {
    case RefusalReason::hostUnreachable:
    case RefusalReason::notCoordinator:
    case RefusalReason::stopping:
        return true;
    case RefusalReason::upstreamUnreachable:
        // With a time to come back, no host reaches the upstream or group.
        return refusal.retryAfter == Millis(0) || mayTryAnotherGroup(pending);
    case RefusalReason::upstreamNotOwner:
    case RefusalReason::upstreamReplaced:
    case RefusalReason::upstreamShed:
        return pending.refusedAttempts < std::max(2u, pending.maxAttempts)
            && spendRetry(m_retryWindowBudgets[request.service], retryWindowPolicy(), now);
    case RefusalReason::memoryFull:
    case RefusalReason::upstreamPaused:
    case RefusalReason::queueFull:
        return mayTryAnotherGroup(pending);
    default:
        return false;
    }
}

} // namespace pistachiospur
