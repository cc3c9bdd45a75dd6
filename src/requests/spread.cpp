#include "spread.h"

#include <algorithm>
#include <limits>

namespace pistachiospur {

namespace {

double costOf(const GroupTarget& group, Millis targetLatency)
{
    const double far = group.isNear ? 0 : kFarWaitShare * static_cast<double>(targetLatency.count());
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

} // namespace pistachiospur
