#include "ledger.h"

#include <algorithm>

namespace pistachiospur {

namespace {

template <typename Condition> void removeIf(std::vector<GrantRecord>& records, const Condition& condition)
{
    records.erase(std::remove_if(records.begin(), records.end(), condition), records.end());
}

// The records of the upstream that an order in flight went to, which is in flight no more; null if there is none.
std::vector<GrantRecord>* land(GrantLedger& ledger, OrderId order)
{
    const auto found = ledger.inFlight.find(order);
    if (found == ledger.inFlight.end())
        return nullptr;
    const auto records = ledger.records.find(found->second);
    ledger.inFlight.erase(found);
    return records == ledger.records.end() ? nullptr : &records->second;
}

auto findOrder(std::vector<GrantRecord>& records, OrderId order)
{
    return std::find_if(records.begin(), records.end(), [order](const GrantRecord& it) { return it.order == order; });
}

} // namespace

std::size_t recordCount(const GrantLedger& ledger)
{
    std::size_t count = 0;
    for (const auto& [upstream, records] : ledger.records)
        count += records.size();
    return count;
}

void recordSent(GrantLedger& ledger, OrderId order, const InstanceId& instance, SlotId first, SlotId last)
{
    ledger.records[instance.name].push_back({ order, instance, first, last, true, false, Millis(0) });
    ledger.inFlight[order] = instance.name;
}

void recordAnswered(GrantLedger& ledger, OrderId order, Millis now, Millis ttl)
{
    auto* records = land(ledger, order);
    if (!records)
        return;
    const auto record = findOrder(*records, order);
    if (record == records->end())
        return;
    const GrantRecord done { order, record->instance, record->first, record->last, false, true,
        now + longestGrant(ttl) };
    removeIf(*records, [&](const GrantRecord& it) {
        return it.order == order
            || (!it.inFlight && it.answered && it.instance == done.instance && done.first <= it.first
                && it.last <= done.last);
    });
    records->push_back(done);
}

void recordUnanswered(GrantLedger& ledger, OrderId order, Millis now, Millis ttl)
{
    auto* records = land(ledger, order);
    if (!records)
        return;
    const auto record = findOrder(*records, order);
    if (record == records->end())
        return;
    record->inFlight = false;
    record->validUntil = now + longestGrant(ttl);
}

void recordNotApplied(GrantLedger& ledger, OrderId order)
{
    if (auto* records = land(ledger, order))
        removeIf(*records, [order](const GrantRecord& it) { return it.order == order; });
}

void removeExpired(GrantLedger& ledger, Millis now)
{
    for (auto it = ledger.records.begin(); it != ledger.records.end();) {
        removeIf(it->second, [now](const GrantRecord& record) { return !record.inFlight && record.validUntil <= now; });
        it = it->second.empty() ? ledger.records.erase(it) : std::next(it);
    }
}

std::optional<Millis> mayHoldUntil(
    const GrantLedger& ledger, const UpstreamName& upstream, SlotId first, SlotId last, Counted counted)
{
    Millis latestEnd { 0 };
    const auto records = ledger.records.find(upstream);
    if (records == ledger.records.end())
        return latestEnd;
    for (const auto& it : records->second) {
        if (last < it.first || it.last < first)
            continue;
        if (it.inFlight)
            return std::nullopt;
        if (counted == Counted::everyGrant || !it.answered)
            latestEnd = std::max(latestEnd, it.validUntil);
    }
    return latestEnd;
}

} // namespace pistachiospur
