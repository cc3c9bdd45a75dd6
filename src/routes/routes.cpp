#include "routes.h"

#include <algorithm>

namespace pistachiospur {

namespace {

std::string normalizedHost(const std::string& host)
{
    std::string name = host.substr(0, host.rfind(':'));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char n) { return std::tolower(n); });
    return name;
}

} // namespace

const PrefixRoute* matchRoute(const RoutingTable& table, const std::string& host, const std::string& path)
{
    const auto found = table.hosts.find(normalizedHost(host));
    if (found == table.hosts.end())
        return nullptr;
    const PrefixRoute* longest = nullptr;
    for (const auto& it : found->second) {
        if (path.compare(0, it.prefix.size(), it.prefix) == 0
            && (!longest || it.prefix.size() > longest->prefix.size()))
            longest = &it;
    }
    return longest;
}

const ServiceName& chooseService(SplitState& state, const PrefixRoute& route)
{
    if (route.parts.size() == 1)
        return route.parts.front().service;
    auto& credit = state.credit[route.name];
    double total = 0;
    const RoutePart* chosen = nullptr;
    for (const auto& it : route.parts) {
        total += it.weight;
        credit[it.service] += it.weight;
        if (!chosen || credit[it.service] > credit[chosen->service])
            chosen = &it;
    }
    credit[chosen->service] -= total;
    return chosen->service;
}

} // namespace pistachiospur
