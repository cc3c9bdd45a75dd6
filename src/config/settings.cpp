#include "settings.h"

#include "fields.h"

#include <boost/leaf/error.hpp>

#include <cerrno>
#include <fstream>
#include <sstream>

namespace pistachiospur {

namespace leaf = boost::leaf;

const std::vector<LimitOption>& limitOptions()
{
    static const std::vector<LimitOption> options = {
        { "grant_ttl_ms", &Limits::grantTtlMs, 1000, 200, 10000, "ms",
            "grant TTL, counted from when the upstream issued the challenge; must match the upstreams' setting",
            false },
        { "renewal_interval_ms", &Limits::renewalIntervalMs, 250, 20, 3000, "ms",
            "time between two renewals of a grant", true },
        { "renewal_timeout_ms", &Limits::renewalTimeoutMs, 250, 20, 3000, "ms",
            "time without a reply after which a renewal counts as failed", true },
        { "heartbeat_interval_ms", &Limits::heartbeatIntervalMs, 200, 20, 5000, "ms", "time between two heartbeats",
            true },
        { "suspect_after_ms", &Limits::suspectAfterMs, 500, 50, 30000, "ms",
            "time without a heartbeat after which a host is suspected", true },
        { "dead_after_ms", &Limits::deadAfterMs, 700, 100, 60000, "ms",
            "time without a heartbeat after which a host is assumed dead", true },
        { "host_list_interval_ms", &Limits::hostListIntervalMs, 1000, 100, 60000, "ms",
            "time between two reads of the platform's host list", true },
        { "store_timeout_ms", &Limits::storeTimeoutMs, 1000, 50, 30000, "ms",
            "time without a reply after which a store call counts as failed", true },
        { "default_deadline_ms", &Limits::defaultDeadlineMs, 10000, 10, 600000, "ms",
            "deadline of a request that specifies none", true },
        { "idempotency_window_ms", &Limits::idempotencyWindowMs, 600000, 1000, 86400000, "ms",
            "time for which answers are kept for resent requests", true },
        { "idempotency_entries", &Limits::idempotencyEntries, 100000, 100, 10000000, "entries",
            "max idempotency keys kept for each upstream", true },
        { "clock_skew_ms", &Limits::clockSkewMs, 1000, 0, 60000, "ms",
            "max difference between callers' and hosts' clocks", true },
        { "max_body_bytes", &Limits::maxBodyBytes, 1048576, 0, 67108864, "bytes", "max size of a request body", true },
        { "queue_per_rank", &Limits::queuePerRank, 256, 1, 100000, "requests",
            "max requests of one rank that wait for one upstream", true },
        { "stop_timeout_ms", &Limits::stopTimeoutMs, 15000, 100, 600000, "ms",
            "max time that a planned stop waits for running requests", true },
    };
    return options;
}

Limits defaultLimits()
{
    Limits limits;
    for (const auto& it : limitOptions())
        limits.*it.field = it.defaultValue;
    return limits;
}

namespace {

Limits readLimits(const Json& object, std::vector<FieldError>& errors)
{
    Limits limits;
    FieldReader reader(object, "settings.limits", errors);
    for (const auto& it : limitOptions())
        limits.*it.field = reader.integerOr(it.name, { it.min, it.max }, it.defaultValue);
    reader.refuseUnknownFields();
    if (limits.renewalIntervalMs * 3 > limits.grantTtlMs)
        reader.addFault(FieldFault::conflict, "renewal_interval_ms", std::to_string(limits.renewalIntervalMs),
            "at most a third of grant_ttl_ms");
    if (limits.suspectAfterMs >= limits.deadAfterMs)
        reader.addFault(
            FieldFault::conflict, "suspect_after_ms", std::to_string(limits.suspectAfterMs), "less than dead_after_ms");
    return limits;
}

void checkPorts(const Settings& settings, FieldReader& reader)
{
    if (settings.callers == settings.peers || settings.callers == settings.admin)
        reader.addFault(
            FieldFault::portClash, "callers", settings.callers.text(), "an endpoint that no other field uses");
    if (settings.peers == settings.admin)
        reader.addFault(FieldFault::portClash, "peers", settings.peers.text(), "an endpoint that no other field uses");
}

} // namespace

leaf::result<Settings> parseSettings(const std::string& text, const std::string& name)
{
    std::vector<FieldError> errors;
    const auto document = parseDocument(text, name, errors);
    if (!document)
        return leaf::new_error(DocumentError { errors });
    FieldReader reader(*document, name, errors);
    Settings settings;
    settings.host = reader.text("host");
    settings.dataCentre = reader.text("data_centre");
    settings.callers = reader.endpoint("callers");
    settings.peers = reader.endpoint("peers");
    settings.admin = reader.endpoint("admin");
    settings.store = reader.endpoints("store");
    settings.hostList = reader.endpoint("host_list");
    settings.storePrefix = reader.textOr("store_prefix", "/pistachiospur/");
    settings.logFormat = reader.oneOf("log_format", { "human", "json" }, "human");
    const Json limits = document->is_object() ? document->value("limits", Json::object()) : Json::object();
    settings.limits = readLimits(limits, errors);
    reader.markKnown("limits");
    if (errors.empty())
        checkPorts(settings, reader);
    reader.refuseUnknownFields();
    if (!errors.empty())
        return leaf::new_error(DocumentError { errors });
    return settings;
}

leaf::result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return leaf::new_error(FileError { path, errno ? errno : ENOENT });
    std::ostringstream text;
    text << file.rdbuf();
    if (file.bad())
        return leaf::new_error(FileError { path, EIO });
    return text.str();
}

leaf::result<Settings> loadSettings(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    return parseSettings(text, path);
}

} // namespace pistachiospur
