#pragma once

#include "pistachiospur/types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// SWIM-style membership: determines which hosts are alive from direct heartbeats with a bounded number of neighbours,
// from rumours that heartbeats carry, and from the platform's host list, which may be out of date.
namespace pistachiospur {

enum class HostState { alive, suspect, dead };

struct MemberTiming {
    Millis suspectAfter; // silence after which a neighbour becomes suspect
    Millis deadAfter; // silence after which a neighbour is considered dead
};

// Number of live neighbours on each side of a host in its data centre's hash ring with which it exchanges heartbeats.
constexpr std::size_t kRingNeighbours = 2;
// Maximum number of rumours in one heartbeat, and number of heartbeats in which a host sends each rumour.
constexpr std::size_t kRumoursPerHeartbeat = 6;
constexpr unsigned kSendsPerRumour = 8;

// A statement about another host's state that heartbeats spread (gossip).
struct Rumour {
    HostName host;
    Incarnation incarnation;
    HostState state = HostState::alive;

    friend bool operator==(const Rumour& a, const Rumour& b)
    {
        return std::tie(a.host, a.incarnation, a.state) == std::tie(b.host, b.incarnation, b.state);
    }
};

// A host's entry in the platform's list.
struct ListedHost {
    HostName host;
    DataCentreName dataCentre;
    Endpoint peers;
    bool leaving = false;

    friend bool operator==(const ListedHost& a, const ListedHost& b)
    {
        return std::tie(a.host, a.dataCentre, a.peers, a.leaving) == std::tie(b.host, b.dataCentre, b.peers, b.leaving);
    }
};

// A change of the platform's host list, to be applied to other hosts' copies.
struct HostListChange {
    std::vector<ListedHost> addedOrChanged;
    std::vector<HostName> removed;

    bool isEmpty() const { return addedOrChanged.empty() && removed.empty(); }
};

struct Member {
    ListedHost listed;
    HostState state = HostState::alive;
    Incarnation incarnation; // highest seen; zero if none yet
    Millis lastHeard {}; // last direct message or rumour that the host is alive; at first, when the host was listed
    bool heard = false; // a direct message was received at least once
    bool leaving = false; // announced by the host itself or marked in the list
    bool ready = true; // can coordinate; assumed until the host announces otherwise
};

struct Members {
    HostName self;
    Incarnation incarnation; // of this host
    std::map<HostName, Member> hosts; // all listed hosts except this one
    std::map<HostName, Millis> unlistedSince; // for hosts removed from the list: time of the removal
    Millis firstListReadAt {}; // when the list was read for the first time
    std::map<HostName, unsigned> unsentRumours; // by the host concerned: number of heartbeats still to carry its state
    ListedHost own;
    std::optional<ListedHost> ownListed; // this host's entry in the platform's list
    std::uint64_t listDigest = 0; // digest of all list entries, including this host's, for comparison with other hosts
    std::vector<HostName> ring; // the data centre's other hosts in hash order, starting after this one
    HostName lastRoundRobinTarget; // the last heartbeat target chosen in turn among all hosts
    bool listRead = false; // the list was read at least once
};

// Applies the platform's complete list and returns what changed. A host that is missing from the list counts as removed
// until it is listed again.
HostListChange applyHostList(Members&, const std::vector<ListedHost>&, Millis now);
// Applies a change received from another host. Returns the part that changed the local list.
HostListChange applyHostListChange(Members&, const HostListChange&, Millis now);
// Records a direct message from a host, which proves that it is alive. Ignores messages from hosts that are not listed
// and messages with an older incarnation than the highest seen.
void onDirectMessage(Members&, const HostName&, Incarnation, bool leaving, Millis now);
// Processes a rumour. A host refutes a rumour that it is suspect or dead by raising its own incarnation.
void onRumour(Members&, const Rumour&, Millis now);
// Marks neighbours that have been silent for too long as suspect, then as dead.
void detectFailures(Members&, const MemberTiming&, Millis now);
// The hosts to send the next heartbeats to: the ring neighbours and one further host, chosen in turn.
std::vector<HostName> heartbeatTargets(Members&);
// The rumours for the next heartbeat.
std::vector<Rumour> nextRumours(Members&);

// Time since a host was removed from the platform's list, or since the first reading of the list for a host that was
// never listed. Zero while the host is listed or the list has not been read, and always for this host.
Millis unlistedFor(const Members&, const HostName&, Millis now);
// For each host whose copy of the list differs from the local copy: when the difference was first seen.
using ListDifferences = std::map<HostName, Millis>;
// A host reads the list again if its copy has differed from one other host's copy for this long.
constexpr Millis kMaxListDisagreement { 3000 };
// Processes another host's list digest; `equal` says whether it matches the local one. Returns true if the list should
// be read again because that host's copy has differed continuously for kMaxListDisagreement. A match with some other
// host does not reset this, because both copies may be out of date.
bool onListDigest(ListDifferences&, const HostName&, bool equal, Millis now);

// True if a host is listed and not considered dead. Always true for this host.
bool isAlive(const Members&, const HostName&);
bool isLeaving(const Members&, const HostName&);
// True if a host is alive, not leaving and has not announced that it cannot coordinate.
bool canCoordinate(const Members&, const HostName&);
// Records a host's announcement of whether it can coordinate.
void onReadiness(Members&, const HostName&, bool ready);
// Live hosts that are not leaving, sorted by name. With a data centre, only the hosts in it.
std::vector<HostName> liveHosts(const Members&);
std::vector<HostName> liveHosts(const Members&, const DataCentreName&);
// The list entry of another host; null for this host or a host that is not listed.
const ListedHost* findHost(const Members&, const HostName&);
// Relay tree of the data centre's live hosts, which all hosts with the same membership compute alike. The host at
// position 0 of relayOrder() is the root and reads the store for the others. The host at position n forwards to the
// kRelayFanOut positions from n * kRelayFanOut + 1.
constexpr std::size_t kRelayFanOut = 8;
std::vector<HostName> relayOrder(const Members&);
std::vector<HostName> relayChildren(const Members&);
HostName relayRoot(const Members&);

} // namespace pistachiospur
