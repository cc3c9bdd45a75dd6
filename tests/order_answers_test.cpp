#include "raw_site.h"

#include "platform/upstreams.h"

#include <boost/test/unit_test.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

// Upstreams that answer orders wrongly, as the sender of the orders sees them. Real sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

// Sends grants to a raw upstream as a range leader does, one after the other.
struct OrderSender {
    RawUpstream upstream;
    HttpClient client { 1u << 20 };

    explicit OrderSender(RawUpstream::Handler handler)
        : upstream("keyed", "k0", std::move(handler))
    {
    }

    OrderVerdict grant(const std::string& id)
    {
        const UpstreamInstance instance { { "k0", { 1000 } }, "keyed", upstream.endpoint(), "z1", 2, false, {} };
        std::optional<OrderVerdict> verdict;
        client.start(platform::grantCall(instance, { { 0 }, { 65535 }, { 3 }, Millis(2500), "", id }),
            [&](const HttpOutcome& outcome) { verdict = platform::interpretGrant(outcome, id); });
        RawSite::runLoopUntil([&] { return verdict.has_value(); });
        return *verdict;
    }
};

// The user time-outs, in ms, of this process's connections to a port.
std::vector<unsigned> userTimeoutsTo(std::uint16_t port)
{
    constexpr int kMaxDescriptor = 1024;
    std::vector<unsigned> timeouts;
    for (int fd = 0; fd < kMaxDescriptor; ++fd) {
        sockaddr_in peer {};
        socklen_t bytes = sizeof peer;
        if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &bytes) != 0 || peer.sin_family != AF_INET
            || ntohs(peer.sin_port) != port)
            continue;
        unsigned timeout = 0;
        bytes = sizeof timeout;
        if (getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &bytes) == 0)
            timeouts.push_back(timeout);
    }
    return timeouts;
}

bool provesNotApplied(OrderVerdict verdict)
{
    return verdict != OrderVerdict::done && verdict != OrderVerdict::unanswered;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OrdersToFaultyUpstreams)

// Guards against a grant that an upstream carried out and the leader counts as refused: its keys would go to another
// upstream at once. The upstream writes the refusal of an earlier grant once more on the kept connection.
BOOST_AUTO_TEST_CASE(refusalOfAnEarlierGrantProvesNothingAboutALaterOne)
{
    for (const int status : { 409, 421, 400, 429 }) {
        for (const bool bearsId : { true, false }) {
            const std::string refusal = "HTTP/1.1 " + std::to_string(status) + " Refused\r\n"
                + (bearsId ? "Request-Id: g0\r\n" : "") + "Content-Length: 0\r\n\r\n";
            OrderSender sender([&](const RawRequest& request) -> std::vector<RawPart> {
                if (request.id == "g0")
                    return { { refusal } };
                if (request.id == "g1")
                    return { { refusal }, { sealedAnswer("g1", "{}"), RawEnding::keepOpen, Millis(20) } };
                return { { sealedAnswer(request.id, "{}") } };
            });
            BOOST_TEST(provesNotApplied(sender.grant("g0")));
            BOOST_TEST(!provesNotApplied(sender.grant("g1")), status << (bearsId ? " with" : " without") << " an id");
            // The answer that is left over is not taken for a later one's; at most one grant meets it.
            RawSite::runLoopFor(Millis(50));
            BOOST_TEST(!provesNotApplied(sender.grant("g2")));
            BOOST_TEST(
                (sender.grant("g3") == OrderVerdict::done), status << (bearsId ? " with" : " without") << " an id");
        }
    }
}

// Guards against grants whose answers no longer match: an extra answer shifts all that follow on the connection.
BOOST_AUTO_TEST_CASE(extraAnswerToAGrantDoesNotShiftTheLaterOnes)
{
    for (const Millis after : { Millis(0), Millis(30) }) {
        OrderSender sender([&](const RawRequest& request) -> std::vector<RawPart> {
            const std::string answer = sealedAnswer(request.id, "{}");
            if (request.id == "g1")
                return { { answer }, { answer, RawEnding::keepOpen, after } };
            return { { answer } };
        });
        int unanswered = 0;
        for (int n = 0; n < 6; ++n) {
            const OrderVerdict verdict = sender.grant("g" + std::to_string(n));
            BOOST_TEST(!provesNotApplied(verdict));
            unanswered += verdict != OrderVerdict::done;
            RawSite::runLoopFor(Millis(60));
        }
        BOOST_TEST(unanswered <= 1, unanswered << " grants unanswered");
    }
}

// Guards against a grant that arrives after its time: the process that sent it was stopped while the link was cut, and
// the kernel went on sending.
BOOST_AUTO_TEST_CASE(kernelDropsAnOrderThatItCannotDeliverInTime)
{
    OrderSender sender([](const RawRequest& request) -> std::vector<RawPart> {
        return { { sealedAnswer(request.id, "{}"), RawEnding::keepOpen, Millis(100) } };
    });
    HttpCall call = platform::grantCall({ { "k0", { 1000 } }, "keyed", sender.upstream.endpoint(), "z1", 2, false, {} },
        { { 0 }, { 65535 }, { 3 }, Millis(2500), "", "a" });
    call.timeout = Millis(400);
    bool hasEnded = false;
    sender.client.start(std::move(call), [&](const HttpOutcome&) { hasEnded = true; });
    std::vector<unsigned> timeouts;
    RawSite::runLoopUntil([&] {
        timeouts = userTimeoutsTo(sender.upstream.endpoint().port);
        return hasEnded || !timeouts.empty();
    });
    BOOST_TEST(timeouts == std::vector<unsigned> { 400 }, boost::test_tools::per_element());
    RawSite::runLoopUntil([&] { return hasEnded; });
}

BOOST_AUTO_TEST_SUITE_END()
