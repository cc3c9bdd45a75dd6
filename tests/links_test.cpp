#include "io/socket.h"
#include "peers/hub.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

// Links between two hubs in one process, over real sockets.
using namespace pistachiospur;

namespace {

constexpr Millis kTestTimeout { 20000 };

bool runLoopUntil(const std::function<bool()>& condition)
{
    Timer wake([] {});
    wake.every(Millis(5));
    const Millis end = monotonicNow() + kTestTimeout;
    while (!condition() && monotonicNow() < end)
        ev_run(defaultLoop(), EVRUN_ONCE);
    return condition();
}

// A hub that records what it receives and which links it loses.
struct Host {
    std::map<HostName, Endpoint> endpoints; // of the other hosts
    std::vector<Message> received;
    std::vector<LostLink> lost;
    PeerHub hub;

    // `kinds` is what it says that it reads.
    explicit Host(const HostName& name, std::size_t kinds = kMessageKinds)
        : hub({ "127.0.0.1", 0 }, Hello { name, { 1 }, false, kinds },
            { [this](const HostLife&, LinkId, Message message) { received.push_back(std::move(message)); },
                [this](const LostLink& link) { lost.push_back(link); },
                [this](const HostName& host) -> std::optional<Endpoint> {
                    const auto it = endpoints.find(host);
                    return it == endpoints.end() ? std::nullopt : std::optional(it->second);
                } })
    {
    }

    template <typename Kind> std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(
            received.begin(), received.end(), [](const auto& it) { return std::holds_alternative<Kind>(it); }));
    }
};

// Forwards one connection to an endpoint, until it is told to go silent.
class Forwarder {
public:
    explicit Forwarder(Endpoint to)
        : m_to(std::move(to))
        , m_listenFd(listenOn({ "127.0.0.1", 0 }))
        , m_accept([this](int) { accept(); })
        , m_fromCaller([this](int) { pump(m_callerFd, m_targetFd); })
        , m_fromTarget([this](int) { pump(m_targetFd, m_callerFd); })
    {
        m_accept.watch(m_listenFd, EV_READ);
    }
    ~Forwarder()
    {
        for (const int fd : { m_listenFd, m_callerFd, m_targetFd })
            ::close(fd);
    }
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", boundPort(m_listenFd) }; }
    void goSilent()
    {
        m_fromCaller.stop();
        m_fromTarget.stop();
    }

private:
    void accept()
    {
        m_callerFd = ::accept(m_listenFd, nullptr, nullptr);
        m_targetFd = connectTo(m_to);
        m_fromCaller.watch(m_callerFd, EV_READ);
        m_fromTarget.watch(m_targetFd, EV_READ);
        m_accept.stop();
    }

    static void pump(int from, int to)
    {
        char buf[65536];
        const ssize_t n = ::recv(from, buf, sizeof buf, MSG_DONTWAIT);
        if (n > 0)
            BOOST_REQUIRE(::send(to, buf, static_cast<std::size_t>(n), MSG_NOSIGNAL) == n);
    }

    Endpoint m_to;
    int m_listenFd;
    int m_callerFd = -1;
    int m_targetFd = -1;
    SocketWatcher m_accept;
    SocketWatcher m_fromCaller;
    SocketWatcher m_fromTarget;
};

Relay relayOf(std::uint64_t id, std::size_t bodyBytes = 0)
{
    Relay relay { id, "u", {} };
    relay.request.body = std::string(bodyBytes, 'x');
    return relay;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerLinks)

BOOST_AUTO_TEST_CASE(messageForTheControlLinkDoesNotWaitBehindBodies)
{
    Host a("a"), b("b");
    a.endpoints["b"] = { "127.0.0.1", b.hub.port() };
    a.hub.send("b", HostLeaving {});
    a.hub.send("b", relayOf(0), Lane::bulk);
    BOOST_REQUIRE(runLoopUntil([&] { return b.count<HostLeaving>() == 1 && b.count<Relay>() == 1; }));
    // More than the sockets' buffers hold, so that most of it waits in this process.
    for (std::uint64_t n = 1; n <= 10; ++n)
        a.hub.send("b", relayOf(n, 1u << 20), Lane::bulk);
    a.hub.send("b", HostLeaving {});
    BOOST_TEST(runLoopUntil([&] { return b.count<HostLeaving>() == 2; }));
    BOOST_TEST(b.count<Relay>() < 11u);
    BOOST_TEST(runLoopUntil([&] { return b.count<Relay>() == 11; }));
}

BOOST_AUTO_TEST_CASE(requestIsNotSentOnALinkThatHasGoneSilent)
{
    Host a("a"), b("b");
    Forwarder between({ "127.0.0.1", b.hub.port() });
    a.endpoints["b"] = between.endpoint();
    const auto first = a.hub.send("b", relayOf(1));
    BOOST_REQUIRE(runLoopUntil([&] { return b.count<Relay>() == 1; }));
    // The reply, so that nothing is due on the link and it is not pinged.
    b.hub.send("a", RelayReply { 1, notRun(RefusalReason::queueFull), Millis(0) });
    BOOST_REQUIRE(runLoopUntil([&] { return a.count<RelayReply>() == 1; }));
    between.goSilent();
    const Millis until = monotonicNow() + kProofAge + Millis(50);
    runLoopUntil([&] { return monotonicNow() >= until; });
    const auto second = a.hub.send("b", relayOf(2));
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(*first != *second);
    BOOST_TEST(runLoopUntil([&] { return !a.lost.empty(); }));
    BOOST_TEST((lossOf(a.lost[0], *first) == LinkLoss::sent));
    BOOST_TEST((lossOf(a.lost[0], *second) == LinkLoss::notSent));
    BOOST_TEST(b.count<Relay>() == 1u);
}

BOOST_AUTO_TEST_CASE(requestOnAnIdleLinkIsSentOnceTheOtherHostHasAnswered)
{
    Host a("a"), b("b");
    a.endpoints["b"] = { "127.0.0.1", b.hub.port() };
    a.hub.send("b", relayOf(1));
    BOOST_REQUIRE(runLoopUntil([&] { return b.count<Relay>() == 1; }));
    const Millis until = monotonicNow() + kProofAge + Millis(50);
    runLoopUntil([&] { return monotonicNow() >= until; });
    a.hub.send("b", relayOf(2));
    a.hub.send("b", RelayCancel { 2 });
    BOOST_TEST(b.count<Relay>() == 1u);
    BOOST_TEST(runLoopUntil([&] { return b.count<RelayCancel>() == 1; }));
    BOOST_TEST(b.count<Relay>() == 2u); // in order
    BOOST_TEST(a.lost.empty());
}

// Guards against links that hosts of two builds close again and again: one sends what the other does not read.
BOOST_AUTO_TEST_CASE(hostOfAnEarlierBuildGetsNoMessageThatItDoesNotRead)
{
    Host earlier("earlier", kBaselineKinds), host("host"), other("other");
    host.endpoints
        = { { "earlier", { "127.0.0.1", earlier.hub.port() } }, { "other", { "127.0.0.1", other.hub.port() } } };
    const ReachReport report { { "s" }, {} };
    host.hub.send(std::vector<HostName> { "earlier", "other" }, report);
    BOOST_TEST(runLoopUntil([&] { return host.count<Hello>() == 2; }));
    BOOST_TEST(!host.hub.send("earlier", report).has_value());
    BOOST_TEST(host.hub.send("other", report).has_value());
    BOOST_TEST(host.hub.send("earlier", HostLeaving { { 1 } }).has_value());
    BOOST_TEST(runLoopUntil([&] { return other.count<ReachReport>() == 1 && earlier.count<HostLeaving>() == 1; }));
    BOOST_TEST(earlier.count<ReachReport>() == 0u);
    BOOST_TEST(host.lost.empty());
    // It has sent such a message itself, so it reads them.
    earlier.endpoints = { { "host", { "127.0.0.1", host.hub.port() } } };
    BOOST_TEST(earlier.hub.send("host", report).has_value());
    BOOST_TEST(runLoopUntil([&] { return host.count<ReachReport>() == 1; }));
    BOOST_TEST(host.hub.send("earlier", report).has_value());
    BOOST_TEST(runLoopUntil([&] { return earlier.count<ReachReport>() == 1; }));
}

// Guards against a link that closes because the other host is of a later build.
BOOST_AUTO_TEST_CASE(messageOfALaterBuildIsSkippedAndTheLinkGoesOn)
{
    Host host("host");
    bool isOpen = false;
    const std::string later = { '\x82', '\x18', '\x63', '\x81', '\x01' }; // [99, [1]]
    const auto link = Link::connect({ "127.0.0.1", host.hub.port() },
        { [&](Link& it) {
             it.send(encode(Hello { "later", { 1 }, false, kMessageKinds + 9 }), false);
             it.send(later, false);
             it.send(encode(HostLeaving { { 1 } }), false);
             isOpen = true;
         },
            [](Link&, const std::string&) {}, [](Link&) {} },
        kDefaultMaxBacklogBytes);
    BOOST_TEST(runLoopUntil([&] { return isOpen && host.count<HostLeaving>() == 1; }));
    BOOST_TEST(host.hub.skipped() == 1u);
    BOOST_TEST(host.lost.empty());
    BOOST_TEST(link->isOpen());
}

BOOST_AUTO_TEST_SUITE_END()
