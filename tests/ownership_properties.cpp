#include "world.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace pistachiospur;

namespace {

constexpr int kSteps = 3000;

// Runs one world; false as soon as a promise is broken.
bool keepsPromises(std::uint64_t seed, Guard without)
{
    World world(seed, without);
    for (int n = 0; n < kSteps; ++n) {
        world.step();
        if (world.doublyOwned() || world.lostAssignment())
            return false;
    }
    return true;
}

// Seeds tried until a world without a guard breaks a promise.
constexpr std::uint64_t kWeakenedSeeds = 3000;

bool isNoticed(Guard without)
{
    for (std::uint64_t seed = 1; seed <= kWeakenedSeeds; ++seed) {
        if (!keepsPromises(seed, without))
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ownership)

RC_BOOST_PROP(keyHasAtMostOneOwnerUnderAnyInterleaving, (std::uint64_t seed))
{
    RC_ASSERT(keepsPromises(seed, Guard::none));
}

RC_BOOST_PROP(everySlotIsServedOnceFaultsAreOver, (std::uint64_t seed))
{
    World world(seed, Guard::none);
    for (int n = 0; n < kSteps / 3; ++n)
        world.step();
    world.settle();
    RC_ASSERT(world.everySlotServed());
    RC_ASSERT(!world.doublyOwned());
    RC_ASSERT(!world.lostAssignment());
}

BOOST_AUTO_TEST_CASE(theWorldDoesMoveSlots)
{
    std::uint64_t handovers = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        World world(seed, Guard::none);
        for (int n = 0; n < kSteps; ++n)
            world.step();
        handovers += world.handovers();
    }
    BOOST_TEST(handovers > 400u);
}

BOOST_AUTO_TEST_CASE(worldWithoutChallengesIsCaught) { BOOST_TEST(isNoticed(Guard::challenge)); }
BOOST_AUTO_TEST_CASE(worldWithoutTheTtlWaitIsCaught) { BOOST_TEST(isNoticed(Guard::ttlWait)); }
BOOST_AUTO_TEST_CASE(worldWithoutAccountOfRenewersIsCaught) { BOOST_TEST(isNoticed(Guard::renewersAccounted)); }
BOOST_AUTO_TEST_CASE(worldWithoutPromisesIsCaught) { BOOST_TEST(isNoticed(Guard::promise)); }
BOOST_AUTO_TEST_CASE(worldWithoutMarksSeenByRenewersIsCaught) { BOOST_TEST(isNoticed(Guard::marksSeen)); }
BOOST_AUTO_TEST_CASE(worldWhereRestartedHostsTrustOthersIsCaught) { BOOST_TEST(isNoticed(Guard::readBeforeRenewing)); }

BOOST_AUTO_TEST_SUITE_END()
