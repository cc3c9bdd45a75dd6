#include "raw_site.h"

#include <boost/test/unit_test.hpp>

// Status lines of upstreams that are none, as callers and the client see them. Real sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

struct StatusCase {
    const char* line; // up to and including the reason
    int status; // that the caller gets
};

constexpr int kBroken = 502;

const StatusCase kStatusCases[] = { { "HTTP/1.1 200 OK", 200 }, { "HTTP/1.0 200 OK", 200 }, { "HTTP/1.1 200 ", 200 },
    { "HTTP/1.1 200", 200 }, { "HTTP/1.1 204 None", 204 }, { "HTTP/1.1 299 Odd", 299 }, { "HTTP/1.1 404 None", 404 },
    { "HTTP/1.1 599 Odd", 599 }, { "HTTP/1.1 000 Zero", kBroken }, { "HTTP/1.1 000", kBroken },
    { "HTTP/1.1 0 Zero", kBroken }, { "HTTP/1.1 00 Zero", kBroken }, { "HTTP/1.1 0000 Zero", kBroken },
    { "HTTP/1.1 099 Low", kBroken }, { "HTTP/1.1 99 Low", kBroken }, { "HTTP/1.1 20 Short", kBroken },
    { "HTTP/1.1 0200 Long", kBroken }, { "HTTP/1.1 600 High", kBroken }, { "HTTP/1.1 700 High", kBroken },
    { "HTTP/1.1 999 High", kBroken }, { "HTTP/1.1 1000 High", kBroken }, { "HTTP/1.1 2000 High", kBroken },
    { "HTTP/1.1 65736 Wraps", kBroken }, { "HTTP/1.1 4294967496 Wraps", kBroken }, { "HTTP/1.1 -01 Sign", kBroken },
    { "HTTP/1.1 -200 Sign", kBroken }, { "HTTP/1.1 +200 Sign", kBroken }, { "HTTP/1.1 +20 Sign", kBroken },
    { "HTTP/1.1  200 Blanks", kBroken }, { "HTTP/1.1 2 0 Blank", kBroken }, { "HTTP/1.1 2", kBroken },
    { "HTTP/1.1 ", kBroken }, { "HTTP/1.1", kBroken }, { "HTTP/1.1 2x0 Letter", kBroken },
    { "HTTP/1.1 200x Letter", kBroken }, { "HTTP/1.1 OK", kBroken }, { "HTTP/1.1 0x200 Hex", kBroken },
    { "HTTP/1.1 20\t OK", kBroken }, { "HTTP/1.1 200\tOK", kBroken }, { "HTTP/1.1\t200 OK", kBroken },
    { "HTTP/2 200 OK", kBroken }, { "HTTP/1.2 200 OK", kBroken }, { "HTTP/11 200 OK", kBroken },
    { "http/1.1 200 OK", kBroken }, { "HTTP/1.1 100 Last", kBroken }, { "HTTP/1.1 101 Switching", kBroken },
    { "HTTP/1.1 102 Last", kBroken }, { "HTTP/1.1 103 Last", kBroken }, { "HTTP/1.1 199 Last", kBroken } };

std::string answerWith(const std::string& line, const std::string& id)
{
    const std::string length = line.find(" 204") == std::string::npos ? "Content-Length: 2\r\n" : "";
    const std::string head = line + "\r\nRequest-Id: " + id + "\r\nServer-Seal: 1\r\n" + length + "\r\n";
    return length.empty() ? head : head + "ok";
}

} // namespace

BOOST_AUTO_TEST_SUITE(Statuses)

// Guards against an answer whose status is none that reaches a caller as one, or counts as a refusal that lets the
// request run again.
BOOST_AUTO_TEST_CASE(statusThatIsNoneReachesNoCaller)
{
    std::string line;
    RawSite site(2, [&](const RawRequest& request) -> std::vector<RawPart> {
        const bool isOrder = request.http.path == "/grant" || request.http.path == "/release";
        if (isOrder || request.id.find("warm") == 0)
            return { { sealedAnswer(request.id, isOrder ? "{}" : "warm") } };
        return { { answerWith(line, request.id), RawEnding::close } };
    });
    BOOST_REQUIRE(site.waitUntilServed());
    int n = 0;
    for (const StatusCase& it : kStatusCases) {
        line = it.line;
        for (const char* target : { "/unsafe/x", "/pool/x" }) {
            for (std::size_t host = 0; host < 2; ++host) {
                const std::string id = "r" + std::to_string(n++);
                const int status = site.send(target, id, host).status;
                BOOST_TEST(status == it.status, line << " at " << target << ", host " << host << ": " << status);
                BOOST_TEST(site.runCount(id) == 1u);
            }
        }
    }
}

// Guards against an interim response that ends the head of the answer, or an answer whose own status is none behind it.
BOOST_AUTO_TEST_CASE(statusBehindAnInterimResponseIsChecked)
{
    std::string answer;
    RawSite site(1, [&](const RawRequest& request) -> std::vector<RawPart> {
        const bool isOrder = request.http.path == "/grant" || request.http.path == "/release";
        if (isOrder || request.id.find("warm") == 0)
            return { { sealedAnswer(request.id, isOrder ? "{}" : "warm") } };
        return { { answer + answerWith("HTTP/1.1 200 OK", request.id), RawEnding::close } };
    });
    BOOST_REQUIRE(site.waitUntilServed());
    const std::pair<const char*, int> cases[] = { { "HTTP/1.1 100 Continue\r\n\r\n", 200 },
        { "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n", 200 }, { "HTTP/1.1 000 Zero\r\n\r\n", kBroken },
        { "HTTP/1.1 099 Low\r\n\r\n", kBroken }, { "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", kBroken } };
    int n = 0;
    for (const auto& [interim, status] : cases) {
        answer = interim;
        for (const char* target : { "/unsafe/x", "/pool/x" })
            BOOST_TEST(site.send(target, "i" + std::to_string(n++), 0).status == status, interim);
    }
}

// The same for every user of the client: the form of the daemon with challenges, the store and orders.
BOOST_AUTO_TEST_CASE(clientTakesNoStatusThatIsNone)
{
    std::string line;
    RawUpstream upstream("s", "u", [&](const RawRequest& request) -> std::vector<RawPart> {
        return { { answerWith(line, request.id), RawEnding::close } };
    });
    HttpClient client(1u << 20);
    for (const StatusCase& it : kStatusCases) {
        line = it.line;
        HttpCall call;
        call.method = "GET";
        call.endpoint = upstream.endpoint();
        call.target = "/";
        std::optional<HttpOutcome> outcome;
        client.start(call, [&](HttpOutcome result) { outcome = std::move(result); });
        BOOST_REQUIRE(RawSite::runLoopUntil([&] { return outcome.has_value(); }));
        const auto* answer = std::get_if<HttpAnswer>(&*outcome);
        const auto* failure = std::get_if<HttpFailure>(&*outcome);
        BOOST_TEST((answer ? answer->status : kBroken) == it.status, line);
        BOOST_TEST((!failure || failure->fault == HttpFault::broken), line);
    }
}

BOOST_AUTO_TEST_SUITE_END()
