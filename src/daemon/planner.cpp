#include "planner.h"

#include "coordinator.h"
#include "observe/log.h"
#include "ownership/plan.h"

#include <algorithm>

namespace pistachiospur {

namespace {

// Time between queries to the same renewers.
constexpr Millis kQueryInterval { 50 };
// Reports older than this are ignored.
constexpr Millis kReportTtl { 1000 };
// How long a host that is not the first planner plans after it got a report. Coordinators send it reports only when the
// planners before it did not act on theirs.
constexpr Millis kBackupPlannerTime { 5000 };
constexpr Millis kWriteTimeout { 3000 };
// A service that needed no step is checked again after this time, even if the store has not changed.
constexpr Millis kIdleRecheckInterval { 5000 };
// Max pages in one conditional write. Leaves room within kMaxWriteOperations for the records that guard the write.
constexpr std::size_t kMaxPagesPerWrite = 100;

} // namespace

Planner::Planner(HostContext& context)
    : m_context(context)
{
}

void Planner::tick()
{
    // A host that has only just read the host list may assume that it is the only live host.
    const Millis settledAt = m_context.members.firstListReadAt + limit(m_context, &Limits::deadAfterMs);
    if (!m_context.hasReadStore || m_context.stopping || !m_context.members.listRead || monotonicNow() < settledAt)
        return;
    const auto& configuration = m_context.view.configuration;
    for (const auto& [name, placement] : configuration.placements) {
        const auto service = configuration.services.find(placement.service);
        if (service == configuration.services.end())
            continue;
        const bool first = plannerOf(m_context, placement.service) == m_context.members.self;
        if (first || monotonicNow() < m_services[placement.service].backupUntil)
            planService(placement, service->second);
    }
}

// Starts at most one write, for the most urgent step. Waits until the replica includes the previous write.
void Planner::planService(const Placement& placement, const Service& service)
{
    ServiceState& state = m_services[service.name];
    const Millis now = monotonicNow();
    if (state.writing && now < state.writeUntil)
        return;
    if (m_context.replica.revision < state.writtenRevision && now < state.writeUntil)
        return;
    if (updateRenewers(placement) || updateUpstreamStates(state, placement))
        return;
    // While no move or recovery is in progress, the steps below depend only on the stored records.
    if (state.idleRevision == m_context.replica.revision && now < state.idleUntil)
        return;
    const bool wrote = recover(state, placement, service) || release(state, service) || startMoves(placement, service);
    const bool idle = !wrote && state.recoveries.empty() && state.releases.empty();
    state.idleRevision = idle ? m_context.replica.revision : StoreRevision {};
    state.idleUntil = now + kIdleRecheckInterval;
}

// The platform's list may drop a host while its last grant is still in force, so the grant TTL is waited out.
bool Planner::isRemoved(const HostName& host) const
{
    return unlistedFor(m_context.members, host, monotonicNow())
        > limit(m_context, &Limits::grantTtlMs) + kClockRateMargin;
}

// Upstream records and renewers ---------------------------------------------------------------------------------------

// Keeps the renewers that are still listed, because removing one needs its promise not to renew. Adds new ones up to
// kMaxRenewers.
std::vector<HostName> Planner::wantedRenewers(const UpstreamRecord* record, const Upstream& upstream) const
{
    std::vector<HostName> wanted;
    if (record) {
        std::copy_if(record->renewers.begin(), record->renewers.end(), std::back_inserter(wanted),
            [&](const HostName& host) { return !isRemoved(host); });
    }
    if (wanted.size() == kMaxRenewers)
        return wanted;
    for (const auto& it : chooseRenewers(upstream.name, liveHosts(m_context.members, upstream.dataCentre))) {
        if (wanted.size() < kMaxRenewers && std::find(wanted.begin(), wanted.end(), it) == wanted.end())
            wanted.push_back(it);
    }
    return wanted;
}

bool Planner::updateRenewers(const Placement& placement)
{
    ConditionalWrite change;
    for (const auto& name : placement.upstreams) {
        const auto object = m_context.view.configuration.upstreams.find(name);
        const auto found = m_context.view.ownership.upstreams.find(name);
        const bool exists = found != m_context.view.ownership.upstreams.end();
        if (object == m_context.view.configuration.upstreams.end() || change.puts.size() >= kMaxPagesPerWrite / 2)
            continue;
        UpstreamRecord record = exists ? found->second : UpstreamRecord { UpstreamState::serving, Fence { 1 }, {}, {} };
        record.renewers = wantedRenewers(exists ? &found->second : nullptr, object->second);
        if (record.renewers.empty() || (exists && record == found->second))
            continue;
        change.expected.push_back({ upstreamKey(name), record.version });
        change.puts.push_back({ upstreamKey(name), encodeUpstream(record) });
    }
    if (change.puts.empty())
        return false;
    write(placement.service, "renewers", change);
    return true;
}

void Planner::onReport(const UpstreamReport& report)
{
    ServiceState& state = m_services[report.service];
    state.backupUntil = monotonicNow() + kBackupPlannerTime;
    (report.lost ? state.lostReports : state.recoveredReports)[report.upstream] = monotonicNow();
    tick();
}

// Each change of an upstream's state raises the fence, so that a promise not to renew applies to one state and to no
// later one.
bool Planner::updateUpstreamStates(ServiceState& state, const Placement& placement)
{
    const Millis now = monotonicNow();
    ConditionalWrite change;
    for (const auto& name : placement.upstreams) {
        const auto found = m_context.view.ownership.upstreams.find(name);
        if (found == m_context.view.ownership.upstreams.end())
            continue;
        UpstreamRecord record = found->second;
        const bool serving = record.state == UpstreamState::serving;
        auto& reports = serving ? state.lostReports : state.recoveredReports;
        const auto report = reports.find(name);
        const bool reported = report != reports.end() && now < report->second + kReportTtl;
        reports.erase(name);
        const bool allRenewersRemoved = serving
            && std::all_of(
                record.renewers.begin(), record.renewers.end(), [&](const HostName& it) { return isRemoved(it); });
        if (!reported && !allRenewersRemoved)
            continue;
        record.state = serving ? UpstreamState::lost : UpstreamState::serving;
        record.fence = record.fence.next();
        logInfo("marking upstream " + name + (serving ? " as lost" : " as serving"));
        change.expected.push_back({ upstreamKey(name), record.version });
        change.puts.push_back({ upstreamKey(name), encodeUpstream(record) });
    }
    if (change.puts.empty())
        return false;
    write(placement.service, "standing", change);
    return true;
}

std::vector<UpstreamName> Planner::targetUpstreams(const Placement& placement) const
{
    std::vector<UpstreamName> names;
    for (const auto& it : eligibleUpstreams(m_context.view.configuration, placement)) {
        const auto record = m_context.view.ownership.upstreams.find(it);
        if (record != m_context.view.ownership.upstreams.end() && record->second.state == UpstreamState::serving)
            names.push_back(it);
    }
    std::sort(names.begin(), names.end());
    return names;
}

// Recovery of a lost upstream's slots ---------------------------------------------------------------------------------

void Planner::queryRenewers(const std::set<HostName>& hosts, const Message& query, std::set<HostName>& removed)
{
    for (const auto& it : hosts) {
        if (isRemoved(it))
            removed.insert(it);
        else
            m_context.send(it, query);
    }
}

bool Planner::recover(ServiceState& state, const Placement& placement, const Service& service)
{
    const Millis now = monotonicNow();
    const bool queryDue = now >= state.queriedAt + kQueryInterval;
    std::map<UpstreamName, std::size_t> counts;
    std::map<UpstreamName, Recovery> recoveries;
    const bool anyLost
        = std::any_of(m_context.view.ownership.upstreams.begin(), m_context.view.ownership.upstreams.end(),
            [](const auto& it) { return it.second.state == UpstreamState::lost; });
    if (anyLost)
        counts = ownedCounts(m_context.view.ownership, service.name);
    for (const auto& [name, record] : m_context.view.ownership.upstreams) {
        if (record.state != UpstreamState::lost || !counts.count(name))
            continue;
        const auto it = state.recoveries.find(name);
        const bool same = it != state.recoveries.end() && it->second.recordVersion == record.version;
        Recovery recovery = same ? it->second : beginRecovery(record, now);
        if (queryDue || !same) {
            std::set<HostName> removed;
            queryRenewers(recovery.awaitedRenewers, StopRenewing { name, recovery.fence }, removed);
            for (const auto& host : removed)
                onRenewerRemoved(recovery, host, limit(m_context, &Limits::grantTtlMs), now);
            state.queriedAt = now;
        }
        recoveries[name] = recovery;
    }
    state.recoveries = std::move(recoveries);
    for (auto& [name, recovery] : state.recoveries) {
        if (advance(recovery, now) != RecoveryPhase::assigning)
            continue;
        const auto changes
            = reassign(m_context.view.ownership, service.name, name, targetUpstreams(placement), service.slots);
        if (changes.empty())
            continue;
        logInfo("reassigning " + std::to_string(changes.size()) + " slots of lost upstream " + name);
        write(service.name, "recovery", pageWrite(service.name, changes, { name }));
        return true;
    }
    return false;
}

void Planner::onRenewalStopped(const HostName& from, const RenewalStopped& stopped)
{
    for (auto& [service, state] : m_services) {
        const auto it = state.recoveries.find(stopped.upstream);
        if (it != state.recoveries.end())
            onRenewerStopped(it->second, from, stopped.fence, stopped.remaining, monotonicNow());
    }
    tick();
}

// Planned moves -------------------------------------------------------------------------------------------------------

bool Planner::release(ServiceState& state, const Service& service)
{
    const Millis now = monotonicNow();
    const bool queryDue = now >= state.queriedAt + kQueryInterval;
    const auto& ownership = m_context.view.ownership;
    std::map<UpstreamName, Release> releases;
    for (const auto& name : movingUpstreams(ownership, service.name)) {
        const auto found = ownership.upstreams.find(name);
        if (found == ownership.upstreams.end())
            continue;
        const UpstreamRecord& record = found->second;
        const auto moves = completeMoves(ownership, service.name, name);
        if (moves.empty() || record.state != UpstreamState::serving)
            continue;
        Release release = state.releases[name];
        updateRelease(release, record, moves, m_context.replica.revision);
        std::set<HostName> removed;
        if (queryDue)
            queryRenewers(release.awaitedRenewers, ReleaseQuery { name }, removed);
        for (const auto& host : removed)
            onReleaseRenewerRemoved(release, host);
        releases[name] = std::move(release);
    }
    if (queryDue && !releases.empty())
        state.queriedAt = now;
    state.releases = std::move(releases);
    for (const auto& [name, release] : state.releases) {
        if (!isReleased(release))
            continue;
        logInfo("completing the move of " + std::to_string(release.moves.size()) + " slots from upstream " + name);
        write(service.name, "move", pageWrite(service.name, release.moves, { name }));
        return true;
    }
    return false;
}

void Planner::onReleaseReport(const HostName& from, const ReleaseReport& report)
{
    for (auto& [service, state] : m_services) {
        const auto it = state.releases.find(report.upstream);
        if (it != state.releases.end())
            onRenewerStatus(it->second, from, report.status);
    }
    tick();
}

// Assigns unowned slots at once. Slots with an owner are only marked as moving; `release` completes the move.
bool Planner::startMoves(const Placement& placement, const Service& service)
{
    auto& ownership = m_context.view.ownership;
    std::vector<SlotChange> changes;
    for (const auto& planned : planMoves(ownership, service.name, { service.slots, targetUpstreams(placement) })) {
        const auto& slots = ownership.services[service.name].slots;
        const SlotRecord present = planned.slot.value < slots.size() ? slots[planned.slot.value] : SlotRecord {};
        const auto to = ownership.names.indexOf(planned.to);
        if (present.owner == kNoUpstream) {
            changes.push_back({ planned.slot, { to, kNoUpstream, present.epoch.next() } });
            continue;
        }
        const auto record = ownership.upstreams.find(planned.from);
        const bool serving = record != ownership.upstreams.end() && record->second.state == UpstreamState::serving;
        if (serving && present.movingTo == kNoUpstream)
            changes.push_back({ planned.slot, { present.owner, to, present.epoch } });
    }
    if (changes.empty())
        return false;
    logInfo("assigning or starting to move " + std::to_string(changes.size()) + " slots of service " + service.name);
    write(service.name, "placement", pageWrite(service.name, changes, {}));
    return true;
}

// Writing -------------------------------------------------------------------------------------------------------------

// The write of changed slots, page by page. It is conditional on the pages and on the records of `guardedBy`. Pages
// over the limit are left for the next step.
ConditionalWrite Planner::pageWrite(
    const ServiceName& service, const std::vector<SlotChange>& changes, const std::set<UpstreamName>& guardedBy) const
{
    const auto& ownership = m_context.view.ownership;
    ConditionalWrite change;
    std::map<std::uint32_t, std::vector<SlotChange>> pages;
    for (const auto& it : changes)
        pages[pageOf(it.slot)].push_back(it);
    const auto table = ownership.services.find(service);
    for (auto& [page, list] : pages) {
        if (change.puts.size() >= kMaxPagesPerWrite)
            break;
        const bool exists = table != ownership.services.end() && page < table->second.pageVersions.size();
        change.expected.push_back(
            { pageKey(service, page), exists ? table->second.pageVersions[page] : StoreRevision {} });
        change.puts.push_back({ pageKey(service, page), encodePage(ownership, service, page, list) });
    }
    for (const auto& it : guardedBy)
        change.expected.push_back({ upstreamKey(it), ownership.upstreams.at(it).version });
    return change;
}

void Planner::write(const ServiceName& service, const char* kind, const ConditionalWrite& change)
{
    ServiceState& state = m_services[service];
    state.writing = true;
    state.writeUntil = monotonicNow() + kWriteTimeout;
    m_context.metrics.count("pistachiospur_store_calls_total");
    m_context.store.write(change, [this, service, kind](const WriteResult& result) {
        ServiceState& state = m_services[service];
        state.writing = false;
        const bool written = std::holds_alternative<Written>(result);
        const bool conflict = std::holds_alternative<WriteConflict>(result);
        m_context.metrics.count("pistachiospur_plan_writes_total",
            { { "kind", kind },
                { "result",
                    written        ? "written"
                        : conflict ? "conflict"
                                   : "failed" } });
        if (written)
            state.writtenRevision = std::get<Written>(result).revision;
        else if (conflict)
            state.writtenRevision = std::get<WriteConflict>(result).revision;
        else
            m_context.metrics.count("pistachiospur_store_failures_total");
    });
}

} // namespace pistachiospur
