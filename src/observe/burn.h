#pragma once

#include "pistachiospur/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Error-budget burn rate of each service and rank over several windows.
namespace pistachiospur {

constexpr Millis kBurnBucketLength { 10000 };
constexpr std::size_t kBurnBucketCount = 6 * 360; // six hours

struct BurnWindow {
    const char* name;
    Millis length;
};

// Two pairs of a short and a long window. An alert needs a high burn rate in both windows of a pair, so that a short
// burst of errors does not page. The first pair detects fast burns, the second pair slow ones.
constexpr std::array<BurnWindow, 4> kBurnWindows = { {
    { "5m", Millis(300000) },
    { "1h", Millis(3600000) },
    { "30m", Millis(1800000) },
    { "6h", Millis(21600000) },
} };
// Alert thresholds of the burn rate: kFastBurnRate for the first pair of windows, kSlowBurnRate for the second.
constexpr double kFastBurnRate = 14.4;
constexpr double kSlowBurnRate = 6.0;

// Numbers of requests that count as good and as bad for the objective.
struct BurnCounts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

// Counts of one service and rank: a ring of buckets over time, and the total since the start.
struct BurnSeries {
    std::vector<BurnCounts> buckets = std::vector<BurnCounts>(kBurnBucketCount);
    std::int64_t newestBucket = 0; // number of the newest bucket, counted from time zero of the clock
    BurnCounts total;
};

using BurnKey = std::pair<ServiceName, RankName>;
using BurnSeriesByKey = std::map<BurnKey, BurnSeries>;

void countOutcome(BurnSeries&, bool good, Millis now);
BurnCounts countsWithin(const BurnSeries&, Millis window, Millis now);
// Fraction of bad outcomes divided by the fraction that the objective allows; 0 if there are no outcomes.
double burnRate(BurnCounts, double objective);

} // namespace pistachiospur
