#pragma once

#include "table.h"

#include <set>
#include <vector>

// A planned move of slots away from a live upstream. The slots are marked in the store first; then every renewer must
// have seen the marks, and none may have a grant in force that was made without them: each has either had the upstream
// accept the smaller grant, with nothing left running, or does not renew and its last grant has expired.
namespace pistachiospur {

struct Release {
    StoreRevision marked; // store revision by which all the marks were made
    std::vector<SlotChange> moves; // the records that complete it
    StoreRevision recordVersion; // of the old owner's record: the renewers asked are those it names
    std::set<HostName> awaited;
};

// Follows the marks in the table, which is at store revision `applied`. Begins anew when the marks or the renewers have
// changed, since what renewers have answered so far says nothing about later marks.
void followRelease(Release&, const UpstreamRecord&, std::vector<SlotChange> moves, StoreRevision applied);
// A renewer's standing towards the upstream whose slots are to move.
struct RenewerStanding {
    StoreRevision applied; // store revision that it has taken in
    bool coordinating = false;
    bool settled = false; // the upstream has accepted what that revision says and runs nothing else
    Millis remaining {}; // how long its last grant can be in force
};

void onRenewerStanding(Release&, const HostName&, const RenewerStanding&);
void onReleaseRenewerGone(Release&, const HostName&);
// True when the slots may change owner.
bool isReleased(const Release&);

// The upstreams that slots of the service are marked to leave.
std::set<UpstreamName> movingUpstreams(const OwnershipTable&, const ServiceName&);
// The records that complete every marked move away from an upstream.
std::vector<SlotChange> completeMoves(const OwnershipTable&, const ServiceName&, const UpstreamName& from);

} // namespace pistachiospur
