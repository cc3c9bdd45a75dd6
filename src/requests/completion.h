#pragma once

#include "load.h"

#include <map>
#include <optional>
#include <vector>

// Chooses the upstream of a group that is expected to complete a request first, where upstreams differ in speed, share
// their machines with others, and report their load; and bounds what goes to upstreams that fail requests. One that
// fails them quickly looks fast and idle, and would otherwise attract the work of its group.
namespace pistachiospur {

// What a coordinator knows of one upstream from the answers to the requests that it gave it.
struct UpstreamStats {
    double runMs = 0; // mean run time of served requests; 0 while unknown
    // Mean run time of served requests at the usual speed of the upstream's machine, as a multiple of the group's for
    // requests of the same kind; 0 while unknown.
    double slowness = 0;
    double failureShare = 0; // of the latest answers, as a moving average
    Millis sentAt { -100000 }; // when it was given its last request
    std::optional<UpstreamLoad> load {}; // the latest report
    Millis reportedAt {};
    double foreignRequests = 0; // running and waiting there when it reported, of other hosts
};

// Mean run times of a group's upstreams at the usual speed of their machines.
struct GroupTimes {
    double meanMs = 0; // of all requests; 0 while unknown
    std::map<RankOrder, double> kindMs; // by rank
};

// An upstream of a group, as a target of one request.
struct UpstreamCandidate {
    const UpstreamStats* stats = nullptr;
    unsigned running = 0; // requests of this coordinator
    unsigned slots = 1; // requests that it can run concurrently
    bool isFree = true; // has a free slot, and wants requests
    bool isNear = false; // in the data centre from which the request is sent
    bool isAvoided = false; // it did not run a request lately
};

// Takes note of a report. `ownRequests` is how many requests of this coordinator the upstream had when it reported.
void noteLoad(UpstreamStats&, const UpstreamLoad&, unsigned ownRequests, Millis now);
void noteSent(UpstreamStats&, Millis now);
// A request was served: answered, and not by an error of the upstream. `factorAtStart` is workFactorNow() of its start.
void noteServed(UpstreamStats&, GroupTimes&, RankOrder, Millis took, double factorAtStart, Millis now);
// The upstream failed a request: it answered with an error of its own, or not validly. How long that took says nothing
// of its speed.
void noteFailed(UpstreamStats&);

// How long work takes on the upstream's machine now, as a multiple of the usual time. A report loses its weight with
// its age, since the factor changes several times a second.
double workFactorNow(const UpstreamStats&, Millis now);
// The time in which a further request is expected to complete, in ms, by the latest report.
double expectedCompletionMs(const UpstreamStats&, const GroupTimes&, unsigned running, unsigned slots, Millis now);
// Whether the upstream fails so many requests that it gets only what it can be expected to serve.
bool isFailing(const UpstreamStats&);
// Requests that a group can run concurrently. Failing upstreams count as far as they can be expected to serve, unless
// all are failing.
unsigned usableSlots(const std::vector<UpstreamCandidate>&);

// The index of the free candidate that is expected to complete the request first; nothing if none may get it now.
// Failing ones come last and at a bounded rate, unless all are. Any free one that is passed over is tried again after a
// while, since nothing else tells that it is well.
std::optional<std::size_t> chooseUpstream(
    const std::vector<UpstreamCandidate>&, const GroupTimes&, bool hasLargeBody, Millis now);

} // namespace pistachiospur
