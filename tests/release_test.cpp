#include "ownership/release.h"

#include <boost/test/unit_test.hpp>

using namespace pistachiospur;

namespace {

const UpstreamRecord kRecord { UpstreamState::serving, Fence { 1 }, { "h1", "h2" }, StoreRevision { 3 } };

SlotChange moveOf(std::uint32_t slot) { return { SlotId { slot }, { UpstreamIndex { 1 }, kNoUpstream, Epoch { 2 } } }; }

RenewerStatus settledStatusAt(std::uint64_t revision) { return { StoreRevision { revision }, true, true, Millis(0) }; }

} // namespace

BOOST_AUTO_TEST_SUITE(Releases)

// Confirmations of the first marks must not count for later marks. Found by keyHasAtMostOneOwnerUnderAnyInterleaving.
BOOST_AUTO_TEST_CASE(laterMarksNeedNewConfirmationsFromEveryRenewer)
{
    Release release;
    updateRelease(release, kRecord, { moveOf(1) }, StoreRevision { 5 });
    onRenewerStatus(release, "h1", settledStatusAt(5));
    onRenewerStatus(release, "h2", settledStatusAt(5));
    BOOST_TEST(isReleased(release));
    updateRelease(release, kRecord, { moveOf(1), moveOf(2) }, StoreRevision { 8 });
    BOOST_TEST(!isReleased(release));
    onRenewerStatus(release, "h1", settledStatusAt(7));
    onRenewerStatus(release, "h2", settledStatusAt(8));
    BOOST_TEST(!isReleased(release));
    onRenewerStatus(release, "h1", settledStatusAt(8));
    BOOST_TEST(isReleased(release));
}

BOOST_AUTO_TEST_CASE(formerCoordinatorBlocksReleaseUntilItsGrantHasExpired)
{
    Release release;
    updateRelease(release, kRecord, { moveOf(1) }, StoreRevision { 5 });
    onRenewerStatus(release, "h2", settledStatusAt(5));
    onRenewerStatus(release, "h1", { StoreRevision { 5 }, false, false, Millis(400) });
    BOOST_TEST(!isReleased(release));
    onRenewerStatus(release, "h1", { StoreRevision { 5 }, false, false, Millis(0) });
    BOOST_TEST(isReleased(release));
}

BOOST_AUTO_TEST_SUITE_END()
