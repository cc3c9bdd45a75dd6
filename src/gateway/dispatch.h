#pragma once

#include "requests/queue.h"
#include "site.h"

#include <functional>
#include <map>
#include <unordered_map>

// Sends requests to the upstreams that this host coordinates: one queue for each upstream of a keyed service, one for
// each group of a pooled one, so that the most urgent request takes the next free slot.
namespace pistachiospur {

class Dispatcher {
public:
    using Callback = std::function<void(Reply)>;
    using JobId = std::uint64_t;

    explicit Dispatcher(Site&);

    // Takes a request for an upstream, or with an empty name for any upstream of its service. Sends it at most once.
    // The callback runs once, perhaps at once.
    JobId handle(const UpstreamName&, Request, Callback);
    // Drops a waiting request, and a running one if it is idempotent.
    void cancel(JobId);
    void tick();
    // Looks again at what waits: upstreams or ranges have changed.
    void refresh();

    std::size_t jobCount() const { return m_poolOf.size(); }
    // Mean run times of a service's upstreams, as measured here.
    std::vector<LoadReport::Run> runTimes(const ServiceName&) const;
    void publishMetrics();

private:
    struct Job {
        Request request;
        Callback callback;
        LifeId life; // once running
        Millis startedAt {};
        HttpClient::CallId call = 0;
        bool running = false;
    };
    struct Member {
        unsigned running = 0;
        double runMs = 0;
        Millis avoidUntil {};
    };
    struct Pool {
        ServiceName service;
        UpstreamName only; // or a group of the service
        UpstreamQueue queue;
        QueuePolicy policy;
        std::unordered_map<JobId, Job> jobs;
        std::map<LifeId, Member> members;
    };

    Pool& poolOf(const ServiceName&, const UpstreamName&);
    void refreshPolicy(Pool&);
    void refreshSlots(Pool&);
    void giveBackMoved(Pool&);
    const LifeEntry* chooseMember(Pool&, Millis now);
    std::vector<const LifeEntry*> usableMembers(const Pool&, Millis now) const;
    void pump(Pool&);
    void start(Pool&, JobId, const LifeEntry&);
    void onOutcome(const std::string& poolName, JobId, HttpOutcome);
    void finish(Pool&, JobId, Reply);
    static std::string nameOf(const Pool&);

    Site& m_site;
    std::map<std::string, Pool> m_pools;
    std::unordered_map<JobId, std::string> m_poolOf;
    JobId m_nextJob = 1;
};

} // namespace pistachiospur
