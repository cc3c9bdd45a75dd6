#include "spread.h"

#include <algorithm>
#include <limits>

namespace pistachiospur {

namespace {

// Run time assumed of an upstream without a sample.
constexpr double kInitialRunMs = 150;
// An upstream's cost is its mean run time, increased by this fraction for each request that it runs.
constexpr double kCostPerRunning = 0.3;
// Factors on the cost of an upstream in another data centre.
constexpr double kRemoteCostFactor = 1.1;
constexpr double kRemoteBodyCostFactor = 2.5;
// Added to the cost of an avoided upstream, so that it ranks behind all others.
constexpr double kAvoidedCostMs = 10000;

double costOf(const GroupTarget& group, Millis targetLatency)
{
    const double far = group.isFar ? kFarWaitShare * static_cast<double>(targetLatency.count()) : 0;
    return group.waitMs + far + (group.isAvoided ? kRefusedWaitMs : 0);
}

} // namespace

double waitNow(const GroupLoad& load, Millis now)
{
    const double age = static_cast<double>((now - load.reportedAt).count());
    return load.waitMs * std::clamp(1 - age / static_cast<double>(kWaitReportLifetime.count()), 0.0, 1.0);
}

std::size_t chooseGroup(const std::vector<GroupTarget>& groups, Millis targetLatency, double draw)
{
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto& it : groups) {
        if (it.slots > 0)
            lowest = std::min(lowest, costOf(it, targetLatency));
    }
    const auto isCandidate
        = [&](const GroupTarget& it) { return it.slots > 0 && costOf(it, targetLatency) < lowest + kAlikeMs; };
    double slots = 0;
    for (const auto& it : groups)
        slots += isCandidate(it) ? it.slots : 0;
    double left = draw * slots;
    std::size_t last = 0;
    for (std::size_t n = 0; n < groups.size(); ++n) {
        if (!isCandidate(groups[n]))
            continue;
        last = n;
        left -= groups[n].slots;
        if (left < 0)
            break;
    }
    return last;
}

double placedCost(double expectedMs, bool isNear, bool isAvoided, bool hasLargeBody)
{
    const double remoteFactor = hasLargeBody ? kRemoteBodyCostFactor : kRemoteCostFactor;
    return expectedMs * (isNear ? 1 : remoteFactor) + (isAvoided ? kAvoidedCostMs : 0);
}

double upstreamCost(const UpstreamTarget& upstream, bool hasLargeBody)
{
    const double runMs = upstream.runMs > 0 ? upstream.runMs : kInitialRunMs;
    return placedCost(
        runMs * (1 + kCostPerRunning * upstream.running), upstream.isNear, upstream.isAvoided, hasLargeBody);
}

} // namespace pistachiospur
