#include "queue.h"

#include <algorithm>
#include <limits>

namespace pistachiospur {

namespace {

// Maximum number of unused starts that a rank's share can accumulate.
constexpr double kMaxCredit = 2.0;

double shareOf(const QueuePolicy& policy, RankOrder order)
{
    const auto it = policy.shares.find(order);
    return it == policy.shares.end() ? 0 : it->second;
}

bool isLeastUrgent(const QueuePolicy& policy, RankOrder order)
{
    return policy.shares.size() > 1 && policy.shares.rbegin()->first == order;
}

bool isMostUrgent(const QueuePolicy& policy, RankOrder order)
{
    return policy.shares.empty() || policy.shares.begin()->first == order;
}

bool hasShortRuns(const UpstreamQueue& queue, const RankLane& lane)
{
    const double urgentMs = queue.lanes.empty() ? 0 : queue.lanes.begin()->second.meanServiceMs;
    return lane.meanServiceMs > 0 && lane.meanServiceMs <= kMaxShortRunRatio * urgentMs;
}

// True if a request of the rank may take a free execution slot. The least urgent rank leaves one free for a while after
// the last arrival of the most urgent rank, so that a most urgent request never waits for a long run of the least
// urgent.
bool mayStart(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order, Millis now)
{
    if (queue.running >= policy.maxConcurrent)
        return false;
    const bool isReserveActive = queue.lastUrgentArrivalAt && now < *queue.lastUrgentArrivalAt + kUrgentReserveDuration;
    if (!isReserveActive || policy.maxConcurrent < 2 || !isLeastUrgent(policy, order))
        return true;
    const auto it = queue.lanes.find(order);
    return it == queue.lanes.end() || hasShortRuns(queue, it->second) || it->second.running + 1 < policy.maxConcurrent;
}

// The request of a rank that starts next; the end if there is none.
std::deque<WaitingRequest>::iterator findStartable(RankLane& lane, const IsStartable& isStartable)
{
    return isStartable ? std::find_if(lane.waiting.begin(), lane.waiting.end(), isStartable) : lane.waiting.begin();
}

// Chooses the rank that starts next: the most urgent rank that has a start in credit, or else the most urgent rank with
// waiting requests.
RankLane* chooseLane(UpstreamQueue& queue, const QueuePolicy& policy, Millis now, const IsStartable& isStartable)
{
    RankLane* mostUrgent = nullptr;
    for (auto& [order, lane] : queue.lanes) {
        if (!mayStart(queue, policy, order, now) || findStartable(lane, isStartable) == lane.waiting.end())
            continue;
        if (lane.credit >= 1)
            return &lane;
        if (!mostUrgent)
            mostUrgent = &lane;
    }
    return mostUrgent;
}

// Updates the ranks' credits after a start. The started rank pays one start if it has one. Then every rank with waiting
// requests earns its share, and ranks without waiting requests lose their credit.
void updateCredits(UpstreamQueue& queue, const QueuePolicy& policy, RankLane& started)
{
    if (started.credit >= 1)
        started.credit -= 1;
    for (auto& [order, lane] : queue.lanes) {
        if (lane.waiting.empty())
            lane.credit = 0;
        else
            lane.credit = std::min(kMaxCredit, lane.credit + shareOf(policy, order));
    }
}

} // namespace

namespace {

// The time until the stated limit allows a start behind `ahead` others, if a part of all starts is for these requests.
double pacedWait(const QueuePolicy& policy, std::size_t ahead, double part)
{
    if (!policy.startsPerSecond)
        return 0;
    return static_cast<double>(policy.nextStartIn.count())
        + 1000 * static_cast<double>(ahead) / (*policy.startsPerSecond * part);
}

// The expected wait if all waiting requests of this rank and of more urgent ranks start first.
double waitBehindUrgent(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order)
{
    double ms = 0;
    std::size_t ahead = 0;
    for (const auto& [laneOrder, lane] : queue.lanes) {
        if (laneOrder > order)
            continue;
        ms += static_cast<double>(lane.waiting.size()) * lane.meanServiceMs;
        ahead += lane.waiting.size();
    }
    return std::max(ms / policy.maxConcurrent, pacedWait(policy, ahead, 1));
}

// The expected wait if the rank gets only its guaranteed share of the starts.
double waitWithinShare(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order)
{
    const double share = shareOf(policy, order);
    const auto own = queue.lanes.find(order);
    if (share <= 0 || own == queue.lanes.end())
        return std::numeric_limits<double>::infinity();
    double ms = 0, measuredLanes = 0;
    for (const auto& [laneOrder, lane] : queue.lanes) {
        if (lane.meanServiceMs > 0) {
            ms += lane.meanServiceMs;
            ++measuredLanes;
        }
    }
    const double meanRunMs = measuredLanes > 0 ? ms / measuredLanes : 0;
    const std::size_t starts = own->second.waiting.size() + 1;
    return std::max(
        static_cast<double>(starts) * meanRunMs / (policy.maxConcurrent * share), pacedWait(policy, starts, share));
}

} // namespace

Millis expectedWait(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order)
{
    const double ms = std::min(waitBehindUrgent(queue, policy, order), waitWithinShare(queue, policy, order));
    return Millis(static_cast<std::int64_t>(ms));
}

std::optional<RefusalReason> enqueue(
    UpstreamQueue& queue, const QueuePolicy& policy, const WaitingRequest& request, Millis now)
{
    if (isMostUrgent(policy, request.order))
        queue.lastUrgentArrivalAt = now;
    RankLane& lane = queue.lanes[request.order];
    if (lane.waiting.size() >= policy.maxWaitingPerRank)
        return RefusalReason::queueFull;
    const Millis run(static_cast<std::int64_t>(lane.meanServiceMs * policy.runMargin));
    const bool idle = queue.running == 0 && waitingCount(queue) == 0;
    if (policy.acceptsLateWhenIdle && idle && now + policy.nextStartIn < request.deadline) {
        lane.waiting.push_back(request);
        return std::nullopt;
    }
    if (now + run >= request.deadline)
        return RefusalReason::deadlinePassed;
    const auto wait = expectedWait(queue, policy, request.order) * kWaitMarginTenths / 10;
    if (now + wait + run >= request.deadline)
        return RefusalReason::queueFull;
    lane.waiting.push_back(request);
    return std::nullopt;
}

std::optional<WaitingRequest> startNext(
    UpstreamQueue& queue, const QueuePolicy& policy, Millis now, const IsStartable& isStartable)
{
    RankLane* lane = chooseLane(queue, policy, now, isStartable);
    if (!lane)
        return std::nullopt;
    const auto found = findStartable(*lane, isStartable);
    const WaitingRequest next = *found;
    lane->waiting.erase(found);
    updateCredits(queue, policy, *lane);
    ++lane->running;
    ++queue.running;
    return next;
}

std::vector<WaitingRequest> dropLate(UpstreamQueue& queue, const QueuePolicy& policy, Millis now)
{
    std::vector<WaitingRequest> late;
    for (auto& [order, lane] : queue.lanes) {
        const Millis run(static_cast<std::int64_t>(lane.meanServiceMs * policy.runMargin));
        const auto isLate = [&](const WaitingRequest& it) { return now + run >= it.deadline; };
        std::copy_if(lane.waiting.begin(), lane.waiting.end(), std::back_inserter(late), isLate);
        lane.waiting.erase(std::remove_if(lane.waiting.begin(), lane.waiting.end(), isLate), lane.waiting.end());
    }
    return late;
}

bool removeWaiting(UpstreamQueue& queue, std::uint64_t id)
{
    for (auto& [order, lane] : queue.lanes) {
        const auto it = std::find_if(
            lane.waiting.begin(), lane.waiting.end(), [id](const WaitingRequest& n) { return n.id == id; });
        if (it != lane.waiting.end()) {
            lane.waiting.erase(it);
            return true;
        }
    }
    return false;
}

void finishRun(UpstreamQueue& queue, RankOrder order, std::optional<Millis> took)
{
    RankLane& lane = queue.lanes[order];
    --lane.running;
    --queue.running;
    if (!took)
        return;
    const double ms = static_cast<double>(took->count());
    lane.meanServiceMs
        = lane.meanServiceMs == 0 ? ms : lane.meanServiceMs + kServiceTimeWeight * (ms - lane.meanServiceMs);
}

std::vector<WaitingRequest> drainWaiting(UpstreamQueue& queue)
{
    std::vector<WaitingRequest> all;
    for (auto& [order, lane] : queue.lanes) {
        all.insert(all.end(), lane.waiting.begin(), lane.waiting.end());
        lane.waiting.clear();
    }
    return all;
}

std::size_t waitingCount(const UpstreamQueue& queue)
{
    std::size_t n = 0;
    for (const auto& [order, lane] : queue.lanes)
        n += lane.waiting.size();
    return n;
}

bool holdsInvariants(const UpstreamQueue& queue, const QueuePolicy& policy)
{
    unsigned running = 0;
    for (const auto& [order, lane] : queue.lanes) {
        running += lane.running;
        if (lane.waiting.size() > policy.maxWaitingPerRank || lane.credit < 0 || lane.credit > kMaxCredit)
            return false;
    }
    return running == queue.running && queue.running <= policy.maxConcurrent;
}

} // namespace pistachiospur
