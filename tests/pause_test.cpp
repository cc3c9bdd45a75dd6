#include "requests/pause.h"
#include "requests/queue.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

using namespace pistachiospur;

namespace {

const InstanceId kUpstream { "u", { 1 } };
const HostName kHost = "h1";

} // namespace

BOOST_AUTO_TEST_SUITE(PausesOfUpstreams)

// Guards against requests to an upstream within a time for which it wants none, whatever answers overlap.
RC_BOOST_PROP(nothingStartsWithinAnyStatedTime, ())
{
    const Millis step(*rc::gen::inRange(1, 60));
    Pauses pauses;
    std::vector<std::pair<Millis, Millis>> stated; // from, to
    for (Millis now(0); now < Millis(20000); now += step) {
        if (*rc::gen::inRange(0, 40) == 0) {
            const Millis duration(*rc::gen::inRange(-100, 3000));
            notePause(pauses, kUpstream, kHost, duration, now);
            stated.emplace_back(now, now + duration);
        }
        if (*rc::gen::inRange(0, 10) == 0)
            removeEnded(pauses, now);
        Millis end = now;
        for (const auto& [from, to] : stated)
            end = std::max(end, to);
        RC_ASSERT(pauseLeft(pauses, kUpstream, kHost, now) == end - now);
    }
}

BOOST_AUTO_TEST_CASE(pauseIsOfOneHostAndOneLifeOfTheUpstream)
{
    Pauses pauses;
    BOOST_TEST(notePause(pauses, kUpstream, kHost, Millis(1500), Millis(100)));
    BOOST_TEST(!notePause(pauses, kUpstream, kHost, Millis(200), Millis(200)));
    BOOST_TEST(pauseLeft(pauses, kUpstream, kHost, Millis(200)).count() == 1400);
    BOOST_TEST(pauseLeft(pauses, kUpstream, "h2", Millis(200)).count() == 0);
    BOOST_TEST(pauseLeft(pauses, { "u", { 2 } }, kHost, Millis(200)).count() == 0);
    removeEnded(pauses, Millis(1599));
    BOOST_TEST(pauseLeft(pauses, kUpstream, kHost, Millis(1599)).count() == 1);
    removeEnded(pauses, Millis(1600));
    BOOST_TEST(pauses.ends.empty());
}

BOOST_AUTO_TEST_CASE(onlyPositiveTimesAskForAPause)
{
    for (const char* text : { "", "0", "-1", "-inf", "nan", "soon", "1 s", "Wed, 21 Oct 2026 07:28:00 GMT" })
        BOOST_TEST(parsePause(text).count() == 0);
    BOOST_TEST(parsePause("2").count() == 2000);
    BOOST_TEST(parsePause("0.25").count() == 250);
    BOOST_TEST(parsePause("0.0001").count() == 1); // never less than stated
    for (const char* text : { "3601", "1e300", "1e999", "inf" })
        BOOST_TEST(parsePause(text).count() == kMaxPause.count());
}

// Guards against a request that its host may not send holding up those of other hosts behind it.
BOOST_AUTO_TEST_CASE(requestThatMayNotStartYetDoesNotHoldUpOthers)
{
    UpstreamQueue queue;
    const QueuePolicy policy { 4, 50, { { 0, 0.1 }, { 1, 0.1 } }, 2, true };
    for (const std::uint64_t id : { 1, 2, 3 })
        BOOST_REQUIRE(!enqueue(queue, policy, { id, 1, Millis(2000) }, Millis(0)).has_value());
    BOOST_REQUIRE(!enqueue(queue, policy, { 4, 0, Millis(2000) }, Millis(0)).has_value());
    const std::set<std::uint64_t> paused = { 1, 4 };
    const auto isStartable = [&](const WaitingRequest& it) { return paused.count(it.id) == 0; };
    BOOST_TEST(startNext(queue, policy, Millis(0), isStartable)->id == 2u);
    BOOST_TEST(startNext(queue, policy, Millis(0), isStartable)->id == 3u);
    BOOST_TEST(!startNext(queue, policy, Millis(0), isStartable).has_value());
    BOOST_TEST(waitingCount(queue) == 2u);
    BOOST_TEST(holdsInvariants(queue, policy));
    BOOST_TEST(startNext(queue, policy, Millis(0))->id == 4u);
}

BOOST_AUTO_TEST_SUITE_END()
