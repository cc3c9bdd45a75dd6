#include "raw_site.h"

#include <boost/test/unit_test.hpp>

// Upstreams that write wrong bytes, as the callers of a site see them. Real sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

const std::string kAnswerBody = "the whole body";
constexpr const char* kTargets[] = { "/get/x", "/unsafe/x", "/pool/x", "/safe/x" };

bool isPromise(int status) { return status == 503 || status == 429 || status == 421 || status == 408; }

// Handles orders, the requests of waitUntilServed() and health checks as a sound upstream does, and the others with
// `handler`.
RawUpstream::Handler soundExcept(RawUpstream::Handler handler)
{
    return [handler = std::move(handler)](const RawRequest& request) -> std::vector<RawPart> {
        const bool isOrder = request.http.path == "/grant" || request.http.path == "/release";
        if (isOrder || request.id.find("warm") == 0)
            return { { sealedAnswer(request.id, isOrder ? "{}" : kAnswerBody) } };
        return handler(request);
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(FaultyUpstreams)

// Guards against "not run, try again" for a request that ran: an upstream wrote the refusal of an earlier request once
// more, before the answer.
BOOST_AUTO_TEST_CASE(refusalThatBearsAnotherRequestsIdIsNoPromise)
{
    std::string refusal;
    RawSite site(2, soundExcept([&](const RawRequest& request) -> std::vector<RawPart> {
        return { { refusal }, { sealedAnswer(request.id, kAnswerBody), RawEnding::keepOpen, Millis(20) } };
    }));
    BOOST_REQUIRE(site.waitUntilServed());
    const std::string refusals[] = { notExecuted(503, "earlier"), notExecuted(429, "earlier"),
        notExecuted(421, "earlier"), "HTTP/1.1 421 Refused\r\nRequest-Id: earlier\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Refused\r\nRequest-Id: earlier\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n" };
    int n = 0;
    for (const std::string& it : refusals) {
        refusal = it;
        for (const char* target : kTargets) {
            for (std::size_t host = 0; host < 2; ++host) {
                const std::string id = "r" + std::to_string(n++);
                const HttpAnswer answer = site.send(target, id, host);
                BOOST_TEST(!isPromise(answer.status), target << " got " << answer.status << ", host " << host);
                BOOST_TEST((site.runCount(id) == 1u || site.call(target, id, host).method == "GET"),
                    target << " ran " << site.runCount(id) << " times, host " << host);
            }
        }
    }
}

// Guards against an order that runs twice: an upstream failed it after it had run, with a status that promises its
// caller that it has not run, and the caller sent it again. A caller of an idempotent request gets the answer as it is.
BOOST_AUTO_TEST_CASE(failureOfARequestThatHasRunIsNoPromise)
{
    int status = 0;
    RawSite site(2, soundExcept([&](const RawRequest& request) -> std::vector<RawPart> {
        return { { "HTTP/1.1 " + std::to_string(status) + " Failed\r\nRequest-Id: " + request.id
            + "\r\nServer-Seal: seal\r\nContent-Length: 6\r\n\r\nfailed" } };
    }));
    BOOST_REQUIRE(site.waitUntilServed());
    int n = 0;
    for (const int it : { 503, 429, 408 }) {
        status = it;
        for (const char* target : kTargets) {
            for (std::size_t host = 0; host < 2; ++host) {
                const std::string id = "f" + std::to_string(n++);
                const bool isIdempotent = site.call(target, id, host).method == "GET";
                const HttpAnswer answer = site.send(target, id, host);
                const std::string what
                    = std::string(target) + " " + std::to_string(it) + " host " + std::to_string(host);
                BOOST_TEST(answer.status == (isIdempotent ? it : 502), what << " got " << answer.status);
                BOOST_TEST(answer.headers.count("server-seal") == (isIdempotent ? 1u : 0u), what);
                BOOST_TEST(site.runCount(id) == 1u, what << " ran " << site.runCount(id) << " times");
            }
        }
    }
}

// Guards against an answer to an earlier request that is written on a connection in use again: no connection to an
// upstream carries a second request.
BOOST_AUTO_TEST_CASE(refusalWrittenAgainOnAKeptConnectionReachesNoRequest)
{
    std::map<std::string, unsigned> refused;
    RawSite site(2, soundExcept([&](const RawRequest& request) -> std::vector<RawPart> {
        const std::string keep = "Keep-Alive: timeout=5\r\n";
        const std::string answer = sealedAnswer(request.id, kAnswerBody, keep);
        if (request.id.find("refused") == 0 && refused[request.id]++ == 0) {
            const std::string refusal = notExecuted(503, request.id, keep), bare = notExecuted(503, "", keep);
            // At once, and once more on a connection that is idle or in use again by then.
            return { { refusal + refusal }, { refusal + bare, RawEnding::keepOpen, Millis(30) } };
        }
        return { { answer + notExecuted(429, "") }, { notExecuted(503, "old"), RawEnding::keepOpen, Millis(10) } };
    }));
    BOOST_REQUIRE(site.waitUntilServed());
    for (int n = 0; n < 5; ++n) {
        for (const char* target : kTargets) {
            for (std::size_t host = 0; host < 2; ++host) {
                const std::string number = std::to_string(n) + target + std::to_string(host);
                const HttpAnswer first = site.send(target, "refused" + number, host);
                BOOST_TEST(first.status == 200);
                const HttpAnswer second = site.send(target, "next" + number, host);
                BOOST_TEST(second.status == 200);
                BOOST_TEST(second.body == kAnswerBody);
                BOOST_TEST(site.runCount("next" + number) == 1u);
            }
        }
    }
    for (const auto* upstream : { &site.keyed, &site.pooled }) {
        for (const auto& it : upstream->received)
            BOOST_TEST(it.number == 0u, "request " << it.id << " was number " << it.number << " of its connection");
    }
}

BOOST_AUTO_TEST_SUITE_END()
