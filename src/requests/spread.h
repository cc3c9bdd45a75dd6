#pragma once

#include "pistachiospur/types.h"

#include <vector>

// Chooses where a request to a pooled service goes. Any upstream may run it, so the host weighs how long the request
// would wait against sending it and its answer to another data centre.
namespace pistachiospur {

// What a host knows of the load of one group of upstreams.
struct GroupLoad {
    double waitMs = 0; // expected wait for a slot when it was last reported
    Millis reportedAt {};
};

// A group as a target of one request.
struct GroupTarget {
    unsigned slots = 0; // requests that its upstreams can run concurrently
    bool isNear = false; // in this host's data centre
    bool isAvoided = false; // an earlier attempt of the request was refused there
    double waitMs = 0; // expected wait now
};

// A report of a group's wait loses its weight in this time, so that a group that was full is tried again.
constexpr Millis kWaitReportLifetime { 1000 };
// Wait assumed of a group that refused a request or could not be reached.
constexpr double kRefusedWaitMs = 1000;
// A group in another data centre is chosen when that saves more than this part of the latency target.
constexpr double kFarWaitShare = 0.2;
// Groups whose costs differ by less are alike; each gets requests in proportion to its slots.
constexpr double kAlikeMs = 10;

// The wait that a report still stands for.
double waitNow(const GroupLoad&, Millis now);
// The index of the group to send a request to; 0 if there is none. `draw` is a random number from 0 to below 1.
std::size_t chooseGroup(const std::vector<GroupTarget>&, Millis targetLatency, double draw);

} // namespace pistachiospur
