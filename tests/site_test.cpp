#define BOOST_TEST_MODULE site
#include "peer_life.h"
#include "standins/site.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <set>

// End-to-end tests: sites of real processes with injected failures. They check order and counts, not times; the
// upstreams' journals show which upstream ran which request. kWaitTimeout only bounds the test's waits; it is no
// promise of the product.
using namespace pistachiospur;

namespace {

constexpr Millis kWaitTimeout { 30000 };
constexpr int kKeys = 24;

std::string keyName(int n) { return "job-" + std::to_string(n); }

// A site of three hosts and three upstreams in one data centre.
struct SmallSite {
    SmallSite()
        : site("build", "build/test-site/" + boost::unit_test::framework::current_test_case().p_name.get())
    {
        std::signal(SIGPIPE, SIG_IGN);
        site.startStore();
        site.startHostList();
        for (const char* name : { "h1", "h2", "h3" })
            site.startHost(name, "laval", { { "clock_skew_ms", 0 } });
        for (const char* name : { "u1", "u2", "u3" })
            site.startUpstream(name, "laval");
        std::string out;
        BOOST_REQUIRE_MESSAGE(site.publish({ { "atelier", { "u1", "u2", "u3" } } }, out), out);
        BOOST_REQUIRE(site.waitFor([&] { return site.isSettled() && acceptsNewKeys(); }, kWaitTimeout));
    }

    // True if every key's coordinator accepts an idempotency key made during this call. It refuses keys from before it
    // became the coordinator, since an earlier coordinator may have run their requests.
    bool acceptsNewKeys()
    {
        static int round = 0;
        ++round;
        for (int n = 0; n < kKeys; ++n) {
            const std::string key = "warm-" + std::to_string(round) + "-" + keyName(n);
            if (site.request(host("h1"), "POST", "/atelier/" + keyName(n) + "/order", key).status != 200)
                return false;
        }
        return true;
    }

    SiteHost& host(const char* name) { return site.hosts().at(name); }

    // The upstream that owns a key according to `askedHost`; empty if it names none.
    std::string ownerOf(const SiteHost& askedHost, const std::string& key)
    {
        const Json page = site.call(askedHost.admin, "GET", "/owner?service=atelier&key=" + key).json();
        return page.is_object() && page["owner"].is_string() ? page["owner"].get<std::string>() : "";
    }

    // The running host that coordinates an upstream; empty if none does.
    std::string coordinatorOf(const std::string& upstream)
    {
        for (auto& [name, it] : site.hosts()) {
            if (!it.process->isRunning())
                continue;
            const Json page = site.call(it.admin, "GET", "/status", {}, "", Millis(500)).json();
            if (!page.is_object())
                continue;
            for (const auto& entry : page["upstreams"]) {
                if (entry["upstream"] == upstream && entry["coordinated_here"].get<bool>())
                    return name;
            }
        }
        return "";
    }

    // HTTP status of an idempotent request for a key.
    int preview(SiteHost& through, const std::string& key)
    {
        return site.request(through, "GET", "/atelier/" + key + "/preview").status;
    }

    bool allServed(SiteHost& through)
    {
        for (int n = 0; n < kKeys; ++n) {
            if (preview(through, keyName(n)) != 200)
                return false;
        }
        return true;
    }

    // Checks the upstreams' journals: every pair of slot and epoch ran on one upstream only, and no idempotency key
    // began to run twice.
    void checkJournal()
    {
        std::map<std::pair<int, int>, std::string> owners;
        std::map<std::string, int> runs; // by idempotency key
        for (const auto& it : site.journal()) {
            if (it["what"] == "dropped")
                continue;
            const auto [entry, inserted]
                = owners.emplace(std::pair(it["slot"].get<int>(), it["epoch"].get<int>()), it["upstream"]);
            BOOST_TEST(entry->second == it["upstream"].get<std::string>());
            const std::string key = it["key"];
            if (it["what"] == "began" && !key.empty())
                BOOST_TEST(++runs[key] <= 1, key);
        }
    }

    Site site;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SmallSites, SmallSite)

BOOST_AUTO_TEST_CASE(keysOfALostServerAreServedAgainAndNothingRunsTwice)
{
    for (int n = 0; n < kKeys; ++n)
        BOOST_TEST(site.request(host("h1"), "POST", "/atelier/" + keyName(n) + "/order", "before-" + keyName(n)).status
            == 200);
    const std::string owner = ownerOf(host("h1"), keyName(0));
    site.upstreams().at(owner).process->kill();
    BOOST_TEST(allServed(host("h2")));
    for (int n = 0; n < kKeys; ++n) {
        const int status
            = site.request(host("h3"), "POST", "/atelier/" + keyName(n) + "/order", "after-" + keyName(n)).status;
        BOOST_TEST((status == 200 || status == 409));
    }
    BOOST_TEST(ownerOf(host("h2"), keyName(0)) != owner);
    checkJournal();
}

BOOST_AUTO_TEST_CASE(resendGetsTheRecordedAnswerThroughAnyHost)
{
    const std::string target = "/atelier/job-1/booking", at = std::to_string(wallNow().count());
    const HeaderList headers = { { "Idempotency-Key", "wedding" }, { "Idempotency-Key-Time", at } };
    const auto first = site.call(host("h1").callers, "POST", target, headers, "x");
    const auto again = site.call(host("h2").callers, "POST", target, headers, "x");
    BOOST_TEST(first.status == 200);
    BOOST_TEST(again.status == 200);
    BOOST_TEST(first.body == again.body);
    BOOST_TEST(site.call(host("h3").callers, "POST", target, headers, "another").status == 422);
    checkJournal();
}

BOOST_AUTO_TEST_CASE(frozenServerRunsNothingAfterItsSlotsMoved)
{
    const std::string key = keyName(0), owner = ownerOf(host("h1"), key);
    Process& frozen = *site.upstreams().at(owner).process;
    frozen.signal(SIGSTOP);
    BOOST_TEST(allServed(host("h1")));
    const auto resumedAt = wallNow().count();
    frozen.signal(SIGCONT);
    BOOST_TEST(site.waitFor([&] { return site.isSettled(); }, kWaitTimeout));
    BOOST_TEST(allServed(host("h2")));
    std::map<int, int> newestEpochs; // by slot, of the runs before the frozen server resumed
    for (const auto& it : site.journal()) {
        if (it["at_ms"].get<std::int64_t>() <= resumedAt)
            newestEpochs[it["slot"]] = std::max(newestEpochs[it["slot"]], it["epoch"].get<int>());
    }
    for (const auto& it : site.journal()) {
        if (it["upstream"] == owner && it["what"] == "done" && it["at_ms"].get<std::int64_t>() > resumedAt)
            BOOST_TEST(it["epoch"].get<int>() >= newestEpochs[it["slot"]]);
    }
    checkJournal();
}

BOOST_AUTO_TEST_CASE(lostCoordinatorIsReplacedWhileTheStoreIsDown)
{
    const std::string owner = ownerOf(host("h1"), keyName(0));
    const std::string coordinator = coordinatorOf(owner);
    BOOST_REQUIRE(!coordinator.empty());
    site.setStoreMode("down");
    site.hosts().at(coordinator).process->kill();
    SiteHost& other = host(coordinator == "h1" ? "h2" : "h1");
    BOOST_TEST(allServed(other));
    BOOST_TEST(coordinatorOf(owner) != coordinator);
    BOOST_TEST(!coordinatorOf(owner).empty());
    checkJournal();
}

BOOST_AUTO_TEST_CASE(hostRestartedEmptyDuringAStoreOutageRenewsNothing)
{
    site.setStoreMode("down");
    SiteHost& restarted = host("h1");
    site.restart(restarted);
    BOOST_TEST(site.waitFor([&] { return preview(restarted, keyName(0)) == 200; }, kWaitTimeout));
    const Json page = site.status(restarted);
    for (const auto& it : page["upstreams"])
        BOOST_TEST(!it["coordinated_here"].get<bool>());
    site.setStoreMode("up");
    BOOST_TEST(site.waitFor([&] { return site.status(restarted)["store_read"].get<bool>(); }, kWaitTimeout));
    BOOST_TEST(allServed(restarted));
    checkJournal();
}

BOOST_AUTO_TEST_CASE(pausedCoordinatorExtendsNothingWhenItComesBack)
{
    const std::string owner = ownerOf(host("h1"), keyName(0));
    const std::string coordinator = coordinatorOf(owner);
    BOOST_REQUIRE(!coordinator.empty());
    SiteHost& other = host(coordinator == "h1" ? "h2" : "h1");
    site.hosts().at(coordinator).process->signal(SIGSTOP);
    BOOST_TEST(allServed(other));
    site.hosts().at(coordinator).process->signal(SIGCONT);
    BOOST_TEST(site.waitFor([&] { return site.isSettled(); }, kWaitTimeout));
    BOOST_TEST(allServed(other));
    checkJournal();
}

BOOST_AUTO_TEST_CASE(ownedKeysServeThroughAStoreOutageAndChangesAreTyped)
{
    std::string out;
    site.setStoreMode("down");
    BOOST_TEST(allServed(host("h1")));
    BOOST_TEST(site.runTool({ "drain", "u1" }, out) == 4);
    site.setStoreMode("lose-answers");
    BOOST_TEST(site.runTool({ "edit", "rank", "preview", "target_ms=400" }, out) == 0);
    BOOST_TEST(out.find("published as revision 2") != std::string::npos, out);
    site.setStoreMode("up");
    for (const char* name : { "h1", "h2", "h3" })
        BOOST_TEST(site.waitFor([&] { return site.status(host(name))["config_revision"] == 2; }, kWaitTimeout));
    BOOST_TEST(site.runTool({ "edit", "rank", "preview", "target_ms=500", "--based_on=1" }, out) == 3);
    BOOST_TEST(out.find("current revision is 2") != std::string::npos, out);
    checkJournal();
}

BOOST_AUTO_TEST_CASE(drainedUpstreamGetsNoNewWork)
{
    std::string out;
    BOOST_TEST(site.runTool({ "drain", "u1" }, out) == 0);
    const auto slotsOf = [&](const std::string& name) {
        const Json page = site.status(host("h1"));
        for (const auto& it : page["upstreams"]) {
            if (it["upstream"] == name)
                return it["slots"].get<int>();
        }
        return -1;
    };
    BOOST_TEST(site.waitFor([&] { return slotsOf("u1") == 0; }, kWaitTimeout));
    const auto emptiedAt = wallNow().count();
    BOOST_TEST(allServed(host("h2")));
    for (const auto& it : site.journal())
        BOOST_TEST((it["upstream"] != "u1" || it["at_ms"].get<std::int64_t>() <= emptiedAt));
    checkJournal();
}

BOOST_AUTO_TEST_CASE(plannedStopOfAHostLosesNoRequest)
{
    SiteHost& leaving = host("h1");
    std::string out;
    BOOST_TEST(site.runTool({ "drain", "h1" }, out) == 0);
    for (int n = 0; n < kKeys; ++n)
        BOOST_TEST(
            site.request(host("h2"), "POST", "/atelier/" + keyName(n) + "/order", "stop-" + keyName(n)).status != 502);
    BOOST_TEST(leaving.process->waitForExit(kWaitTimeout));
    BOOST_TEST(leaving.process->exitStatus() == 0);
    BOOST_TEST(allServed(host("h3")));
    checkJournal();
}

BOOST_AUTO_TEST_CASE(requestThatCrashesServersIsQuarantinedAndOtherKeysAreServed)
{
    const HeaderList crash = { { "x-crash", "yes" } };
    const auto poison = [&](const char* through) {
        return site.request(host(through), "GET", "/atelier/" + keyName(0) + "/poison", "", crash);
    };
    poison("h1");
    int status = 0;
    BOOST_TEST(site.waitFor([&] { return (status = poison("h2").status) == 422; }, kWaitTimeout));
    BOOST_TEST(site.waitFor([&] { return poison("h3").status == 422; }, kWaitTimeout));
    int runs = 0;
    for (const auto& it : site.journal())
        runs += it["what"] == "began" && it["target"].get<std::string>().find("/poison") != std::string::npos;
    BOOST_TEST(runs <= 2);
    for (auto& [name, it] : site.upstreams())
        site.restart(it);
    BOOST_TEST(site.waitFor([&] { return allServed(host("h1")); }, kWaitTimeout));
}

BOOST_AUTO_TEST_CASE(silentServerIsReplacedAndItsRequestSettledTruthfully)
{
    const std::string owner = ownerOf(host("h1"), keyName(0));
    site.call(site.upstreams().at(owner).endpoint, "POST", "/control", {}, R"({"silent":true})");
    const auto result = site.request(host("h1"), "POST", "/atelier/" + keyName(0) + "/order", "silent-1");
    const Json body = result.json();
    if (result.status != 200)
        BOOST_TEST(body["ran"] == "unknown");
    BOOST_TEST(allServed(host("h2")));
    checkJournal();
}

// Guards against an answer that reaches another request: its host was killed, started again and has a request of the
// same number, as hosts of earlier builds number them.
BOOST_AUTO_TEST_CASE(newLifeOfAHostGetsNoAnswerToTheLifeBefore)
{
    const std::string key = keyName(0);
    const Json owner = site.call(host("h1").admin, "GET", "/owner?service=atelier&key=" + key).json();
    const std::string upstream = owner["owner"], coordinator = coordinatorOf(upstream);
    BOOST_REQUIRE(!coordinator.empty());
    const auto connect = [&](std::uint64_t incarnation) {
        auto life = std::make_unique<PeerLife>(site.hosts().at(coordinator).peers, "peer", Incarnation { incarnation });
        BOOST_REQUIRE(site.waitFor([&] { return !life->all<Hello>().empty(); }, kWaitTimeout));
        return life;
    };
    const auto relay = [&](PeerLife& life, const std::string& path) {
        Relay it;
        it.id = 1u << 16 | 1; // of the first request of a life, by an earlier build
        it.upstream = upstream;
        it.request.service = "atelier";
        it.request.key = key;
        it.request.slot = SlotId { owner["slot"].get<std::uint32_t>() };
        it.request.rank = "preview";
        it.request.idempotent = true;
        it.request.deadline = Millis(5000);
        it.request.method = "GET";
        it.request.target = path;
        it.request.headers = { { "x-run-ms", "400" } };
        life.send(it);
    };
    auto first = connect(1);
    relay(*first, "/first");
    site.waitFor([] { return false; }, Millis(50));
    first->end();
    auto second = connect(2);
    relay(*second, "/second");
    BOOST_TEST(site.waitFor([&] { return !second->all<RelayReply>().empty(); }, kWaitTimeout));
    site.waitFor([] { return false; }, Millis(800));
    const auto replies = second->all<RelayReply>();
    BOOST_TEST(replies.size() == 1u);
    const auto* answer = std::get_if<Answer>(&replies.at(0).reply);
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->body.find("second") != std::string::npos, answer->body);
}

BOOST_AUTO_TEST_SUITE_END()
