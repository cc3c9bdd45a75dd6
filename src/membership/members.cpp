#include "members.h"

#include <algorithm>
#include <xxhash.h>

namespace pistachiospur {

namespace {

std::pair<std::uint64_t, HostName> ringPosition(const HostName& host)
{
    return { XXH64(host.data(), host.size(), 0), host };
}

void queueRumour(Members& members, const HostName& host) { members.unsentRumours[host] = kSendsPerRumour; }

void setState(Members& members, Member& member, HostState state)
{
    if (member.state == state)
        return;
    member.state = state;
    queueRumour(members, member.listed.host);
}

// Computes Members::ring. Called only when the list changes, so that a heartbeat's cost does not grow with the number
// of hosts.
std::vector<HostName> ringAfterSelf(const Members& members)
{
    std::vector<HostName> ring;
    for (const auto& [name, member] : members.hosts) {
        if (member.listed.dataCentre == members.own.dataCentre)
            ring.push_back(name);
    }
    const auto self = ringPosition(members.self);
    std::sort(ring.begin(), ring.end(), [&](const HostName& a, const HostName& b) {
        const auto pa = ringPosition(a), pb = ringPosition(b);
        return std::pair(pa < self, pa) < std::pair(pb < self, pb);
    });
    return ring;
}

// The kRingNeighbours nearest live hosts on each side of this host in the ring, plus the dead hosts between them, which
// still get heartbeats so that their return is noticed.
std::set<HostName> ringNeighbours(const Members& members)
{
    const auto& ring = members.ring;
    std::set<HostName> neighbours;
    const auto addNearest = [&](auto from, auto to) {
        std::size_t live = 0;
        for (auto it = from; it != to && live < kRingNeighbours; ++it) {
            neighbours.insert(*it);
            live += members.hosts.at(*it).state != HostState::dead;
        }
    };
    addNearest(ring.begin(), ring.end());
    addNearest(ring.rbegin(), ring.rend());
    return neighbours;
}

} // namespace

namespace {

std::uint64_t digestOf(const ListedHost& host)
{
    const std::string text
        = host.host + " " + host.dataCentre + " " + host.peers.text() + (host.leaving ? " leaving" : "");
    return XXH64(text.data(), text.size(), 0);
}

const ListedHost* findListed(const Members& members, const HostName& host)
{
    if (host == members.self)
        return members.ownListed ? &*members.ownListed : nullptr;
    const auto it = members.hosts.find(host);
    return it == members.hosts.end() ? nullptr : &it->second.listed;
}

void putListed(Members& members, const ListedHost& host, Millis now)
{
    if (host.host == members.self) {
        members.ownListed = host;
        members.own = host;
        return;
    }
    members.unlistedSince.erase(host.host);
    const auto [it, inserted] = members.hosts.try_emplace(host.host);
    if (inserted)
        it->second.lastHeard = now;
    it->second.listed = host;
    it->second.leaving = it->second.leaving || host.leaving;
}

void removeListed(Members& members, const HostName& host, Millis now)
{
    if (host == members.self) {
        members.ownListed.reset();
        return;
    }
    members.unlistedSince.emplace(host, now);
    members.unsentRumours.erase(host);
    members.hosts.erase(host);
}

} // namespace

HostListChange applyHostListChange(Members& members, const HostListChange& change, Millis now)
{
    HostListChange applied;
    for (const auto& host : change.addedOrChanged) {
        const ListedHost* known = findListed(members, host.host);
        if (known && *known == host)
            continue;
        members.listDigest ^= (known ? digestOf(*known) : 0) ^ digestOf(host);
        putListed(members, host, now);
        applied.addedOrChanged.push_back(host);
    }
    for (const auto& name : change.removed) {
        const ListedHost* known = findListed(members, name);
        if (!known)
            continue;
        members.listDigest ^= digestOf(*known);
        removeListed(members, name, now);
        applied.removed.push_back(name);
    }
    if (!applied.isEmpty())
        members.ring = ringAfterSelf(members);
    return applied;
}

HostListChange applyHostList(Members& members, const std::vector<ListedHost>& list, Millis now)
{
    HostListChange change { list, {} };
    std::set<HostName> listed;
    for (const auto& it : list)
        listed.insert(it.host);
    for (const auto& [name, member] : members.hosts) {
        if (!listed.count(name))
            change.removed.push_back(name);
    }
    if (!listed.count(members.self))
        change.removed.push_back(members.self);
    if (!members.listRead)
        members.firstListReadAt = now;
    members.listRead = true;
    return applyHostListChange(members, change, now);
}

void onDirectMessage(Members& members, const HostName& host, Incarnation incarnation, bool leaving, Millis now)
{
    const auto it = members.hosts.find(host);
    if (it == members.hosts.end() || incarnation < it->second.incarnation)
        return;
    Member& member = it->second;
    const bool restarted = member.incarnation < incarnation;
    member.incarnation = incarnation;
    member.lastHeard = now;
    member.heard = true;
    member.leaving = restarted ? leaving : member.leaving || leaving;
    setState(members, member, HostState::alive);
}

void onRumour(Members& members, const Rumour& rumour, Millis now)
{
    if (rumour.host == members.self) {
        if (rumour.state != HostState::alive && rumour.incarnation >= members.incarnation)
            members.incarnation = rumour.incarnation.next();
        return;
    }
    const auto it = members.hosts.find(rumour.host);
    if (it == members.hosts.end())
        return;
    Member& member = it->second;
    const bool newer = member.incarnation < rumour.incarnation;
    const bool worse = member.incarnation == rumour.incarnation && member.state < rumour.state;
    if (!newer && !worse)
        return;
    member.incarnation = rumour.incarnation;
    if (rumour.state == HostState::alive)
        member.lastHeard = now;
    setState(members, member, rumour.state);
}

void detectFailures(Members& members, const MemberTiming& timing, Millis now)
{
    for (const auto& host : ringNeighbours(members)) {
        Member& member = members.hosts.at(host);
        const Millis silence = now - member.lastHeard;
        if (silence >= timing.deadAfter)
            setState(members, member, HostState::dead);
        else if (silence >= timing.suspectAfter && member.state == HostState::alive)
            setState(members, member, HostState::suspect);
    }
}

std::vector<HostName> heartbeatTargets(Members& members)
{
    auto targets = ringNeighbours(members);
    if (!members.hosts.empty()) {
        auto it = members.hosts.upper_bound(members.lastRoundRobinTarget);
        if (it == members.hosts.end())
            it = members.hosts.begin();
        members.lastRoundRobinTarget = it->first;
        targets.insert(it->first);
    }
    return { targets.begin(), targets.end() };
}

std::vector<Rumour> nextRumours(Members& members)
{
    std::vector<Rumour> rumours;
    for (auto it = members.unsentRumours.begin();
         it != members.unsentRumours.end() && rumours.size() < kRumoursPerHeartbeat;) {
        const auto found = members.hosts.find(it->first);
        if (found != members.hosts.end())
            rumours.push_back({ it->first, found->second.incarnation, found->second.state });
        it = found == members.hosts.end() || --it->second == 0 ? members.unsentRumours.erase(it) : std::next(it);
    }
    return rumours;
}

Millis unlistedFor(const Members& members, const HostName& host, Millis now)
{
    if (host == members.self || !members.listRead || members.hosts.count(host))
        return Millis(0);
    const auto it = members.unlistedSince.find(host);
    return now - (it == members.unlistedSince.end() ? members.firstListReadAt : it->second);
}

bool onListDigest(ListDifferences& differences, const HostName& host, bool equal, Millis now)
{
    if (equal) {
        differences.erase(host);
        return false;
    }
    const Millis since = differences.emplace(host, now).first->second;
    if (now - since < kMaxListDisagreement)
        return false;
    differences.clear();
    return true;
}

bool isAlive(const Members& members, const HostName& host)
{
    if (host == members.self)
        return true;
    const auto it = members.hosts.find(host);
    return it != members.hosts.end() && it->second.state != HostState::dead;
}

bool isLeaving(const Members& members, const HostName& host)
{
    if (host == members.self)
        return members.own.leaving;
    const auto it = members.hosts.find(host);
    return it != members.hosts.end() && it->second.leaving;
}

bool canCoordinate(const Members& members, const HostName& host)
{
    const auto it = members.hosts.find(host);
    const bool ready = it == members.hosts.end() || it->second.ready;
    return ready && isAlive(members, host) && !isLeaving(members, host);
}

void onReadiness(Members& members, const HostName& host, bool ready)
{
    const auto it = members.hosts.find(host);
    if (it != members.hosts.end())
        it->second.ready = ready;
}

std::vector<HostName> liveHosts(const Members& members, const DataCentreName& dataCentre)
{
    std::vector<HostName> live;
    if (!members.own.leaving && (dataCentre.empty() || members.own.dataCentre == dataCentre))
        live.push_back(members.self);
    for (const auto& [name, member] : members.hosts) {
        if (member.state != HostState::dead && !member.leaving
            && (dataCentre.empty() || member.listed.dataCentre == dataCentre))
            live.push_back(name);
    }
    std::sort(live.begin(), live.end());
    return live;
}

std::vector<HostName> liveHosts(const Members& members) { return liveHosts(members, {}); }

const ListedHost* findHost(const Members& members, const HostName& host)
{
    const auto it = members.hosts.find(host);
    return it == members.hosts.end() ? nullptr : &it->second.listed;
}

std::vector<HostName> relayOrder(const Members& members)
{
    auto order = liveHosts(members, members.own.dataCentre);
    std::sort(order.begin(), order.end(),
        [](const HostName& a, const HostName& b) { return ringPosition(a) < ringPosition(b); });
    return order;
}

HostName relayRoot(const Members& members)
{
    const auto order = relayOrder(members);
    return order.empty() ? members.self : order.front();
}

std::vector<HostName> relayChildren(const Members& members)
{
    const auto order = relayOrder(members);
    const auto self = std::find(order.begin(), order.end(), members.self);
    if (self == order.end())
        return {};
    const auto first = static_cast<std::size_t>(self - order.begin()) * kRelayFanOut + 1;
    const auto from = std::min(first, order.size());
    const auto to = std::min(first + kRelayFanOut, order.size());
    return { order.begin() + static_cast<long>(from), order.begin() + static_cast<long>(to) };
}

} // namespace pistachiospur
