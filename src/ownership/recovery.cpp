#include "recovery.h"

#include "plan.h"
#include "renewer.h"

#include <algorithm>

namespace pistachiospur {

bool mayRenew(const UpstreamRecord& record, const HostName& host, Fence promisedFence)
{
    const bool isRenewer = std::find(record.renewers.begin(), record.renewers.end(), host) != record.renewers.end();
    return isRenewer && record.state == UpstreamState::serving && record.fence > promisedFence;
}

Recovery beginRecovery(const UpstreamRecord& record, Millis now)
{
    Recovery recovery;
    recovery.fence = record.fence;
    recovery.recordVersion = record.version;
    recovery.expiresAt = now;
    if (record.state != UpstreamState::lost)
        return recovery;
    recovery.phase = RecoveryPhase::awaitingRenewers;
    recovery.awaitedRenewers.insert(record.renewers.begin(), record.renewers.end());
    return recovery;
}

void onRenewerStopped(Recovery& recovery, const HostName& host, Fence fence, Millis remaining, Millis now)
{
    if (recovery.phase == RecoveryPhase::marking || fence < recovery.fence)
        return;
    recovery.awaitedRenewers.erase(host);
    recovery.expiresAt = std::max(recovery.expiresAt, now + remaining);
}

void onRenewerRemoved(Recovery& recovery, const HostName& host, Millis ttl, Millis now)
{
    if (recovery.awaitedRenewers.erase(host))
        recovery.expiresAt = std::max(recovery.expiresAt, now + ttl + kClockRateMargin);
}

RecoveryPhase advance(Recovery& recovery, Millis now)
{
    if (recovery.phase == RecoveryPhase::awaitingRenewers && recovery.awaitedRenewers.empty())
        recovery.phase = RecoveryPhase::awaitingExpiry;
    if (recovery.phase == RecoveryPhase::awaitingExpiry && now >= recovery.expiresAt)
        recovery.phase = RecoveryPhase::assigning;
    return recovery.phase;
}

std::vector<SlotChange> reassign(OwnershipTable& table, const ServiceName& service, const UpstreamName& lostUpstream,
    const std::vector<UpstreamName>& targets, std::uint32_t slots)
{
    std::vector<SlotChange> changes;
    for (const auto& move : planMoves(table, service, { slots, targets })) {
        if (move.from != lostUpstream)
            continue;
        const SlotRecord& current = table.services[service].slots[move.slot.value];
        changes.push_back({ move.slot, { table.names.indexOf(move.to), kNoUpstream, current.epoch.next() } });
    }
    return changes;
}

} // namespace pistachiospur
