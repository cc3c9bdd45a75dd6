#include "site.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>

namespace pistachiospur {

namespace {

constexpr std::size_t kLargestAnswer = 64u << 20;

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
    std::vector<std::tuple<bool, std::uint64_t, HostName>> order;
    for (const auto& [host, entry] : site.directory.hosts()) {
        const bool self = isSelf(site, host);
        const auto lost = site.unreachableUntil.find(host);
        const bool unreachable = lost != site.unreachableUntil.end() && now < lost->second;
        if (!self && (entry.leaving || unreachable))
            continue;
        if (self && site.stopping)
            continue;
        const std::string text = absl::StrCat(host, "/", name);
        order.emplace_back(!near.empty() && entry.dataCentre != near, XXH64(text.data(), text.size(), 0), host);
    }
    std::sort(order.begin(), order.end());
    std::vector<HostName> hosts;
    hosts.reserve(order.size());
    for (auto& it : order)
        hosts.push_back(std::get<HostName>(std::move(it)));
    return hosts;
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
