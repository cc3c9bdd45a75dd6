#pragma once

#include "pistachiospur/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// A caller's request as it passes through the router, and its possible replies.
namespace pistachiospur {

// Identifies one intended effect of a caller. A resent request carries the same text and time.
struct IdempotencyKey {
    std::string text;
    Millis sentAt {}; // wall-clock time at which the caller first sent the request

    friend bool operator==(const IdempotencyKey& a, const IdempotencyKey& b)
    {
        return a.text == b.text && a.sentAt == b.sentAt;
    }
};

struct Request {
    std::string id; // the caller's id of this request, for logs only; may be empty
    ServiceName service;
    std::string key;
    SlotId slot;
    StoreRevision tableRevision; // of the range table that determined the owner; zero if no range table was used
    RankName rank;
    RankOrder order = 0;
    bool idempotent = false;
    std::optional<IdempotencyKey> idempotencyKey;
    Millis deadline {}; // on the local monotonic clock
    Millis targetLatency {}; // an answer within this time has its full value to the caller; zero if no route sets one
    std::string method;
    std::string target; // path and query to send to the upstream
    std::map<std::string, std::string> headers; // to send to the upstream, by lower-case name
    std::string body;
    std::uint64_t fingerprint = 0; // the same for each copy that the caller sends; 0 if unknown
};

// Why the router refuses a request instead of returning an upstream's answer.
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
    upstreamNotOwner,
    upstreamBroken,
    upstreamTimeout,
    upstreamLost,
    quarantined,
    idempotencyCacheTooYoung,
    inProgress,
    stopping,
    hostUnreachable,
    hostLost,
    upstreamReplaced,
    memoryFull,
    unreadableRoute,
    upstreamPaused,
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

// A complete answer of an upstream.
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

// Fixed properties of a refusal reason.
struct RefusalFacts {
    const char* name; // used in problem documents and metrics
    int status; // HTTP status code
    const char* title;
    bool transient; // a retry shortly afterwards, or on another upstream or host, may succeed
};

const RefusalFacts& factsOf(RefusalReason);
// A refusal of a request that was certainly not executed.
Refusal notRun(RefusalReason, Millis retryAfter = Millis(0));
// A refusal of a request that may have been executed.
Refusal maybeRun(RefusalReason);

} // namespace pistachiospur
