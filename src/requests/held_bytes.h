#pragma once

#include "pistachiospur/request.h"

// Bounds the memory that requests take at one upstream at once. An upstream that reads slowly, or runs many requests
// with large bodies, would end when they exceed its memory, and with it everything that it runs.
namespace pistachiospur {

// The requests that an upstream holds.
struct HeldRequests {
    unsigned count = 0;
    std::uint64_t bytes = 0; // of heads and whole bodies, the parts that are still to come included
};

// What a request takes at its upstream. `bodyBytes` is the size of the whole body.
std::uint64_t bytesOf(const Request&, std::uint64_t bodyBytes);
// Whether an upstream may get a request of so many bytes now. One that holds nothing may get any, because no bound may
// keep a request from ever running.
bool mayHold(const HeldRequests&, std::uint64_t bytes, std::uint64_t maxBytes);

} // namespace pistachiospur
