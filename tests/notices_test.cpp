#include "gateway_fixture.h"

// Tests over real sockets of what upstreams say of themselves in their answers: that they leave.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

const std::pair<std::string, std::string> kLeaving { "Server-Leaving", "1" };

// Sends requests through both hosts in turn; returns how many were served.
std::size_t countServed(Fixture& site, const std::string& path, const std::string& prefix, int requests)
{
    std::size_t served = 0;
    for (int n = 0; n < requests; ++n)
        served += site.send(path, prefix + std::to_string(n), static_cast<std::size_t>(n % 2)).status == 200;
    return served;
}

void waitFor(Fixture& site, Millis duration)
{
    site.runLoopUntil([] { return false; }, duration);
}

} // namespace

BOOST_AUTO_TEST_SUITE(NoticesOfUpstreams)

// Guards against requests to an upstream that has said in an answer that it leaves, while its entry says `ready`.
BOOST_AUTO_TEST_CASE(upstreamWhoseAnswerSaysThatItLeavesGetsNoNewWorkFromAnyHost)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    RangeUpstream& leaving = *site.upstreams.back();
    site.add("pool", "p1");
    waitFor(site, Millis(700));
    leaving.notices = { kLeaving };
    BOOST_REQUIRE(site.runLoopUntil([&, before = leaving.received.size()] {
        countServed(site, "/pool/x", "told", 1); // through host 0
        return leaving.received.size() > before;
    }));
    waitFor(site, Millis(100));
    const std::size_t known = leaving.received.size();
    BOOST_TEST(countServed(site, "/pool/x", "after", 20) == 20u);
    site.store.put("servers/p0", leaving.entry()); // `ready` once more
    waitFor(site, Millis(700));
    BOOST_TEST(countServed(site, "/pool/x", "again", 20) == 20u);
    site.store.remove("servers/p0");
    waitFor(site, Millis(700));
    site.store.put("servers/p0", leaving.entry());
    waitFor(site, Millis(700));
    BOOST_TEST(countServed(site, "/pool/x", "back", 20) == 20u);
    BOOST_TEST(leaving.received.size() == known);
    // Another life under the same name is another upstream.
    RangeUpstream& reborn = site.add("pool", "p0", 2000);
    site.store.remove("servers/p1");
    BOOST_TEST(site.runLoopUntil([&] {
        countServed(site, "/pool/x", "life", 2);
        return !reborn.received.empty();
    }));
}

// Guards against slots that stay with an upstream that leaves, or change hands without the hand-over.
BOOST_AUTO_TEST_CASE(slotsOfAnUpstreamWhoseAnswerSaysThatItLeavesMoveWithHandover)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    RangeUpstream& leaving = *site.holder(kSlot);
    leaving.notices = { kLeaving };
    BOOST_REQUIRE(site.send("/get/x", "told").status == 200);
    waitFor(site, Millis(50));
    const std::size_t known = leaving.received.size();
    int maxHolders = 0;
    BOOST_REQUIRE(site.runLoopUntil([&] {
        maxHolders = std::max(maxHolders, site.holderCount(kSlot));
        const RangeUpstream* holder = site.holder(kSlot);
        return holder && holder != &leaving;
    }));
    BOOST_TEST(maxHolders == 1);
    BOOST_TEST(site.holder(kSlot)->lastHandover() == "from-" + leaving.name());
    BOOST_TEST(site.runLoopUntil([&] { return site.send("/get/x", "moved", 1).status == 200; }));
    BOOST_TEST(leaving.received.size() == known);
    BOOST_TEST(site.runLoopUntil([&] { return !leaving.holds(0) && !leaving.holds(65535); }));
}

// Guards against a sound upstream that is given up on the word of an answer that proves nothing.
BOOST_AUTO_TEST_CASE(answerThatIsNotTheUpstreamsSaysNothingOfItsDeparture)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    RangeUpstream& upstream = *site.upstreams.back();
    upstream.notices = { kLeaving };
    upstream.sealsAnswers = false;
    BOOST_TEST(site.send("/pool/x", "spoiled").status == 502);
    upstream.sealsAnswers = true;
    upstream.notices = { { "Server-Leaving", "0" } };
    BOOST_TEST(site.send("/pool/x", "r1").status == 200);
    upstream.notices = {};
    BOOST_TEST(site.send("/pool/x", "r2").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
