#include "coordinator.h"

#include "observe/log.h"
#include "upstream/upstream.h"

#include <algorithm>

// The request path of Coordinators: queue, idempotency check, call to the upstream, outcome.
namespace pistachiospur {

Coordinators::JobId Coordinators::submit(const UpstreamName& name, Request request, ReplyCallback callback)
{
    Coordinator* coordinator = find(name);
    if (!coordinator || !coordinator->renewer.coordinating) {
        callback(notRun(m_context.stopping ? RefusalReason::stopping : RefusalReason::notCoordinator));
        return 0;
    }
    if (isQuarantined(m_context.quarantine, request.fingerprint, monotonicNow())) {
        callback(notRun(RefusalReason::quarantined));
        return 0;
    }
    if (looksLost(coordinator->renewer)) {
        callback(notRun(RefusalReason::noOwner));
        return 0;
    }
    const JobId id = m_nextJob++;
    const WaitingRequest waiting { id, request.order, request.deadline };
    m_upstreamOf[id] = name;
    Job& job = coordinator->jobs[id];
    job.request = std::move(request);
    job.callback = std::move(callback);
    if (const auto reason = enqueue(coordinator->queue, coordinator->policy, waiting, monotonicNow())) {
        finish(*coordinator, id, notRun(*reason, Millis(1000)));
        return 0;
    }
    startQueued(*coordinator);
    return id;
}

// Returns the reply to a request that was executed before or must not be executed here, or nothing if it may start. The
// check is made when the request starts, not when it arrives, because only then it is known since when this host alone
// starts requests of the slot.
std::optional<Reply> Coordinators::checkIdempotency(Coordinator& coordinator, const Request& request)
{
    if (request.idempotent)
        return std::nullopt;
    const IdempotencyPolicy policy { limit(m_context, &Limits::idempotencyWindowMs),
        limit(m_context, &Limits::clockSkewMs),
        static_cast<std::size_t>(m_context.settings.limits.idempotencyEntries) };
    auto answer = beginRequest(coordinator.idempotency, policy, *request.idempotencyKey, request.fingerprint,
        soleCoordinatorSince(coordinator, request.slot), wallNow());
    switch (answer.verdict) {
    case IdempotencyVerdict::run:
        return std::nullopt;
    case IdempotencyVerdict::replay:
        return std::move(answer.reply);
    case IdempotencyVerdict::inProgress:
        return maybeRun(RefusalReason::inProgress);
    case IdempotencyVerdict::reused:
        return notRun(RefusalReason::idempotencyKeyReused);
    case IdempotencyVerdict::cacheTooYoung:
        return maybeRun(RefusalReason::idempotencyCacheTooYoung);
    }
    return std::nullopt;
}

// Wall-clock time since which this host has been the only one to start requests of the slot.
Millis Coordinators::soleCoordinatorSince(const Coordinator& coordinator, SlotId slot) const
{
    const auto it = coordinator.ownedSince.find(slot);
    return std::max(coordinator.establishedAt, it == coordinator.ownedSince.end() ? wallNow() : it->second.second);
}

// True if the upstream has accepted exactly the wanted slots and its grant may still be in force. `grantBound` is an
// upper bound, so the upstream itself checks the expiry of its grant for each request.
bool Coordinators::isServing(const Coordinator& coordinator, Millis now) const
{
    const Renewer& renewer = coordinator.renewer;
    return renewer.established && renewer.confirmedDigest == renewer.wantedDigest && now < renewer.grantBound;
}

// Starts queued requests while the queue's policy allows it.
void Coordinators::startQueued(Coordinator& coordinator)
{
    while (isServing(coordinator, monotonicNow())) {
        const auto next = startNext(coordinator.queue, coordinator.policy, monotonicNow());
        if (!next)
            return;
        start(coordinator, next->id);
    }
}

void Coordinators::start(Coordinator& coordinator, JobId id)
{
    Job& job = coordinator.jobs.at(id);
    job.running = true;
    job.startedAt = monotonicNow();
    const auto& wanted = coordinator.renewer.wantedSlots;
    const auto slot = std::lower_bound(wanted.begin(), wanted.end(), SlotGrant { job.request.slot, {} });
    if (slot == wanted.end() || slot->slot != job.request.slot) {
        finish(coordinator, id, notRun(RefusalReason::noOwner));
        return;
    }
    if (auto reply = checkIdempotency(coordinator, job.request)) {
        finish(coordinator, id, std::move(*reply));
        return;
    }
    job.inIdempotencyCache = !job.request.idempotent;
    job.call = m_context.http.start(
        requestCall(coordinator.upstream, job.request, *slot, coordinator.renewer.term, job.startedAt),
        [this, name = coordinator.upstream.name, id](HttpOutcome outcome) { onOutcome(name, id, std::move(outcome)); });
}

void Coordinators::onOutcome(const UpstreamName& name, JobId id, HttpOutcome outcome)
{
    Coordinator* coordinator = find(name);
    if (!coordinator || !coordinator->jobs.count(id))
        return;
    Reply reply = replyFor(std::move(outcome));
    const std::uint64_t fingerprint = coordinator->jobs.at(id).request.fingerprint;
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (!refusal)
        onAnswered(m_context.quarantine, fingerprint);
    else if (refusal->reason == RefusalReason::upstreamBroken
        && recordBreak(m_context.quarantine, { fingerprint, m_context.self.incarnation.value + id }, monotonicNow()))
        logWarning("connection to upstream " + name + " broke while it ran the request with fingerprint "
            + std::to_string(fingerprint));
    finish(*coordinator, id, std::move(reply));
    startQueued(*coordinator);
}

void Coordinators::finish(Coordinator& coordinator, JobId id, Reply reply)
{
    auto extracted = coordinator.jobs.extract(id);
    m_upstreamOf.erase(id);
    if (extracted.empty())
        return;
    Job& job = extracted.mapped();
    if (job.running) {
        const bool answered = std::holds_alternative<Answer>(reply);
        finishRun(coordinator.queue, job.request.order,
            answered ? std::optional(monotonicNow() - job.startedAt) : std::nullopt);
    }
    if (job.inIdempotencyCache)
        recordOutcome(coordinator.idempotency, job.request.idempotencyKey->text, reply);
    job.callback(std::move(reply));
}

// Removes a queued request, or aborts a running one if it is idempotent. Any other running request continues, because
// its outcome must be recorded in the idempotency cache.
void Coordinators::cancel(JobId id)
{
    const auto it = m_upstreamOf.find(id);
    Coordinator* coordinator = it == m_upstreamOf.end() ? nullptr : find(it->second);
    if (!coordinator)
        return;
    const Job& job = coordinator->jobs.at(id);
    if (job.running && !job.request.idempotent)
        return;
    if (job.running)
        m_context.http.cancel(job.call);
    else
        removeWaiting(coordinator->queue, id);
    finish(*coordinator, id,
        job.running ? maybeRun(RefusalReason::deadlinePassed) : notRun(RefusalReason::deadlinePassed));
    startQueued(*coordinator);
}

} // namespace pistachiospur
