#include "settings.h"

#include "config/fields.h"
#include "io/json.h"

#include <cmath>

namespace pistachiospur {

namespace leaf = boost::leaf;

const std::vector<GatewayOption>& gatewayOptions()
{
    static const std::vector<GatewayOption> options = {
        { "hold_ms", &GatewayLimits::grantTtlMs, 2500, 500, 60000, "ms",
            "TTL of a grant: how long the slots of a lost upstream stay blocked for other upstreams" },
        { "greatest_hold_ms", &GatewayLimits::maxGrantTtlMs, 10000, 500, 60000, "ms",
            "max TTL of a grant that upstreams accept, as set by the platform" },
        { "renewal_interval_ms", &GatewayLimits::renewalIntervalMs, 600, 100, 20000, "ms",
            "time between two renewals of an owner's grant for a range" },
        { "orders_per_core", &GatewayLimits::ordersPerCore, 1000, 1, 100000, "grants/s",
            "grants that a range leader sends per second and core; if there are too many ranges for "
            "renewal_interval_ms, the interval and the grant TTL grow in proportion" },
        { "outage_ms", &GatewayLimits::outageMs, 3500, 0, 600000, "ms",
            "how long a range leader keeps renewing its grants while the store is unavailable" },
        { "order_timeout_ms", &GatewayLimits::orderTimeoutMs, 400, 50, 5000, "ms",
            "a grant order without an answer for this time has failed, and its connection is reset" },
        { "host_lease_ms", &GatewayLimits::hostLeaseMs, 3000, 500, 60000, "ms", "TTL of a host's lease in the store" },
        { "keeper_lease_ms", &GatewayLimits::leaderLeaseMs, 1200, 500, 60000, "ms",
            "TTL of a range leader's lease; together with an election and one round of grants it must be less than "
            "hold_ms, so that the loss of a leader leaves no slot without an owner" },
        { "store_timeout_ms", &GatewayLimits::storeTimeoutMs, 800, 50, 30000, "ms",
            "a store call without an answer for this time has failed" },
        { "drain_ms", &GatewayLimits::drainMs, 2000, 100, 60000, "ms",
            "a leaving upstream gets no new work after this time, as set by the platform" },
        { "change_ms", &GatewayLimits::changeMs, 2000, 100, 60000, "ms",
            "a configuration is in force on every host after this time, as set by the platform" },
        { "upstream_heartbeat_ms", &GatewayLimits::upstreamHeartbeatMs, 1000, 1, 60000, "ms",
            "time between two writes of an upstream's entry; the platform deletes the entry after three without a "
            "write" },
        { "grace_ms", &GatewayLimits::graceMs, 6000, 1000, 600000, "ms",
            "time from a termination signal until the platform kills the process" },
        { "queue_per_rank", &GatewayLimits::queuePerRank, 64, 1, 100000, "requests",
            "max requests of one rank that wait for one upstream or pool" },
        { "retry_slack", &GatewayLimits::retrySlack, 50, 0, 100000, "sends",
            "retries per window allowed for a service beyond retry_ratio, over all hosts, as set by the platform" },
        { "retry_window_ms", &GatewayLimits::retryWindowMs, 10000, 100, 600000, "ms",
            "window over which requests and retries are counted, as set by the platform" },
        { "judged_moves", &GatewayLimits::judgedMoves, 0, 0, 1, "flag",
            "1: a range moves for balance only if that serves more requests than the move costs, and a slot above what "
            "any upstream runs is isolated once" },
        { "cold_slack", &GatewayLimits::coldSlack, 0, 0, 100000, "requests",
            "requests beyond cold_over times its service's rate that a cold upstream may get in any second from all "
            "hosts "
            "together, as set by the platform" },
        { "evacuate_ms", &GatewayLimits::evacuateMs, 5000, 100, 600000, "ms",
            "the upstreams of a data centre that is to be emptied get nothing after this time, as set by the "
            "platform" },
        { "memory_mb", &GatewayLimits::memoryMb, 512, 16, 1 << 20, "MB",
            "memory that the process may use; an eighth of it is for requests of callers and other hosts with their "
            "heads, an eighth for answers that callers have not taken and input that waits, an eighth for answers of "
            "upstreams, and a 32nd each for the readiness checks and the operators" },
        { "upstream_mb", &GatewayLimits::upstreamMb, 256, 1, 1 << 20, "MB",
            "memory of an upstream for the requests that it holds: more, with their heads and whole bodies, are not "
            "sent to it at once" },
        { "descriptors", &GatewayLimits::descriptors, 4096, 64, 1 << 20, "descriptors",
            "file descriptors that the process may open; callers' connections get half of them" },
        { "body_ms", &GatewayLimits::bodyMs, 60000, 1000, 3600000, "ms",
            "time for a whole body of a caller that is received before its request is passed on" },
        { "quiet_ms", &GatewayLimits::quietMs, 100, 1, 60000, "ms",
            "while all callers' connections are in use and another waits, one without a running request that has made "
            "no progress for this time is closed for it" },
        { "door_connections", &GatewayLimits::doorConnections, 64, 4, 100000, "connections",
            "connections to each of `ready` and `admin`; at most a 16th of the descriptors" },
        { "door_idle_ms", &GatewayLimits::doorIdleMs, 30000, 1000, 3600000, "ms",
            "an idle connection to `ready` or `admin` is closed after this time" },
    };
    return options;
}

bool isGatewayDocument(const std::string& text)
{
    const auto document = parseJson(text);
    return document.is_object() && document.contains("platform");
}

namespace {

constexpr double kMaxRetryRatio = 10;
constexpr double kMaxColdOver = 100;

// A value of an option, in its unit. Times may be given in seconds.
std::int64_t readOption(FieldReader& reader, const GatewayOption& option)
{
    const std::string name = option.name, suffix = "_ms";
    const auto min = static_cast<double>(option.min), max = static_cast<double>(option.max);
    if (name.size() > suffix.size() && name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0) {
        const std::string inSeconds = name.substr(0, name.size() - suffix.size()) + "_s";
        if (reader.has(inSeconds.c_str()))
            return static_cast<std::int64_t>(1000 * reader.numberOr(inSeconds.c_str(), min / 1000, max / 1000, 0));
    }
    return static_cast<std::int64_t>(reader.numberOr(option.name, min, max, static_cast<double>(option.defaultValue)));
}

GatewayLimits readLimits(const Json& document, std::vector<FieldError>& errors)
{
    GatewayLimits limits;
    const Json object = document.is_object() ? document.value("limits", Json::object()) : Json::object();
    FieldReader reader(object, "settings.limits", errors);
    for (const auto& option : gatewayOptions())
        limits.*option.field = readOption(reader, option);
    limits.retryRatio = reader.numberOr("retry_ratio", 0, kMaxRetryRatio, limits.retryRatio);
    limits.coldOver = reader.numberOr("cold_over", 1, kMaxColdOver, limits.coldOver);
    reader.refuseUnknownFields();
    if (limits.renewalIntervalMs * 2 + limits.orderTimeoutMs > limits.grantTtlMs)
        reader.addFault(FieldFault::conflict, "renewal_interval_ms", std::to_string(limits.renewalIntervalMs),
            "two renewal intervals plus order_timeout_ms must not exceed hold_ms");
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
    settings.firstStart = reader.flagOr("first_start", true);
    settings.limits = readLimits(*document, errors);
    reader.markKnown("limits");
    reader.refuseUnknownFields();
    if (!errors.empty())
        return leaf::new_error(DocumentError { errors });
    return settings;
}

} // namespace pistachiospur
