#include "coordinator.h"

#include "observe/log.h"
#include "ownership/plan.h"
#include "ownership/recovery.h"
#include "upstream/upstream.h"

#include <algorithm>

namespace pistachiospur {

namespace {

// Time between reports of one lost upstream.
constexpr Millis kReportInterval { 200 };
// Reports sent to one planner before the next one in rendezvous order gets them.
constexpr unsigned kReportsPerPlanner = 4;

} // namespace

HostName plannerOf(const HostContext& context, const ServiceName& service, unsigned skipped)
{
    const auto order = plannerOrder(service, liveHosts(context.members));
    return order.empty() ? HostName {} : order[skipped % order.size()];
}

Coordinators::Coordinators(HostContext& context)
    : m_context(context)
{
}

Coordinators::Coordinator* Coordinators::find(const UpstreamName& name)
{
    const auto it = m_byUpstream.find(name);
    return it == m_byUpstream.end() ? nullptr : it->second.get();
}

Coordinators::Coordinator& Coordinators::findOrCreate(const UpstreamName& name)
{
    auto& coordinator = m_byUpstream[name];
    if (!coordinator) {
        coordinator = std::make_unique<Coordinator>();
        coordinator->upstream.name = name;
        coordinator->renewer.holder = m_context.settings.host + "#" + std::to_string(m_context.self.incarnation.value);
        // A previous process of this host may have sent a renewal just before this one started. Its grant may still be
        // in force.
        coordinator->renewer.grantBound = limit(m_context, &Limits::grantTtlMs);
        coordinator->idempotency.completeSince = wallNow();
    }
    return *coordinator;
}

bool Coordinators::coordinates(const UpstreamName& name) const
{
    const auto it = m_byUpstream.find(name);
    return it != m_byUpstream.end() && it->second->renewer.established;
}

void Coordinators::refresh()
{
    std::map<UpstreamName, bool> current;
    const auto& configuration = m_context.view.configuration;
    for (const auto& [name, placement] : configuration.placements) {
        for (const auto& upstream : placement.upstreams) {
            const auto object = configuration.upstreams.find(upstream);
            const auto record = m_context.view.ownership.upstreams.find(upstream);
            if (object == configuration.upstreams.end() || record == m_context.view.ownership.upstreams.end())
                continue;
            const auto& renewers = record->second.renewers;
            const bool isRenewer
                = std::find(renewers.begin(), renewers.end(), m_context.members.self) != renewers.end();
            if (!isRenewer && !find(upstream))
                continue;
            refreshCoordinator(placement, object->second, record->second);
            current[upstream] = true;
        }
    }
    for (auto& [name, coordinator] : m_byUpstream) {
        if (!current.count(name)) {
            stopCoordinating(coordinator->renewer);
            refuseQueued(*coordinator, RefusalReason::noOwner);
        }
    }
}

bool Coordinators::isPreferred(const UpstreamRecord& record) const
{
    if (m_context.stopping || !m_context.hasReadStore)
        return false;
    for (const auto& host : record.renewers) {
        if (host == m_context.members.self)
            return true;
        if (canCoordinate(m_context.members, host))
            return false;
    }
    return false;
}

void Coordinators::refreshCoordinator(
    const Placement& placement, const Upstream& upstream, const UpstreamRecord& record)
{
    const Millis now = monotonicNow();
    Coordinator* coordinator = &findOrCreate(upstream.name);
    coordinator->upstream = upstream;
    coordinator->service = placement.service;
    coordinator->policy.maxConcurrent = upstream.slots;
    coordinator->policy.maxWaitingPerRank = static_cast<std::size_t>(m_context.settings.limits.queuePerRank);
    coordinator->policy.shares.clear();
    for (const auto& [name, rank] : m_context.view.configuration.ranks)
        coordinator->policy.shares[rank.order] = rank.share;
    coordinator->probing = record.state == UpstreamState::lost && isPreferred(record);
    if (!mayRenew(record, m_context.members.self, coordinator->promisedFence) || !isPreferred(record)) {
        const bool wasCoordinating = coordinator->renewer.coordinating;
        stopCoordinating(coordinator->renewer);
        if (wasCoordinating)
            logInfo("stopped coordinating " + upstream.name);
        refuseQueued(
            *coordinator, record.state == UpstreamState::lost ? RefusalReason::noOwner : RefusalReason::notCoordinator);
        return;
    }
    startCoordinating(coordinator->renewer, now);
    updateSlots(*coordinator, now);
    startQueued(*coordinator);
}

void Coordinators::updateSlots(Coordinator& coordinator, Millis now)
{
    auto slots = slotsToGrant(m_context.view.ownership, coordinator.service, coordinator.upstream.name);
    for (const auto& grant : slots) {
        auto& [epoch, ownedSince] = coordinator.ownedSince[grant.slot];
        if (epoch == grant.epoch)
            continue;
        epoch = grant.epoch;
        ownedSince = grant.epoch.value > 1 ? wallNow() : Millis(0);
    }
    setSlots(coordinator.renewer, std::move(slots), now);
}

void Coordinators::refuseQueued(Coordinator& coordinator, RefusalReason reason)
{
    for (const auto& it : drainWaiting(coordinator.queue))
        finish(coordinator, it.id, notRun(reason));
}

void Coordinators::tick()
{
    const Millis now = monotonicNow();
    for (auto& [name, coordinator] : m_byUpstream) {
        renewIfDue(*coordinator, now);
        for (const auto& it : dropLate(coordinator->queue, coordinator->policy, now))
            finish(*coordinator, it.id, notRun(RefusalReason::deadlinePassed));
        reportIfLost(*coordinator, now);
        probeIfDue(*coordinator, now);
        refuseRunningAtLost(*coordinator, now);
        startQueued(*coordinator);
    }
}

void Coordinators::renewIfDue(Coordinator& coordinator, Millis now)
{
    const RenewerTiming timing { limit(m_context, &Limits::grantTtlMs), limit(m_context, &Limits::renewalIntervalMs),
        limit(m_context, &Limits::renewalTimeoutMs) };
    const auto renewal = dueRenewal(coordinator.renewer, timing, now);
    if (!renewal)
        return;
    m_context.http.start(renewalCall(coordinator.upstream, *renewal, timing.timeout),
        [this, name = coordinator.upstream.name, sent = *renewal](
            const HttpOutcome& outcome) { onRenewalOutcome(name, sent, outcome); });
}

void Coordinators::onRenewalOutcome(const UpstreamName& name, const Renewal& sent, const HttpOutcome& outcome)
{
    Coordinator* coordinator = find(name);
    if (!coordinator)
        return;
    const Millis now = monotonicNow();
    const RenewerTiming timing { limit(m_context, &Limits::grantTtlMs), limit(m_context, &Limits::renewalIntervalMs),
        limit(m_context, &Limits::renewalTimeoutMs) };
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    const auto reply = answer && answer->status == 200 ? decodeRenewalReply(answer->body) : std::nullopt;
    m_context.metrics.count("pistachiospur_renewals_total",
        { { "result",
            reply && reply->verdict == RenewalVerdict::accepted ? "accepted"
                : reply                                         ? "refused"
                                                                : "failed" } });
    if (!reply) {
        onRenewalFailed(coordinator->renewer, sent, timing, now);
    } else {
        const auto change = onRenewalReply(coordinator->renewer, sent, *reply, timing, now);
        if (change == RenewerChange::established)
            onEstablished(*coordinator);
        if (change == RenewerChange::displaced) {
            logInfo("stopped coordinating " + name + ": another host has a higher term");
            refuseQueued(*coordinator, RefusalReason::notCoordinator);
        }
    }
    renewIfDue(*coordinator, now);
    reportIfLost(*coordinator, now);
    startQueued(*coordinator);
}

// From now on only this host starts requests at the upstream. It doesn't know which requests other hosts ran before.
void Coordinators::onEstablished(Coordinator& coordinator)
{
    coordinator.establishedAt = wallNow();
    coordinator.reportedLost = false;
    logInfo("coordinating " + coordinator.upstream.name + " with term " + std::to_string(coordinator.renewer.term.value)
        + ", " + std::to_string(coordinator.renewer.wantedSlots.size()) + " slots");
}

// Asks a lost upstream for a challenge, which does not extend a grant, and reports to the planner if it answers.
void Coordinators::probeIfDue(Coordinator& coordinator, Millis now)
{
    if (!coordinator.probing || now < coordinator.nextProbeAt)
        return;
    coordinator.nextProbeAt = now + limit(m_context, &Limits::renewalIntervalMs);
    const Renewal renewal { coordinator.renewer.holder, coordinator.renewer.term, {}, 0, false, {} };
    m_context.http.start(renewalCall(coordinator.upstream, renewal, limit(m_context, &Limits::renewalTimeoutMs)),
        [this, name = coordinator.upstream.name](const HttpOutcome& outcome) {
            Coordinator* probed = find(name);
            if (probed && probed->probing && std::holds_alternative<HttpAnswer>(outcome))
                sendReport(*probed, false);
        });
}

// Reports an upstream that no longer answers to the planner.
void Coordinators::reportIfLost(Coordinator& coordinator, Millis now)
{
    if (now < coordinator.nextReportAt || !coordinator.renewer.coordinating || !looksLost(coordinator.renewer))
        return;
    coordinator.nextReportAt = now + kReportInterval;
    if (!coordinator.reportedLost)
        logWarning("upstream " + coordinator.upstream.name + " lost: " + std::to_string(coordinator.renewer.unanswered)
            + " renewals unanswered, its " + std::to_string(coordinator.renewer.wantedSlots.size())
            + " slots cannot move until its grant has expired");
    coordinator.reportedLost = true;
    sendReport(coordinator, true);
}

void Coordinators::sendReport(Coordinator& coordinator, bool lost)
{
    const auto record = m_context.view.ownership.upstreams.find(coordinator.upstream.name);
    if (record == m_context.view.ownership.upstreams.end())
        return;
    if (coordinator.reportedFence != record->second.fence)
        coordinator.reportsSent = 0;
    coordinator.reportedFence = record->second.fence;
    const HostName planner = plannerOf(m_context, coordinator.service, coordinator.reportsSent++ / kReportsPerPlanner);
    m_context.send(planner, UpstreamReport { coordinator.service, coordinator.upstream.name, lost });
}

RenewalStopped Coordinators::stopRenewing(const StopRenewing& request)
{
    const Millis now = monotonicNow();
    Coordinator* coordinator = &findOrCreate(request.upstream);
    coordinator->promisedFence = std::max(coordinator->promisedFence, request.fence);
    stopCoordinating(coordinator->renewer);
    refuseQueued(*coordinator, RefusalReason::noOwner);
    return { request.upstream, request.fence, grantRemaining(coordinator->renewer, now) };
}

// When this host's last grant to a lost upstream has expired, the requests that were running there get no answer any
// more and are refused. They may have been executed.
void Coordinators::refuseRunningAtLost(Coordinator& coordinator, Millis now)
{
    if (!coordinator.probing || coordinator.jobs.empty() || grantRemaining(coordinator.renewer, now).count() > 0)
        return;
    // Collected first, because `finish` erases from `jobs`.
    std::vector<JobId> running;
    for (const auto& [id, job] : coordinator.jobs) {
        if (job.running)
            running.push_back(id);
    }
    for (const auto id : running) {
        m_context.http.cancel(coordinator.jobs.at(id).call);
        finish(coordinator, id, maybeRun(RefusalReason::upstreamLost));
    }
}

ReleaseReport Coordinators::reportRelease(const UpstreamName& name)
{
    const Renewer& renewer = findOrCreate(name).renewer;
    return { name,
        { m_context.replica.revision, renewer.coordinating, isSettled(renewer),
            grantRemaining(renewer, monotonicNow()) } };
}

void Coordinators::publishMetrics()
{
    double coordinated = 0;
    for (const auto& [name, coordinator] : m_byUpstream) {
        coordinated += coordinator->renewer.established;
        m_context.metrics.set("pistachiospur_upstream_waiting", { { "upstream", name } },
            static_cast<double>(waitingCount(coordinator->queue)));
        m_context.metrics.set("pistachiospur_upstream_running", { { "upstream", name } },
            static_cast<double>(coordinator->queue.running));
    }
    m_context.metrics.set("pistachiospur_coordinated_upstreams", {}, coordinated);
}

} // namespace pistachiospur
