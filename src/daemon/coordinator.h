#pragma once

#include "node.h"
#include "ownership/renewer.h"
#include "requests/idempotency.h"
#include "requests/queue.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

// The upstreams that this host may renew: for each one it renews the grant, keeps the queue, remembers what must not
// run twice, and sends requests.
namespace pistachiospur {

class Coordinators {
public:
    using ReplyCallback = std::function<void(Reply)>;
    using JobId = std::uint64_t;

    explicit Coordinators(Node&);

    // Follows the view and the membership.
    void refresh();
    // Sends due renewals, drops late requests.
    void tick();
    // Takes a request for an upstream. The callback runs once, perhaps at once. The id is for cancel.
    JobId handle(const UpstreamName&, Request, ReplyCallback);
    void cancel(JobId);

    RenewalStopped stopRenewing(const StopRenewing&);
    ReleaseReport reportRelease(const UpstreamName&);

    std::size_t jobCount() const { return m_upstreamOf.size(); }
    bool coordinates(const UpstreamName&) const;
    void publishMetrics();

private:
    struct Job {
        Request request;
        ReplyCallback callback;
        bool running = false;
        bool remembered = false; // the memory holds it until it ends
        Millis startedAt {};
        HttpClient::CallId call = 0;
    };

    struct Runner {
        Upstream upstream;
        ServiceName service;
        Renewer renewer;
        Fence promised; // not to renew under this fence or an older one
        UpstreamQueue queue;
        QueuePolicy policy;
        IdempotencyMemory memory;
        Millis establishedAt {}; // wall clock
        std::map<SlotId, std::pair<Epoch, Millis>> since; // slots that had another owner before; wall clock
        std::unordered_map<JobId, Job> jobs;
        bool reportedLost = false;
        Millis reportAt {};
        unsigned reports = 0; // sent since the upstream's standing last changed
        Fence reportedFence;
        bool probing = false; // the record says lost and this host asks whether the upstream is back
        Millis probeAt {};
    };

    bool isPreferred(const UpstreamRecord&) const;
    void refreshRunner(const Placement&, const Upstream&, const UpstreamRecord&);
    void followSlots(Runner&, Millis now);
    void refuseWaiting(Runner&, RefusalReason);
    void renew(Runner&, Millis now);
    void onRenewalOutcome(const UpstreamName&, const Renewal&, const HttpOutcome&);
    void onEstablished(Runner&);
    void report(Runner&, Millis now);
    void sendReport(Runner&, bool lost);
    void probe(Runner&, Millis now);
    void settleLost(Runner&, Millis now);
    Runner& runnerOf(const UpstreamName&);

    std::optional<Reply> remember(Runner&, const Request&);
    Millis memorySince(const Runner&, SlotId) const;
    bool isServing(const Runner&, Millis now) const;
    void pump(Runner&);
    void start(Runner&, JobId);
    void onOutcome(const UpstreamName&, JobId, HttpOutcome);
    void finish(Runner&, JobId, Reply);
    Runner* find(const UpstreamName&);

    Node& m_node;
    std::map<UpstreamName, std::unique_ptr<Runner>> m_runners;
    std::unordered_map<JobId, UpstreamName> m_upstreamOf;
    JobId m_nextJob = 1;
};

// The host that plans for a service, in this host's view: the first in order, or a later one after so many reports came
// to nothing.
HostName plannerOf(const Node&, const ServiceName&, unsigned skipped = 0);

} // namespace pistachiospur
