#pragma once

#include "context.h"
#include "coordinator.h"
#include "requests/admit.h"
#include "requests/retry.h"

#include <chrono>
#include <memory>
#include <unordered_map>

// Handles callers' requests on the host that received them, in these steps:
// admit -> quarantine -> rank budget -> find the slot's owner -> send to its coordinator -> retry or answer.
namespace pistachiospur {

class Frontend {
public:
    Frontend(HostContext&, Coordinators&);

    void onCallerRequest(HttpRequest, const Responder&);
    void onRelayReply(const HostName& from, RelayReply);
    // Refuses or retries the requests whose current attempt was sent on a link that has closed.
    void onLinkLost(const LostLink&);
    std::size_t pendingCount() const { return m_pending.size(); }

private:
    using RequestId = std::uint64_t;

    struct Pending {
        Request request;
        Responder responder;
        RetryState retry;
        std::chrono::steady_clock::time_point startedAt;
        HostName host; // that the current attempt was sent to; empty between attempts
        LinkId link = 0; // that it was sent on; 0 if this host is the coordinator
        Coordinators::JobId job = 0; // if this host is the coordinator
        unsigned attempt = 0;
        bool dispatched = false; // the current attempt may have been executed
        std::unique_ptr<Timer> deadlineTimer;
        std::unique_ptr<Timer> retryTimer;
    };

    void refuse(const Request&, const Responder&, const Refusal&);
    void startAttempt(RequestId);
    void submitLocally(RequestId, const UpstreamName&);
    void relayTo(RequestId, const UpstreamName&, const HostName&);
    void onReply(RequestId, unsigned attempt, Reply);
    void onDeadline(RequestId);
    void complete(RequestId, Reply);
    void recordOutcome(const Request&, const Reply&, double seconds);

    HostContext& m_context;
    Coordinators& m_coordinators;
    std::unordered_map<RequestId, std::unique_ptr<Pending>> m_pending;
    RequestId m_nextId;
    RankBudgets m_budgets;
    RetryBudget m_retryBudget;
};

// The HTTP response to a refused request: an RFC 9457 problem document with the extension member "ran".
HttpResponse problemResponse(const Refusal&);

} // namespace pistachiospur
