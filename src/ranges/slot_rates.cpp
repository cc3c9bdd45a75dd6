#include "slot_rates.h"

#include <algorithm>
#include <cmath>

namespace pistachiospur {

namespace {

constexpr Millis kDecayInterval { 500 };
constexpr double kIntervalSeconds = 0.5;
// Counts are multiplied by these at each interval. The short window sees a key that becomes hot within 1.5 s; the long
// one counts enough requests of a moderately busy upstream to tell its load from another's.
constexpr double kRecentFactor = 0.72;
constexpr double kLastingFactor = 0.88;
constexpr double kMinTrackedCount = 0.01;
// Standard deviations of a Poisson count that leastLoad() allows for.
constexpr double kDeviations = 1.5;

void decayCounts(SlotLoads& counts, double factor)
{
    for (auto it = counts.begin(); it != counts.end();) {
        it->second *= factor;
        it = it->second < kMinTrackedCount ? counts.erase(it) : std::next(it);
    }
}

SlotLoads perSecond(const SlotLoads& counts, double seconds)
{
    SlotLoads loads = counts;
    for (auto& [slot, load] : loads)
        load /= seconds;
    return loads;
}

// The sum of the weights of all intervals so far, in seconds, the one that is under way with half its weight.
double weightOf(double factor, unsigned intervals)
{
    const double ended = (1 - std::pow(factor, intervals)) / (1 - factor);
    return kIntervalSeconds * std::max(1.0, factor * ended + 0.5);
}

} // namespace

void countRequests(SlotRates& rates, std::uint32_t slot, double n)
{
    rates.recentCounts[slot] += n;
    rates.lastingCounts[slot] += n;
}

void decay(SlotRates& rates, Millis now)
{
    if (now < rates.nextDecayAt)
        return;
    rates.nextDecayAt = now + kDecayInterval;
    if (rates.intervals > 0 || !rates.recentCounts.empty())
        ++rates.intervals;
    decayCounts(rates.recentCounts, kRecentFactor);
    decayCounts(rates.lastingCounts, kLastingFactor);
}

SlotLoads recentLoads(const SlotRates& rates)
{
    return perSecond(rates.recentCounts, kIntervalSeconds / (1 - kRecentFactor));
}

SlotLoads lastingLoads(const SlotRates& rates)
{
    return perSecond(rates.lastingCounts, weightOf(kLastingFactor, rates.intervals));
}

double lastingWindow(const SlotRates& rates)
{
    const double weight = weightOf(kLastingFactor, rates.intervals);
    return weight * weight / (kIntervalSeconds * weightOf(kLastingFactor * kLastingFactor, rates.intervals));
}

double leastLoad(double load, double window)
{
    return window <= 0 ? 0 : std::max(0.0, load - kDeviations * std::sqrt(load / window));
}

} // namespace pistachiospur
