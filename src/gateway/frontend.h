#pragma once

#include "dispatch.h"
#include "requests/budget.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

// Handles each request that a caller sends to this host, from receipt to answer: it matches the request to a route and
// service, forwards it to the host that coordinates the upstream, retries where that is allowed, and answers the
// caller.
namespace pistachiospur {

class GatewayFrontend {
public:
    GatewayFrontend(GatewayContext&, Dispatcher&);

    void onCaller(HttpRequest, const Responder&);
    void onRelayReply(const HostName& from, RelayReply);
    void onLinkLost(const LostLink&);
    // Starts a new attempt for each request that waits for its range. Called after a change of upstreams or ranges.
    void refresh();

    std::size_t pendingCount() const { return m_pending.size(); }
    // Number of requests by service and slot since the last call.
    std::map<ServiceName, std::map<std::uint32_t, std::uint32_t>> takeSlotCounts();

private:
    using RequestId = std::uint64_t;
    enum class State {
        waitingForRange, // the owner does not have the request's range yet
        delayed, // until the next attempt
        forwarded, // to the coordinator or to this host's dispatcher
    };

    struct PendingRequest {
        Request request;
        std::string route;
        unsigned maxAttempts = 1; // sends to upstreams that the route allows
        Responder responder;
        Millis receivedAt {};
        State state = State::delayed;
        unsigned attempt = 0; // number of the current attempt; replies to earlier ones are ignored
        unsigned possibleRuns = 0; // attempts that may have run the request
        unsigned refusedAttempts = 0;
        HostName coordinator; // that the request is forwarded to
        LinkId link = 0; // that the request was sent on; 0 if on none
        Dispatcher::JobId job = 0; // of this host's dispatcher; 0 if none
        std::unique_ptr<Timer> deadlineTimer;
        std::unique_ptr<Timer> delayTimer; // starts the next attempt
    };

    std::variant<std::unique_ptr<PendingRequest>, Refusal> admit(
        HttpRequest&&, const CallerMetadata&, const Responder&);
    bool isKeyed(const ServiceName&) const;
    void startAttempt(RequestId);
    void forward(RequestId, const UpstreamName&, const DataCentreName& preferredDataCentre);
    UpstreamName chooseGroup(const Request&);
    void waitForRange(RequestId, Millis readyIn);
    void onReply(RequestId, unsigned attempt, Reply);
    bool approveRetry(PendingRequest&, const Refusal&);
    void scheduleAttempt(RequestId, Millis delay);
    void onDeadline(RequestId);
    void onCallerGone(RequestId);
    void complete(RequestId, Reply);
    void respond(const Responder&, HttpResponse);
    RetryWindowPolicy retryWindowPolicy() const;

    GatewayContext& m_context;
    Dispatcher& m_dispatcher;
    std::unordered_map<RequestId, std::unique_ptr<PendingRequest>> m_pending;
    std::map<ServiceName, RetryWindowBudget> m_retryWindowBudgets;
    std::map<ServiceName, std::map<std::uint32_t, std::uint32_t>> m_slotCounts; // requests, by service and slot
    SplitState m_splitState;
    std::mt19937_64 m_random;
    RequestId m_nextId = 1;
};

} // namespace pistachiospur
