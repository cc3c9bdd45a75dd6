#include "reach.h"

#include <algorithm>
#include <utility>

namespace pistachiospur {

namespace {

// An upstream is lost after so many failed connections in a row. One may fail because the upstream's queue of new
// connections is full.
constexpr unsigned kFailuresUntilLost = 2;
// A service is lost only if that many of its upstreams are; fewer may have ended at the same time.
constexpr std::size_t kLostUpstreamsOfLostService = 2;
// Upstreams in a report. The others count as reached, so that a report stays small.
constexpr std::size_t kMaxReportedUpstreams = 32;
// Interval of probes; it doubles with each failure, unless the whole service is lost.
constexpr Millis kProbeInterval { 500 };
constexpr Millis kMaxProbeInterval { 2000 };

bool isLost(const FailingUpstream& upstream) { return upstream.failures >= kFailuresUntilLost; }

// Whether upstreams of the service are lost and no connection to any of its upstreams has been made since the first of
// them began to fail.
bool isServiceLost(const ServiceContacts& contacts)
{
    std::size_t lost = 0;
    Millis since = Millis::max();
    for (const auto& [instance, it] : contacts.failing) {
        if (!isLost(it))
            continue;
        ++lost;
        since = std::min(since, it.since);
    }
    return lost >= kLostUpstreamsOfLostService && contacts.connectedAt < since;
}

Millis probeInterval(const FailingUpstream& upstream)
{
    const unsigned doublings = std::min(upstream.failures - 1, 3u);
    return std::min(kProbeInterval * (1 << doublings), kMaxProbeInterval);
}

// A cut has ended for one service, so that it may have for others.
void probeAllNow(Reach& reach)
{
    for (auto& [service, contacts] : reach.services) {
        for (auto& [instance, it] : contacts.failing)
            it.nextProbeAt = Millis(0);
    }
}

} // namespace

void noteConnected(Reach& reach, const ServiceName& service, const InstanceId& instance, Millis begunAt)
{
    ServiceContacts& contacts = reach.services[service];
    contacts.connectedAt = std::max(contacts.connectedAt, begunAt);
    if (contacts.failing.empty())
        return;
    reach.isOutdated = true;
    if (reach.lost.services.count(service) && !isServiceLost(contacts)) {
        contacts.failing.clear();
        probeAllNow(reach);
        return;
    }
    const auto it = contacts.failing.find(instance);
    if (it != contacts.failing.end() && begunAt >= it->second.since)
        contacts.failing.erase(it);
}

void noteNotConnected(Reach& reach, const ServiceName& service, const InstanceId& instance, Millis begunAt, Millis now)
{
    const auto [it, added] = reach.services[service].failing.try_emplace(instance);
    if (added)
        it->second = { begunAt, 0, now };
    it->second.since = std::min(it->second.since, begunAt);
    ++it->second.failures;
    reach.isOutdated = true;
}

bool updateLost(Reach& reach)
{
    if (!std::exchange(reach.isOutdated, false))
        return false;
    ReachReport lost;
    for (const auto& [service, contacts] : reach.services) {
        if (isServiceLost(contacts)) {
            lost.services.insert(service);
            continue;
        }
        for (const auto& [instance, it] : contacts.failing) {
            if (isLost(it) && lost.upstreams.size() < kMaxReportedUpstreams)
                lost.upstreams.insert(instance);
        }
    }
    const bool changed = lost != reach.lost;
    reach.lost = std::move(lost);
    return changed;
}

ReachReport reportOf(const Reach& reach, Millis failingSince)
{
    ReachReport report;
    report.services = reach.lost.services;
    for (const auto& [service, contacts] : reach.services) {
        for (const auto& [instance, it] : contacts.failing) {
            const bool reachesOthers = contacts.connectedAt >= it.since;
            if ((!reachesOthers || it.since < failingSince) && reach.lost.upstreams.count(instance))
                report.upstreams.insert(instance);
        }
    }
    return report;
}

std::vector<InstanceId> dueProbes(Reach& reach, std::size_t n, Millis now)
{
    struct Due {
        FailingUpstream* upstream;
        InstanceId instance;
        Millis interval;
    };
    std::vector<Due> due;
    for (auto& [service, contacts] : reach.services) {
        const bool hasLostService = reach.lost.services.count(service) > 0;
        for (auto& [instance, it] : contacts.failing) {
            if (now >= it.nextProbeAt)
                due.push_back({ &it, instance, hasLostService ? kProbeInterval : probeInterval(it) });
        }
    }
    std::sort(due.begin(), due.end(), [](const Due& a, const Due& b) {
        return std::tie(a.upstream->nextProbeAt, a.instance) < std::tie(b.upstream->nextProbeAt, b.instance);
    });
    due.resize(std::min(due.size(), n));
    std::vector<InstanceId> instances;
    for (const auto& it : due) {
        it.upstream->nextProbeAt = now + it.interval;
        instances.push_back(it.instance);
    }
    return instances;
}

bool needsComparison(const Reach& reach, const ServiceName& service)
{
    Millis since = Millis::max();
    for (const auto& [other, contacts] : reach.services) {
        for (const auto& [instance, it] : contacts.failing)
            since = std::min(since, it.since);
    }
    if (since == Millis::max())
        return false;
    const auto found = reach.services.find(service);
    return found == reach.services.end()
        || (found->second.connectedAt < since && found->second.failing.size() < kLostUpstreamsOfLostService);
}

bool mayHaveLost(const Reach& reach, const ServiceName& service)
{
    const auto found = reach.services.find(service);
    if (found == reach.services.end())
        return false;
    const auto& [connectedAt, failing] = found->second;
    return std::any_of(
        failing.begin(), failing.end(), [since = connectedAt](const auto& it) { return since < it.second.since; });
}

bool isFailing(const Reach& reach, const ServiceName& service, const InstanceId& instance)
{
    const auto found = reach.services.find(service);
    return found != reach.services.end() && found->second.failing.count(instance) > 0;
}

bool reaches(const ReachReport& lost, const ServiceName& service, const InstanceId& instance)
{
    return !lost.services.count(service) && !lost.upstreams.count(instance);
}

} // namespace pistachiospur
