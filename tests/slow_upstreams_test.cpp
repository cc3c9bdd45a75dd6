#include "raw_site.h"
#include "requests/held_bytes.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

// Upstreams that read slowly or have little memory, and callers that read slowly, over real sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

constexpr std::size_t kBodyBytes = 300000; // flows
constexpr std::size_t kRequests = 10;
constexpr std::int64_t kUpstreamMb = 1;
constexpr Millis kRunTime { 150 };
constexpr std::size_t kAnswerBytes = 3000000; // more than the sockets' buffers take

bool isLarge(const RawRequest& request) { return request.id.compare(0, 5, "large") == 0; }

// An upstream that keeps each request of the test for kRunTime, and what it held at the most.
struct Holder {
    std::size_t bytes = 0, most = 0;
    std::vector<std::unique_ptr<Timer>> ends;

    std::vector<RawPart> hold(const RawRequest& request)
    {
        if (!isLarge(request))
            return { { sealedAnswer(request.id, "small") } };
        const std::size_t n = request.http.body.size();
        bytes += n;
        most = std::max(most, bytes);
        ends.push_back(std::make_unique<Timer>([this, n] { bytes -= n; }));
        ends.back()->once(kRunTime);
        return { { sealedAnswer(request.id, "large"), RawEnding::keepOpen, kRunTime } };
    }
};

// Sends requests with large bodies to all hosts at once; returns how many were answered by the upstream.
std::size_t sendLarge(RawSite& site, const std::string& target)
{
    std::size_t ended = 0, answered = 0;
    for (std::size_t n = 0; n < kRequests; ++n) {
        HttpCall call = site.call(target, "large" + std::to_string(n), n % site.callerEndpoints.size());
        call.method = "POST";
        call.body = std::string(kBodyBytes, 'b');
        site.client.start(std::move(call), [&](const HttpOutcome& outcome) {
            ++ended;
            const auto* answer = std::get_if<HttpAnswer>(&outcome);
            answered += answer && answer->status == 200;
        });
    }
    BOOST_TEST(RawSite::runLoopUntil([&] { return ended == kRequests; }));
    return answered;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlowUpstreams)

BOOST_AUTO_TEST_CASE(boundOfBytesLetsOneRequestOfAnySizePass)
{
    BOOST_TEST(mayHold({}, 1000, 10));
    BOOST_TEST(!mayHold({ 1, 1000 }, 0, 10));
    BOOST_TEST(mayHold({ 1, 6 }, 4, 10));
    BOOST_TEST(!mayHold({ 1, 6 }, 5, 10));
    BOOST_TEST(!mayHold({ 1, 1 }, UINT64_MAX, 10));
    Request request;
    request.method = "POST";
    request.target = "/x";
    request.headers = { { "host", "a" } };
    BOOST_TEST(bytesOf(request, 100) == 115u);
}

// Guards against an upstream that ends because the requests that it holds exceed its memory.
BOOST_AUTO_TEST_CASE(upstreamHoldsNoMoreBytesThanItsMemory)
{
    Holder holder;
    RawSite site(
        2, [&](const RawRequest& request) { return holder.hold(request); }, 6000, 500, kUpstreamMb);
    BOOST_REQUIRE(site.waitUntilServed());
    for (const std::string target : { "/pool/x", "/unsafe/x" }) {
        holder.most = 0;
        const std::size_t answered = sendLarge(site, target);
        BOOST_TEST(holder.most <= static_cast<std::size_t>(kUpstreamMb) << 20);
        BOOST_TEST(answered == kRequests);
    }
}

// A small request does not wait behind large ones that wait for memory.
BOOST_AUTO_TEST_CASE(smallRequestPassesThoseThatWaitForMemory)
{
    Holder holder;
    RawSite site(
        1, [&](const RawRequest& request) { return holder.hold(request); }, 6000, 500, kUpstreamMb);
    BOOST_REQUIRE(site.waitUntilServed());
    bool smallFirst = false;
    Timer later([&] { smallFirst = site.send("/pool/x", "small", 0).status == 200 && holder.bytes > 0; });
    later.once(kRunTime / 3);
    BOOST_TEST(sendLarge(site, "/pool/x") == kRequests);
    BOOST_TEST(smallFirst);
}

// An upstream cuts off an answer that stays unread for seconds, so it is read while its caller takes nothing.
BOOST_AUTO_TEST_CASE(answerIsReadFromItsUpstreamWhileItsCallerTakesNothing)
{
    RawSite site(1, [](const RawRequest& request) -> std::vector<RawPart> {
        return { { sealedAnswer(request.id, std::string(isLarge(request) ? kAnswerBytes : 1, 'a')) } };
    });
    BOOST_REQUIRE(site.waitUntilServed());
    CallerConnection caller(site.callerEndpoints[0]);
    caller.write(RawSite::text("/safe/x", "large", 10000));
    BOOST_TEST(RawSite::runLoopUntil([&] { return site.pooled.runCount("large") == 1; }));
    BOOST_TEST(RawSite::runLoopUntil([&] { return site.pooled.unreadBytes() == 0; }, Millis(2000)));
    RawSite::runLoopFor(Millis(500));
    BOOST_TEST(RawSite::runLoopUntil([&] { return caller.read().size() > kAnswerBytes; }));
}

BOOST_AUTO_TEST_SUITE_END()
