#pragma once

#include "pistachiospur/errors.h"
#include "pistachiospur/types.h"

#include <map>
#include <string>
#include <vector>

// The operators' configuration: named objects that refer to one another, published together as one revision.
namespace pistachiospur {

// A class of urgency with its service target.
struct Rank {
    RankName name;
    RankOrder order = 0; // 0 is the most urgent
    Millis target {}; // latency within which an answer counts as good
    double objective = 0; // fraction of requests that must be good
    double share = 0; // fraction of each upstream's work that the rank keeps when others flood it

    friend bool operator==(const Rank& a, const Rank& b)
    {
        return std::tie(a.name, a.order, a.target, a.objective, a.share)
            == std::tie(b.name, b.order, b.target, b.objective, b.share);
    }
};

// How one kind of request of a service is handled: matched by method and by the path after the key.
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
    pooled, // any upstream may serve; the idempotency key selects it, so that resends meet the same memory
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
    std::uint32_t slots = 0; // requests that it runs at once
    std::uint32_t connections = 0;
    bool draining = false; // its keys move away and it gets no new work

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

// A whole, checked set of objects by name.
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

// The route that a method and path take; null when the service has none for them.
const Route* findRoute(const Service&, const std::string& method, const std::string& path);
// The placement of a service; null when it has none.
const Placement* placementOf(const Configuration&, const ServiceName&);
// Names of the upstreams that may own keys of the placement: in its data centres and not draining.
std::vector<UpstreamName> eligibleUpstreams(const Configuration&, const Placement&);

} // namespace pistachiospur
