#include "plan.h"

#include <algorithm>
#include <unordered_map>
#include <xxhash.h>

namespace pistachiospur {

namespace {

// Candidates drawn for one slot before the least loaded target is taken.
constexpr unsigned kProbes = 8;

std::uint64_t score(const std::string& a, const std::string& b)
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
        , m_cap((input.slots + input.targets.size() - 1) / input.targets.size())
    {
        for (std::size_t n = 0; n < input.targets.size(); ++n) {
            if (const auto index = table.names.find(input.targets[n]))
                m_targetOf[index->value] = n;
        }
    }

    std::vector<PlannedMove> run()
    {
        countLoads();
        for (std::uint32_t n = 0; n < m_input.slots; ++n)
            consider(SlotId { n });
        return std::move(m_moves);
    }

private:
    SlotRecord recordOf(SlotId slot) const
    {
        return slot.value < m_service.slots.size() ? m_service.slots[slot.value] : SlotRecord {};
    }

    // Where a slot is, or is on its way to; nothing when that is no target.
    const std::size_t* targetOf(const SlotRecord& record) const
    {
        const auto index = record.movingTo != kNoUpstream ? record.movingTo : record.owner;
        const auto it = m_targetOf.find(index.value);
        return it == m_targetOf.end() ? nullptr : &it->second;
    }

    void countLoads()
    {
        for (std::uint32_t n = 0; n < m_input.slots; ++n) {
            if (const auto* target = targetOf(recordOf(SlotId { n })))
                ++m_loads[*target];
        }
    }

    void consider(SlotId slot)
    {
        const SlotRecord record = recordOf(slot);
        const auto* target = targetOf(record);
        if (target && (record.movingTo != kNoUpstream || !mustShed(*target)))
            return;
        if (target)
            --m_loads[*target];
        const std::size_t to = pick(slot);
        ++m_loads[to];
        m_moves.push_back({ slot, m_table.names.nameOf(record.owner), m_input.targets[to] });
    }

    // An upstream above its share gives slots up only while somebody else is below the rounded-down share: evening out
    // the rounding itself would move keys for nothing.
    bool mustShed(std::size_t target) const { return m_loads[target] > m_cap; }

    std::size_t pick(SlotId slot) const
    {
        const auto n = m_input.targets.size();
        for (unsigned probe = 0; probe < kProbes; ++probe) {
            const std::uint32_t buf[2] = { slot.value, probe };
            const std::size_t it = XXH64(buf, sizeof buf, 0) % n;
            if (m_loads[it] < m_cap)
                return it;
        }
        return static_cast<std::size_t>(std::min_element(m_loads.begin(), m_loads.end()) - m_loads.begin());
    }

    const OwnershipTable& m_table;
    const ServiceTable& m_service;
    const PlanInput& m_input;
    std::unordered_map<std::uint32_t, std::size_t> m_targetOf;
    std::vector<std::size_t> m_loads;
    std::size_t m_cap;
    std::vector<PlannedMove> m_moves;
};

} // namespace

std::vector<PlannedMove> planMoves(const OwnershipTable& table, const ServiceName& service, const PlanInput& input)
{
    static const ServiceTable none;
    if (input.targets.empty())
        return {};
    const auto it = table.services.find(service);
    return Planner(table, it == table.services.end() ? none : it->second, input).run();
}

std::vector<HostName> chooseRenewers(const UpstreamName& upstream, std::vector<HostName> hosts)
{
    if (hosts.empty())
        return {};
    const auto first = std::max_element(hosts.begin(), hosts.end(),
        [&](const HostName& a, const HostName& b) { return score(a, upstream) < score(b, upstream); });
    const HostName primary = *first;
    std::sort(hosts.begin(), hosts.end(),
        [](const HostName& a, const HostName& b) { return std::pair(score(a, ""), a) < std::pair(score(b, ""), b); });
    std::rotate(hosts.begin(), std::find(hosts.begin(), hosts.end(), primary), hosts.end());
    hosts.resize(std::min(hosts.size(), kRenewers));
    return hosts;
}

std::vector<HostName> plannerOrder(const ServiceName& service, std::vector<HostName> hosts)
{
    std::sort(hosts.begin(), hosts.end(), [&](const HostName& a, const HostName& b) {
        return std::pair(score(a, service), a) > std::pair(score(b, service), b);
    });
    return hosts;
}

} // namespace pistachiospur
