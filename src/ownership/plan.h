#pragma once

#include "pistachiospur/types.h"
#include "table.h"

#include <vector>

// Decides which slots should change owner. A slot keeps its owner unless the owner is no longer a valid target or owns
// more than its even share, so that each event moves as few slots as possible.
namespace pistachiospur {

struct PlanInput {
    std::uint32_t slots = 0; // number of slots of the service
    std::vector<UpstreamName> targets; // upstreams that may receive slots, sorted
};

struct PlannedMove {
    SlotId slot;
    UpstreamName from; // current owner; empty if the slot has none
    UpstreamName to;

    friend bool operator==(const PlannedMove& a, const PlannedMove& b)
    {
        return std::tie(a.slot, a.from, a.to) == std::tie(b.slot, b.from, b.to);
    }
};

// Computes the moves after which every slot is owned by a target and no target owns more than its even share, rounded
// up. Slots that are already moving to a target count towards its load and are not moved again. Returns no moves if
// there are no targets.
std::vector<PlannedMove> planMoves(const OwnershipTable&, const ServiceName&, const PlanInput&);

// Chooses the hosts that should renew an upstream's grant, in order of preference: the host with the highest rendezvous
// hash, then its successors in hash order. Taking successors keeps small the number of hosts that monitor one another.
// `hosts` are the live hosts of the upstream's data centre.
std::vector<HostName> chooseRenewers(const UpstreamName&, std::vector<HostName> hosts);

// Orders the hosts that may plan a service's slots by rendezvous hash. The first host plans. A later host takes over
// when reports sent to the hosts before it have no effect.
std::vector<HostName> plannerOrder(const ServiceName&, std::vector<HostName> hosts);

} // namespace pistachiospur
