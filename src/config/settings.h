#pragma once

#include "pistachiospur/errors.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

// The daemon's settings: one JSON file, checked as a whole before anything starts.
namespace pistachiospur {

// Whole-number settings with bounds. The parser, `--help_settings` and the operators' page come from this table.
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
    std::int64_t fallback;
    std::int64_t least;
    std::int64_t greatest;
    const char* unit;
    const char* purpose;
    bool reloadable; // SIGHUP applies it
};

struct Settings {
    HostName host;
    DataCentreName dataCentre;
    Endpoint callers; // where the balancer sends callers' requests
    Endpoint peers; // where other hosts connect
    Endpoint admin; // metrics, health, status
    std::vector<Endpoint> store;
    Endpoint hostList;
    std::string storePrefix;
    std::string logFormat; // "human" or "json"
    Limits limits;
};

const std::vector<LimitOption>& limitOptions();
// The limits with every default, as for tests and benchmarks.
Limits defaultLimits();

// Reads and checks settings text. `name` stands in errors for the document.
boost::leaf::result<Settings> parseSettings(const std::string& text, const std::string& name);
boost::leaf::result<Settings> loadSettings(const std::string& path);
// The whole file's text, or a FileError.
boost::leaf::result<std::string> readFile(const std::string& path);

} // namespace pistachiospur
