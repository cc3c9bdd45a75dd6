#pragma once

#include "overload.h"
#include "pistachiospur/request.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

// The request queue of one upstream: decides which request starts when the upstream can run another one, and drops
// requests that can no longer meet their deadline. An execution slot is room for one running request; it is unrelated
// to SlotId.
namespace pistachiospur {

struct QueuePolicy {
    unsigned maxConcurrent = 1; // maximum number of requests that the upstream runs concurrently
    std::size_t maxWaitingPerRank = 1; // maximum number of waiting requests of one rank
    std::map<RankOrder, double> shares; // fraction of starts guaranteed to each rank; contains every rank
    // A run is expected to take its rank's mean service time times this margin. A request that is started and ends late
    // wastes its execution slot.
    double runMargin = 2;
    // Whether an idle upstream accepts a request that would end late according to the mean service time. Otherwise an
    // upstream that was slow for a while would get no requests, and its mean service time would never recover.
    bool acceptsLateWhenIdle = false;
    // Starts a second that the upstream's stated limit allows, and the time until the next one; nothing: no limit.
    std::optional<double> startsPerSecond {};
    Millis nextStartIn {};
};

// The least urgent rank leaves one execution slot free for this long after the last arrival of the most urgent rank.
// This does not apply if its runs are short, because the wait of an urgent request behind a short run costs less than
// an execution slot kept idle.
constexpr Millis kUrgentReserveDuration { 2000 };
// Runs are short if their mean service time is at most this multiple of the most urgent rank's.
constexpr double kMaxShortRunRatio = 2;
// Weight of the newest sample in a rank's mean service time (EWMA).
constexpr double kServiceTimeWeight = 0.1;

// The margin, in tenths, by which enqueue() multiplies the expected wait before it compares it with the deadline.
constexpr int kWaitMarginTenths = 15;

struct WaitingRequest {
    std::uint64_t id = 0;
    RankOrder order = 0;
    Millis deadline {};
    std::optional<LatencyTarget> target {}; // nothing: a late answer is worth as much as any
    std::optional<Millis> placeAt {}; // a start was kept for the request at this time; it goes before those in time
    // Set by enqueue().
    Millis queuedAt {};
    std::optional<Millis> startBy {}; // a request that waits longer is late anyhow

    friend bool operator==(const WaitingRequest& a, const WaitingRequest& b)
    {
        return std::tie(a.id, a.order, a.deadline, a.target, a.placeAt, a.queuedAt, a.startBy)
            == std::tie(b.id, b.order, b.deadline, b.target, b.placeAt, b.queuedAt, b.startBy);
    }
};

struct RankLane {
    std::deque<WaitingRequest> waiting;
    double credit = 0; // starts earned by the rank's share and not used yet
    unsigned running = 0;
    double meanServiceMs = 0; // EWMA of the time of runs; 0 while unknown
    double assumedServiceMs = 0; // stands for it while it is unknown
    LateRoom lateRoom;
};

struct UpstreamQueue {
    std::map<RankOrder, RankLane> lanes; // most urgent rank first
    unsigned running = 0;
    std::optional<Millis> lastUrgentArrivalAt; // last arrival of a request of the most urgent rank
};

// Adds a request, or returns the reason for refusing it: its rank's queue is full, or it would miss its deadline. One
// that would be late behind those in time is expected to get only the starts that such requests have got lately.
std::optional<RefusalReason> enqueue(UpstreamQueue&, const QueuePolicy&, const WaitingRequest&, Millis now);
using IsStartable = std::function<bool(const WaitingRequest&)>;
// Removes and returns the request that starts next, if there is one that may take a free execution slot. Within a rank,
// requests that can still be answered in time start before those that are late anyhow. finishRun()
// must be called when the request ends. Requests for which `isStartable` is false are passed over.
std::optional<WaitingRequest> startNext(
    UpstreamQueue&, const QueuePolicy&, Millis now, const IsStartable& isStartable = {});
// Removes and returns the requests that can no longer be answered by their deadline, and late ones that are no longer
// expected to be.
std::vector<WaitingRequest> dropLate(UpstreamQueue&, const QueuePolicy&, Millis now);
// Removes one waiting request. Returns false if it is not in the queue.
bool removeWaiting(UpstreamQueue&, std::uint64_t id);
// Frees the execution slot of a run that has ended. `took` is its duration, or nothing if the run must not count
// towards the mean service time, such as one that the upstream refused.
void finishRun(UpstreamQueue&, RankOrder, std::optional<Millis> took);
// Removes and returns all waiting requests.
std::vector<WaitingRequest> drainWaiting(UpstreamQueue&);
std::size_t waitingCount(const UpstreamQueue&);
// Expected wait of a new request of a rank that can be answered in time: the shorter of the wait until those of its
// rank that start before it and all of more urgent ranks have started, and the wait if its rank gets only its
// guaranteed share.
Millis expectedWait(const UpstreamQueue&, const QueuePolicy&, RankOrder, Millis now);
// The same of one that would be late, behind those that wait and `promised` others.
Millis expectedLateWait(const UpstreamQueue&, const QueuePolicy&, RankOrder, std::size_t promised, Millis now);
bool holdsInvariants(const UpstreamQueue&, const QueuePolicy&);

} // namespace pistachiospur
