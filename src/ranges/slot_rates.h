#pragma once

#include "pistachiospur/types.h"

#include <cstdint>
#include <map>

// Rates of requests by slot, over two windows. Planning on the short one alone would chase the noise of its few counts
// and loads that are gone within a second or two; the long one alone would move slots whose load has just ended.
namespace pistachiospur {

// Requests per second by slot, from recent counts of the hosts that received the requests. Slots without requests are
// not listed.
using SlotLoads = std::map<std::uint32_t, double>;

struct SlotRates {
    SlotLoads recentCounts; // decayed; of about 1.5 s
    SlotLoads lastingCounts; // decayed; of about 4 s
    unsigned intervals = 0; // decay intervals since the first count
    Millis nextDecayAt {};
};

void countRequests(SlotRates&, std::uint32_t slot, double n);
// Lets the counts decay; called at any interval.
void decay(SlotRates&, Millis now);
SlotLoads recentLoads(const SlotRates&);
// Averages over the time since the first count while that is shorter than the window.
SlotLoads lastingLoads(const SlotRates&);
// The time over which the lasting loads are averaged, in seconds.
double lastingWindow(const SlotRates&);
// What a load measured over `window` seconds is at least, allowing for the chance of arrivals.
double leastLoad(double load, double window);

} // namespace pistachiospur
