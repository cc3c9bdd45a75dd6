#include "membership/reach.h"
#include "peers/messages.h"

#include <boost/test/unit_test.hpp>

// Which upstreams a host has lost, from its connections. All times are virtual.
using namespace pistachiospur;

namespace {

const ServiceName kService = "keyed";

InstanceId upstream(int n) { return { "k" + std::to_string(n), { 1000 } }; }

// Connections that failed at `n` upstreams from a time on, twice each. If `otherConnectedAt` is not negative, one to
// another upstream was made then.
Reach lostUpstreams(int n, Millis at, Millis otherConnectedAt = Millis(-1))
{
    Reach reach;
    if (otherConnectedAt >= Millis(0))
        noteConnected(reach, kService, upstream(n), otherConnectedAt);
    for (int it = 0; it < n; ++it) {
        noteNotConnected(reach, kService, upstream(it), at, at);
        noteNotConnected(reach, kService, upstream(it), at + Millis(100), at + Millis(100));
    }
    updateLost(reach);
    return reach;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Reachability)

// Guards against hosts that pass for reaching a service although all their connections to it fail.
BOOST_AUTO_TEST_CASE(serviceIsLostOnceNoneOfItsUpstreamsAcceptsAConnection)
{
    Reach reach;
    noteConnected(reach, kService, upstream(0), Millis(500));
    noteNotConnected(reach, kService, upstream(0), Millis(1000), Millis(1400));
    BOOST_TEST(!updateLost(reach));
    BOOST_TEST(mayHaveLost(reach, kService));
    BOOST_TEST(needsComparison(reach, kService));
    noteNotConnected(reach, kService, upstream(0), Millis(1500), Millis(1900));
    BOOST_TEST(updateLost(reach));
    BOOST_TEST(reach.lost.services.empty());
    BOOST_TEST(!reaches(reach.lost, kService, upstream(0)));
    BOOST_TEST(reaches(reach.lost, kService, upstream(1)));
    noteNotConnected(reach, kService, upstream(1), Millis(1500), Millis(1900));
    noteNotConnected(reach, kService, upstream(1), Millis(2000), Millis(2400));
    BOOST_TEST(updateLost(reach));
    BOOST_TEST(reach.lost.services.count(kService) == 1);
    BOOST_TEST(reach.lost.upstreams.empty());
    BOOST_TEST(!reaches(reach.lost, kService, upstream(2)));
    BOOST_TEST(!updateLost(reach));
}

// Guards against a host that is taken for cut off because some upstreams are down.
BOOST_AUTO_TEST_CASE(serviceIsNotLostWhileOneOfItsUpstreamsAcceptsConnections)
{
    Reach reach = lostUpstreams(3, Millis(1000), Millis(1200));
    BOOST_TEST(!mayHaveLost(reach, kService));
    BOOST_TEST(reach.lost.services.empty());
    BOOST_TEST(reach.lost.upstreams.size() == 3);
}

// Guards against answers to requests that were sent before a cut: their connections prove nothing of the time since.
BOOST_AUTO_TEST_CASE(connectionMadeBeforeTheFailuresDoesNotEndThem)
{
    Reach reach = lostUpstreams(2, Millis(1000));
    noteConnected(reach, kService, upstream(0), Millis(900));
    updateLost(reach);
    BOOST_TEST(reach.lost.services.count(kService) == 1);
    noteNotConnected(reach, kService, upstream(3), Millis(800), Millis(1200));
    noteConnected(reach, kService, upstream(3), Millis(950));
    updateLost(reach);
    BOOST_TEST(reach.lost.services.count(kService) == 1);
}

// Guards against hosts that stay out of use after a cut.
BOOST_AUTO_TEST_CASE(firstConnectionAfterACutCountsForAllUpstreamsOfTheService)
{
    Reach reach = lostUpstreams(5, Millis(1000));
    noteConnected(reach, kService, upstream(4), Millis(3000));
    BOOST_TEST(updateLost(reach));
    BOOST_TEST(reach.lost.empty());
    noteNotConnected(reach, kService, upstream(1), Millis(3100), Millis(3100));
    noteNotConnected(reach, kService, upstream(1), Millis(3200), Millis(3200));
    BOOST_TEST(updateLost(reach));
    BOOST_TEST(reach.lost.upstreams.count(upstream(1)) == 1);
}

// Guards against a flood of connections to upstreams that are down.
BOOST_AUTO_TEST_CASE(probesAreBoundedAndBecomeRarer)
{
    Reach reach = lostUpstreams(9, Millis(1000), Millis(1500));
    BOOST_TEST(reach.lost.services.empty());
    unsigned probes = 0;
    for (Millis now { 2000 }; now < Millis(22000); now += Millis(25)) {
        const auto due = dueProbes(reach, 2, now);
        BOOST_REQUIRE(due.size() <= 2);
        probes += due.size();
        for (const auto& it : due)
            noteNotConnected(reach, kService, it, now, now);
    }
    BOOST_TEST(probes >= 9 * 4);
    BOOST_TEST(probes <= 9 * 13);
}

BOOST_AUTO_TEST_CASE(upstreamsThatAreGoneAreForgotten)
{
    Reach reach = lostUpstreams(3, Millis(1000));
    removeContacts(reach, [](const InstanceId& it) { return it == upstream(0); });
    updateLost(reach);
    BOOST_TEST(reach.lost.services.empty());
    BOOST_TEST(reach.lost.upstreams.size() == 1);
}

// Guards against a message from every host to every other for each upstream that ends.
BOOST_AUTO_TEST_CASE(singleUpstreamsAreReportedOnceTheyHaveFailedForAWhile)
{
    const Reach reach = lostUpstreams(1, Millis(1000), Millis(1200));
    BOOST_REQUIRE(reach.lost.upstreams.size() == 1);
    BOOST_TEST(reportOf(reach, Millis(1000)).empty());
    BOOST_TEST(reportOf(reach, Millis(1001)).upstreams.size() == 1);
}

BOOST_AUTO_TEST_CASE(onlyUpstreamOfAServiceIsReportedAtOnce)
{
    const Reach reach = lostUpstreams(1, Millis(1000));
    BOOST_REQUIRE(reach.lost.upstreams.size() == 1);
    BOOST_TEST(reportOf(reach, Millis(0)).upstreams.size() == 1);
}

BOOST_AUTO_TEST_CASE(lostServicesAreReportedAtOnce)
{
    const Reach reach = lostUpstreams(2, Millis(1000));
    BOOST_REQUIRE(reach.lost.services.count(kService) == 1);
    BOOST_TEST(reportOf(reach, Millis(0)).services.count(kService) == 1);
}

BOOST_AUTO_TEST_CASE(reportSurvivesTheCodec)
{
    const ReachReport report { { "a", "b" }, { upstream(1), upstream(2) } };
    const auto decoded = decode(encode(report));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((std::get<ReachReport>(*decoded) == report));
}

BOOST_AUTO_TEST_SUITE_END()
