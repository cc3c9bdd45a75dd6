#include "pistachiospur/request.h"

#include <array>

namespace pistachiospur {

namespace {

constexpr std::size_t kReasons = static_cast<std::size_t>(RefusalReason::count);

// Indexed by RefusalReason.
constexpr std::array<RefusalFacts, kReasons> kFacts = { {
    { "malformed", 400, "The request is malformed", false },
    { "unknown-service", 404, "No such service", false },
    { "no-route", 404, "The service has no route for the method and path", false },
    { "too-large", 413, "The body is too large", false },
    { "idempotency-key-needed", 400, "The route needs an Idempotency-Key with its time of first sending", false },
    { "idempotency-key-reused", 422, "The Idempotency-Key belongs to another request", false },
    { "deadline-passed", 504, "The deadline would pass before an answer", false },
    { "rank-over-budget", 503, "The rank has more work than its budget allows", false },
    { "queue-full", 503, "Too many requests of the rank wait for the upstream", false },
    { "no-owner", 503, "The key has no owner at present", true },
    { "not-coordinator", 503, "The host does not coordinate the owner", true },
    { "upstream-unreachable", 502, "The upstream accepts no connection", true },
    { "upstream-shed", 503, "The upstream sheds load", false },
    { "upstream-disowned", 503, "The upstream no longer owns the key", true },
    { "upstream-broken", 502, "The connection to the upstream broke while the request ran", false },
    { "upstream-timeout", 504, "The upstream did not answer in time", false },
    { "upstream-lost", 502, "The upstream was lost while the request ran", false },
    { "quarantined", 422, "The request broke the upstreams that ran it", false },
    { "memory-too-young", 409, "The router cannot tell whether this request ran before", false },
    { "in-progress", 409, "The same request is running", false },
    { "stopping", 503, "The host is stopping", true },
    { "host-unreachable", 502, "The coordinating host accepts no connection", true },
    { "host-lost", 502, "The connection to the coordinating host broke", false },
    { "upstream-replaced", 503, "Another upstream has the address now", true },
    { "memory-full", 503, "The bodies in transit use all the memory that they may", true },
    { "unreadable-route", 503, "This version cannot read the route's configuration", false },
    { "upstream-paused", 503, "The upstream wants no requests for a while", false },
} };

} // namespace

const RefusalFacts& factsOf(RefusalReason reason) { return kFacts[static_cast<std::size_t>(reason)]; }

Refusal notRun(RefusalReason reason, Millis retryAfter) { return { reason, Ran::no, retryAfter }; }

Refusal maybeRun(RefusalReason reason) { return { reason, Ran::unknown, Millis(0) }; }

} // namespace pistachiospur
