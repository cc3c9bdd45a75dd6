#include "platform/callers.h"
#include "platform/configuration.h"
#include "platform/upstreams.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace pistachiospur;
namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

Json validConfiguration()
{
    return Json::parse(R"({"version":"0000000c",
        "services":[{"name":"a","health-path":"/health","max-conns":130,"sharded":true,"warm-s":5.0},{"name":"b"}],
        "limits":{"max-header-bytes":16384,"max-body-bytes":1000,"header-timeout-ms":3000,"idle-timeout-ms":15000},
        "virtual-hosts":[{"hostname":"F.example","path-matches":[
            {"name":"r1","path-prefix":"/x/","route-type":"safe","timeout-ms":1000.0,"target-latency-ms":500,
             "priority":1,"max-attempts":2,"traffic-split":[{"service":"a","weight":90},{"service":"b","weight":10}]},
            {"name":"r2","path-prefix":"/y/","route-type":"unsafe","timeout-ms":1200,"service":"b"}]}]})");
}

// The field of the first fault; empty if decoding succeeds.
template <typename Decode> std::string faultyField(Decode decode)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(decode());
            return std::string();
        },
        [](const DocumentError& error) { return error.faults.empty() ? "document" : error.faults.front().field; },
        [] { return std::string("unknown"); });
}

// The decoded configuration; nothing if it is refused as a whole.
std::optional<RoutingTable> decoded(const Json& document)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<RoutingTable>> {
            BOOST_LEAF_AUTO(table, platform::decodeConfiguration(document.dump()));
            return std::optional(std::move(table));
        },
        []() -> std::optional<RoutingTable> { return std::nullopt; });
}

// The field of the first fault, whether it costs one part or the whole configuration; empty if there is none.
std::string configurationFault(const Json& document)
{
    if (const auto table = decoded(document))
        return table->faults.empty() ? "" : table->faults.front().field;
    return faultyField([&] { return platform::decodeConfiguration(document.dump()); });
}

// A random value that a field may not expect.
Json randomValue()
{
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::inRange(-5, 100000);
    case 3:
        return *rc::gen::inRange(-5, 1000) / 7.0;
    case 4:
        return "word";
    case 5:
        return Json::array({ 1, "two", nullptr });
    case 6:
        return Json { { "service", 1 }, { "new", true } };
    default:
        return 1e300;
    }
}

std::string entryFault(const std::string& text)
{
    return faultyField([&] { return platform::decodeUpstream("i-1", text); });
}

const std::string kValidEntry = R"({"service":"a","address":"10.0.0.1:80","zone":"z","version":"v1","slots":2,
    "state":"ready","warmup-left-ms":0,"sequence":4,"born":1700000000000})";

Request sampleRequest()
{
    Request request;
    request.method = "POST";
    request.target = "/x/../a?b=%2f";
    request.headers = { { "host", "f.example" }, { "request-id", "r1" }, { "deadline-ms", "9000" },
        { "connection", "keep-alive" }, { "x-other", "1" }, { "shard-key", "7" } };
    request.body = "body";
    return request;
}

HttpAnswer answerFor(const Request& request, int status)
{
    return { status, { { "request-id", request.headers.at("request-id") }, { "server-seal", "s" } }, "whole" };
}

std::string headerIn(const HttpCall& call, const std::string& name)
{
    for (const auto& [n, value] : call.headers) {
        if (n == name)
            return value;
    }
    return "absent";
}

RefusalReason reasonOf(const Reply& reply) { return std::get<Refusal>(reply).reason; }

} // namespace

BOOST_AUTO_TEST_SUITE(Translation)

BOOST_AUTO_TEST_CASE(validConfigurationIsDecodedCompletely)
{
    const auto table = leaf::try_handle_all(
        [] { return platform::decodeConfiguration(validConfiguration().dump()); }, [] { return RoutingTable {}; });
    BOOST_TEST(table.version.value == 12u);
    BOOST_TEST(table.services.at("a").keyed);
    BOOST_TEST(!table.services.at("b").keyed);
    const auto& routes = table.virtualHosts.at("f.example");
    BOOST_TEST(routes.size() == 2u);
    BOOST_TEST(routes[0].idempotent);
    BOOST_TEST((routes[0].timeout == Millis(1000)));
    BOOST_TEST(routes[0].services.size() == 2u);
    BOOST_TEST(!routes[1].idempotent);
    BOOST_TEST((routes[1].targetLatency == Millis(1200)));
    BOOST_TEST(routes[1].maxAttempts == 1u);
}

BOOST_AUTO_TEST_CASE(errorForAnInvalidConfigurationNamesTheField)
{
    BOOST_TEST(configurationFault(Json::array()) == "document");
    Json document = validConfiguration();
    document["version"] = "12";
    BOOST_TEST(configurationFault(document) == "version");
    document = validConfiguration();
    document["virtual-hosts"][0]["path-matches"][1]["service"] = "nobody";
    BOOST_TEST(configurationFault(document) == "service");
    document = validConfiguration();
    document["virtual-hosts"][0]["path-matches"][0]["path-prefix"] = "x/";
    BOOST_TEST(configurationFault(document) == "path-prefix");
    document = validConfiguration();
    document["virtual-hosts"][0]["path-matches"][0]["traffic-split"][0]["weight"] = -1;
    BOOST_TEST(configurationFault(document) == "traffic-split");
    document = validConfiguration();
    document["virtual-hosts"][0]["path-matches"][0].erase("timeout-ms");
    BOOST_TEST(configurationFault(document) == "timeout-ms");
    BOOST_TEST(configurationFault(validConfiguration()) == "");
}

BOOST_AUTO_TEST_CASE(partThatCannotBeReadCostsThatPartAlone)
{
    const auto routesOf = [](const Json& document) { return decoded(document)->virtualHosts.at("f.example"); };
    Json document = validConfiguration();
    auto& routes = document["virtual-hosts"][0]["path-matches"];
    // A kind of route that this version does not know may run once at most.
    routes[0]["route-type"] = "teleport";
    BOOST_TEST(configurationFault(document) == "route-type");
    BOOST_TEST(!routesOf(document)[0].idempotent);
    BOOST_TEST(routesOf(document)[0].isUsable);
    routes[0]["route-type"] = "upload";
    BOOST_TEST(configurationFault(document) == "");
    BOOST_TEST(!routesOf(document)[0].idempotent);
    // A route that leads nowhere is refused, the other is served.
    routes[0]["traffic-split"][0]["service"] = "nobody";
    BOOST_TEST(!routesOf(document)[0].isUsable);
    BOOST_TEST(routesOf(document)[1].isUsable);
    // A route without a readable prefix is left out.
    routes[0]["path-prefix"] = 7;
    BOOST_TEST(routesOf(document).size() == 1u);
    // Fields that this version does not know are no fault.
    document = validConfiguration();
    document["new"] = 1;
    document["services"][0]["new"] = "x";
    document["virtual-hosts"][0]["new"] = Json::array();
    BOOST_TEST(configurationFault(document) == "");
    // Limits that cannot be read have defaults.
    document["limits"]["max-body-bytes"] = "many";
    BOOST_TEST(configurationFault(document) == "max-body-bytes");
    BOOST_TEST(decoded(document)->limits.headerBytes == 16384u);
    BOOST_TEST(decoded(document)->limits.bodyBytes == CallerLimits {}.bodyBytes);
}

RC_BOOST_PROP(configurationWithRandomFieldsIsReadAndItsOtherRoutesAreServed, ())
{
    Json document = validConfiguration();
    auto& host = document["virtual-hosts"][0];
    host["path-matches"].push_back(host["path-matches"][1]);
    host["path-matches"][2]["path-prefix"] = "/z/";
    // Faults in the first two routes, the first service, the limits and unknown fields; the third route stays as it is.
    const std::vector<std::pair<Json::json_pointer, std::vector<std::string>>> places = {
        { Json::json_pointer("/virtual-hosts/0/path-matches/0"),
            { "name", "path-prefix", "route-type", "timeout-ms", "target-latency-ms", "priority", "max-attempts",
                "traffic-split", "service", "new" } },
        { Json::json_pointer("/virtual-hosts/0/path-matches/1"), { "path-prefix", "service", "timeout-ms", "new" } },
        { Json::json_pointer("/services/0"), { "name", "health-path", "max-conns", "sharded", "warm-s", "new" } },
        { Json::json_pointer("/limits"), { "max-header-bytes", "max-body-bytes", "idle-timeout-ms", "new" } },
    };
    for (int n = *rc::gen::inRange(1, 6); n > 0; --n) {
        const auto& [place, fields] = *rc::gen::elementOf(places);
        document[place][*rc::gen::elementOf(fields)] = randomValue();
    }
    const auto table = decoded(document);
    RC_ASSERT(table.has_value());
    const auto* route = matchRoute(*table, "f.example", "/z/1");
    RC_ASSERT(route && route->isUsable && !route->idempotent);
    RC_ASSERT(route->services.front().service == "b");
    for (const auto& it : table->virtualHosts.at("f.example")) {
        for (const auto& part : it.services)
            RC_ASSERT(!it.isUsable || table->services.count(part.service));
    }
}

RC_BOOST_PROP(upstreamEntryWithRandomFieldsIsReadOrRefused, ())
{
    Json entry = Json::parse(kValidEntry);
    for (const char* field : { "service", "address", "zone", "slots", "state", "born", "warmup-left-ms", "new" }) {
        if (*rc::gen::inRange(0, 3) == 0)
            entry[field] = randomValue();
    }
    entryFault(entry.dump()); // must not throw
}

BOOST_AUTO_TEST_CASE(errorForAnInvalidUpstreamEntryNamesTheField)
{
    BOOST_TEST(entryFault(kValidEntry) == "");
    BOOST_TEST(entryFault("\xff\xfe") != "");
    for (const char* field : { "service", "address", "zone", "slots", "state", "born" }) {
        Json entry = Json::parse(kValidEntry);
        entry.erase(field);
        BOOST_TEST(entryFault(entry.dump()) == field);
        entry[field] = Json::array();
        BOOST_TEST(entryFault(entry.dump()) == field);
    }
    Json entry = Json::parse(kValidEntry);
    entry["state"] = "asleep";
    BOOST_TEST(entryFault(entry.dump()) == "state");
}

BOOST_AUTO_TEST_CASE(requestIsSentUnchangedWithTargetInstanceAndRemainingTime)
{
    const UpstreamInstance instance { { "i-1", { 5 } }, "a", { "10.0.0.1", 80 }, "z", 2, false, {} };
    const HttpCall call = platform::requestCall(instance, sampleRequest(), Millis(700));
    BOOST_TEST(call.target == "/x/../a?b=%2f");
    BOOST_TEST(call.body == "body");
    BOOST_TEST(headerIn(call, "request-id") == "r1");
    BOOST_TEST(headerIn(call, "x-other") == "1");
    BOOST_TEST(headerIn(call, "connection") == "absent");
    BOOST_TEST(headerIn(call, "deadline-ms") == "absent");
    BOOST_TEST(headerIn(call, "Deadline-Ms") == "700");
    BOOST_TEST(headerIn(call, "Target-Instance") == "i-1");
    BOOST_TEST(call.freshConnection); // libcurl resends requests on reused connections by itself
}

BOOST_AUTO_TEST_CASE(onlyACompleteSealedAnswerWithTheRequestsIdIsAccepted)
{
    const Request request = sampleRequest();
    BOOST_TEST(std::holds_alternative<Answer>(platform::interpretAnswer(answerFor(request, 200), request, "i-1")));
    HttpAnswer answer = answerFor(request, 200);
    answer.headers.erase("server-seal");
    BOOST_TEST((reasonOf(platform::interpretAnswer(answer, request, "i-1")) == RefusalReason::upstreamBroken));
    answer = answerFor(request, 200);
    answer.headers["request-id"] = "another";
    BOOST_TEST((reasonOf(platform::interpretAnswer(answer, request, "i-1")) == RefusalReason::upstreamBroken));
    answer = answerFor(request, 200);
    answer.headers["content-encoding"] = "gzip";
    BOOST_TEST((reasonOf(platform::interpretAnswer(answer, request, "i-1")) == RefusalReason::upstreamBroken));
    answer = answerFor(request, 500);
    BOOST_TEST(std::holds_alternative<Answer>(platform::interpretAnswer(answer, request, "i-1")));
}

// Guards against what another upstream, or the answer to another request, says being taken for the upstream's word.
BOOST_AUTO_TEST_CASE(noticesAreReadOnlyFromTheUpstreamsOwnAnswers)
{
    const auto isLeaving = [](int status, HeaderMap headers) {
        headers.emplace("server-leaving", "1");
        return platform::readNotice({ status, std::move(headers), "" }, "r1", "i-1").isLeaving;
    };
    for (const int status : { 200, 429, 500, 503 }) {
        BOOST_TEST(isLeaving(status, { { "request-id", "r1" } }));
        BOOST_TEST(isLeaving(status, {}));
        BOOST_TEST(!isLeaving(status, { { "request-id", "r0" } }));
        BOOST_TEST(!isLeaving(status, { { "instance-id", "i-2" } }));
    }
    BOOST_TEST(!isLeaving(421, { { "request-id", "r1" } }));
    BOOST_TEST(!isLeaving(421, { { "instance-id", "i-2" } }));
    BOOST_TEST(isLeaving(421, { { "instance-id", "i-1" } }));
    for (const char* text : { "", "0", "true", "11" }) {
        const HttpAnswer answer { 200, { { "server-leaving", text } }, "" };
        BOOST_TEST(!platform::readNotice(answer, "r1", "i-1").isLeaving);
    }
}

BOOST_AUTO_TEST_CASE(onlyAnswersOfUnavailableUpstreamsAskForAPause)
{
    const auto pauseOf = [](int status, const char* text) {
        return platform::readNotice({ status, { { "retry-after", text } }, "" }, "r1", "i-1").pause.count();
    };
    BOOST_TEST(pauseOf(503, "1.5") == 1500);
    BOOST_TEST(pauseOf(503, "0") == 0);
    BOOST_TEST(pauseOf(503, "later") == 0);
    BOOST_TEST(pauseOf(429, "1.5") == 0);
    BOOST_TEST(pauseOf(200, "1.5") == 0);
}

BOOST_AUTO_TEST_CASE(refusalStatesNotRunOnlyIfTheUpstreamOrTheSocketProvesIt)
{
    const Request request = sampleRequest();
    const auto ranAfter = [&](HttpOutcome outcome) {
        return std::get<Refusal>(platform::interpretAnswer(std::move(outcome), request, "i-1")).ran;
    };
    BOOST_TEST((ranAfter(HttpFailure { HttpFault::notSent }) == Ran::no));
    BOOST_TEST((ranAfter(HttpFailure { HttpFault::broken }) == Ran::unknown));
    BOOST_TEST((ranAfter(HttpFailure { HttpFault::timeout }) == Ran::unknown));
    BOOST_TEST((ranAfter(HttpAnswer { 503, { { "not-executed", "1" } }, "" }) == Ran::no));
    BOOST_TEST((ranAfter(HttpAnswer { 421, {}, "" }) == Ran::no));
    const auto misdirected = [&](const char* instance) {
        return reasonOf(
            platform::interpretAnswer(HttpAnswer { 421, { { "instance-id", instance } }, "" }, request, "i-1"));
    };
    BOOST_TEST((misdirected("i-1") == RefusalReason::upstreamNotOwner));
    BOOST_TEST((misdirected("i-2") == RefusalReason::upstreamReplaced));
    BOOST_TEST((platform::refusalResponse(notRun(RefusalReason::queueFull, Millis(250))).status == 503));
    BOOST_TEST((platform::refusalResponse(maybeRun(RefusalReason::upstreamShed)).status == 502));
    BOOST_TEST((platform::refusalResponse(maybeRun(RefusalReason::upstreamTimeout)).status == 504));
    BOOST_TEST((platform::refusalResponse(notRun(RefusalReason::noRoute)).status == 404));
    for (int reason = 0; reason < static_cast<int>(RefusalReason::count); ++reason) {
        const int status = platform::refusalResponse(maybeRun(static_cast<RefusalReason>(reason))).status;
        BOOST_TEST((status != 503 && status != 429 && status != 408 && status != 421));
    }
}

BOOST_AUTO_TEST_CASE(orderOutcomeIsUnansweredUnlessTheStatusProvesMore)
{
    const auto verdict = [](int status) { return platform::interpretGrant(HttpAnswer { status, {}, "" }, "7"); };
    BOOST_TEST((verdict(200) == OrderVerdict::done));
    BOOST_TEST((verdict(409) == OrderVerdict::outdatedFence));
    BOOST_TEST((verdict(421) == OrderVerdict::otherInstance));
    BOOST_TEST((verdict(400) == OrderVerdict::refused));
    BOOST_TEST((verdict(500) == OrderVerdict::unanswered));
    BOOST_TEST((platform::interpretGrant(HttpFailure { HttpFault::notSent }, "7") == OrderVerdict::notSent));
    BOOST_TEST((platform::interpretGrant(HttpFailure { HttpFault::timeout }, "7") == OrderVerdict::unanswered));
    const auto released = platform::interpretRelease(HttpAnswer { 200, { { "handover", "abc" } }, "" }, "7");
    BOOST_TEST((released.verdict == OrderVerdict::done && released.handover == "abc"));
}

BOOST_AUTO_TEST_CASE(secondAnswerToAnEarlierOrderProvesNothingAboutALaterOne)
{
    const HttpAnswer late { 200, { { "request-id", "6" }, { "handover", "abc" } }, "" };
    BOOST_TEST((platform::interpretGrant(late, "6") == OrderVerdict::done));
    BOOST_TEST((platform::interpretGrant(late, "7") == OrderVerdict::unanswered));
    BOOST_TEST((platform::interpretRelease(late, "7").verdict == OrderVerdict::unanswered));
    const UpstreamInstance upstream { { "i-1", { 5 } }, "a", { "10.0.0.1", 80 }, "z", 2, false, {} };
    BOOST_TEST(
        headerIn(platform::grantCall(upstream, { { 0 }, { 1 }, { 3 }, Millis(100), "", "7" }), "Request-Id") == "7");
    BOOST_TEST(platform::releaseCall(upstream, { { 0 }, { 1 }, { 3 }, "7" }).freshConnection);
}

BOOST_AUTO_TEST_SUITE_END()
