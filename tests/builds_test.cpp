#include "io/json.h"
#include "message_samples.h"

#include <absl/strings/escaping.h>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

// Messages between hosts of this build and of builds that have landed before it. tests/corpus has the bytes of
// sampleMessages() as each of those builds wrote them, a line for each kind.
using namespace pistachiospur;

namespace {

const std::vector<std::string> kBuilds = { "74444ea", "004e3c9" };

std::map<std::string, std::string> bytesByKind(const std::string& build)
{
    std::ifstream file("tests/corpus/messages-" + build + ".txt");
    std::map<std::string, std::string> bytes;
    std::string kind, hex;
    while (file >> kind >> hex)
        bytes[kind] = absl::HexStringToBytes(hex);
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EarlierBuilds)

// Guards against messages of earlier builds that this one refuses or reads otherwise.
BOOST_AUTO_TEST_CASE(messagesOfEarlierBuildsAreReadAsTheyWereMeant)
{
    for (const auto& build : kBuilds) {
        const auto bytes = bytesByKind(build);
        BOOST_REQUIRE(bytes.size() >= kBaselineKinds);
        for (const auto& [kind, text] : bytes) {
            const auto message = decode(text);
            BOOST_REQUIRE_MESSAGE(message, build << " " << kind);
            BOOST_TEST(messageKind(message->index()) == kind);
        }
        for (const auto& sample : sampleMessages()) {
            const auto read = decode(bytes.at(messageKind(sample.index())));
            BOOST_TEST((encode(*read) == encode(sample)), build << " " << messageKind(sample.index()));
        }
    }
}

// Guards against messages that earlier builds refuse. They read members by position and ignore further ones, so each
// message must begin with the members that they know.
BOOST_AUTO_TEST_CASE(messagesOfThisBuildBeginAsEarlierBuildsReadThem)
{
    for (const auto& build : kBuilds) {
        const auto bytes = bytesByKind(build);
        for (const auto& sample : sampleMessages()) {
            const auto now = parseCbor(encode(sample)), then = parseCbor(bytes.at(messageKind(sample.index())));
            BOOST_REQUIRE(now.size() == 2u);
            BOOST_TEST((now[0] == then[0]), messageKind(sample.index()));
            BOOST_REQUIRE(now[1].size() >= then[1].size());
            for (std::size_t n = 0; n < then[1].size(); ++n)
                BOOST_TEST((now[1][n] == then[1][n]), build << " " << messageKind(sample.index()) << " member " << n);
        }
    }
}

BOOST_AUTO_TEST_CASE(memberThatAnEarlierBuildDoesNotSendHasItsDefaultAndOthersAreNeeded)
{
    const auto hello = decode(bytesByKind("74444ea").at("hello"));
    BOOST_REQUIRE(hello);
    BOOST_TEST(std::get<Hello>(*hello).kinds == kBaselineKinds);
    const std::string cut = { '\x82', '\x00', '\x82', '\x61', 'h', '\x03' }; // [0, ["h", 3]]
    BOOST_TEST(!decode(cut).has_value());
}

BOOST_AUTO_TEST_CASE(onlyAWellFormedMessageOfALaterBuildIsSkipped)
{
    const std::string later = { '\x82', '\x18', '\x63', '\x81', '\x01' }; // [99, [1]]
    BOOST_TEST(!decode(later).has_value());
    BOOST_TEST(unknownKind(later).value_or(0) == 99u);
    BOOST_TEST(!unknownKind(encode(HostLeaving { { 1 } })).has_value());
    for (const std::string text : { "", "nonsense", "\x18\x63", "\x81\x18\x63" })
        BOOST_TEST(!unknownKind(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
