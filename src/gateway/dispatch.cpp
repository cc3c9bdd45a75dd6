#include "dispatch.h"

#include "cold_monitor.h"
#include "notices.h"
#include "observe/events.h"
#include "quarantine_monitor.h"
#include "reach_monitor.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pistachiospur {

namespace {

// Min share of the requests started at an upstream that each rank gets when other ranks overload it.
constexpr double kMinRankShare = 0.1;
// A request is refused if the mean run time of its rank, multiplied by this, exceeds the time left to its deadline.
// Requests that would only miss the latency target are accepted, since a late answer still has some value to the
// caller.
constexpr double kRunMargin = 1.5;
// An upstream that did not run a request, for example because it refused the connection or shed load, is avoided for
// this long while others of its group have free slots.
constexpr Millis kAvoidTime { 300 };
// An upstream that answers with such a status or a higher one has failed the request.
constexpr int kFirstErrorStatus = 500;
// A host reports the end of a turn at the request's deadline at the latest; a lost report is noticed this much later.
constexpr Millis kTurnMargin { 500 };
constexpr Millis kTurnCheckInterval { 500 };
// Retry-After for the caller when no upstream can take the request.
constexpr Millis kRefusalRetryAfter { 250 };

// Whether the upstream failed a request, and not its caller or another host.
bool isUpstreamFailure(const Reply& reply)
{
    if (const auto* answer = std::get_if<Answer>(&reply))
        return answer->status >= kFirstErrorStatus;
    return std::get<Refusal>(reply).reason == RefusalReason::upstreamBroken;
}

bool isSuccess(const Reply& reply)
{
    const auto* answer = std::get_if<Answer>(&reply);
    return answer && answer->status / 100 == 2;
}

const char* outcomeName(const Reply& reply)
{
    const auto* refusal = std::get_if<Refusal>(&reply);
    return refusal ? factsOf(refusal->reason).name : "answered";
}

} // namespace

HttpClient::CallId sendRequest(GatewayContext& context, const UpstreamInstance& upstream, const Request& request,
    const FlowingBody& rest, SendCallback callback)
{
    const Millis startedAt = monotonicNow();
    HttpCall call = context.adapter.requestCall(upstream, request, std::max(Millis(1), request.deadline - startedAt));
    call.rest = rest.pipe;
    call.bodyBytes = rest.totalBytes;
    // The answer is checked against the request's id alone, so the body need not be kept for it.
    Request sent = request;
    freeMemory(sent.body);
    const Millis connectTimeout = call.connectTimeout;
    return context.http.start(std::move(call),
        [&context, sent = std::move(sent), upstream, startedAt, connectTimeout, callback = std::move(callback)](
            HttpOutcome outcome) {
            const auto& [id, name] = std::tie(upstream.id, upstream.id.name);
            noteContact(context, upstream, outcome, startedAt, connectTimeout);
            const auto* answer = std::get_if<HttpAnswer>(&outcome);
            RateNotice rate = answer ? context.adapter.readRate(*answer) : RateNotice {};
            const UpstreamNotice notice
                = answer ? context.adapter.readNotice(*answer, sent.id, name) : UpstreamNotice {};
            const auto* failure = std::get_if<HttpFailure>(&outcome);
            const bool connectionBroke = failure && failure->fault == HttpFault::broken;
            Reply reply = context.adapter.interpretAnswer(std::move(outcome), sent, name);
            noteRun(context, upstream, sent, reply, connectionBroke, startedAt);
            const auto* refused = std::get_if<Refusal>(&reply);
            // Another upstream says nothing of this one, and an answer that is not valid may lack any header.
            const bool isOther = refused && refused->reason == RefusalReason::upstreamReplaced;
            const bool isBroken = refused && refused->reason == RefusalReason::upstreamBroken;
            if (isOther || (refused && rate.kind == RateNotice::Kind::unlimited))
                rate = {};
            if (!isOther && !isBroken)
                takeNotice(context, id, notice, sent.id);
            if (const auto* refusal = std::get_if<Refusal>(&reply))
                logEvent(EventKind::request, "upstream_failed",
                    { { "request", sent.id }, { "fingerprint", fingerprintText(sent.fingerprint) },
                        { "upstream", name }, { "outcome", outcomeName(reply) },
                        { "ran", refusal->ran == Ran::no ? "no" : "unknown" },
                        { "ms", (monotonicNow() - startedAt).count() }, { "slot", sent.slot.value },
                        { "revision", textOf(context.directory.revision()) },
                        { "age_ms", context.directory.age().count() } });
            if (isSuccess(reply))
                context.directory.recordAnswer(upstream);
            callback(std::move(reply), rate);
            if (isOther)
                context.directory.recordReplaced(upstream);
        });
}

Dispatcher::Dispatcher(GatewayContext& context)
    : m_context(context)
{
}

std::string Dispatcher::nameOf(const Pool& pool) { return pool.service + "/" + pool.upstreamOrGroup; }

Dispatcher::Pool& Dispatcher::findOrCreatePool(const ServiceName& service, const UpstreamName& upstreamOrGroup)
{
    const auto [it, added] = m_pools.try_emplace(service + "/" + upstreamOrGroup);
    if (added) {
        it->second.service = service;
        it->second.upstreamOrGroup = upstreamOrGroup;
        refreshPolicy(it->second);
    }
    return it->second;
}

// When a caller whose request is refused may come back: once those that wait now have started.
Millis Dispatcher::retryAfter(const Pool& pool, RankOrder order) const
{
    if (!pool.policy.startsPerSecond)
        return kRefusalRetryAfter;
    return std::max(kRefusalRetryAfter, pistachiospur::expectedWait(pool.queue, pool.policy, order, monotonicNow()));
}

// The same for one whose request has waited in vain; keeps a place for it if there is one.
Millis Dispatcher::returnTime(Pool& pool, const Job& job, const WaitingRequest& dropped, Millis now)
{
    return std::max(
        retryAfter(pool, dropped.order), givePlace(pool.queue, pool.places, pool.policy, dropped, traceOf(job), now));
}

CallerTrace Dispatcher::traceOf(const Job& job)
{
    const Millis known = job.origin.callerDeadline;
    return { known > Millis(0) ? job.request.fingerprint : 0, job.request.rank, known, job.origin.mayComeBack };
}

void Dispatcher::refreshPolicy(Pool& pool)
{
    refreshSlots(pool);
    pool.policy.maxWaitingPerRank = static_cast<std::size_t>(m_context.settings.limits.queuePerRank);
    pool.policy.runMargin = kRunMargin;
    pool.policy.acceptsLateWhenIdle = true;
    pool.policy.shares.clear();
    if (const auto& routes = m_context.directory.routes()) {
        for (const auto& [host, hostRoutes] : routes->virtualHosts) {
            for (const auto& route : hostRoutes)
                pool.policy.shares[route.order] = kMinRankShare;
        }
    }
}

Dispatcher::JobId Dispatcher::submit(
    const UpstreamName& upstreamOrGroup, Request request, Callback callback, FlowingBody rest, RequestOrigin origin)
{
    Job job;
    job.request = std::move(request);
    job.callback = std::move(callback);
    job.rest = std::move(rest);
    job.origin = std::move(origin);
    return enqueueJob(upstreamOrGroup, std::move(job));
}

Dispatcher::JobId Dispatcher::submitForTurn(
    const UpstreamName& upstreamOrGroup, Request request, Callback callback, TurnCallback onTurn, RequestOrigin origin)
{
    Job job;
    job.request = std::move(request);
    job.callback = std::move(callback);
    job.onTurn = std::move(onTurn);
    job.origin = std::move(origin);
    return enqueueJob(upstreamOrGroup, std::move(job));
}

Dispatcher::JobId Dispatcher::enqueueJob(const UpstreamName& upstreamOrGroup, Job added)
{
    Pool& pool = findOrCreatePool(added.request.service, upstreamOrGroup);
    refreshSlots(pool);
    if (pool.policy.maxConcurrent == 0) {
        added.callback(notRun(RefusalReason::noOwner, kRefusalRetryAfter));
        return 0;
    }
    if (!mayServe(m_context, added.request, upstreamOrGroup, monotonicNow())) {
        added.callback(notRun(RefusalReason::notCoordinator));
        return 0;
    }
    if (const Millis left = quarantineLeft(m_context, added.request, monotonicNow()); left > Millis(0)) {
        added.callback(notRun(RefusalReason::quarantined, left));
        return 0;
    }
    if (const Millis pause = pauseLeftFor(pool, added.origin, monotonicNow()); pause > Millis(0)) {
        added.callback(pausedRefusal(pool, added.request.order, pause));
        return 0;
    }
    if (!mayWaitForSlot(pool, added.request)) {
        m_context.metrics.count("pistachiospur_slot_share_refusals_total");
        added.callback(notRun(RefusalReason::queueFull, retryAfter(pool, added.request.order)));
        return 0;
    }
    const JobId id = m_nextJob++;
    const Millis now = monotonicNow();
    added.queuedAt = now;
    WaitingRequest waiting { id, added.request.order, added.request.deadline };
    if (const Millis latency = added.request.targetLatency; latency > Millis(0))
        waiting.target = LatencyTarget { latency, added.origin.sentAt + latency };
    const CallerTrace caller = traceOf(added);
    pool.largestBytes = std::max(waitingCount(pool.queue) == 0 ? 0 : pool.largestBytes, added.origin.bytes);
    m_poolNames[id] = nameOf(pool);
    pool.jobs.emplace(id, std::move(added));
    if (const auto away = enqueueOrGivePlace(pool.queue, pool.places, pool.policy, waiting, caller, now)) {
        finish(pool, id, notRun(away->reason, std::max(away->retryAfter, retryAfter(pool, waiting.order))));
        return 0;
    }
    startWaiting(pool);
    if (waitsForBytes(pool, id, now))
        m_context.metrics.count("pistachiospur_held_bytes_waits_total");
    return m_poolNames.count(id) ? id : 0;
}

// Whether a request for a slot of a keyed service may be added to those that wait.
bool Dispatcher::mayWaitForSlot(Pool& pool, const Request& request)
{
    const auto& routes = m_context.directory.routes();
    const auto service = routes ? routes->services.find(pool.service) : decltype(routes->services.end()) {};
    if (!routes || service == routes->services.end() || !service->second.keyed)
        return true;
    SlotQueue queue;
    queue.slots = pool.policy.maxConcurrent;
    queue.runMs = pool.queue.lanes[request.order].meanServiceMs;
    for (const auto& [id, job] : pool.jobs) {
        if (!job.running)
            ++(job.request.slot == request.slot ? queue.ofSlot : queue.ofOthers);
    }
    const Millis now = monotonicNow();
    noteArrival(pool.slotArrivals, request.slot, now);
    return mayWait(queue, pool.slotArrivals, request.slot, request.targetLatency, now);
}

Refusal Dispatcher::pausedRefusal(const Pool& pool, RankOrder order, Millis pause) const
{
    return notRun(
        RefusalReason::upstreamPaused, std::max(pause, expectedWait(pool.service, pool.upstreamOrGroup, order)));
}

// Refuses the waiting requests that have been quarantined since they arrived.
void Dispatcher::refuseQuarantined(Pool& pool)
{
    if (m_context.quarantine.suspects.empty() || waitingCount(pool.queue) == 0)
        return;
    const Millis now = monotonicNow();
    std::vector<std::pair<JobId, Millis>> quarantined;
    for (const auto& [id, job] : pool.jobs) {
        const Millis left = quarantineLeft(m_context, job.request, now);
        if (!job.running && left > Millis(0))
            quarantined.emplace_back(id, left);
    }
    for (const auto& [id, left] : quarantined) {
        removeWaiting(pool.queue, id);
        finish(pool, id, notRun(RefusalReason::quarantined, left));
    }
}

void Dispatcher::startWaiting(Pool& pool)
{
    refuseQuarantined(pool);
    while (waitingCount(pool.queue) > 0) {
        const Millis now = monotonicNow();
        if (!chooseMember(pool, {}, now))
            return;
        const auto isStartable
            = [&](const WaitingRequest& it) { return chooseMember(pool, pool.jobs.at(it.id).origin, now) != nullptr; };
        const bool startsAny = m_context.pauses.ends.empty() && !mayExceedBytes(pool);
        const auto next = startNext(pool.queue, pool.policy, now, startsAny ? IsStartable() : IsStartable(isStartable));
        if (!next)
            return;
        sendToUpstream(pool, next->id, *chooseMember(pool, pool.jobs.at(next->id).origin, now));
    }
}

void Dispatcher::sendToUpstream(Pool& pool, JobId id, const InstanceEntry& entry)
{
    Job& job = pool.jobs.at(id);
    job.running = true;
    job.startedAt = monotonicNow();
    QueueTimes& times = pool.queueTimes[job.request.rank];
    times.served += job.startedAt - job.queuedAt;
    ++times.servedCount;
    job.instance = entry.instance.id;
    Member& member = pool.members[job.instance];
    ++member.running;
    member.heldBytes += job.origin.bytes;
    noteSent(member.stats, job.startedAt);
    job.workFactor = workFactorNow(member.stats, job.startedAt);
    if (const auto pace = m_paces.find(job.instance); pace != m_paces.end())
        spendStart(pace->second, job.startedAt);
    if (const auto cold = coldBoundOf(m_context, pool.service))
        takeStart(m_context, entry, *cold, job.startedAt);
    if (job.onTurn)
        return job.onTurn(job.instance);
    job.call = sendRequest(m_context, entry.instance, job.request, job.rest,
        [this, pool = nameOf(pool), id](
            Reply reply, const RateNotice& rate) { onReply(pool, id, std::move(reply), rate); });
    freeMemory(job.request.body); // the call has its own, and another attempt starts at the first host
}

void Dispatcher::endTurn(
    JobId id, Reply reply, const RateNotice& rate, Millis pause, const std::optional<UpstreamLoad>& load)
{
    const auto pool = m_poolNames.find(id);
    if (pool == m_poolNames.end())
        return;
    const Job& job = m_pools.at(pool->second).jobs.at(id);
    if (!job.running)
        return;
    notePause(m_context.pauses, job.instance, job.origin.sender, pause, monotonicNow());
    if (load)
        m_context.loads[job.instance] = { *load, monotonicNow() };
    onReply(std::string(pool->second), id, std::move(reply), rate);
}

// Keeps the limit that an upstream states, and logs when that begins or ends.
void Dispatcher::noteRate(const Job& job, const RateNotice& rate, Millis now)
{
    const auto known = m_paces.find(job.instance);
    if (rate.kind == RateNotice::Kind::silent || (rate.kind == RateNotice::Kind::unlimited && known == m_paces.end()))
        return;
    Pace& pace = m_paces[job.instance];
    const bool wasLimited = pace.perSecond.has_value();
    pistachiospur::noteRate(pace, rate, job.startedAt, now);
    const bool isLimited = pace.perSecond.has_value();
    if (isLimited != wasLimited)
        logEvent(EventKind::state, "upstream_limit",
            { { "upstream", job.instance.name }, { "service", job.request.service },
                { "per_second", isLimited ? nlohmann::json(*pace.perSecond) : nlohmann::json(nullptr) },
                { "request", job.request.id } });
    if (!isLimited)
        m_paces.erase(job.instance);
}

void Dispatcher::onReply(const std::string& poolName, JobId id, Reply reply, const RateNotice& rate)
{
    Pool& pool = m_pools.at(poolName);
    const Job& job = pool.jobs.at(id);
    const Millis now = monotonicNow();
    noteRate(job, rate, now);
    Member& member = pool.members[job.instance];
    const auto* refusal = std::get_if<Refusal>(&reply);
    const bool isOfUpstream
        = refusal && refusal->reason != RefusalReason::upstreamPaused && refusal->reason != RefusalReason::quarantined;
    if (isOfUpstream && refusal->ran == Ran::no) {
        member.avoidedUntil = now + kAvoidTime;
    }
    if (const auto report = m_context.loads.extract(job.instance))
        noteLoad(member.stats, report.mapped().load, member.running, report.mapped().reportedAt);
    if (isUpstreamFailure(reply))
        noteFailure(job, member);
    else if (!refusal)
        noteServed(member.stats, pool.runTimes, job.request.order, now - job.startedAt, job.workFactor, now);
    const bool replaced = refusal && refusal->reason == RefusalReason::upstreamReplaced && job.onTurn;
    const InstanceId instance = job.instance;
    const Millis pause = pauseLeftFor(pool, job.origin, now);
    if (refusal && refusal->reason == RefusalReason::upstreamShed && pause > Millis(0))
        reply = pausedRefusal(pool, job.request.order, pause);
    finish(pool, id, std::move(reply));
    if (replaced)
        m_context.directory.recordReportedReplaced(instance);
    if (pause > Millis(0))
        refusePaused(pool);
    startWaiting(pool);
}

// Logs when an upstream begins to fail requests; work then goes to others of its group.
void Dispatcher::noteFailure(const Job& job, Member& member)
{
    const bool wasFailing = isFailing(member.stats);
    noteFailed(member.stats);
    m_context.metrics.count("pistachiospur_upstream_failures_total", { { "service", job.request.service } });
    if (!wasFailing && isFailing(member.stats))
        logEvent(EventKind::state, "upstream_failing",
            { { "upstream", job.instance.name }, { "service", job.request.service }, { "request", job.request.id } });
}

void Dispatcher::finish(Pool& pool, JobId id, Reply reply)
{
    auto node = pool.jobs.extract(id);
    m_poolNames.erase(id);
    if (node.empty())
        return;
    Job& job = node.mapped();
    if (job.running) {
        Member& member = pool.members[job.instance];
        --member.running;
        member.heldBytes -= job.origin.bytes;
        const bool served = std::holds_alternative<Answer>(reply) && !isUpstreamFailure(reply);
        finishRun(pool.queue, job.request.order, served ? std::optional(monotonicNow() - job.startedAt) : std::nullopt);
    } else {
        QueueTimes& times = pool.queueTimes[job.request.rank];
        times.refused += monotonicNow() - job.queuedAt;
        ++times.refusedCount;
    }
    job.callback(std::move(reply));
}

void Dispatcher::cancel(JobId id)
{
    const auto found = m_poolNames.find(id);
    if (found == m_poolNames.end())
        return;
    Pool& pool = m_pools.at(found->second);
    const Job& job = pool.jobs.at(id);
    if (job.running && (!job.request.idempotent || job.onTurn))
        return;
    const bool ran = job.running;
    if (ran)
        m_context.http.cancel(job.call);
    else
        removeWaiting(pool.queue, id);
    finish(pool, id, ran ? maybeRun(RefusalReason::deadlinePassed) : notRun(RefusalReason::deadlinePassed));
    startWaiting(pool);
}

// Frees the slots of requests whose first host has not reported their end in time.
void Dispatcher::endOverdueTurns()
{
    const Millis now = monotonicNow();
    if (now < m_nextTurnCheckAt)
        return;
    m_nextTurnCheckAt = now + kTurnCheckInterval;
    std::vector<JobId> overdue;
    for (const auto& [name, pool] : m_pools) {
        for (const auto& [id, job] : pool.jobs) {
            if (job.running && job.onTurn && now >= job.request.deadline + kTurnMargin)
                overdue.push_back(id);
        }
    }
    for (const auto id : overdue)
        endTurn(id, maybeRun(RefusalReason::upstreamTimeout), {}, Millis(0), std::nullopt);
}

void Dispatcher::tick()
{
    const Millis now = monotonicNow();
    endOverdueTurns();
    removeEnded(m_context.pauses, now);
    for (auto& [name, pool] : m_pools) {
        if (waitingCount(pool.queue) == 0)
            continue;
        for (const auto& dropped : dropLate(pool.queue, pool.policy, now)) {
            const Millis returnsIn = returnTime(pool, pool.jobs.at(dropped.id), dropped, now);
            finish(pool, dropped.id, notRun(RefusalReason::queueFull, returnsIn));
        }
        refusePaused(pool);
        if (mayBePaced(now))
            refreshSlots(pool);
        startWaiting(pool);
    }
}

Millis Dispatcher::expectedWait(const ServiceName& service, const UpstreamName& upstreamOrGroup, RankOrder order) const
{
    const auto found = m_pools.find(service + "/" + upstreamOrGroup);
    if (found == m_pools.end() || found->second.policy.maxConcurrent == 0)
        return Millis(0);
    const Pool& pool = found->second;
    if (mayBePaced(monotonicNow())) {
        QueuePolicy policy = pool.policy;
        refreshPace(pool, policy, monotonicNow());
        if (policy.startsPerSecond)
            return pistachiospur::expectedWait(pool.queue, policy, order, monotonicNow());
    }
    if (pool.queue.running < pool.policy.maxConcurrent)
        return Millis(0);
    const auto lane = pool.queue.lanes.find(order);
    const double runMs = lane == pool.queue.lanes.end() ? 0 : lane->second.meanServiceMs;
    // With every slot taken, even the first in the queue waits for one to become free.
    return pistachiospur::expectedWait(pool.queue, pool.policy, order, monotonicNow())
        + Millis(static_cast<std::int64_t>(runMs / pool.policy.maxConcurrent));
}

bool Dispatcher::hasWaiting() const
{
    return std::any_of(
        m_pools.begin(), m_pools.end(), [](const auto& it) { return waitingCount(it.second.queue) > 0; });
}

// Refuses the waiting requests whose slot has moved to another upstream or is in a pending range. The host that
// received each of them from its caller then looks for the new owner.
void Dispatcher::refuseMoved(Pool& pool)
{
    const Millis now = monotonicNow();
    std::vector<JobId> moved;
    for (const auto& [id, job] : pool.jobs) {
        if (!job.running && !mayServe(m_context, job.request, pool.upstreamOrGroup, now))
            moved.push_back(id);
    }
    for (const auto id : moved) {
        removeWaiting(pool.queue, id);
        finish(pool, id, notRun(RefusalReason::notCoordinator));
    }
}

// Refuses the waiting requests that no available upstream of the pool wants from their senders.
void Dispatcher::refusePaused(Pool& pool)
{
    if (m_context.pauses.ends.empty())
        return;
    const Millis now = monotonicNow();
    std::map<HostName, Millis> pauseBySender;
    std::vector<std::pair<JobId, Refusal>> paused;
    for (const auto& [id, job] : pool.jobs) {
        if (job.running)
            continue;
        const auto [pause, added] = pauseBySender.try_emplace(job.origin.sender);
        if (added)
            pause->second = pauseLeftFor(pool, job.origin, now);
        if (pause->second > Millis(0))
            paused.emplace_back(id, pausedRefusal(pool, job.request.order, pause->second));
    }
    for (const auto& [id, refusal] : paused) {
        removeWaiting(pool.queue, id);
        finish(pool, id, refusal);
    }
}

void Dispatcher::refresh()
{
    for (auto it = m_paces.begin(); it != m_paces.end();)
        it = m_context.directory.findInstance(it->first) ? std::next(it) : m_paces.erase(it);
    for (auto it = m_context.loads.begin(); it != m_context.loads.end();)
        it = m_context.directory.findInstance(it->first) ? std::next(it) : m_context.loads.erase(it);
    for (auto& [name, pool] : m_pools) {
        refreshPolicy(pool);
        if (pool.policy.maxConcurrent == 0) {
            for (const auto& waiting : drainWaiting(pool.queue))
                finish(pool, waiting.id, notRun(RefusalReason::notCoordinator));
        }
        refuseMoved(pool);
        refusePaused(pool);
        startWaiting(pool);
    }
}

void Dispatcher::refreshRanges()
{
    for (auto& [name, pool] : m_pools) {
        if (waitingCount(pool.queue) == 0)
            continue;
        refuseMoved(pool);
        startWaiting(pool);
    }
}

} // namespace pistachiospur
