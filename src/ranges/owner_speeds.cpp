#include "owner_speeds.h"

namespace pistachiospur {

namespace {

// Assumed mean run time while none has been reported of any upstream.
constexpr double kDefaultRunMs = 170;
// Weight of a report in the mean: followed within about 2 s of reports at 500 ms.
constexpr double kReportWeight = 0.3;

} // namespace

void noteRunTime(OwnerSpeeds& speeds, const InstanceId& id, double ms)
{
    const auto [it, added] = speeds.try_emplace(id, ms);
    if (!added)
        it->second += kReportWeight * (ms - it->second);
}

double runMsOf(const OwnerSpeeds& speeds, const InstanceId& id)
{
    const auto found = speeds.find(id);
    if (found != speeds.end())
        return found->second;
    double sum = 0;
    for (const auto& [instance, ms] : speeds)
        sum += ms;
    return speeds.empty() ? kDefaultRunMs : sum / static_cast<double>(speeds.size());
}

} // namespace pistachiospur
