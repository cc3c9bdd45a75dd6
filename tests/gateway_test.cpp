#include "gateway/gateway.h"
#include "io/socket.h"
#include "platform/dialect.h"
#include "standins/kv.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

// The gateway on its platform through real sockets: a store, upstreams and hosts in one process on one loop. Tests wait
// for conditions, with a limit far above what they need.
using namespace pistachiospur;
using namespace pistachiospur::standin;
using Json = nlohmann::json;

namespace {

constexpr Millis kPatience { 20000 };
constexpr std::uint32_t kSlot = 40000;

Endpoint freeEndpoint()
{
    const int fd = listenOn({ "127.0.0.1", 0 });
    Endpoint endpoint { "127.0.0.1", boundPort(fd) };
    ::close(fd);
    return endpoint;
}

std::string configuration(unsigned version, const std::string& prefix)
{
    const auto route = [&](const char* name, const std::string& at, const char* kind, const char* service) {
        return Json { { "name", name }, { "path-prefix", at }, { "route-type", kind }, { "timeout-ms", 3000 },
            { "target-latency-ms", 2000 }, { "priority", 1 }, { "max-attempts", 2 }, { "service", service } };
    };
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", version);
    return Json {
        { "version", digits }, { "services", { { { "name", "keyed" }, { "sharded", true } }, { { "name", "pool" } } } },
        { "limits",
            { { "max-header-bytes", 16384 }, { "max-body-bytes", 100000 }, { "header-timeout-ms", 3000 },
                { "idle-timeout-ms", 15000 } } },
        { "virtual-hosts",
            { { { "hostname", "a.example" },
                { "path-matches",
                    { route("get", prefix, "safe", "keyed"), route("post", "/unsafe/", "unsafe", "keyed"),
                        route("pooled", "/pool/", "unsafe", "pool") } } } } }
    }.dump();
}

struct Fixture {
    KvStandin store;
    std::vector<std::unique_ptr<RangeUpstream>> upstreams;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<Endpoint> doors;
    HttpClient client { 1u << 20 };

    explicit Fixture(int hosts = 2)
    {
        store.put("op/config", configuration(1, "/get/"));
        for (int n = 0; n < 3; ++n)
            add("keyed", "k" + std::to_string(n));
        add("pool", "p0");
        for (int n = 0; n < hosts; ++n)
            addHost(n);
    }

    ~Fixture() { gateways.clear(); }

    RangeUpstream& add(const std::string& service, const std::string& name, std::int64_t born = 1000)
    {
        upstreams.push_back(std::make_unique<RangeUpstream>(service, name, born, service == "keyed"));
        store.put("servers/" + name, upstreams.back()->entry());
        return *upstreams.back();
    }

    void addHost(int n)
    {
        GatewaySettings settings;
        settings.host = "h" + std::to_string(n);
        settings.dataCentre = "z1";
        settings.callers = freeEndpoint();
        settings.ready = freeEndpoint();
        settings.peers = freeEndpoint();
        settings.admin = freeEndpoint();
        settings.store = store.endpoint();
        for (const auto& it : gatewayOptions())
            settings.limits.*it.field = it.defaultValue;
        gateways.push_back(std::make_unique<Gateway>(settings, "", platform::kvDialect()));
        gateways.back()->start();
        doors.push_back(settings.callers);
    }

    // Runs the loop until the condition holds; false when it does not come to hold.
    bool until(const std::function<bool()>& condition, Millis patience = kPatience)
    {
        Timer wake([] {});
        wake.every(Millis(5));
        const Millis end = monotonicNow() + patience;
        while (!condition() && monotonicNow() < end)
            ev_run(defaultLoop(), EVRUN_ONCE);
        return condition();
    }

    HttpCall call(const std::string& target, const std::string& id, std::size_t door = 0) const
    {
        HttpCall it;
        it.method = target.find("/unsafe/") == 0 || target.find("/pool/") == 0 ? "POST" : "GET";
        it.endpoint = doors[door];
        it.target = target;
        it.headers = { { "Host", "a.example" }, { "Request-Id", id }, { "Deadline-Ms", "2500" },
            { "Shard-Key", std::to_string(kSlot) } };
        it.timeout = Millis(5000);
        it.freshConnection = true;
        return it;
    }

    // One request and its whole answer; status 0 when there is none.
    HttpAnswer ask(const std::string& target, const std::string& id, std::size_t door = 0)
    {
        std::optional<HttpOutcome> outcome;
        client.start(call(target, id, door), [&](HttpOutcome it) { outcome = std::move(it); });
        until([&] { return outcome.has_value(); });
        const auto* answer = outcome ? std::get_if<HttpAnswer>(&*outcome) : nullptr;
        return answer ? *answer : HttpAnswer {};
    }

    // Asks until a request is served: the first grants take a moment.
    bool served(std::size_t door = 0)
    {
        const Millis end = monotonicNow() + kPatience;
        while (monotonicNow() < end) {
            if (ask("/get/x", "warm", door).status == 200)
                return true;
        }
        return false;
    }

    int holders(std::uint32_t slot) const
    {
        return static_cast<int>(
            std::count_if(upstreams.begin(), upstreams.end(), [slot](const auto& it) { return it->holds(slot); }));
    }

    RangeUpstream* holder(std::uint32_t slot)
    {
        for (auto& it : upstreams) {
            if (it->holds(slot))
                return it.get();
        }
        return nullptr;
    }

    std::size_t timesSeen(const std::string& id) const
    {
        std::size_t n = 0;
        for (const auto& upstream : upstreams) {
            for (const auto& it : upstream->seen)
                n += it.id == id;
        }
        return n;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(GatewayOnItsPlatform)

BOOST_AUTO_TEST_CASE(answersCome503BeforeAnyConfigurationAndNever404)
{
    Fixture it(0);
    it.store.remove("op/config");
    it.addHost(0);
    BOOST_TEST(it.ask("/get/x", "r1").status == 503);
}

BOOST_AUTO_TEST_CASE(requestReachesTheOwnerUnchangedAndItsAnswerComesWhole)
{
    Fixture it;
    for (std::size_t door = 0; door < 2; ++door) {
        BOOST_REQUIRE(it.served(door));
        const std::string id = "r" + std::to_string(door);
        const HttpAnswer answer = it.ask("/get/a/../b?q=%2f", id, door);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.headers.at("server-seal") == "seal-" + id);
        RangeUpstream* owner = it.holder(kSlot);
        BOOST_REQUIRE(owner);
        BOOST_TEST(answer.body == "from " + owner->name());
        BOOST_TEST(owner->seen.back().target == "/get/a/../b?q=%2f");
        BOOST_TEST(std::stoi(owner->seen.back().deadline) <= 2500);
    }
    BOOST_TEST(it.ask("/none/x", "r9").status == 404);
    BOOST_TEST(it.ask("/pool/x", "r10").status == 200);
    BOOST_TEST(it.timesSeen("r10") == 1u);
}

BOOST_AUTO_TEST_CASE(configurationIsReplacedAndAFaultyOneChangesNothing)
{
    Fixture it;
    BOOST_REQUIRE(it.served());
    it.store.put("op/config", configuration(2, "/moved/"));
    BOOST_TEST(it.until([&] { return it.ask("/moved/x", "r1").status == 200; }));
    BOOST_TEST(it.ask("/get/x", "r2").status == 404);
    it.store.put("op/config", "{\"version\":\"0000");
    it.store.put("op/config", configuration(1, "/get/")); // older than the one in force
    it.until([] { return false; }, Millis(500));
    BOOST_TEST(it.ask("/moved/x", "r3").status == 200);
}

BOOST_AUTO_TEST_CASE(leavingUpstreamHandsItsSlotsOver)
{
    Fixture it;
    BOOST_REQUIRE(it.served());
    RangeUpstream* owner = it.holder(kSlot);
    BOOST_REQUIRE(owner);
    it.store.put("servers/" + owner->name(), owner->entry("draining"));
    bool twoHolders = false;
    BOOST_TEST(it.until([&] {
        twoHolders |= it.holders(kSlot) > 1;
        return it.holders(kSlot) == 1 && it.holder(kSlot) != owner;
    }));
    BOOST_TEST(!twoHolders);
    BOOST_TEST(it.holder(kSlot)->handoverTaken() == "from-" + owner->name());
    BOOST_REQUIRE(it.served());
    const std::size_t before = owner->seen.size();
    for (int n = 0; n < 5; ++n)
        BOOST_TEST(it.ask("/unsafe/x", "after" + std::to_string(n)).status == 200);
    BOOST_TEST(owner->seen.size() == before);
}

BOOST_AUTO_TEST_CASE(lostUpstreamsSlotsGoToAnotherOnlyWhenItsGrantHasEnded)
{
    Fixture it;
    BOOST_REQUIRE(it.served());
    RangeUpstream* owner = it.holder(kSlot);
    BOOST_REQUIRE(owner);
    // Its entry is gone and it answers no order, but it still holds what it was granted.
    owner->crashed = true;
    const auto stillHeld = [&] {
        owner->crashed = false;
        const bool held = owner->holds(kSlot);
        owner->crashed = true;
        return held;
    };
    it.store.remove("servers/" + owner->name());
    bool tooEarly = false;
    BOOST_TEST(it.until([&] {
        tooEarly |= it.holders(kSlot) > 0 && stillHeld();
        return it.holders(kSlot) > 0;
    }));
    BOOST_TEST(!tooEarly);
    BOOST_TEST(it.served());
}

BOOST_AUTO_TEST_CASE(restartedUpstreamsOldLifeIsWaitedForNoLonger)
{
    Fixture it;
    BOOST_REQUIRE(it.served());
    RangeUpstream* owner = it.holder(kSlot);
    BOOST_REQUIRE(owner);
    owner->crashed = true;
    it.add("keyed", owner->name(), 2000);
    BOOST_TEST(it.until([&] { return it.holders(kSlot) == 1; }));
    BOOST_TEST(it.served());
}

BOOST_AUTO_TEST_CASE(anotherHostKeepsTheRangesWhenTheKeeperIsLost)
{
    Fixture it(3);
    BOOST_REQUIRE(it.served());
    const auto keeper = [&] { return Json::parse(it.store.value("pistachiospur/keepers/keyed"), nullptr, false); };
    BOOST_REQUIRE(it.until([&] { return keeper().is_object(); }));
    const std::string first = keeper()["host"];
    const auto n = static_cast<std::size_t>(first.back() - '0');
    it.gateways[n].reset();
    bool gap = false, twoHolders = false;
    BOOST_TEST(it.until([&] {
        gap |= it.holders(kSlot) == 0;
        twoHolders |= it.holders(kSlot) > 1;
        const Json now = keeper();
        return now.is_object() && now["host"] != first;
    }));
    BOOST_TEST(it.served(n == 0 ? 1 : 0));
    BOOST_TEST(!twoHolders);
    BOOST_TEST(!gap);
}

BOOST_AUTO_TEST_CASE(outageOfTheStoreStopsNoRequests)
{
    Fixture it;
    BOOST_REQUIRE(it.served());
    for (const auto fault : { StoreFault::refuse, StoreFault::silent }) {
        // The keeper's lease is renewed between the outages; each is longer than any grant, so it goes on renewing.
        it.until([] { return false; }, Millis(1000));
        it.store.fault = fault;
        const Millis end = monotonicNow() + Millis(4000);
        int failed = 0;
        while (monotonicNow() < end)
            failed += it.ask("/get/x", "during").status != 200;
        BOOST_TEST(failed == 0);
        it.store.fault = StoreFault::none;
        it.store.put("op/config", configuration(fault == StoreFault::refuse ? 5 : 6, "/get/"));
        BOOST_TEST(it.served());
    }
}

BOOST_AUTO_TEST_CASE(lostAnswersOfTheStoreAreSettled)
{
    Fixture it;
    BOOST_REQUIRE(it.served());
    it.store.fault = StoreFault::loseAnswers;
    RangeUpstream* owner = it.holder(kSlot);
    BOOST_REQUIRE(owner);
    it.store.put("servers/" + owner->name(), owner->entry("draining"));
    it.until([] { return false; }, Millis(2000));
    it.store.fault = StoreFault::none;
    BOOST_TEST(it.until([&] { return it.holders(kSlot) == 1 && it.holder(kSlot) != owner; }));
    BOOST_TEST(it.served());
}

BOOST_AUTO_TEST_CASE(forgottenHistoryIsReadAnew)
{
    Fixture it;
    BOOST_REQUIRE(it.served());
    it.store.fault = StoreFault::silent;
    it.store.put("op/config", configuration(2, "/moved/"));
    it.store.forgetHistory();
    it.store.fault = StoreFault::none;
    BOOST_TEST(it.until([&] { return it.ask("/moved/x", "r1").status == 200; }));
}

BOOST_AUTO_TEST_CASE(callersCloseReachesTheUpstream)
{
    Fixture it;
    BOOST_REQUIRE(it.served(0));
    BOOST_REQUIRE(it.served(1));
    RangeUpstream* owner = it.holder(kSlot);
    BOOST_REQUIRE(owner);
    owner->work = Millis(2000);
    for (std::size_t door = 0; door < 2; ++door) {
        const std::string id = "gone" + std::to_string(door);
        const auto call = it.client.start(it.call("/get/x", id, door), [](const HttpOutcome&) {});
        BOOST_REQUIRE(it.until([&] { return it.timesSeen(id) == 1; }));
        it.client.cancel(call);
        BOOST_TEST(it.until(
            [&] {
                return std::any_of(
                    owner->seen.begin(), owner->seen.end(), [&](const auto& n) { return n.id == id && n.cut; });
            },
            Millis(1500)));
    }
}

BOOST_AUTO_TEST_CASE(addressTakenByAnotherUpstreamGetsNothingMore)
{
    Fixture it;
    BOOST_REQUIRE(it.served());
    RangeUpstream* owner = it.holder(kSlot);
    BOOST_REQUIRE(owner);
    // The entry of a life that has ended names an address that another upstream has now.
    RangeUpstream other("pool", "other", 3000, false);
    Json entry = Json::parse(owner->entry());
    entry["address"] = Json::parse(other.entry())["address"];
    owner->crashed = true;
    it.store.put("servers/" + owner->name(), entry.dump());
    BOOST_TEST(it.served());
    BOOST_TEST(other.seen.empty());
    BOOST_TEST(it.holder(kSlot) != owner);
}

BOOST_AUTO_TEST_SUITE_END()
