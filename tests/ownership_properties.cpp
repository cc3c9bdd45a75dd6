#include "simulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace pistachiospur;

namespace {

constexpr int kSteps = 3000;

// Runs one simulation. Returns false as soon as a slot has two owners or an acknowledged assignment is lost.
bool staysSafe(std::uint64_t seed, Guard disabledGuard)
{
    Simulation simulation(seed, disabledGuard);
    for (int n = 0; n < kSteps; ++n) {
        simulation.step();
        if (simulation.slotWithTwoOwners() || simulation.hasLostAssignment())
            return false;
    }
    return true;
}

// Maximum number of seeds tried until a simulation with a disabled guard violates safety.
constexpr std::uint64_t kMaxSeedsWithDisabledGuard = 3000;

bool isViolationDetected(Guard disabledGuard)
{
    for (std::uint64_t seed = 1; seed <= kMaxSeedsWithDisabledGuard; ++seed) {
        if (!staysSafe(seed, disabledGuard))
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ownership)

RC_BOOST_PROP(keyHasAtMostOneOwnerUnderAnyInterleaving, (std::uint64_t seed))
{
    RC_ASSERT(staysSafe(seed, Guard::none));
}

RC_BOOST_PROP(everySlotIsServedOnceFaultsAreOver, (std::uint64_t seed))
{
    Simulation simulation(seed, Guard::none);
    for (int n = 0; n < kSteps / 3; ++n)
        simulation.step();
    simulation.settle();
    RC_ASSERT(simulation.everySlotServed());
    RC_ASSERT(!simulation.slotWithTwoOwners());
    RC_ASSERT(!simulation.hasLostAssignment());
}

BOOST_AUTO_TEST_CASE(simulationAssignsSlotsOften)
{
    std::uint64_t assignments = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        Simulation simulation(seed, Guard::none);
        for (int n = 0; n < kSteps; ++n)
            simulation.step();
        assignments += simulation.assignments();
    }
    BOOST_TEST(assignments > 400u);
}

BOOST_AUTO_TEST_CASE(violationWithoutChallengesIsDetected) { BOOST_TEST(isViolationDetected(Guard::challenge)); }
BOOST_AUTO_TEST_CASE(violationWithoutTheTtlWaitIsDetected) { BOOST_TEST(isViolationDetected(Guard::ttlWait)); }
BOOST_AUTO_TEST_CASE(violationWithoutStoppingAllRenewersIsDetected)
{
    BOOST_TEST(isViolationDetected(Guard::allRenewersStopped));
}
BOOST_AUTO_TEST_CASE(violationWithoutFencePromisesIsDetected) { BOOST_TEST(isViolationDetected(Guard::fencePromise)); }
BOOST_AUTO_TEST_CASE(violationWithoutRenewersApplyingMarksIsDetected)
{
    BOOST_TEST(isViolationDetected(Guard::renewersAppliedMarks));
}
BOOST_AUTO_TEST_CASE(violationWhenRestartedHostsRenewBeforeReadingTheStoreIsDetected)
{
    BOOST_TEST(isViolationDetected(Guard::readBeforeRenewing));
}

BOOST_AUTO_TEST_SUITE_END()
