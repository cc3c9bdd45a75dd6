#include "ownership/renewer.h"

#include <boost/test/unit_test.hpp>

using namespace pistachiospur;

namespace {

const RenewerTiming kTiming { Millis(1000), Millis(250), Millis(250) };

Renewer coordinating(const char* holder, Millis now)
{
    Renewer renewer;
    renewer.holder = holder;
    startCoordinating(renewer, now);
    return renewer;
}

// Exchanges renewals between a renewer and an upstream's grant until none is due, at most ten times.
void exchange(Renewer& renewer, Grant& grant, Millis now)
{
    static std::uint64_t challenge = 1000;
    for (int n = 0; n < 10; ++n) {
        const auto renewal = dueRenewal(renewer, kTiming, now);
        if (!renewal)
            return;
        const auto reply = answerRenewal(grant, *renewal, Challenge { ++challenge }, now, kTiming.ttl);
        onRenewalReply(renewer, *renewal, reply, kTiming, now);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Renewers)

// The digest of the empty slot set must not equal the value that stands for "nothing confirmed yet". Otherwise a
// renewer with no slots to grant counts as settled although the upstream still holds its old slots. Found by
// keyHasAtMostOneOwnerUnderAnyInterleaving.
BOOST_AUTO_TEST_CASE(emptiedUpstreamIsNotSettledBeforeItAcceptsTheEmptySet)
{
    Grant grant;
    Renewer renewer = coordinating("h1", Millis(0));
    setSlots(renewer, { { SlotId { 1 }, Epoch { 1 } } }, Millis(0));
    exchange(renewer, grant, Millis(0));
    BOOST_TEST(isSettled(renewer));

    setSlots(renewer, {}, Millis(300));
    const auto lost = dueRenewal(renewer, kTiming, Millis(300));
    onRenewalFailed(renewer, *lost, kTiming, Millis(310));
    BOOST_TEST(!isSettled(renewer));
    exchange(renewer, grant, Millis(700));
    BOOST_TEST(isSettled(renewer));
    BOOST_TEST(grant.slots.empty());
}

BOOST_AUTO_TEST_CASE(renewalDelayedPastTheTtlExtendsNothing)
{
    Grant grant;
    Renewer renewer = coordinating("h1", Millis(0));
    setSlots(renewer, { { SlotId { 1 }, Epoch { 1 } } }, Millis(0));
    exchange(renewer, grant, Millis(0));
    const auto renewal = dueRenewal(renewer, kTiming, Millis(300));
    BOOST_REQUIRE(renewal);
    answerRenewal(grant, *renewal, Challenge { 1 }, Millis(5000), kTiming.ttl);
    BOOST_TEST(!ownsSlot(grant, SlotId { 1 }, Millis(5000)));
}

BOOST_AUTO_TEST_CASE(upstreamRejectsTheOlderCoordinatorAfterANewerOneHasRenewed)
{
    Grant grant;
    Renewer old = coordinating("h1", Millis(0));
    setSlots(old, { { SlotId { 1 }, Epoch { 1 } } }, Millis(0));
    exchange(old, grant, Millis(0));
    Renewer successor = coordinating("h2", Millis(100));
    successor.term = Term { 7 };
    setSlots(successor, { { SlotId { 1 }, Epoch { 1 } } }, Millis(100));
    exchange(successor, grant, Millis(100));

    const SlotGrant slot { SlotId { 1 }, Epoch { 1 } };
    BOOST_CHECK(mayRun(grant, slot, Term { 7 }, Millis(150)) == RunVerdict::run);
    BOOST_CHECK(mayRun(grant, slot, Term { 1 }, Millis(150)) == RunVerdict::wrongTerm);
    const auto renewal = dueRenewal(old, kTiming, Millis(260));
    const auto reply = answerRenewal(grant, *renewal, Challenge { 99 }, Millis(260), kTiming.ttl);
    BOOST_CHECK(reply.verdict == RenewalVerdict::outdatedTerm);
    BOOST_CHECK(onRenewalReply(old, *renewal, reply, kTiming, Millis(260)) == RenewerChange::displaced);
}

BOOST_AUTO_TEST_CASE(twoCoordinatorsNeverShareATerm)
{
    Grant grant;
    Renewer first = coordinating("h1", Millis(0));
    Renewer second = coordinating("h2", Millis(0));
    BOOST_CHECK_EQUAL(first.term, second.term);
    exchange(first, grant, Millis(0));
    const auto renewal = dueRenewal(second, kTiming, Millis(0));
    BOOST_CHECK(answerRenewal(grant, *renewal, Challenge { 5 }, Millis(0), kTiming.ttl).verdict
        == RenewalVerdict::outdatedTerm);
}

BOOST_AUTO_TEST_CASE(unansweredUpstreamLooksLostWithinOneTtl)
{
    Grant grant;
    Renewer renewer = coordinating("h1", Millis(0));
    exchange(renewer, grant, Millis(0));
    Millis now(0);
    while (!looksLost(renewer)) {
        now += Millis(10);
        (void)dueRenewal(renewer, kTiming, now);
    }
    BOOST_TEST(now.count() <= kTiming.ttl.count());
}

BOOST_AUTO_TEST_SUITE_END()
