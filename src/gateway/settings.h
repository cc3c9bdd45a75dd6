#pragma once

#include "pistachiospur/errors.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

// Settings of a daemon on a platform whose store holds the operator's configuration and the upstreams' entries.
namespace pistachiospur {

// Settings with bounds, described by gatewayOptions(). See there for each setting's meaning.
struct GatewayLimits {
    std::int64_t grantTtlMs = 0;
    std::int64_t maxGrantTtlMs = 0;
    std::int64_t renewalIntervalMs = 0;
    std::int64_t orderTimeoutMs = 0;
    std::int64_t ordersPerCore = 0;
    std::int64_t outageMs = 0;
    std::int64_t hostLeaseMs = 0;
    std::int64_t leaderLeaseMs = 0;
    std::int64_t storeTimeoutMs = 0;
    std::int64_t drainMs = 0;
    std::int64_t changeMs = 0;
    std::int64_t upstreamHeartbeatMs = 0;
    std::int64_t graceMs = 0;
    std::int64_t queuePerRank = 0;
    std::int64_t retrySlack = 0;
    std::int64_t retryWindowMs = 0;
    std::int64_t memoryMb = 0;
    std::int64_t descriptors = 0;
    std::int64_t upstreamMb = 0;
    std::int64_t bodyMs = 0;
    std::int64_t quietMs = 0;
    std::int64_t doorConnections = 0;
    std::int64_t doorIdleMs = 0;
    std::int64_t judgedMoves = 0;
    std::int64_t coldSlack = 0;
    std::int64_t evacuateMs = 0;
    double retryRatio = 0.2; // retries allowed for a service as a part of its requests; "retry_ratio" under "limits"
    // Requests that a cold upstream gets in any second: at most the service's rate times this, plus coldSlack;
    // "cold_over" under "limits".
    double coldOver = 1;
};

// One whole-number setting under "limits" in the settings document. A value with a fraction is rounded down, because
// the platform's bounds may have fractions. A time may be given in seconds instead, under the name that ends in "_s".
struct GatewayOption {
    const char* name;
    std::int64_t GatewayLimits::*field;
    std::int64_t defaultValue;
    std::int64_t min;
    std::int64_t max;
    const char* unit;
    const char* purpose;
};

// All whole-number settings. The parser and the operators' page both use this table.
const std::vector<GatewayOption>& gatewayOptions();

struct GatewaySettings {
    HostName host;
    DataCentreName dataCentre;
    Endpoint callers; // listens for callers' requests, which the load balancer forwards
    Endpoint ready; // listens for the load balancer's readiness checks
    Endpoint peers; // listens for connections of other hosts
    Endpoint admin; // listens for metrics and status requests
    Endpoint store; // address of the platform's store
    std::int64_t processorPercent = 100; // processor time for this process, in percent of one core
    // The whole site starts for the first time, so no leader can have granted anything before.
    bool firstStart = true;
    GatewayLimits limits;
};

// True when the settings document has a "platform" field and so configures a gateway.
bool isGatewayDocument(const std::string& text);
// Parses and checks a settings document. `name` identifies it in error messages; a DocumentError lists every fault.
boost::leaf::result<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& name);

} // namespace pistachiospur
