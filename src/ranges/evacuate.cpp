#include "evacuate.h"

#include <algorithm>
#include <cmath>

namespace pistachiospur {

namespace {

struct LoadedOwner {
    const EvacuatedOwner* evacuated = nullptr;
    double load = 0; // requests per second
    bool ownsRanges = false;
};

std::vector<LoadedOwner> loadedOwners(
    const std::vector<Range>& ranges, const std::vector<EvacuatedOwner>& evacuated, const SlotLoads& loads)
{
    std::map<InstanceId, LoadedOwner> byId;
    for (const auto& it : evacuated)
        byId[it.owner.id].evacuated = &it;
    for (const auto& range : ranges) {
        const auto found = byId.find(range.owner);
        if (found == byId.end())
            continue;
        found->second.ownsRanges = true;
        for (auto it = loads.lower_bound(range.first.value); it != loads.end() && it->first <= range.last.value; ++it)
            found->second.load += it->second;
    }
    std::vector<LoadedOwner> owners;
    for (const auto& [id, owner] : byId) {
        if (owner.ownsRanges)
            owners.push_back(owner);
    }
    return owners;
}

} // namespace

std::vector<OwnerCapacity> ownersThatStay(const std::vector<Range>& ranges,
    const std::vector<EvacuatedOwner>& evacuated, const SlotLoads& loads, bool hasReceivers, Millis planInterval)
{
    auto owners = loadedOwners(ranges, evacuated, loads);
    std::stable_sort(
        owners.begin(), owners.end(), [](const LoadedOwner& a, const LoadedOwner& b) { return a.load > b.load; });
    // Each plan up to the time by which an owner is to be empty takes an equal part of those that are left.
    double due = 0;
    for (const auto& it : owners)
        due += 1
            / std::max(1.0, std::floor(static_cast<double>(it.evacuated->timeLeft.count()) / planInterval.count()));
    constexpr double kRoundingError = 1e-6;
    const auto leaving
        = hasReceivers ? std::min(owners.size(), static_cast<std::size_t>(std::ceil(due - kRoundingError))) : 0;
    std::vector<OwnerCapacity> staying;
    for (std::size_t n = leaving; n < owners.size(); ++n) {
        OwnerCapacity owner = owners[n].evacuated->owner;
        owner.mayReceive = false;
        staying.push_back(std::move(owner));
    }
    return staying;
}

} // namespace pistachiospur
