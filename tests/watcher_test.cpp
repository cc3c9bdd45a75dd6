#include "gateway/watcher.h"

#include <boost/test/unit_test.hpp>

using namespace pistachiospur;

namespace {

bool everyHost(const HostName&) { return true; }

} // namespace

BOOST_AUTO_TEST_SUITE(ChoiceOfWatchHost)

BOOST_AUTO_TEST_CASE(choosesFirstHostWhoseWatchHasNotFailed)
{
    const std::vector<HostName> order { "a", "b", "c" };
    const std::map<HostName, Millis> failed { { "a", Millis(5000) }, { "b", Millis(4000) } };
    BOOST_TEST(chooseWatchHost(order, everyHost, {}, Millis(0)) == "a");
    BOOST_TEST(chooseWatchHost(order, everyHost, failed, Millis(1000)) == "c");
    BOOST_TEST(chooseWatchHost(order, everyHost, failed, Millis(4000)) == "b");
    BOOST_TEST(chooseWatchHost(order, everyHost, failed, Millis(5000)) == "a");
}

BOOST_AUTO_TEST_CASE(choosesFirstHostWhenEveryWatchHasFailed)
{
    const std::map<HostName, Millis> failed { { "a", Millis(5000) }, { "b", Millis(6000) } };
    BOOST_TEST(chooseWatchHost({ "a", "b" }, everyHost, failed, Millis(1000)) == "a");
    BOOST_TEST(chooseWatchHost({}, everyHost, failed, Millis(1000)) == "");
}

BOOST_AUTO_TEST_CASE(passesOverHostsThatCannotTakeWork)
{
    const auto usable = [](const HostName& host) { return host != "a"; };
    BOOST_TEST(chooseWatchHost({ "a", "b" }, usable, {}, Millis(0)) == "b");
    BOOST_TEST(chooseWatchHost({ "a", "b" }, usable, { { "b", Millis(10) } }, Millis(0)) == "b");
    BOOST_TEST(chooseWatchHost({ "a" }, usable, {}, Millis(0)) == "");
}

BOOST_AUTO_TEST_SUITE_END()
