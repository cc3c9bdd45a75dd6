#include "planner.h"

#include "coordinator.h"
#include "observe/log.h"
#include "ownership/plan.h"

#include <algorithm>

namespace pistachiospur {

namespace {

constexpr Millis kAskAgain { 50 };
constexpr Millis kReportLife { 1000 };
// A host that is not the first in order plans for so long after a report that others did not act on.
constexpr Millis kStandInLife { 5000 };
constexpr Millis kWritePatience { 3000 };
// A table with nothing to do is looked through again after so long even if it has not changed.
constexpr Millis kQuietLife { 5000 };
// Pages in one conditional write, with room for the records that guard it.
constexpr std::size_t kPagesPerWrite = 100;

} // namespace

Planner::Planner(Node& node)
    : m_node(node)
{
}

void Planner::tick()
{
    // A host that has only just read the list may take itself for the only one.
    const Millis settledAt = m_node.members.listReadAt + limit(m_node, &Limits::deadAfterMs);
    if (!m_node.readFromStore || m_node.stopping || !m_node.members.listRead || monotonicNow() < settledAt)
        return;
    const auto& configuration = m_node.view.configuration;
    for (const auto& [name, placement] : configuration.placements) {
        const auto service = configuration.services.find(placement.service);
        if (service == configuration.services.end())
            continue;
        const bool first = plannerOf(m_node, placement.service) == m_node.members.self;
        if (first || monotonicNow() < m_services[placement.service].standInUntil)
            planService(placement, service->second);
    }
}

// At most one write at a time for a service, most urgent first, each planned on what the last one left.
void Planner::planService(const Placement& placement, const Service& service)
{
    ServiceState& state = m_services[service.name];
    const Millis now = monotonicNow();
    if (state.writing && now < state.writeUntil)
        return;
    if (m_node.replica.revision < state.awaited && now < state.writeUntil)
        return;
    if (keepRecords(placement) || markUpstreams(state, placement))
        return;
    // Nothing below depends on more than the table while no move is under way.
    if (state.quietAt == m_node.replica.revision && now < state.quietUntil)
        return;
    const bool wrote = recover(state, placement, service) || release(state, service) || move(placement, service);
    const bool quiet = !wrote && state.recoveries.empty() && state.releases.empty();
    state.quietAt = quiet ? m_node.replica.revision : StoreRevision {};
    state.quietUntil = now + kQuietLife;
}

// The platform's list may drop a host a little before its last order has lost its force.
bool Planner::isGone(const HostName& host) const
{
    return goneFor(m_node.members, host, monotonicNow()) > limit(m_node, &Limits::grantTtlMs) + kClockRateMargin;
}

// Records and renewers ---------------------------------------------------------------------------------------------

// Renewers that are still listed stay, since taking one away needs its consent; new ones are added up to the number.
std::vector<HostName> Planner::wantedRenewers(const UpstreamRecord* record, const Upstream& upstream) const
{
    std::vector<HostName> wanted;
    if (record) {
        std::copy_if(record->renewers.begin(), record->renewers.end(), std::back_inserter(wanted),
            [&](const HostName& it) { return !isGone(it); });
    }
    if (wanted.size() == kRenewers)
        return wanted;
    for (const auto& it : chooseRenewers(upstream.name, liveHosts(m_node.members, upstream.dataCentre))) {
        if (wanted.size() < kRenewers && std::find(wanted.begin(), wanted.end(), it) == wanted.end())
            wanted.push_back(it);
    }
    return wanted;
}

bool Planner::keepRecords(const Placement& placement)
{
    ConditionalWrite change;
    for (const auto& name : placement.upstreams) {
        const auto object = m_node.view.configuration.upstreams.find(name);
        const auto found = m_node.view.ownership.upstreams.find(name);
        const bool exists = found != m_node.view.ownership.upstreams.end();
        if (object == m_node.view.configuration.upstreams.end() || change.puts.size() >= kPagesPerWrite / 2)
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
    state.standInUntil = monotonicNow() + kStandInLife;
    (report.lost ? state.lost : state.back)[report.upstream] = monotonicNow();
    tick();
}

// Each change of standing raises the fence, so that a promise not to renew names one standing and no later one.
bool Planner::markUpstreams(ServiceState& state, const Placement& placement)
{
    const Millis now = monotonicNow();
    ConditionalWrite change;
    for (const auto& name : placement.upstreams) {
        const auto found = m_node.view.ownership.upstreams.find(name);
        if (found == m_node.view.ownership.upstreams.end())
            continue;
        UpstreamRecord record = found->second;
        const bool serving = record.state == UpstreamState::serving;
        auto& reports = serving ? state.lost : state.back;
        const auto report = reports.find(name);
        const bool reported = report != reports.end() && now < report->second + kReportLife;
        reports.erase(name);
        const bool orphaned = serving
            && std::all_of(
                record.renewers.begin(), record.renewers.end(), [&](const HostName& it) { return isGone(it); });
        if (!reported && !orphaned)
            continue;
        record.state = serving ? UpstreamState::lost : UpstreamState::serving;
        record.fence = record.fence.next();
        logInfo("marking " + name + (serving ? " lost" : " serving"));
        change.expected.push_back({ upstreamKey(name), record.version });
        change.puts.push_back({ upstreamKey(name), encodeUpstream(record) });
    }
    if (change.puts.empty())
        return false;
    write(placement.service, "standing", change);
    return true;
}

std::vector<UpstreamName> Planner::targets(const Placement& placement) const
{
    std::vector<UpstreamName> names;
    for (const auto& it : eligibleUpstreams(m_node.view.configuration, placement)) {
        const auto record = m_node.view.ownership.upstreams.find(it);
        if (record != m_node.view.ownership.upstreams.end() && record->second.state == UpstreamState::serving)
            names.push_back(it);
    }
    std::sort(names.begin(), names.end());
    return names;
}

// Unplanned moves --------------------------------------------------------------------------------------------------

void Planner::askRenewers(const std::set<HostName>& hosts, const Message& question, std::set<HostName>& gone)
{
    for (const auto& it : hosts) {
        if (isGone(it))
            gone.insert(it);
        else
            m_node.send(it, question);
    }
}

bool Planner::recover(ServiceState& state, const Placement& placement, const Service& service)
{
    const Millis now = monotonicNow();
    const bool ask = now >= state.askedAt + kAskAgain;
    std::map<UpstreamName, std::size_t> counts;
    std::map<UpstreamName, Recovery> kept;
    const bool anyLost = std::any_of(m_node.view.ownership.upstreams.begin(), m_node.view.ownership.upstreams.end(),
        [](const auto& it) { return it.second.state == UpstreamState::lost; });
    if (anyLost)
        counts = ownedCounts(m_node.view.ownership, service.name);
    for (const auto& [name, record] : m_node.view.ownership.upstreams) {
        if (record.state != UpstreamState::lost || !counts.count(name))
            continue;
        const auto it = state.recoveries.find(name);
        const bool same = it != state.recoveries.end() && it->second.recordVersion == record.version;
        Recovery recovery = same ? it->second : beginRecovery(record, now);
        if (ask || !same) {
            std::set<HostName> gone;
            askRenewers(recovery.awaited, StopRenewing { name, recovery.fence }, gone);
            for (const auto& host : gone)
                onRenewerGone(recovery, host, limit(m_node, &Limits::grantTtlMs), now);
            state.askedAt = now;
        }
        kept[name] = recovery;
    }
    state.recoveries = std::move(kept);
    for (auto& [name, recovery] : state.recoveries) {
        if (advance(recovery, now) != RecoveryPhase::assigning)
            continue;
        const auto changes = reassign(m_node.view.ownership, service.name, name, targets(placement), service.slots);
        if (changes.empty())
            continue;
        logInfo("giving " + std::to_string(changes.size()) + " slots of " + name + " to others");
        write(service.name, "recovery", pageWrite(service.name, changes, { name }));
        return true;
    }
    return false;
}

void Planner::onStopped(const HostName& from, const RenewalStopped& stopped)
{
    for (auto& [service, state] : m_services) {
        const auto it = state.recoveries.find(stopped.upstream);
        if (it != state.recoveries.end())
            onRenewerStopped(it->second, from, stopped.fence, stopped.remaining, monotonicNow());
    }
    tick();
}

// Planned moves ----------------------------------------------------------------------------------------------------

bool Planner::release(ServiceState& state, const Service& service)
{
    const Millis now = monotonicNow();
    const bool ask = now >= state.askedAt + kAskAgain;
    const auto& ownership = m_node.view.ownership;
    std::map<UpstreamName, Release> kept;
    for (const auto& name : movingUpstreams(ownership, service.name)) {
        const auto found = ownership.upstreams.find(name);
        if (found == ownership.upstreams.end())
            continue;
        const UpstreamRecord& record = found->second;
        const auto moves = completeMoves(ownership, service.name, name);
        if (moves.empty() || record.state != UpstreamState::serving)
            continue;
        Release release = state.releases[name];
        followRelease(release, record, moves, m_node.replica.revision);
        std::set<HostName> gone;
        if (ask)
            askRenewers(release.awaited, ReleaseQuery { name }, gone);
        for (const auto& host : gone)
            onReleaseRenewerGone(release, host);
        kept[name] = std::move(release);
    }
    if (ask && !kept.empty())
        state.askedAt = now;
    state.releases = std::move(kept);
    for (const auto& [name, release] : state.releases) {
        if (!isReleased(release))
            continue;
        logInfo("moving " + std::to_string(release.moves.size()) + " slots away from " + name);
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
            onRenewerStanding(it->second, from, report.status);
    }
    tick();
}

// Unowned slots get an owner at once; owned ones are marked as moving first.
bool Planner::move(const Placement& placement, const Service& service)
{
    auto& ownership = m_node.view.ownership;
    std::vector<SlotChange> changes;
    for (const auto& it : planMoves(ownership, service.name, { service.slots, targets(placement) })) {
        const auto& slots = ownership.services[service.name].slots;
        const SlotRecord old = it.slot.value < slots.size() ? slots[it.slot.value] : SlotRecord {};
        const auto to = ownership.names.indexOf(it.to);
        if (old.owner == kNoUpstream) {
            changes.push_back({ it.slot, { to, kNoUpstream, old.epoch.next() } });
            continue;
        }
        const auto record = ownership.upstreams.find(it.from);
        const bool serving = record != ownership.upstreams.end() && record->second.state == UpstreamState::serving;
        if (serving && old.movingTo == kNoUpstream)
            changes.push_back({ it.slot, { old.owner, to, old.epoch } });
    }
    if (changes.empty())
        return false;
    logInfo("placing " + std::to_string(changes.size()) + " slots of " + service.name);
    write(service.name, "placement", pageWrite(service.name, changes, {}));
    return true;
}

// Writing ----------------------------------------------------------------------------------------------------------

ConditionalWrite Planner::pageWrite(
    const ServiceName& service, const std::vector<SlotChange>& changes, const std::set<UpstreamName>& guardedBy) const
{
    const auto& ownership = m_node.view.ownership;
    ConditionalWrite change;
    std::map<std::uint32_t, std::vector<SlotChange>> pages;
    for (const auto& it : changes)
        pages[pageOf(it.slot)].push_back(it);
    const auto table = ownership.services.find(service);
    for (auto& [page, list] : pages) {
        if (change.puts.size() >= kPagesPerWrite)
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
    state.writeUntil = monotonicNow() + kWritePatience;
    m_node.metrics.count("pistachiospur_store_calls_total");
    m_node.store.write(change, [this, service, kind](const WriteResult& result) {
        ServiceState& state = m_services[service];
        state.writing = false;
        const bool written = std::holds_alternative<Written>(result);
        const bool conflict = std::holds_alternative<WriteConflict>(result);
        m_node.metrics.count("pistachiospur_plan_writes_total",
            { { "kind", kind },
                { "result",
                    written        ? "written"
                        : conflict ? "conflict"
                                   : "failed" } });
        if (written)
            state.awaited = std::get<Written>(result).revision;
        else if (conflict)
            state.awaited = std::get<WriteConflict>(result).revision;
        else
            m_node.metrics.count("pistachiospur_store_failures_total");
    });
}

} // namespace pistachiospur
