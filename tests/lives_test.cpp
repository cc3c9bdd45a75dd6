#include "raw_site.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

// Requests that hosts forward to each other while one of them is killed and starts again. A host of an earlier build
// numbers its requests from 1 in each life and states no more than its Hello does. Real sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

constexpr const char* kPeer = "peer";
constexpr Millis kRunTime { 300 };

// A sound upstream that takes kRunTime for each request that isn't warm-up.
std::vector<RawPart> answerSlowly(const RawRequest& request)
{
    const bool isWarmUp = request.id.find("warm") == 0 || request.id.empty();
    return { { sealedAnswer(request.id, "{}"), RawEnding::keepOpen, isWarmUp ? Millis(0) : kRunTime } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(HostLives)

// Guards against the answer to a stranger's request (MIXED) from a coordinator of an earlier build, which sends it to
// the host's name: the host has started again, and its requests must have numbers that no life before has used.
BOOST_AUTO_TEST_CASE(restartedHostTakesNoReplyToItsLifeBefore)
{
    RawSite site(1, answerSlowly);
    std::vector<Relay> relays; // that the coordinator was asked to run
    PeerHub coordinator({ "127.0.0.1", 0 }, Hello { kPeer, { 1 }, false },
        { [&](const auto&, LinkId, Message message) {
             if (auto* it = std::get_if<Relay>(&message))
                 relays.push_back(std::move(*it));
         },
            nullptr, [](const HostName&) { return std::nullopt; } });
    const auto reply = [&](std::uint64_t id, Reply text) {
        coordinator.send("h0", RelayReply { id, std::move(text), Millis(0) });
    };
    const auto answerTo = [](const Relay& relay) {
        return Answer { 200, { { "request-id", relay.request.id }, { "server-seal", "seal-" + relay.request.id } },
            "of " + relay.request.id };
    };
    site.store.put("pistachiospur/hosts/peer",
        nlohmann::json { { "data_centre", "z1" }, { "address", "127.0.0.1" }, { "port", coordinator.port() },
            { "incarnation", 1 }, { "weight", 4096 }, { "leaving", false } }
            .dump());
    std::optional<HttpOutcome> outcome;
    const auto sendUntilRelayed = [&](const std::string& id) {
        const std::size_t n = relays.size();
        BOOST_REQUIRE(RawSite::runLoopUntil([&] {
            outcome.reset();
            site.client.start(site.call("/unsafe/x", id, 0), [&](HttpOutcome it) { outcome = std::move(it); });
            return RawSite::runLoopUntil([&] { return relays.size() > n; }, Millis(300));
        }));
    };
    sendUntilRelayed("first");
    const Relay first = relays.back();
    site.restart(0);
    sendUntilRelayed("second");
    const Relay second = relays.back();
    // To each request that the life before may have numbered around the one that was relayed.
    for (std::uint64_t n = 0; n < 100; ++n) {
        for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
            const std::uint64_t number = (first.id >> 12) + n - 50;
            reply(number << 12 | attempt, answerTo(first));
            reply(number << 12 | attempt, notRun(RefusalReason::deadlinePassed));
        }
    }
    RawSite::runLoopFor(Millis(100));
    BOOST_TEST(!outcome.has_value());
    reply(second.id, answerTo(second));
    BOOST_REQUIRE(RawSite::runLoopUntil([&] { return outcome.has_value(); }));
    const auto* answer = std::get_if<HttpAnswer>(&*outcome);
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(answer->body == "of second");
}

BOOST_AUTO_TEST_SUITE_END()
