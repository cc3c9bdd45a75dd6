#include "overload.h"

#include <algorithm>
#include <cmath>

namespace pistachiospur {

namespace {

// A target below this multiple of the mean run time is not one that a shorter wait would meet.
constexpr double kMinTargetRuns = 1.2;

} // namespace

std::optional<Millis> latestStart(const LatencyTarget& target, double meanRunMs)
{
    const double latency = static_cast<double>(target.latency.count());
    if (latency < kMinTargetRuns * meanRunMs)
        return std::nullopt;
    const double run = meanRunMs + std::min(meanRunMs, (latency - meanRunMs) / 2);
    return target.by - Millis(static_cast<std::int64_t>(run));
}

void noteStart(LateRoom& room, bool hadRoom, Millis now)
{
    const double age = std::chrono::duration<double>(std::max(Millis(0), now - room.updatedAt)).count();
    const double weight = 1 - std::exp(-age / std::chrono::duration<double>(kLateRoomMemory).count());
    room.share += weight * ((hadRoom ? 1 : 0) - room.share);
    room.updatedAt = now;
}

double lateShare(const LateRoom& room) { return std::max(kMinLateShare, room.share); }

} // namespace pistachiospur
