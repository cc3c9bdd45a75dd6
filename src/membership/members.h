#pragma once

#include "pistachiospur/types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Which hosts are alive, from direct heartbeats with a bounded number of neighbours, from rumours that heartbeats
// carry, and from the platform's lagging list.
namespace pistachiospur {

enum class HostState { alive, suspect, dead };

struct MemberTiming {
    Millis suspectAfter;
    Millis deadAfter;
};

// Neighbours on each side of the hash order of a data centre that a host exchanges heartbeats with.
constexpr std::size_t kRingNeighbours = 2;
// Rumours in one heartbeat, and how often each is passed on.
constexpr std::size_t kRumoursPerHeartbeat = 6;
constexpr unsigned kRumourRepeats = 8;

// A statement about a host that is passed on.
struct Rumour {
    HostName host;
    Incarnation incarnation;
    HostState state = HostState::alive;

    friend bool operator==(const Rumour& a, const Rumour& b)
    {
        return std::tie(a.host, a.incarnation, a.state) == std::tie(b.host, b.incarnation, b.state);
    }
};

// A host as the platform lists it.
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

// What is new in the platform's list: enough to bring another host's copy up to date.
struct HostListChange {
    std::vector<ListedHost> present; // new or different
    std::vector<HostName> removed;

    bool isEmpty() const { return present.empty() && removed.empty(); }
};

struct Member {
    ListedHost listed;
    HostState state = HostState::alive;
    Incarnation incarnation; // zero until heard of
    Millis lastHeard {};
    bool heard = false; // directly, at least once
    bool leaving = false; // said so itself, or the list does
    bool ready = true; // may coordinate; a host that was not heard is taken to be ready
};

struct Members {
    HostName self;
    Incarnation incarnation;
    std::map<HostName, Member> hosts; // every listed host but this one
    std::map<HostName, Millis> gone; // were listed once, and since when they are no longer
    Millis listReadAt {}; // first reading of the list
    std::map<HostName, unsigned> fresh; // hosts whose state is still to be passed on, and how often
    ListedHost own;
    std::optional<ListedHost> ownListed; // this host as the platform lists it
    std::uint64_t listDigest = 0; // of every listed host, this one included; equal where the lists are
    std::vector<HostName> ring; // the data centre's other hosts in hash order, beginning after this one
    HostName lastOther; // met outside the ring last
    bool listRead = false;
};

// Takes in the platform's whole list and tells what was new in it. Hosts that vanish from it are gone for good unless
// they are listed again.
HostListChange applyHostList(Members&, const std::vector<ListedHost>&, Millis now);
// Takes in what another host found new; tells what of it was new here.
HostListChange applyHostListChange(Members&, const HostListChange&, Millis now);
// A host was heard directly.
void onHeard(Members&, const HostName&, Incarnation, bool leaving, Millis now);
// Takes in what another host says. A rumour against this host raises its own incarnation.
void onRumour(Members&, const Rumour&, Millis now);
// Lets silence count: neighbours become suspect, then dead.
void judgeSilence(Members&, const MemberTiming&, Millis now);
// Whom to send the next heartbeats: the ring neighbours, and one other host in turn.
std::vector<HostName> heartbeatTargets(Members&);
std::vector<Rumour> nextRumours(Members&);

// How long a host has been missing from the platform's list, as far as this host can tell; zero while it is listed.
Millis goneFor(const Members&, const HostName&, Millis now);
// True while a host is listed and not taken for dead; this host itself always is.
// When other hosts' copies of the list began to differ from this one's, for each host that was heard.
using ListDifferences = std::map<HostName, Millis>;
// A copy that differs from one other host's for so long is read anew.
constexpr Millis kListDisagreement { 3000 };
// A host said which list it has. True when the list should be read: that host's copy has differed all the time since it
// first did. Copies that are equal prove nothing, since both may be stale.
bool onListDigest(ListDifferences&, const HostName&, bool equal, Millis now);

bool isAlive(const Members&, const HostName&);
bool isLeaving(const Members&, const HostName&);
// True when a host is alive, not leaving and, as far as is known, may coordinate.
bool canCoordinate(const Members&, const HostName&);
// A host said whether it may coordinate.
void onReadiness(Members&, const HostName&, bool ready);
// Live hosts that are not leaving, in name order; with a data centre, only its own.
std::vector<HostName> liveHosts(const Members&);
std::vector<HostName> liveHosts(const Members&, const DataCentreName&);
const ListedHost* findHost(const Members&, const HostName&);
// The data centre's live hosts in a fixed order that every one of them computes alike: position 0 reads the store for
// the others, and position n passes on to kRelayFanOut positions from n * kRelayFanOut + 1.
constexpr std::size_t kRelayFanOut = 8;
std::vector<HostName> relayOrder(const Members&);
std::vector<HostName> relayChildren(const Members&);
HostName relayRoot(const Members&);

} // namespace pistachiospur
