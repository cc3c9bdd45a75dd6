#include "io/body.h"
#include "requests/crowding.h"

#include <boost/test/unit_test.hpp>

using namespace pistachiospur;

BOOST_AUTO_TEST_SUITE(Crowding)

BOOST_AUTO_TEST_CASE(theOneThatHoldsTheMostForTheLongestIsTheHeaviest)
{
    const Millis now { 10000 };
    BOOST_TEST(!heaviestCaller({}, now).has_value());
    BOOST_TEST(!heaviestCaller({ CallerLoad { 0, Millis(0) } }, now).has_value());
    // A large upload that has just begun is lighter than a small one that has stopped.
    BOOST_TEST(*heaviestCaller({ { 250000, Millis(9900) }, { 20000, Millis(5000) }, { 900, Millis(0) } }, now) == 1u);
    // A clock that was read earlier counts as now.
    BOOST_TEST(*heaviestCaller({ { 10, Millis(20000) }, { 20, Millis(20000) } }, now) == 1u);
}

BOOST_AUTO_TEST_CASE(theIdlestThatNeverSentARequestGoesFirst)
{
    const Millis now { 10000 }, quiet { 100 };
    const CallerLoad running { 0, Millis(0), false, true }, fresh { 0, Millis(9950), false, false },
        kept { 0, Millis(1000), true, false }, silent { 0, Millis(9000), false, false },
        older { 0, Millis(8000), false, false };
    BOOST_TEST(!idlestCaller({ running, fresh }, quiet, now).has_value());
    BOOST_TEST(*idlestCaller({ running, fresh, kept }, quiet, now) == 2u);
    BOOST_TEST(*idlestCaller({ kept, silent, older, fresh }, quiet, now) == 2u);
}

// A large request leaves as much as it takes; a request alone may take all.
BOOST_AUTO_TEST_CASE(largeRequestsLeaveRoomForSmallOnes)
{
    const auto budget = std::make_shared<MemoryBudget>(1000);
    BodyCharge alone(budget);
    BOOST_TEST(alone.take(1000));
    alone.give(1000);
    BodyCharge first(budget), second(budget), small(budget);
    BOOST_TEST(first.take(400));
    BOOST_TEST(!second.take(400));
    BOOST_TEST(second.bytes() == 0u);
    BOOST_TEST(small.take(100));
    BOOST_TEST(budget->used() == 500u);
}

BOOST_AUTO_TEST_CASE(shortageIsReportedBeforeARequestIsRefused)
{
    const auto budget = std::make_shared<MemoryBudget>(1000);
    auto stalled = std::make_unique<BodyCharge>(budget);
    BOOST_TEST(stalled->take(900));
    budget->onShortage([&](std::size_t) { stalled.reset(); });
    BodyCharge next(budget);
    BOOST_TEST(next.take(400));
    BOOST_TEST(budget->used() == 400u);
}

BOOST_AUTO_TEST_SUITE_END()
