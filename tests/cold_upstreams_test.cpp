#include "gateway_fixture.h"

// Tests over real sockets of the requests that upstreams get while they are cold.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

constexpr double kPerSecond = 12; // the hosts' settings allow nothing beyond it in a second

// A site whose pooled upstream `p0` has 8 slots and takes kPerSecond requests a second while it is cold.
struct ColdFixture : Fixture {
    RangeUpstream& pooled = *upstreams.back();

    ColdFixture()
    {
        Json config = Json::parse(configuration(2, "/get/"));
        for (auto& it : config["services"]) {
            it["health-path"] = "/health";
            if (it["name"] == "pool")
                it.update({ { "slow-start-s", 3 }, { "warmup-per-s", kPerSecond } });
        }
        store.put("op/config", config.dump());
        announce(Millis(0));
    }

    void announce(Millis coldLeft)
    {
        Json entry = Json::parse(pooled.entry());
        entry.update({ { "warmup-left-ms", coldLeft.count() }, { "slots", 8 }, { "sequence", ++m_sequence } });
        store.put("servers/p0", entry.dump());
    }

    // Sends a request every 10 ms for a while, to both hosts in turn; returns how many were served.
    std::size_t sendMany(Millis duration, const std::string& prefix)
    {
        std::size_t served = 0, ended = 0, sent = 0;
        const Millis begin = monotonicNow();
        const auto onEnd = [&](const HttpOutcome& outcome) {
            const auto* answer = std::get_if<HttpAnswer>(&outcome);
            served += answer && answer->status == 200;
            ++ended;
        };
        runLoopUntil([&] {
            const Millis now = monotonicNow();
            for (; now < begin + duration && begin + Millis(10) * sent < now; ++sent)
                client.start(call("/pool/x", prefix + std::to_string(sent), sent % 2), onEnd);
            return now >= begin + duration && ended == sent;
        });
        return served;
    }

    // The most calls that the upstream got within any second since a time.
    std::size_t mostInASecond(Millis since) const
    {
        std::size_t most = 0;
        for (auto it = pooled.callTimes.begin(); it != pooled.callTimes.end(); ++it) {
            if (*it >= since)
                most = std::max(most,
                    static_cast<std::size_t>(std::lower_bound(it, pooled.callTimes.end(), *it + Millis(1000)) - it));
        }
        return most;
    }

    Json status(std::size_t host)
    {
        HttpCall request;
        request.endpoint = adminEndpoints[host];
        request.method = "GET";
        request.target = "/status";
        return Json::parse(sendCall(request).body);
    }

private:
    unsigned m_sequence = 1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ColdUpstreamsOfASite)

// Guards against more requests than a cold upstream takes, and against one that is left without any.
BOOST_AUTO_TEST_CASE(upstreamWhoseEntrySaysThatItIsColdGetsItsRate)
{
    ColdFixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    site.announce(Millis(20000));
    site.runLoopUntil([] { return false; }, Millis(500));
    const Millis begin = monotonicNow();
    const std::size_t served = site.sendMany(Millis(3000), "cold");
    BOOST_TEST(static_cast<double>(site.mostInASecond(begin)) <= kPerSecond);
    BOOST_TEST(served >= 6u);
    const std::string first = site.status(0).at("cold").dump(), second = site.status(1).at("cold").dump();
    BOOST_TEST((first + second).find("\"entry\"") != std::string::npos, first << " " << second);
    BOOST_TEST(site.pooled.healthQuestions == 0u);
}

// Guards against a cold upstream that gets as many requests as a warm one until its entry tells.
BOOST_AUTO_TEST_CASE(upstreamThatSaysNothingYetIsAskedBeforeItGetsMore)
{
    ColdFixture site;
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    site.pooled.notices = { { "Slow-Start-Ms", "20000" } };
    const Millis begin = monotonicNow();
    site.sendMany(Millis(3000), "unsaid");
    BOOST_TEST(static_cast<double>(site.mostInASecond(begin)) <= kPerSecond);
    BOOST_TEST(site.pooled.healthQuestions >= 1u);
    BOOST_TEST(site.pooled.healthQuestions <= 2u);
}

// Guards against a warm upstream that is kept to the rate of a cold one.
BOOST_AUTO_TEST_CASE(upstreamThatSaysThatItIsWarmGetsWhatItsSlotsTake)
{
    ColdFixture site;
    site.pooled.notices = { { "Slow-Start-Ms", "0" } };
    site.pooled.runTime = Millis(50);
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    site.sendMany(Millis(4000), "learn");
    const unsigned asked = site.pooled.healthQuestions;
    BOOST_TEST(asked >= 1u);
    const std::size_t served = site.sendMany(Millis(2000), "warm");
    BOOST_TEST(static_cast<double>(served) > 2 * 2 * kPerSecond);
}

BOOST_AUTO_TEST_SUITE_END()
