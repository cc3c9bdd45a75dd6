#include "settings.h"

#include "config/fields.h"

#include <cmath>

namespace pistachiospur {

namespace leaf = boost::leaf;

const std::vector<GatewayOption>& gatewayOptions()
{
    static const std::vector<GatewayOption> options = {
        { "hold_ms", &GatewayLimits::holdMs, 2500, 500, 60000, "ms",
            "life of a grant: how long a lost upstream keeps its slots from others" },
        { "greatest_hold_ms", &GatewayLimits::greatestHoldMs, 10000, 500, 60000, "ms",
            "longest life of a grant that upstreams take; the platform's bound" },
        { "renewal_interval_ms", &GatewayLimits::renewalIntervalMs, 600, 100, 20000, "ms",
            "time between two grants of a range to its owner" },
        { "orders_per_core", &GatewayLimits::ordersPerCore, 1000, 1, 100000, "grants/s",
            "grants that a keeper sends for each core that it has; with more ranges, interval and life of grants grow "
            "alike" },
        { "outage_ms", &GatewayLimits::outageMs, 3500, 0, 600000, "ms",
            "how long a keeper without the store goes on renewing what it granted" },
        { "order_timeout_ms", &GatewayLimits::orderTimeoutMs, 400, 50, 5000, "ms",
            "a grant unanswered for so long is given up and its connection reset" },
        { "host_lease_ms", &GatewayLimits::hostLeaseMs, 3000, 500, 60000, "ms", "life of a host's lease in the store" },
        { "keeper_lease_ms", &GatewayLimits::keeperLeaseMs, 1200, 500, 60000, "ms",
            "life of a keeper's lease: with an election and a round of grants within hold_ms, so that a lost keeper "
            "leaves no slot without an owner" },
        { "store_timeout_ms", &GatewayLimits::storeTimeoutMs, 800, 50, 30000, "ms",
            "a store call unanswered for so long failed" },
        { "drain_ms", &GatewayLimits::drainMs, 2000, 100, 60000, "ms",
            "a leaving upstream gets no new work after so long; the platform's bound" },
        { "grace_ms", &GatewayLimits::graceMs, 6000, 1000, 600000, "ms",
            "time from a termination signal until the platform kills the process" },
        { "queue_per_rank", &GatewayLimits::queuePerRank, 64, 1, 100000, "requests",
            "most requests of one rank that wait for one upstream or pool" },
        { "retry_ratio_percent", &GatewayLimits::retryRatioPercent, 20, 0, 1000, "percent",
            "repeated sends that a service may get for its requests; the platform's bound" },
        { "retry_slack", &GatewayLimits::retrySlack, 50, 0, 100000, "sends",
            "repeated sends in a window that need no requests; the platform's bound over all hosts" },
        { "retry_window_ms", &GatewayLimits::retryWindowMs, 10000, 100, 600000, "ms",
            "window of the two bounds above; the platform's" },
    };
    return options;
}

bool isGatewayDocument(const std::string& text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    return document.is_object() && document.contains("platform");
}

namespace {

GatewayLimits readLimits(const Json& document, std::vector<FieldError>& errors)
{
    GatewayLimits limits;
    const Json object = document.value("limits", Json::object());
    FieldReader reader(object, "settings.limits", errors);
    for (const auto& it : gatewayOptions())
        limits.*it.field = reader.integerOr(it.name, { it.least, it.greatest }, it.fallback);
    reader.refuseUnknownFields();
    if (limits.renewalIntervalMs * 2 + limits.orderTimeoutMs > limits.holdMs)
        reader.fault(FieldFault::conflict, "renewal_interval_ms", std::to_string(limits.renewalIntervalMs),
            "two intervals and order_timeout_ms within hold_ms");
    return limits;
}

} // namespace

leaf::result<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& name)
{
    std::vector<FieldError> errors;
    const auto document = parseDocument(text, name, errors);
    if (!document)
        return leaf::new_error(DocumentError { errors });
    FieldReader reader(*document, name, errors);
    GatewaySettings settings;
    settings.host = reader.text("host");
    settings.dataCentre = reader.text("data_centre");
    settings.callers = reader.endpoint("callers");
    settings.ready = reader.endpoint("ready");
    settings.peers = reader.endpoint("peers");
    settings.admin = reader.endpoint("admin");
    settings.store = reader.endpoint("store");
    reader.oneOf("platform", { "kv" }, "kv");
    settings.processorPercent = std::llround(reader.fractionOr("processor", 1) * 100);
    settings.limits = readLimits(*document, errors);
    reader.know("limits");
    reader.refuseUnknownFields();
    if (!errors.empty())
        return leaf::new_error(DocumentError { errors });
    return settings;
}

} // namespace pistachiospur
