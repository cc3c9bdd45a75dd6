#pragma once

#include "table.h"

#include <set>
#include <vector>

// Release: the planned handover of slots away from a live upstream. The planner first marks the slots as moving in the
// store. The slots may change owner once every renewer has applied the marks and no grant issued without the marks can
// be in force. For a renewer that coordinates the upstream, this means that the upstream has accepted the reduced grant
// and runs no more requests of the removed slots. For any other renewer, it means that its last grant has expired.
namespace pistachiospur {

struct Release {
    StoreRevision markedAt; // a store revision that contains all the marks; renewers must have applied it
    std::vector<SlotChange> moves; // slot records to write when the release is complete
    StoreRevision recordVersion; // version of the old owner's record, which lists the renewers to wait for
    std::set<HostName> awaitedRenewers; // renewers that have not confirmed yet
};

// Updates the release from the marks in the local table, which is at store revision `applied`. If the marks or the
// renewers have changed, all renewers must confirm again, because earlier confirmations do not cover later marks.
void updateRelease(Release&, const UpstreamRecord&, std::vector<SlotChange> moves, StoreRevision applied);

// A renewer's status with regard to the upstream that releases slots.
struct RenewerStatus {
    StoreRevision applied; // store revision of the renewer's local table
    bool coordinating = false;
    bool settled = false; // the upstream has accepted the slots of that revision and runs no requests of other slots
    Millis remaining {}; // upper bound on how long the renewer's last grant stays in force
};

// Stops waiting for a renewer if its status rules out a grant that was issued without the marks.
void onRenewerStatus(Release&, const HostName&, const RenewerStatus&);
// Stops waiting for a renewer whose process has ended and whose last grant has expired.
void onReleaseRenewerRemoved(Release&, const HostName&);
// True if the slots may change owner.
bool isReleased(const Release&);

// The upstreams that own slots of the service marked as moving.
std::set<UpstreamName> movingUpstreams(const OwnershipTable&, const ServiceName&);
// Computes the slot records that complete every marked move away from an upstream.
std::vector<SlotChange> completeMoves(const OwnershipTable&, const ServiceName&, const UpstreamName& from);

} // namespace pistachiospur
