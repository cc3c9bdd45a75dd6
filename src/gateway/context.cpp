#include "context.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <unistd.h>

namespace pistachiospur {

namespace {

// Parts of the process's memory that bodies in transit may use.
constexpr std::size_t kRequestBodiesDivisor = 8; // of all requests
constexpr std::size_t kAnswerBodiesDivisor = 8; // of all answers
constexpr std::size_t kAnswerBodyDivisor = 32; // of one answer
constexpr std::size_t kBacklogDivisor = 16; // of what waits to be sent on one link

std::size_t memoryPart(const GatewaySettings& settings, std::size_t divisor)
{
    return (static_cast<std::size_t>(settings.limits.memoryMb) << 20) / divisor;
}

// An upstream's entry tells that it is cold within so many heartbeats, the way of the change included.
constexpr int kColdEntryBeats = 2;

// Upstreams of a pooled service in one group: enough to even out load within the shared queue, few enough for one host
// to coordinate.
constexpr std::size_t kUpstreamsPerGroup = 8;

// Score of one host in weighted rendezvous hashing. The lowest score wins; each host wins in proportion to its weight.
double rendezvousScore(const std::string& text, double weight)
{
    const auto hash = static_cast<double>(XXH64(text.data(), text.size(), 0) >> 11) + 0.5;
    return -std::log(hash / 9007199254740992.0) / weight; // 2^53
}

// Differs between the processes of a host, also after the time of day has jumped back. Incarnations have no order.
Incarnation makeIncarnation()
{
    const std::string seed = absl::StrCat(wallNow().count(), "/", bootNow().count(), "/", getpid());
    return { XXH64(seed.data(), seed.size(), 0) >> 1 };
}

} // namespace

GatewayContext::GatewayContext(
    GatewaySettings gatewaySettings, const PlatformAdapter& platformAdapter, PeerHub::Handlers handlers)
    : settings(std::move(gatewaySettings))
    , adapter(platformAdapter)
    , incarnation(makeIncarnation())
    , bodyBudget(std::make_shared<MemoryBudget>(memoryPart(settings, kRequestBodiesDivisor)))
    , http(memoryPart(settings, kAnswerBodyDivisor), memoryPart(settings, kAnswerBodiesDivisor))
    , directory(settings, adapter, http, incarnation)
    , hub(settings.peers, Hello { settings.host, incarnation, false, kMessageKinds }, std::move(handlers),
          memoryPart(settings, kBacklogDivisor))
{
    coldness.entryDelay = kColdEntryBeats * Millis(settings.limits.upstreamHeartbeatMs);
}

bool isSelf(const GatewayContext& context, const HostName& host) { return host == context.settings.host; }

std::uint64_t fingerprintOf(const GatewayContext& context, const Request& request, std::uint64_t bodyBytes)
{
    const std::string site = context.settings.store.text();
    const auto host = request.headers.find("host");
    const std::string_view callerHost = host == request.headers.end() ? std::string_view() : host->second;
    return fingerprintOf({ callerHost, request.method, request.target, request.slot, request.body, bodyBytes },
        XXH64(site.data(), site.size(), 0));
}

Millis ownPauseLeft(const GatewayContext& context, const InstanceId& instance, Millis now)
{
    return pauseLeft(context.pauses, instance, context.settings.host, now);
}

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

namespace {

// Hosts at the front of an order that are remembered. The next one is needed only when all of them cannot take work.
constexpr std::size_t kRememberedHosts = 4;
constexpr std::size_t kMaxRememberedNames = 20000;

std::string rankingKey(const std::string& name, const DataCentreName& near, HostOrder hostOrder)
{
    return absl::StrCat(name, "\n", near, hostOrder == HostOrder::fastestFirst ? "\n1" : "\n0");
}

// The order of all hosts, whether or not they can take work; at most `maxHosts` of them.
std::vector<HostName> rankHosts(const GatewayContext& context, const std::string& name, const DataCentreName& near,
    HostOrder hostOrder, std::size_t maxHosts)
{
    std::vector<HostScore> scores;
    scores.reserve(context.directory.hosts().size());
    for (const auto& [host, entry] : context.directory.hosts())
        scores.push_back(scoreHost(entry, name, near, hostOrder));
    const std::size_t n = std::min(maxHosts, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(n), scores.end(), precedes);
    std::vector<HostName> hosts;
    hosts.reserve(n);
    for (std::size_t it = 0; it < n; ++it)
        hosts.push_back(*scores[it].host);
    return hosts;
}

// The remembered orders; empty if the hosts have changed since.
GatewayContext::Rankings& currentRankings(const GatewayContext& context)
{
    auto& rankings = context.rankings;
    if (rankings.hostsVersion != context.directory.hostsVersion() || rankings.first.size() > kMaxRememberedNames) {
        rankings = {};
        rankings.hostsVersion = context.directory.hostsVersion();
    }
    return rankings;
}

std::optional<HostName> firstUsable(const GatewayContext& context, const std::vector<HostName>& order)
{
    const Millis now = monotonicNow();
    const auto it = std::find_if(
        order.begin(), order.end(), [&](const HostName& host) { return canTakeWork(context, host, now); });
    return it == order.end() ? std::nullopt : std::optional(*it);
}

} // namespace

bool canTakeWork(const GatewayContext& context, const HostName& host, Millis now)
{
    const auto found = context.directory.hosts().find(host);
    return found != context.directory.hosts().end() && canTakeWork(context, found->second, now);
}

const std::vector<HostName>& rankedHosts(
    const GatewayContext& context, const std::string& name, const DataCentreName& near, HostOrder hostOrder)
{
    auto [it, added] = currentRankings(context).all.try_emplace(rankingKey(name, near, hostOrder));
    if (added)
        it->second = rankHosts(context, name, near, hostOrder, context.directory.hosts().size());
    return it->second;
}

std::vector<HostName> hostsFor(
    const GatewayContext& context, const std::string& name, const DataCentreName& near, HostOrder hostOrder)
{
    const Millis now = monotonicNow();
    std::vector<HostName> hosts;
    for (const auto& host : rankedHosts(context, name, near, hostOrder)) {
        if (canTakeWork(context, host, now))
            hosts.push_back(host);
    }
    return hosts;
}

std::optional<HostName> firstHostFor(
    const GatewayContext& context, const std::string& name, const DataCentreName& near, HostOrder hostOrder)
{
    auto [it, added] = currentRankings(context).first.try_emplace(rankingKey(name, near, hostOrder));
    if (added)
        it->second = rankHosts(context, name, near, hostOrder, kRememberedHosts);
    if (auto host = firstUsable(context, it->second))
        return host;
    return firstUsable(context, rankHosts(context, name, near, hostOrder, context.directory.hosts().size()));
}

namespace {

// So many hosts that have lost the same upstream, and no service, make it the upstream's failure.
constexpr std::ptrdiff_t kLosersOfFailedUpstream = 3;

bool hasFailedItself(const GatewayContext& context, const InstanceId& instance)
{
    const auto blamesIt
        = [&](const ReachReport& lost) { return lost.services.empty() && lost.upstreams.count(instance) > 0; };
    const auto losers = std::count_if(
        context.lostByHost.begin(), context.lostByHost.end(), [&](const auto& it) { return blamesIt(it.second); });
    return losers + (blamesIt(context.reach.lost) ? 1 : 0) >= kLosersOfFailedUpstream;
}

// Whether a host with this report reaches an upstream, or half of a group. Unknown upstreams count as reached.
template <typename IsReached>
bool reachesHalf(const GatewayContext& context, const ServiceName& service, const UpstreamName& upstreamOrGroup,
    const IsReached& isReached)
{
    const auto groups = context.groups.find(service);
    const auto* group = groups == context.groups.end() ? nullptr : findGroup(groups->second, upstreamOrGroup);
    const std::vector<UpstreamName> names = group ? *group : std::vector { upstreamOrGroup };
    const auto reached = std::count_if(names.begin(), names.end(), [&](const UpstreamName& name) {
        const auto found = context.directory.instances().find(name);
        return found == context.directory.instances().end() || isReached(found->second.instance);
    });
    return static_cast<std::size_t>(reached) * 2 >= names.size();
}

} // namespace

const ReachReport& lostBy(const GatewayContext& context, const HostName& host)
{
    static const ReachReport nothing;
    if (isSelf(context, host))
        return context.reach.lost;
    const auto found = context.lostByHost.find(host);
    return found == context.lostByHost.end() ? nothing : found->second;
}

bool reaches(const GatewayContext& context, const HostName& host, const UpstreamInstance& upstream)
{
    const ReachReport& lost = lostBy(context, host);
    return reaches(lost, upstream.service, upstream.id)
        || (lost.services.empty() && hasFailedItself(context, upstream.id));
}

bool reaches(const GatewayContext& context, const HostName& host, const ServiceName& service,
    const UpstreamName& upstreamOrGroup)
{
    return lostBy(context, host).empty()
        || reachesHalf(
            context, service, upstreamOrGroup, [&](const UpstreamInstance& it) { return reaches(context, host, it); });
}

bool isLostByAll(const GatewayContext& context, const ServiceName& service, const UpstreamName& upstreamOrGroup)
{
    const Millis now = monotonicNow();
    const auto hasLost = [&](const HostName& host) {
        const ReachReport& lost = lostBy(context, host);
        return !lost.empty() && !reachesHalf(context, service, upstreamOrGroup, [&](const UpstreamInstance& it) {
            return reaches(lost, it.service, it.id);
        });
    };
    const auto& hosts = context.directory.hosts();
    return hasLost(context.settings.host) && std::all_of(hosts.begin(), hosts.end(), [&](const auto& it) {
        return !canTakeWork(context, it.second, now) || hasLost(it.first);
    });
}

bool isLostByAll(const GatewayContext& context, const ServiceName& service)
{
    if (!context.reach.lost.services.count(service))
        return false;
    const Millis now = monotonicNow();
    const auto& hosts = context.directory.hosts();
    return std::all_of(hosts.begin(), hosts.end(), [&](const auto& it) {
        return !canTakeWork(context, it.second, now) || lostBy(context, it.first).services.count(service);
    });
}

std::optional<HostName> coordinatorFor(const GatewayContext& context, const ServiceName& service,
    const UpstreamName& upstreamOrGroup, const DataCentreName& near, const std::set<HostName>& failed)
{
    const std::string name = absl::StrCat(service, "/", upstreamOrGroup);
    auto first = firstHostFor(context, name, near);
    if (!first || (failed.empty() && reaches(context, *first, service, upstreamOrGroup)))
        return first;
    const Millis now = monotonicNow();
    std::optional<HostName> firstLeft;
    for (const auto& host : rankedHosts(context, name, near)) {
        if (failed.count(host) || !canTakeWork(context, host, now))
            continue;
        if (reaches(context, host, service, upstreamOrGroup))
            return host;
        if (!firstLeft)
            firstLeft = host;
    }
    return firstLeft ? firstLeft : first;
}

std::string groupName(unsigned group) { return absl::StrCat("#", group); }

const std::vector<UpstreamName>* findGroup(const PoolGroups& groups, const std::string& name)
{
    std::size_t group = 0;
    if (name.empty() || name.front() != '#' || !absl::SimpleAtoi(name.substr(1), &group))
        return nullptr;
    return group < groups.size() ? &groups[group].members : nullptr;
}

namespace {

// Divides upstreams into groups of about kUpstreamsPerGroup.
void addGroups(
    PoolGroups& groups, const DataCentreName& dataCentre, const std::vector<const UpstreamInstance*>& instances)
{
    const std::size_t first = groups.size();
    const std::size_t count
        = std::max<std::size_t>(1, (instances.size() + kUpstreamsPerGroup / 2) / kUpstreamsPerGroup);
    groups.resize(first + count);
    for (std::size_t n = 0; n < instances.size(); ++n) {
        PoolGroup& group = groups[first + n % count];
        group.dataCentre = dataCentre;
        group.members.push_back(instances[n]->id.name);
        group.slots += instances[n]->slots;
    }
}

} // namespace

void regroupPools(GatewayContext& context)
{
    const Millis now = monotonicNow();
    context.groups.clear();
    using Place = std::pair<ServiceName, DataCentreName>;
    std::map<Place, std::vector<const UpstreamInstance*>> instancesByPlace, remaining;
    for (const auto& [name, entry] : context.directory.instances()) {
        if (mayTakeWork(context, entry, now))
            instancesByPlace[{ entry.instance.service, entry.instance.dataCentre }].push_back(&entry.instance);
    }
    for (auto& [place, instances] : instancesByPlace) {
        if (instances.size() >= kUpstreamsPerGroup) {
            addGroups(context.groups[place.first], place.second, instances);
            continue;
        }
        auto& rest = remaining[{ place.first, "" }];
        rest.insert(rest.end(), instances.begin(), instances.end());
    }
    for (const auto& [place, instances] : remaining)
        addGroups(context.groups[place.first], "", instances);
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

namespace {

bool isKeyed(const GatewayContext& context, const ServiceName& name)
{
    const auto& routes = context.directory.routes();
    const auto service = routes ? routes->services.find(name) : std::map<ServiceName, RoutedService>::const_iterator();
    return routes && service != routes->services.end() && service->second.keyed;
}

bool isShutOut(const GatewayContext& context, const UpstreamInstance& upstream)
{
    const Evacuations& evacuations = context.directory.evacuations();
    if (!isEvacuated(evacuations, upstream.dataCentre))
        return false;
    return !isKeyed(context, upstream.service)
        || isClosed(evacuations, upstream.dataCentre, Millis(context.settings.limits.evacuateMs), bootNow());
}

} // namespace

bool mayTakeWork(const GatewayContext& context, const InstanceEntry& entry, Millis now)
{
    return mayTakeWork(entry, now) && !isShutOut(context, entry.instance);
}

bool isEvacuated(const GatewayContext& context, const UpstreamInstance& upstream)
{
    return isEvacuated(context.directory.evacuations(), upstream.dataCentre);
}

bool isHeldBack(GatewayContext& context, const UpstreamInstance& upstream)
{
    const bool isHeld = isShutOut(context, upstream);
    if (isHeld)
        context.metrics.count("pistachiospur_evacuation_refusals_total", { { "data_centre", upstream.dataCentre } });
    return isHeld;
}

} // namespace pistachiospur
