#include "requests/pace.h"
#include "requests/queue.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <vector>

using namespace pistachiospur;

namespace {

RateNotice limitOf(double perSecond) { return { RateNotice::Kind::limited, perSecond }; }
constexpr RateNotice kNoLimit { RateNotice::Kind::unlimited, 0 };

constexpr Millis kWindow { 4000 };

// What the platform allows an upstream with a limit to get within kWindow.
double allowedWithinWindow(double perSecond)
{
    return 1.5 * perSecond * std::chrono::duration<double>(kWindow).count() + 5;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PaceOfStarts)

// Guards against more requests to an upstream than it states that it takes.
RC_BOOST_PROP(noWindowHasMoreStartsThanAllowed, ())
{
    const double perSecond = *rc::gen::elementOf(std::vector<double> { 0.001, 0.3, 1, 3.3, 17, 400 });
    const Millis step(*rc::gen::inRange(1, 60));
    Pace pace;
    noteRate(pace, limitOf(perSecond), Millis(0), Millis(0));
    std::vector<Millis> starts;
    for (Millis now(0); now < Millis(20000); now += step) {
        while (timeToStart(pace, 0, now) == Millis(0)) {
            spendStart(pace, now);
            starts.push_back(now);
        }
        noteRate(pace, limitOf(perSecond), now, now); // each answer states it again
    }
    for (auto it = starts.begin(); it != starts.end(); ++it) {
        const auto end = std::lower_bound(it, starts.end(), *it + kWindow);
        RC_ASSERT(static_cast<double>(end - it) <= allowedWithinWindow(perSecond));
    }
}

BOOST_AUTO_TEST_CASE(limitIsUsedAlmostFully)
{
    Pace pace;
    noteRate(pace, limitOf(10), Millis(0), Millis(0));
    int starts = 0;
    for (Millis now(0); now < Millis(10000); now += Millis(25)) {
        if (timeToStart(pace, 0, now) == Millis(0)) {
            spendStart(pace, now);
            ++starts;
        }
    }
    BOOST_TEST(starts >= 95);
}

BOOST_AUTO_TEST_CASE(limitEndsWhenALaterRequestsAnswerNamesNone)
{
    Pace pace;
    noteRate(pace, limitOf(2), Millis(100), Millis(300));
    noteRate(pace, kNoLimit, Millis(200), Millis(400)); // sent before the limit was stated
    BOOST_TEST(pace.perSecond.has_value());
    noteRate(pace, RateNotice {}, Millis(500), Millis(600));
    BOOST_TEST(pace.perSecond.has_value());
    noteRate(pace, kNoLimit, Millis(500), Millis(600));
    BOOST_TEST(!pace.perSecond.has_value());
    BOOST_TEST(timeToStart(pace, 100, Millis(600)).count() == 0);
}

BOOST_AUTO_TEST_CASE(onlyPositiveFiniteNumbersAreLimits)
{
    for (const char* text : { "", "0", "-3", "many", "nan", "inf", "1e999", "3 per second" })
        BOOST_TEST((parseRate(text) == RateNotice {}));
    BOOST_TEST((parseRate("3.3") == limitOf(3.3)));
    BOOST_TEST((parseRate("0.25") == limitOf(0.25)));
    BOOST_TEST((parseRate("1e30") == limitOf(1e30)));
}

BOOST_AUTO_TEST_CASE(requestThatTheLimitLetsStartTooLateIsRefusedAtOnce)
{
    UpstreamQueue queue;
    QueuePolicy policy { 2, 50, { { 0, 0.1 }, { 1, 0.1 } }, 2, true };
    policy.startsPerSecond = 2;
    policy.nextStartIn = Millis(500);
    int accepted = 0;
    for (std::uint64_t n = 0; n < 20; ++n)
        accepted += !enqueue(queue, policy, { n, 1, Millis(2000) }, Millis(0)).has_value();
    BOOST_TEST(accepted >= 1);
    BOOST_TEST(accepted <= 4); // starts within 2 s
    // An urgent request starts before those that wait, so it is accepted.
    BOOST_TEST(!enqueue(queue, policy, { 100, 0, Millis(2000) }, Millis(0)).has_value());
    policy.nextStartIn = Millis(5000);
    UpstreamQueue idle;
    BOOST_TEST(enqueue(idle, policy, { 1, 0, Millis(2000) }, Millis(0)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
