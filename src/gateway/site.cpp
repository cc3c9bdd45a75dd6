#include "site.h"

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

std::vector<HostName> hostsFor(const Site& site, const std::string& name, const DataCentreName& near)
{
    const Millis now = monotonicNow();
    std::vector<std::tuple<bool, double, HostName>> order;
    for (const auto& [host, entry] : site.directory.hosts()) {
        const bool self = isSelf(site, host);
        const auto lost = site.unreachableUntil.find(host);
        const bool unreachable = lost != site.unreachableUntil.end() && now < lost->second;
        if (!self && (entry.leaving || unreachable))
            continue;
        if (self && site.stopping)
            continue;
        order.emplace_back(
            !near.empty() && entry.dataCentre != near, drawOf(absl::StrCat(host, "/", name), entry.weight), host);
    }
    std::sort(order.begin(), order.end());
    std::vector<HostName> hosts;
    hosts.reserve(order.size());
    for (auto& it : order)
        hosts.push_back(std::get<HostName>(std::move(it)));
    return hosts;
}

std::string groupName(unsigned group) { return absl::StrCat("#", group); }

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
        for (std::size_t it = 0; it < lives.size(); ++it) {
            groups.groupOf[lives[it]->id.name] = static_cast<unsigned>(it % n);
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

bool mayTakeWork(const LifeEntry& entry, Millis now) { return !entry.leavingSince || now < *entry.leavingSince; }

} // namespace pistachiospur
