#include "platform/upstreams.h"
#include "requests/load.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace pistachiospur;

BOOST_AUTO_TEST_SUITE(ReportsOfLoad)

BOOST_AUTO_TEST_CASE(wellFormedReportsAreRead)
{
    BOOST_CHECK((parseLoad("3,0,8") == UpstreamLoad { 3, 0, 8, 1 }));
    BOOST_CHECK((parseLoad("3, 5, 8, 160") == UpstreamLoad { 3, 5, 8, 1.6 }));
    BOOST_CHECK((parseLoad("0,0,1,100.0") == UpstreamLoad { 0, 0, 1, 1 }));
}

BOOST_AUTO_TEST_CASE(anythingElseIsNoReport)
{
    for (const char* text : { "", ",", "3", "3,0", "3,0,8,100,5", "-1,0,8", "+1,0,8", "3,0,0", "3,0,8,0", "3,0,8,-100",
             "3,0,8,nan", "3,0,8,inf", "3,0,8,1e999", "3,0,8,", "a,b,c", "99999999999999999999,0,8", "1000001,0,8",
             "3.5,0,8", "3;0;8" })
        BOOST_TEST(!parseLoad(text).has_value(), text);
}

// Guards against upstreams that lie about their machine.
BOOST_AUTO_TEST_CASE(workFactorStaysWithinItsBounds)
{
    BOOST_TEST(parseLoad("1,1,1,1e9")->workFactor == kMaxWorkFactor);
    BOOST_TEST(parseLoad("1,1,1,0.0001")->workFactor == kMinWorkFactor);
}

RC_BOOST_PROP(anyTextIsReadOrIgnored, (const std::string& text))
{
    const auto load = parseLoad(text);
    RC_ASSERT(!load || (load->slots > 0 && load->workFactor >= kMinWorkFactor && load->workFactor <= kMaxWorkFactor));
}

BOOST_AUTO_TEST_CASE(noticeHasLoadOfItsOwnAnswerOnly)
{
    const HttpAnswer own { 200, { { "request-id", "r" }, { "backend-load", "1,2,4" } }, "" };
    BOOST_CHECK((platform::readNotice(own, "r", "i-1").load == UpstreamLoad { 1, 2, 4, 1 }));
    BOOST_CHECK(!platform::readNotice(own, "another", "i-1").load);
}

BOOST_AUTO_TEST_CASE(healthHasColdTimeOfItsOwnAnswerOnly)
{
    const auto answerWith = [](HeaderMap headers) {
        headers.insert({ { "request-id", "r" }, { "instance-id", "i-1" } });
        return HttpAnswer { 200, std::move(headers), "" };
    };
    const HttpAnswer cold = answerWith({ { "slow-start-ms", "900" } });
    BOOST_CHECK(platform::readHealth(cold, "r", "i-1") == Millis(900));
    BOOST_CHECK(platform::readHealth(answerWith({}), "r", "i-1") == Millis(0));
    BOOST_CHECK(!platform::readHealth(cold, "another", "i-1"));
    BOOST_CHECK(!platform::readHealth(cold, "r", "i-2"));
    BOOST_CHECK(!platform::readHealth({ 200, { { "slow-start-ms", "900" } }, "" }, "r", "i-1"));
    for (const char* text : { "", "-1", "soon", "99999999999999999999", "1.5" })
        BOOST_TEST(!platform::readHealth(answerWith({ { "slow-start-ms", text } }), "r", "i-1").has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()
