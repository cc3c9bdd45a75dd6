#include "gateway/settings.h"
#include "peers/messages.h"
#include "platform/callers.h"
#include "platform/configuration.h"
#include "platform/upstreams.h"
#include "ranges/table.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

// Each decoder of bytes from outside is given valid texts with random damage, under a fixed seed: it must return a
// value or a failure, and not throw.
using namespace pistachiospur;
namespace leaf = boost::leaf;

namespace {

constexpr int kDamagedTexts = 20000;

std::string damaged(std::string text, std::mt19937_64& random)
{
    for (int n = 1 + static_cast<int>(random() % 4); n > 0 && !text.empty(); --n) {
        const std::size_t at = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 8);
            break;
        case 2:
            text.insert(at, 1 + random() % 3, static_cast<char>(random()));
            break;
        case 3:
            text.resize(at);
            break;
        default:
            text.insert(at, text.substr(at / 2, random() % 20));
        }
    }
    return text;
}

template <typename Decode> void feedDamagedTexts(const std::string& valid, Decode decode)
{
    std::mt19937_64 random(20261204);
    for (int n = 0; n < kDamagedTexts; ++n) {
        const std::string text = damaged(valid, random);
        BOOST_REQUIRE_NO_THROW(decode(text));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Decoders)

BOOST_AUTO_TEST_CASE(messagesOfOtherHosts)
{
    Request request;
    request.id = "r1";
    request.headers = { { "a", "b" } };
    request.body = "body";
    const RangeTable table { "h#1/2", Millis(2500), { { "g#1/1", Millis(5) } },
        { { { 0 }, { 65535 }, { "u", { 1 } }, { 7 }, {} } } };
    const std::vector<Message> messages = { Hello { "h", { 3 }, true }, Relay { 1, "u", request, "z", true, true },
        RelayReply { 1, Answer { 200, { { "a", "b" } }, "body" }, Millis(3) },
        RelayReply { 1, notRun(RefusalReason::queueFull), Millis(3) }, RelayTurn { 4, { "u", { 1 } }, Millis(1) },
        RelayTurnOver { 4, maybeRun(RefusalReason::upstreamBroken), { RateNotice::Kind::limited, 2.5 }, Millis(1500) },
        RelayTurnOver { 4, Answer { 200, {}, {} }, {}, {}, UpstreamLoad { 1, 2, 4, 1.6 } },
        UpstreamDeparture { { "u", { 7 } } }, LoadReport { "s", { { 1, 2 } }, { { { "u", { 1 } }, 3.5 } } },
        RangeUpdate { "s", { 4 }, { 3 }, table, { { { 0 }, { 9 }, Millis(5) } } },
        WatchUpdate {
            { { 1 }, { 2 }, { { "key", "text", { 2 } } } }, { { "s", { 4 } } }, false, Millis(300), Millis(20) } };
    for (const auto& message : messages) {
        BOOST_REQUIRE(decode(encode(message)).has_value());
        feedDamagedTexts(encode(message), [](const std::string& text) { return decode(text).has_value(); });
    }
}

BOOST_AUTO_TEST_CASE(rangeTables)
{
    const RangeTable table { "h#1/2", Millis(2500), { { "g#1/1", Millis(5) } },
        { { { 0 }, { 9 }, { "u", { 1 } }, { 7 }, { { "v", { 2 } } } },
            { { 10 }, { 65535 }, { "v", { 2 } }, {}, {} } } };
    feedDamagedTexts(encode(table), [](const std::string& text) { return decodeRangeTable(text, { 9 }).has_value(); });
}

BOOST_AUTO_TEST_CASE(recordsOfThePlatform)
{
    const std::string configuration = R"({"version":"0000000c","services":[{"name":"a","max-conns":130,"sharded":true,
        "warm-s":5.0}],"limits":{"max-header-bytes":16384},"virtual-hosts":[{"hostname":"F.example","path-matches":[
        {"name":"r1","path-prefix":"/x/","route-type":"safe","timeout-ms":1000.0,"priority":1,"max-attempts":2,
        "traffic-split":[{"service":"a","weight":90}]}]}]})";
    const std::string entry
        = R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":2,"state":"ready","born":17})";
    const std::string settings = R"({"platform":"kv","host":"h","data_centre":"z","callers":"10.0.0.1:1","ready":
        "10.0.0.1:2","peers":"10.0.0.1:3","admin":"10.0.0.1:4","store":"10.0.0.2:5","limits":{"grace_s":6}})";
    const auto ignoreFailure = [](auto decode) {
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(decode());
                return true;
            },
            [] { return false; });
    };
    feedDamagedTexts(configuration,
        [&](const std::string& text) { return ignoreFailure([&] { return platform::decodeConfiguration(text); }); });
    feedDamagedTexts(entry,
        [&](const std::string& text) { return ignoreFailure([&] { return platform::decodeUpstream("u", text); }); });
    feedDamagedTexts(settings,
        [&](const std::string& text) { return ignoreFailure([&] { return parseGatewaySettings(text, "s"); }); });
}

BOOST_AUTO_TEST_CASE(headersOfCallersAndUpstreams)
{
    std::mt19937_64 random(7);
    Request request;
    request.headers = { { "request-id", "r1" } };
    for (int n = 0; n < kDamagedTexts; ++n) {
        HttpRequest http;
        http.headers = { { "deadline-ms", damaged("2500", random) }, { "shard-key", damaged("40000", random) } };
        BOOST_REQUIRE_NO_THROW(platform::readCallerMetadata(http));
        const HttpAnswer answer { static_cast<int>(random() % 700),
            { { "request-id", damaged("r1", random) }, { damaged("server-seal", random), "s" },
                { damaged("not-executed", random), "1" } },
            damaged("body", random) };
        BOOST_REQUIRE_NO_THROW(platform::interpretAnswer(answer, request, "u"));
        BOOST_REQUIRE_NO_THROW(platform::interpretGrant(answer, "r1"));
    }
}

BOOST_AUTO_TEST_CASE(exceptionInACallbackEndsThatCallbackAlone)
{
    std::string reported;
    setCallbackErrorHandler([&](const char* what) { reported = what; });
    bool continued = false;
    Timer failing([] { throw std::runtime_error("unexpected"); });
    Timer following([&] {
        continued = true;
        breakLoop();
    });
    failing.once(Millis(0));
    following.once(Millis(1));
    runLoop();
    setCallbackErrorHandler(nullptr);
    BOOST_TEST(continued);
    BOOST_TEST(reported == "unexpected");
}

BOOST_AUTO_TEST_SUITE_END()
