#include "completion.h"

#include "spread.h"

#include <algorithm>
#include <cmath>

namespace pistachiospur {

namespace {

// Weights of the newest sample in moving averages.
constexpr double kRunTimeWeight = 0.15;
constexpr double kSlownessWeight = 0.1;
constexpr double kKindWeight = 0.05;
constexpr double kFailureWeight = 0.2;
// One request counts for this many times the usual run time at most, and for this part of it at least.
constexpr double kMaxSlowness = 20;
constexpr double kMinSlowness = 0.1;
// A report of the machine's speed, and of other hosts' requests, has lost its weight at this age.
constexpr Millis kReportLifetime { 300 };
// Run time assumed of a group without samples.
constexpr double kInitialRunMs = 150;
// An upstream is failing above this share: a single failure does not make it so.
constexpr double kMaxFailureShare = 0.25;
// A failing upstream, or one that is passed over because it is slow, gets a request after this time, to see whether it
// is well again. The slower it is, the longer that is, up to the maximum.
constexpr Millis kTrialInterval { 1000 };
constexpr Millis kMaxTrialInterval { 5000 };

double averaged(double mean, double sample, double weight)
{
    return mean == 0 ? sample : mean + weight * (sample - mean);
}

double reportWeight(const UpstreamStats& stats, Millis now)
{
    const double age = static_cast<double>((now - stats.reportedAt).count());
    return stats.load ? std::clamp(1 - age / static_cast<double>(kReportLifetime.count()), 0.0, 1.0) : 0;
}

// `byReports`: members of the group report their load, so that costs are expected completion times.
double costOf(const UpstreamCandidate& it, const GroupTimes& times, bool byReports, bool hasLargeBody, Millis now)
{
    const bool isAvoided = it.isAvoided || isFailing(*it.stats);
    if (!byReports)
        return upstreamCost({ it.stats->runMs, it.running, it.isNear, isAvoided }, hasLargeBody);
    return placedCost(
        expectedCompletionMs(*it.stats, times, it.running, it.slots, now), it.isNear, isAvoided, hasLargeBody);
}

bool hasSound(const std::vector<UpstreamCandidate>& candidates)
{
    return std::any_of(
        candidates.begin(), candidates.end(), [](const UpstreamCandidate& it) { return !isFailing(*it.stats); });
}

// Time between two requests to a failing upstream: it gets as many as it would serve of those that it could run.
Millis failingInterval(const UpstreamCandidate& it, const GroupTimes& times)
{
    const double runMs = times.meanMs > 0 ? times.meanMs : kInitialRunMs;
    const double served = std::max(0.01, 1 - it.stats->failureShare);
    const double interval = runMs / it.slots / (served * served);
    return std::min(kTrialInterval, Millis(static_cast<std::int64_t>(interval)));
}

// Whether an upstream that costs this many times the least is due for a request by which it can show that it is well.
bool isTrialDue(const UpstreamCandidate& it, bool byReports, double costRatio, Millis now)
{
    if (it.isAvoided || it.running > 0 || (!byReports && !isFailing(*it.stats)))
        return false;
    const double ratio = isFailing(*it.stats) ? 1 : std::max(1.0, costRatio);
    const Millis interval(static_cast<std::int64_t>(ratio * static_cast<double>(kTrialInterval.count())));
    return now >= it.stats->sentAt + std::min(interval, kMaxTrialInterval);
}

} // namespace

void noteLoad(UpstreamStats& stats, const UpstreamLoad& load, unsigned ownRequests, Millis now)
{
    stats.load = load;
    stats.reportedAt = now;
    const unsigned all = load.running + load.waiting;
    stats.foreignRequests = all > ownRequests ? all - ownRequests : 0;
}

void noteSent(UpstreamStats& stats, Millis now) { stats.sentAt = now; }

void noteServed(UpstreamStats& stats, GroupTimes& times, RankOrder order, Millis took, double factorAtStart, Millis now)
{
    const auto ms = static_cast<double>(std::max(Millis(1), took).count());
    stats.runMs = averaged(stats.runMs, ms, kRunTimeWeight);
    stats.failureShare -= kFailureWeight * stats.failureShare;
    // What the machine did in between is not known.
    const double usualMs = 2 * ms / (factorAtStart + workFactorNow(stats, now));
    double& kindMs = times.kindMs[order];
    kindMs = averaged(kindMs, usualMs, kKindWeight);
    times.meanMs = averaged(times.meanMs, usualMs, kKindWeight);
    stats.slowness
        = averaged(stats.slowness, std::clamp(usualMs / kindMs, kMinSlowness, kMaxSlowness), kSlownessWeight);
}

void noteFailed(UpstreamStats& stats) { stats.failureShare += kFailureWeight * (1 - stats.failureShare); }

double workFactorNow(const UpstreamStats& stats, Millis now)
{
    return stats.load ? 1 + (stats.load->workFactor - 1) * reportWeight(stats, now) : 1;
}

double expectedCompletionMs(
    const UpstreamStats& stats, const GroupTimes& times, unsigned running, unsigned slots, Millis now)
{
    const double runMs = (times.meanMs > 0 ? times.meanMs : kInitialRunMs) * (stats.slowness > 0 ? stats.slowness : 1);
    // What an upstream claims of other hosts' requests makes it full at most.
    const double foreign = std::min<double>(stats.foreignRequests, slots) * reportWeight(stats, now);
    return ((running + foreign) / std::max(1u, slots) + 1) * runMs * workFactorNow(stats, now);
}

bool isFailing(const UpstreamStats& stats) { return stats.failureShare > kMaxFailureShare; }

unsigned usableSlots(const std::vector<UpstreamCandidate>& candidates)
{
    const bool anySound = hasSound(candidates);
    unsigned slots = 0;
    for (const auto& it : candidates) {
        const bool isReduced = anySound && isFailing(*it.stats);
        slots += isReduced ? std::max(1u, static_cast<unsigned>(std::ceil(it.slots * (1 - it.stats->failureShare))))
                           : it.slots;
    }
    return slots;
}

std::optional<std::size_t> chooseUpstream(
    const std::vector<UpstreamCandidate>& candidates, const GroupTimes& times, bool hasLargeBody, Millis now)
{
    const bool anySound = hasSound(candidates);
    const bool byReports = std::any_of(
        candidates.begin(), candidates.end(), [](const UpstreamCandidate& it) { return it.stats->load.has_value(); });
    std::vector<double> costs(candidates.size());
    std::optional<std::size_t> best;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const UpstreamCandidate& it = candidates[n];
        if (!it.isFree)
            continue;
        if (anySound && isFailing(*it.stats) && now < it.stats->sentAt + failingInterval(it, times))
            continue;
        costs[n] = costOf(it, times, byReports, hasLargeBody, now);
        if (!best || costs[n] < costs[*best])
            best = n;
    }
    if (!best)
        return std::nullopt;
    // Of those that are due, the one that was given a request the longest ago.
    std::optional<std::size_t> trial;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const UpstreamCandidate& it = candidates[n];
        if (it.isFree && isTrialDue(it, byReports, costs[n] / costs[*best], now)
            && (!trial || it.stats->sentAt < candidates[*trial].stats->sentAt))
            trial = n;
    }
    return trial ? trial : best;
}

} // namespace pistachiospur
