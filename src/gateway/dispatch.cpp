#include "dispatch.h"

#include "observe/events.h"

#include <algorithm>

namespace pistachiospur {

namespace {

// Share of an upstream's starts that each rank keeps when others flood it.
constexpr double kRankShare = 0.1;
// A late answer still earns its caller something, so only what is expected to miss its deadline is refused.
constexpr double kRunMargin = 1.5;
// An upstream that refused a connection or shed a request gets no other for so long while there are others.
constexpr Millis kAvoidance { 300 };
// Weight of the newest sample in an upstream's mean run time.
constexpr double kRunWeight = 0.15;
// Taken for the run time of an upstream that has not run anything yet.
constexpr double kFirstRunMs = 150;
// What the caller is told when no upstream can take a request now.
constexpr Millis kRetryAfterRefusal { 250 };

const char* describeReply(const Reply& reply)
{
    const auto* refusal = std::get_if<Refusal>(&reply);
    return refusal ? factsOf(refusal->reason).name : "answered";
}

} // namespace

Dispatcher::Dispatcher(Site& site)
    : m_site(site)
{
}

std::string Dispatcher::nameOf(const Pool& pool) { return pool.service + "/" + pool.only; }

Dispatcher::Pool& Dispatcher::poolOf(const ServiceName& service, const UpstreamName& only)
{
    const auto [it, added] = m_pools.try_emplace(service + "/" + only);
    if (added) {
        it->second.service = service;
        it->second.only = only;
        refreshPolicy(it->second);
    }
    return it->second;
}

// The upstreams of a pool that may take work now.
std::vector<const LifeEntry*> Dispatcher::usableMembers(const Pool& pool, Millis now) const
{
    const auto groups = m_site.groups.find(pool.service);
    const auto* group = groups == m_site.groups.end() ? nullptr : findGroup(groups->second, pool.only);
    const std::vector<UpstreamName> names = group ? *group : std::vector { pool.only };
    std::vector<const LifeEntry*> members;
    for (const auto& name : names) {
        const auto it = m_site.directory.lives().find(name);
        if (it != m_site.directory.lives().end() && it->second.life.service == pool.service
            && mayTakeWork(it->second, now))
            members.push_back(&it->second);
    }
    return members;
}

// The slots of a pool are those of the upstreams that may take work now.
void Dispatcher::refreshSlots(Pool& pool)
{
    pool.policy.slots = 0;
    for (const auto* it : usableMembers(pool, monotonicNow()))
        pool.policy.slots += it->life.slots;
}

void Dispatcher::refreshPolicy(Pool& pool)
{
    refreshSlots(pool);
    pool.policy.perRank = static_cast<std::size_t>(m_site.settings.limits.queuePerRank);
    pool.policy.runMargin = kRunMargin;
    pool.policy.triesWhenIdle = true;
    pool.policy.shares.clear();
    if (const auto& routes = m_site.directory.routes()) {
        for (const auto& [host, list] : routes->hosts) {
            for (const auto& it : list)
                pool.policy.shares[it.order] = kRankShare;
        }
    }
}

Dispatcher::JobId Dispatcher::handle(const UpstreamName& only, Request request, Callback callback)
{
    Pool& pool = poolOf(request.service, only);
    refreshSlots(pool);
    if (pool.policy.slots == 0) {
        callback(notRun(RefusalReason::noOwner, kRetryAfterRefusal));
        return 0;
    }
    if (!mayServe(m_site, request, only, monotonicNow())) {
        callback(notRun(RefusalReason::notCoordinator));
        return 0;
    }
    const JobId id = m_nextJob++;
    const WaitingRequest waiting { id, request.order, request.deadline };
    m_poolOf[id] = nameOf(pool);
    Job& job = pool.jobs[id];
    job.request = std::move(request);
    job.callback = std::move(callback);
    if (const auto reason = enqueue(pool.queue, pool.policy, waiting, monotonicNow())) {
        finish(pool, id, notRun(*reason, kRetryAfterRefusal));
        return 0;
    }
    pump(pool);
    return m_poolOf.count(id) ? id : 0;
}

// The fastest upstream with a free slot; one of the own data centre among equals.
const LifeEntry* Dispatcher::chooseMember(Pool& pool, Millis now)
{
    const LifeEntry* best = nullptr;
    double least = 0;
    for (const auto* it : usableMembers(pool, now)) {
        const LifeEntry& entry = *it;
        const Member& member = pool.members[entry.life.id];
        if (member.running >= entry.life.slots)
            continue;
        double cost = (member.runMs > 0 ? member.runMs : kFirstRunMs) * (1 + 0.3 * member.running);
        if (entry.life.dataCentre != m_site.settings.dataCentre)
            cost *= 1.1;
        if (now < member.avoidUntil)
            cost += 10000;
        if (!best || cost < least) {
            best = &entry;
            least = cost;
        }
    }
    return best;
}

void Dispatcher::pump(Pool& pool)
{
    for (;;) {
        const Millis now = monotonicNow();
        const LifeEntry* member = chooseMember(pool, now);
        if (!member)
            return;
        const auto next = startNext(pool.queue, pool.policy, now);
        if (!next)
            return;
        start(pool, next->id, *member);
    }
}

void Dispatcher::start(Pool& pool, JobId id, const LifeEntry& entry)
{
    Job& job = pool.jobs.at(id);
    job.running = true;
    job.startedAt = monotonicNow();
    job.life = entry.life.id;
    ++pool.members[job.life].running;
    const Millis left = std::max(Millis(1), job.request.deadline - job.startedAt);
    job.call = m_site.http.start(m_site.dialect.requestCall(entry.life, job.request, left),
        [this, pool = nameOf(pool), id](HttpOutcome outcome) { onOutcome(pool, id, std::move(outcome)); });
}

void Dispatcher::onOutcome(const std::string& poolName, JobId id, HttpOutcome outcome)
{
    Pool& pool = m_pools.at(poolName);
    const Job& job = pool.jobs.at(id);
    const Millis now = monotonicNow();
    Reply reply = m_site.dialect.interpretAnswer(std::move(outcome), job.request, job.life.name);
    Member& member = pool.members[job.life];
    if (const auto* refusal = std::get_if<Refusal>(&reply)) {
        if (refusal->ran == Ran::no)
            member.avoidUntil = now + kAvoidance;
        logEvent(EventKind::request, "upstream_failed",
            { { "request", job.request.id }, { "upstream", job.life.name }, { "outcome", describeReply(reply) },
                { "ran", refusal->ran == Ran::no ? "no" : "unknown" }, { "ms", (now - job.startedAt).count() },
                { "slot", job.request.slot.value } });
    } else {
        const double ms = static_cast<double>((now - job.startedAt).count());
        member.runMs = member.runMs == 0 ? ms : member.runMs + kRunWeight * (ms - member.runMs);
    }
    const auto* refusal = std::get_if<Refusal>(&reply);
    const bool replaced = refusal && refusal->reason == RefusalReason::upstreamReplaced;
    const LifeId life = job.life;
    finish(pool, id, std::move(reply));
    if (replaced)
        m_site.directory.learnEnded(life);
    pump(pool);
}

void Dispatcher::finish(Pool& pool, JobId id, Reply reply)
{
    auto node = pool.jobs.extract(id);
    m_poolOf.erase(id);
    if (node.empty())
        return;
    Job& job = node.mapped();
    if (job.running) {
        --pool.members[job.life].running;
        const bool answered = std::holds_alternative<Answer>(reply);
        finishRun(
            pool.queue, job.request.order, answered ? std::optional(monotonicNow() - job.startedAt) : std::nullopt);
    }
    job.callback(std::move(reply));
}

void Dispatcher::cancel(JobId id)
{
    const auto found = m_poolOf.find(id);
    if (found == m_poolOf.end())
        return;
    Pool& pool = m_pools.at(found->second);
    const Job& job = pool.jobs.at(id);
    if (job.running && !job.request.idempotent)
        return;
    const bool ran = job.running;
    if (ran)
        m_site.http.cancel(job.call);
    else
        removeWaiting(pool.queue, id);
    finish(pool, id, ran ? maybeRun(RefusalReason::deadlinePassed) : notRun(RefusalReason::deadlinePassed));
    pump(pool);
}

void Dispatcher::tick()
{
    const Millis now = monotonicNow();
    for (auto& [name, pool] : m_pools) {
        for (const auto& it : dropLate(pool.queue, pool.policy, now))
            finish(pool, it.id, notRun(RefusalReason::queueFull, kRetryAfterRefusal));
        pump(pool);
    }
}

// What waits for an upstream that takes no more work, or for a slot that it is about to lose, goes back to its entry
// host, which looks for the new owner.
void Dispatcher::giveBackMoved(Pool& pool)
{
    const Millis now = monotonicNow();
    std::vector<JobId> moved;
    for (const auto& [id, job] : pool.jobs) {
        if (!job.running && !mayServe(m_site, job.request, pool.only, now))
            moved.push_back(id);
    }
    for (const auto id : moved) {
        removeWaiting(pool.queue, id);
        finish(pool, id, notRun(RefusalReason::notCoordinator));
    }
}

void Dispatcher::refresh()
{
    for (auto& [name, pool] : m_pools) {
        refreshPolicy(pool);
        if (pool.policy.slots == 0) {
            for (const auto& it : drainWaiting(pool.queue))
                finish(pool, it.id, notRun(RefusalReason::notCoordinator));
        }
        giveBackMoved(pool);
        pump(pool);
    }
}

std::vector<LoadReport::Run> Dispatcher::runTimes(const ServiceName& service) const
{
    std::vector<LoadReport::Run> runs;
    for (const auto& [name, pool] : m_pools) {
        if (pool.service != service)
            continue;
        for (const auto& [life, member] : pool.members) {
            if (member.runMs > 0)
                runs.push_back({ life, member.runMs });
        }
    }
    return runs;
}

void Dispatcher::publishMetrics()
{
    for (const auto& [name, pool] : m_pools) {
        m_site.metrics.set(
            "pistachiospur_upstream_waiting", { { "upstream", name } }, static_cast<double>(waitingCount(pool.queue)));
        m_site.metrics.set(
            "pistachiospur_upstream_running", { { "upstream", name } }, static_cast<double>(pool.queue.running));
    }
}

} // namespace pistachiospur
