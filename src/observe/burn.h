#pragma once

#include "pistachiospur/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Service-level burn: how fast each service and rank uses up its error budget, over several windows.
namespace pistachiospur {

constexpr Millis kBurnBucket { 10000 };
constexpr std::size_t kBurnBuckets = 6 * 360; // six hours
// A short and a long window together tell a page-worthy burn from a blip; the second pair catches slow burns.
struct BurnWindow {
    const char* name;
    Millis length;
};
constexpr std::array<BurnWindow, 4> kBurnWindows = { {
    { "5m", Millis(300000) },
    { "1h", Millis(3600000) },
    { "30m", Millis(1800000) },
    { "6h", Millis(21600000) },
} };
// Burn rates at which a pair of windows alerts: the first pair fast, the second slow.
constexpr double kFastBurn = 14.4;
constexpr double kSlowBurn = 6.0;

struct BurnCounts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

// Counts of one service and rank in a ring of buckets.
struct BurnSeries {
    std::vector<BurnCounts> buckets = std::vector<BurnCounts>(kBurnBuckets);
    std::int64_t newest = 0; // number of the newest bucket since the start of the clock
    BurnCounts total;
};

using BurnKey = std::pair<ServiceName, RankName>;
using BurnBook = std::map<BurnKey, BurnSeries>;

void countOutcome(BurnSeries&, bool good, Millis now);
BurnCounts countsWithin(const BurnSeries&, Millis window, Millis now);
// Share of bad outcomes over the share that the objective allows; 0 without outcomes.
double burnRate(BurnCounts, double objective);

} // namespace pistachiospur
