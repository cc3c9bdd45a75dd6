#include "gateway_fixture.h"

// Tests over real sockets of what upstreams say of themselves in their answers: that they leave, or want no
// requests for a while.
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

// Guards against calls, renewals of grants included, to an upstream that has said for how long it wants none.
BOOST_AUTO_TEST_CASE(oneOwnerThatAsksForAPauseGetsNothingUntilItsEnd)
{
    Fixture site(1);
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream& owner = *site.holder(kSlot);
    owner.turnsAwayFor = "2";
    const Millis begin = monotonicNow();
    std::size_t refused = 0;
    for (int n = 0; monotonicNow() < begin + Millis(1900); ++n) {
        const HttpAnswer answer = site.send("/get/x", "r" + std::to_string(n));
        BOOST_REQUIRE(answer.status == 503);
        const double left = std::chrono::duration<double>(begin + Millis(2000) - monotonicNow()).count();
        const double stated = std::stod(answer.headers.at("retry-after"));
        // The pause may begin with the answer to a renewal, shortly before or after the first request.
        BOOST_TEST(stated > left - 0.1);
        BOOST_TEST(stated < left + 0.6);
        ++refused;
        waitFor(site, Millis(20));
    }
    BOOST_TEST(refused > 20u);
    const auto isPaused = [&](Millis at) { return at >= begin + Millis(500) && at < begin + Millis(2000); };
    BOOST_TEST(std::count_if(owner.callTimes.begin(), owner.callTimes.end(), isPaused) == 0);
    owner.turnsAwayFor.clear();
    BOOST_TEST(site.runLoopUntil([&] { return site.send("/get/x", "after").status == 200; }, Millis(1500)));
    BOOST_TEST(site.holder(kSlot) == &owner);
}

// Guards against requests that wait until their deadline for an upstream that is known to take none until later.
BOOST_AUTO_TEST_CASE(waitingRequestsOfTheOneOwnerAreRefusedAtOnceWithTheTimeLeft)
{
    Fixture site(1);
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream& owner = *site.holder(kSlot);
    owner.runTime = Millis(300);
    std::vector<HttpAnswer> answers;
    for (int n = 0; n < 10; ++n)
        site.client.start(site.call("/get/x", "r" + std::to_string(n)), [&](HttpOutcome outcome) {
            const auto* answer = std::get_if<HttpAnswer>(&outcome);
            answers.push_back(answer ? *answer : HttpAnswer {});
        });
    BOOST_REQUIRE(
        site.runLoopUntil([&, before = owner.received.size()] { return owner.received.size() == before + 2; }));
    owner.turnsAwayFor = "1.5";
    const Millis begin = monotonicNow();
    BOOST_TEST(site.runLoopUntil([&] { return answers.size() == 10; }));
    BOOST_TEST((monotonicNow() - begin).count() < 700);
    std::size_t refused = 0;
    for (const auto& answer : answers) {
        if (answer.status == 200)
            continue;
        ++refused;
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(std::stod(answer.headers.at("retry-after")) > 1);
        BOOST_TEST(std::stod(answer.headers.at("retry-after")) <= 1.5);
    }
    BOOST_TEST(refused == 8u);
}

// Guards against requests that hosts send in turns, which their coordinator gives them, to an upstream that wants none.
BOOST_AUTO_TEST_CASE(upstreamOfAGroupThatAsksForAPauseIsLeftOutAndTheOthersServe)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    RangeUpstream& first = *site.upstreams.back();
    RangeUpstream& second = site.add("pool", "p1");
    waitFor(site, Millis(700));
    first.turnsAwayFor = "30";
    const std::size_t before = first.callTimes.size();
    // The request that is turned away is sent once more, to the other upstream.
    BOOST_TEST(countServed(site, "/pool/x", "one", 30) == 30u);
    BOOST_TEST(first.callTimes.size() <= before + 2); // one from each host
    BOOST_TEST(second.received.size() == 30u);
    // The whole group: refused at once, and nothing reaches an upstream.
    second.turnsAwayFor = "20";
    for (int n = 0; n < 2; ++n)
        BOOST_TEST(site.send("/pool/x", "last" + std::to_string(n), static_cast<std::size_t>(n)).status == 503);
    const std::size_t calls = first.callTimes.size() + second.callTimes.size();
    BOOST_TEST(second.callTimes.size() <= 32u);
    for (int n = 0; n < 10; ++n) {
        const Millis sentAt = monotonicNow();
        const HttpAnswer answer = site.send("/pool/x", "all" + std::to_string(n), static_cast<std::size_t>(n % 2));
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(std::stod(answer.headers.at("retry-after")) > 15); // the shorter of the two pauses
        BOOST_TEST(std::stod(answer.headers.at("retry-after")) <= 20);
        BOOST_TEST((monotonicNow() - sentAt).count() < 300);
    }
    BOOST_TEST(first.callTimes.size() + second.callTimes.size() == calls);
}

// Guards against a caller that is told to come back while a limit still keeps its request from starting.
BOOST_AUTO_TEST_CASE(upstreamWithALimitThatAsksForAPauseKeepsTheLimitAfterIt)
{
    Fixture site(1);
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream& upstream = *site.upstreams.back();
    upstream.statedLimit = "0.5";
    BOOST_REQUIRE(site.send("/pool/x", "told").status == 200);
    waitFor(site, Millis(2100)); // until the limit allows one more
    upstream.turnsAwayFor = "1";
    const Millis begin = monotonicNow();
    for (int n = 0; n < 3; ++n) {
        const HttpAnswer refused = site.send("/pool/x", "paused" + std::to_string(n));
        BOOST_TEST(refused.status == 503);
        // The limit allows the next start 2 s after the request that was turned away.
        BOOST_TEST(std::stod(refused.headers.at("retry-after")) > 1.5);
        BOOST_TEST(std::stod(refused.headers.at("retry-after")) <= 2);
    }
    BOOST_TEST((upstream.callTimes.back() - begin).count() < 500);
    upstream.turnsAwayFor.clear();
    waitFor(site, begin + Millis(1100) - monotonicNow());
    for (int n = 0; n < 6; ++n)
        site.client.start(site.call("/pool/x", "after" + std::to_string(n)), [](const HttpOutcome&) {});
    waitFor(site, Millis(500));
    BOOST_TEST(upstream.received.size() == 1u);
    BOOST_TEST(site.runLoopUntil([&] { return upstream.received.size() == 2; }));
}

// Guards against orders to an upstream that leaves and wants none, and against slots that stay with it.
BOOST_AUTO_TEST_CASE(upstreamThatLeavesDuringItsPauseKeepsItsSlotsUntilTheEndOfThePause)
{
    Fixture site(1);
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream& owner = *site.holder(kSlot);
    owner.notices = { kLeaving };
    owner.turnsAwayFor = "1.5";
    const std::size_t known = owner.callTimes.size();
    BOOST_TEST(site.send("/get/x", "told").status == 503);
    BOOST_REQUIRE(owner.callTimes.size() > known);
    const Millis begin = owner.callTimes[known];
    Timer end([&] { owner.turnsAwayFor.clear(); });
    end.once(begin + Millis(1400) - monotonicNow());
    waitFor(site, begin + Millis(400) - monotonicNow()); // until the range leader has planned the move
    const HttpAnswer refused = site.send("/get/x", "moving");
    BOOST_TEST(refused.status == 503);
    const double left = std::chrono::duration<double>(begin + Millis(1500) - monotonicNow()).count();
    BOOST_TEST(left > 0.9);
    BOOST_TEST(std::stod(refused.headers.at("retry-after")) > left - 0.1);
    int maxHolders = 0;
    BOOST_REQUIRE(site.runLoopUntil([&] {
        maxHolders = std::max(maxHolders, site.holderCount(kSlot));
        const RangeUpstream* holder = site.holder(kSlot);
        return holder && holder != &owner;
    }));
    BOOST_TEST(maxHolders == 1);
    BOOST_TEST(site.holder(kSlot)->lastHandover() == "from-" + owner.name());
    const auto isPaused = [&](Millis at) { return at >= begin + Millis(500) && at < begin + Millis(1500); };
    BOOST_TEST(std::count_if(owner.callTimes.begin(), owner.callTimes.end(), isPaused) == 0);
    BOOST_TEST(site.runLoopUntil([&] { return site.send("/get/x", "moved").status == 200; }));
}

// Guards against a host that learns of a pause only from requests: after a restart its orders are turned away first.
BOOST_AUTO_TEST_CASE(hostThatRestartsLearnsOfAPauseFromItsFirstAnswers)
{
    Fixture site(1);
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream& owner = *site.holder(kSlot);
    owner.turnsAwayFor = "30";
    BOOST_TEST(site.send("/get/x", "told").status == 503);
    site.gateways.clear();
    const std::size_t known = owner.callTimes.size();
    site.addHost(1);
    BOOST_REQUIRE(site.runLoopUntil([&] { return owner.callTimes.size() > known; }));
    const Millis told = owner.callTimes[known];
    site.runLoopUntil(
        [&] {
            site.send("/get/x", "again", 1);
            return false;
        },
        Millis(1500));
    const auto isPaused = [&](Millis at) { return at >= told + Millis(500); };
    BOOST_TEST(std::count_if(owner.callTimes.begin(), owner.callTimes.end(), isPaused) == 0);
}

// Guards against an upload to the one owner of a key whose caller is told to come back too early.
BOOST_AUTO_TEST_CASE(uploadThatItsHostSendsInATurnIsRefusedWithTheTimeLeft)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    for (std::size_t host = 0; host < 2; ++host) {
        RangeUpstream& owner = *site.holder(kSlot);
        owner.turnsAwayFor = "30";
        HttpCall call = site.call("/unsafe/x", "up" + std::to_string(host), host);
        call.body = std::string(3000000, 'x');
        const HttpAnswer answer = site.sendCall(std::move(call));
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(std::stod(answer.headers.at("retry-after")) > 25);
    }
}

// Guards against reports of load that reach only the host that got the answer: one host coordinates both upstreams.
BOOST_AUTO_TEST_CASE(workGoesToTheFasterMachineWhicheverHostSendsIt)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    RangeUpstream& slow = *site.upstreams.back();
    RangeUpstream& fast = site.add("pool", "p1");
    waitFor(site, Millis(700));
    slow.notices = { { "Backend-Load", "0,0,2,1500" } };
    fast.notices = { { "Backend-Load", "0,0,2,100" } };
    for (std::size_t host = 0; host < 2; ++host) {
        for (int n = 0; n < 4; ++n)
            site.send("/pool/x", "told" + std::to_string(n), host);
        const std::size_t before = slow.received.size(), all = before + fast.received.size();
        for (int n = 0; n < 20; ++n)
            site.send("/pool/x", "sent" + std::to_string(n), host);
        BOOST_TEST(slow.received.size() + fast.received.size() == all + 20);
        BOOST_TEST(slow.received.size() <= before + 5); // it is tried once a second
    }
}

// Guards against an upstream that fails its requests at once and so looks like the fastest.
BOOST_AUTO_TEST_CASE(upstreamThatFailsAtOnceGetsLittleOfItsGroupsWork)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    RangeUpstream& failing = *site.upstreams.back();
    RangeUpstream& sound = site.add("pool", "p1");
    sound.runTime = Millis(20);
    waitFor(site, Millis(700));
    failing.status = 500;
    BOOST_TEST(countServed(site, "/pool/x", "failing", 60) >= 50u);
    failing.status = 200;
    BOOST_TEST(site.runLoopUntil([&, before = failing.received.size()] {
        countServed(site, "/pool/x", "mended", 2);
        return failing.received.size() > before + 20;
    }));
}

BOOST_AUTO_TEST_SUITE_END()
