#pragma once

#include "table.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

// Taking slots from an upstream. Before another upstream may own them, every host that may renew the old owner has
// either promised to stop or is known to be gone, and the last grant that any of them can have made has expired.
namespace pistachiospur {

enum class RecoveryPhase {
    marking, // the record must say that the upstream is lost
    awaitingRenewers, // some renewer has not answered yet
    awaitingExpiry, // a grant may still be in force
    assigning, // the slots may be given away
};

struct Recovery {
    RecoveryPhase phase = RecoveryPhase::marking;
    Fence fence; // of the record that says lost
    StoreRevision recordVersion; // the assignment is valid only while the record has it
    std::set<HostName> awaited;
    Millis expiresAt {}; // on this host's clock
};

// A host renews only what the store's record entitles it to, and never under a fence that it has promised to respect.
bool mayRenew(const UpstreamRecord&, const HostName& host, Fence promised);

// Where a recovery stands given the record now in the store. Called for a record that says lost.
Recovery beginRecovery(const UpstreamRecord&, Millis now);
// A renewer promised not to renew under the fence or an older one; grants that it made may last `remaining` more.
void onRenewerStopped(Recovery&, const HostName&, Fence, Millis remaining, Millis now);
// The platform or a newer incarnation says that the renewer's process is gone; its last grant may be as new as that.
void onRenewerGone(Recovery&, const HostName&, Millis ttl, Millis now);
// Moves on when time allows; returns the phase.
RecoveryPhase advance(Recovery&, Millis now);

// The slot records that give an upstream's slots to new owners, each with the next epoch.
std::vector<SlotChange> reassign(OwnershipTable&, const ServiceName&, const UpstreamName& lost,
    const std::vector<UpstreamName>& targets, std::uint32_t slots);

} // namespace pistachiospur
