#include "membership/evacuation.h"
#include "ranges/evacuate.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace pistachiospur;

namespace {

constexpr Millis kBound { 5000 };
constexpr Millis kPlanInterval { 300 };

StoreRevision revision(std::uint64_t era, std::uint64_t counter) { return inEra({ era }, { counter }); }

InstanceId owner(int n) { return { "u" + std::to_string(n), { 1 } }; }

// Owners 0 to `evacuated` - 1 are in the data centre that is emptied.
struct Site {
    std::vector<OwnerCapacity> receivers;
    std::vector<EvacuatedOwner> evacuated;
    std::vector<Range> ranges;
    SlotLoads loads;

    Site(int owners, int evacuatedOwners, Millis timeLeft)
    {
        std::vector<OwnerCapacity> all;
        for (int n = 0; n < owners; ++n) {
            all.push_back({ owner(n), 20 });
            if (n < evacuatedOwners)
                evacuated.push_back({ all.back(), timeLeft });
            else
                receivers.push_back(all.back());
        }
        ranges = evenRanges(all);
    }

    // The owners that give their ranges up in one plan.
    std::set<InstanceId> leaving(bool hasReceivers = true) const
    {
        std::set<InstanceId> ids;
        for (const auto& it : evacuated) {
            const auto owns = [&](const Range& range) { return range.owner == it.owner.id; };
            if (std::any_of(ranges.begin(), ranges.end(), owns))
                ids.insert(it.owner.id);
        }
        for (const auto& it : ownersThatStay(ranges, evacuated, loads, hasReceivers, kPlanInterval))
            ids.erase(it.id);
        return ids;
    }

    // Carries out one plan as the range leader does. Returns the number of slots that move.
    std::uint32_t plan()
    {
        auto owners = receivers;
        std::set<std::uint32_t> fixed;
        for (const auto& it : ownersThatStay(ranges, evacuated, loads, !receivers.empty(), kPlanInterval)) {
            owners.push_back(it);
            for (const auto& range : ranges) {
                if (range.owner == it.id)
                    fixed.insert(range.first.value);
            }
        }
        std::uint32_t moved = 0;
        for (const auto& it : planMoves(ranges, owners, loads, fixed, {})) {
            moved += it.last.value - it.first.value + 1;
            assign(ranges, it.first, it.last, it.to);
        }
        for (auto& it : ranges)
            it.previous.clear();
        for (auto& it : evacuated)
            it.timeLeft -= kPlanInterval;
        return moved;
    }

    bool isEmpty() const
    {
        return std::none_of(ranges.begin(), ranges.end(), [&](const Range& range) {
            return std::any_of(evacuated.begin(), evacuated.end(),
                [&](const EvacuatedOwner& it) { return it.owner.id == range.owner; });
        });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuationOfDataCentres)

// Guards against a host that counts the bound from when it learned of the request, which may be late.
BOOST_AUTO_TEST_CASE(boundCountsFromTheLastCopyWithoutTheRequest)
{
    Evacuations evacuations;
    noteEvacuation(evacuations, "d", revision(1, 7), Millis(1000), Millis(3200));
    BOOST_TEST(isEvacuated(evacuations, "d"));
    BOOST_TEST(!isEvacuated(evacuations, "c"));
    BOOST_TEST(!isClosed(evacuations, "d", kBound, Millis(5400)));
    BOOST_TEST(isClosed(evacuations, "d", kBound, Millis(5500)));
    BOOST_TEST(!isClosed(evacuations, "c", kBound, Millis(90000)));
    // The same state once more, as a read shows it, puts nothing off.
    noteEvacuation(evacuations, "d", revision(1, 7), Millis(5000), Millis(5200));
    BOOST_TEST(isClosed(evacuations, "d", kBound, Millis(5500)));
}

BOOST_AUTO_TEST_CASE(eachDataCentreIsTakenBackByItself)
{
    Evacuations evacuations;
    noteEvacuation(evacuations, "c", revision(1, 7), Millis(0), Millis(10));
    noteEvacuation(evacuations, "d", revision(1, 8), Millis(0), Millis(10));
    noteWithdrawal(evacuations, "c", revision(1, 9));
    BOOST_TEST(!isEvacuated(evacuations, "c"));
    BOOST_TEST(isEvacuated(evacuations, "d"));
    // Asked for again, with a bound of its own.
    noteEvacuation(evacuations, "c", revision(1, 10), Millis(8000), Millis(8100));
    BOOST_TEST(isEvacuated(evacuations, "c"));
    BOOST_TEST(!isClosed(evacuations, "c", kBound, Millis(8200)));
}

// Guards against work in a data centre that an operator has emptied, once the store has lost the request.
BOOST_AUTO_TEST_CASE(storeThatForgetsTheRequestDoesNotTakeItBack)
{
    Evacuations evacuations;
    noteEvacuation(evacuations, "d", revision(1, 7), Millis(0), Millis(10));
    noteMissing(evacuations, "d", revision(2, 5));
    BOOST_TEST(isEvacuated(evacuations, "d"));
    BOOST_TEST(evacuations.active.at("d").isForgotten);
    noteEvacuation(evacuations, "d", revision(2, 9), Millis(9000), Millis(9100));
    BOOST_TEST(!evacuations.active.at("d").isForgotten);
    BOOST_TEST(isClosed(evacuations, "d", kBound, Millis(9100)));
    noteMissing(evacuations, "d", revision(2, 12));
    BOOST_TEST(!isEvacuated(evacuations, "d"));
    // Written and deleted between two polls of the watch: the deletion alone is seen.
    noteEvacuation(evacuations, "d", revision(2, 13), Millis(0), Millis(10));
    noteMissing(evacuations, "d", revision(3, 2));
    noteWithdrawal(evacuations, "d", revision(3, 9));
    BOOST_TEST(!isEvacuated(evacuations, "d"));
    // A deletion that was overtaken by a later request.
    noteEvacuation(evacuations, "d", revision(3, 20), Millis(0), Millis(10));
    noteWithdrawal(evacuations, "d", revision(3, 19));
    BOOST_TEST(isEvacuated(evacuations, "d"));
}

// Guards against a data centre that is emptied again because the store has lost that the request was taken back.
BOOST_AUTO_TEST_CASE(requestThatWasTakenBackDoesNotReturnWithAnOlderCopy)
{
    Evacuations evacuations;
    noteEvacuation(evacuations, "d", revision(1, 7), Millis(0), Millis(10));
    noteWithdrawal(evacuations, "d", revision(1, 20));
    noteEvacuation(evacuations, "d", revision(2, 7), Millis(900), Millis(1000));
    BOOST_TEST(!isEvacuated(evacuations, "d"));
    noteEvacuation(evacuations, "d", revision(2, 21), Millis(1900), Millis(2000));
    BOOST_TEST(isEvacuated(evacuations, "d"));
}

BOOST_AUTO_TEST_CASE(busiestOwnersGiveTheirRangesUpFirst)
{
    Site site(12, 4, Millis(1300));
    site.loads = { { 100, 5.0 }, { kKeySlots / 12 * 2 + 100, 40.0 }, { kKeySlots / 12 * 3 + 100, 9.0 } };
    BOOST_CHECK((site.leaving() == std::set<InstanceId> { owner(2) }));
    site.evacuated.at(1).timeLeft = Millis(0); // its data centre is late
    BOOST_CHECK((site.leaving() == std::set<InstanceId> { owner(2), owner(3) }));
}

BOOST_AUTO_TEST_CASE(ownersKeepTheirRangesIfNobodyElseCanTakeThem)
{
    const Site site(3, 3, Millis(0));
    BOOST_TEST(site.leaving(false).empty());
    BOOST_TEST(site.leaving(true).size() == 3u);
}

// Guards against a plan that takes a whole data centre's slots from their owners at once.
RC_BOOST_PROP(rangesLeaveInEvenStepsWithinTheTime, ())
{
    const int owners = *rc::gen::inRange(6, 60);
    const int evacuated = *rc::gen::inRange(1, owners / 2 + 1);
    const int plans = *rc::gen::inRange(1, 9);
    Site site(owners, evacuated, plans * kPlanInterval);
    for (int n = *rc::gen::inRange(0, 40); n > 0; --n)
        site.loads[*rc::gen::inRange(0u, kKeySlots)] = *rc::gen::inRange(1, 50);
    const std::size_t step = static_cast<std::size_t>((evacuated + plans - 1) / plans);
    for (int n = 0; n < plans; ++n) {
        RC_ASSERT(site.leaving().size() <= step);
        site.plan();
        RC_ASSERT(coversEverySlot(site.ranges));
    }
    RC_ASSERT(site.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
