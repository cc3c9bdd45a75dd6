#pragma once

#include "context.h"
#include "requests/completion.h"
#include "requests/held_bytes.h"
#include "requests/pace.h"
#include "requests/places.h"
#include "requests/queue.h"
#include "requests/slot_share.h"

#include <functional>
#include <map>
#include <unordered_map>

// Sends requests to the upstreams that this host coordinates. Each upstream of a keyed service and each group of a
// pooled service has one queue, from which the most urgent request takes the next free slot of an upstream.
namespace pistachiospur {

// The part of a request's body that is still arriving.
struct FlowingBody {
    std::shared_ptr<BodyPipe> pipe; // null if the request has its whole body
    std::optional<std::uint64_t> totalBytes; // of the whole body; nothing if the caller did not declare it
};

// Where a request's body and answer pass.
struct RequestOrigin {
    DataCentreName dataCentre; // of the host that sends the request to the upstream
    bool hasLargeBody = false;
    HostName sender {}; // the host that sends the request to the upstream
    Millis sentAt {}; // by the caller, as far as its first host can tell; monotonic clock
    Millis callerDeadline {}; // when the caller gives up; zero if unknown
    bool mayComeBack = false; // a refusal goes to the caller
    std::uint64_t bytes = 0; // that the request takes at its upstream
};

using SendCallback = std::function<void(Reply, const RateNotice&)>;
// Sends a request to an upstream and interprets its answer. The callback runs later, exactly once, unless the call is
// cancelled first.
HttpClient::CallId sendRequest(
    GatewayContext&, const UpstreamInstance&, const Request&, const FlowingBody&, SendCallback);

class Dispatcher {
public:
    using Callback = std::function<void(Reply)>;
    using TurnCallback = std::function<void(const InstanceId&)>;
    using JobId = std::uint64_t;

    explicit Dispatcher(GatewayContext&);

    // Queues a request for an upstream or for a group of its pooled service, and sends it at most once. The callback
    // runs exactly once, possibly before this function returns; the result is 0 if the request has finished by then.
    JobId submit(const UpstreamName&, Request, Callback, FlowingBody, RequestOrigin);
    // Queues a request that its first host sends itself. `onTurn` runs when the request has a slot of an upstream,
    // which it keeps until endTurn(), or until its deadline. The callback runs instead if the request is refused
    // before.
    JobId submitForTurn(const UpstreamName&, Request, Callback, TurnCallback, RequestOrigin);
    // Frees the slot of a request that had its turn. `pause` is how much longer the upstream wants nothing from the
    // request's sender; `load` what the upstream's answer states of its load.
    void endTurn(JobId, Reply, const RateNotice&, Millis pause, const std::optional<UpstreamLoad>& load);
    // Drops a waiting request. A running request is aborted only if it is idempotent.
    void cancel(JobId);
    // Refuses waiting requests that can no longer meet their deadline, and starts others.
    void tick();
    // Updates all queues after a change of upstreams or of the configuration.
    void refresh();
    // Updates the queues of waiting requests after a change of ranges.
    void refreshRanges();

    // Expected wait of a new request of a rank for an upstream or group; zero if a slot is free.
    Millis expectedWait(const ServiceName&, const UpstreamName&, RankOrder) const;
    // Number of requests that wait or run.
    std::size_t jobCount() const { return m_poolNames.size(); }
    bool hasWaiting() const;
    // Mean run times of a service's upstreams, measured by this host.
    std::vector<LoadReport::Run> meanRunTimes(const ServiceName&) const;
    void publishMetrics();

private:
    struct Job {
        Request request;
        Callback callback;
        FlowingBody rest;
        RequestOrigin origin;
        TurnCallback onTurn; // empty if this host sends the request
        InstanceId instance; // runs the request; set once `running`
        Millis queuedAt {};
        Millis startedAt {};
        double workFactor = 1; // of the upstream's machine at the start
        HttpClient::CallId call = 0;
        bool running = false;
    };
    // What requests have waited in a queue.
    struct QueueTimes {
        Millis served {}, refused {};
        std::uint64_t servedCount = 0, refusedCount = 0;
    };
    // State of one upstream instance of a pool.
    struct Member {
        unsigned running = 0; // requests
        std::uint64_t heldBytes = 0; // of those
        UpstreamStats stats;
        Millis avoidedUntil {}; // monotonic clock: chosen only if no other member has a free slot
    };
    // One upstream of a keyed service or one group of a pooled service, with its queue.
    struct Pool {
        ServiceName service;
        UpstreamName upstreamOrGroup;
        UpstreamQueue queue;
        QueuePolicy policy;
        Places places;
        std::map<RankName, QueueTimes> queueTimes;
        std::unordered_map<JobId, Job> jobs;
        std::map<InstanceId, Member> members;
        SlotArrivals slotArrivals; // of a keyed service
        GroupTimes runTimes;
        std::uint64_t largestBytes = 0; // of the requests that wait, or more
    };

    Pool& findOrCreatePool(const ServiceName&, const UpstreamName&);
    void refreshPolicy(Pool&);
    void refreshSlots(Pool&);
    void refuseMoved(Pool&);
    bool mayWaitForSlot(Pool&, const Request&);
    void refusePaused(Pool&);
    void refuseQuarantined(Pool&);
    Millis pauseLeftFor(const Pool&, const RequestOrigin&, Millis now) const;
    Refusal pausedRefusal(const Pool&, RankOrder, Millis pause) const;
    bool wantsRequest(Pool&, const UpstreamInstance&, const RequestOrigin&, Millis now) const;
    std::vector<UpstreamCandidate> candidatesOf(
        Pool&, const std::vector<const InstanceEntry*>&, const RequestOrigin&, Millis now);
    const InstanceEntry* chooseMember(Pool&, const RequestOrigin&, Millis now);
    std::vector<const InstanceEntry*> availableMembers(const Pool&, Millis now) const;
    bool mayExceedBytes(const Pool&) const;
    bool waitsForBytes(Pool&, JobId, Millis now);
    std::uint64_t maxUpstreamBytes() const;
    void startWaiting(Pool&);
    void endOverdueTurns();
    void sendToUpstream(Pool&, JobId, const InstanceEntry&);
    JobId enqueueJob(const UpstreamName&, Job);
    void onReply(const std::string& poolName, JobId, Reply, const RateNotice&);
    void noteFailure(const Job&, Member&);
    void noteRate(const Job&, const RateNotice&, Millis now);
    bool mayBePaced(Millis now) const;
    void refreshPace(const Pool&, QueuePolicy&, Millis now) const;
    Millis retryAfter(const Pool&, RankOrder) const;
    Millis returnTime(Pool&, const Job&, const WaitingRequest&, Millis now);
    static CallerTrace traceOf(const Job&);
    void finish(Pool&, JobId, Reply);
    void publishPlaces();
    static std::string nameOf(const Pool&);

    GatewayContext& m_context;
    std::map<std::string, Pool> m_pools; // by nameOf()
    std::unordered_map<JobId, std::string> m_poolNames; // of each job's pool
    std::map<InstanceId, Pace> m_paces; // of the upstreams that state a limit
    JobId m_nextJob = 1;
    Millis m_nextTurnCheckAt {};
};

} // namespace pistachiospur
