#pragma once

#include "pistachiospur/types.h"
#include "table.h"

#include <vector>

// Decides which slots should change owner. A slot keeps its owner unless the owner may not keep it, or the owner has
// more than its even share; so each event moves the least number of slots.
namespace pistachiospur {

struct PlanInput {
    std::uint32_t slots = 0; // of the service
    std::vector<UpstreamName> targets; // upstreams that may receive slots, sorted
};

struct PlannedMove {
    SlotId slot;
    UpstreamName from; // empty: unowned
    UpstreamName to;

    friend bool operator==(const PlannedMove& a, const PlannedMove& b)
    {
        return std::tie(a.slot, a.from, a.to) == std::tie(b.slot, b.from, b.to);
    }
};

// The moves that bring every slot to a target and every target to at most its even share, rounded up. Slots that are
// already moving to a target count for it and are left alone. Empty when there is no target.
std::vector<PlannedMove> planMoves(const OwnershipTable&, const ServiceName&, const PlanInput&);

// The hosts that should renew an upstream: the highest by rendezvous hash, then its successors in hash order, so that
// the hosts watching one another are few. `hosts` are the live ones of the upstream's data centre.
std::vector<HostName> chooseRenewers(const UpstreamName&, std::vector<HostName> hosts);

// The hosts that may plan for a service, by rendezvous hash. The first one does; a later one takes over when reports to
// those before it come to nothing.
std::vector<HostName> plannerOrder(const ServiceName&, std::vector<HostName> hosts);

} // namespace pistachiospur
