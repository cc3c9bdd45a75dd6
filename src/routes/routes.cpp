#include "routes.h"

#include <algorithm>

namespace pistachiospur {

namespace {

std::string normalizedHost(const std::string& host)
{
    std::string name = host.substr(0, host.rfind(':'));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    return name;
}

} // namespace

const PrefixRoute* matchRoute(const RoutingTable& table, const std::string& host, const std::string& path)
{
    const auto found = table.virtualHosts.find(normalizedHost(host));
    if (found == table.virtualHosts.end())
        return nullptr;
    const PrefixRoute* longest = nullptr;
    for (const auto& route : found->second) {
        if (path.compare(0, route.prefix.size(), route.prefix) == 0
            && (!longest || route.prefix.size() > longest->prefix.size()))
            longest = &route;
    }
    return longest;
}

const ServiceName& chooseService(SplitState& state, const PrefixRoute& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    auto& credit = state.credit[route.name];
    double totalWeight = 0;
    const WeightedService* chosen = nullptr;
    for (const auto& candidate : route.services) {
        totalWeight += candidate.weight;
        credit[candidate.service] += candidate.weight;
        if (!chosen || credit[candidate.service] > credit[chosen->service])
            chosen = &candidate;
    }
    credit[chosen->service] -= totalWeight;
    return chosen->service;
}

} // namespace pistachiospur
