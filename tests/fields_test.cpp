#include "raw_site.h"

#include <boost/test/unit_test.hpp>

// Lines in the heads of upstreams' answers that are no fields, or leave the length of the body open, as callers see
// them. Real sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

const std::string kBody = "the whole body"; // 14 bytes

struct HeadCase {
    std::string lines; // beside the id and the seal
    bool isSound;
};

std::vector<HeadCase> headCases()
{
    const std::string length = "Content-Length: 14\r\n";
    std::vector<HeadCase> cases = {
        { length, true },
        { "X-Build:v1\r\n" + length, true },
        { "X-Build:\r\n" + length, true },
        { "x!#$%&'*+-.^_`|~9: \t v 1 \t\r\n" + length, true },
        { "content-length: 14\r\nContent-Length: 14\r\n", true },
        { "X-Build\r\n" + length, false },
        { ": v1\r\n" + length, false },
        { "X-Build : v1\r\n" + length, false },
        { " X-Build: v1\r\n" + length, false },
        { "X-Build: v1\r\n Content-Length: 7\r\n" + length, false },
        { "X-Build: v1\r\n\tfolded\r\n" + length, false },
        { "X-\x01uild: v1\r\n" + length, false },
        { "X-B\xc3\xbcild: v1\r\n" + length, false },
        { "X(Build): v1\r\n" + length, false },
        { "X-Build: v\x01\r\n" + length, false },
        { "X-Build: v\r1\r\n" + length, false },
        { length + "Content-Length: 7\r\n", false },
        { "Content-Length: 7\r\n" + length, false },
        { length + "Transfer-Encoding: chunked\r\n", false },
        { "Transfer-Encoding: chunked\r\n" + length, false },
    };
    for (const char* value : { "", "1x", "x", "1 4", "+14", "-14", "0x0e", "14.0", "14,7", "9223372036854775808",
             "18446744073709551630", "32323232323232323232323232" })
        cases.push_back({ "Content-Length: " + std::string(value) + "\r\n", false });
    return cases;
}

// Whether each line of a head is a name of token characters, a colon and a value.
bool isHead(const std::string& received)
{
    const auto end = received.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    for (auto at = received.find("\r\n") + 2; at < end + 2; at = received.find("\r\n", at) + 2) {
        const std::string name = received.substr(at, received.find(':', at) - at);
        if (name.empty() || name.find_first_of(" \t\r\n()\x01\xc3") != std::string::npos)
            return false;
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Fields)

// Guards against a part of an answer that reaches its caller as the whole, or bytes that are no HTTP: libcurl reads a
// length as far as its digits go, keeps one of several, and passes on lines that are no fields.
BOOST_AUTO_TEST_CASE(answerWhoseHeadIsNoneReachesNoCallerAsASuccess)
{
    std::string lines;
    RawSite site(2, [&](const RawRequest& request) -> std::vector<RawPart> {
        const bool isOrder = request.http.path == "/grant" || request.http.path == "/release";
        if (isOrder || request.id.find("warm") == 0)
            return { { sealedAnswer(request.id, isOrder ? "{}" : "warm") } };
        const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + request.id + "\r\nServer-Seal: seal\r\n";
        return { { head + lines + "\r\n" + kBody, RawEnding::close } };
    });
    BOOST_REQUIRE(site.waitUntilServed());
    int n = 0;
    for (const HeadCase& it : headCases()) {
        lines = it.lines;
        for (const char* target : { "/unsafe/x", "/pool/x" }) {
            for (std::size_t host = 0; host < 2; ++host) {
                const std::string id = "f" + std::to_string(n++);
                CallerConnection caller(site.callerEndpoints[host]);
                caller.write(RawSite::text(target, id));
                RawSite::runLoopUntil([&] { return caller.read().find("\r\n\r\n") != std::string::npos; });
                RawSite::runLoopFor(Millis(5));
                const std::string received = caller.read();
                const bool isSuccess = received.compare(0, 12, "HTTP/1.1 200") == 0;
                BOOST_TEST(isSuccess == it.isSound, it.lines << " at " << target << ": " << received);
                BOOST_TEST((!isSuccess || received.substr(received.find("\r\n\r\n") + 4) == kBody), received);
                BOOST_TEST(isHead(received), received);
                BOOST_TEST(site.runCount(id) == 1u);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
