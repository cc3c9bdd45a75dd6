#include "gateway/catch_up.h"
#include "gateway_fixture.h"

// Hosts that cannot read the store, or only slowly, while others can. Each host calls the store at an address of its
// own.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

// Within which a change must be in force, as the settings have it.
constexpr Millis kChangeTime { 2000 };

struct Site : Fixture {
    std::vector<std::unique_ptr<KvStandin::Entrance>> entrances;

    Site()
        : Fixture(0)
    {
    }
    ~Site() { gateways.clear(); }
    Site(const Site&) = delete;
    Site& operator=(const Site&) = delete;

    KvStandin::Entrance& addHostIn(
        const char* dataCentre, std::int64_t processorPercent = 100, std::size_t readBytesPerSecond = 0)
    {
        entrances.push_back(std::make_unique<KvStandin::Entrance>(store));
        entrances.back()->readBytesPerSecond = readBytesPerSecond;
        addHost(static_cast<int>(gateways.size()), platform::kvPlatformAdapter(), dataCentre, processorPercent,
            entrances.back()->endpoint());
        return *entrances.back();
    }

    Json statusOf(std::size_t host)
    {
        HttpCall request;
        request.method = "GET";
        request.endpoint = adminEndpoints[host];
        request.target = "/status";
        request.timeout = Millis(500);
        Json status = Json::parse(sendCall(std::move(request)).body, nullptr, false);
        return status.is_object() ? status : Json::object();
    }

    unsigned configurationAt(std::size_t host) { return statusOf(host).value("configuration", 0u); }

    bool knowsVersion(std::size_t host, unsigned version, Millis timeout = kTestTimeout)
    {
        const Millis end = monotonicNow() + timeout;
        while (monotonicNow() < end) {
            if (configurationAt(host) == version)
                return true;
            runLoopUntil([] { return false; }, Millis(20));
        }
        return false;
    }

    bool haveSettled()
    {
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            if (!waitUntilServed(n))
                return false;
        }
        return true;
    }
};

// A configuration that takes far more bytes than the others.
std::string largeConfiguration(unsigned version)
{
    Json document = Json::parse(configuration(version, "/get/"));
    Json& routes = document["virtual-hosts"][0]["path-matches"];
    const Json sample = routes[0];
    for (int n = 0; n < 600; ++n) {
        routes.push_back(sample);
        routes.back()["name"] = "route-" + std::to_string(n);
        routes.back()["path-prefix"] = "/route-" + std::to_string(n) + "/";
    }
    return document.dump();
}

void checkDataCentreWithoutStore(StoreFault fault)
{
    Site site;
    site.addHostIn("z1");
    site.addHostIn("z2");
    site.addHostIn("z2");
    BOOST_REQUIRE(site.haveSettled());
    site.entrances[1]->fault = site.entrances[2]->fault = fault;
    site.runLoopUntil([] { return false; }, kChangeTime);
    site.store.put("op/config", configuration(2, "/get/"));
    site.runLoopUntil([] { return false; }, kChangeTime);
    BOOST_TEST(site.configurationAt(0) == 2u);
    BOOST_TEST(site.configurationAt(1) == 2u);
    BOOST_TEST(site.configurationAt(2) == 2u);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CatchingUp)

// Guards against a host that stays behind for good while the store turns it away: it missed what its data centre's
// earlier watching host relayed, and the next one relays only what follows.
BOOST_AUTO_TEST_CASE(hostThatTheStoreTurnsAwayFollowsAWatchingHostThatCameLater)
{
    Site site;
    site.addHostIn("z1");
    site.addHostIn("z1", 50);
    BOOST_REQUIRE(site.haveSettled());
    site.entrances[1]->fault = StoreFault::refuse;
    site.gateways[0].reset();
    site.store.put("op/config", configuration(2, "/get/"));
    site.addHostIn("z1");
    BOOST_REQUIRE(site.knowsVersion(2, 2));
    BOOST_TEST(site.knowsVersion(1, 2, kChangeTime));
}

// Guards against a data centre that stays behind while the store turns all its hosts away and others know better.
BOOST_AUTO_TEST_CASE(dataCentreThatTheStoreRefusesFollowsAnother) { checkDataCentreWithoutStore(StoreFault::refuse); }

BOOST_AUTO_TEST_CASE(dataCentreThatTheStoreDoesNotAnswerFollowsAnother)
{
    checkDataCentreWithoutStore(StoreFault::silent);
}

// Guards against a host with a small link that never reads a large configuration: an answer that arrived for longer
// than store_timeout_ms was given up.
BOOST_AUTO_TEST_CASE(hostWithASlowLinkReadsALargeConfiguration)
{
    Site site;
    site.store.put("op/config", largeConfiguration(3));
    site.addHostIn("z1", 100, 80'000);
    BOOST_TEST(site.knowsVersion(0, 3));
}

// Guards against small hosts whose links are full for seconds, because each host that starts, and knows of no other one
// until its first read, takes itself for the watching host and sends that read to all others.
BOOST_AUTO_TEST_CASE(hostThatStartsSendsNobodyItsCopy)
{
    constexpr std::size_t kCopyBytes = 100000;
    Site site;
    site.store.put("op/evacuate/nowhere", std::string(kCopyBytes, 'x'));
    for (std::size_t n = 0; n < 4; ++n) {
        site.addHostIn("z1", 100, 1000000);
        BOOST_REQUIRE(site.waitUntilServed(n));
    }
    double bytes = 0;
    for (const auto& admin : site.adminEndpoints) {
        HttpCall call;
        call.method = "GET";
        call.endpoint = admin;
        call.target = "/metrics";
        const std::string text = site.sendCall(std::move(call)).body;
        const auto at = text.find("pistachiospur_peer_bytes_total{kind=\"watch_update\"} ");
        if (at != std::string::npos)
            bytes += std::stod(text.substr(text.find(' ', at)));
    }
    BOOST_TEST(bytes > 0);
    BOOST_TEST(bytes < static_cast<double>(kCopyBytes));
}

// Guards against a range leader whose watch fails under the work of leading, and with it that of its data centre.
BOOST_AUTO_TEST_CASE(rangeLeaderDoesNotWatchWhileAnotherHostCan)
{
    Site site;
    site.addHostIn("z1");
    site.addHostIn("z1", 50);
    BOOST_REQUIRE(site.haveSettled());
    site.runLoopUntil([] { return false; }, kChangeTime);
    const std::size_t leader = site.statusOf(0)["keepers"]["keyed"] == "h0" ? 0 : 1;
    const unsigned leaderCalls = site.entrances[leader]->watchCalls;
    const unsigned otherCalls = site.entrances[1 - leader]->watchCalls;
    site.runLoopUntil([] { return false; }, kChangeTime);
    BOOST_TEST(site.entrances[leader]->watchCalls == leaderCalls);
    BOOST_TEST(site.entrances[1 - leader]->watchCalls > otherCalls);
}

BOOST_AUTO_TEST_CASE(hostAsksTheRelayFirstThenHostsNearAndFarInTurn)
{
    const CopySources sources { "w", { "a", "b" }, { "x", "y" } };
    std::string asked;
    for (unsigned n = 0; n < 7; ++n)
        asked += *sourceAt(sources, n);
    BOOST_TEST(asked == "waxbyax");
    BOOST_TEST(*sourceAt({ std::nullopt, {}, { "x" } }, 0) == "x");
    BOOST_TEST(*sourceAt({ std::nullopt, { "a" }, {} }, 1) == "a");
    BOOST_TEST(!sourceAt({}, 0).has_value());
}

// Guards against a copy that counts as fresh although the message that confirms it was on its way for seconds.
BOOST_AUTO_TEST_CASE(timeThatAnUpdateSpendsOnItsWayCountsAsAge)
{
    GatewaySettings settings;
    settings.host = "h1";
    settings.peers = { "127.0.0.1", 0 };
    for (const auto& it : gatewayOptions())
        settings.limits.*it.field = it.defaultValue;
    const PeerHub::Handlers handlers { [](const HostLife&, LinkId, const Message&) {}, [](const LostLink&) {},
        [](const HostName&) { return std::nullopt; } };
    GatewayContext context(settings, platform::kvPlatformAdapter(), handlers);
    CatchUp catchUp(context);
    WatchUpdate update;
    update.age = Millis(100);
    BOOST_TEST(catchUp.ageOf("w", update).value_or(Millis(-1)).count() == 100); // of an earlier build
    update.confirmedAt = Millis(7900);
    BOOST_TEST(!catchUp.ageOf("w", update).has_value()); // the clock of "w" is not known yet
    ReplicaBatch answer;
    answer.askedAt = bootNow() - Millis(5000);
    answer.answeredAt = answer.confirmedAt = Millis(8000);
    catchUp.onBatch("w", answer);
    BOOST_REQUIRE(catchUp.ageOf("w", update).has_value());
    BOOST_TEST(catchUp.ageOf("w", update)->count() >= 5100);
    BOOST_TEST(catchUp.ageOf("w", update)->count() < 6000);
    // The host has started again on a machine that has run for longer.
    update.confirmedAt = Millis(8000 + 3600000);
    BOOST_TEST(!catchUp.ageOf("w", update).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
