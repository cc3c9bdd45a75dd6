#pragma once

#include "membership/members.h"
#include "ownership/plan.h"
#include "ownership/recovery.h"
#include "ownership/release.h"
#include "ownership/renewer.h"
#include "store/replica.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

// A randomized simulation that runs the production ownership functions: upstreams that follow their grants, hosts that
// renew and plan from lagging copies of the store, and messages that are delayed, lost, duplicated and reordered. Each
// step performs one randomly chosen action.
namespace pistachiospur {

// Safety mechanisms that a test can disable, to show that the simulation detects their absence.
enum class Guard {
    none,
    challenge, // upstreams accept only the challenge that they issued last
    ttlWait, // a recovery waits until earlier grants have expired
    allRenewersStopped, // a recovery waits until every renewer has stopped
    fencePromise, // a renewer does not renew under a fence for which it promised to stop
    renewersAppliedMarks, // a release waits until every renewer has applied the marks
    readBeforeRenewing, // a restarted host reads the store before it renews or plans
};

struct SimulatedUpstream {
    UpstreamName name;
    Grant grant;
    Millis clockOffset {};
    std::uint64_t nextChallenge = 1;
    bool up = true;
};

struct SimulatedRenewer {
    Renewer renewer;
    Fence promisedFence;
};

struct SimulatedHost {
    HostName name;
    Millis clockOffset {};
    bool paused = false;
    bool readFromStore = true; // the view was read from the store after the last restart
    OwnershipTable view; // local copy of the table
    StoreRevision applied; // store revision of the view
    std::map<UpstreamName, SimulatedRenewer> renewers;
    std::map<UpstreamName, Recovery> recoveries;
    std::map<UpstreamName, Release> releases;
};

class Simulation {
public:
    Simulation(std::uint64_t seed, Guard disabledGuard);

    // Performs one random action.
    void step();
    // Runs without faults until every slot is served or the rounds are used up.
    void settle();

    // A slot for which two upstreams have a grant in force, if there is one.
    std::optional<SlotId> slotWithTwoOwners() const;
    // True if the store has lost an acknowledged assignment or has it with a lower epoch.
    bool hasLostAssignment() const;
    // True if each slot's owner according to the store has a grant in force for it.
    bool everySlotServed() const;
    std::uint64_t assignments() const { return m_assignments; }

private:
    using Delivery = std::function<void()>; // delivers one message to its recipient

    // A random number below n.
    std::uint32_t pick(std::uint32_t n) { return static_cast<std::uint32_t>(m_random() % n); }
    Millis clockOf(const SimulatedHost& host) const { return m_now + host.clockOffset; }
    Millis clockOf(const SimulatedUpstream& upstream) const { return m_now + upstream.clockOffset; }
    SimulatedHost& anyHost() { return m_hosts[pick(static_cast<std::uint32_t>(m_hosts.size()))]; }

    void injectFault();
    void tickHost(SimulatedHost&);
    void renew(SimulatedHost&, SimulatedUpstream&, bool believesItIsPreferred);
    void deliverRenewal(SimulatedHost&, SimulatedUpstream&, const Renewal&);
    void plan(SimulatedHost&);
    void planRecovery(SimulatedHost&, const UpstreamName&);
    void planReleases(SimulatedHost&);
    void planSlotMoves(SimulatedHost&);
    bool write(const std::vector<std::pair<std::string, StoreRevision>>& expected,
        const std::vector<std::pair<std::string, std::string>>& puts);
    bool writePages(
        SimulatedHost&, const std::vector<SlotChange>&, const std::vector<UpstreamName>& unchangedUpstreams);
    void replicate(SimulatedHost&, std::size_t maxBatches);
    void restartHost(SimulatedHost&);
    void deliverOneMessage();
    void send(Delivery);

    std::mt19937_64 m_random;
    Guard m_disabledGuard;
    Millis m_now { 100000 }; // each host's and upstream's clock differs from this by its offset
    std::vector<SimulatedUpstream> m_upstreams;
    std::vector<SimulatedHost> m_hosts;
    std::vector<ChangeBatch> m_history; // all writes to the store; the batch at index n leads to revision n + 1
    std::map<std::string, StoreRevision> m_versions; // current version of each store key
    OwnershipTable m_storedTable; // the table that the store contains
    std::map<SlotId, Epoch> m_acknowledged; // slots assigned by acknowledged writes
    std::vector<Delivery> m_messages; // in the network, delivered in random order
    std::vector<Delivery> m_delayedMessages; // delivered only after a fault moves them to m_messages
    std::uint32_t m_preferredHost = 0; // index of the host that usually considers itself the preferred coordinator
    bool m_storeUp = true;
    bool m_injectsFaults = true;
    std::uint64_t m_assignments = 0;
};

} // namespace pistachiospur
