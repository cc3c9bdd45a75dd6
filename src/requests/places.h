#pragma once

#include "queue.h"

#include <deque>

// Keeps starts of an upstream for callers that it had no room for, so that one who comes back when told is served. A
// start is kept in the order of the queue only: until the caller is back, others take it.
namespace pistachiospur {

// A refused request. It is known again by its fingerprint and by its caller's deadline, since equal requests of other
// callers have the same fingerprint.
struct Place {
    std::uint64_t fingerprint = 0;
    RankOrder order = 0;
    RankName rank;
    Millis callerDeadline {};
    Millis refusedAt {};
    Millis at {}; // when the caller was told to come back
    bool isKept = false; // false: none was left within the time that callers wait; the caller is only known again
    std::optional<LatencyTarget> target;
};

struct PlaceCounts {
    std::uint64_t given = 0;
    std::uint64_t kept = 0; // the caller came back and found its place
    std::uint64_t missed = 0; // it came back too late
    std::uint64_t expired = 0; // it did not come back
};

PlaceCounts& operator+=(PlaceCounts&, const PlaceCounts&);

struct Places {
    std::deque<Place> list; // oldest first
    std::map<RankName, PlaceCounts> counts;
};

// Max places of one upstream or group. The oldest for which no start is kept is dropped.
constexpr std::size_t kMaxPlaces = 512;
// Callers follow a Retry-After up to this part of the time that they have left.
constexpr double kMaxReturnShare = 1.0 / 3;
// A caller that comes back earlier than told by less is on time, and so is one that comes later by less.
constexpr Millis kReturnTolerance { 60 };
constexpr Millis kPlaceLifetime { 500 };
// Two attempts of one caller agree on its deadline up to this, which covers the way to two hosts.
constexpr Millis kSameDeadline { 60 };

// What is known of a request's caller.
struct CallerTrace {
    std::uint64_t fingerprint = 0; // 0: unknown
    RankName rank;
    Millis deadline {}; // of the caller itself; the request's deadline may be sooner
    bool mayComeBack = false; // the refusal goes to the caller, and not to a host that tries another group
};

// Refusal of a request by a queue.
struct TurnedAway {
    RefusalReason reason;
    Millis retryAfter {};
};

// Adds a request to the queue as enqueue() does, or returns the refusal. One whose place is due goes before those that
// are new. One that comes early gets the same time again, unless it can start at once.
std::optional<TurnedAway> enqueueOrGivePlace(
    UpstreamQueue&, Places&, const QueuePolicy&, const WaitingRequest&, const CallerTrace&, Millis now);
// When a caller whose waiting request was dropped may come back; keeps a place for it if there is one.
Millis givePlace(
    const UpstreamQueue&, Places&, const QueuePolicy&, const WaitingRequest&, const CallerTrace&, Millis now);
void dropExpired(Places&, Millis now);

} // namespace pistachiospur
