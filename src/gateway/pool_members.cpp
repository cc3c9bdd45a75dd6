#include "dispatch.h"

#include "cold_monitor.h"

#include <algorithm>

// The part of Dispatcher that knows the upstreams of a pool: which of them get requests now, and which gets the next
// one.
namespace pistachiospur {

// The instances of a pool that may get new work.
std::vector<const InstanceEntry*> Dispatcher::availableMembers(const Pool& pool, Millis now) const
{
    const auto groups = m_context.groups.find(pool.service);
    const auto* group = groups == m_context.groups.end() ? nullptr : findGroup(groups->second, pool.upstreamOrGroup);
    const std::vector<UpstreamName> names = group ? *group : std::vector { pool.upstreamOrGroup };
    std::vector<const InstanceEntry*> members;
    for (const auto& name : names) {
        const auto it = m_context.directory.instances().find(name);
        if (it != m_context.directory.instances().end() && it->second.instance.service == pool.service
            && mayTakeWork(m_context, it->second, now))
            members.push_back(&it->second);
    }
    return members;
}

// Sets the number of requests that a pool runs concurrently to what its available instances can be expected to serve.
void Dispatcher::refreshSlots(Pool& pool)
{
    const Millis now = monotonicNow();
    const auto cold = coldBoundOf(m_context, pool.service);
    const auto entries = availableMembers(pool, now);
    auto candidates = candidatesOf(pool, entries, {}, now);
    for (std::size_t n = 0; cold && n < entries.size(); ++n) {
        const UpstreamInstance& instance = entries[n]->instance;
        const double runMs = pool.members[instance.id].stats.runMs;
        candidates[n].slots = usableSlots(m_context.coldness, instance.id, instance.slots, runMs, *cold, now);
    }
    pool.policy.maxConcurrent = usableSlots(candidates);
    refreshPace(pool, pool.policy, now);
}

// Whether any upstream states a limit or is known to be cold.
bool Dispatcher::mayBePaced(Millis now) const { return !m_paces.empty() || now < m_context.coldness.anyColdUntil; }

// Sets what the stated limits and the bounds of cold upstreams allow a pool to start. There is no limit as long as one
// member has none.
void Dispatcher::refreshPace(const Pool& pool, QueuePolicy& policy, Millis now) const
{
    policy.startsPerSecond.reset();
    policy.nextStartIn = Millis(0);
    if (!mayBePaced(now))
        return;
    const auto cold = coldBoundOf(m_context, pool.service);
    double perSecond = 0;
    std::optional<Millis> next;
    for (const auto* member : availableMembers(pool, now)) {
        const InstanceId& id = member->instance.id;
        const auto pace = m_paces.find(id);
        const bool isHeld = cold && isCold(m_context.coldness, id, now);
        if (pace == m_paces.end() && !isHeld)
            return;
        const double stated = pace == m_paces.end() ? cold->perSecond : *pace->second.perSecond;
        perSecond += isHeld ? std::min(stated, cold->perSecond) : stated;
        const Millis ready = std::max(pace == m_paces.end() ? Millis(0) : timeToStart(pace->second, 0, now),
            isHeld ? timeToStart(m_context.coldness, id, *cold, now) : Millis(0));
        next = std::min(next.value_or(ready), ready);
    }
    if (!next)
        return;
    policy.startsPerSecond = perSecond;
    policy.nextStartIn = *next;
}

// The time until any available instance of a pool takes requests from the host that sends one; zero if one does now.
Millis Dispatcher::pauseLeftFor(const Pool& pool, const RequestOrigin& origin, Millis now) const
{
    if (m_context.pauses.ends.empty())
        return Millis(0);
    std::optional<Millis> shortest;
    for (const auto* member : availableMembers(pool, now)) {
        const Millis left = pauseLeft(m_context.pauses, member->instance.id, origin.sender, now);
        shortest = std::min(shortest.value_or(left), left);
    }
    return shortest.value_or(Millis(0));
}

// Bytes of requests that one upstream may hold at once.
std::uint64_t Dispatcher::maxUpstreamBytes() const
{
    return static_cast<std::uint64_t>(m_context.settings.limits.upstreamMb) << 20;
}

// Whether an instance of a pool may have too little memory for a request that waits.
bool Dispatcher::mayExceedBytes(const Pool& pool) const
{
    return std::any_of(pool.members.begin(), pool.members.end(), [&](const auto& it) {
        return !mayHold({ it.second.running, it.second.heldBytes }, pool.largestBytes, maxUpstreamBytes());
    });
}

// Whether a request waits only until an upstream holds less.
bool Dispatcher::waitsForBytes(Pool& pool, JobId id, Millis now)
{
    const auto job = pool.jobs.find(id);
    if (job == pool.jobs.end() || job->second.running || !mayExceedBytes(pool))
        return false;
    RequestOrigin origin = job->second.origin;
    if (chooseMember(pool, origin, now))
        return false;
    origin.bytes = 0;
    return chooseMember(pool, origin, now) != nullptr;
}

// Whether an instance has a free slot and memory for the request, and neither its stated limit nor a pause forbids a
// start.
bool Dispatcher::wantsRequest(
    Pool& pool, const UpstreamInstance& instance, const RequestOrigin& origin, Millis now) const
{
    const auto pace = m_paces.find(instance.id);
    const Member& member = pool.members[instance.id];
    return member.running < instance.slots
        && mayHold({ member.running, member.heldBytes }, origin.bytes, maxUpstreamBytes())
        && (pace == m_paces.end() || timeToStart(pace->second, 0, now) == Millis(0))
        && pauseLeft(m_context.pauses, instance.id, origin.sender, now) == Millis(0);
}

// What is known of the available instances of a pool, as targets of a request.
std::vector<UpstreamCandidate> Dispatcher::candidatesOf(
    Pool& pool, const std::vector<const InstanceEntry*>& entries, const RequestOrigin& origin, Millis now)
{
    const auto cold = coldBoundOf(m_context, pool.service);
    std::vector<UpstreamCandidate> candidates;
    for (const auto* entry : entries) {
        const UpstreamInstance& instance = entry->instance;
        const Member& member = pool.members[instance.id];
        const bool isHeld = cold && coldWait(m_context, *entry, *cold, now) > Millis(0);
        const bool isFree = !isHeld && wantsRequest(pool, instance, origin, now);
        const bool isAvoided = isFree
            && (now < member.avoidedUntil || (!origin.sender.empty() && !reaches(m_context, origin.sender, instance)));
        candidates.push_back({ &member.stats, member.running, instance.slots, isFree,
            instance.dataCentre == origin.dataCentre, isAvoided });
    }
    return candidates;
}

// The available instance that a request goes to now, or null.
const InstanceEntry* Dispatcher::chooseMember(Pool& pool, const RequestOrigin& origin, Millis now)
{
    const auto entries = availableMembers(pool, now);
    const auto candidates = candidatesOf(pool, entries, origin, now);
    if (const auto chosen = chooseUpstream(candidates, pool.runTimes, origin.hasLargeBody, now))
        return entries[*chosen];
    const auto cold = coldBoundOf(m_context, pool.service);
    for (const auto* it : entries) {
        if (cold && wantsRequest(pool, it->instance, origin, now) && coldWait(m_context, *it, *cold, now) > Millis(0))
            takeHeld(m_context, *it, *cold, now);
    }
    return nullptr;
}

std::vector<LoadReport::Run> Dispatcher::meanRunTimes(const ServiceName& service) const
{
    std::vector<LoadReport::Run> runs;
    for (const auto& [name, pool] : m_pools) {
        if (pool.service != service)
            continue;
        for (const auto& [instance, member] : pool.members) {
            // An upstream with a limit counts as one that is as slow as its slots make it by the limit, so that its
            // load moves to others.
            const auto pace = m_paces.find(instance);
            const auto* entry = m_context.directory.findInstance(instance);
            const double pacedMs
                = pace == m_paces.end() || !entry ? 0 : 1000.0 * entry->instance.slots / *pace->second.perSecond;
            if (member.stats.runMs > 0)
                runs.push_back({ instance, std::max(member.stats.runMs, pacedMs) });
        }
    }
    return runs;
}

} // namespace pistachiospur
