#pragma once

#include "pistachiospur/request.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

// The waiting line of one upstream: which request takes the next free slot, and which can no longer be in time.
namespace pistachiospur {

struct QueuePolicy {
    unsigned slots = 1; // requests that the upstream runs at once
    std::size_t perRank = 1; // most waiting requests of one rank
    std::map<RankOrder, double> shares; // fraction of starts that each rank keeps; every rank is listed
    double runMargin = 2; // runs are judged by their mean times this: starting what then ends late would waste the slot
    // Whether an idle upstream takes what its mean run says would be late. Without that an upstream that was slow for a
    // while, and so gets nothing, would never show that it is fast again.
    bool triesWhenIdle = false;
};

// For so long after urgent work the least urgent rank leaves one slot free, unless its runs are short: an urgent
// request then waits less behind one than the idle slot would cost the others.
constexpr Millis kUrgentMemory { 2000 };
// Runs count as short up to so many times the most urgent rank's.
constexpr double kShortRun = 2;
// Weight of the newest sample in a rank's mean service time.
constexpr double kServiceTimeWeight = 0.1;

// Waits are judged by their means times this.
constexpr int kWaitMarginTenths = 15;

struct WaitingRequest {
    std::uint64_t id = 0;
    RankOrder order = 0;
    Millis deadline {};

    friend bool operator==(const WaitingRequest& a, const WaitingRequest& b)
    {
        return std::tie(a.id, a.order, a.deadline) == std::tie(b.id, b.order, b.deadline);
    }
};

struct RankLane {
    std::deque<WaitingRequest> waiting;
    double credit = 0; // starts that the rank's share has earned and not used
    unsigned running = 0;
    double serviceMs = 0; // mean time of recent runs; 0 while unknown
};

struct UpstreamQueue {
    std::map<RankOrder, RankLane> lanes;
    unsigned running = 0;
    std::optional<Millis> urgentAt; // last arrival of the most urgent rank
};

// Adds a request, or says why not: the line is full, or the wait would outlast the deadline.
std::optional<RefusalReason> enqueue(UpstreamQueue&, const QueuePolicy&, const WaitingRequest&, Millis now);
// Takes the request that starts next, if a slot is free for any. The caller must report its end with finishRun.
std::optional<WaitingRequest> startNext(UpstreamQueue&, const QueuePolicy&, Millis now);
// Removes the requests that cannot be answered in time any more.
std::vector<WaitingRequest> dropLate(UpstreamQueue&, const QueuePolicy&, Millis now);
// Removes one waiting request; false when it does not wait.
bool removeWaiting(UpstreamQueue&, std::uint64_t id);
// `took` is nothing for a run that tells nothing about the service time, such as one that the upstream refused.
void finishRun(UpstreamQueue&, RankOrder, std::optional<Millis> took);
// Removes everything that waits.
std::vector<WaitingRequest> drainWaiting(UpstreamQueue&);
std::size_t waitingCount(const UpstreamQueue&);
// Expected wait of a newcomer of a rank, from what waits in front of it.
Millis expectedWait(const UpstreamQueue&, const QueuePolicy&, RankOrder);
bool holdsInvariants(const UpstreamQueue&, const QueuePolicy&);

} // namespace pistachiospur
