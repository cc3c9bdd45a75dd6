#include "dispatch.h"

#include <chrono>

// The part of Dispatcher that publishes metrics.
namespace pistachiospur {

void Dispatcher::publishMetrics()
{
    for (const auto& [name, pool] : m_pools) {
        m_context.metrics.set(
            "pistachiospur_upstream_waiting", { { "upstream", name } }, static_cast<double>(waitingCount(pool.queue)));
        m_context.metrics.set(
            "pistachiospur_upstream_running", { { "upstream", name } }, static_cast<double>(pool.queue.running));
    }
    publishPlaces();
}

// Sums what the queues of a service have done for each rank.
void Dispatcher::publishPlaces()
{
    std::map<std::pair<ServiceName, RankName>, std::pair<PlaceCounts, QueueTimes>> sums;
    for (const auto& [name, pool] : m_pools) {
        for (const auto& [rank, counts] : pool.places.counts)
            sums[{ pool.service, rank }].first += counts;
        for (const auto& [rank, times] : pool.queueTimes) {
            QueueTimes& sum = sums[{ pool.service, rank }].second;
            sum.served += times.served;
            sum.refused += times.refused;
            sum.servedCount += times.servedCount;
            sum.refusedCount += times.refusedCount;
        }
    }
    Metrics& metrics = m_context.metrics;
    for (const auto& [name, sum] : sums) {
        const auto& [places, times] = sum;
        const auto labels = [&name = name](const char* outcome) {
            return Metrics::Labels { { "service", name.first }, { "rank", name.second }, { "outcome", outcome } };
        };
        metrics.raise("pistachiospur_places_total", labels("given"), static_cast<double>(places.given));
        metrics.raise("pistachiospur_places_total", labels("kept"), static_cast<double>(places.kept));
        metrics.raise("pistachiospur_places_total", labels("missed"), static_cast<double>(places.missed));
        metrics.raise("pistachiospur_places_total", labels("expired"), static_cast<double>(places.expired));
        const auto seconds = [](Millis it) { return std::chrono::duration<double>(it).count(); };
        metrics.raise("pistachiospur_queue_seconds_total", labels("served"), seconds(times.served));
        metrics.raise("pistachiospur_queue_seconds_total", labels("refused"), seconds(times.refused));
        metrics.raise("pistachiospur_queued_total", labels("served"), static_cast<double>(times.servedCount));
        metrics.raise("pistachiospur_queued_total", labels("refused"), static_cast<double>(times.refusedCount));
    }
}

} // namespace pistachiospur
