#include "plan.h"

#include <algorithm>
#include <unordered_map>
#include <xxhash.h>

namespace pistachiospur {

namespace {

// Number of hashed candidates tried for one slot before the planner falls back to the least loaded target.
constexpr unsigned kCandidatesPerSlot = 8;

std::uint64_t rendezvousScore(const std::string& a, const std::string& b)
{
    return XXH64(a.data(), a.size(), XXH64(b.data(), b.size(), 0));
}

class Planner {
public:
    Planner(const OwnershipTable& table, const ServiceTable& service, const PlanInput& input)
        : m_table(table)
        , m_service(service)
        , m_input(input)
        , m_loads(input.targets.size(), 0)
        , m_maxLoad((input.slots + input.targets.size() - 1) / input.targets.size())
    {
        for (std::size_t n = 0; n < input.targets.size(); ++n) {
            if (const auto index = table.names.find(input.targets[n]))
                m_targetIndexes[index->value] = n;
        }
    }

    std::vector<PlannedMove> run()
    {
        countLoads();
        for (std::uint32_t n = 0; n < m_input.slots; ++n)
            planSlot(SlotId { n });
        return std::move(m_moves);
    }

private:
    SlotRecord recordOf(SlotId slot) const
    {
        return slot.value < m_service.slots.size() ? m_service.slots[slot.value] : SlotRecord {};
    }

    // Index of the target that owns the slot or that the slot is moving to; null if that upstream is not a target.
    const std::size_t* targetIndexOf(const SlotRecord& record) const
    {
        const auto index = record.movingTo != kNoUpstream ? record.movingTo : record.owner;
        const auto it = m_targetIndexes.find(index.value);
        return it == m_targetIndexes.end() ? nullptr : &it->second;
    }

    void countLoads()
    {
        for (std::uint32_t n = 0; n < m_input.slots; ++n) {
            if (const auto* target = targetIndexOf(recordOf(SlotId { n })))
                ++m_loads[*target];
        }
    }

    void planSlot(SlotId slot)
    {
        const SlotRecord record = recordOf(slot);
        const auto* target = targetIndexOf(record);
        if (target && (record.movingTo != kNoUpstream || !isOverloaded(*target)))
            return;
        if (target)
            --m_loads[*target];
        const std::size_t newTarget = chooseTarget(slot);
        ++m_loads[newTarget];
        m_moves.push_back({ slot, m_table.names.nameOf(record.owner), m_input.targets[newTarget] });
    }

    // An upstream gives up slots only while it owns more than its even share rounded up. Evening out the rounding
    // remainder would move keys without any benefit.
    bool isOverloaded(std::size_t target) const { return m_loads[target] > m_maxLoad; }

    // The first hashed candidate with room, or else the least loaded target.
    std::size_t chooseTarget(SlotId slot) const
    {
        const auto targetCount = m_input.targets.size();
        for (unsigned n = 0; n < kCandidatesPerSlot; ++n) {
            const std::uint32_t buf[2] = { slot.value, n };
            const std::size_t candidate = XXH64(buf, sizeof buf, 0) % targetCount;
            if (m_loads[candidate] < m_maxLoad)
                return candidate;
        }
        return static_cast<std::size_t>(std::min_element(m_loads.begin(), m_loads.end()) - m_loads.begin());
    }

    const OwnershipTable& m_table;
    const ServiceTable& m_service;
    const PlanInput& m_input;
    std::unordered_map<std::uint32_t, std::size_t> m_targetIndexes; // by the upstream's index in the name table
    std::vector<std::size_t> m_loads; // number of slots of each target, planned moves included
    std::size_t m_maxLoad; // even share of the slots, rounded up
    std::vector<PlannedMove> m_moves;
};

} // namespace

std::vector<PlannedMove> planMoves(const OwnershipTable& table, const ServiceName& service, const PlanInput& input)
{
    static const ServiceTable emptyTable;
    if (input.targets.empty())
        return {};
    const auto it = table.services.find(service);
    return Planner(table, it == table.services.end() ? emptyTable : it->second, input).run();
}

std::vector<HostName> chooseRenewers(const UpstreamName& upstream, std::vector<HostName> hosts)
{
    if (hosts.empty())
        return {};
    const auto highest = std::max_element(hosts.begin(), hosts.end(), [&](const HostName& a, const HostName& b) {
        return rendezvousScore(a, upstream) < rendezvousScore(b, upstream);
    });
    const HostName primary = *highest;
    std::sort(hosts.begin(), hosts.end(), [](const HostName& a, const HostName& b) {
        return std::pair(rendezvousScore(a, ""), a) < std::pair(rendezvousScore(b, ""), b);
    });
    std::rotate(hosts.begin(), std::find(hosts.begin(), hosts.end(), primary), hosts.end());
    hosts.resize(std::min(hosts.size(), kMaxRenewers));
    return hosts;
}

std::vector<HostName> plannerOrder(const ServiceName& service, std::vector<HostName> hosts)
{
    std::sort(hosts.begin(), hosts.end(), [&](const HostName& a, const HostName& b) {
        return std::pair(rendezvousScore(a, service), a) > std::pair(rendezvousScore(b, service), b);
    });
    return hosts;
}

} // namespace pistachiospur
