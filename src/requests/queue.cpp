#include "queue.h"

#include <algorithm>
#include <limits>

namespace pistachiospur {

namespace {

// Most starts that a rank's share can save up.
constexpr double kGreatestCredit = 2.0;

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
    const double urgentMs = queue.lanes.empty() ? 0 : queue.lanes.begin()->second.serviceMs;
    return lane.serviceMs > 0 && lane.serviceMs <= kShortRun * urgentMs;
}

// The least urgent rank leaves one slot free while urgent work is about, so that an urgent request never waits for a
// long run of the least urgent.
bool mayStart(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order, Millis now)
{
    if (queue.running >= policy.slots)
        return false;
    const bool urgentAbout = queue.urgentAt && now < *queue.urgentAt + kUrgentMemory;
    if (!urgentAbout || policy.slots < 2 || !isLeastUrgent(policy, order))
        return true;
    const auto it = queue.lanes.find(order);
    return it == queue.lanes.end() || hasShortRuns(queue, it->second) || it->second.running + 1 < policy.slots;
}

// A rank whose share has earned a start goes first; otherwise the most urgent rank that waits.
RankLane* chooseLane(UpstreamQueue& queue, const QueuePolicy& policy, Millis now)
{
    RankLane* urgent = nullptr;
    for (auto& [order, lane] : queue.lanes) {
        if (lane.waiting.empty() || !mayStart(queue, policy, order, now))
            continue;
        if (lane.credit >= 1)
            return &lane;
        if (!urgent)
            urgent = &lane;
    }
    return urgent;
}

void earnCredits(UpstreamQueue& queue, const QueuePolicy& policy, RankLane& started)
{
    if (started.credit >= 1)
        started.credit -= 1;
    for (auto& [order, lane] : queue.lanes) {
        if (lane.waiting.empty())
            lane.credit = 0;
        else
            lane.credit = std::min(kGreatestCredit, lane.credit + shareOf(policy, order));
    }
}

} // namespace

namespace {

// The wait if everything as urgent or more urgent goes first.
double waitBehindUrgent(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order)
{
    double ms = 0;
    for (const auto& [laneOrder, lane] : queue.lanes) {
        if (laneOrder <= order)
            ms += static_cast<double>(lane.waiting.size()) * lane.serviceMs;
    }
    return ms / policy.slots;
}

// The wait if the rank gets no more than its share of the starts.
double waitWithinShare(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order)
{
    const double share = shareOf(policy, order);
    const auto own = queue.lanes.find(order);
    if (share <= 0 || own == queue.lanes.end())
        return std::numeric_limits<double>::infinity();
    double ms = 0, lanes = 0;
    for (const auto& [laneOrder, lane] : queue.lanes) {
        if (lane.serviceMs > 0) {
            ms += lane.serviceMs;
            ++lanes;
        }
    }
    const double meanRun = lanes > 0 ? ms / lanes : 0;
    return static_cast<double>(own->second.waiting.size() + 1) * meanRun / (policy.slots * share);
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
        queue.urgentAt = now;
    RankLane& lane = queue.lanes[request.order];
    if (lane.waiting.size() >= policy.perRank)
        return RefusalReason::queueFull;
    const Millis run(static_cast<std::int64_t>(lane.serviceMs * policy.runMargin));
    const bool idle = queue.running == 0 && waitingCount(queue) == 0;
    if (policy.triesWhenIdle && idle && now < request.deadline) {
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

std::optional<WaitingRequest> startNext(UpstreamQueue& queue, const QueuePolicy& policy, Millis now)
{
    RankLane* lane = chooseLane(queue, policy, now);
    if (!lane)
        return std::nullopt;
    const WaitingRequest next = lane->waiting.front();
    lane->waiting.pop_front();
    earnCredits(queue, policy, *lane);
    ++lane->running;
    ++queue.running;
    return next;
}

std::vector<WaitingRequest> dropLate(UpstreamQueue& queue, const QueuePolicy& policy, Millis now)
{
    std::vector<WaitingRequest> late;
    for (auto& [order, lane] : queue.lanes) {
        const Millis run(static_cast<std::int64_t>(lane.serviceMs * policy.runMargin));
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
    lane.serviceMs = lane.serviceMs == 0 ? ms : lane.serviceMs + kServiceTimeWeight * (ms - lane.serviceMs);
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
        if (lane.waiting.size() > policy.perRank || lane.credit < 0 || lane.credit > kGreatestCredit)
            return false;
    }
    return running == queue.running && queue.running <= policy.slots;
}

} // namespace pistachiospur
