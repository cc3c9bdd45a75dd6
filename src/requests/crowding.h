#pragma once

#include "pistachiospur/types.h"

#include <cstddef>
#include <optional>
#include <tuple>
#include <vector>

// Which connections of callers end while all of them together hold too much memory or too many descriptors: those that
// hold the most, for the longest, and give the least.
namespace pistachiospur {

struct CallerLoad {
    std::size_t bytes = 0; // of memory that would be free if the connection were closed
    Millis since {}; // monotonic clock: when it began to hold them, or last began or ended a request
    bool hasGiven = false; // has sent a whole request before
    bool isRunning = false; // a request of it runs

    friend bool operator==(const CallerLoad& a, const CallerLoad& b)
    {
        return std::tie(a.bytes, a.since, a.hasGiven, a.isRunning)
            == std::tie(b.bytes, b.since, b.hasGiven, b.isRunning);
    }
};

// The connection to close so that memory is free: the one whose bytes, times the time for which they have been held,
// are the most. Nothing if none holds any.
std::optional<std::size_t> heaviestCaller(const std::vector<CallerLoad>&, Millis now);
// The connection to close so that another can be accepted: the one that has done nothing for the longest, of those that
// have never sent a whole request if there are any. Nothing if each has a request running or has done something within
// `quiet`.
std::optional<std::size_t> idlestCaller(const std::vector<CallerLoad>&, Millis quiet, Millis now);

} // namespace pistachiospur
