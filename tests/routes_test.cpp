#include "routes/routes.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace pistachiospur;

namespace {

PrefixRoute route(const std::string& name, const std::string& prefix)
{
    PrefixRoute result;
    result.name = name;
    result.prefix = prefix;
    result.services = { { "s", 1 } };
    return result;
}

RoutingTable tableOf(std::vector<PrefixRoute> routes)
{
    RoutingTable table;
    table.virtualHosts["a.example"] = std::move(routes);
    return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Routes)

BOOST_AUTO_TEST_CASE(longestPrefixWins)
{
    const auto table = tableOf({ route("short", "/a/"), route("long", "/a/b/"), route("root", "/") });
    BOOST_TEST(matchRoute(table, "a.example", "/a/b/c")->name == "long");
    BOOST_TEST(matchRoute(table, "a.example", "/a/bc")->name == "short");
    BOOST_TEST(matchRoute(table, "a.example", "/z")->name == "root");
}

BOOST_AUTO_TEST_CASE(prefixMatchesOnlyWholePathSegments)
{
    const auto table = tableOf({ route("a", "/a/") });
    BOOST_TEST(!matchRoute(table, "a.example", "/a"));
    BOOST_TEST(!matchRoute(table, "a.example", "/ab/"));
}

BOOST_AUTO_TEST_CASE(hostMatchesInAnyCaseAndWithPort)
{
    const auto table = tableOf({ route("a", "/a/") });
    BOOST_TEST(matchRoute(table, "A.Example:8080", "/a/x"));
    BOOST_TEST(!matchRoute(table, "b.example", "/a/x"));
}

RC_BOOST_PROP(splitKeepsEveryPartWithinOneRoundOfItsShare, ())
{
    PrefixRoute split = route("split", "/a/");
    split.services.clear();
    const auto serviceCount = *rc::gen::inRange(2, 5);
    double totalWeight = 0;
    for (int n = 0; n < serviceCount; ++n) {
        split.services.push_back({ "s" + std::to_string(n), static_cast<double>(*rc::gen::inRange(1, 100)) });
        totalWeight += split.services.back().weight;
    }
    SplitState state;
    std::map<ServiceName, int> counts;
    const int requests = *rc::gen::inRange(1, 400);
    for (int n = 0; n < requests; ++n)
        ++counts[chooseService(state, split)];
    for (const auto& it : split.services)
        RC_ASSERT(std::abs(counts[it.service] - requests * it.weight / totalWeight) <= serviceCount);
}

BOOST_AUTO_TEST_SUITE_END()
