#pragma once

#include "pistachiospur/types.h"

#include <optional>

// Decides what a request that can no longer be answered in time still gets when an upstream has too little room. Every
// late answer costs another request its answer in time then, so late ones get the starts that nobody else waits for.
namespace pistachiospur {

// The part of a rank's starts that requests got which were late anyhow, or would have got if there had been any.
struct LateRoom {
    double share = 1; // EWMA over time
    Millis updatedAt {};
    double credit = 0; // starts earned by the least share and not used yet
};

// Late requests that wait are guaranteed this share of the starts.
constexpr double kMinLateShare = 0.05;
// Time in which a sample of the share loses most of its weight. A crowd that is gone before does not count as lasting.
constexpr Millis kLateRoomMemory { 1000 };
// Run time assumed of a rank without a sample, as a part of its requests' latency target.
constexpr double kAssumedRunShare = 0.3;

// When an answer has its full value to the caller.
struct LatencyTarget {
    Millis latency {}; // from the caller's first attempt
    Millis by {};

    friend bool operator==(const LatencyTarget& a, const LatencyTarget& b)
    {
        return a.latency == b.latency && a.by == b.by;
    }
};

// The time by which a request must start to be answered in time, leaving room for runs longer than the mean. Nothing if
// its wait does not decide on that, because a mean run alone takes about as long as the target.
std::optional<Millis> latestStart(const LatencyTarget&, double meanRunMs);
// Takes note of a start. There was room if it took nothing from a request in time: it was itself late, or found an idle
// upstream.
void noteStart(LateRoom&, bool hadRoom, Millis now);
// The share to reckon with.
double lateShare(const LateRoom&);

} // namespace pistachiospur
