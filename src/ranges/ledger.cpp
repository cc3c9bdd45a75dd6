#include "ledger.h"

#include <algorithm>

namespace pistachiospur {

namespace {

GrantRecord* find(GrantLedger& ledger, OrderId order)
{
    const auto it = std::find_if(
        ledger.records.begin(), ledger.records.end(), [order](const GrantRecord& n) { return n.order == order; });
    return it == ledger.records.end() ? nullptr : &*it;
}

} // namespace

void recordSent(GrantLedger& ledger, OrderId order, const InstanceId& instance, SlotId first, SlotId last)
{
    ledger.records.push_back({ order, instance, first, last, true, false, Millis(0) });
}

void recordAnswered(GrantLedger& ledger, OrderId order, Millis now, Millis ttl)
{
    GrantRecord* record = find(ledger, order);
    if (!record)
        return;
    const GrantRecord done { order, record->instance, record->first, record->last, false, true,
        now + longestGrant(ttl) };
    ledger.records.remove_if([&](const GrantRecord& it) {
        return it.order == order
            || (!it.inFlight && it.answered && it.instance == done.instance && done.first <= it.first
                && it.last <= done.last);
    });
    ledger.records.push_back(done);
}

void recordUnanswered(GrantLedger& ledger, OrderId order, Millis now, Millis ttl)
{
    if (GrantRecord* record = find(ledger, order)) {
        record->inFlight = false;
        record->validUntil = now + longestGrant(ttl);
    }
}

void recordNotApplied(GrantLedger& ledger, OrderId order)
{
    ledger.records.remove_if([order](const GrantRecord& it) { return it.order == order; });
}

void removeExpired(GrantLedger& ledger, Millis now)
{
    ledger.records.remove_if([now](const GrantRecord& it) { return !it.inFlight && it.validUntil <= now; });
}

std::optional<Millis> mayHoldUntil(
    const GrantLedger& ledger, const UpstreamName& upstream, SlotId first, SlotId last, Counted counted)
{
    Millis latestEnd { 0 };
    for (const auto& it : ledger.records) {
        if (it.instance.name != upstream || last < it.first || it.last < first)
            continue;
        if (it.inFlight)
            return std::nullopt;
        if (counted == Counted::everyGrant || !it.answered)
            latestEnd = std::max(latestEnd, it.validUntil);
    }
    return latestEnd;
}

} // namespace pistachiospur
