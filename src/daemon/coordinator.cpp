#include "coordinator.h"

#include "observe/log.h"
#include "ownership/plan.h"
#include "ownership/recovery.h"
#include "upstream/upstream.h"

#include <algorithm>

namespace pistachiospur {

namespace {

constexpr Millis kReportAgain { 200 };
// Reports to one planner before the next one in order is told.
constexpr unsigned kReportsPerPlanner = 4;

} // namespace

HostName plannerOf(const Node& node, const ServiceName& service, unsigned skipped)
{
    const auto order = plannerOrder(service, liveHosts(node.members));
    return order.empty() ? HostName {} : order[skipped % order.size()];
}

Coordinators::Coordinators(Node& node)
    : m_node(node)
{
}

Coordinators::Runner* Coordinators::find(const UpstreamName& name)
{
    const auto it = m_runners.find(name);
    return it == m_runners.end() ? nullptr : it->second.get();
}

Coordinators::Runner& Coordinators::runnerOf(const UpstreamName& name)
{
    auto& runner = m_runners[name];
    if (!runner) {
        runner = std::make_unique<Runner>();
        runner->upstream.name = name;
        runner->renewer.holder = m_node.settings.host + "#" + std::to_string(m_node.self.incarnation.value);
        // An earlier run of this host's process may have renewed until just before this one began.
        runner->renewer.grantBound = limit(m_node, &Limits::grantTtlMs);
        runner->memory.completeSince = wallNow();
    }
    return *runner;
}

bool Coordinators::coordinates(const UpstreamName& name) const
{
    const auto it = m_runners.find(name);
    return it != m_runners.end() && it->second->renewer.established;
}

void Coordinators::refresh()
{
    std::map<UpstreamName, bool> kept;
    const auto& configuration = m_node.view.configuration;
    for (const auto& [name, placement] : configuration.placements) {
        for (const auto& upstream : placement.upstreams) {
            const auto object = configuration.upstreams.find(upstream);
            const auto record = m_node.view.ownership.upstreams.find(upstream);
            if (object == configuration.upstreams.end() || record == m_node.view.ownership.upstreams.end())
                continue;
            const auto& renewers = record->second.renewers;
            const bool mine = std::find(renewers.begin(), renewers.end(), m_node.members.self) != renewers.end();
            if (!mine && !find(upstream))
                continue;
            refreshRunner(placement, object->second, record->second);
            kept[upstream] = true;
        }
    }
    for (auto& [name, runner] : m_runners) {
        if (!kept.count(name)) {
            stopCoordinating(runner->renewer);
            refuseWaiting(*runner, RefusalReason::noOwner);
        }
    }
}

bool Coordinators::isPreferred(const UpstreamRecord& record) const
{
    if (m_node.stopping || !m_node.readFromStore)
        return false;
    for (const auto& it : record.renewers) {
        if (it == m_node.members.self)
            return true;
        if (canCoordinate(m_node.members, it))
            return false;
    }
    return false;
}

void Coordinators::refreshRunner(const Placement& placement, const Upstream& upstream, const UpstreamRecord& record)
{
    const Millis now = monotonicNow();
    Runner* runner = &runnerOf(upstream.name);
    runner->upstream = upstream;
    runner->service = placement.service;
    runner->policy.slots = upstream.slots;
    runner->policy.perRank = static_cast<std::size_t>(m_node.settings.limits.queuePerRank);
    runner->policy.shares.clear();
    for (const auto& [name, rank] : m_node.view.configuration.ranks)
        runner->policy.shares[rank.order] = rank.share;
    runner->probing = record.state == UpstreamState::lost && isPreferred(record);
    if (!mayRenew(record, m_node.members.self, runner->promised) || !isPreferred(record)) {
        const bool was = runner->renewer.coordinating;
        stopCoordinating(runner->renewer);
        if (was)
            logInfo("stopped coordinating " + upstream.name);
        refuseWaiting(
            *runner, record.state == UpstreamState::lost ? RefusalReason::noOwner : RefusalReason::notCoordinator);
        return;
    }
    startCoordinating(runner->renewer, now);
    followSlots(*runner, now);
    pump(*runner);
}

void Coordinators::followSlots(Runner& runner, Millis now)
{
    auto slots = slotsToGrant(m_node.view.ownership, runner.service, runner.upstream.name);
    for (const auto& it : slots) {
        auto& [epoch, since] = runner.since[it.slot];
        if (epoch == it.epoch)
            continue;
        epoch = it.epoch;
        since = it.epoch.value > 1 ? wallNow() : Millis(0);
    }
    setSlots(runner.renewer, std::move(slots), now);
}

void Coordinators::refuseWaiting(Runner& runner, RefusalReason reason)
{
    for (const auto& it : drainWaiting(runner.queue))
        finish(runner, it.id, notRun(reason));
}

void Coordinators::tick()
{
    const Millis now = monotonicNow();
    for (auto& [name, runner] : m_runners) {
        renew(*runner, now);
        for (const auto& it : dropLate(runner->queue, runner->policy, now))
            finish(*runner, it.id, notRun(RefusalReason::deadlinePassed));
        report(*runner, now);
        probe(*runner, now);
        settleLost(*runner, now);
        pump(*runner);
    }
}

void Coordinators::renew(Runner& runner, Millis now)
{
    const RenewerTiming timing { limit(m_node, &Limits::grantTtlMs), limit(m_node, &Limits::renewalIntervalMs),
        limit(m_node, &Limits::renewalTimeoutMs) };
    const auto renewal = dueRenewal(runner.renewer, timing, now);
    if (!renewal)
        return;
    m_node.http.start(renewalCall(runner.upstream, *renewal, timing.timeout),
        [this, name = runner.upstream.name, sent = *renewal](
            const HttpOutcome& outcome) { onRenewalOutcome(name, sent, outcome); });
}

void Coordinators::onRenewalOutcome(const UpstreamName& name, const Renewal& sent, const HttpOutcome& outcome)
{
    Runner* runner = find(name);
    if (!runner)
        return;
    const Millis now = monotonicNow();
    const RenewerTiming timing { limit(m_node, &Limits::grantTtlMs), limit(m_node, &Limits::renewalIntervalMs),
        limit(m_node, &Limits::renewalTimeoutMs) };
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    const auto reply = answer && answer->status == 200 ? decodeRenewalReply(answer->body) : std::nullopt;
    m_node.metrics.count("pistachiospur_renewals_total",
        { { "result",
            reply && reply->verdict == RenewalVerdict::accepted ? "accepted"
                : reply                                         ? "refused"
                                                                : "failed" } });
    if (!reply) {
        onRenewalFailed(runner->renewer, sent, timing, now);
    } else {
        const auto change = onRenewalReply(runner->renewer, sent, *reply, timing, now);
        if (change == RenewerChange::established)
            onEstablished(*runner);
        if (change == RenewerChange::displaced) {
            logInfo("another host coordinates " + name + " under a higher term");
            refuseWaiting(*runner, RefusalReason::notCoordinator);
        }
    }
    renew(*runner, now);
    report(*runner, now);
    pump(*runner);
}

// From here on this host alone starts requests there; what ran before under others it cannot know.
void Coordinators::onEstablished(Runner& runner)
{
    runner.establishedAt = wallNow();
    runner.reportedLost = false;
    logInfo("coordinating " + runner.upstream.name + " with term " + std::to_string(runner.renewer.term.value) + ", "
        + std::to_string(runner.renewer.wanted.size()) + " slots");
}

// Asks a lost upstream for a challenge, which extends nothing, and tells the planner when it answers.
void Coordinators::probe(Runner& runner, Millis now)
{
    if (!runner.probing || now < runner.probeAt)
        return;
    runner.probeAt = now + limit(m_node, &Limits::renewalIntervalMs);
    const Renewal renewal { runner.renewer.holder, runner.renewer.term, {}, 0, false, {} };
    m_node.http.start(renewalCall(runner.upstream, renewal, limit(m_node, &Limits::renewalTimeoutMs)),
        [this, name = runner.upstream.name](const HttpOutcome& outcome) {
            Runner* back = find(name);
            if (back && back->probing && std::holds_alternative<HttpAnswer>(outcome))
                sendReport(*back, false);
        });
}

// Tells the planner of an upstream that answers no more.
void Coordinators::report(Runner& runner, Millis now)
{
    if (now < runner.reportAt || !runner.renewer.coordinating || !looksLost(runner.renewer))
        return;
    runner.reportAt = now + kReportAgain;
    if (!runner.reportedLost)
        logWarning("upstream " + runner.upstream.name + " lost: " + std::to_string(runner.renewer.unanswered)
            + " renewals unanswered; its " + std::to_string(runner.renewer.wanted.size())
            + " slots wait for the grant to expire");
    runner.reportedLost = true;
    sendReport(runner, true);
}

void Coordinators::sendReport(Runner& runner, bool lost)
{
    const auto record = m_node.view.ownership.upstreams.find(runner.upstream.name);
    if (record == m_node.view.ownership.upstreams.end())
        return;
    if (runner.reportedFence != record->second.fence)
        runner.reports = 0;
    runner.reportedFence = record->second.fence;
    const HostName planner = plannerOf(m_node, runner.service, runner.reports++ / kReportsPerPlanner);
    m_node.send(planner, UpstreamReport { runner.service, runner.upstream.name, lost });
}

RenewalStopped Coordinators::stopRenewing(const StopRenewing& order)
{
    const Millis now = monotonicNow();
    Runner* runner = &runnerOf(order.upstream);
    runner->promised = std::max(runner->promised, order.fence);
    stopCoordinating(runner->renewer);
    refuseWaiting(*runner, RefusalReason::noOwner);
    return { order.upstream, order.fence, grantRemaining(runner->renewer, now) };
}

// Once no grant of this host can be in force at a lost upstream, what it was running has no answer to wait for.
void Coordinators::settleLost(Runner& runner, Millis now)
{
    if (!runner.probing || runner.jobs.empty() || grantRemaining(runner.renewer, now).count() > 0)
        return;
    std::vector<JobId> running;
    for (const auto& [id, job] : runner.jobs) {
        if (job.running)
            running.push_back(id);
    }
    for (const auto id : running) {
        m_node.http.cancel(runner.jobs.at(id).call);
        finish(runner, id, maybeRun(RefusalReason::upstreamLost));
    }
}

ReleaseReport Coordinators::reportRelease(const UpstreamName& name)
{
    const Renewer& renewer = runnerOf(name).renewer;
    return { name,
        { m_node.replica.revision, renewer.coordinating, isSettled(renewer),
            grantRemaining(renewer, monotonicNow()) } };
}

void Coordinators::publishMetrics()
{
    double coordinated = 0;
    for (const auto& [name, runner] : m_runners) {
        coordinated += runner->renewer.established;
        m_node.metrics.set("pistachiospur_upstream_waiting", { { "upstream", name } },
            static_cast<double>(waitingCount(runner->queue)));
        m_node.metrics.set(
            "pistachiospur_upstream_running", { { "upstream", name } }, static_cast<double>(runner->queue.running));
    }
    m_node.metrics.set("pistachiospur_coordinated_upstreams", {}, coordinated);
}

} // namespace pistachiospur
