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

void recordSent(GrantLedger& ledger, OrderId order, const LifeId& life, SlotId first, SlotId last)
{
    ledger.records.push_back({ order, life, first, last, true, false, Millis(0) });
}

void recordAnswered(GrantLedger& ledger, OrderId order, Millis now, Millis hold)
{
    GrantRecord* record = find(ledger, order);
    if (!record)
        return;
    const GrantRecord done { order, record->life, record->first, record->last, false, true, now + longestHold(hold) };
    ledger.records.remove_if([&](const GrantRecord& it) {
        return it.order == order
            || (!it.open && it.answered && it.life == done.life && done.first <= it.first && it.last <= done.last);
    });
    ledger.records.push_back(done);
}

void recordUnanswered(GrantLedger& ledger, OrderId order, Millis now, Millis hold)
{
    if (GrantRecord* record = find(ledger, order)) {
        record->open = false;
        record->until = now + longestHold(hold);
    }
}

void recordVoid(GrantLedger& ledger, OrderId order)
{
    ledger.records.remove_if([order](const GrantRecord& it) { return it.order == order; });
}

void forgetExpired(GrantLedger& ledger, Millis now)
{
    ledger.records.remove_if([now](const GrantRecord& it) { return !it.open && it.until <= now; });
}

std::optional<Millis> mayHoldUntil(
    const GrantLedger& ledger, const LifeId& life, SlotId first, SlotId last, Counted counted)
{
    Millis until { 0 };
    for (const auto& it : ledger.records) {
        if (it.life != life || last < it.first || it.last < first)
            continue;
        if (it.open)
            return std::nullopt;
        if (counted == Counted::everyGrant || !it.answered)
            until = std::max(until, it.until);
    }
    return until;
}

} // namespace pistachiospur
