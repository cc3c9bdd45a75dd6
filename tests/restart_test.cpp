#include "gateway_fixture.h"

// Tests of upstreams and hosts that start again, over real sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

constexpr std::uint32_t kSlotStep = 512;

// The largest number of upstreams that hold one slot at the same time.
int mostHolders(const Fixture& site)
{
    int most = 0;
    for (std::uint32_t slot = 0; slot < kKeySlots; slot += kSlotStep)
        most = std::max(most, site.holderCount(slot));
    return most;
}

// Whether some slot has two holders until each has one and the upstream holds none.
bool hasTwoHoldersUntilMoved(Fixture& site, const RangeUpstream& from)
{
    bool hadTwoHolders = false;
    BOOST_TEST(site.runLoopUntil([&] {
        hadTwoHolders |= mostHolders(site) > 1;
        return site.holderCount(kSlot) == 1 && !from.holds(kSlot);
    }));
    return hadTwoHolders;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Restarts)

// Guards against two holders of a slot: an upstream that started again under its id, cut off from the store, took
// renewals that were meant for its earlier process, and its new entry was taken for proof that it held nothing.
BOOST_AUTO_TEST_CASE(slotsOfAnUpstreamThatStartedAgainUnseenHaveOneHolder)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    owner->restart(2000);
    BOOST_REQUIRE(site.runLoopUntil([&] { return owner->holds(kSlot); }));
    site.store.put("servers/" + owner->name(), owner->entry("draining"));
    BOOST_TEST(!hasTwoHoldersUntilMoved(site, *owner));
    BOOST_TEST(site.waitUntilServed());
}

// Guards against slots that wait for grants to expire although they return to the upstream that may hold them.
BOOST_AUTO_TEST_CASE(slotsReturnAtOnceToAnUpstreamThatStartedAgain)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    owner->restart(2000);
    BOOST_REQUIRE(site.runLoopUntil([&] { return owner->holds(kSlot); }));
    site.store.put("servers/" + owner->name(), owner->entry());
    bool hadTwoHolders = false;
    const auto hasReturned = [&] {
        hadTwoHolders |= mostHolders(site) > 1;
        const auto table = decodeRangeTable(site.store.value("pistachiospur/ranges/keyed"), {});
        const Range* range = table ? findRange(*table, { kSlot }) : nullptr;
        return range && range->owner == InstanceId { owner->name(), { 2000 } } && range->previous.empty();
    };
    BOOST_TEST(site.runLoopUntil(hasReturned, Millis(1500))); // less than any grant lasts
    BOOST_TEST(!hadTwoHolders);
    BOOST_TEST(site.waitUntilServed());
}

// Guards against two holders of a slot: a grant that the upstream's new process left unanswered took effect after the
// slot had moved.
BOOST_AUTO_TEST_CASE(unansweredGrantThatTakesEffectLateInTheNextProcessHasNoSecondHolder)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    owner->grantDelay = Millis(1200);
    owner->restart(2000);
    site.runLoopUntil([] { return false; }, Millis(900));
    site.store.put("servers/" + owner->name(), owner->entry("draining"));
    BOOST_TEST(!hasTwoHoldersUntilMoved(site, *owner));
    site.runLoopUntil(
        [&] {
            BOOST_REQUIRE(mostHolders(site) <= 1);
            return false;
        },
        Millis(2000));
}

// Guards against two holders of a slot: after a change of leader, grants of the leader before were not waited for
// because the upstream had started again.
BOOST_AUTO_TEST_CASE(slotsThatAnEarlierLeaderGrantedToAnUnseenProcessHaveOneHolder)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    owner->restart(2000);
    BOOST_REQUIRE(site.runLoopUntil([&] { return owner->holds(kSlot); }));
    const Json leader = Json::parse(site.store.value("pistachiospur/keepers/keyed"), nullptr, false);
    BOOST_REQUIRE(leader.is_object());
    const std::string host = leader["host"];
    site.gateways[static_cast<std::size_t>(host.back() - '0')].reset();
    site.store.put("servers/" + owner->name(), owner->entry("draining"));
    BOOST_TEST(!hasTwoHoldersUntilMoved(site, *owner));
}

BOOST_AUTO_TEST_SUITE_END()
