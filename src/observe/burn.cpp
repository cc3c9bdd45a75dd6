#include "burn.h"

#include <algorithm>

namespace pistachiospur {

namespace {

std::int64_t bucketAt(Millis now) { return now / kBurnBucketLength; }

std::size_t indexOf(std::int64_t bucket) { return static_cast<std::size_t>(bucket) % kBurnBucketCount; }

// Makes the bucket of `now` the newest. Clears it and the skipped buckets, since their ring entries hold expired
// counts.
void advanceTo(BurnSeries& series, Millis now)
{
    const auto bucket = bucketAt(now);
    const auto from = std::max(series.newestBucket + 1, bucket - static_cast<std::int64_t>(kBurnBucketCount) + 1);
    for (auto cleared = from; cleared <= bucket; ++cleared)
        series.buckets[indexOf(cleared)] = {};
    series.newestBucket = std::max(series.newestBucket, bucket);
}

} // namespace

void countOutcome(BurnSeries& series, bool good, Millis now)
{
    advanceTo(series, now);
    auto& bucket = series.buckets[indexOf(series.newestBucket)];
    ++(good ? bucket.good : bucket.bad);
    ++(good ? series.total.good : series.total.bad);
}

BurnCounts countsWithin(const BurnSeries& series, Millis window, Millis now)
{
    const auto last = bucketAt(now);
    const auto length = std::min<std::int64_t>(window / kBurnBucketLength, kBurnBucketCount);
    BurnCounts counts;
    for (auto bucket = std::max<std::int64_t>(0, last - length + 1); bucket <= std::min(last, series.newestBucket);
         ++bucket) {
        if (bucket <= series.newestBucket - static_cast<std::int64_t>(kBurnBucketCount))
            continue;
        counts.good += series.buckets[indexOf(bucket)].good;
        counts.bad += series.buckets[indexOf(bucket)].bad;
    }
    return counts;
}

double burnRate(BurnCounts counts, double objective)
{
    const double total = static_cast<double>(counts.good + counts.bad);
    const double allowedFraction = std::max(1e-9, 1 - objective);
    return total == 0 ? 0 : static_cast<double>(counts.bad) / total / allowedFraction;
}

} // namespace pistachiospur
