#include "requests/spread.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <random>

using namespace pistachiospur;

namespace {

constexpr Millis kTarget { 800 };

} // namespace

BOOST_AUTO_TEST_SUITE(Spread)

BOOST_AUTO_TEST_CASE(requestGoesToTheGroupWithTheShorterWait)
{
    std::vector<GroupTarget> groups = { { 3, false, false, 300 }, { 30, false, false, 0 } };
    BOOST_TEST(chooseGroup(groups, kTarget, 0) == 1u);
    groups[1].waitMs = 400;
    BOOST_TEST(chooseGroup(groups, kTarget, 0.99) == 0u);
}

BOOST_AUTO_TEST_CASE(requestStaysInItsDataCentreUntilThatCostsTheCallerTime)
{
    std::vector<GroupTarget> groups = { { 3, false, false, 0 }, { 30, true, false, 0 } };
    BOOST_TEST(chooseGroup(groups, kTarget, 0.99) == 0u);
    groups[0].waitMs = 100;
    BOOST_TEST(chooseGroup(groups, kTarget, 0.99) == 0u);
    groups[0].waitMs = 300;
    BOOST_TEST(chooseGroup(groups, kTarget, 0.01) == 1u);
    // The other data centre is fuller still.
    groups[1].waitMs = 300;
    BOOST_TEST(chooseGroup(groups, kTarget, 0.99) == 0u);
}

BOOST_AUTO_TEST_CASE(requestThatWasRefusedGoesElsewhere)
{
    const std::vector<GroupTarget> groups = { { 3, false, true, 0 }, { 3, true, false, 0 } };
    BOOST_TEST(chooseGroup(groups, kTarget, 0) == 1u);
}

BOOST_AUTO_TEST_CASE(largeBodyStaysInItsDataCentreUnlessThatIsMuchSlower)
{
    const UpstreamTarget near { 200, 1, true, false }, far { 200, 0, false, false }, fast { 90, 0, false, false };
    BOOST_TEST(upstreamCost(near, true) < upstreamCost(far, true));
    BOOST_TEST(upstreamCost(near, false) > upstreamCost(far, false));
    BOOST_TEST(upstreamCost(near, true) > upstreamCost(fast, true));
    // One that did not run a request lately comes last.
    BOOST_TEST(upstreamCost({ 50, 0, true, true }, true) > upstreamCost({ 2000, 2, false, false }, true));
    // One without a sample is neither the first nor the last.
    BOOST_TEST(upstreamCost({ 50, 0, true, false }, true) < upstreamCost({ 0, 0, true, false }, true));
    BOOST_TEST(upstreamCost({ 500, 0, true, false }, true) > upstreamCost({ 0, 0, true, false }, true));
}

BOOST_AUTO_TEST_CASE(groupsThatAreAlikeGetRequestsInProportionToTheirSlots)
{
    const std::vector<GroupTarget> groups
        = { { 10, false, false, 0 }, { 0, false, false, 0 }, { 30, false, false, 5 } };
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> draws(0, 1);
    std::vector<int> counts(3);
    for (int n = 0; n < 4000; ++n)
        ++counts[chooseGroup(groups, kTarget, draws(random))];
    BOOST_TEST(counts[1] == 0);
    BOOST_TEST(std::abs(counts[0] - 1000) < 120);
}

BOOST_AUTO_TEST_CASE(groupThatWasFullIsTriedAgain)
{
    const GroupLoad load { 400, Millis(1000) };
    BOOST_TEST(waitNow(load, Millis(1000)) == 400);
    BOOST_TEST(waitNow(load, Millis(1500)) == 200);
    BOOST_TEST(waitNow(load, Millis(1000) + kWaitReportLifetime) == 0);
    BOOST_TEST(waitNow({}, Millis(5)) == 0);
}

RC_BOOST_PROP(choiceHasSlotsIfAnyGroupHas, ())
{
    std::vector<GroupTarget> groups;
    for (int n = *rc::gen::inRange(1, 9); n > 0; --n)
        groups.push_back({ *rc::gen::inRange(0u, 5u), *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
            static_cast<double>(*rc::gen::inRange(0, 2000)) });
    const bool any = std::any_of(groups.begin(), groups.end(), [](const auto& it) { return it.slots > 0; });
    const auto chosen = chooseGroup(groups, kTarget, *rc::gen::inRange(0, 1000) / 1000.0);
    RC_ASSERT(chosen < groups.size());
    RC_ASSERT(!any || groups[chosen].slots > 0);
}

BOOST_AUTO_TEST_SUITE_END()
