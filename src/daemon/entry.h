#pragma once

#include "coordinator.h"
#include "node.h"
#include "requests/admit.h"
#include "requests/retry.h"

#include <chrono>
#include <memory>
#include <unordered_map>

// A request's whole way on the host that the caller reached, as a pipe of filters:
// admit -> quarantine -> rank budget -> find the owner -> relay to its coordinator -> retry or answer.
namespace pistachiospur {

class Entry {
public:
    Entry(Node&, Coordinators&);

    void onCaller(HttpRequest, const Responder&);
    void onRelayReply(const HostName& from, RelayReply);
    // Settles what was sent on a link that is lost.
    void onLinkLost(const LostLink&);
    std::size_t pendingCount() const { return m_pending.size(); }

private:
    using RequestId = std::uint64_t;

    struct Pending {
        Request request;
        Responder responder;
        RetryState retry;
        std::chrono::steady_clock::time_point startedAt;
        HostName host; // that the request is with; empty between tries
        LinkId link = 0; // 0 when this host coordinates
        Coordinators::JobId job = 0;
        unsigned attempt = 0;
        bool handedOver = false; // the present try may have been executed
        std::unique_ptr<Timer> deadline;
        std::unique_ptr<Timer> pause;
    };

    void refuse(const Request&, const Responder&, const Refusal&);
    void attempt(RequestId);
    void handLocal(RequestId, const UpstreamName&);
    void handRemote(RequestId, const UpstreamName&, const HostName&);
    void onReply(RequestId, unsigned attempt, Reply);
    void onDeadline(RequestId);
    void complete(RequestId, Reply);
    void account(const Request&, const Reply&, double seconds);

    Node& m_node;
    Coordinators& m_coordinators;
    std::unordered_map<RequestId, std::unique_ptr<Pending>> m_pending;
    RequestId m_nextId = 1;
    RankBudgets m_budgets;
    RetryBudget m_retryBudget;
};

// The HTTP answer for a refusal: a problem document as in RFC 9457, with "ran".
HttpResponse problemResponse(const Refusal&);

} // namespace pistachiospur
