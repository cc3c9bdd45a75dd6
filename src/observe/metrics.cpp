#include "metrics.h"

#include <prometheus/text_serializer.h>

#include <cstring>
#include <iterator>
#include <sstream>

namespace pistachiospur {

namespace {

constexpr const char* kLatencyMetric = "pistachiospur_request_seconds";

const prometheus::Histogram::BucketBoundaries kLatencyBoundsSeconds
    = { 0.002, 0.005, 0.01, 0.018, 0.03, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };

constexpr MetricInfo kMetrics[] = {
    { "pistachiospur_requests_total", "counter", "callers' requests by service, rank and outcome" },
    { "pistachiospur_refusals_total", "counter", "refusals given to callers, by reason" },
    { "pistachiospur_retries_total", "counter", "retries of requests, by reason of the refusal before" },
    { kLatencyMetric, "histogram", "time from the arrival of a caller's request to its answer, by service and rank" },
    { "pistachiospur_late_replies_total", "counter",
        "replies dropped because their request or attempt had already ended" },
    { "pistachiospur_dropped_replies_total", "counter",
        "replies not sent because no link was left to the process that had forwarded the request" },
    { "pistachiospur_upstream_notices_total", "counter",
        "answers by which upstreams began to leave or to be paused, by kind" },
    { "pistachiospur_cold_holds_total", "counter",
        "times that requests began to wait because an upstream is cold, or may be, by whether that is known" },
    { "pistachiospur_health_questions_total", "counter",
        "questions for upstreams' health, by what the answer says of them" },
    { "pistachiospur_reach_probes_total", "counter",
        "connections that tested whether this host reaches an upstream again, by result" },
    { "pistachiospur_lost_services", "gauge", "services none of whose upstreams this host reaches" },
    { "pistachiospur_lost_upstreams", "gauge", "single upstreams that this host does not reach" },
    { "pistachiospur_renewals_total", "counter", "grant renewals sent, by result" },
    { "pistachiospur_store_calls_total", "counter", "calls to the platform's store; a watch counts as one call" },
    { "pistachiospur_store_failures_total", "counter", "store calls that failed" },
    { "pistachiospur_plan_writes_total", "counter", "conditional writes of the planner, by kind and result" },
    { "pistachiospur_peer_messages_total", "counter", "messages sent to other hosts, by kind" },
    { "pistachiospur_peer_messages_skipped_total", "counter",
        "messages received of kinds that only later builds know" },
    { "pistachiospur_peer_bytes_total", "counter", "bytes of messages sent to other hosts, by kind" },
    { "pistachiospur_configuration_faults", "gauge",
        "parts of the configuration in force that this version cannot read" },
    { "pistachiospur_body_bytes", "gauge", "memory that requests in transit use on this host, heads included" },
    { "pistachiospur_callers", "gauge", "open connections of callers, by door" },
    { "pistachiospur_caller_waiting_bytes", "gauge",
        "memory for responses that callers have not taken and for input that waits, by door" },
    { "pistachiospur_callers_closed_total", "counter",
        "connections of callers that this host closed, by door and reason: unread or memory (they held the most "
        "for the longest), full (idle while another waited), timeout" },
    { "pistachiospur_callback_errors_total", "counter", "unexpected errors, each of which ended one callback" },
    { "pistachiospur_upstream_ends_total", "counter",
        "runs of requests during which their upstream ended, by whether they count as evidence" },
    { "pistachiospur_quarantined", "gauge", "requests that are quarantined" },
    { "pistachiospur_peer_links", "gauge", "open links to other hosts" },
    { "pistachiospur_hosts_alive", "gauge", "hosts that this host considers alive, including itself" },
    { "pistachiospur_coordinated_upstreams", "gauge", "upstreams that have accepted this host as their coordinator" },
    { "pistachiospur_upstream_waiting", "gauge", "requests that wait for an upstream" },
    { "pistachiospur_upstream_running", "gauge", "requests from this host that run on an upstream" },
    { "pistachiospur_places_total", "counter",
        "starts kept for callers that were told to come back, by service, rank and outcome: given, kept (found by "
        "the caller on its return), missed (it came later), expired (it did not come)" },
    { "pistachiospur_queue_seconds_total", "counter",
        "time that requests spent in queues, by service, rank and whether they were served or refused" },
    { "pistachiospur_queued_total", "counter", "the number of these requests" },
    { "pistachiospur_config_revision", "gauge", "revision of the configuration in force" },
    { "pistachiospur_store_revision", "gauge", "store revision up to which this host has received all changes" },
    { "pistachiospur_copy_age_seconds", "gauge",
        "time since this host's copy of the store is known to have been complete" },
    { "pistachiospur_copy_revisions_behind", "gauge",
        "store revisions that this host's copy lacks of the latest that its watching host has announced" },
    { "pistachiospur_copy_requests_total", "counter",
        "requests to other hosts for what this host's copy of the store lacks" },
    { "pistachiospur_upstream_failures_total", "counter",
        "requests that upstreams failed with errors of their own or invalid answers, by service" },
    { "pistachiospur_evacuated_data_centres", "gauge", "data centres that an operator empties" },
    { "pistachiospur_evacuation_refusals_total", "counter",
        "requests not sent to an upstream because its data centre is emptied, by data centre" },
    { "pistachiospur_owned_slots", "gauge", "slots owned, by upstream" },
    { "pistachiospur_slot_moves_total", "counter", "runs of slots that a range leader has given a new owner" },
    { "pistachiospur_moved_slots_total", "counter", "slots in these runs" },
    { "pistachiospur_hot_slots", "gauge",
        "slots that get more requests than any upstream runs, by service; with judged_moves only" },
    { "pistachiospur_held_bytes_waits_total", "counter",
        "requests that waited because their upstreams held too many bytes of others" },
    { "pistachiospur_slot_share_refusals_total", "counter",
        "requests refused because their slot has its share of the waiting ones of its upstream" },
    { "pistachiospur_burn_rate", "gauge", "error budget burn rate by service, rank and window" },
};

} // namespace

const std::vector<MetricInfo>& metricTable()
{
    static const std::vector<MetricInfo> table(std::begin(kMetrics), std::end(kMetrics));
    return table;
}

Metrics::Metrics()
{
    for (const auto& metric : metricTable()) {
        if (!std::strcmp(metric.type, "counter"))
            m_counters[metric.name]
                = &prometheus::BuildCounter().Name(metric.name).Help(metric.help).Register(m_registry);
        else if (!std::strcmp(metric.type, "gauge"))
            m_gauges[metric.name] = &prometheus::BuildGauge().Name(metric.name).Help(metric.help).Register(m_registry);
        else
            m_latency = &prometheus::BuildHistogram().Name(metric.name).Help(metric.help).Register(m_registry);
    }
}

void Metrics::count(const char* name, const Labels& labels, double amount)
{
    m_counters.at(name)->Add(labels).Increment(amount);
}

void Metrics::raise(const char* name, const Labels& labels, double total)
{
    count(name, labels, total - counterValue(name, labels));
}

void Metrics::set(const char* name, const Labels& labels, double value) { m_gauges.at(name)->Add(labels).Set(value); }

void Metrics::observeLatency(const ServiceName& service, const RankName& rank, double seconds)
{
    auto*& histogram = m_latencies[{ service, rank }];
    if (!histogram)
        histogram = &m_latency->Add({ { "service", service }, { "rank", rank } }, kLatencyBoundsSeconds);
    histogram->Observe(seconds);
}

double Metrics::counterValue(const char* name, const Labels& labels)
{
    return m_counters.at(name)->Add(labels).Value();
}

std::string Metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_registry.Collect());
    return out.str();
}

} // namespace pistachiospur
