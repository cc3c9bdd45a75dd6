#pragma once

#include "dispatch.h"
#include "requests/budget.h"
#include "requests/spread.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

// Handles each request that a caller sends to this host, from receipt to answer: it matches the request to a route and
// service, forwards it to the host that coordinates the upstream, retries where that is allowed, and answers the
// caller.
namespace pistachiospur {

class GatewayFrontend {
public:
    GatewayFrontend(GatewayContext&, Dispatcher&);

    void onCaller(HttpRequest, const Responder&);
    // Refuses a request with a body before the body is read, if its head shows that it cannot be served.
    std::optional<HttpResponse> checkHead(const HttpRequest&, std::optional<std::uint64_t> bodyBytes);
    void onRelayReply(const HostName& from, RelayReply);
    // A request that this host sends to the upstream itself has a slot there.
    void onTurn(const HostName& from, const RelayTurn&);
    void onLinkLost(const LostLink&);
    // Starts a new attempt for each request that waits for its range. Called after a change of upstreams or ranges.
    void refresh();
    // Answers all open requests: the host is about to end.
    void endAll();

    std::size_t pendingCount() const { return m_pending.size(); }
    // Number of requests by service and slot since the last call.
    std::map<ServiceName, std::map<std::uint32_t, std::uint32_t>> takeSlotCounts();

private:
    using RequestId = std::uint64_t;
    enum class State {
        waitingForRange, // the owner does not have the request's range yet
        delayed, // until the next attempt
        forwarded, // to the coordinator or to this host's dispatcher
        waitingForTurn, // the coordinator says when this host may send the request
        sending, // to the upstream, in its turn
    };

    struct PendingRequest {
        explicit PendingRequest(Responder caller)
            : responder(std::move(caller))
        {
        }
        Request request;
        std::string route;
        ConfigVersion configuration; // by which the request was routed
        unsigned maxAttempts = 1; // sends to upstreams that the route allows
        Responder responder;
        Millis receivedAt {};
        Millis callerDeadline {}; // when the caller gives up; the request's deadline may be sooner
        State state = State::delayed;
        unsigned attempt = 0; // number of the current attempt; replies to earlier ones are ignored
        unsigned possibleRuns = 0; // attempts that may have run the request
        unsigned refusedAttempts = 0;
        HostName coordinator; // that the request is forwarded to
        LinkId link = 0; // that the request was sent on; 0 if on none
        std::optional<unsigned> group; // of the pooled service that the current attempt goes to
        std::set<unsigned> refusedGroups;
        std::set<HostName> failedCoordinators; // could not connect to the upstream
        bool mustRelay = false; // this host could not connect to the upstream, so that another one sends the request
        std::shared_ptr<BodyPipe> rest; // of a body that flows; null if the request has its whole body
        std::optional<std::uint64_t> bodyBytes; // size of a body that flows, if the caller declared it
        HttpClient::CallId call = 0; // while sending
        std::shared_ptr<void> bodyCharge;
        Dispatcher::JobId job = 0; // of this host's dispatcher; 0 if none
        std::unique_ptr<Timer> deadlineTimer;
        std::unique_ptr<Timer> delayTimer; // starts the next attempt
    };

    std::variant<std::unique_ptr<PendingRequest>, Refusal> admit(
        HttpRequest&&, const CallerMetadata&, const Responder&);
    HttpResponse refuseAtOnce(const CallerMetadata&, const Refusal&);
    bool isKeyed(const ServiceName&) const;
    std::uint64_t upstreamBytesOf(const PendingRequest&) const;
    void startAttempt(RequestId);
    void forward(RequestId, const UpstreamName&, const DataCentreName& preferredDataCentre);
    unsigned chooseGroupFor(const PendingRequest&);
    void recordGroupLoad(PendingRequest&, const Reply&, Millis wait);
    void endTurn(const HostName& coordinator, std::uint64_t relay, const Reply&, const RateNotice&, Millis pause,
        const std::optional<UpstreamLoad>& load);
    void waitForRange(RequestId, Millis readyIn);
    void onReply(RequestId, unsigned attempt, Reply, Millis wait = Millis(0));
    void noteFailedConnection(PendingRequest&);
    Millis retryDelay(const PendingRequest&, const Refusal&) const;
    bool mayTryAnotherGroup(const PendingRequest&) const;
    bool approveRetry(PendingRequest&, const Refusal&);
    void scheduleAttempt(RequestId, Millis delay);
    void onDeadline(RequestId);
    void abandon(RequestId, RefusalReason ifSent, RefusalReason ifNotSent);
    void onCallerGone(RequestId);
    Reply withoutFalsePromise(const Request&, Reply) const;
    void complete(RequestId, Reply);
    void respond(const Responder&, HttpResponse);
    RetryWindowPolicy retryWindowPolicy() const;

    GatewayContext& m_context;
    Dispatcher& m_dispatcher;
    std::unordered_map<RequestId, std::unique_ptr<PendingRequest>> m_pending;
    std::map<ServiceName, RetryWindowBudget> m_retryWindowBudgets;
    std::map<ServiceName, std::map<std::uint32_t, std::uint32_t>> m_slotCounts; // requests, by service and slot
    std::map<ServiceName, std::vector<GroupLoad>> m_groupLoads; // by group
    SplitState m_splitState;
    std::mt19937_64 m_random;
    RequestId m_nextId;
};

} // namespace pistachiospur
