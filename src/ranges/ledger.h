#pragma once

#include "upstream/life.h"

#include <list>
#include <optional>

// What a keeper knows of its own grants: until when an upstream can hold slots because of them. An order without an
// answer may be carried out later, but its time counts from its arrival, which the close of its connection bounds.
namespace pistachiospur {

// An upstream's clock may run 2 % slow; the margin covers the time that a message takes.
constexpr double kSlowClock = 1.03;
constexpr Millis kHoldMargin { 150 };

// The longest time for which a grant can be in force after its arrival.
constexpr Millis longestHold(Millis hold)
{
    return Millis(static_cast<std::int64_t>(static_cast<double>(hold.count()) * kSlowClock)) + kHoldMargin;
}

using OrderId = std::uint64_t;

struct GrantRecord {
    OrderId order = 0;
    LifeId life;
    SlotId first;
    SlotId last;
    bool open = true; // under way
    bool answered = false;
    Millis until {}; // once closed: the latest end of the grant
};

struct GrantLedger {
    std::list<GrantRecord> records;
};

void recordSent(GrantLedger&, OrderId, const LifeId&, SlotId first, SlotId last);
// The grant arrived by now. An answered record replaces older answered ones of the same slots.
void recordAnswered(GrantLedger&, OrderId, Millis now, Millis hold);
// No answer, and nothing more can arrive after now.
void recordUnanswered(GrantLedger&, OrderId, Millis now, Millis hold);
// The order never left, or was refused.
void recordVoid(GrantLedger&, OrderId);
void forgetExpired(GrantLedger&, Millis now);

enum class Counted { everyGrant, unansweredOnly };

// Until when a life may hold some of the slots, as far as these grants go; nothing while an order is under way.
// After an answered release only unanswered grants count, since they may be carried out behind it.
std::optional<Millis> mayHoldUntil(const GrantLedger&, const LifeId&, SlotId first, SlotId last, Counted);

} // namespace pistachiospur
