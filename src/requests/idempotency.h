#pragma once

#include "pistachiospur/request.h"

#include <deque>
#include <string>
#include <unordered_map>

// What a coordinator remembers of requests that must not run twice.
namespace pistachiospur {

struct MemoryPolicy {
    Millis window; // how long an answer is kept
    Millis clockSkew; // largest difference between callers' and hosts' wall clocks
    std::size_t entries; // most keys
};

struct RememberedRequest {
    std::uint64_t fingerprint = 0;
    bool done = false;
    Reply reply; // once done
    Millis at {}; // wall clock, of the first run
};

struct IdempotencyMemory {
    std::unordered_map<std::string, RememberedRequest> requests;
    std::deque<std::pair<Millis, std::string>> order; // oldest first
    Millis completeSince {}; // every run since then is remembered; wall clock
};

enum class MemoryVerdict { run, replay, inProgress, reused, tooYoung };

struct MemoryAnswer {
    MemoryVerdict verdict = MemoryVerdict::run;
    Reply reply; // with replay
};

// Decides whether a request may start, and if so remembers that it did. `since` is the wall-clock time from which this
// host has been the only one to run requests of the request's slot.
MemoryAnswer beginOnce(IdempotencyMemory&, const MemoryPolicy&, const IdempotencyKey&, std::uint64_t fingerprint,
    Millis since, Millis now);
// Records the outcome. A refusal that proves the request did not run forgets it, so that a resend may run.
void endOnce(IdempotencyMemory&, const std::string& key, const Reply&);
// Forgets what the window or the number of entries no longer covers.
void expire(IdempotencyMemory&, const MemoryPolicy&, Millis now);

// Reads an Idempotency-Key header. The time comes from a UUIDv7, or else from `sentAt` (RFC 3339 is not accepted; it is
// milliseconds since 1970). Nothing when neither gives a time.
std::optional<IdempotencyKey> parseIdempotencyKey(const std::string& header, const std::string& sentAt);

} // namespace pistachiospur
