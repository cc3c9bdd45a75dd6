#include "announcements.h"

#include <algorithm>

namespace pistachiospur {

namespace {

constexpr Millis kMinInterval { 50 };
// Hosts that one leader sends updates to in kMinInterval.
constexpr std::size_t kHostsPerInterval = 100;
// Ranges are joined although their times differ by this much, which is how old an update may be anyway.
constexpr Millis kJoinTolerance { 50 };

} // namespace

PendingList joinPending(const PendingList& pending)
{
    PendingList joined;
    Millis earliest { 0 }; // of the parts of the last joined range
    for (const auto& it : pending) {
        const bool isNext = !joined.empty() && joined.back().last.value + 1 == it.first.value;
        const Millis first = isNext ? std::min(earliest, it.readyIn) : it.readyIn;
        if (!isNext || std::max(joined.back().readyIn, it.readyIn) - first > kJoinTolerance) {
            joined.push_back(it);
            earliest = it.readyIn;
            continue;
        }
        earliest = first;
        joined.back().last = it.last;
        joined.back().readyIn = std::max(joined.back().readyIn, it.readyIn);
    }
    return joined;
}

bool hasSameSlots(const PendingList& a, const PendingList& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](const auto& x, const auto& y) { return x.first == y.first && x.last == y.last; });
}

Millis announceInterval(std::size_t hosts)
{
    const auto paced = static_cast<std::int64_t>(hosts) * kMinInterval.count() / std::int64_t { kHostsPerInterval };
    return std::max(kMinInterval, Millis(paced));
}

void dropUnusable(RangeUpdate& update)
{
    if (update.base == StoreRevision {})
        update.changes = {};
}

} // namespace pistachiospur
