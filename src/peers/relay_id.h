#pragma once

#include "pistachiospur/types.h"

// Ids of forwarded requests: a number of the request, counted by the host that sends it, and in the low bits the
// number of the attempt.
namespace pistachiospur {

// The number of a process's first request, at most half of what the bits above the attempt hold. Another process of the
// host begins elsewhere: other hosts may still hold requests and replies of the process before, and earlier builds know
// them by host and id alone.
std::uint64_t firstRequestNumber(Incarnation, unsigned attemptBits);

} // namespace pistachiospur
