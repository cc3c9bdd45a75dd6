#include "site.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pistachiospur {

namespace {

constexpr std::size_t kLargestAnswer = 64u << 20;

// Upstreams of a pooled service for each host that coordinates some of them: enough to even out their queues, few
// enough that one host can serve them.
constexpr std::size_t kUpstreamsPerGroup = 8;

// Weighted rendezvous: the least draw wins, and wins as often as its weight says.
double drawOf(const std::string& text, double weight)
{
    const auto hash = static_cast<double>(XXH64(text.data(), text.size(), 0) >> 11) + 0.5;
    return -std::log(hash / 9007199254740992.0) / weight; // 2^53
}

Incarnation incarnationNow() { return { static_cast<std::uint64_t>(wallNow().count()) }; }

} // namespace

Site::Site(GatewaySettings given, const Dialect& platform, PeerHub::Handlers handlers)
    : settings(std::move(given))
    , dialect(platform)
    , incarnation(incarnationNow())
    , http(kLargestAnswer)
    , directory(settings, dialect, http, incarnation)
    , hub(settings.peers, Hello { settings.host, incarnation }, std::move(handlers))
{
}

bool isSelf(const Site& site, const HostName& host) { return host == site.settings.host; }

std::vector<HostName> otherHosts(const Site& site)
{
    std::vector<HostName> others;
    for (const auto& [host, entry] : site.directory.hosts()) {
        if (!isSelf(site, host))
            others.push_back(host);
    }
    return others;
}

namespace {

bool canTakeWork(const Site& site, const HostEntry& entry, Millis now)
{
    if (isSelf(site, entry.host))
        return !site.stopping;
    const auto lost = site.unreachableUntil.find(entry.host);
    return !entry.leaving && (lost == site.unreachableUntil.end() || now >= lost->second);
}

// Place of a host in the order for a name: the least is first.
struct HostPlace {
    bool remote = false;
    double weakness = 0; // zero where every host gets its share
    double draw = 0;
    const HostName* host = nullptr;
};

HostPlace placeOf(const HostEntry& entry, const std::string& name, const DataCentreName& near, Preferred preferred)
{
    return { !near.empty() && entry.dataCentre != near, preferred == Preferred::strongest ? -entry.weight : 0,
        drawOf(absl::StrCat(entry.host, "/", name), entry.weight), &entry.host };
}

bool precedes(const HostPlace& a, const HostPlace& b)
{
    return std::tie(a.remote, a.weakness, a.draw, *a.host) < std::tie(b.remote, b.weakness, b.draw, *b.host);
}

} // namespace

std::vector<HostName> hostsFor(
    const Site& site, const std::string& name, const DataCentreName& near, Preferred preferred)
{
    const Millis now = monotonicNow();
    std::vector<HostPlace> order;
    for (const auto& [host, entry] : site.directory.hosts()) {
        if (canTakeWork(site, entry, now))
            order.push_back(placeOf(entry, name, near, preferred));
    }
    std::sort(order.begin(), order.end(), precedes);
    std::vector<HostName> hosts;
    hosts.reserve(order.size());
    for (const auto& it : order)
        hosts.push_back(*it.host);
    return hosts;
}

std::optional<HostName> firstHostFor(
    const Site& site, const std::string& name, const DataCentreName& near, Preferred preferred)
{
    const Millis now = monotonicNow();
    std::optional<HostPlace> first;
    for (const auto& [host, entry] : site.directory.hosts()) {
        if (!canTakeWork(site, entry, now))
            continue;
        const HostPlace place = placeOf(entry, name, near, preferred);
        if (!first || precedes(place, *first))
            first = place;
    }
    return first ? std::optional(*first->host) : std::nullopt;
}

std::string groupName(unsigned group) { return absl::StrCat("#", group); }

const std::vector<UpstreamName>* findGroup(const PoolGroups& groups, const std::string& name)
{
    std::size_t group = 0;
    if (name.empty() || name.front() != '#' || !absl::SimpleAtoi(name.substr(1), &group))
        return nullptr;
    return group < groups.members.size() ? &groups.members[group] : nullptr;
}

void regroupPools(Site& site)
{
    const Millis now = monotonicNow();
    site.groups.clear();
    std::map<ServiceName, std::vector<const UpstreamLife*>> members;
    for (const auto& [name, entry] : site.directory.lives()) {
        if (mayTakeWork(entry, now))
            members[entry.life.service].push_back(&entry.life);
    }
    for (const auto& [service, lives] : members) {
        PoolGroups& groups = site.groups[service];
        const auto n = std::max<std::size_t>(1, (lives.size() + kUpstreamsPerGroup / 2) / kUpstreamsPerGroup);
        groups.slots.resize(n);
        groups.members.resize(n);
        for (std::size_t it = 0; it < lives.size(); ++it) {
            groups.members[it % n].push_back(lives[it]->id.name);
            groups.slots[it % n] += lives[it]->slots;
        }
    }
}

std::size_t hostCount(const Site& site) { return std::max<std::size_t>(1, site.directory.hosts().size()); }

Millis pendingFor(const Site& site, const ServiceName& service, SlotId slot, Millis now)
{
    const auto found = site.pending.find(service);
    if (found == site.pending.end())
        return Millis(0);
    for (const auto& it : found->second.ranges) {
        if (it.first <= slot && slot <= it.last)
            return std::max(Millis(1), found->second.at + it.readyIn - now);
    }
    return Millis(0);
}

bool mayServe(const Site& site, const Request& request, const UpstreamName& upstream, Millis now)
{
    const StoredTable* stored = site.directory.tableOf(request.service);
    if (request.tableRevision == StoreRevision {} || !stored || stored->revision < request.tableRevision)
        return true;
    const Range* range = findRange(stored->table, request.slot);
    return range && range->owner.name == upstream && pendingFor(site, request.service, request.slot, now) == Millis(0);
}

bool mayTakeWork(const LifeEntry& entry, Millis now) { return !entry.leavingSince || now < *entry.leavingSince; }

} // namespace pistachiospur
