#include "release.h"

namespace pistachiospur {

void updateRelease(Release& release, const UpstreamRecord& record, std::vector<SlotChange> moves, StoreRevision applied)
{
    if (release.markedAt.value != 0 && release.recordVersion == record.version && release.moves == moves)
        return;
    release.markedAt = applied;
    release.moves = std::move(moves);
    release.recordVersion = record.version;
    release.awaitedRenewers = { record.renewers.begin(), record.renewers.end() };
}

void onRenewerStatus(Release& release, const HostName& host, const RenewerStatus& status)
{
    const bool hasNoOlderGrant = status.coordinating ? status.settled : status.remaining.count() == 0;
    if (status.applied >= release.markedAt && hasNoOlderGrant)
        release.awaitedRenewers.erase(host);
}

void onReleaseRenewerRemoved(Release& release, const HostName& host) { release.awaitedRenewers.erase(host); }

bool isReleased(const Release& release) { return release.awaitedRenewers.empty(); }

std::set<UpstreamName> movingUpstreams(const OwnershipTable& table, const ServiceName& service)
{
    std::set<UpstreamName> names;
    const auto it = table.services.find(service);
    if (it == table.services.end())
        return names;
    for (const auto& slot : it->second.slots) {
        if (slot.movingTo != kNoUpstream)
            names.insert(table.names.nameOf(slot.owner));
    }
    return names;
}

std::vector<SlotChange> completeMoves(const OwnershipTable& table, const ServiceName& service, const UpstreamName& from)
{
    std::vector<SlotChange> changes;
    const auto index = table.names.find(from);
    const auto it = table.services.find(service);
    if (!index || it == table.services.end())
        return changes;
    const auto& slots = it->second.slots;
    for (std::uint32_t n = 0; n < slots.size(); ++n) {
        const SlotRecord& slot = slots[n];
        if (slot.owner == *index && slot.movingTo != kNoUpstream)
            changes.push_back({ SlotId { n }, { slot.movingTo, kNoUpstream, slot.epoch.next() } });
    }
    return changes;
}

} // namespace pistachiospur
