#pragma once

#include "pistachiospur/types.h"

#include <optional>
#include <string>

// What an upstream reports of its own load.
namespace pistachiospur {

struct UpstreamLoad {
    unsigned running = 0; // requests
    unsigned waiting = 0; // requests in its queue
    unsigned slots = 0; // requests that it can run concurrently
    double workFactor = 1; // how long work takes on its machine at that moment, as a multiple of the usual time

    friend bool operator==(const UpstreamLoad& a, const UpstreamLoad& b)
    {
        return std::tie(a.running, a.waiting, a.slots, a.workFactor)
            == std::tie(b.running, b.waiting, b.slots, b.workFactor);
    }
};

// A report with a larger count is no report.
constexpr unsigned kMaxReportedCount = 1000000;
// Work factors are kept within these bounds: whatever an upstream claims, it still gets some requests and not all.
constexpr double kMinWorkFactor = 0.1;
constexpr double kMaxWorkFactor = 20;

// Reads "RUNNING,WAITING,SLOTS" with an optional fourth figure, the work factor in percent. Nothing if the text is
// anything else.
std::optional<UpstreamLoad> parseLoad(const std::string& text);

} // namespace pistachiospur
