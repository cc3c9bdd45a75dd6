#pragma once

#include "table.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

// Recovery: reassigning the slots of a lost upstream. Another upstream may own them only after two conditions hold.
// Every host that may renew the lost upstream's grant has promised to stop, or its process has ended. The last grant
// that any of these hosts may have issued has expired.
namespace pistachiospur {

enum class RecoveryPhase {
    marking, // the stored record does not say yet that the upstream is lost
    awaitingRenewers, // at least one renewer has not confirmed that it stopped
    awaitingExpiry, // all renewers have stopped; a grant may still be in force
    assigning, // the slots may be assigned to other upstreams
};

struct Recovery {
    RecoveryPhase phase = RecoveryPhase::marking;
    Fence fence; // fence of the record that marks the upstream as lost
    StoreRevision recordVersion; // version of that record; after another write of the record, recovery begins again
    std::set<HostName> awaitedRenewers; // renewers that have not confirmed yet
    Millis expiresAt {}; // when every grant of the renewers no longer awaited has expired, on this host's clock
};

// True if the stored record names the host as a renewer of a serving upstream and the record's fence is higher than the
// last fence for which the host promised to stop renewing.
bool mayRenew(const UpstreamRecord&, const HostName& host, Fence promisedFence);

// Creates the recovery for the stored record. It stays in phase `marking` unless the record marks the upstream as lost.
Recovery beginRecovery(const UpstreamRecord&, Millis now);
// Records a renewer's promise not to renew under this fence or an older one. Grants that it issued may be in force for
// another `remaining`.
void onRenewerStopped(Recovery&, const HostName&, Fence, Millis remaining, Millis now);
// Records that a renewer's process has ended, as its removal from the platform's host list implies. The process may
// have issued its last grant just before `now`, so the recovery waits a whole TTL and kClockRateMargin from `now`.
void onRenewerRemoved(Recovery&, const HostName&, Millis ttl, Millis now);
// Enters the next phase if its condition holds at `now`. Returns the current phase.
RecoveryPhase advance(Recovery&, Millis now);

// Computes the slot records that assign the lost upstream's slots to new owners, each with the next epoch.
std::vector<SlotChange> reassign(OwnershipTable&, const ServiceName&, const UpstreamName& lostUpstream,
    const std::vector<UpstreamName>& targets, std::uint32_t slots);

} // namespace pistachiospur
