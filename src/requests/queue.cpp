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

Millis toMillis(double ms) { return Millis(static_cast<std::int64_t>(ms)); }

// Mean time of a rank's runs, or what is assumed of them.
double runMsOf(const RankLane& lane) { return lane.meanServiceMs > 0 ? lane.meanServiceMs : lane.assumedServiceMs; }

// Whether a request has lost nothing by waiting so far.
bool isInTime(const WaitingRequest& request, Millis now)
{
    return request.placeAt || !request.startBy || now <= *request.startBy;
}

std::size_t lateCount(const RankLane& lane, Millis now)
{
    return static_cast<std::size_t>(std::count_if(
        lane.waiting.begin(), lane.waiting.end(), [now](const WaitingRequest& it) { return !isInTime(it, now); }));
}

// The request of a rank that starts next; the end if there is none.
std::deque<WaitingRequest>::iterator findStartable(RankLane& lane, const IsStartable& isStartable, Millis now)
{
    const auto find = [&](bool inTime) {
        return std::find_if(lane.waiting.begin(), lane.waiting.end(),
            [&](const WaitingRequest& it) { return isInTime(it, now) == inTime && (!isStartable || isStartable(it)); });
    };
    const bool isLatesTurn = lane.lateRoom.credit >= 1;
    const auto first = find(!isLatesTurn);
    return first == lane.waiting.end() ? find(isLatesTurn) : first;
}

// Chooses the rank that starts next: the most urgent rank that has a start in credit, or else the most urgent rank with
// waiting requests.
RankLane* chooseLane(UpstreamQueue& queue, const QueuePolicy& policy, Millis now, const IsStartable& isStartable)
{
    RankLane* mostUrgent = nullptr;
    for (auto& [order, lane] : queue.lanes) {
        if (!mayStart(queue, policy, order, now) || findStartable(lane, isStartable, now) == lane.waiting.end())
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
double pacedWait(const QueuePolicy& policy, double ahead, double part)
{
    if (!policy.startsPerSecond)
        return 0;
    return static_cast<double>(policy.nextStartIn.count()) + 1000 * ahead / (*policy.startsPerSecond * part);
}

// The expected wait if all waiting requests of more urgent ranks start first, and `ahead` of this one.
double waitBehindUrgent(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order, double ahead)
{
    double ms = 0, starts = 0;
    for (const auto& [laneOrder, lane] : queue.lanes) {
        if (laneOrder > order)
            continue;
        const double n = laneOrder == order ? ahead : static_cast<double>(lane.waiting.size());
        ms += n * runMsOf(lane);
        starts += n;
    }
    return std::max(ms / policy.maxConcurrent, pacedWait(policy, starts, 1));
}

// The expected wait if the rank gets only its guaranteed share of the starts.
double waitWithinShare(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order, double ahead)
{
    const double share = shareOf(policy, order);
    if (share <= 0 || queue.lanes.count(order) == 0)
        return std::numeric_limits<double>::infinity();
    double ms = 0, measuredLanes = 0;
    for (const auto& [laneOrder, lane] : queue.lanes) {
        if (runMsOf(lane) > 0) {
            ms += runMsOf(lane);
            ++measuredLanes;
        }
    }
    const double meanRunMs = measuredLanes > 0 ? ms / measuredLanes : 0;
    const double starts = ahead + 1;
    return std::max(starts * meanRunMs / (policy.maxConcurrent * share), pacedWait(policy, starts, share));
}

Millis waitBehind(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order, double ahead)
{
    return toMillis(
        std::min(waitBehindUrgent(queue, policy, order, ahead), waitWithinShare(queue, policy, order, ahead)));
}

// The expected wait of a late request behind `late` others of its rank.
Millis lateWait(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order, std::size_t late, Millis now)
{
    const RankLane& lane = queue.lanes.at(order);
    const std::size_t inTime = lane.waiting.size() - lateCount(lane, now);
    const double startsForLate = static_cast<double>(late + 1) / lateShare(lane.lateRoom) - 1;
    return waitBehind(queue, policy, order, std::max(startsForLate, static_cast<double>(inTime + late)));
}

// Takes note of what a start says of the room for late requests, and lets those that wait earn their share.
void updateLateRoom(RankLane& lane, const WaitingRequest& started, Millis now)
{
    const bool isLate = !isInTime(started, now);
    noteStart(lane.lateRoom, isLate || started.queuedAt == now, now);
    double& credit = lane.lateRoom.credit;
    if (isLate)
        credit = std::max(0.0, credit - 1);
    credit = lateCount(lane, now) == 0 ? 0 : std::min(kMaxCredit, credit + kMinLateShare);
}

// Moves the late requests of a rank that are not expected to be answered by their deadline to `dropped`.
void dropHopeless(
    UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order, Millis now, std::vector<WaitingRequest>& dropped)
{
    RankLane& lane = queue.lanes.at(order);
    const Millis run = toMillis(runMsOf(lane));
    std::size_t late = 0;
    for (auto it = lane.waiting.begin(); it != lane.waiting.end();) {
        if (isInTime(*it, now)) {
            ++it;
        } else if (now + lateWait(queue, policy, order, late, now) + run < it->deadline) {
            ++late;
            ++it;
        } else {
            dropped.push_back(*it);
            it = lane.waiting.erase(it);
        }
    }
}

} // namespace

Millis expectedWait(const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order, Millis now)
{
    const auto lane = queue.lanes.find(order);
    const std::size_t ahead
        = lane == queue.lanes.end() ? 0 : lane->second.waiting.size() - lateCount(lane->second, now);
    return waitBehind(queue, policy, order, static_cast<double>(ahead));
}

Millis expectedLateWait(
    const UpstreamQueue& queue, const QueuePolicy& policy, RankOrder order, std::size_t promised, Millis now)
{
    const auto lane = queue.lanes.find(order);
    if (lane == queue.lanes.end())
        return waitBehind(queue, policy, order, static_cast<double>(promised));
    return lateWait(queue, policy, order, lateCount(lane->second, now) + promised, now);
}

std::optional<RefusalReason> enqueue(
    UpstreamQueue& queue, const QueuePolicy& policy, const WaitingRequest& added, Millis now)
{
    WaitingRequest request = added;
    request.queuedAt = now;
    if (isMostUrgent(policy, request.order))
        queue.lastUrgentArrivalAt = now;
    RankLane& lane = queue.lanes[request.order];
    if (lane.waiting.size() >= policy.maxWaitingPerRank)
        return RefusalReason::queueFull;
    if (request.target) {
        lane.assumedServiceMs = kAssumedRunShare * static_cast<double>(request.target->latency.count());
        request.startBy = latestStart(*request.target, runMsOf(lane));
    }
    const Millis run = toMillis(runMsOf(lane) * policy.runMargin);
    const bool idle = queue.running == 0 && waitingCount(queue) == 0;
    if (policy.acceptsLateWhenIdle && idle && now + policy.nextStartIn < request.deadline) {
        lane.waiting.push_back(request);
        return std::nullopt;
    }
    if (now + run >= request.deadline)
        return RefusalReason::deadlinePassed;
    Millis wait = request.placeAt ? policy.nextStartIn
                                  : expectedWait(queue, policy, request.order, now) * kWaitMarginTenths / 10;
    const bool inTime = request.placeAt || !request.startBy || now + wait <= *request.startBy;
    if (!inTime) {
        // It stands behind later ones that can be in time, instead of holding them up until it is late itself.
        request.startBy = now - Millis(1);
        wait = expectedLateWait(queue, policy, request.order, 0, now) * kWaitMarginTenths / 10;
    }
    if (now + wait + run >= request.deadline)
        return RefusalReason::queueFull;
    // Those whose time has come go before those that are new.
    const auto isBehind = [&](const WaitingRequest& it) { return !it.placeAt || *it.placeAt > *request.placeAt; };
    const auto at
        = request.placeAt ? std::find_if(lane.waiting.begin(), lane.waiting.end(), isBehind) : lane.waiting.end();
    lane.waiting.insert(at, request);
    return std::nullopt;
}

std::optional<WaitingRequest> startNext(
    UpstreamQueue& queue, const QueuePolicy& policy, Millis now, const IsStartable& isStartable)
{
    RankLane* lane = chooseLane(queue, policy, now, isStartable);
    if (!lane)
        return std::nullopt;
    const auto found = findStartable(*lane, isStartable, now);
    const WaitingRequest next = *found;
    lane->waiting.erase(found);
    updateLateRoom(*lane, next, now);
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
        dropHopeless(queue, policy, order, now, late);
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
        if (lane.waiting.size() > policy.maxWaitingPerRank || lane.credit < 0 || lane.credit > kMaxCredit
            || lane.lateRoom.credit < 0 || lane.lateRoom.credit > kMaxCredit)
            return false;
    }
    return running == queue.running && queue.running <= policy.maxConcurrent;
}

} // namespace pistachiospur
