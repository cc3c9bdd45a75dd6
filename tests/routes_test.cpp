#include "routes/routes.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace pistachiospur;

namespace {

PrefixRoute route(const std::string& name, const std::string& prefix)
{
    PrefixRoute it;
    it.name = name;
    it.prefix = prefix;
    it.parts = { { "s", 1 } };
    return it;
}

RoutingTable tableOf(std::vector<PrefixRoute> routes)
{
    RoutingTable table;
    table.hosts["a.example"] = std::move(routes);
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

BOOST_AUTO_TEST_CASE(prefixEndsAtASlash)
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
    PrefixRoute it = route("split", "/a/");
    it.parts.clear();
    const auto n = *rc::gen::inRange(2, 5);
    double total = 0;
    for (int part = 0; part < n; ++part) {
        it.parts.push_back({ "s" + std::to_string(part), static_cast<double>(*rc::gen::inRange(1, 100)) });
        total += it.parts.back().weight;
    }
    SplitState state;
    std::map<ServiceName, int> counts;
    const int requests = *rc::gen::inRange(1, 400);
    for (int n = 0; n < requests; ++n)
        ++counts[chooseService(state, it)];
    for (const auto& part : it.parts)
        RC_ASSERT(std::abs(counts[part.service] - requests * part.weight / total) <= n);
}

BOOST_AUTO_TEST_SUITE_END()
