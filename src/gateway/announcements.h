#pragma once

#include "peers/messages.h"

// What a range leader tells the other hosts, and how often. An update goes to every host, so its size and interval
// decide what a leader sends as upstreams and hosts grow.
namespace pistachiospur {

using PendingList = std::vector<RangeUpdate::Pending>;

// The list with neighbouring ranges as one, as long as they become ready within a short time of the first of them. A
// joined range is ready when its last part is. `pending` is sorted by slot.
PendingList joinPending(const PendingList& pending);
// Whether two lists name the same slots; their times may differ.
bool hasSameSlots(const PendingList&, const PendingList&);
// The least time between two updates to this many other hosts.
Millis announceInterval(std::size_t hosts);
// Brings an update down to what its receivers use. A host applies changes only to the table that they are based on, so
// without such a table they say nothing; every host then reads the table from the store.
void dropUnusable(RangeUpdate&);

} // namespace pistachiospur
