#pragma once

#include "pistachiospur/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// A caller's request on its way through the router, and what can come of it.
namespace pistachiospur {

// A caller's name for one intended effect. A resend carries the same text and time.
struct IdempotencyKey {
    std::string text;
    Millis sentAt {}; // wall-clock time of the first sending

    friend bool operator==(const IdempotencyKey& a, const IdempotencyKey& b)
    {
        return a.text == b.text && a.sentAt == b.sentAt;
    }
};

struct Request {
    std::string id; // the caller's name for this attempt, for logs; may be empty
    ServiceName service;
    std::string key;
    SlotId slot;
    StoreRevision tableRevision; // of the table of ranges that named the owner; zero where none did
    RankName rank;
    RankOrder order = 0;
    bool idempotent = false;
    std::optional<IdempotencyKey> idempotencyKey;
    Millis deadline {}; // on the local monotonic clock
    Millis aim {}; // latency within which the answer counts in full; zero where no route names one
    std::string method;
    std::string target; // path and query to send to the upstream
    std::map<std::string, std::string> headers; // to pass on, names in lower case
    std::string body;
    std::uint64_t fingerprint = 0; // of service, key, method, target and body
};

// Everything that can be answered in place of an upstream's answer.
enum class RefusalReason : std::uint8_t {
    malformed,
    unknownService,
    noRoute,
    tooLarge,
    idempotencyKeyNeeded,
    idempotencyKeyReused,
    deadlinePassed,
    rankOverBudget,
    queueFull,
    noOwner,
    notCoordinator,
    upstreamUnreachable,
    upstreamShed,
    upstreamDisowned,
    upstreamBroken,
    upstreamTimeout,
    upstreamLost,
    quarantined,
    memoryTooYoung,
    inProgress,
    stopping,
    hostUnreachable,
    hostLost,
    upstreamReplaced,
    count, // number of reasons
};

struct Refusal {
    RefusalReason reason = RefusalReason::malformed;
    Ran ran = Ran::unknown;
    Millis retryAfter {};

    friend bool operator==(const Refusal& a, const Refusal& b)
    {
        return std::tie(a.reason, a.ran, a.retryAfter) == std::tie(b.reason, b.ran, b.retryAfter);
    }
};

// A whole answer of an upstream.
struct Answer {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend bool operator==(const Answer& a, const Answer& b)
    {
        return std::tie(a.status, a.headers, a.body) == std::tie(b.status, b.headers, b.body);
    }
};

using Reply = std::variant<Answer, Refusal>;

// Facts about a reason that never vary.
struct RefusalFacts {
    const char* name; // as in the problem document and the metrics
    int status; // HTTP
    const char* title;
    bool transient; // asking again a little later, or elsewhere, may succeed
};

const RefusalFacts& factsOf(RefusalReason);
// A refusal of a request that provably never reached an upstream.
Refusal notRun(RefusalReason, Millis retryAfter = Millis(0));
// A refusal of a request that may have been executed.
Refusal maybeRun(RefusalReason);

} // namespace pistachiospur
