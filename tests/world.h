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

// A small world around the real ownership functions: upstreams that obey grants, hosts that renew and plan on lagging
// copies of the store, and messages that are delayed, lost, doubled and reordered. Every step is one random choice.
namespace pistachiospur {

// Guards that a test can take out, to show that it would notice.
enum class Guard { none, challenge, ttlWait, renewersAccounted, promise, marksSeen, readBeforeRenewing };

struct WorldUpstream {
    UpstreamName name;
    Grant grant;
    Millis clockOffset {};
    std::uint64_t nextChallenge = 1;
    bool up = true;
};

struct WorldRenewer {
    Renewer renewer;
    Fence promised;
};

struct WorldHost {
    HostName name;
    Millis clockOffset {};
    bool paused = false;
    bool readFromStore = true;
    OwnershipTable view;
    StoreRevision applied;
    std::map<UpstreamName, WorldRenewer> renewers;
    std::map<UpstreamName, Recovery> recoveries;
    std::map<UpstreamName, Release> releases;
};

class World {
public:
    World(std::uint64_t seed, Guard without);

    // One random step.
    void step();
    // The fault-free end: everything is up, messages arrive, time passes.
    void settle();

    // A slot that two upstreams hold at once; nothing when all is well.
    std::optional<SlotId> doublyOwned() const;
    // An assignment that was acknowledged and that the store no longer has, or has with a lower epoch.
    bool lostAssignment() const;
    // True when each slot is held by the upstream that the store names.
    bool everySlotServed() const;
    std::uint64_t handovers() const { return m_handovers; }

private:
    using Deliver = std::function<void()>;

    std::uint32_t pick(std::uint32_t n) { return static_cast<std::uint32_t>(m_random() % n); }
    Millis clockOf(const WorldHost& host) const { return m_now + host.clockOffset; }
    Millis clockOf(const WorldUpstream& upstream) const { return m_now + upstream.clockOffset; }
    WorldHost& anyHost() { return m_hosts[pick(static_cast<std::uint32_t>(m_hosts.size()))]; }

    void breakSomething();
    void tickHost(WorldHost&);
    void renew(WorldHost&, WorldUpstream&, bool believesPreferred);
    void deliverRenewal(WorldHost&, WorldUpstream&, const Renewal&);
    void plan(WorldHost&);
    void planLost(WorldHost&, const UpstreamName&);
    void planReleases(WorldHost&);
    void planMoves(WorldHost&);
    bool write(const std::vector<std::pair<std::string, StoreRevision>>& expected,
        const std::vector<std::pair<std::string, std::string>>& puts);
    bool writePages(WorldHost&, const std::vector<SlotChange>&, const std::vector<UpstreamName>& guards);
    void catchUp(WorldHost&, std::size_t most);
    void restartHost(WorldHost&);
    void deliverOne();
    void send(Deliver);

    std::mt19937_64 m_random;
    Guard m_without;
    Millis m_now { 100000 };
    std::vector<WorldUpstream> m_upstreams;
    std::vector<WorldHost> m_hosts;
    std::vector<ChangeBatch> m_log; // the store's history
    std::map<std::string, StoreRevision> m_versions;
    OwnershipTable m_truth; // what the store holds
    std::map<SlotId, Epoch> m_acknowledged;
    std::vector<Deliver> m_messages;
    std::vector<Deliver> m_held; // delayed for long
    std::uint32_t m_preferred = 0; // the host that most take for the coordinator
    bool m_storeUp = true;
    bool m_faults = true;
    std::uint64_t m_handovers = 0;
};

} // namespace pistachiospur
