#pragma once

#include "pistachiospur/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

// The operator's configuration of a site whose upstreams take ranges of slots: virtual hosts with routes by path
// prefix, services, and what callers may send. One version of it is in force as a whole.
namespace pistachiospur {

using ConfigVersion = Strong<struct ConfigVersionTag, std::uint64_t>;

// One service of a split route.
struct RoutePart {
    ServiceName service;
    double weight = 1;

    friend bool operator==(const RoutePart& a, const RoutePart& b)
    {
        return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
    }
};

struct PrefixRoute {
    std::string name;
    std::string prefix; // begins and ends with a slash
    bool idempotent = false; // requests may run more than once
    Millis timeout {}; // a request has its final answer by then
    Millis target {}; // latency within which an answer counts in full
    RankOrder order = 0; // 0 is the most urgent
    unsigned maxAttempts = 1; // upstreams that one request may be sent to
    std::vector<RoutePart> parts; // at least one

    friend bool operator==(const PrefixRoute& a, const PrefixRoute& b)
    {
        return std::tie(a.name, a.prefix, a.idempotent, a.timeout, a.target, a.order, a.maxAttempts, a.parts)
            == std::tie(b.name, b.prefix, b.idempotent, b.timeout, b.target, b.order, b.maxAttempts, b.parts);
    }
};

struct RoutedService {
    ServiceName name;
    std::string healthPath;
    unsigned maxConnections = 0; // that one upstream accepts from all hosts together
    bool keyed = false; // a request's slot selects the only upstream that may run it
    Millis warmUp {}; // how long slots are slow that come without the last owner's memory

    friend bool operator==(const RoutedService& a, const RoutedService& b)
    {
        return std::tie(a.name, a.healthPath, a.maxConnections, a.keyed, a.warmUp)
            == std::tie(b.name, b.healthPath, b.maxConnections, b.keyed, b.warmUp);
    }
};

struct CallerLimits {
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    Millis headerTimeout {};
    Millis idleTimeout {};

    friend bool operator==(const CallerLimits& a, const CallerLimits& b)
    {
        return std::tie(a.headerBytes, a.bodyBytes, a.headerTimeout, a.idleTimeout)
            == std::tie(b.headerBytes, b.bodyBytes, b.headerTimeout, b.idleTimeout);
    }
};

struct RoutingTable {
    ConfigVersion version;
    std::map<std::string, std::vector<PrefixRoute>> hosts; // by host name in lower case
    std::map<ServiceName, RoutedService> services;
    CallerLimits limits;

    friend bool operator==(const RoutingTable& a, const RoutingTable& b)
    {
        return std::tie(a.version, a.hosts, a.services, a.limits) == std::tie(b.version, b.hosts, b.services, b.limits);
    }
};

// The route of a host with the longest prefix that begins the path; null when there is none. The host may be in any
// case and may carry a port.
const PrefixRoute* matchRoute(const RoutingTable&, const std::string& host, const std::string& path);

// Smooth weighted round robin over the parts of split routes: over any run of requests each part's count stays within
// one of its share.
struct SplitState {
    std::map<std::string, std::map<ServiceName, double>> credit; // by route name
};
const ServiceName& chooseService(SplitState&, const PrefixRoute&);

} // namespace pistachiospur
