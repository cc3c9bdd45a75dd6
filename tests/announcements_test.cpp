#include "gateway/announcements.h"
#include "gateway/grant_pace.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <cmath>

using namespace pistachiospur;

namespace {

constexpr std::uint32_t kUpstreamsPerHost = 8;
constexpr std::uint32_t kGrantsPerSecond = 200;
constexpr Millis kObserved { 10000 };

RangeUpdate::Pending pendingRange(std::uint32_t n, std::uint32_t count, Millis readyIn)
{
    return { { n * (kKeySlots / count) }, { (n + 1) * (kKeySlots / count) - 1 }, readyIn };
}

// Bytes that a new leader of a site without a table sends in kObserved, while it grants the ranges one after another.
double bytesSent(std::uint32_t hosts)
{
    const std::uint32_t count = hosts * kUpstreamsPerHost;
    RangeTable table { "h0#1/1", Millis(2500), {}, {} };
    for (std::uint32_t n = 0; n < count; ++n)
        table.ranges.push_back(
            { pendingRange(n, count, {}).first, pendingRange(n, count, {}).last, { "u", { 1 } }, { 7 }, {} });
    double bytes = 0;
    StoreRevision announced;
    for (Millis now { 0 }; now < kObserved; now += announceInterval(hosts)) {
        PendingList pending;
        for (auto n = static_cast<std::uint32_t>(now.count() * kGrantsPerSecond / 1000); n < count; ++n)
            pending.push_back(pendingRange(n, count, Millis(100)));
        RangeUpdate update { "s", { 7 }, announced, {}, joinPending(pending) };
        if (announced == StoreRevision {})
            update.changes = table;
        dropUnusable(update);
        announced = { 7 };
        bytes += static_cast<double>(encode(update).size() * (hosts - 1));
    }
    return bytes;
}

PendingList randomPending()
{
    PendingList pending;
    std::uint32_t slot = 0;
    for (int n = *rc::gen::inRange(0, 30); n > 0; --n) {
        slot += *rc::gen::inRange(0u, 2u);
        const std::uint32_t size = *rc::gen::inRange(1u, 5u);
        pending.push_back({ { slot }, { slot + size - 1 }, Millis(*rc::gen::inRange(0, 300)) });
        slot += size;
    }
    return pending;
}

const RangeUpdate::Pending* findPending(const PendingList& pending, SlotId slot)
{
    const auto found = std::find_if(
        pending.begin(), pending.end(), [&](const auto& it) { return it.first <= slot && slot <= it.last; });
    return found == pending.end() ? nullptr : &*found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Announcements)

BOOST_AUTO_TEST_CASE(bytesOfALeaderGrowNoFasterThanItsSite)
{
    const double power = std::log(bytesSent(300) / bytesSent(30)) / std::log(10.0);
    BOOST_TEST(power <= 1.0);
}

RC_BOOST_PROP(joinedRangesNameTheSameSlotsAndTimes, ())
{
    const PendingList pending = randomPending();
    const PendingList joined = joinPending(pending);
    RC_ASSERT(joined.size() <= pending.size());
    for (std::uint32_t slot = 0; slot < 200; ++slot) {
        const auto* before = findPending(pending, { slot });
        const auto* after = findPending(joined, { slot });
        RC_ASSERT((before == nullptr) == (after == nullptr));
        if (before)
            RC_ASSERT(before->readyIn <= after->readyIn && after->readyIn <= before->readyIn + Millis(50));
    }
}

BOOST_AUTO_TEST_CASE(changesOfAKnownTableAreSent)
{
    RangeUpdate update { "s", { 8 }, { 7 }, { "h0#1/2", Millis(2500), {}, { { {}, {}, {}, {}, {} } } }, {} };
    dropUnusable(update);
    BOOST_TEST(update.changes.ranges.size() == 1);
}

RC_BOOST_PROP(grantsLastUntilTheNext, ())
{
    GatewayLimits limits;
    for (const auto& it : gatewayOptions())
        limits.*it.field = it.defaultValue;
    const auto ranges = *rc::gen::inRange<std::size_t>(1, 20000);
    const auto percent = *rc::gen::inRange<std::int64_t>(1, 101);
    const Millis interval = renewalIntervalAt(limits, ranges, percent);
    RC_ASSERT(interval + Millis(limits.orderTimeoutMs) < grantTtlAt(limits, ranges, percent));
}

BOOST_AUTO_TEST_SUITE_END()
