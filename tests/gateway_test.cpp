#include "gateway_fixture.h"

// Tests of the gateway with its platform adapter over real sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

BOOST_AUTO_TEST_SUITE(GatewayOnItsPlatform)

BOOST_AUTO_TEST_CASE(hostWithoutConfigurationAnswers503AndNot404)
{
    Fixture site(0);
    site.store.remove("op/config");
    site.addHost(0);
    BOOST_TEST(site.send("/get/x", "r1").status == 503);
}

BOOST_AUTO_TEST_CASE(requestReachesTheOwnerUnchangedAndItsAnswerIsComplete)
{
    Fixture site;
    for (std::size_t host = 0; host < 2; ++host) {
        BOOST_REQUIRE(site.waitUntilServed(host));
        const std::string id = "r" + std::to_string(host);
        const HttpAnswer answer = site.send("/get/a/../b?q=%2f", id, host);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.headers.at("server-seal") == "seal-" + id);
        RangeUpstream* owner = site.holder(kSlot);
        BOOST_REQUIRE(owner);
        BOOST_TEST(answer.body == "from " + owner->name());
        BOOST_TEST(owner->received.back().target == "/get/a/../b?q=%2f");
        BOOST_TEST(std::stoi(owner->received.back().deadline) <= 2500);
    }
    BOOST_TEST(site.send("/none/x", "r9").status == 404);
    BOOST_TEST(site.send("/pool/x", "r10").status == 200);
    BOOST_TEST(site.runCount("r10") == 1u);
}

BOOST_AUTO_TEST_CASE(newConfigurationIsAppliedAndAnInvalidOrOlderOneIgnored)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    site.store.put("op/config", configuration(2, "/moved/"));
    BOOST_TEST(site.runLoopUntil([&] { return site.send("/moved/x", "r1").status == 200; }));
    BOOST_TEST(site.send("/get/x", "r2").status == 404);
    site.store.put("op/config", "{\"version\":\"0000");
    site.store.put("op/config", configuration(1, "/get/")); // older than the current one
    site.runLoopUntil([] { return false; }, Millis(500));
    BOOST_TEST(site.send("/moved/x", "r3").status == 200);
}

BOOST_AUTO_TEST_CASE(routeOfAnUnknownKindIsServedAsOneThatMayRunOnce)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    BOOST_TEST(site.send("/strange/x", "r1").status == 200);
    BOOST_TEST(site.send("/get/x", "r2").status == 200);
    BOOST_TEST(site.runCount("r1") == 1u);
}

BOOST_AUTO_TEST_CASE(uploadsOfEachSizeArriveWholeThroughBothHops)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    int n = 0;
    for (const std::size_t bytes : { std::size_t(1), std::size_t(60000), kHeldBodyBytes, std::size_t(3000000) }) {
        for (std::size_t host = 0; host < 2; ++host) {
            const std::string id = "up" + std::to_string(n++);
            HttpCall call = site.call("/up/x", id, host);
            call.body.resize(bytes);
            for (std::size_t it = 0; it < bytes; ++it)
                call.body[it] = static_cast<char>('a' + it % 23);
            const std::string sent = call.body;
            const HttpAnswer answer = site.sendCall(std::move(call));
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(site.runCount(id) == 1u);
            BOOST_TEST((site.upstreams.back()->received.back().body == sent));
        }
    }
    HttpCall tooLarge = site.call("/up/x", "large");
    tooLarge.body.resize(4000001);
    const HttpAnswer refused = site.sendCall(std::move(tooLarge));
    BOOST_TEST(refused.status == 413);
    BOOST_TEST(site.runCount("large") == 0u);
}

BOOST_AUTO_TEST_CASE(uploadsDoNotPassThroughTheHostThatCoordinatesTheUpstream)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    for (std::size_t host = 0; host < 2; ++host) {
        HttpCall call = site.call("/up/x", "up" + std::to_string(host), host);
        call.body = std::string(200000, 'x');
        const HttpAnswer answer = site.sendCall(std::move(call));
        BOOST_TEST(answer.status == 200);
    }
    bool hadTurn = false;
    for (const auto& admin : site.adminEndpoints) {
        HttpCall call;
        call.method = "GET";
        call.endpoint = admin;
        call.target = "/metrics";
        const std::string text = site.sendCall(std::move(call)).body;
        hadTurn |= text.find("pistachiospur_peer_messages_total{kind=\"relay_turn\"}") != std::string::npos;
        const auto relayed = text.find("pistachiospur_peer_bytes_total{kind=\"relay\"} ");
        if (relayed != std::string::npos)
            BOOST_TEST(std::stod(text.substr(text.find(' ', relayed))) < 100000);
    }
    BOOST_TEST(hadTurn); // one of the two hosts does not coordinate the upstream
}

BOOST_AUTO_TEST_CASE(uploadThatWaitsForItsTurnIsServedWhenItsCoordinatorIsLost)
{
    for (std::size_t lost = 0; lost < 2; ++lost) {
        Fixture site;
        const std::size_t host = 1 - lost;
        BOOST_REQUIRE(site.waitUntilServed(0));
        BOOST_REQUIRE(site.waitUntilServed(1));
        site.upstreams.back()->runTime = Millis(600);
        // Both slots are taken, so that the third request waits.
        std::map<std::string, int> statuses;
        for (const std::string id : { "a", "b", "c" }) {
            HttpCall call = site.call("/up/x", id, host);
            call.body = std::string(60000, 'x');
            site.client.start(std::move(call), [&statuses, id](HttpOutcome outcome) {
                const auto* answer = std::get_if<HttpAnswer>(&outcome);
                statuses[id] = answer ? answer->status : 0;
            });
            if (id != "c")
                BOOST_REQUIRE(site.runLoopUntil([&] { return site.runCount(id) == 1; }));
        }
        site.runLoopUntil([] { return false; }, Millis(50));
        site.gateways[lost].reset();
        BOOST_TEST(site.runLoopUntil([&] { return statuses.size() == 3; }));
        BOOST_TEST(statuses["c"] == 200);
        for (const std::string id : { "a", "b", "c" })
            BOOST_TEST(site.runCount(id) == 1u);
    }
}

BOOST_AUTO_TEST_CASE(uploadWhoseCallerStallsOrGoesReachesNoUpstream)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    const int fd = connectTo(site.callerEndpoints[0]);
    const std::string part = "POST /up/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: stall\r\nDeadline-Ms: 2500\r\n"
                             "Content-Length: 1000\r\n\r\nhalf";
    site.runLoopUntil([] { return false; }, Millis(50));
    BOOST_REQUIRE(::write(fd, part.data(), part.size()) == static_cast<ssize_t>(part.size()));
    site.runLoopUntil([] { return false; }, Millis(300));
    BOOST_TEST(site.runCount("stall") == 0u);
    ::close(fd);
    BOOST_TEST(site.send("/up/x", "other").status == 200);
    BOOST_TEST(site.runCount("stall") == 0u);
}

BOOST_AUTO_TEST_CASE(pipelinedRequestsRunSideBySideAndAreAnsweredInOrder)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    owner->runTime = Millis(1000);
    const int fd = connectTo(site.callerEndpoints[0]);
    site.runLoopUntil([] { return false; }, Millis(50));
    std::string bytes;
    for (int n = 0; n < 2; ++n)
        bytes += "GET /get/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: p" + std::to_string(n)
            + "\r\nDeadline-Ms: 2500\r\nShard-Key: " + std::to_string(kSlot) + "\r\n\r\n";
    BOOST_REQUIRE(::write(fd, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    std::string answers;
    const auto receive = [&] {
        char buf[4096];
        const auto n = ::recv(fd, buf, sizeof buf, MSG_DONTWAIT);
        if (n > 0)
            answers.append(buf, static_cast<std::size_t>(n));
    };
    // Both run before either is answered.
    BOOST_TEST(site.runLoopUntil([&] { return site.runCount("p0") == 1 && site.runCount("p1") == 1; }));
    receive();
    BOOST_TEST(answers.empty());
    site.runLoopUntil([&] {
        receive();
        return answers.find("seal-p1") != std::string::npos;
    });
    BOOST_TEST(answers.find("seal-p0") < answers.find("seal-p1"));
    ::close(fd);
}

BOOST_AUTO_TEST_CASE(drainingUpstreamsSlotsMoveWithHandoverToOneOwner)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    site.store.put("servers/" + owner->name(), owner->entry("draining"));
    bool hadTwoHolders = false;
    BOOST_TEST(site.runLoopUntil([&] {
        hadTwoHolders |= site.holderCount(kSlot) > 1;
        return site.holderCount(kSlot) == 1 && site.holder(kSlot) != owner;
    }));
    BOOST_TEST(!hadTwoHolders);
    BOOST_TEST(site.holder(kSlot)->lastHandover() == "from-" + owner->name());
    BOOST_REQUIRE(site.waitUntilServed());
    const std::size_t before = owner->received.size();
    for (int n = 0; n < 5; ++n)
        BOOST_TEST(site.send("/unsafe/x", "after" + std::to_string(n)).status == 200);
    BOOST_TEST(owner->received.size() == before);
}

BOOST_AUTO_TEST_CASE(lostUpstreamsSlotsMoveOnlyAfterItsGrantHasExpired)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    // The owner's entry is deleted and it answers no orders, but its grant has not expired.
    owner->crashed = true;
    const auto stillHeld = [&] {
        owner->crashed = false;
        const bool held = owner->holds(kSlot);
        owner->crashed = true;
        return held;
    };
    site.store.remove("servers/" + owner->name());
    bool tooEarly = false;
    BOOST_TEST(site.runLoopUntil([&] {
        tooEarly |= site.holderCount(kSlot) > 0 && stillHeld();
        return site.holderCount(kSlot) > 0;
    }));
    BOOST_TEST(!tooEarly);
    BOOST_TEST(site.waitUntilServed());
}

BOOST_AUTO_TEST_CASE(previousInstanceOfARestartedUpstreamDoesNotBlockItsSlots)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    owner->crashed = true;
    site.add("keyed", owner->name(), 2000);
    BOOST_TEST(site.runLoopUntil([&] { return site.holderCount(kSlot) == 1; }));
    BOOST_TEST(site.waitUntilServed());
}

BOOST_AUTO_TEST_CASE(anotherHostLeadsAndSlotsKeepOneOwnerWhenTheRangeLeaderIsLost)
{
    Fixture site(3);
    BOOST_REQUIRE(site.waitUntilServed());
    const auto leader = [&] { return Json::parse(site.store.value("pistachiospur/keepers/keyed"), nullptr, false); };
    BOOST_REQUIRE(site.runLoopUntil([&] { return leader().is_object(); }));
    const std::string first = leader()["host"];
    const auto n = static_cast<std::size_t>(first.back() - '0');
    site.gateways[n].reset();
    bool hadNoHolder = false, hadTwoHolders = false;
    BOOST_TEST(site.runLoopUntil([&] {
        hadNoHolder |= site.holderCount(kSlot) == 0;
        hadTwoHolders |= site.holderCount(kSlot) > 1;
        const Json now = leader();
        return now.is_object() && now["host"] != first;
    }));
    BOOST_TEST(site.waitUntilServed(n == 0 ? 1 : 0));
    BOOST_TEST(!hadTwoHolders);
    BOOST_TEST(!hadNoHolder);
}

BOOST_AUTO_TEST_CASE(requestsAreServedDuringAStoreOutage)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    for (const auto fault : { StoreFault::refuse, StoreFault::silent }) {
        // The leader's lease is renewed between the outages. Each outage is longer than any grant, so requests are only
        // served if the leader keeps renewing grants without the store.
        site.runLoopUntil([] { return false; }, Millis(1000));
        site.store.fault = fault;
        const Millis end = monotonicNow() + Millis(4000);
        int failed = 0;
        while (monotonicNow() < end)
            failed += site.send("/get/x", "during").status != 200;
        BOOST_TEST(failed == 0);
        site.store.fault = StoreFault::none;
        site.store.put("op/config", configuration(fault == StoreFault::refuse ? 5 : 6, "/get/"));
        BOOST_TEST(site.waitUntilServed());
    }
}

BOOST_AUTO_TEST_CASE(drainCompletesAfterTheStoreLostAnswersToWrites)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    site.store.fault = StoreFault::loseAnswers;
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    site.store.put("servers/" + owner->name(), owner->entry("draining"));
    site.runLoopUntil([] { return false; }, Millis(2000));
    site.store.fault = StoreFault::none;
    BOOST_TEST(site.runLoopUntil([&] { return site.holderCount(kSlot) == 1 && site.holder(kSlot) != owner; }));
    BOOST_TEST(site.waitUntilServed());
}

BOOST_AUTO_TEST_CASE(storeIsReadAgainAfterItDiscardedItsHistory)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    site.store.fault = StoreFault::silent;
    site.store.put("op/config", configuration(2, "/moved/"));
    site.store.compactHistory();
    site.store.fault = StoreFault::none;
    BOOST_TEST(site.runLoopUntil([&] { return site.send("/moved/x", "r1").status == 200; }));
}

BOOST_AUTO_TEST_CASE(requestIsAbortedAtTheUpstreamWhenItsCallerCloses)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    owner->runTime = Millis(2000);
    for (std::size_t host = 0; host < 2; ++host) {
        const std::string id = "gone" + std::to_string(host);
        const auto call = site.client.start(site.call("/get/x", id, host), [](const HttpOutcome&) {});
        BOOST_REQUIRE(site.runLoopUntil([&] { return site.runCount(id) == 1; }));
        site.client.cancel(call);
        BOOST_TEST(site.runLoopUntil(
            [&] {
                return std::any_of(owner->received.begin(), owner->received.end(),
                    [&](const auto& it) { return it.id == id && it.callerGone; });
            },
            Millis(1500)));
    }
}

BOOST_AUTO_TEST_CASE(upstreamAtAnEndedInstancesAddressGetsNoRequests)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    // The entry of an ended instance contains the address of another upstream.
    RangeUpstream other("pool", "other", 3000, false);
    Json entry = Json::parse(owner->entry());
    entry["address"] = Json::parse(other.entry())["address"];
    owner->crashed = true;
    site.store.put("servers/" + owner->name(), entry.dump());
    BOOST_TEST(site.waitUntilServed());
    BOOST_TEST(other.received.empty());
    BOOST_TEST(site.holder(kSlot) != owner);
}

// Guards against a configuration that is not in force on a host that hears no watching host: it waited for one after
// the other of its data centre and came back to the first before its own turn.
BOOST_AUTO_TEST_CASE(hostThatHearsNoWatchingHostFollowsTheConfiguration)
{
    constexpr int kSilentHosts = 16;
    Fixture site(0);
    std::vector<std::unique_ptr<PeerHub>> silentHosts; // answer on their links, but never relay a change
    for (int n = 0; n < kSilentHosts; ++n) {
        const HostName name = "silent" + std::to_string(n);
        const PeerHub::Handlers handlers { [](const HostLife&, LinkId, const Message&) {}, nullptr,
            [](const HostName&) { return std::nullopt; } };
        silentHosts.push_back(
            std::make_unique<PeerHub>(Endpoint { "127.0.0.1", 0 }, Hello { name, { 1 }, false }, handlers));
        site.store.put("pistachiospur/hosts/" + name,
            Json { { "data_centre", "z1" }, { "address", "127.0.0.1" }, { "port", silentHosts.back()->port() },
                { "incarnation", 1 }, { "weight", 100 }, { "leaving", false } }
                .dump());
    }
    site.addHost(0);
    const auto version = [&] {
        HttpCall call;
        call.method = "GET";
        call.endpoint = site.adminEndpoints[0];
        call.target = "/status";
        return Json::parse(site.sendCall(call).body, nullptr, false).value("configuration", 0);
    };
    BOOST_REQUIRE(site.runLoopUntil([&] { return version() == 1; }));
    site.runLoopUntil([] { return false; }, Millis(1500)); // until it follows, also in its first seconds
    site.store.put("op/config", configuration(2, "/moved/"));
    BOOST_TEST(site.runLoopUntil([&] { return version() == 2; }));
}

// Guards against requests beyond the limit that an upstream names: what it does not take is refused at once, unsent.
BOOST_AUTO_TEST_CASE(upstreamThatNamesALimitGetsNoMoreThanThat)
{
    for (const char* path : { "/get/x", "/pool/x" }) {
        Fixture site;
        BOOST_REQUIRE(site.waitUntilServed(0));
        BOOST_REQUIRE(site.waitUntilServed(1));
        for (auto& it : site.upstreams)
            it->statedLimit = "0.01";
        std::size_t served = 0;
        for (int n = 0; n < 12; ++n) {
            const HttpAnswer answer = site.send(path, "r" + std::to_string(n), static_cast<std::size_t>(n % 2));
            served += answer.status == 200;
            if (answer.status != 200) {
                BOOST_TEST(answer.status == 503);
                BOOST_TEST(std::stod(answer.headers.at("retry-after")) > 0);
                BOOST_TEST(site.runCount("r" + std::to_string(n)) == 0u);
            }
        }
        // The first answer names the limit; the hosts that it passes know it from then on.
        BOOST_TEST(served >= 1u);
        BOOST_TEST(served <= 4u);
    }
}

BOOST_AUTO_TEST_SUITE_END()
