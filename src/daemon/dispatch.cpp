#include "coordinator.h"

#include "observe/log.h"
#include "upstream/upstream.h"

#include <algorithm>

// The part of Coordinators that a request passes through: queue, memory, sending, outcome.
namespace pistachiospur {

Coordinators::JobId Coordinators::handle(const UpstreamName& name, Request request, ReplyCallback callback)
{
    Runner* runner = find(name);
    if (!runner || !runner->renewer.coordinating) {
        callback(notRun(m_node.stopping ? RefusalReason::stopping : RefusalReason::notCoordinator));
        return 0;
    }
    if (isQuarantined(m_node.quarantine, request.fingerprint, monotonicNow())) {
        callback(notRun(RefusalReason::quarantined));
        return 0;
    }
    if (looksLost(runner->renewer)) {
        callback(notRun(RefusalReason::noOwner));
        return 0;
    }
    const JobId id = m_nextJob++;
    const WaitingRequest waiting { id, request.order, request.deadline };
    m_upstreamOf[id] = name;
    Job& job = runner->jobs[id];
    job.request = std::move(request);
    job.callback = std::move(callback);
    if (const auto reason = enqueue(runner->queue, runner->policy, waiting, monotonicNow())) {
        finish(*runner, id, notRun(*reason, Millis(1000)));
        return 0;
    }
    pump(*runner);
    return id;
}

// The reply to a request that ran before, or that must not run here; nothing when it may run. Asked when the request
// would start, not when it comes: only then is this host established, and knows since when it alone starts requests.
std::optional<Reply> Coordinators::remember(Runner& runner, const Request& request)
{
    if (request.idempotent)
        return std::nullopt;
    const MemoryPolicy policy { limit(m_node, &Limits::idempotencyWindowMs), limit(m_node, &Limits::clockSkewMs),
        static_cast<std::size_t>(m_node.settings.limits.idempotencyEntries) };
    auto answer = beginOnce(runner.memory, policy, *request.idempotencyKey, request.fingerprint,
        memorySince(runner, request.slot), wallNow());
    switch (answer.verdict) {
    case MemoryVerdict::run:
        return std::nullopt;
    case MemoryVerdict::replay:
        return std::move(answer.reply);
    case MemoryVerdict::inProgress:
        return maybeRun(RefusalReason::inProgress);
    case MemoryVerdict::reused:
        return notRun(RefusalReason::idempotencyKeyReused);
    case MemoryVerdict::tooYoung:
        return maybeRun(RefusalReason::memoryTooYoung);
    }
    return std::nullopt;
}

Millis Coordinators::memorySince(const Runner& runner, SlotId slot) const
{
    const auto it = runner.since.find(slot);
    return std::max(runner.establishedAt, it == runner.since.end() ? wallNow() : it->second.second);
}

bool Coordinators::isServing(const Runner& runner, Millis now) const
{
    const Renewer& renewer = runner.renewer;
    return renewer.established && renewer.confirmedDigest == renewer.wantedDigest && now < renewer.grantBound;
}

void Coordinators::pump(Runner& runner)
{
    while (isServing(runner, monotonicNow())) {
        const auto next = startNext(runner.queue, runner.policy, monotonicNow());
        if (!next)
            return;
        start(runner, next->id);
    }
}

void Coordinators::start(Runner& runner, JobId id)
{
    Job& job = runner.jobs.at(id);
    job.running = true;
    job.startedAt = monotonicNow();
    const auto& wanted = runner.renewer.wanted;
    const auto slot = std::lower_bound(wanted.begin(), wanted.end(), SlotGrant { job.request.slot, {} });
    if (slot == wanted.end() || slot->slot != job.request.slot) {
        finish(runner, id, notRun(RefusalReason::noOwner));
        return;
    }
    if (auto known = remember(runner, job.request)) {
        finish(runner, id, std::move(*known));
        return;
    }
    job.remembered = !job.request.idempotent;
    job.call = m_node.http.start(requestCall(runner.upstream, job.request, *slot, runner.renewer.term, job.startedAt),
        [this, name = runner.upstream.name, id](HttpOutcome outcome) { onOutcome(name, id, std::move(outcome)); });
}

void Coordinators::onOutcome(const UpstreamName& name, JobId id, HttpOutcome outcome)
{
    Runner* runner = find(name);
    if (!runner || !runner->jobs.count(id))
        return;
    Reply reply = replyFor(std::move(outcome));
    const std::uint64_t fingerprint = runner->jobs.at(id).request.fingerprint;
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (!refusal)
        onAnswered(m_node.quarantine, fingerprint);
    else if (refusal->reason == RefusalReason::upstreamBroken
        && onBreak(m_node.quarantine, { fingerprint, m_node.self.incarnation.value + id }, monotonicNow()))
        logWarning("a connection to " + name + " broke under request " + std::to_string(fingerprint));
    finish(*runner, id, std::move(reply));
    pump(*runner);
}

void Coordinators::finish(Runner& runner, JobId id, Reply reply)
{
    auto node = runner.jobs.extract(id);
    m_upstreamOf.erase(id);
    if (node.empty())
        return;
    Job& job = node.mapped();
    if (job.running) {
        const bool answered = std::holds_alternative<Answer>(reply);
        finishRun(
            runner.queue, job.request.order, answered ? std::optional(monotonicNow() - job.startedAt) : std::nullopt);
    }
    if (job.remembered)
        endOnce(runner.memory, job.request.idempotencyKey->text, reply);
    job.callback(std::move(reply));
}

// A waiting request is dropped. A running one is left alone unless it is idempotent: only then is it harmless not to
// learn what became of it.
void Coordinators::cancel(JobId id)
{
    const auto it = m_upstreamOf.find(id);
    Runner* runner = it == m_upstreamOf.end() ? nullptr : find(it->second);
    if (!runner)
        return;
    const Job& job = runner->jobs.at(id);
    if (job.running && !job.request.idempotent)
        return;
    if (job.running)
        m_node.http.cancel(job.call);
    else
        removeWaiting(runner->queue, id);
    finish(*runner, id, job.running ? maybeRun(RefusalReason::deadlinePassed) : notRun(RefusalReason::deadlinePassed));
    pump(*runner);
}

} // namespace pistachiospur
