#pragma once

#include "pistachiospur/request.h"

#include <deque>
#include <string>
#include <unordered_map>

// A coordinator's idempotency cache: the outcomes of requests that must not run twice.
namespace pistachiospur {

struct IdempotencyPolicy {
    Millis window; // how long an outcome is kept
    Millis clockSkew; // maximum difference between callers' and hosts' wall clocks
    std::size_t entries; // maximum number of keys
};

struct CachedRequest {
    std::uint64_t fingerprint = 0; // of the request that used the key first
    bool done = false;
    Reply reply; // valid if done
    Millis startedAt {}; // wall-clock time
};

struct IdempotencyCache {
    std::unordered_map<std::string, CachedRequest> requests;
    std::deque<std::pair<Millis, std::string>> order; // start time and key of each entry, oldest first
    Millis completeSince {}; // wall-clock time since which the cache has every run on this host
};

enum class IdempotencyVerdict {
    run, // the request may start
    replay, // the request ran before: send the recorded reply
    inProgress, // the same request is running
    reused, // the key belongs to another request
    cacheTooYoung, // the cache does not cover the key's time, so the request may have run before
};

struct IdempotencyDecision {
    IdempotencyVerdict verdict = IdempotencyVerdict::run;
    Reply reply; // valid with replay
};

// Decides whether a request may start, and if so records that it has started. `since` is the wall-clock time since
// which only this host has run requests of the request's slot.
IdempotencyDecision beginRequest(IdempotencyCache&, const IdempotencyPolicy&, const IdempotencyKey&,
    std::uint64_t fingerprint, Millis since, Millis now);
// Records the outcome of a request that was started. A refusal that proves that the request did not run removes the
// entry, so that a resend may run.
void recordOutcome(IdempotencyCache&, const std::string& key, const Reply&);
// Evicts entries that are older than the window or exceed the maximum number. Requests that are running and still in
// the window stay.
void expire(IdempotencyCache&, const IdempotencyPolicy&, Millis now);

// Parses an Idempotency-Key header. The key's time is taken from the key itself if it is a UUIDv7, otherwise from
// `sentAt`, in milliseconds since 1970 (RFC 3339 is not accepted). Returns nothing if neither provides a time.
std::optional<IdempotencyKey> parseIdempotencyKey(const std::string& header, const std::string& sentAt);

} // namespace pistachiospur
