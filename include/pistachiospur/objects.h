#pragma once

#include "pistachiospur/errors.h"
#include "pistachiospur/types.h"

#include <map>
#include <string>
#include <vector>

// The operators' configuration: named objects that refer to one another, published together as one revision.
namespace pistachiospur {

// A priority class of requests with its service-level objective.
struct Rank {
    RankName name;
    RankOrder order = 0; // 0 is the most urgent
    Millis target {}; // max latency of an answer that counts as good
    double objective = 0; // fraction of requests that must be good
    double share = 0; // fraction of each upstream's work that is guaranteed to the rank while other ranks overload it

    friend bool operator==(const Rank& a, const Rank& b)
    {
        return std::tie(a.name, a.order, a.target, a.objective, a.share)
            == std::tie(b.name, b.order, b.target, b.objective, b.share);
    }
};

// How a service handles the requests that match a method and a prefix of the path after the key.
struct Route {
    std::string method; // "*" matches any
    std::string path; // prefix
    RankName rank;
    bool idempotent = false;

    friend bool operator==(const Route& a, const Route& b)
    {
        return std::tie(a.method, a.path, a.rank, a.idempotent) == std::tie(b.method, b.path, b.rank, b.idempotent);
    }
};

enum class ServiceMode {
    keyed, // the key in the path selects the owner
    pooled, // any upstream may serve; the idempotency key selects one, so that resends reach the same idempotency cache
};

struct Service {
    ServiceName name;
    ServiceMode mode = ServiceMode::keyed;
    std::uint32_t slots = 0;
    std::vector<Route> routes; // first match wins

    friend bool operator==(const Service& a, const Service& b)
    {
        return std::tie(a.name, a.mode, a.slots, a.routes) == std::tie(b.name, b.mode, b.slots, b.routes);
    }
};

// One server of a service.
struct Upstream {
    UpstreamName name;
    DataCentreName dataCentre;
    Endpoint endpoint;
    std::uint32_t slots = 0; // max requests that it runs concurrently
    std::uint32_t connections = 0;
    bool draining = false; // its keys move to other upstreams and it gets no new work

    friend bool operator==(const Upstream& a, const Upstream& b)
    {
        return std::tie(a.name, a.dataCentre, a.endpoint, a.slots, a.connections, a.draining)
            == std::tie(b.name, b.dataCentre, b.endpoint, b.slots, b.connections, b.draining);
    }
};

// What a data centre does with its keys while it cannot reach the store.
enum class WhenCutOff { keep, release };

// Which upstreams own the keys of a service.
struct Placement {
    std::string name;
    ServiceName service;
    std::vector<UpstreamName> upstreams;
    std::vector<DataCentreName> dataCentres; // empty: all
    WhenCutOff whenCutOff = WhenCutOff::keep;

    friend bool operator==(const Placement& a, const Placement& b)
    {
        return std::tie(a.name, a.service, a.upstreams, a.dataCentres, a.whenCutOff)
            == std::tie(b.name, b.service, b.upstreams, b.dataCentres, b.whenCutOff);
    }
};

// A complete, checked set of objects by name.
struct Configuration {
    std::map<RankName, Rank> ranks;
    std::map<ServiceName, Service> services;
    std::map<UpstreamName, Upstream> upstreams;
    std::map<std::string, Placement> placements;

    friend bool operator==(const Configuration& a, const Configuration& b)
    {
        return std::tie(a.ranks, a.services, a.upstreams, a.placements)
            == std::tie(b.ranks, b.services, b.upstreams, b.placements);
    }
};

// The first route that matches the method and path; null if there is none.
const Route* findRoute(const Service&, const std::string& method, const std::string& path);
// The placement of a service; null if it has none.
const Placement* placementOf(const Configuration&, const ServiceName&);
// Names of the placement's upstreams that may own keys: those in its data centres that are not draining.
std::vector<UpstreamName> eligibleUpstreams(const Configuration&, const Placement&);

} // namespace pistachiospur
