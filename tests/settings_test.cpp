#include "gateway/settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <optional>

using namespace pistachiospur;
namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

Json validSettings()
{
    return { { "platform", "kv" }, { "host", "h" }, { "data_centre", "z" }, { "callers", "10.0.0.1:1" },
        { "ready", "10.0.0.1:2" }, { "peers", "10.0.0.1:3" }, { "admin", "10.0.0.1:4" }, { "store", "10.0.0.2:5" },
        { "processor", 0.2 }, { "limits", Json::object() } };
}

struct Outcome {
    std::optional<GatewaySettings> settings;
    std::string faultyField;
};

Outcome parsed(const Json& document)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<Outcome> {
            BOOST_LEAF_AUTO(settings, parseGatewaySettings(document.dump(), "test"));
            return Outcome { settings, "" };
        },
        [](const DocumentError& error) {
            return Outcome { std::nullopt, error.faults.empty() ? "document" : error.faults.front().field };
        },
        [] {
            return Outcome { std::nullopt, "unknown" };
        });
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformSettings)

BOOST_AUTO_TEST_CASE(boundsMayBeFractionsAndAreRoundedDown)
{
    Json document = validSettings();
    document["limits"] = { { "retry_slack", 30.714285714285715 }, { "retry_ratio", 0.155 }, { "drain_ms", 2500.9 },
        { "greatest_hold_ms", 9999.99 }, { "memory_mb", 160.5 } };
    const auto outcome = parsed(document);
    BOOST_REQUIRE(outcome.settings);
    BOOST_TEST(outcome.settings->limits.retrySlack == 30);
    BOOST_TEST(outcome.settings->limits.retryRatio == 0.155);
    BOOST_TEST(outcome.settings->limits.drainMs == 2500);
    BOOST_TEST(outcome.settings->limits.maxGrantTtlMs == 9999);
    BOOST_TEST(outcome.settings->limits.memoryMb == 160);
}

BOOST_AUTO_TEST_CASE(timesMayBeGivenInSeconds)
{
    Json document = validSettings();
    document["limits"] = { { "grace_s", 2.5 }, { "retry_window_s", 7 } };
    const auto outcome = parsed(document);
    BOOST_REQUIRE(outcome.settings);
    BOOST_TEST(outcome.settings->limits.graceMs == 2500);
    BOOST_TEST(outcome.settings->limits.retryWindowMs == 7000);
    document["limits"] = { { "grace_s", 0.5 } };
    BOOST_TEST(parsed(document).faultyField == "grace_s");
}

BOOST_AUTO_TEST_CASE(errorForInvalidSettingsNamesTheField)
{
    for (const char* field : { "host", "data_centre", "callers", "ready", "peers", "admin", "store" }) {
        Json document = validSettings();
        document.erase(field);
        BOOST_TEST(parsed(document).faultyField == field);
    }
    for (const auto& [field, value] : std::map<std::string, Json> { { "drain_ms", "2000" }, { "hold_ms", 0.5 },
             { "retry_ratio", -1 }, { "memory_mb", nullptr }, { "no_such_limit", 1 } }) {
        Json document = validSettings();
        document["limits"][field] = value;
        BOOST_TEST(parsed(document).faultyField == field);
    }
}

RC_BOOST_PROP(settingsWithinTheirBoundsAreAccepted, ())
{
    Json document = validSettings();
    for (const auto& option : gatewayOptions()) {
        const double share = *rc::gen::inRange(0, 1000) / 1000.0;
        // Conflicts between settings are another test's.
        const bool free = std::string(option.name) != "renewal_interval_ms" && std::string(option.name) != "hold_ms"
            && std::string(option.name) != "order_timeout_ms";
        if (free)
            document["limits"][option.name]
                = static_cast<double>(option.min) + share * static_cast<double>(option.max - option.min);
    }
    const auto outcome = parsed(document);
    RC_ASSERT(outcome.settings.has_value());
    for (const auto& option : gatewayOptions()) {
        const auto value = outcome.settings->limits.*option.field;
        RC_ASSERT(option.min <= value && value <= option.max);
    }
}

BOOST_AUTO_TEST_SUITE_END()
