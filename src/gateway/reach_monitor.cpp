#include "reach_monitor.h"

#include "observe/events.h"

#include <algorithm>

namespace pistachiospur {

namespace {

constexpr std::size_t kMaxProbesInFlight = 4;
constexpr Millis kProbeTimeout { 400 };
constexpr Millis kRemovalInterval { 1000 };
constexpr Millis kReportPace { 20 }; // for each host that a report goes to
constexpr int kHeartbeatsUntilExpiry = 3; // missed ones, until the platform removes an upstream's entry
// A call that waited less for its connection shows nothing if it ran out of time.
constexpr Millis kMinConnectTimeout { 300 };

std::vector<std::string> namesOf(const std::set<InstanceId>& instances)
{
    std::vector<std::string> names;
    names.reserve(instances.size());
    for (const auto& it : instances)
        names.push_back(it.name);
    return names;
}

} // namespace

void noteContact(GatewayContext& context, const UpstreamInstance& upstream, const HttpOutcome& outcome, Millis begunAt,
    Millis connectTimeout)
{
    const Millis now = monotonicNow();
    if (const auto* answer = std::get_if<HttpAnswer>(&outcome)) {
        if (!answer->onReusedConnection)
            noteConnected(context.reach, upstream.service, upstream.id, begunAt);
        return;
    }
    if (std::get<HttpFailure>(outcome).fault != HttpFault::notSent)
        return;
    const bool ranOutOfTime = now >= begunAt + connectTimeout;
    if (!ranOutOfTime || connectTimeout >= kMinConnectTimeout)
        noteNotConnected(context.reach, upstream.service, upstream.id, begunAt, now);
}

ReachMonitor::ReachMonitor(GatewayContext& context)
    : m_context(context)
{
}

void ReachMonitor::tick()
{
    const Millis now = monotonicNow();
    if (now >= m_nextRemovalAt) {
        m_nextRemovalAt = now + kRemovalInterval;
        removeGone();
    }
    for (const auto& it : dueProbes(m_context.reach, kMaxProbesInFlight - m_probing.size(), now)) {
        if (const InstanceEntry* entry = m_context.directory.findInstance(it))
            probe(entry->instance);
    }
    compare();
    if (updateLost(m_context.reach))
        noteLost();
    report(now);
}

void ReachMonitor::noteLost()
{
    const ReachReport& lost = m_context.reach.lost;
    logEvent(EventKind::state, "reach",
        { { "lost_services", lost.services }, { "lost_upstreams", namesOf(lost.upstreams) } });
    m_context.metrics.set("pistachiospur_lost_services", {}, static_cast<double>(lost.services.size()));
    m_context.metrics.set("pistachiospur_lost_upstreams", {}, static_cast<double>(lost.upstreams.size()));
}

// Tells the other hosts: a change of services at once, of single upstreams at an interval that grows with the number of
// hosts, because each report is a message to every host. By then the platform may have removed the entry of an upstream
// that ended, which all hosts lose.
void ReachMonitor::report(Millis now)
{
    const Reach& reach = m_context.reach;
    if (reach.lost.empty() && m_reported.empty())
        return;
    const Millis interval = kReportPace * hostCount(m_context);
    const Millis entryExpiry = kHeartbeatsUntilExpiry * Millis(m_context.settings.limits.upstreamHeartbeatMs);
    ReachReport current = reportOf(reach, now - std::min(interval, entryExpiry));
    const bool isDue = current.services != m_reported.services
        || (current.upstreams != m_reported.upstreams && now >= m_reportedAt + interval);
    if (!isDue)
        return;
    m_reportedAt = now;
    m_reported = std::move(current);
    m_context.hub.send(otherHosts(m_context), m_reported);
}

// Connects to other upstreams while some fail, to tell a cut of this host from failures of upstreams.
void ReachMonitor::compare()
{
    const auto& routes = m_context.directory.routes();
    std::set<ServiceName> services;
    if (routes) {
        for (const auto& [name, service] : routes->services) {
            if (needsComparison(m_context.reach, name))
                services.insert(name);
        }
    }
    if (services.empty())
        return;
    for (const auto& [name, entry] : m_context.directory.instances()) {
        const UpstreamInstance& upstream = entry.instance;
        const bool isWanted = services.count(upstream.service) > 0 && !entry.entryGone && !m_probing.count(upstream.id)
            && !isFailing(m_context.reach, upstream.service, upstream.id);
        if (isWanted && m_probing.size() < kMaxProbesInFlight)
            probe(upstream);
    }
}

// Forgets upstreams and hosts that do not exist any more.
void ReachMonitor::removeGone()
{
    removeContacts(m_context.reach, [this](const InstanceId& it) {
        const InstanceEntry* entry = m_context.directory.findInstance(it);
        return entry && !entry->entryGone;
    });
    for (auto it = m_context.lostByHost.begin(); it != m_context.lostByHost.end();)
        it = m_context.directory.hosts().count(it->first) ? std::next(it) : m_context.lostByHost.erase(it);
}

void ReachMonitor::probe(const UpstreamInstance& upstream)
{
    m_probing.insert(upstream.id);
    HttpCall call;
    call.method = "GET";
    call.endpoint = upstream.endpoint;
    call.timeout = kProbeTimeout;
    call.freshConnection = true;
    call.connectOnly = true;
    m_context.http.start(std::move(call), [this, upstream, begunAt = monotonicNow()](const HttpOutcome& outcome) {
        m_probing.erase(upstream.id);
        const bool connected = std::holds_alternative<HttpAnswer>(outcome);
        m_context.metrics.count(
            "pistachiospur_reach_probes_total", { { "result", connected ? "connected" : "failed" } });
        noteContact(m_context, upstream, outcome, begunAt, kProbeTimeout);
    });
}

// A report of a life that has ended may be read after the Hello of the next one, which would not take it back.
void ReachMonitor::onReport(const HostLife& from, ReachReport report)
{
    if (!m_context.hub.isLatest(from))
        return;
    logEvent(EventKind::state, "reach_of_peer",
        { { "peer", from.host }, { "lost_services", report.services },
            { "lost_upstreams", namesOf(report.upstreams) } });
    if (report.empty())
        m_context.lostByHost.erase(from.host);
    else
        m_context.lostByHost[from.host] = std::move(report);
}

void ReachMonitor::onLinkOpened(const HostName& host)
{
    m_context.lostByHost.erase(host);
    if (!m_reported.empty())
        m_context.hub.send(host, m_reported);
}

} // namespace pistachiospur
