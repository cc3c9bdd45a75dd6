#include "observe/explain.h"

#include <boost/test/unit_test.hpp>

using namespace pistachiospur;

BOOST_AUTO_TEST_SUITE(Explain)

BOOST_AUTO_TEST_CASE(linesOfRequestAndEarlierChangesOfItsSlotAndUpstreamAreSortedByTimeOverAllHosts)
{
    const std::string frontendLog
        = "  3.2 h1 {\"at\":3200,\"event\":\"request\",\"request\":\"r1\",\"service\":\"s\",\"slot\":7}\n"
          "noise\n{\"at\":3100,\"event\":\"request\",\"request\":\"r2\",\"slot\":7}\n{broken";
    const std::string leaderLog
        = "{\"at\":2000,\"event\":\"range_cleared\",\"service\":\"s\",\"first\":0,\"last\":9}\n"
          "{\"at\":2001,\"event\":\"range_cleared\",\"service\":\"s\",\"first\":10,\"last\":19}\n"
          "{\"at\":2002,\"event\":\"range_cleared\",\"service\":\"t\",\"first\":0,\"last\":9}\n"
          "{\"at\":9000,\"event\":\"range_cleared\",\"service\":\"s\",\"first\":0,\"last\":9}\n"
          "{\"at\":2500,\"event\":\"upstream_entry_gone\",\"upstream\":\"u\"}\n"
          "{\"at\":3000,\"event\":\"upstream_failed\",\"request\":\"r1\",\"upstream\":\"u\"}\n";
    const auto lines = explainRequest("r1", { frontendLog, leaderLog });
    BOOST_REQUIRE(lines.size() == 4u);
    BOOST_TEST(lines[0].find("2000") != std::string::npos);
    BOOST_TEST(lines[1].find("upstream_entry_gone") != std::string::npos);
    BOOST_TEST(lines[2].find("upstream_failed") != std::string::npos);
    BOOST_TEST(lines[3].find("3200") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(unknownRequestGivesNoLines)
{
    BOOST_TEST(explainRequest("r9", { "{\"at\":1,\"event\":\"start\"}\n" }).empty());
}

BOOST_AUTO_TEST_SUITE_END()
