#pragma once

#include "upstream/instance.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

// A leader's record of the grants that it sent. It bounds how long an upstream may hold slots because of these grants.
// A grant without an answer may still be carried out later, but its TTL counts from its arrival at the upstream, and it
// cannot arrive after its connection was closed.
namespace pistachiospur {

// Allows for an upstream whose clock runs 2 % slow.
constexpr double kSlowClockFactor = 1.03;
// Allows for the time that a message takes.
constexpr Millis kMessageDelayMargin { 150 };

// The longest time for which a grant can be valid after its arrival, on this host's clock.
constexpr Millis longestGrant(Millis ttl)
{
    return Millis(static_cast<std::int64_t>(static_cast<double>(ttl.count()) * kSlowClockFactor)) + kMessageDelayMargin;
}

using OrderId = std::uint64_t;

struct GrantRecord {
    OrderId order = 0;
    InstanceId instance;
    SlotId first;
    SlotId last;
    bool inFlight = true;
    bool answered = false;
    Millis validUntil {}; // latest end of the grant; set once it is no longer in flight
};

struct GrantLedger {
    std::map<UpstreamName, std::vector<GrantRecord>> records;
    std::unordered_map<OrderId, UpstreamName> inFlight; // upstreams of the orders that are in flight
};

std::size_t recordCount(const GrantLedger&);

void recordSent(GrantLedger&, OrderId, const InstanceId&, SlotId first, SlotId last);
// The upstream accepted the grant, which arrived at `now` at the latest. Replaces older answered records of the same
// instance for slots within this grant's.
void recordAnswered(GrantLedger&, OrderId, Millis now, Millis ttl);
// The call ended without an answer, so the grant cannot arrive after `now`.
void recordUnanswered(GrantLedger&, OrderId, Millis now, Millis ttl);
// The grant was not sent, or the upstream refused it.
void recordNotApplied(GrantLedger&, OrderId);
void removeExpired(GrantLedger&, Millis now);

// Which grants count. After an answered release only unanswered grants do, because they may be carried out after it.
enum class Counted { everyGrant, unansweredOnly };

// Until when any process under an upstream's name may hold any of the slots because of recorded grants; zero if there
// are none. Nothing while a grant is in flight. A grant is addressed to the name, so a process that started again
// before its entry arrived may have got those that are recorded for its predecessor.
std::optional<Millis> mayHoldUntil(const GrantLedger&, const UpstreamName&, SlotId first, SlotId last, Counted);

} // namespace pistachiospur
