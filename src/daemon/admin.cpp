#include "admin.h"

#include "config/fields.h"

#include <algorithm>

namespace pistachiospur {

namespace {

HttpResponse jsonResponse(const Json& body, int status = 200)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump() + "\n" };
}

const char* stateName(HostState state)
{
    return state == HostState::alive ? "alive" : state == HostState::suspect ? "suspect" : "dead";
}

} // namespace

Admin::Admin(HostContext& context, Coordinators& coordinators, const Frontend& frontend, std::function<void()> onDrain)
    : m_context(context)
    , m_coordinators(coordinators)
    , m_frontend(frontend)
    , m_onDrain(std::move(onDrain))
{
}

HttpResponse Admin::answer(const HttpRequest& request)
{
    if (request.path == "/healthz")
        return { 200, {}, "ok\n" };
    if (request.path == "/readyz")
        return ready();
    if (request.path == "/metrics")
        return metrics();
    if (request.path == "/status")
        return status();
    if (request.path == "/owner")
        return owner(request);
    if (request.path == "/burn")
        return burn();
    if (request.path == "/drain" && request.method == "POST") {
        m_onDrain();
        return jsonResponse({ { "draining", true } }, 202);
    }
    return jsonResponse({ { "error", "no-such-page" } }, 404);
}

HttpResponse Admin::ready() const
{
    if (m_context.stopping)
        return { 503, {}, "stopping\n" };
    if (m_context.view.head.revision.value == 0)
        return { 503, {}, "no configuration yet\n" };
    return { 200, {}, "ready\n" };
}

HttpResponse Admin::metrics()
{
    m_coordinators.publishMetrics();
    auto& metrics = m_context.metrics;
    metrics.set("pistachiospur_peer_links", {}, static_cast<double>(m_context.hub.linkCount()));
    publishTraffic(metrics, m_context.hub);
    const Millis now = monotonicNow();
    double quarantined = 0;
    for (const auto& [fingerprint, suspect] : m_context.quarantine.suspects)
        quarantined += isQuarantined(m_context.quarantine, fingerprint, now);
    metrics.set("pistachiospur_quarantined", {}, quarantined);
    for (const auto& [name, service] : m_context.view.configuration.services) {
        for (const auto& [upstream, n] : ownedCounts(m_context.view.ownership, name))
            metrics.set("pistachiospur_owned_slots", { { "upstream", upstream } }, static_cast<double>(n));
    }
    for (const auto& [key, series] : m_context.burn) {
        const auto rank = m_context.view.configuration.ranks.find(key.second);
        if (rank == m_context.view.configuration.ranks.end())
            continue;
        for (const auto& window : kBurnWindows)
            metrics.set("pistachiospur_burn_rate",
                { { "service", key.first }, { "rank", key.second }, { "window", window.name } },
                burnRate(countsWithin(series, window.length, now), rank->second.objective));
    }
    return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics.text() };
}

HttpResponse Admin::status() const
{
    Json hosts = Json::array();
    const auto& members = m_context.members;
    hosts.push_back({ { "host", members.self }, { "data_centre", members.own.dataCentre },
        { "state", m_context.stopping ? "stopping" : "alive" } });
    for (const auto& [name, member] : members.hosts)
        hosts.push_back({ { "host", name }, { "data_centre", member.listed.dataCentre },
            { "state", member.leaving ? "leaving" : stateName(member.state) } });
    Json upstreams = Json::array();
    std::map<UpstreamName, std::size_t> slots;
    for (const auto& [name, service] : m_context.view.configuration.services) {
        for (const auto& [upstream, n] : ownedCounts(m_context.view.ownership, name))
            slots[upstream] = n;
    }
    for (const auto& [name, record] : m_context.view.ownership.upstreams) {
        const auto object = m_context.view.configuration.upstreams.find(name);
        upstreams.push_back(
            { { "upstream", name }, { "state", record.state == UpstreamState::lost ? "lost" : "serving" },
                { "draining", object != m_context.view.configuration.upstreams.end() && object->second.draining },
                { "fence", record.fence.value }, { "renewers", record.renewers }, { "slots", slots[name] },
                { "coordinated_here", m_coordinators.coordinates(name) } });
    }
    std::size_t moving = 0;
    for (const auto& [name, table] : m_context.view.ownership.services)
        moving += static_cast<std::size_t>(std::count_if(
            table.slots.begin(), table.slots.end(), [](const SlotRecord& it) { return it.movingTo != kNoUpstream; }));
    return jsonResponse({ { "host", members.self }, { "moving_slots", moving },
        { "config_revision", m_context.view.head.revision.value }, { "config_digest", m_context.view.head.digest },
        { "config_whole", isWhole(m_context.view) }, { "store_revision", m_context.replica.revision.value },
        { "store_read", m_context.hasReadStore }, { "pending", m_frontend.pendingCount() },
        { "jobs", m_coordinators.jobCount() }, { "hosts", hosts }, { "upstreams", upstreams } });
}

HttpResponse Admin::owner(const HttpRequest& request) const
{
    const auto query = queryOf(request.target);
    const auto service = query.find("service"), key = query.find("key");
    if (service == query.end() || key == query.end())
        return jsonResponse({ { "error", "service-and-key-needed" } }, 400);
    const auto object = m_context.view.configuration.services.find(service->second);
    if (object == m_context.view.configuration.services.end())
        return jsonResponse({ { "error", "unknown-service" } }, 404);
    const SlotId slot = slotOf(key->second, object->second.slots);
    const auto& ownership = m_context.view.ownership;
    const auto table = ownership.services.find(service->second);
    const bool known = table != ownership.services.end() && slot.value < table->second.slots.size();
    const SlotRecord record = known ? table->second.slots[slot.value] : SlotRecord {};
    const auto ownerRecord = ownership.upstreams.find(ownership.names.nameOf(record.owner));
    Json body = { { "service", service->second }, { "key", key->second }, { "slot", slot.value }, { "owner", nullptr },
        { "epoch", record.epoch.value } };
    if (record.owner != kNoUpstream)
        body["owner"] = ownership.names.nameOf(record.owner);
    if (record.movingTo != kNoUpstream)
        body["moving_to"] = ownership.names.nameOf(record.movingTo);
    if (ownerRecord != ownership.upstreams.end())
        body["renewers"] = ownerRecord->second.renewers;
    return jsonResponse(body);
}

HttpResponse Admin::burn() const
{
    const Millis now = monotonicNow();
    Json rows = Json::array();
    for (const auto& [key, series] : m_context.burn) {
        const auto rank = m_context.view.configuration.ranks.find(key.second);
        if (rank == m_context.view.configuration.ranks.end())
            continue;
        Json windows = Json::object();
        for (const auto& window : kBurnWindows) {
            const auto counts = countsWithin(series, window.length, now);
            windows[window.name] = { { "good", counts.good }, { "bad", counts.bad } };
        }
        rows.push_back({ { "service", key.first }, { "rank", key.second }, { "order", rank->second.order },
            { "target_ms", rank->second.target.count() }, { "objective", rank->second.objective },
            { "good", series.total.good }, { "bad", series.total.bad }, { "windows", windows } });
    }
    return jsonResponse({ { "host", m_context.members.self }, { "rows", rows } });
}

} // namespace pistachiospur
