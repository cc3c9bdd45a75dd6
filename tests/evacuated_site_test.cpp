#include "gateway_fixture.h"

// Tests over real sockets of a site with a data centre that an operator empties.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

const std::string kRequest = "op/evacuate/z2";
constexpr std::int64_t kEvacuateMs = 3000;

// The owner of kSlot, k1, and one of two pooled upstreams are in the data centre z2.
struct EvacuatedSite : Fixture {
    RangeUpstream* keyed;
    RangeUpstream* pooled;
    int maxHolders = 0; // of kSlot

    explicit EvacuatedSite(int hosts = 2, bool allKeyedInZ2 = false)
        : Fixture(0)
    {
        adjustLimits = [](GatewayLimits& limits) { limits.evacuateMs = kEvacuateMs; };
        keyed = upstreams[1].get();
        pooled = &add("pool", "p1");
        for (auto& it : upstreams) {
            if (it.get() == keyed || it.get() == pooled || (allKeyedInZ2 && it->name().front() == 'k'))
                it->dataCentre = "z2";
            store.put("servers/" + it->name(), it->entry());
        }
        for (int n = 0; n < hosts; ++n)
            addHost(n, platform::kvPlatformAdapter(), n % 2 ? "z2" : "z1"); // hosts stay in use
        for (int n = 0; n < hosts; ++n)
            BOOST_REQUIRE(waitUntilServed(static_cast<std::size_t>(n)));
        BOOST_REQUIRE(keyed->holds(kSlot));
    }

    void empty() { store.put(kRequest, "{}"); }

    bool watchUntil(const std::function<bool()>& condition, Millis timeout = kTestTimeout)
    {
        return runLoopUntil(
            [&] {
                maxHolders = std::max(maxHolders, holderCount(kSlot));
                return condition();
            },
            timeout);
    }
    void watchFor(Millis time)
    {
        watchUntil([] { return false; }, time);
    }

    std::size_t countServed(const std::string& target, const std::string& prefix, int requests)
    {
        std::size_t served = 0;
        for (int n = 0; n < requests; ++n)
            served += send(target, prefix + std::to_string(n), static_cast<std::size_t>(n) % gateways.size()).status
                == 200;
        return served;
    }

    bool holdsAny(const RangeUpstream& upstream) const
    {
        for (std::uint32_t slot = 0; slot < kKeySlots; slot += 500) {
            if (upstream.holds(slot))
                return true;
        }
        return false;
    }

    std::size_t leader() const
    {
        const Json record = Json::parse(store.value("pistachiospur/keepers/keyed"), nullptr, false);
        return record.is_object() ? static_cast<std::size_t>(record["host"].get<std::string>().back() - '0') : 0;
    }

    Json status(std::size_t host)
    {
        HttpCall request;
        request.method = "GET";
        request.endpoint = adminEndpoints[host];
        request.target = "/status";
        request.timeout = Millis(2000);
        return Json::parse(sendCall(std::move(request)).body, nullptr, false);
    }

    // Waits until every host knows that z2 is, or is not, emptied.
    bool areAllTold(bool isEmptied)
    {
        return runLoopUntil([&] {
            for (std::size_t n = 0; n < gateways.size(); ++n) {
                if (gateways[n] && status(n)["evacuations"].empty() == isEmptied)
                    return false;
            }
            return true;
        });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuatedSites)

// Guards against new work in a data centre that is emptied; what runs there ends.
BOOST_AUTO_TEST_CASE(pooledUpstreamsGetNothingOnceEveryHostIsTold)
{
    EvacuatedSite site;
    site.upstreams[3]->runTime = Millis(200); // so that the other one is preferred
    BOOST_REQUIRE(site.watchUntil([&] {
        site.countServed("/pool/x", "before", 2);
        return !site.pooled->received.empty();
    }));
    site.empty();
    BOOST_REQUIRE(site.areAllTold(true));
    const std::size_t known = site.pooled->received.size();
    BOOST_TEST(site.countServed("/pool/x", "emptied", 10) == 10u);
    BOOST_TEST(site.pooled->received.size() == known);
    site.store.remove(kRequest);
    BOOST_TEST(site.watchUntil([&] {
        site.countServed("/pool/x", "back", 4);
        return site.pooled->received.size() > known;
    }));
}

// Guards against slots that stay in the data centre, that two upstreams hold at once, or that lose their handover.
BOOST_AUTO_TEST_CASE(rangesMoveOutBeforeTheDataCentreCloses)
{
    EvacuatedSite site;
    site.empty();
    BOOST_TEST(site.watchUntil(
        [&] { return !site.holdsAny(*site.keyed) && site.holderCount(kSlot) == 1; }, Millis(kEvacuateMs)));
    BOOST_TEST(site.holder(kSlot)->lastHandover() == "from-" + site.keyed->name());
    BOOST_TEST(site.watchUntil([&] { return site.countServed("/get/x", "moved", 4) == 4u; }));
    site.watchFor(Millis(kEvacuateMs));
    const std::size_t known = site.keyed->received.size();
    BOOST_TEST(site.countServed("/get/x", "closed", 20) == 20u);
    BOOST_TEST(site.keyed->received.size() == known);
    BOOST_TEST(site.maxHolders == 1);
    site.store.remove(kRequest);
    BOOST_TEST(site.watchUntil([&] { return site.holdsAny(*site.keyed); }));
}

// Guards against requests that are sent to a data centre after its time, or kept until their deadline, because no
// other has room.
BOOST_AUTO_TEST_CASE(requestsAreRefusedAtOnceIfTheOnlyOwnersAreInAClosedDataCentre)
{
    EvacuatedSite site(2, true);
    site.empty();
    BOOST_TEST(site.countServed("/get/x", "at-first", 2) == 2u);
    site.watchFor(Millis(kEvacuateMs));
    const std::size_t known = site.keyed->received.size();
    for (int n = 0; n < 6; ++n) {
        const HttpAnswer answer = site.send("/get/x", "closed" + std::to_string(n), static_cast<std::size_t>(n % 2));
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(answer.headers.count("retry-after") == 1u);
    }
    BOOST_TEST(site.countServed("/pool/x", "elsewhere", 4) == 4u);
    BOOST_TEST(site.keyed->received.size() == known);
    site.store.remove(kRequest);
    BOOST_TEST(site.watchUntil([&] { return site.countServed("/get/x", "back", 1) == 1u; }));
}

BOOST_AUTO_TEST_CASE(evacuationThatIsTakenBackHalfwayLeavesEverySlotServed)
{
    EvacuatedSite site;
    site.empty();
    BOOST_REQUIRE(site.watchUntil([&] { return !site.keyed->holds(kSlot); }));
    site.store.remove(kRequest);
    BOOST_TEST(site.areAllTold(false));
    BOOST_TEST(site.watchUntil([&] { return site.countServed("/get/x", "back", 2) == 2u; }));
    site.watchFor(Millis(kEvacuateMs));
    BOOST_TEST(site.countServed("/get/x", "later", 4) == 4u);
    BOOST_TEST(site.maxHolders == 1);
}

BOOST_AUTO_TEST_CASE(unknownDataCentreChangesNothing)
{
    EvacuatedSite site;
    site.store.put("op/evacuate/nowhere", "{}");
    site.store.put("op/evacuate/", "");
    BOOST_REQUIRE(site.areAllTold(true));
    site.watchFor(Millis(kEvacuateMs));
    BOOST_TEST(site.keyed->holds(kSlot));
    BOOST_TEST(site.countServed("/get/x", "keyed", 4) == 4u);
    BOOST_TEST(site.countServed("/pool/x", "pooled", 4) == 4u);
    BOOST_TEST(site.status(0)["evacuations"].at(1)["upstreams"] == 0);
}

// Guards against an upstream that gets work because it is newer than the request.
BOOST_AUTO_TEST_CASE(upstreamThatIsAddedInAnEmptiedDataCentreGetsNothing)
{
    EvacuatedSite site;
    site.empty();
    BOOST_REQUIRE(site.watchUntil([&] { return !site.holdsAny(*site.keyed); }));
    const std::vector<RangeUpstream*> added { &site.add("keyed", "k3", 1000, "z2"),
        &site.add("pool", "p2", 1000, "z2") };
    site.watchFor(Millis(1500));
    BOOST_TEST(site.countServed("/pool/x", "pooled", 20) == 20u);
    BOOST_TEST(site.countServed("/get/x", "keyed", 20) == 20u);
    BOOST_TEST(added[0]->received.empty());
    BOOST_TEST(added[1]->received.empty());
    BOOST_TEST(!site.holdsAny(*added[0]));
}

// The configuration changes and a second data centre is emptied meanwhile: nothing is left that may serve.
BOOST_AUTO_TEST_CASE(twoDataCentresAreEmptiedAndTakenBackByThemselves)
{
    EvacuatedSite site;
    site.empty();
    site.store.put("op/config", configuration(2, "/moved/"));
    BOOST_REQUIRE(site.watchUntil([&] { return site.countServed("/moved/x", "one", 2) == 2u; }));
    site.store.put("op/evacuate/z1", "{}");
    site.watchFor(Millis(kEvacuateMs + 500));
    const auto received = [&] {
        std::size_t n = 0;
        for (const auto& it : site.upstreams)
            n += it->received.size();
        return n;
    };
    const std::size_t known = received();
    BOOST_TEST(site.countServed("/moved/x", "both", 4) == 0u);
    BOOST_TEST(site.countServed("/pool/x", "both-p", 4) == 0u);
    BOOST_TEST(received() == known);
    site.store.remove("op/evacuate/z1");
    BOOST_TEST(site.watchUntil([&] { return site.countServed("/moved/x", "back", 2) == 2u; }));
    BOOST_TEST(site.countServed("/pool/x", "back-p", 4) == 4u);
    BOOST_TEST(!site.holdsAny(*site.keyed));
    BOOST_TEST(site.maxHolders == 1);
}

// Guards against a data centre that stays in use because the store went away right after the request.
BOOST_AUTO_TEST_CASE(dataCentreClosesDuringAnOutageOfTheStore)
{
    EvacuatedSite site;
    site.empty();
    BOOST_REQUIRE(site.areAllTold(true));
    site.store.fault = StoreFault::refuse;
    site.watchFor(Millis(kEvacuateMs));
    const std::size_t known = site.keyed->received.size() + site.pooled->received.size();
    site.countServed("/get/x", "outage", 4);
    BOOST_TEST(site.countServed("/pool/x", "outage-p", 4) == 4u);
    BOOST_TEST(site.keyed->received.size() + site.pooled->received.size() == known);
    site.store.fault = StoreFault::none;
    BOOST_TEST(site.watchUntil([&] { return site.countServed("/get/x", "after", 1) == 1u; }));
    BOOST_TEST(site.keyed->received.size() + site.pooled->received.size() == known);
    BOOST_TEST(site.maxHolders == 1);
}

// Guards against an evacuation that ends with the range leader that began it.
BOOST_AUTO_TEST_CASE(nextRangeLeaderGoesOnWithTheEvacuation)
{
    EvacuatedSite site(3);
    const std::size_t leader = site.leader();
    site.empty();
    site.watchFor(Millis(100));
    site.gateways.at(leader).reset();
    const std::size_t other = (leader + 1) % 3;
    BOOST_TEST(site.watchUntil([&] { return !site.holdsAny(*site.keyed) && site.holderCount(kSlot) == 1; }));
    BOOST_TEST(site.watchUntil([&] { return site.send("/get/x", "next", other).status == 200; }));
    BOOST_TEST(site.maxHolders == 1);
}

// Guards against work that a host sends because it was told of the request by no store, but by another host.
BOOST_AUTO_TEST_CASE(hostThatTheStoreTurnsAwayLearnsFromAnother)
{
    EvacuatedSite site;
    KvStandin::Entrance entrance(site.store);
    site.addHost(2, platform::kvPlatformAdapter(), "z1", 100, entrance.endpoint());
    BOOST_REQUIRE(site.waitUntilServed(2));
    entrance.fault = StoreFault::refuse;
    site.watchFor(Millis(500));
    site.empty();
    BOOST_REQUIRE(site.areAllTold(true));
    const std::size_t known = site.pooled->received.size();
    for (int n = 0; n < 10; ++n)
        BOOST_TEST(site.send("/pool/x", "told" + std::to_string(n), 2).status == 200);
    BOOST_TEST(site.pooled->received.size() == known);
    site.gateways.clear();
}

// Guards against work in the data centre once the store has come back from a copy without the request.
BOOST_AUTO_TEST_CASE(dataCentreStaysEmptiedWhenTheStoreForgetsTheRequest)
{
    EvacuatedSite site;
    site.store.saveCopy();
    site.empty();
    BOOST_REQUIRE(site.areAllTold(true));
    BOOST_REQUIRE(site.watchUntil([&] { return !site.holdsAny(*site.keyed); }));
    site.store.restoreCopy(false);
    BOOST_REQUIRE(site.watchUntil([&] { return site.status(0)["evacuations"][0]["forgotten"] == true; }));
    BOOST_REQUIRE(site.watchUntil([&] { return site.status(1)["evacuations"][0]["forgotten"] == true; }));
    const std::size_t known = site.pooled->received.size();
    BOOST_TEST(site.countServed("/pool/x", "forgotten", 10) == 10u);
    BOOST_TEST(site.pooled->received.size() == known);
    site.store.rewriteLost();
    site.watchFor(Millis(500));
    site.store.remove(kRequest);
    BOOST_TEST(site.areAllTold(false));
    BOOST_TEST(site.maxHolders == 1);
}

BOOST_AUTO_TEST_SUITE_END()
