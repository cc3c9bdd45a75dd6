#include "io/http_client.h"
#include "standins/kv.h"

#include <absl/strings/escaping.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

// Tests of the stand-ins themselves over real sockets, so that a test which relies on a simulated fault does get it.
using namespace pistachiospur;
using namespace pistachiospur::standin;
using Json = nlohmann::json;

namespace {

constexpr Millis kTestTimeout { 20000 };
// Long enough for a call on loopback to be answered.
constexpr Millis kUnansweredTime { 200 };

struct Fixture {
    KvStandin store;
    HttpClient client { 1u << 20 };

    template <typename Condition> bool runLoopUntil(const Condition& condition, Millis timeout = kTestTimeout)
    {
        Timer wake([] {});
        wake.every(Millis(5));
        const Millis end = monotonicNow() + timeout;
        while (!condition() && monotonicNow() < end)
            ev_run(defaultLoop(), EVRUN_ONCE);
        return condition();
    }

    // Starts a call. Its answer appears in the result, which stays empty as long as there is none.
    std::shared_ptr<std::optional<HttpAnswer>> start(
        const char* method, const std::string& target, const Json& body = nullptr)
    {
        HttpCall call;
        call.method = method;
        call.endpoint = store.endpoint();
        call.target = target;
        call.body = body.is_null() ? std::string() : body.dump();
        call.timeout = kTestTimeout;
        auto answer = std::make_shared<std::optional<HttpAnswer>>();
        client.start(std::move(call), [answer](const HttpOutcome& outcome) {
            const auto* it = std::get_if<HttpAnswer>(&outcome);
            *answer = it ? *it : HttpAnswer {};
        });
        return answer;
    }

    // The answer to a call; its status is 0 if there is none.
    HttpAnswer call(const char* method, const std::string& target, const Json& body = nullptr)
    {
        const auto answer = start(method, target, body);
        runLoopUntil([&] { return answer->has_value(); });
        return answer->value_or(HttpAnswer {});
    }

    static Json writeBody(const std::string& key, const std::string& value, std::uint64_t expected, std::uint64_t lease)
    {
        Json put { { "key", key }, { "value", absl::Base64Escape(value) } };
        if (lease)
            put["lease"] = lease;
        return { { "expect-rev", { { { "key", key }, { "rev", expected } } } }, { "puts", { put } },
            { "remove", Json::array() } };
    }

    // Writes as the system does. The result is the write's revision, or 0 if the store refused it.
    std::uint64_t write(
        const std::string& key, const std::string& value, std::uint64_t expected = 0, std::uint64_t lease = 0)
    {
        const HttpAnswer answer = call("POST", "/kv-txn", writeBody(key, value, expected, lease));
        return answer.status == 200 ? Json::parse(answer.body)["rev"].get<std::uint64_t>() : 0;
    }

    std::uint64_t openLease(Millis ttl)
    {
        return Json::parse(call("POST", "/kv-lease", { { "ttl-ms", ttl.count() } }).body)["lease"];
    }

    int renewalStatus(std::uint64_t lease) { return call("POST", "/kv-keep/" + std::to_string(lease)).status; }

    static std::string watchTarget(std::uint64_t after, Millis wait)
    {
        return "/kv-watch?path-prefix=&after=" + std::to_string(after) + "&wait-ms=" + std::to_string(wait.count());
    }
};

std::string eraOf(const HttpAnswer& answer)
{
    const auto it = answer.headers.find("store-era");
    return it == answer.headers.end() ? std::string() : it->second;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StandinStore)

BOOST_AUTO_TEST_CASE(everyAnswerNamesTheEraAndEachReturnRaisesIt)
{
    Fixture site;
    const auto check = [&](const std::string& era) {
        const std::uint64_t lease = site.openLease(Millis(5000));
        BOOST_TEST(eraOf(site.call("GET", "/kv-range?path-prefix=")) == era);
        BOOST_TEST(eraOf(site.call("POST", "/kv-txn", Fixture::writeBody("a", "1", 7, 0))) == era); // 412
        BOOST_TEST(eraOf(site.call("POST", "/kv-txn", Fixture::writeBody("b" + era, "1", 0, 0))) == era);
        BOOST_TEST(eraOf(site.call("POST", "/kv-lease", { { "ttl-ms", 5000 } })) == era);
        BOOST_TEST(eraOf(site.call("POST", "/kv-keep/" + std::to_string(lease))) == era);
        BOOST_TEST(eraOf(site.call("POST", "/kv-keep/999")) == era); // 404
        BOOST_TEST(eraOf(site.call("DELETE", "/kv-lease-end/" + std::to_string(lease))) == era);
        BOOST_TEST(eraOf(site.call("GET", Fixture::watchTarget(site.store.revision(), Millis(1)))) == era);
        BOOST_TEST(eraOf(site.call("GET", Fixture::watchTarget(1000, Millis(1)))) == era); // 410
        site.store.fault = StoreFault::refuse;
        BOOST_TEST(eraOf(site.call("GET", "/kv-range?path-prefix=")) == era);
        site.store.fault = StoreFault::none;
    };
    check("1");
    site.store.saveCopy();
    site.store.restoreCopy(true);
    check("2");
    site.store.restoreCopy(true);
    check("3");
    site.store.namesEra = false;
    check("");
}

BOOST_AUTO_TEST_CASE(writesSinceTheCopyAreGoneAndTheirRevisionsAreGivenOutAgain)
{
    Fixture site;
    const std::uint64_t first = site.write("table", "one");
    site.write("kept", "yes");
    site.store.saveCopy();
    const std::uint64_t copied = site.store.revision();
    const std::uint64_t second = site.write("table", "two", first);
    BOOST_TEST(site.write("leader", "h0") == second + 1);

    site.store.restoreCopy(true);
    BOOST_TEST(site.store.revision() == copied);
    const Json body = Json::parse(site.call("GET", "/kv-range?path-prefix=").body);
    BOOST_TEST(body["store-revision"] == copied);
    BOOST_TEST(body["items"].size() == 2u);
    BOOST_TEST(site.store.value("table") == "one");
    BOOST_TEST(site.store.value("leader") == "");
    BOOST_TEST(site.write("table", "three", second) == 0u);
    BOOST_TEST(site.write("table", "three", first) == second);
}

BOOST_AUTO_TEST_CASE(leasesSinceTheCopyAreGoneAndThoseOfTheCopyStartAnew)
{
    constexpr Millis kTtl { 600 };
    Fixture site;
    const std::uint64_t copied = site.openLease(kTtl);
    site.write("leader", "h0", 0, copied);
    site.store.saveCopy();
    const std::uint64_t lost = site.openLease(kTtl);
    // The copy's lease ends before the store returns, which the return undoes.
    BOOST_TEST(site.runLoopUntil([&] { return site.store.value("leader").empty(); }));

    const Millis returnedAt = monotonicNow();
    site.store.restoreCopy(true);
    BOOST_TEST(site.store.value("leader") == "h0");
    BOOST_TEST(site.renewalStatus(lost) == 404);
    BOOST_TEST(site.openLease(Millis(5000)) == lost);
    BOOST_TEST(site.runLoopUntil([&] { return site.store.value("leader").empty(); }));
    BOOST_TEST((monotonicNow() - returnedAt).count() >= kTtl.count());
    BOOST_TEST(site.renewalStatus(copied) == 404);
    BOOST_TEST(site.renewalStatus(lost) == 200);
}

BOOST_AUTO_TEST_CASE(waitingWatchesAreNotAnsweredAndRevisionsOfTheFutureGet410)
{
    Fixture site;
    site.store.put("op/config", "one");
    site.store.saveCopy();
    const std::uint64_t copied = site.store.revision();
    site.write("a", "1");
    const std::uint64_t later = site.store.revision();
    const auto waiting = site.start("GET", Fixture::watchTarget(later, Millis(10)));
    site.store.fault = StoreFault::silent; // the watch expires while the store is away
    site.runLoopUntil([] { return false; }, kUnansweredTime);

    site.store.fault = StoreFault::none;
    site.store.restoreCopy(true);
    site.write("b", "1");
    site.write("c", "1");
    site.runLoopUntil([] { return false; }, kUnansweredTime);
    BOOST_TEST(!waiting->has_value());
    BOOST_TEST(site.call("GET", Fixture::watchTarget(site.store.revision() + 1, Millis(10))).status == 410);
    const HttpAnswer answer = site.call("GET", Fixture::watchTarget(copied, Millis(10)));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(Json::parse(answer.body)["events"].size() == 2u);
    BOOST_TEST(answer.body.find("\"a\"") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(watchThatWaitsDuringTheReturnIsNotAnswered)
{
    Fixture site;
    site.store.saveCopy();
    const auto waiting = site.start("GET", Fixture::watchTarget(site.store.revision(), Millis(500)));
    site.runLoopUntil([] { return false; }, kUnansweredTime);
    BOOST_REQUIRE(!waiting->has_value());
    site.store.restoreCopy(true);
    site.store.put("op/config", "two");
    site.runLoopUntil([] { return false; }, Millis(800));
    BOOST_TEST(!waiting->has_value());
}

BOOST_AUTO_TEST_CASE(whatOperatorAndUpstreamsWroteIsWrittenAgain)
{
    Fixture site;
    site.store.put("op/config", "one");
    site.store.put("servers/k0", "ready");
    site.store.put("servers/k1", "ready");
    site.store.saveCopy();
    const std::uint64_t copied = site.store.revision();
    site.write("table", "lost");
    site.store.put("op/config", "two");
    site.store.remove("servers/k0");
    site.store.put("servers/k2", "ready");

    const auto expectAll = [&] {
        BOOST_TEST(site.store.value("op/config") == "two");
        BOOST_TEST(site.store.value("servers/k0") == "");
        BOOST_TEST(site.store.value("servers/k1") == "ready");
        BOOST_TEST(site.store.value("servers/k2") == "ready");
        BOOST_TEST(site.store.value("table") == "");
        BOOST_TEST(site.store.revision() == copied + 3);
    };
    site.store.restoreCopy(true);
    expectAll();

    site.store.restoreCopy(false);
    BOOST_TEST(site.store.revision() == copied);
    BOOST_TEST(site.store.value("op/config") == "one");
    BOOST_TEST(site.store.value("servers/k0") == "ready");
    BOOST_TEST(site.store.value("servers/k2") == "");
    const auto watch = site.start("GET", Fixture::watchTarget(copied, Millis(10000)));
    site.runLoopUntil([] { return false; }, kUnansweredTime);
    site.store.rewriteLost();
    expectAll();
    BOOST_TEST(site.runLoopUntil([&] { return watch->has_value(); }));
}

BOOST_AUTO_TEST_CASE(heldCallIsExecutedLateInTheEraOfItsRelease)
{
    Fixture site;
    site.store.saveCopy();
    site.store.holds = [](const HttpRequest& request) { return request.path == "/kv-txn"; };
    const auto held = site.start("POST", "/kv-txn", Fixture::writeBody("table", "late", 0, 0));
    BOOST_REQUIRE(site.runLoopUntil([&] { return site.store.heldCalls() == 1; }));
    BOOST_TEST(site.call("GET", "/kv-range?path-prefix=").status == 200);
    site.store.restoreCopy(true);
    BOOST_TEST(site.store.value("table") == "");
    BOOST_TEST(!held->has_value());

    site.store.releaseHeld();
    BOOST_TEST(site.store.value("table") == "late");
    BOOST_REQUIRE(site.runLoopUntil([&] { return held->has_value(); }));
    BOOST_TEST((*held)->status == 200);
    BOOST_TEST(eraOf(**held) == "2");
    BOOST_TEST(site.store.heldCalls() == 0u);
}

BOOST_AUTO_TEST_CASE(heldAnswerArrivesAfterTheReturnThatUndidItsWrite)
{
    Fixture site;
    site.store.saveCopy();
    site.store.holds = [](const HttpRequest& request) { return request.path == "/kv-txn"; };
    site.store.executesHeld = true;
    const auto held = site.start("POST", "/kv-txn", Fixture::writeBody("table", "lost", 0, 0));
    BOOST_REQUIRE(site.runLoopUntil([&] { return site.store.heldCalls() == 1; }));
    BOOST_TEST(site.store.value("table") == "lost");
    site.store.restoreCopy(true);

    site.store.releaseHeld();
    BOOST_REQUIRE(site.runLoopUntil([&] { return held->has_value(); }));
    BOOST_TEST((*held)->status == 200);
    BOOST_TEST(eraOf(**held) == "1");
    BOOST_TEST(site.store.value("table") == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(StandinUpstream)

BOOST_AUTO_TEST_CASE(grantWithALowerFenceIsRefusedAlsoAfterRelease)
{
    Fixture site;
    RangeUpstream upstream("keyed", "k0", 1000, true);
    const std::string address = Json::parse(upstream.entry())["address"];
    const auto send = [&](const char* path, unsigned first, unsigned last, unsigned fence) {
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + address + path;
        call.body = Json { { "from", first }, { "to", last }, { "fence", fence }, { "hold-ms", 5000 } }.dump();
        std::optional<HttpOutcome> outcome;
        site.client.start(std::move(call), [&](HttpOutcome it) { outcome = std::move(it); });
        site.runLoopUntil([&] { return outcome.has_value(); });
        const auto* answer = outcome ? std::get_if<HttpAnswer>(&*outcome) : nullptr;
        return answer ? answer->status : 0;
    };
    BOOST_TEST(send("/grant", 100, 199, 7) == 200);
    BOOST_TEST(send("/grant", 150, 159, 9) == 200);
    BOOST_TEST(send("/grant", 100, 199, 8) == 409);
    BOOST_TEST(send("/grant", 100, 149, 8) == 200);
    BOOST_TEST(send("/release", 100, 199, 9) == 200);
    BOOST_TEST(!upstream.holds(150));
    BOOST_TEST(send("/grant", 155, 156, 8) == 409);
    BOOST_TEST(send("/grant", 155, 156, 9) == 200);
    BOOST_TEST(upstream.highestFence(99) == 0u);
    BOOST_TEST(upstream.highestFence(100) == 8u);
    BOOST_TEST(upstream.highestFence(155) == 9u);
    BOOST_TEST(upstream.highestFence(160) == 7u);
    BOOST_TEST(upstream.refusedGrants == 2u);
    BOOST_REQUIRE(upstream.grantLog.size() == 4u);
    BOOST_TEST(upstream.grantLog[1].first == 150u);
    BOOST_TEST(upstream.grantLog[1].last == 159u);
    BOOST_TEST(upstream.grantLog[1].fence == 9u);
}

BOOST_AUTO_TEST_SUITE_END()
