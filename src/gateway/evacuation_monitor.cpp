#include "evacuation_monitor.h"

#include "observe/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pistachiospur {

using Json = nlohmann::json;

EvacuationMonitor::EvacuationMonitor(GatewayContext& context)
    : m_context(context)
{
}

std::size_t EvacuationMonitor::upstreamCount(const DataCentreName& dataCentre) const
{
    const auto& instances = m_context.directory.instances();
    return static_cast<std::size_t>(std::count_if(instances.begin(), instances.end(),
        [&](const auto& it) { return it.second.instance.dataCentre == dataCentre && !it.second.entryGone; }));
}

bool EvacuationMonitor::tick()
{
    const auto& active = m_context.directory.evacuations().active;
    const Millis now = bootNow();
    bool hasClosed = false;
    for (auto it = m_noted.begin(); it != m_noted.end();) {
        const bool isOver = !active.count(it->first);
        if (isOver)
            logEvent(EventKind::state, "evacuation_over", { { "data_centre", it->first } });
        it = isOver ? m_noted.erase(it) : std::next(it);
    }
    for (const auto& [dataCentre, evacuation] : active) {
        const auto [noted, added] = m_noted.try_emplace(dataCentre);
        // A name without upstreams is that of no data centre, or of one that has none yet.
        if (added)
            logEvent(EventKind::state, "evacuation",
                { { "data_centre", dataCentre }, { "upstreams", upstreamCount(dataCentre) },
                    { "revision", textOf(evacuation.version) },
                    { "age_ms", (now - evacuation.requestedAfter).count() } });
        if (std::exchange(noted->second.isForgotten, evacuation.isForgotten) != evacuation.isForgotten)
            logEvent(EventKind::state, evacuation.isForgotten ? "evacuation_forgotten" : "evacuation_repeated",
                { { "data_centre", dataCentre }, { "era", m_context.directory.storeEra().value } });
        if (noted->second.isClosed || now < closesAt(evacuation, evacuateTime()))
            continue;
        hasClosed = noted->second.isClosed = true;
        logEvent(EventKind::state, "evacuation_closed",
            { { "data_centre", dataCentre }, { "known_ms", (now - evacuation.knownAt).count() } });
    }
    return hasClosed;
}

void EvacuationMonitor::publishMetrics() const
{
    m_context.metrics.set("pistachiospur_evacuated_data_centres", {},
        static_cast<double>(m_context.directory.evacuations().active.size()));
}

Json EvacuationMonitor::report() const
{
    Json report = Json::array();
    const Millis now = bootNow();
    for (const auto& [dataCentre, evacuation] : m_context.directory.evacuations().active)
        report.push_back({ { "data_centre", dataCentre }, { "upstreams", upstreamCount(dataCentre) },
            { "known_ms", (now - evacuation.knownAt).count() },
            { "closed", now >= closesAt(evacuation, evacuateTime()) }, { "forgotten", evacuation.isForgotten } });
    return report;
}

} // namespace pistachiospur
