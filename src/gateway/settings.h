#pragma once

#include "pistachiospur/errors.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

// Settings of a daemon on a platform whose store keeps the operator's configuration and the upstreams' entries.
namespace pistachiospur {

// Whole-number settings with bounds; one table serves the parser and the operators' page.
struct GatewayLimits {
    std::int64_t holdMs = 0;
    std::int64_t greatestHoldMs = 0;
    std::int64_t renewalIntervalMs = 0;
    std::int64_t orderTimeoutMs = 0;
    std::int64_t ordersPerCore = 0;
    std::int64_t outageMs = 0;
    std::int64_t hostLeaseMs = 0;
    std::int64_t keeperLeaseMs = 0;
    std::int64_t storeTimeoutMs = 0;
    std::int64_t drainMs = 0;
    std::int64_t graceMs = 0;
    std::int64_t queuePerRank = 0;
    std::int64_t retryRatioPercent = 0;
    std::int64_t retrySlack = 0;
    std::int64_t retryWindowMs = 0;
};

struct GatewayOption {
    const char* name;
    std::int64_t GatewayLimits::*field;
    std::int64_t fallback;
    std::int64_t least;
    std::int64_t greatest;
    const char* unit;
    const char* purpose;
};

const std::vector<GatewayOption>& gatewayOptions();

struct GatewaySettings {
    HostName host;
    DataCentreName dataCentre;
    Endpoint callers; // where the balancer sends callers' requests
    Endpoint ready; // where the balancer asks whether this host takes connections
    Endpoint peers; // where other hosts connect
    Endpoint admin; // metrics and status
    Endpoint store;
    std::int64_t processorPercent = 100; // of a core, for this process
    GatewayLimits limits;
};

// True when the settings document is one of a gateway, by its "platform" field.
bool isGatewayDocument(const std::string& text);
boost::leaf::result<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& name);

} // namespace pistachiospur
