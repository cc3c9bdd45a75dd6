#include "grant_pace.h"

#include <algorithm>

namespace pistachiospur {

namespace {

// Of the longest TTL. The rest of it is for a repeat, and for a leader that is late.
constexpr std::int64_t kMaxIntervalPercent = 75;

} // namespace

Millis renewalIntervalAt(const GatewayLimits& limits, std::size_t rangeCount, std::int64_t processorPercent)
{
    const std::int64_t grantsPerSecond = std::max<std::int64_t>(1, limits.ordersPerCore * processorPercent / 100);
    const Millis paced(static_cast<std::int64_t>(rangeCount) * 1000 / grantsPerSecond);
    const Millis longest(limits.maxGrantTtlMs * kMaxIntervalPercent / 100);
    return std::max(Millis(limits.renewalIntervalMs), std::min(paced, longest));
}

Millis grantTtlAt(const GatewayLimits& limits, std::size_t rangeCount, std::int64_t processorPercent)
{
    const Millis interval = renewalIntervalAt(limits, rangeCount, processorPercent);
    const Millis paced = limits.grantTtlMs * interval / limits.renewalIntervalMs;
    return std::min(Millis(limits.maxGrantTtlMs), std::max(Millis(limits.grantTtlMs), paced));
}

} // namespace pistachiospur
