#include "config/check.h"
#include "config/settings.h"
#include "daemon/view.h"
#include "gateway/records.h"
#include "gateway/settings.h"
#include "io/json.h"
#include "peers/messages.h"
#include "platform/configuration.h"
#include "ranges/table.h"
#include "upstream/upstream.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>

// One document among others that no sound writer makes: each decoder must refuse it, or the part of it that it reads,
// with a typed failure, and the process must go on.
using namespace pistachiospur;
namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kValueBytes = std::size_t(1) << 20; // the longest value that the platform's store takes

// Nested arrays, objects, or both by turns, as long as a value may be.
std::string nestedArrays(std::size_t depth = kValueBytes / 2 - 500)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string repeated(const std::string& text, std::size_t count)
{
    std::string all;
    for (std::size_t n = 0; n < count; ++n)
        all += text;
    return all;
}

std::string nestedObjects(std::size_t depth = kValueBytes / 7)
{
    return repeated(R"({"a":)", depth) + "1" + std::string(depth, '}');
}

std::string nestedByTurns(std::size_t depth = kValueBytes / 9)
{
    return repeated(R"([{"a":)", depth) + "1" + repeated("}]", depth);
}

// The outcome of a decoder: "taken", "refused" without facts, or the faults.
std::string outcomeOf(const std::function<leaf::result<void>()>& decode)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(decode());
            return std::string("taken");
        },
        [](const DocumentError& error) {
            std::string text = "refused";
            for (const auto& it : error.faults)
                text += "; " + describe(it);
            return text;
        },
        [] { return std::string("refused by an error without a type"); });
}

template <typename T> std::string outcomeOf(const std::optional<T>& decoded) { return decoded ? "taken" : "refused"; }

struct Decoder {
    const char* name;
    std::string valid;
    std::function<std::string(const std::string&)> decode; // see outcomeOf()
};

std::string outcomeOfErrors(const std::vector<FieldError>& errors)
{
    return outcomeOf([&]() -> leaf::result<void> {
        return errors.empty() ? leaf::result<void>() : leaf::new_error(DocumentError { errors });
    });
}

// Of records and files in the platform's terms.
std::vector<Decoder> platformDecoders()
{
    return {
        { "upstream's entry",
            R"({"service":"a","address":"10.0.0.1:80","zone":"z","version":"v1","slots":2,"state":"ready",)"
            R"("warmup-left-ms":0,"sequence":4,"born":1700000000000})",
            [](const std::string& text) {
                return outcomeOf([&]() -> leaf::result<void> {
                    BOOST_LEAF_CHECK(platform::decodeUpstream("u", text));
                    return {};
                });
            } },
        { "configuration",
            R"({"version":"0000000c","services":[{"name":"a","max-conns":130,"sharded":true,"warm-s":5.0}],)"
            R"("limits":{"max-header-bytes":16384},"virtual-hosts":[{"hostname":"f.example","path-matches":[)"
            R"({"name":"r1","path-prefix":"/x/","route-type":"safe","timeout-ms":1000.0,"priority":1,)"
            R"("max-attempts":2,"traffic-split":[{"service":"a","weight":90}]}]}]})",
            [](const std::string& text) {
                return outcomeOf([&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(routes, platform::decodeConfiguration(text));
                    return routes.faults.empty() ? leaf::result<void>()
                                                 : leaf::new_error(DocumentError { routes.faults });
                });
            } },
        { "gateway's settings",
            R"({"platform":"kv","host":"h","data_centre":"z","callers":"10.0.0.1:1","ready":"10.0.0.1:2",)"
            R"("peers":"10.0.0.1:3","admin":"10.0.0.1:4","store":"10.0.0.2:5","processor":0.5,)"
            R"("limits":{"grace_s":6,"hold_ms":2500}})",
            [](const std::string& text) {
                isGatewayDocument(text);
                return outcomeOf([&]() -> leaf::result<void> {
                    BOOST_LEAF_CHECK(parseGatewaySettings(text, "s"));
                    return {};
                });
            } },
        { "daemon's settings",
            R"({"host":"h","data_centre":"z","callers":"10.0.0.1:1","peers":"10.0.0.1:3","admin":"10.0.0.1:4",)"
            R"("store":["10.0.0.2:5"],"host_list":"10.0.0.2:6","limits":{"max_body_bytes":5}})",
            [](const std::string& text) {
                return outcomeOf([&]() -> leaf::result<void> {
                    BOOST_LEAF_CHECK(parseSettings(text, "s"));
                    return {};
                });
            } },
        { "operator's objects",
            R"({"objects":[{"kind":"rank","name":"r","order":1,"target_ms":50},{"kind":"service","name":"s",)"
            R"("routes":[{"rank":"r"}]},{"kind":"upstream","name":"u","data_centre":"z","endpoint":"10.0.0.1:80"},)"
            R"({"kind":"placement","name":"p","service":"s","upstreams":["u"]}]})",
            [](const std::string& text) {
                std::vector<FieldError> errors;
                const auto objects = readObjects(text, "file", errors);
                checkObjects(objects, errors);
                digestOf(objects);
                return outcomeOfErrors(errors);
            } },
    };
}

// Of our own records and messages.
std::vector<Decoder> ownDecoders()
{
    const RangeTable table { "h#1/2", Millis(2500), { { "g#1/1", Millis(5) } },
        { { { 0 }, { 9 }, { "u", { 1 } }, { 7 }, { { "v", { 2 } } } },
            { { 10 }, { 65535 }, { "v", { 2 } }, {}, {} } } };
    return {
        { "published object", R"({"kind":"upstream","name":"u","data_centre":"z","endpoint":"10.0.0.1:80"})",
            [](const std::string& text) {
                StoreView view;
                applyChange(view, { objectKey({ "upstream", "u" }), text, { 1 } });
                return std::string(view.unreadable ? "refused" : "taken");
            } },
        { "ownership page", R"([["u",3],["u",3,"v"],[]])",
            [](const std::string& text) {
                StoreView view;
                applyChange(view, { "pages/s/0", text, { 1 } });
                return std::string(view.unreadable ? "refused" : "taken");
            } },
        { "host's entry",
            R"({"data_centre":"z","address":"10.0.0.1","port":80,"incarnation":3,"weight":0.5,"leaving":false,"era":0})",
            [](const std::string& text) {
                std::vector<FieldError> faults;
                decodeHostEntry("h", text, { 9 }, faults);
                return outcomeOfErrors(faults);
            } },
        { "leader's entry", R"({"host":"h","incarnation":3,"lease":4,"claim":"c","era":0})",
            [](const std::string& text) {
                std::vector<FieldError> faults;
                decodeLeaderEntry(text, { 9 }, faults);
                return outcomeOfErrors(faults);
            } },
        { "range table", encode(table),
            [](const std::string& text) { return outcomeOf(decodeRangeTable(text, { 9 })); } },
        { "renewal", R"({"holder":"h","term":1,"challenge":2,"digest":5,"slots":[[1,2]]})",
            [](const std::string& text) { return outcomeOf(decodeRenewal(text)); } },
        { "reply to a renewal", R"({"verdict":"accepted","term":1,"challenge":2,"busy":[1]})",
            [](const std::string& text) { return outcomeOf(decodeRenewalReply(text)); } },
    };
}

const std::vector<Decoder>& decoders()
{
    static const std::vector<Decoder> all = [] {
        auto list = platformDecoders();
        for (auto& it : ownDecoders())
            list.push_back(std::move(it));
        return list;
    }();
    return all;
}

// The valid document with the value at a place replaced by other text.
std::string replaced(const nlohmann::json& valid, const nlohmann::json::json_pointer& place, const std::string& text)
{
    static const std::string kMark = "the-place-to-replace";
    nlohmann::json document = valid;
    document[place] = kMark;
    std::string out = document.dump();
    return out.replace(out.find('"' + kMark + '"'), kMark.size() + 2, text);
}

// Every place in a document, of single values and of arrays and objects.
void listPlaces(const nlohmann::json& value, const nlohmann::json::json_pointer& at,
    std::vector<nlohmann::json::json_pointer>& places)
{
    places.push_back(at);
    if (value.is_array()) {
        for (std::size_t n = 0; n < value.size(); ++n)
            listPlaces(value[n], at / n, places);
    } else if (value.is_object()) {
        for (const auto& [name, member] : value.items())
            listPlaces(member, at / name, places);
    }
}

std::vector<nlohmann::json::json_pointer> placesIn(const nlohmann::json& document)
{
    std::vector<nlohmann::json::json_pointer> places;
    listPlaces(document, nlohmann::json::json_pointer(), places);
    return places;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddDocuments)

BOOST_AUTO_TEST_CASE(validDocumentsAreTaken)
{
    for (const auto& it : decoders())
        BOOST_TEST(it.decode(it.valid) == "taken", it.name << ": " << it.decode(it.valid));
}

// Guards against the end of the process: the JSON library copies and writes documents by recursion.
BOOST_AUTO_TEST_CASE(deeplyNestedPartsCostThemselvesAlone)
{
    constexpr std::size_t kDepth = 100000;
    for (const auto& nested : { nestedArrays(kDepth), nestedObjects(kDepth), nestedByTurns(kDepth / 2) }) {
        for (const auto& it : decoders()) {
            const auto valid = nlohmann::json::parse(it.valid);
            for (const auto& place : placesIn(valid)) {
                const std::string outcome = it.decode(replaced(valid, place, nested));
                BOOST_TEST((outcome == "taken" || outcome.compare(0, 7, "refused") == 0), it.name << ": " << outcome);
                BOOST_TEST(outcome.find("without a type") == std::string::npos, it.name << " at " << place);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(entryWithADeeplyNestedFieldThatIsNotReadIsTaken)
{
    for (const auto& it : decoders()) {
        const std::string name = it.name;
        if (name != "upstream's entry" && name != "configuration" && name != "range table" && name != "host's entry"
            && name != "leader's entry")
            continue;
        const std::string outcome
            = it.decode(it.valid.substr(0, it.valid.size() - 1) + ",\"x\":" + nestedArrays() + "}");
        BOOST_TEST(outcome == "taken", name << ": " << outcome);
    }
}

BOOST_AUTO_TEST_CASE(deeplyNestedFieldThatIsReadIsNamedInTheRefusal)
{
    const auto& entry = decoders().front();
    const auto valid = nlohmann::json::parse(entry.valid);
    const std::string outcome = entry.decode(replaced(valid, nlohmann::json::json_pointer("/slots"), nestedArrays()));
    BOOST_TEST(outcome.find("refused; u: slots: wrong-type") == 0u, outcome);
}

// Values of other types and numbers beyond any range, in each place of each document.
BOOST_AUTO_TEST_CASE(oddValuesAreTakenOrRefusedWithATypedFailure)
{
    const char* const values[] = { "null", "true", "[]", "{}", "\"\"", "\"x\"", "\"\\u0000\"", "\"\xff\"",
        "\"\xed\xa0\x80\"", "0", "-1", "0.5", "1e2", "-0.0", "65536", "70000", "4294967296", "9223372036854775807",
        "9223372036854775808", "-9223372036854775808", "18446744073709551615", "18446744073709551616",
        "99999999999999999999999", "1e300", "1e400", "-1e400", "1e-400", "\"10.0.0.1:0\"", "\"10.0.0.1:65536\"",
        "\"10.0.0.1:-1\"", "1,\"x\":2", "" };
    for (const auto& it : decoders()) {
        const auto valid = nlohmann::json::parse(it.valid);
        for (const auto& place : placesIn(valid)) {
            for (const char* value : values) {
                const std::string text = replaced(valid, place, value);
                std::string outcome;
                BOOST_REQUIRE_NO_THROW(outcome = it.decode(text));
                BOOST_TEST(outcome.find("without a type") == std::string::npos, it.name << ": " << text);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(documentsThatBreakOffOrNameAFieldTwiceAreTakenOrRefused)
{
    for (const auto& it : decoders()) {
        for (std::size_t n = 0; n < it.valid.size(); ++n)
            BOOST_TEST(
                it.decode(it.valid.substr(0, n)).compare(0, 7, "refused") == 0, it.name << " of " << n << " bytes");
        if (it.valid.front() == '{')
            BOOST_TEST(
                it.decode(it.valid.substr(0, it.valid.size() - 1) + "," + it.valid.substr(1)) == "taken", it.name);
    }
}

// Guards against values that are cut to the width of their field, and against a record of an era that is yet to come,
// which would outrank all later ones.
BOOST_AUTO_TEST_CASE(valuesOutOfRangeInRecordsOfHostsAndLeadersAreNamedInTheRefusal)
{
    const std::vector<std::pair<const char*, std::vector<const char*>>> hostFields = {
        { "port", { "0", "-1", "65536", "70000", "65616", "1e400", "80.5", "\"80\"", "null", "18446744073709551696" } },
        { "address", { "5", "\"\"", "\"localhost\"", "\"10.0.0.1:80\"", "\"10.0.0.256\"", "[]" } },
        { "data_centre", { "5", "\"\"", "null" } },
        { "incarnation", { "-1", "1.5", "18446744073709551616", "\"3\"" } },
        { "weight", { "-1", "1e300", "\"1\"" } },
        { "leaving", { "0", "\"false\"" } },
        { "era", { "-1", "1", "18446744073709551615" } },
    };
    const std::vector<std::pair<const char*, std::vector<const char*>>> leaderFields = {
        { "host", { "5", "\"\"", "null" } },
        { "incarnation", { "-1", "1.5", "\"3\"" } },
        { "lease", { "-1", "{}", "1e30" } },
        { "claim", { "5", "null" } },
        { "era", { "-1", "1", "\"0\"" } },
    };
    for (const auto& it : decoders()) {
        const std::string name = it.name;
        if (name != "host's entry" && name != "leader's entry")
            continue;
        for (const auto& [field, values] : name == "host's entry" ? hostFields : leaderFields) {
            for (const char* value : values) {
                const std::string text = replaced(
                    nlohmann::json::parse(it.valid), nlohmann::json::json_pointer("/" + std::string(field)), value);
                const std::string outcome = it.decode(text);
                BOOST_TEST(outcome.compare(0, 7, "refused") == 0, text);
                const bool isNamed = outcome.find(std::string(": ") + field + ": ") != std::string::npos
                    || outcome.find("malformed-json") != std::string::npos;
                BOOST_TEST(isNamed, text << ": " << outcome);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(nestingUpToTheBoundIsKept)
{
    for (const std::size_t depth : { std::size_t(1), kMaxNesting - 1, kMaxNesting }) {
        const std::string text = nestedArrays(depth);
        BOOST_TEST(parseJson(text).dump() == text);
    }
    BOOST_TEST(parseJson(nestedArrays(kMaxNesting + 1)).dump() == nestedArrays(kMaxNesting));
    BOOST_TEST(parseJson(R"({"a":)" + nestedArrays(kMaxNesting + 5) + R"(,"b":[1,{"c":2}]})")["b"]
        == nlohmann::json::parse(R"([1,{"c":2}])"));
    BOOST_TEST(parseJson("[" + nestedArrays(kMaxNesting) + ",3]")[1] == 3);
}

BOOST_AUTO_TEST_CASE(textsThatAreNoJsonAreDiscarded)
{
    for (const char* text :
        { "", " ", "[", "{\"a\"", "{\"a\":1,}", "[1]]", "1e400", "[-1e400]", "\"\xff\"", "nul", "\xef\xbb" }) {
        std::size_t faultAt = 1000;
        BOOST_TEST(parseJson(text, &faultAt).is_discarded(), text);
        BOOST_TEST(faultAt <= std::string(text).size() + 1, text);
    }
    BOOST_TEST(parseJson(R"({"a":1,"a":2})").dump() == R"({"a":2})");
    BOOST_TEST(parseJson(" [1, -2, 18446744073709551615, 99999999999999999999, 0.5, true, null, \"x\"] ")
        == nlohmann::json::parse("[1,-2,18446744073709551615,99999999999999999999,0.5,true,null,\"x\"]"));
}

// Guards against the end of the process: the JSON library decodes CBOR by recursion, also texts without a length.
BOOST_AUTO_TEST_CASE(deeplyNestedMessagesAreRefused)
{
    constexpr std::size_t kDepth = std::size_t(16) << 20; // the longest frame
    const std::string inArray("\x82\x00", 2);
    for (const unsigned char opening : { 0x81, 0x9f, 0xbf, 0x7f, 0x5f, 0xc0, 0xd8 }) {
        const std::string nested(kDepth, static_cast<char>(opening));
        BOOST_TEST(!decode(nested));
        BOOST_TEST(!decode(inArray + nested));
    }
    BOOST_TEST(!decode(inArray + repeated("\xa1\x61\x61", kDepth / 3)));
    BOOST_TEST(!decode(inArray + repeated("\x81\xa1\x61\x61", kDepth / 4) + "\x01"));
}

// Guards against numbers that are cut to the width of their member, and enumerators that there are not, which were used
// as indexes into tables.
BOOST_AUTO_TEST_CASE(numbersThatAMessagesMembersCannotHoldAreRefused)
{
    using nlohmann::json;
    const json u64max = UINT64_MAX, negative = -1, fraction = 1.5, text = "1", infinite = INFINITY, notANumber = NAN;
    const json refusal = json::array({ 8, 0, 0 });
    const auto places = std::vector<std::pair<json, std::vector<std::pair<std::string, std::vector<json>>>>> {
        { json::array({ 0, { "h", 3, true } }), // Hello
            { { "/0", { negative, 23, u64max, fraction, text, json::array() } },
                { "/1/1", { negative, fraction, text, nullptr, true } }, { "/1/2", { 1, "true" } } } },
        { json::array({ 1, { 1, false, true, false, 4, 5, { { "h", 1, 2 } }, { { 7, 8 } } } }), // Heartbeat
            { { "/1/6/0/2", { 3, negative, u64max, fraction, text } }, { "/1/5", { negative, text } } } },
        { json::array({ 11, { 1, refusal, 3 } }), // RelayReply with a refusal
            { { "/1/1/0", { static_cast<int>(RefusalReason::count), 255, 256, 264, u64max, negative, fraction } },
                { "/1/1/1", { 2, negative, text } }, { "/1/1/2", { u64max, fraction, text } },
                { "/1/2", { u64max, text } } } },
        { json::array({ 11, { 1, { 200, json::array(), json::binary({ 1 }) }, 3 } }), // RelayReply with an answer
            { { "/1/1/0", { 5000000000, -5000000000, fraction, text } } } },
        { json::array({ 13, { { { { "h", "z", { "10.0.0.1", 80 }, false } }, json::array() } } }), // HostListUpdate
            { { "/1/0/0/0/2/1", { 65536, 70000, negative, u64max, fraction, text } } } },
        { json::array({ 14, { "s", { { 1, 2 } }, { { { "u", 1 }, 3.5 } } } }), // LoadReport
            { { "/1/1/0/0", { 4294967296, negative, fraction, text } }, { "/1/1/0/1", { 4294967296, negative } },
                { "/1/2/0/1", { infinite, notANumber, text } }, { "/1/1/0", { json::array({ 1 }), 5 } },
                { "/1/1", { 5, text } } } },
        { json::array({ 21, { 4, refusal, { 2, 2.5 }, 0 } }), // RelayTurnOver
            { { "/1/2/0", { 3, negative, 256, 258, fraction } }, { "/1/2/1", { infinite, notANumber, text } } } },
    };
    const auto decoded = [](const json& message) {
        const auto bytes = json::to_cbor(message);
        return decode({ bytes.begin(), bytes.end() });
    };
    for (const auto& [valid, oddPlaces] : places) {
        BOOST_TEST(decoded(valid).has_value(), valid);
        for (const auto& [place, values] : oddPlaces) {
            for (const auto& value : values) {
                json message = valid;
                message[json::json_pointer(place)] = value;
                BOOST_TEST(!decoded(message).has_value(), message);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(lengthsBeyondTheMessageAreRefused)
{
    const std::string lengths[]
        = { "\x1a\x7f\xff\xff\xff", "\x1b\x7f\xff\xff\xff\xff\xff\xff\xff", "\x1b\xff\xff\xff\xff\xff\xff\xff\xff" };
    for (const int kind : { 2, 3, 4, 5 }) {
        for (auto length : lengths) {
            length[0] = static_cast<char>(static_cast<unsigned char>(length[0]) | kind << 5);
            BOOST_TEST(parseCbor(length).is_discarded());
            BOOST_TEST(parseCbor(length + "\x01\x01").is_discarded());
            BOOST_TEST(!decode("\x82" + length));
        }
    }
    for (const auto& value :
        { "null", "[]", "{}", "[[],{},[1,\"a\",{\"b\":[-5,0.5,true]}]]", "18446744073709551615" }) {
        const auto document = nlohmann::json::parse(value);
        const auto bytes = nlohmann::json::to_cbor(document);
        BOOST_TEST(parseCbor({ bytes.begin(), bytes.end() }) == document);
        BOOST_TEST(parseCbor({ bytes.begin(), bytes.end() - 1 }).is_discarded());
    }
}

BOOST_AUTO_TEST_SUITE_END()
