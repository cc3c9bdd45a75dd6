#include "config/check.h"
#include "config/publish.h"
#include "config/settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

using namespace pistachiospur;

namespace {

const char* const kValidConfiguration = R"({"objects":[
  {"kind":"rank","name":"urgent","order":0,"target_ms":500},
  {"kind":"service","name":"atelier","routes":[{"rank":"urgent"}]},
  {"kind":"upstream","name":"a1","data_centre":"laval","endpoint":"10.0.0.1:80"},
  {"kind":"placement","name":"p","service":"atelier","upstreams":["a1"]}]})";

const char* const kValidSettings = R"({"host":"h","data_centre":"laval","callers":"127.0.0.1:1","peers":"127.0.0.1:2",
  "admin":"127.0.0.1:3","store":["127.0.0.1:4"],"host_list":"127.0.0.1:5"})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

// Names of the faults in a configuration document. Also checks that every fault gives its object and the allowed
// values.
std::vector<std::string> configurationFaults(const std::string& text)
{
    std::vector<FieldError> errors;
    const auto objects = readObjects(text, "file", errors);
    if (errors.empty())
        checkObjects(objects, errors);
    std::vector<std::string> names;
    for (const auto& it : errors) {
        names.emplace_back(faultName(it.fault));
        BOOST_TEST(!it.object.empty());
        BOOST_TEST(!it.allowed.empty());
    }
    return names;
}

// Names of the faults in a settings document.
std::vector<std::string> settingsFaults(const std::string& text)
{
    namespace leaf = boost::leaf;
    std::vector<std::string> names;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(parseSettings(text, "file"));
            return {};
        },
        [&](const DocumentError& error) {
            for (const auto& it : error.faults)
                names.emplace_back(faultName(it.fault));
        },
        [] { BOOST_ERROR("an error without a type"); });
    return names;
}

using Names = std::vector<std::string>;

PublishedConfiguration published(const std::string& text)
{
    std::vector<FieldError> errors;
    PublishedConfiguration result;
    result.objects = readObjects(text, "file", errors);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Config)

BOOST_AUTO_TEST_CASE(validConfigurationIsAccepted) { BOOST_TEST(configurationFaults(kValidConfiguration).empty()); }

BOOST_AUTO_TEST_CASE(eachConfigurationFaultIsReportedByItsType)
{
    BOOST_TEST(configurationFaults(replaced(kValidConfiguration, R"("upstreams":["a1"])", R"("upstreams":["a9"])"))
        == Names { "unknown-reference" });
    BOOST_TEST(configurationFaults(replaced(kValidConfiguration, R"({"rank":"urgent"})", R"({"rank":"none"})"))
        == Names { "unknown-reference" });
    BOOST_TEST(configurationFaults(replaced(kValidConfiguration, R"("name":"p")", R"("name":"p","extra":1)"))
        == Names { "unknown-field" });
    BOOST_TEST(
        configurationFaults(replaced(kValidConfiguration, R"("order":0)", R"("order":"0")")) == Names { "wrong-type" });
    BOOST_TEST(configurationFaults(replaced(kValidConfiguration, R"("order":0)", R"("order":99)"))
        == Names { "out-of-range" });
    BOOST_TEST(configurationFaults(replaced(kValidConfiguration, R"("order":0,)", "")) == Names { "missing-field" });
    BOOST_TEST(
        configurationFaults(replaced(kValidConfiguration, "10.0.0.1:80", "example:80")) == Names { "out-of-range" });
    BOOST_TEST(configurationFaults(std::string(kValidConfiguration).substr(0, 100)) == Names { "malformed-json" });
    BOOST_TEST(configurationFaults("") == Names { "malformed-json" });
    BOOST_TEST(configurationFaults("[]") == Names({ "wrong-type" }));
    const std::string rankObject = R"({"kind":"rank","name":"urgent","order":0,"target_ms":500},)";
    BOOST_TEST(configurationFaults(replaced(kValidConfiguration, rankObject, rankObject + rankObject))
        == Names { "duplicate-name" });
}

BOOST_AUTO_TEST_CASE(upstreamThatDoesNotCheckGrantsIsRefused)
{
    BOOST_TEST(
        configurationFaults(replaced(kValidConfiguration, R"("name":"a1")", R"("name":"a1","checks_epochs":false)"))
        == Names { "out-of-range" });
}

BOOST_AUTO_TEST_CASE(eachSettingsFaultIsReportedByItsType)
{
    BOOST_TEST(settingsFaults(kValidSettings).empty());
    BOOST_TEST(settingsFaults(replaced(kValidSettings, "127.0.0.1:2", "127.0.0.1:1")) == Names { "port-clash" });
    BOOST_TEST(settingsFaults(replaced(kValidSettings, R"("host":"h")", R"("host":7)")) == Names { "wrong-type" });
    BOOST_TEST(settingsFaults(replaced(kValidSettings, R"("host":"h")", R"("host":"h","hots":1)"))
        == Names { "unknown-field" });
    const std::string withLimit = R"("host":"h","limits":{"grant_ttl_ms":)";
    BOOST_TEST(settingsFaults(replaced(kValidSettings, R"("host":"h")", withLimit + "5}"))
        == Names({ "out-of-range", "conflict" }));
    BOOST_TEST(settingsFaults(std::string(kValidSettings).substr(0, 40)) == Names { "malformed-json" });
}

BOOST_AUTO_TEST_CASE(defaultOfEachLimitIsWithinItsBounds)
{
    for (const auto& it : limitOptions())
        BOOST_TEST((it.min <= it.defaultValue && it.defaultValue <= it.max), it.name);
}

BOOST_AUTO_TEST_CASE(digestOfSetIsUpdatedByXorOfRemovedObject)
{
    const auto objects = published(kValidConfiguration).objects;
    std::uint64_t digest = digestOf(objects);
    const auto removed = objects.begin();
    digest ^= digestOf(removed->first, removed->second);
    ObjectSet remaining = objects;
    remaining.erase(removed->first);
    BOOST_TEST(digest == digestOf(remaining));
}

BOOST_AUTO_TEST_CASE(changeThatBreaksAReferenceIsNotPublished)
{
    const PublishedConfiguration base = published(kValidConfiguration);
    std::vector<FieldError> errors;
    BOOST_TEST(
        !buildPublicationWrite(base, { { { "rank", "urgent" }, nullptr } }, "c1", Millis(0), errors).has_value());
    BOOST_REQUIRE(!errors.empty());
    BOOST_CHECK(errors[0].fault == FieldFault::unknownReference);
}

BOOST_AUTO_TEST_CASE(publicationExpectsTheHeadVersionItIsBasedOn)
{
    PublishedConfiguration base = published(kValidConfiguration);
    base.head.revision = Revision { 7 };
    base.head.version = StoreRevision { 42 };
    std::vector<FieldError> errors;
    const auto write = buildPublicationWrite(
        base, { { { "upstream", "a1" }, base.objects.at({ "upstream", "a1" }) } }, "c1", Millis(0), errors);
    BOOST_REQUIRE(write);
    BOOST_REQUIRE_EQUAL(write->expected.size(), 1u);
    BOOST_TEST(write->expected[0].key == "live/config/head");
    BOOST_TEST(write->expected[0].version.value == 42u);
}

BOOST_AUTO_TEST_SUITE_END()
