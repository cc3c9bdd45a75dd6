#pragma once

#include "context.h"
#include "ownership/renewer.h"
#include "requests/idempotency.h"
#include "requests/queue.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

// This host's part in coordinating upstreams. For each upstream that lists this host as a renewer, and while this host
// is the coordinator, it renews the grant, queues requests, deduplicates non-idempotent ones, and sends them.
namespace pistachiospur {

class Coordinators {
public:
    using ReplyCallback = std::function<void(Reply)>;
    using JobId = std::uint64_t;

    explicit Coordinators(HostContext&);

    // Starts and stops coordinating as the stored records and the membership require. Called when either has changed.
    void refresh();
    // Called at intervals: sends due renewals, reports and probes, and drops requests that will miss their deadlines.
    void tick();
    // Accepts or refuses a request for an upstream. The callback runs once, possibly before the call returns. Returns
    // the job's id, for `cancel`, or 0 if the request was refused.
    JobId submit(const UpstreamName&, Request, ReplyCallback);
    void cancel(JobId);

    // Promises not to renew under the fence or a lower one.
    RenewalStopped stopRenewing(const StopRenewing&);
    ReleaseReport reportRelease(const UpstreamName&);

    std::size_t jobCount() const { return m_upstreamOf.size(); }
    // True while the upstream accepts this host's term.
    bool coordinates(const UpstreamName&) const;
    void publishMetrics();

private:
    struct Job {
        Request request;
        ReplyCallback callback;
        bool running = false;
        bool inIdempotencyCache = false; // its outcome must be recorded there
        Millis startedAt {};
        HttpClient::CallId call = 0;
    };

    // The state for one upstream. It exists also while another host coordinates the upstream.
    struct Coordinator {
        Upstream upstream;
        ServiceName service;
        Renewer renewer;
        Fence promisedFence; // this host promised not to renew under this fence or a lower one
        UpstreamQueue queue;
        QueuePolicy policy;
        IdempotencyCache idempotency;
        Millis establishedAt {}; // wall clock: when the upstream accepted this host's term
        // Each slot's epoch, and the wall-clock time when this host first saw it. The time is zero in a slot's first
        // epoch, since the slot had no owner before.
        std::map<SlotId, std::pair<Epoch, Millis>> ownedSince;
        std::unordered_map<JobId, Job> jobs;
        bool reportedLost = false;
        Millis nextReportAt {};
        unsigned reportsSent = 0; // under reportedFence
        Fence reportedFence; // the record's fence at the last report
        bool probing = false; // the record says lost; this host checks whether the upstream answers again
        Millis nextProbeAt {};
    };

    // True if this host is the first renewer in the record that is able to coordinate.
    bool isPreferred(const UpstreamRecord&) const;
    void refreshCoordinator(const Placement&, const Upstream&, const UpstreamRecord&);
    void updateSlots(Coordinator&, Millis now);
    void refuseQueued(Coordinator&, RefusalReason);
    void renewIfDue(Coordinator&, Millis now);
    void onRenewalOutcome(const UpstreamName&, const Renewal&, const HttpOutcome&);
    void onEstablished(Coordinator&);
    void reportIfLost(Coordinator&, Millis now);
    void sendReport(Coordinator&, bool lost);
    void probeIfDue(Coordinator&, Millis now);
    void refuseRunningAtLost(Coordinator&, Millis now);
    Coordinator& findOrCreate(const UpstreamName&);

    std::optional<Reply> checkIdempotency(Coordinator&, const Request&);
    Millis soleCoordinatorSince(const Coordinator&, SlotId) const;
    bool isServing(const Coordinator&, Millis now) const;
    void startQueued(Coordinator&);
    void start(Coordinator&, JobId);
    void onOutcome(const UpstreamName&, JobId, HttpOutcome);
    void finish(Coordinator&, JobId, Reply);
    Coordinator* find(const UpstreamName&);

    HostContext& m_context;
    std::map<UpstreamName, std::unique_ptr<Coordinator>> m_byUpstream;
    std::unordered_map<JobId, UpstreamName> m_upstreamOf;
    JobId m_nextJob = 1;
};

// The host that plans for a service, by this host's membership list: the first in rendezvous order, or a later one if
// `skipped` planners did not act on reports.
HostName plannerOf(const HostContext&, const ServiceName&, unsigned skipped = 0);

} // namespace pistachiospur
