#pragma once

#include "pistachiospur/types.h"

#include <vector>

// Chooses where a request to a pooled service goes, since any upstream may run it: a host chooses a group of upstreams
// by the wait there, and the group's coordinator chooses the upstream.
namespace pistachiospur {

// What a host knows of the load of one group of upstreams.
struct GroupLoad {
    double waitMs = 0; // expected wait for a slot when it was last reported
    Millis reportedAt {};
};

// A group as a target of one request.
struct GroupTarget {
    unsigned slots = 0; // requests that its upstreams can run concurrently
    bool isFar = false; // all its upstreams are in another data centre
    bool isAvoided = false; // an earlier attempt of the request was refused there
    double waitMs = 0; // expected wait now
};

// A report of a group's wait loses its weight in this time, so that a group that was full is tried again.
constexpr Millis kWaitReportLifetime { 1000 };
// Wait assumed of a group that refused a request or could not be reached.
constexpr double kRefusedWaitMs = 1000;
// A group in another data centre is chosen when that saves more than this part of the latency target.
constexpr double kFarWaitShare = 0.2;
// Groups whose waits differ by less are alike; each gets requests in proportion to its slots.
constexpr double kAlikeMs = 10;

// The wait that a report still stands for.
double waitNow(const GroupLoad&, Millis now);
// The index of the group to send a request to; 0 if there is none. `draw` is a random number from 0 to below 1.
std::size_t chooseGroup(const std::vector<GroupTarget>&, Millis targetLatency, double draw);

// An upstream with a free slot, as a target of one request.
struct UpstreamTarget {
    double runMs = 0; // mean run time; 0 while unknown
    unsigned running = 0; // requests
    bool isNear = false; // in the data centre from which the request is sent
    bool isAvoided = false; // it did not run a request lately
};

// The cost of an upstream that is expected to take this long, by where it is and whether it is avoided.
double placedCost(double expectedMs, bool isNear, bool isAvoided, bool hasLargeBody);
// The lower, the sooner the upstream is expected to answer. A request with a large body rather waits for a slower
// upstream of its own data centre than crosses to another.
double upstreamCost(const UpstreamTarget&, bool hasLargeBody);

} // namespace pistachiospur
