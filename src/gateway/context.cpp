#include "context.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pistachiospur {

namespace {

constexpr std::size_t kMaxResponseBytes = 64u << 20;

// Upstreams of a pooled service in one group: enough to even out load within the shared queue, few enough for one host
// to coordinate.
constexpr std::size_t kUpstreamsPerGroup = 8;

// Score of one host in weighted rendezvous hashing. The lowest score wins; each host wins in proportion to its weight.
double rendezvousScore(const std::string& text, double weight)
{
    const auto hash = static_cast<double>(XXH64(text.data(), text.size(), 0) >> 11) + 0.5;
    return -std::log(hash / 9007199254740992.0) / weight; // 2^53
}

Incarnation makeIncarnation() { return { static_cast<std::uint64_t>(wallNow().count()) }; }

} // namespace

GatewayContext::GatewayContext(
    GatewaySettings gatewaySettings, const PlatformAdapter& platformAdapter, PeerHub::Handlers handlers)
    : settings(std::move(gatewaySettings))
    , adapter(platformAdapter)
    , incarnation(makeIncarnation())
    , http(kMaxResponseBytes)
    , directory(settings, adapter, http, incarnation)
    , hub(settings.peers, Hello { settings.host, incarnation }, std::move(handlers))
{
}

bool isSelf(const GatewayContext& context, const HostName& host) { return host == context.settings.host; }

std::vector<HostName> otherHosts(const GatewayContext& context)
{
    std::vector<HostName> others;
    for (const auto& [host, entry] : context.directory.hosts()) {
        if (!isSelf(context, host))
            others.push_back(host);
    }
    return others;
}

namespace {

bool canTakeWork(const GatewayContext& context, const HostEntry& entry, Millis now)
{
    if (isSelf(context, entry.host))
        return !context.stopping;
    const auto unreachable = context.unreachableUntil.find(entry.host);
    return !entry.leaving && (unreachable == context.unreachableUntil.end() || now >= unreachable->second);
}

// Sort key of a host in the order for a name, compared field by field; the lowest key comes first.
struct HostScore {
    bool isRemote = false; // in another data centre than the one asked for
    double negatedWeight = 0; // zero unless the fastest hosts come first
    double score = 0;
    const HostName* host = nullptr;
};

HostScore scoreHost(const HostEntry& entry, const std::string& name, const DataCentreName& near, HostOrder hostOrder)
{
    return { !near.empty() && entry.dataCentre != near, hostOrder == HostOrder::fastestFirst ? -entry.weight : 0,
        rendezvousScore(absl::StrCat(entry.host, "/", name), entry.weight), &entry.host };
}

bool precedes(const HostScore& a, const HostScore& b)
{
    return std::tie(a.isRemote, a.negatedWeight, a.score, *a.host)
        < std::tie(b.isRemote, b.negatedWeight, b.score, *b.host);
}

} // namespace

std::vector<HostName> hostsFor(
    const GatewayContext& context, const std::string& name, const DataCentreName& near, HostOrder hostOrder)
{
    const Millis now = monotonicNow();
    std::vector<HostScore> scores;
    for (const auto& [host, entry] : context.directory.hosts()) {
        if (canTakeWork(context, entry, now))
            scores.push_back(scoreHost(entry, name, near, hostOrder));
    }
    std::sort(scores.begin(), scores.end(), precedes);
    std::vector<HostName> hosts;
    hosts.reserve(scores.size());
    for (const auto& it : scores)
        hosts.push_back(*it.host);
    return hosts;
}

std::optional<HostName> firstHostFor(
    const GatewayContext& context, const std::string& name, const DataCentreName& near, HostOrder hostOrder)
{
    const Millis now = monotonicNow();
    std::optional<HostScore> best;
    for (const auto& [host, entry] : context.directory.hosts()) {
        if (!canTakeWork(context, entry, now))
            continue;
        const HostScore score = scoreHost(entry, name, near, hostOrder);
        if (!best || precedes(score, *best))
            best = score;
    }
    return best ? std::optional(*best->host) : std::nullopt;
}

std::string groupName(unsigned group) { return absl::StrCat("#", group); }

const std::vector<UpstreamName>* findGroup(const PoolGroups& groups, const std::string& name)
{
    std::size_t group = 0;
    if (name.empty() || name.front() != '#' || !absl::SimpleAtoi(name.substr(1), &group))
        return nullptr;
    return group < groups.members.size() ? &groups.members[group] : nullptr;
}

void regroupPools(GatewayContext& context)
{
    const Millis now = monotonicNow();
    context.groups.clear();
    std::map<ServiceName, std::vector<const UpstreamInstance*>> instancesByService;
    for (const auto& [name, entry] : context.directory.instances()) {
        if (mayTakeWork(entry, now))
            instancesByService[entry.instance.service].push_back(&entry.instance);
    }
    for (const auto& [service, instances] : instancesByService) {
        PoolGroups& groups = context.groups[service];
        const auto groupCount
            = std::max<std::size_t>(1, (instances.size() + kUpstreamsPerGroup / 2) / kUpstreamsPerGroup);
        groups.slots.resize(groupCount);
        groups.members.resize(groupCount);
        for (std::size_t n = 0; n < instances.size(); ++n) {
            groups.members[n % groupCount].push_back(instances[n]->id.name);
            groups.slots[n % groupCount] += instances[n]->slots;
        }
    }
}

std::size_t hostCount(const GatewayContext& context)
{
    return std::max<std::size_t>(1, context.directory.hosts().size());
}

Millis timeUntilReady(const GatewayContext& context, const ServiceName& service, SlotId slot, Millis now)
{
    const auto found = context.pending.find(service);
    if (found == context.pending.end())
        return Millis(0);
    for (const auto& it : found->second.ranges) {
        if (it.first <= slot && slot <= it.last)
            return std::max(Millis(1), found->second.updatedAt + it.readyIn - now);
    }
    return Millis(0);
}

bool mayServe(const GatewayContext& context, const Request& request, const UpstreamName& upstream, Millis now)
{
    const StoredTable* stored = context.directory.tableOf(request.service);
    if (request.tableRevision == StoreRevision {} || !stored || stored->revision < request.tableRevision)
        return true;
    const Range* range = findRange(stored->table, request.slot);
    return range && range->owner.name == upstream
        && timeUntilReady(context, request.service, request.slot, now) == Millis(0);
}

bool mayTakeWork(const InstanceEntry& entry, Millis now) { return !entry.noNewWorkFrom || now < *entry.noNewWorkFrom; }

} // namespace pistachiospur
