#include "simulation.h"

#include <algorithm>

namespace pistachiospur {

namespace {

const ServiceName kService = "service";
constexpr std::uint32_t kSlots = 4;
constexpr Millis kTtl { 1000 };
const RenewerTiming kTiming { kTtl, Millis(250), Millis(250) };

} // namespace

Simulation::Simulation(std::uint64_t seed, Guard disabledGuard)
    : m_random(seed)
    , m_disabledGuard(disabledGuard)
{
    for (const char* name : { "a", "b", "c" }) {
        SimulatedUpstream upstream;
        upstream.name = name;
        upstream.clockOffset = Millis(pick(50000));
        m_upstreams.push_back(upstream);
    }
    for (const char* name : { "h1", "h2", "h3" }) {
        SimulatedHost host;
        host.name = name;
        host.clockOffset = Millis(pick(50000));
        m_hosts.push_back(host);
    }
    std::vector<std::pair<std::string, std::string>> records;
    for (const auto& it : m_upstreams)
        records.emplace_back(
            upstreamKey(it.name), encodeUpstream({ UpstreamState::serving, Fence { 1 }, { "h1", "h2", "h3" }, {} }));
    write({}, records);
    for (auto& it : m_hosts)
        replicate(it, 100);
}

void Simulation::send(Delivery message)
{
    auto& queue = m_injectsFaults && pick(30) == 0 ? m_delayedMessages : m_messages;
    queue.push_back(std::move(message));
}

void Simulation::deliverOneMessage()
{
    if (m_messages.empty())
        return;
    const auto n = pick(static_cast<std::uint32_t>(m_messages.size()));
    const Delivery message = m_messages[n];
    const bool duplicated = m_injectsFaults && pick(20) == 0;
    const bool lost = m_injectsFaults && pick(20) == 0;
    if (!duplicated)
        m_messages.erase(m_messages.begin() + n);
    if (!lost)
        message();
}

// Most steps make progress. Faults are rare enough for grants to be renewed and slots to move in between.
void Simulation::step()
{
    m_now += Millis(pick(10));
    const auto choice = pick(100);
    if (choice < 30) {
        tickHost(anyHost());
    } else if (choice < 65) {
        for (auto n = pick(8); n > 0; --n)
            deliverOneMessage();
    } else if (choice < 80) {
        plan(anyHost());
    } else if (choice < 98) {
        replicate(anyHost(), 1 + pick(3));
    } else {
        injectFault();
    }
}

void Simulation::injectFault()
{
    switch (pick(6)) {
    case 0:
        m_now += Millis(pick(300));
        break;
    case 1: {
        m_preferredHost = pick(3);
        SimulatedHost& host = anyHost();
        host.paused = !host.paused;
        break;
    }
    case 2: {
        auto& upstream = m_upstreams[pick(static_cast<std::uint32_t>(m_upstreams.size()))];
        upstream.up = !upstream.up;
        if (pick(3) == 0)
            upstream.grant = {}; // the upstream restarts and loses its grant
        break;
    }
    case 3:
        m_storeUp = !m_storeUp || pick(2) == 0;
        break;
    case 4:
        restartHost(anyHost());
        break;
    case 5: // the delayed messages become deliverable
        m_messages.insert(m_messages.end(), m_delayedMessages.begin(), m_delayedMessages.end());
        m_delayedMessages.clear();
        break;
    }
}

// A restarted host has lost all its state. It may plan and renew only after it has read the store itself.
void Simulation::restartHost(SimulatedHost& host)
{
    SimulatedHost restarted;
    restarted.name = host.name;
    restarted.clockOffset = host.clockOffset;
    restarted.readFromStore = false;
    if (m_disabledGuard == Guard::readBeforeRenewing) {
        restarted.view = m_hosts[pick(3)].view; // copies the view of a random host
        restarted.readFromStore = true;
    }
    host = std::move(restarted);
    for (const auto& it : m_upstreams)
        host.renewers[it.name].renewer.grantBound = clockOf(host) + kTtl;
}

void Simulation::replicate(SimulatedHost& host, std::size_t maxBatches)
{
    if (host.paused || !m_storeUp)
        return;
    const std::size_t batches = host.readFromStore ? maxBatches : m_history.size();
    for (std::size_t n = 0; n < batches && host.applied.value < m_history.size(); ++n) {
        const ChangeBatch& batch = m_history[host.applied.value];
        for (const auto& change : batch.changes)
            applyRecord(host.view, change.key, *change.text, change.version);
        host.applied = batch.to;
    }
    host.readFromStore = true;
}

void Simulation::tickHost(SimulatedHost& host)
{
    if (host.paused)
        return;
    for (auto& upstream : m_upstreams)
        renew(host, upstream,
            m_injectsFaults ? (pick(8) != 0) == (&host == &m_hosts[m_preferredHost]) : &host == &m_hosts[0]);
}

// Whether a host considers itself the preferred coordinator is random, because safety must not depend on it.
void Simulation::renew(SimulatedHost& host, SimulatedUpstream& upstream, bool believesItIsPreferred)
{
    auto& [renewer, promisedFence] = host.renewers[upstream.name];
    renewer.holder = host.name + std::to_string(host.clockOffset.count());
    const auto record = host.view.upstreams.find(upstream.name);
    const Fence fence = m_disabledGuard == Guard::fencePromise ? Fence {} : promisedFence;
    const bool allowed
        = host.readFromStore && record != host.view.upstreams.end() && mayRenew(record->second, host.name, fence);
    if (!allowed || !believesItIsPreferred) {
        stopCoordinating(renewer);
        return;
    }
    startCoordinating(renewer, clockOf(host));
    setSlots(renewer, slotsToGrant(host.view, kService, upstream.name), clockOf(host));
    if (const auto renewal = dueRenewal(renewer, kTiming, clockOf(host)))
        send([this, &host, &upstream, renewal = *renewal] { deliverRenewal(host, upstream, renewal); });
}

void Simulation::deliverRenewal(SimulatedHost& host, SimulatedUpstream& upstream, const Renewal& renewal)
{
    if (!upstream.up)
        return;
    Renewal received = renewal;
    if (m_disabledGuard == Guard::challenge && renewal.challenge.value != 0) {
        received.challenge = upstream.grant.challenge; // any challenge is treated as the last one issued
        upstream.grant.challengeIssuedAt = clockOf(upstream);
    }
    const auto reply = answerRenewal(
        upstream.grant, received, Challenge { upstream.nextChallenge++ << 8 | 1 }, clockOf(upstream), kTtl);
    send([this, &host, &upstream, renewal, reply] {
        if (!host.paused)
            onRenewalReply(host.renewers[upstream.name].renewer, renewal, reply, kTiming, clockOf(host));
    });
}

// Planning ---------------------------------------------------------------------------------------------------------

void Simulation::plan(SimulatedHost& host)
{
    if (host.paused || !host.readFromStore)
        return;
    switch (pick(4)) {
    case 0:
    case 1:
        for (const auto& it : m_upstreams)
            planRecovery(host, it.name);
        break;
    case 2:
        planReleases(host);
        break;
    case 3:
        planSlotMoves(host);
        break;
    }
}

void Simulation::planRecovery(SimulatedHost& host, const UpstreamName& name)
{
    const auto found = host.view.upstreams.find(name);
    if (found == host.view.upstreams.end())
        return;
    UpstreamRecord record = found->second;
    const bool changesState = m_injectsFaults ? pick(record.state == UpstreamState::lost ? 20 : 40) == 0
                                              : record.state == UpstreamState::lost;
    if (changesState) {
        record.state = record.state == UpstreamState::lost ? UpstreamState::serving : UpstreamState::lost;
        record.fence = record.fence.next();
        write({ { upstreamKey(name), record.version } }, { { upstreamKey(name), encodeUpstream(record) } });
        return;
    }
    if (record.state != UpstreamState::lost) {
        host.recoveries.erase(name);
        return;
    }
    auto [it, inserted] = host.recoveries.try_emplace(name);
    if (inserted || it->second.recordVersion != record.version)
        it->second = beginRecovery(record, clockOf(host));
    Recovery& recovery = it->second;
    if (m_disabledGuard == Guard::allRenewersStopped)
        recovery.awaitedRenewers.clear();
    if (m_disabledGuard == Guard::ttlWait)
        recovery.expiresAt = clockOf(host);
    for (auto& renewer : m_hosts) {
        if (!recovery.awaitedRenewers.count(renewer.name))
            continue;
        send([this, &host, &renewer, name, fence = recovery.fence] {
            if (renewer.paused)
                return;
            auto& [state, promisedFence] = renewer.renewers[name];
            promisedFence = std::max(promisedFence, fence);
            stopCoordinating(state);
            const Millis remaining = grantRemaining(state, clockOf(renewer));
            send([this, &host, name, fence, remaining, from = renewer.name] {
                const auto waiting = host.recoveries.find(name);
                if (!host.paused && waiting != host.recoveries.end())
                    onRenewerStopped(waiting->second, from, fence, remaining, clockOf(host));
            });
        });
    }
    if (advance(recovery, clockOf(host)) != RecoveryPhase::assigning)
        return;
    std::vector<UpstreamName> targets;
    for (const auto& [other, otherRecord] : host.view.upstreams) {
        if (otherRecord.state == UpstreamState::serving)
            targets.push_back(other);
    }
    writePages(host, reassign(host.view, kService, name, targets, kSlots), { name });
}

void Simulation::planReleases(SimulatedHost& host)
{
    for (const auto& [name, record] : host.view.upstreams) {
        const auto changes = completeMoves(host.view, kService, name);
        if (changes.empty() || record.state != UpstreamState::serving) {
            host.releases.erase(name);
            continue;
        }
        const auto it = host.releases.try_emplace(name).first;
        updateRelease(it->second, record, changes, host.applied);
        if (m_disabledGuard == Guard::renewersAppliedMarks)
            it->second.awaitedRenewers.clear();
        for (auto& renewer : m_hosts) {
            if (!it->second.awaitedRenewers.count(renewer.name))
                continue;
            send([this, &host, &renewer, upstream = name] {
                if (renewer.paused)
                    return;
                auto& state = renewer.renewers[upstream].renewer;
                setSlots(state, slotsToGrant(renewer.view, kService, upstream), clockOf(renewer));
                const RenewerStatus status { renewer.applied, state.coordinating, isSettled(state),
                    grantRemaining(state, clockOf(renewer)) };
                send([&host, upstream, status, from = renewer.name] {
                    const auto waiting = host.releases.find(upstream);
                    if (!host.paused && waiting != host.releases.end())
                        onRenewerStatus(waiting->second, from, status);
                });
            });
        }
        if (isReleased(it->second)) {
            writePages(host, changes, { name });
            host.releases.erase(name);
            return;
        }
    }
}

void Simulation::planSlotMoves(SimulatedHost& host)
{
    std::vector<UpstreamName> targets;
    for (const auto& [name, record] : host.view.upstreams) {
        if (record.state == UpstreamState::serving && (!m_injectsFaults || pick(8) != 0))
            targets.push_back(name);
    }
    std::vector<SlotChange> changes;
    for (const auto& move : planMoves(host.view, kService, { kSlots, targets })) {
        const auto& slots = host.view.services[kService].slots;
        const SlotRecord current = move.slot.value < slots.size() ? slots[move.slot.value] : SlotRecord {};
        const auto newOwner = host.view.names.indexOf(move.to);
        if (current.owner == kNoUpstream)
            changes.push_back({ move.slot, { newOwner, kNoUpstream, current.epoch.next() } });
        else if (host.view.upstreams[move.from].state == UpstreamState::serving && current.movingTo == kNoUpstream)
            changes.push_back({ move.slot, { current.owner, newOwner, current.epoch } });
    }
    writePages(host, changes, {});
}

bool Simulation::writePages(
    SimulatedHost& host, const std::vector<SlotChange>& changes, const std::vector<UpstreamName>& unchangedUpstreams)
{
    if (changes.empty())
        return false;
    const auto& versions = host.view.services[kService].pageVersions;
    std::vector<std::pair<std::string, StoreRevision>> expected
        = { { pageKey(kService, 0), versions.empty() ? StoreRevision {} : versions[0] } };
    for (const auto& it : unchangedUpstreams)
        expected.emplace_back(upstreamKey(it), host.view.upstreams[it].version);
    if (!write(expected, { { pageKey(kService, 0), encodePage(host.view, kService, 0, changes) } }))
        return false;
    for (const auto& it : changes) {
        if (it.record.movingTo == kNoUpstream) {
            m_acknowledged[it.slot] = it.record.epoch;
            ++m_assignments;
        }
    }
    return true;
}

// A conditional write. Its answer may be lost after the write has taken effect. The writer then learns of the write
// from the store's history, like the other hosts.
bool Simulation::write(const std::vector<std::pair<std::string, StoreRevision>>& expected,
    const std::vector<std::pair<std::string, std::string>>& puts)
{
    if (!m_storeUp)
        return false;
    for (const auto& [key, version] : expected) {
        if (m_versions[key] != version)
            return false;
    }
    const StoreRevision revision { m_history.size() + 1 };
    ChangeBatch batch { StoreRevision { m_history.size() }, revision, {} };
    for (const auto& [key, text] : puts) {
        m_versions[key] = revision;
        batch.changes.push_back({ key, text, revision });
        applyRecord(m_storedTable, key, text, revision);
    }
    m_history.push_back(batch);
    return !m_injectsFaults || pick(10) != 0;
}

// Checks -----------------------------------------------------------------------------------------------------------

std::optional<SlotId> Simulation::slotWithTwoOwners() const
{
    for (std::uint32_t n = 0; n < kSlots; ++n) {
        int owners = 0;
        for (const auto& it : m_upstreams)
            owners += ownsSlot(it.grant, SlotId { n }, clockOf(it));
        if (owners > 1)
            return SlotId { n };
    }
    return std::nullopt;
}

bool Simulation::hasLostAssignment() const
{
    const auto service = m_storedTable.services.find(kService);
    return std::any_of(m_acknowledged.begin(), m_acknowledged.end(), [&](const auto& it) {
        const auto& [slot, epoch] = it;
        return service == m_storedTable.services.end() || slot.value >= service->second.slots.size()
            || service->second.slots[slot.value].epoch < epoch;
    });
}

bool Simulation::everySlotServed() const
{
    const auto service = m_storedTable.services.find(kService);
    if (service == m_storedTable.services.end() || service->second.slots.size() != kSlots)
        return false;
    for (std::uint32_t n = 0; n < kSlots; ++n) {
        const auto& owner = m_storedTable.names.nameOf(service->second.slots[n].owner);
        const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(),
            [&](const SimulatedUpstream& upstream) { return upstream.name == owner; });
        if (it == m_upstreams.end() || !ownsSlot(it->grant, SlotId { n }, clockOf(*it)))
            return false;
    }
    return true;
}

void Simulation::settle()
{
    m_injectsFaults = false;
    m_storeUp = true;
    for (auto& it : m_hosts)
        it.paused = false;
    for (auto& it : m_upstreams)
        it.up = true;
    for (int round = 0; round < 400 && !everySlotServed(); ++round) {
        m_now += Millis(20);
        for (auto& it : m_hosts) {
            replicate(it, 100);
            tickHost(it);
        }
        for (const auto& it : m_upstreams)
            planRecovery(m_hosts[0], it.name);
        planReleases(m_hosts[0]);
        planSlotMoves(m_hosts[0]);
        for (std::size_t n = m_messages.size(); n > 0; --n)
            deliverOneMessage();
        for (std::size_t n = m_messages.size(); n > 0; --n)
            deliverOneMessage();
    }
}

} // namespace pistachiospur
