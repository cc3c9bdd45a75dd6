#pragma once

#include "dispatch.h"
#include "requests/budget.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

// A request's whole way on the host that its caller reached: admitted, routed, handed to the host that coordinates its
// upstream, tried again where that is allowed, answered.
namespace pistachiospur {

class Door {
public:
    Door(Site&, Dispatcher&);

    void onCaller(HttpRequest, const Responder&);
    void onRelayReply(const HostName& from, RelayReply);
    void onLinkLost(const LostLink&);
    // Requests that wait for their range look again.
    void refresh();

    std::size_t pendingCount() const { return m_pending.size(); }
    // Slots asked for since the last call, by service.
    std::map<ServiceName, std::map<std::uint32_t, std::uint32_t>> takeCounts();

private:
    using RequestId = std::uint64_t;
    enum class State { waitingForRange, pausing, handedOver };

    struct Pending {
        Request request;
        std::string route;
        unsigned maxAttempts = 1;
        Responder responder;
        Millis receivedAt {};
        State state = State::pausing;
        unsigned attempt = 0; // number of the hand-over, to tell late replies
        unsigned runs = 0; // tries that may have run
        unsigned tries = 0;
        HostName host; // handed over to
        LinkId link = 0;
        Dispatcher::JobId job = 0;
        std::unique_ptr<Timer> deadline;
        std::unique_ptr<Timer> pause;
    };

    std::variant<std::unique_ptr<Pending>, Refusal> admit(HttpRequest&&, const CallerFacts&, const Responder&);
    bool isKeyed(const ServiceName&) const;
    void attempt(RequestId);
    void handOver(RequestId, const UpstreamName&, const DataCentreName& near);
    UpstreamName drawGroup(const Request&);
    void waitForRange(RequestId, Millis readyIn);
    void onReply(RequestId, unsigned attempt, Reply);
    bool tryAgain(Pending&, const Refusal&);
    void pauseFor(RequestId, Millis);
    void onDeadline(RequestId);
    void onGone(RequestId);
    void complete(RequestId, Reply);
    void respond(const Responder&, HttpResponse);
    RepeatPolicy repeatPolicy() const;

    Site& m_site;
    Dispatcher& m_dispatcher;
    std::unordered_map<RequestId, std::unique_ptr<Pending>> m_pending;
    std::map<ServiceName, RepeatBudget> m_budgets;
    std::map<ServiceName, std::map<std::uint32_t, std::uint32_t>> m_counts;
    SplitState m_split;
    std::mt19937_64 m_random;
    RequestId m_nextId = 1;
};

} // namespace pistachiospur
