#include "burn.h"

#include <algorithm>

namespace pistachiospur {

namespace {

std::int64_t bucketAt(Millis now) { return now / kBurnBucket; }

std::size_t indexOf(std::int64_t bucket) { return static_cast<std::size_t>(bucket) % kBurnBuckets; }

// Clears the buckets between the newest one and now.
void advance(BurnSeries& series, Millis now)
{
    const auto bucket = bucketAt(now);
    const auto from = std::max(series.newest + 1, bucket - static_cast<std::int64_t>(kBurnBuckets) + 1);
    for (auto it = from; it <= bucket; ++it)
        series.buckets[indexOf(it)] = {};
    series.newest = std::max(series.newest, bucket);
}

} // namespace

void countOutcome(BurnSeries& series, bool good, Millis now)
{
    advance(series, now);
    auto& bucket = series.buckets[indexOf(series.newest)];
    ++(good ? bucket.good : bucket.bad);
    ++(good ? series.total.good : series.total.bad);
}

BurnCounts countsWithin(const BurnSeries& series, Millis window, Millis now)
{
    const auto last = bucketAt(now);
    const auto length = std::min<std::int64_t>(window / kBurnBucket, kBurnBuckets);
    BurnCounts counts;
    for (auto it = std::max<std::int64_t>(0, last - length + 1); it <= std::min(last, series.newest); ++it) {
        if (it <= series.newest - static_cast<std::int64_t>(kBurnBuckets))
            continue;
        counts.good += series.buckets[indexOf(it)].good;
        counts.bad += series.buckets[indexOf(it)].bad;
    }
    return counts;
}

double burnRate(BurnCounts counts, double objective)
{
    const double all = static_cast<double>(counts.good + counts.bad);
    const double allowed = std::max(1e-9, 1 - objective);
    return all == 0 ? 0 : static_cast<double>(counts.bad) / all / allowed;
}

} // namespace pistachiospur
