#pragma once

#include "pistachiospur/errors.h"
#include "pistachiospur/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

// The operator's configuration for a platform whose upstreams own ranges of slots: virtual hosts with routes by path
// prefix, services, and limits on callers' requests. A host replaces its configuration only as a whole,
// so that it never mixes versions.
namespace pistachiospur {

using ConfigVersion = Strong<struct ConfigVersionTag, std::uint64_t>;

// A service that gets a share of a route's traffic.
struct WeightedService {
    ServiceName service;
    double weight = 1; // its share is its weight divided by the sum over the route's services

    friend bool operator==(const WeightedService& a, const WeightedService& b)
    {
        return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
    }
};

struct PrefixRoute {
    std::string name;
    std::string prefix; // begins and ends with a slash
    bool isUsable = true; // false: its requests are refused, because a part of the route cannot be read
    bool idempotent = false; // a request may run more than once
    Millis timeout {}; // from receipt to the final answer
    Millis targetLatency {}; // an answer within this time has its full value to the caller
    RankOrder order = 0; // 0 is the most urgent
    unsigned maxAttempts = 1; // max sends of one request to upstreams
    std::vector<WeightedService> services; // at least one

    friend bool operator==(const PrefixRoute& a, const PrefixRoute& b)
    {
        return std::tie(a.name, a.prefix, a.isUsable, a.idempotent, a.timeout, a.targetLatency, a.order, a.maxAttempts,
                   a.services)
            == std::tie(b.name, b.prefix, b.isUsable, b.idempotent, b.timeout, b.targetLatency, b.order, b.maxAttempts,
                b.services);
    }
};

struct RoutedService {
    ServiceName name;
    std::string healthPath;
    unsigned maxConnections = 0; // accepted by one upstream, from all hosts together
    bool keyed = false; // the request's slot determines the only upstream that may run it
    Millis warmUp {}; // how long an upstream is slow for slots that it received without the previous owner's handover
    double coldPerSecond = 0; // requests a second that a cold upstream takes from all hosts together; 0: no bound

    friend bool operator==(const RoutedService& a, const RoutedService& b)
    {
        return std::tie(a.name, a.healthPath, a.maxConnections, a.keyed, a.warmUp, a.coldPerSecond)
            == std::tie(b.name, b.healthPath, b.maxConnections, b.keyed, b.warmUp, b.coldPerSecond);
    }
};

// Max sizes of a caller's request, and max waits for its header and on an idle connection.
struct CallerLimits {
    std::size_t headerBytes = 16u << 10;
    std::size_t bodyBytes = 1u << 20;
    Millis headerTimeout { 3000 };
    Millis idleTimeout { 15000 };

    friend bool operator==(const CallerLimits& a, const CallerLimits& b)
    {
        return std::tie(a.headerBytes, a.bodyBytes, a.headerTimeout, a.idleTimeout)
            == std::tie(b.headerBytes, b.bodyBytes, b.headerTimeout, b.idleTimeout);
    }
};

struct RoutingTable {
    ConfigVersion version;
    std::map<std::string, std::vector<PrefixRoute>> virtualHosts; // by host name in lower case
    std::map<ServiceName, RoutedService> services;
    CallerLimits limits;
    std::vector<FieldError> faults; // parts that this version cannot read; the others are in force

    friend bool operator==(const RoutingTable& a, const RoutingTable& b)
    {
        return std::tie(a.version, a.virtualHosts, a.services, a.limits)
            == std::tie(b.version, b.virtualHosts, b.services, b.limits);
    }
};

// Returns the virtual host's route with the longest prefix of the path, or null if none matches. `host` is compared
// without regard to case and may include a port.
const PrefixRoute* matchRoute(const RoutingTable&, const std::string& host, const std::string& path);

// State of the smooth weighted round robin over the services of each route with more than one. Over any run of requests
// the number that each service gets differs from its share by at most the number of services.
struct SplitState {
    std::map<std::string, std::map<ServiceName, double>> credit; // by route name
};
// Chooses the service for the route's next request.
const ServiceName& chooseService(SplitState&, const PrefixRoute&);

} // namespace pistachiospur
