#include "stop.h"

namespace pistachiospur {

namespace {

// A stop ends this long before the platform would kill the process.
constexpr Millis kKillMargin { 500 };
// From a request's deadline until its caller has the answer.
constexpr Millis kAnswerMargin { 50 };

} // namespace

PlannedStop planStop(Millis now, Millis grace) { return { now, now + grace - kKillMargin }; }

bool mayPassOn(const PlannedStop& stop, Millis deadline) { return deadline + kAnswerMargin <= stop.endsAt; }

} // namespace pistachiospur
