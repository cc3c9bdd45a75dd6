#include "cold_monitor.h"

#include "observe/events.h"
#include "reach_monitor.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace pistachiospur {

using Json = nlohmann::json;

namespace {

constexpr Millis kCleanUpInterval { 5000 };

const char* nameOf(ColdSource source) { return source == ColdSource::entry ? "entry" : "health"; }

const RoutedService* serviceWithBound(const GatewayContext& context, const ServiceName& name)
{
    const auto& routes = context.directory.routes();
    if (!routes)
        return nullptr;
    const auto it = routes->services.find(name);
    return it == routes->services.end() || it->second.coldPerSecond <= 0 ? nullptr : &it->second;
}

// Asks an upstream for its health if that is due.
void askIfDue(GatewayContext& context, const InstanceEntry& entry, const ColdBound& bound, Millis now)
{
    const RoutedService* service = serviceWithBound(context, entry.instance.service);
    const UpstreamInstance& asked = entry.instance;
    if (!service || ownPauseLeft(context, asked.id, now) > Millis(0)
        || !takeQuestion(context.coldness, asked.id, bound, now))
        return;
    const std::string sentId = absl::StrCat(context.settings.host, "-health-", now.count());
    HttpCall call = context.adapter.healthCall(asked, service->healthPath, sentId);
    const Millis connectTimeout = call.connectTimeout;
    context.http.start(
        std::move(call), [&context, upstream = asked, sentId, now, connectTimeout](const HttpOutcome& outcome) {
            noteContact(context, upstream, outcome, now, connectTimeout);
            const auto* answer = std::get_if<HttpAnswer>(&outcome);
            std::optional<Millis> coldLeft;
            if (answer)
                coldLeft = context.adapter.readHealth(*answer, sentId, upstream.id.name);
            noteHealth(context.coldness, upstream.id, coldLeft, now, monotonicNow());
            const char* result = "silent";
            if (coldLeft)
                result = *coldLeft > Millis(0) ? "cold" : "warm";
            context.metrics.count("pistachiospur_health_questions_total", { { "result", result } });
        });
}

} // namespace

std::optional<ColdBound> coldBoundOf(const GatewayContext& context, const ServiceName& name)
{
    const RoutedService* service = serviceWithBound(context, name);
    const GatewayLimits& limits = context.settings.limits;
    return service
        ? std::optional(coldBound(service->coldPerSecond, limits.coldOver, static_cast<double>(limits.coldSlack)))
        : std::nullopt;
}

// An entry states how long its upstream stays cold from its writing on; counted from here, that is a little too long.
Millis coldWait(GatewayContext& context, const InstanceEntry& entry, const ColdBound& bound, Millis now)
{
    const UpstreamInstance& upstream = entry.instance;
    noteEntry(context.coldness, upstream.id, entry.version, upstream.warmUpLeft, now);
    return timeToStart(context.coldness, upstream.id, bound, now);
}

void takeStart(GatewayContext& context, const InstanceEntry& entry, const ColdBound& bound, Millis now)
{
    noteStart(context.coldness, entry.instance.id, bound, now);
    askIfDue(context, entry, bound, now);
}

void takeHeld(GatewayContext& context, const InstanceEntry& entry, const ColdBound& bound, Millis now)
{
    const InstanceId& id = entry.instance.id;
    if (noteHeld(context.coldness, id, now))
        context.metrics.count(
            "pistachiospur_cold_holds_total", { { "known", isCold(context.coldness, id, now) ? "yes" : "no" } });
    askIfDue(context, entry, bound, now);
}

double coldCapacity(const GatewayContext& context, const InstanceEntry& entry, double capacity)
{
    const auto bound
        = entry.instance.warmUpLeft > Millis(0) ? coldBoundOf(context, entry.instance.service) : std::nullopt;
    return bound ? std::min(capacity, bound->perSecond) : capacity;
}

ColdMonitor::ColdMonitor(GatewayContext& context)
    : m_context(context)
{
}

void ColdMonitor::tick()
{
    const auto& routes = m_context.directory.routes();
    const bool isNeeded = routes && std::any_of(routes->services.begin(), routes->services.end(), [](const auto& it) {
        return it.second.coldPerSecond > 0;
    });
    if (!isNeeded)
        return;
    const Millis now = monotonicNow();
    readEntries(now);
    logChanges(now);
    if (now < m_nextCleanUpAt)
        return;
    m_nextCleanUpAt = now + kCleanUpInterval;
    forgetIdle(m_context.coldness, now);
}

void ColdMonitor::readEntries(Millis now)
{
    for (const auto& [id, upstream] : m_context.coldness.upstreams) {
        if (const InstanceEntry* entry = m_context.directory.findInstance(id))
            noteEntry(m_context.coldness, id, entry->version, entry->instance.warmUpLeft, now);
    }
}

void ColdMonitor::logChanges(Millis now)
{
    for (const auto& [id, upstream] : m_context.coldness.upstreams) {
        const bool cold = now < upstream.coldUntil;
        if (cold == (m_cold.count(id) > 0))
            continue;
        logEvent(EventKind::state, cold ? "upstream_cold" : "upstream_warm",
            { { "upstream", id.name }, { "born", id.startTime.value }, { "by", nameOf(upstream.source) },
                { "left_ms", std::max(Millis(0), upstream.coldUntil - now).count() },
                { "starts", upstream.starts.size() } });
        if (cold)
            m_cold.insert(id);
        else
            m_cold.erase(id);
    }
}

Json ColdMonitor::report() const
{
    Json report = Json::array();
    const Millis now = monotonicNow();
    for (const auto& [id, upstream] : m_context.coldness.upstreams) {
        const bool cold = now < upstream.coldUntil;
        if (!cold && !upstream.heldSince)
            continue;
        Json item = { { "upstream", id.name }, { "born", id.startTime.value }, { "cold", cold } };
        if (cold) {
            item["by"] = nameOf(upstream.source);
            item["since_ms"] = (now - upstream.coldSince).count();
            item["left_ms"] = (upstream.coldUntil - now).count();
        }
        if (upstream.heldSince)
            item["held_ms"] = (now - *upstream.heldSince).count();
        report.push_back(std::move(item));
    }
    return report;
}

} // namespace pistachiospur
