#include "world.h"

#include <algorithm>

namespace pistachiospur {

namespace {

const ServiceName kService = "service";
constexpr std::uint32_t kSlots = 4;
constexpr Millis kTtl { 1000 };
const RenewerTiming kTiming { kTtl, Millis(250), Millis(250) };

} // namespace

World::World(std::uint64_t seed, Guard without)
    : m_random(seed)
    , m_without(without)
{
    for (const char* name : { "a", "b", "c" }) {
        WorldUpstream upstream;
        upstream.name = name;
        upstream.clockOffset = Millis(pick(50000));
        m_upstreams.push_back(upstream);
    }
    for (const char* name : { "h1", "h2", "h3" }) {
        WorldHost host;
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
        catchUp(it, 100);
}

void World::send(Deliver message)
{
    auto& queue = m_faults && pick(30) == 0 ? m_held : m_messages;
    queue.push_back(std::move(message));
}

void World::deliverOne()
{
    if (m_messages.empty())
        return;
    const auto n = pick(static_cast<std::uint32_t>(m_messages.size()));
    const Deliver message = m_messages[n];
    const bool doubled = m_faults && pick(20) == 0;
    const bool lost = m_faults && pick(20) == 0;
    if (!doubled)
        m_messages.erase(m_messages.begin() + n);
    if (!lost)
        message();
}

// Progress is the common case; faults are rare enough that grants live and slots move between them.
void World::step()
{
    m_now += Millis(pick(10));
    const auto choice = pick(100);
    if (choice < 30) {
        tickHost(anyHost());
    } else if (choice < 65) {
        for (auto n = pick(8); n > 0; --n)
            deliverOne();
    } else if (choice < 80) {
        plan(anyHost());
    } else if (choice < 98) {
        catchUp(anyHost(), 1 + pick(3));
    } else {
        breakSomething();
    }
}

void World::breakSomething()
{
    switch (pick(6)) {
    case 0:
        m_now += Millis(pick(300));
        break;
    case 1: {
        m_preferred = pick(3);
        WorldHost& host = anyHost();
        host.paused = !host.paused;
        break;
    }
    case 2: {
        auto& upstream = m_upstreams[pick(static_cast<std::uint32_t>(m_upstreams.size()))];
        upstream.up = !upstream.up;
        if (pick(3) == 0)
            upstream.grant = {}; // restarted empty
        break;
    }
    case 3:
        m_storeUp = !m_storeUp || pick(2) == 0;
        break;
    case 4:
        restartHost(anyHost());
        break;
    case 5: // messages that waited somewhere arrive after all
        m_messages.insert(m_messages.end(), m_held.begin(), m_held.end());
        m_held.clear();
        break;
    }
}

// A restarted host has forgotten everything. It may plan and renew only once it has read the store itself.
void World::restartHost(WorldHost& host)
{
    WorldHost fresh;
    fresh.name = host.name;
    fresh.clockOffset = host.clockOffset;
    fresh.readFromStore = false;
    if (m_without == Guard::readBeforeRenewing) {
        fresh.view = m_hosts[pick(3)].view; // takes another host's word
        fresh.readFromStore = true;
    }
    host = std::move(fresh);
    for (const auto& it : m_upstreams)
        host.renewers[it.name].renewer.grantBound = clockOf(host) + kTtl;
}

void World::catchUp(WorldHost& host, std::size_t most)
{
    if (host.paused || !m_storeUp)
        return;
    const std::size_t n = host.readFromStore ? most : m_log.size();
    for (std::size_t it = 0; it < n && host.applied.value < m_log.size(); ++it) {
        const ChangeBatch& batch = m_log[host.applied.value];
        for (const auto& change : batch.changes)
            applyRecord(host.view, change.key, *change.text, change.version);
        host.applied = batch.to;
    }
    host.readFromStore = true;
}

void World::tickHost(WorldHost& host)
{
    if (host.paused)
        return;
    for (auto& upstream : m_upstreams)
        renew(host, upstream, m_faults ? (pick(8) != 0) == (&host == &m_hosts[m_preferred]) : &host == &m_hosts[0]);
}

// Which host takes itself for the preferred one is left to chance: safety may not rest on it.
void World::renew(WorldHost& host, WorldUpstream& upstream, bool believesPreferred)
{
    auto& [renewer, promised] = host.renewers[upstream.name];
    renewer.holder = host.name + std::to_string(host.clockOffset.count());
    const auto record = host.view.upstreams.find(upstream.name);
    const Fence fence = m_without == Guard::promise ? Fence {} : promised;
    const bool allowed
        = host.readFromStore && record != host.view.upstreams.end() && mayRenew(record->second, host.name, fence);
    if (!allowed || !believesPreferred) {
        stopCoordinating(renewer);
        return;
    }
    startCoordinating(renewer, clockOf(host));
    setSlots(renewer, slotsToGrant(host.view, kService, upstream.name), clockOf(host));
    if (const auto renewal = dueRenewal(renewer, kTiming, clockOf(host)))
        send([this, &host, &upstream, renewal = *renewal] { deliverRenewal(host, upstream, renewal); });
}

void World::deliverRenewal(WorldHost& host, WorldUpstream& upstream, const Renewal& renewal)
{
    if (!upstream.up)
        return;
    Renewal seen = renewal;
    if (m_without == Guard::challenge && renewal.challenge.value != 0) {
        seen.challenge = upstream.grant.challenge; // takes any challenge for the last one
        upstream.grant.challengeIssuedAt = clockOf(upstream);
    }
    const auto reply
        = answerRenewal(upstream.grant, seen, Challenge { upstream.nextChallenge++ << 8 | 1 }, clockOf(upstream), kTtl);
    send([this, &host, &upstream, renewal, reply] {
        if (!host.paused)
            onRenewalReply(host.renewers[upstream.name].renewer, renewal, reply, kTiming, clockOf(host));
    });
}

// Planning ---------------------------------------------------------------------------------------------------------

void World::plan(WorldHost& host)
{
    if (host.paused || !host.readFromStore)
        return;
    switch (pick(4)) {
    case 0:
    case 1:
        for (const auto& it : m_upstreams)
            planLost(host, it.name);
        break;
    case 2:
        planReleases(host);
        break;
    case 3:
        planMoves(host);
        break;
    }
}

void World::planLost(WorldHost& host, const UpstreamName& name)
{
    const auto found = host.view.upstreams.find(name);
    if (found == host.view.upstreams.end())
        return;
    UpstreamRecord record = found->second;
    const bool flip
        = m_faults ? pick(record.state == UpstreamState::lost ? 20 : 40) == 0 : record.state == UpstreamState::lost;
    if (flip) {
        record.state = record.state == UpstreamState::lost ? UpstreamState::serving : UpstreamState::lost;
        record.fence = record.fence.next();
        write({ { upstreamKey(name), record.version } }, { { upstreamKey(name), encodeUpstream(record) } });
        return;
    }
    if (record.state != UpstreamState::lost) {
        host.recoveries.erase(name);
        return;
    }
    auto [it, fresh] = host.recoveries.try_emplace(name);
    if (fresh || it->second.recordVersion != record.version)
        it->second = beginRecovery(record, clockOf(host));
    Recovery& recovery = it->second;
    if (m_without == Guard::renewersAccounted)
        recovery.awaited.clear();
    if (m_without == Guard::ttlWait)
        recovery.expiresAt = clockOf(host);
    for (auto& renewer : m_hosts) {
        if (!recovery.awaited.count(renewer.name))
            continue;
        send([this, &host, &renewer, name, fence = recovery.fence] {
            if (renewer.paused)
                return;
            auto& [state, promised] = renewer.renewers[name];
            promised = std::max(promised, fence);
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
    for (const auto& [other, standing] : host.view.upstreams) {
        if (standing.state == UpstreamState::serving)
            targets.push_back(other);
    }
    writePages(host, reassign(host.view, kService, name, targets, kSlots), { name });
}

void World::planReleases(WorldHost& host)
{
    for (const auto& [name, record] : host.view.upstreams) {
        const auto changes = completeMoves(host.view, kService, name);
        if (changes.empty() || record.state != UpstreamState::serving) {
            host.releases.erase(name);
            continue;
        }
        const auto it = host.releases.try_emplace(name).first;
        followRelease(it->second, record, changes, host.applied);
        if (m_without == Guard::marksSeen)
            it->second.awaited.clear();
        for (auto& renewer : m_hosts) {
            if (!it->second.awaited.count(renewer.name))
                continue;
            send([this, &host, &renewer, upstream = name] {
                if (renewer.paused)
                    return;
                auto& state = renewer.renewers[upstream].renewer;
                setSlots(state, slotsToGrant(renewer.view, kService, upstream), clockOf(renewer));
                const RenewerStanding standing { renewer.applied, state.coordinating, isSettled(state),
                    grantRemaining(state, clockOf(renewer)) };
                send([&host, upstream, standing, from = renewer.name] {
                    const auto waiting = host.releases.find(upstream);
                    if (!host.paused && waiting != host.releases.end())
                        onRenewerStanding(waiting->second, from, standing);
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

void World::planMoves(WorldHost& host)
{
    std::vector<UpstreamName> targets;
    for (const auto& [name, record] : host.view.upstreams) {
        if (record.state == UpstreamState::serving && (!m_faults || pick(8) != 0))
            targets.push_back(name);
    }
    std::vector<SlotChange> changes;
    for (const auto& it : pistachiospur::planMoves(host.view, kService, { kSlots, targets })) {
        const auto& slots = host.view.services[kService].slots;
        const SlotRecord old = it.slot.value < slots.size() ? slots[it.slot.value] : SlotRecord {};
        const auto to = host.view.names.indexOf(it.to);
        if (old.owner == kNoUpstream)
            changes.push_back({ it.slot, { to, kNoUpstream, old.epoch.next() } });
        else if (host.view.upstreams[it.from].state == UpstreamState::serving && old.movingTo == kNoUpstream)
            changes.push_back({ it.slot, { old.owner, to, old.epoch } });
    }
    writePages(host, changes, {});
}

bool World::writePages(WorldHost& host, const std::vector<SlotChange>& changes, const std::vector<UpstreamName>& guards)
{
    if (changes.empty())
        return false;
    const auto& versions = host.view.services[kService].pageVersions;
    std::vector<std::pair<std::string, StoreRevision>> expected
        = { { pageKey(kService, 0), versions.empty() ? StoreRevision {} : versions[0] } };
    for (const auto& it : guards)
        expected.emplace_back(upstreamKey(it), host.view.upstreams[it].version);
    if (!write(expected, { { pageKey(kService, 0), encodePage(host.view, kService, 0, changes) } }))
        return false;
    for (const auto& it : changes) {
        if (it.record.movingTo == kNoUpstream) {
            m_acknowledged[it.slot] = it.record.epoch;
            ++m_handovers;
        }
    }
    return true;
}

// The answer may be lost after the write has taken effect: then the writer learns of it from its copy, like others.
bool World::write(const std::vector<std::pair<std::string, StoreRevision>>& expected,
    const std::vector<std::pair<std::string, std::string>>& puts)
{
    if (!m_storeUp)
        return false;
    for (const auto& [key, version] : expected) {
        if (m_versions[key] != version)
            return false;
    }
    const StoreRevision revision { m_log.size() + 1 };
    ChangeBatch batch { StoreRevision { m_log.size() }, revision, {} };
    for (const auto& [key, text] : puts) {
        m_versions[key] = revision;
        batch.changes.push_back({ key, text, revision });
        applyRecord(m_truth, key, text, revision);
    }
    m_log.push_back(batch);
    return !m_faults || pick(10) != 0;
}

// Checks -----------------------------------------------------------------------------------------------------------

std::optional<SlotId> World::doublyOwned() const
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

bool World::lostAssignment() const
{
    const auto service = m_truth.services.find(kService);
    return std::any_of(m_acknowledged.begin(), m_acknowledged.end(), [&](const auto& it) {
        const auto& [slot, epoch] = it;
        return service == m_truth.services.end() || slot.value >= service->second.slots.size()
            || service->second.slots[slot.value].epoch < epoch;
    });
}

bool World::everySlotServed() const
{
    const auto service = m_truth.services.find(kService);
    if (service == m_truth.services.end() || service->second.slots.size() != kSlots)
        return false;
    for (std::uint32_t n = 0; n < kSlots; ++n) {
        const auto& owner = m_truth.names.nameOf(service->second.slots[n].owner);
        const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(),
            [&](const WorldUpstream& upstream) { return upstream.name == owner; });
        if (it == m_upstreams.end() || !ownsSlot(it->grant, SlotId { n }, clockOf(*it)))
            return false;
    }
    return true;
}

void World::settle()
{
    m_faults = false;
    m_storeUp = true;
    for (auto& it : m_hosts)
        it.paused = false;
    for (auto& it : m_upstreams)
        it.up = true;
    for (int round = 0; round < 400 && !everySlotServed(); ++round) {
        m_now += Millis(20);
        for (auto& it : m_hosts) {
            catchUp(it, 100);
            tickHost(it);
        }
        for (const auto& it : m_upstreams)
            planLost(m_hosts[0], it.name);
        planReleases(m_hosts[0]);
        planMoves(m_hosts[0]);
        for (std::size_t n = m_messages.size(); n > 0; --n)
            deliverOne();
        for (std::size_t n = m_messages.size(); n > 0; --n)
            deliverOne();
    }
}

} // namespace pistachiospur
