#pragma once

#include "pistachiospur/errors.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

// The daemon's settings: one JSON file that is checked completely before the daemon starts.
namespace pistachiospur {

// Integer settings with bounds. limitOptions() describes them for the parser, `--help_settings` and the operators'
// page.
struct Limits {
    std::int64_t grantTtlMs = 0;
    std::int64_t renewalIntervalMs = 0;
    std::int64_t renewalTimeoutMs = 0;
    std::int64_t heartbeatIntervalMs = 0;
    std::int64_t suspectAfterMs = 0;
    std::int64_t deadAfterMs = 0;
    std::int64_t hostListIntervalMs = 0;
    std::int64_t storeTimeoutMs = 0;
    std::int64_t defaultDeadlineMs = 0;
    std::int64_t idempotencyWindowMs = 0;
    std::int64_t idempotencyEntries = 0;
    std::int64_t clockSkewMs = 0;
    std::int64_t maxBodyBytes = 0;
    std::int64_t queuePerRank = 0;
    std::int64_t stopTimeoutMs = 0;
};

struct LimitOption {
    const char* name;
    std::int64_t Limits::*field;
    std::int64_t defaultValue;
    std::int64_t min;
    std::int64_t max;
    const char* unit;
    const char* purpose;
    bool reloadable; // SIGHUP applies a changed value
};

struct Settings {
    HostName host;
    DataCentreName dataCentre;
    Endpoint callers; // receives callers' requests from the load balancer
    Endpoint peers; // receives connections from other hosts
    Endpoint admin; // serves metrics, health and status
    std::vector<Endpoint> store;
    Endpoint hostList;
    std::string storePrefix;
    std::string logFormat; // "human" or "json"
    Limits limits;
};

const std::vector<LimitOption>& limitOptions();
// All limits at their default values, for tests and benchmarks.
Limits defaultLimits();

// Parses and checks settings. `name` identifies the document in errors.
boost::leaf::result<Settings> parseSettings(const std::string& text, const std::string& name);
boost::leaf::result<Settings> loadSettings(const std::string& path);
// Returns the file's content, or a FileError.
boost::leaf::result<std::string> readFile(const std::string& path);

} // namespace pistachiospur
