#include "places.h"

#include <algorithm>

namespace pistachiospur {

namespace {

// Shortest time after which a caller is told to come back.
constexpr Millis kMinReturnTime { 250 };

// The earlier attempt of the same caller; the end if none is known. Equal requests that come at the same moment cannot
// be told from one caller's repeats. Several known ones are of several callers, who are not held up for each other.
std::deque<Place>::iterator findEarlier(Places& places, const CallerTrace& caller, RankOrder order, Millis now)
{
    const auto isEqual = [&](const Place& it) { return it.fingerprint == caller.fingerprint && it.order == order; };
    const auto isSame = [&](const Place& it) {
        return isEqual(it) && caller.deadline <= it.callerDeadline + kSameDeadline
            && it.callerDeadline <= caller.deadline + kSameDeadline;
    };
    const auto found = std::find_if(places.list.begin(), places.list.end(), isSame);
    if (found == places.list.end() || now > found->refusedAt + 2 * kSameDeadline)
        return found;
    return std::count_if(places.list.begin(), places.list.end(), isEqual) > 1 ? places.list.end() : found;
}

bool startsAtOnce(const UpstreamQueue& queue, const QueuePolicy& policy)
{
    return waitingCount(queue) == 0 && queue.running < policy.maxConcurrent && policy.nextStartIn == Millis(0);
}

std::size_t keptCount(const Places& places, RankOrder order)
{
    return static_cast<std::size_t>(std::count_if(
        places.list.begin(), places.list.end(), [order](const Place& it) { return it.isKept && it.order == order; }));
}

// Places whose callers are expected about now.
std::size_t dueCount(const Places& places, RankOrder order, Millis now)
{
    return static_cast<std::size_t>(std::count_if(places.list.begin(), places.list.end(),
        [&](const Place& it) { return it.isKept && it.order == order && it.at <= now + kReturnTolerance; }));
}

} // namespace

PlaceCounts& operator+=(PlaceCounts& sum, const PlaceCounts& counts)
{
    sum.given += counts.given;
    sum.kept += counts.kept;
    sum.missed += counts.missed;
    sum.expired += counts.expired;
    return sum;
}

void dropExpired(Places& places, Millis now)
{
    const auto isExpired
        = [&](const Place& it) { return now >= it.callerDeadline || (it.isKept && now >= it.at + 2 * kPlaceLifetime); };
    for (const auto& it : places.list) {
        if (it.isKept && isExpired(it))
            ++places.counts[it.rank].expired;
    }
    places.list.erase(std::remove_if(places.list.begin(), places.list.end(), isExpired), places.list.end());
}

Millis givePlace(const UpstreamQueue& queue, Places& places, const QueuePolicy& policy, const WaitingRequest& request,
    const CallerTrace& caller, Millis now)
{
    const std::size_t kept = keptCount(places, request.order);
    const Millis wait = std::max(kMinReturnTime, expectedLateWait(queue, policy, request.order, kept, now));
    if (caller.fingerprint == 0)
        return wait;
    const auto longest
        = Millis(static_cast<std::int64_t>(kMaxReturnShare * static_cast<double>((caller.deadline - now).count())));
    const bool isKept = caller.mayComeBack && wait <= longest;
    if (places.list.size() >= kMaxPlaces) {
        const auto oldest
            = std::find_if(places.list.begin(), places.list.end(), [](const Place& it) { return !it.isKept; });
        if (oldest == places.list.end())
            return wait;
        places.list.erase(oldest);
    }
    places.list.push_back(
        { caller.fingerprint, request.order, caller.rank, caller.deadline, now, now + wait, isKept, request.target });
    places.counts[caller.rank].given += isKept;
    return wait;
}

std::optional<TurnedAway> enqueueOrGivePlace(UpstreamQueue& queue, Places& places, const QueuePolicy& policy,
    const WaitingRequest& added, const CallerTrace& caller, Millis now)
{
    WaitingRequest request = added;
    dropExpired(places, now);
    const auto earlier = caller.fingerprint == 0 ? places.list.end() : findEarlier(places, caller, added.order, now);
    if (earlier != places.list.end()) {
        const bool isEarly = earlier->isKept && now + kReturnTolerance < earlier->at;
        if (isEarly && !startsAtOnce(queue, policy))
            return TurnedAway { RefusalReason::queueFull, earlier->at - now };
        // A repeat is no new request: the caller has waited since its first one.
        request.target = earlier->target;
        if (earlier->isKept && now <= earlier->at + kPlaceLifetime) {
            request.placeAt = earlier->at;
            places.counts[caller.rank].kept += 1;
        } else {
            places.counts[caller.rank].missed += earlier->isKept;
        }
        places.list.erase(earlier);
    }
    const std::size_t due = request.placeAt ? 0 : dueCount(places, request.order, now);
    const auto enqueueBesideDue = [&] {
        QueuePolicy limits = policy;
        limits.maxWaitingPerRank -= std::min(policy.maxWaitingPerRank, due);
        return enqueue(queue, limits, request, now);
    };
    const auto reason = due > 0 ? enqueueBesideDue() : enqueue(queue, policy, request, now);
    if (!reason)
        return std::nullopt;
    if (*reason != RefusalReason::queueFull)
        return TurnedAway { *reason, kMinReturnTime };
    return TurnedAway { *reason, givePlace(queue, places, policy, request, caller, now) };
}

} // namespace pistachiospur
