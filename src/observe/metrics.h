#pragma once

#include "pistachiospur/request.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <vector>

// Counters, gauges and histograms, kept by prometheus-cpp. metricTable() lists every metric; the operators' page is
// made from it.
namespace pistachiospur {

struct MetricInfo {
    const char* name;
    const char* type; // counter, gauge or histogram
    const char* help;
};

const std::vector<MetricInfo>& metricTable();

class Metrics {
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();
    // Adds to a counter. `name` must be in metricTable().
    void count(const char* name, const Labels& labels = {}, double amount = 1);
    // Raises a counter to a total that is kept elsewhere. `name` must be in metricTable().
    void raise(const char* name, const Labels& labels, double total);
    // Sets a gauge. `name` must be in metricTable().
    void set(const char* name, const Labels& labels, double value);
    // Records a request's latency in the histogram of its service and rank.
    void observeLatency(const ServiceName&, const RankName&, double seconds);
    double counterValue(const char* name, const Labels& labels = {});
    // All metrics in Prometheus's text format.
    std::string text() const;

private:
    prometheus::Registry m_registry;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> m_counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> m_gauges;
    prometheus::Family<prometheus::Histogram>* m_latency = nullptr;
    std::map<std::pair<ServiceName, RankName>, prometheus::Histogram*> m_latencies;
};

} // namespace pistachiospur
