#include "io/http_client.h"
#include "io/http_server.h"
#include "io/socket.h"
#include "store/etcd_store.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

// Servers that answer wrongly, as seen by the HTTP client, and the HTTP server at its stop. Real sockets, one process.
using namespace pistachiospur;

namespace {

constexpr Millis kTestTimeout { 20000 };
constexpr std::size_t kMaxBody = 100000;

bool runLoopUntil(const std::function<bool()>& condition)
{
    Timer wake([] {});
    wake.every(Millis(5));
    const Millis end = monotonicNow() + kTestTimeout;
    while (!condition() && monotonicNow() < end)
        ev_run(defaultLoop(), EVRUN_ONCE);
    return condition();
}

enum class Ending {
    close,
    reset,
    endless, // repeats the last part of the answer until the caller closes
    open, // sends nothing more
};

// Accepts one connection and answers its first bytes with a fixed text.
class RawServer {
public:
    RawServer(std::string text, Ending ending, std::string repeated = {})
        : m_answer(std::move(text))
        , m_ending(ending)
        , m_repeated(std::move(repeated))
        , m_listenFd(listenOn({ "127.0.0.1", 0 }))
        , m_accept([this](int) { accept(); })
        , m_watcher([this](int) { answer(); })
    {
        m_accept.watch(m_listenFd, EV_READ);
    }
    ~RawServer()
    {
        ::close(m_listenFd);
        if (m_fd >= 0)
            ::close(m_fd);
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", boundPort(m_listenFd) }; }
    bool isCallerGone() const { return m_callerGone; }
    std::size_t repeatedBytes() const { return m_repeatedBytes; }

private:
    void accept()
    {
        m_fd = accept4(m_listenFd, nullptr, nullptr, SOCK_NONBLOCK);
        m_watcher.watch(m_fd, EV_READ);
    }

    void answer()
    {
        char buf[65536];
        if (!std::exchange(m_answered, true)) {
            (void)!::recv(m_fd, buf, sizeof buf, 0);
            BOOST_REQUIRE(::send(m_fd, m_answer.data(), m_answer.size(), MSG_NOSIGNAL) > 0);
            if (m_ending == Ending::close || m_ending == Ending::reset)
                return end();
            m_watcher.watch(m_fd, m_ending == Ending::endless ? EV_WRITE : EV_READ);
            return;
        }
        const ssize_t n = m_ending == Ending::endless ? ::send(m_fd, m_repeated.data(), m_repeated.size(), MSG_NOSIGNAL)
                                                      : ::recv(m_fd, buf, sizeof buf, 0);
        if (m_ending == Ending::endless && n > 0)
            m_repeatedBytes += static_cast<std::size_t>(n);
        if (n == 0 || (n < 0 && errno != EAGAIN)) {
            m_callerGone = true;
            m_watcher.stop();
        }
    }

    void end()
    {
        m_watcher.stop();
        const linger noLinger { 1, 0 };
        if (m_ending == Ending::reset)
            setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
        ::close(std::exchange(m_fd, -1));
    }

    std::string m_answer;
    Ending m_ending;
    std::string m_repeated;
    int m_listenFd;
    int m_fd = -1;
    bool m_answered = false;
    bool m_callerGone = false;
    std::size_t m_repeatedBytes = 0; // sent
    SocketWatcher m_accept;
    SocketWatcher m_watcher;
};

std::optional<HttpOutcome> call(HttpClient& client, const Endpoint& endpoint, std::string body = {})
{
    HttpCall request;
    request.method = body.empty() ? "GET" : "POST";
    request.endpoint = endpoint;
    request.target = "/";
    request.body = std::move(body);
    request.timeout = Millis(15000);
    request.freshConnection = true;
    std::optional<HttpOutcome> outcome;
    client.start(std::move(request), [&](HttpOutcome it) { outcome = std::move(it); });
    runLoopUntil([&] { return outcome.has_value(); });
    return outcome;
}

bool isFault(const std::optional<HttpOutcome>& outcome, HttpFault fault)
{
    const auto* failure = outcome ? std::get_if<HttpFailure>(&*outcome) : nullptr;
    return failure && failure->fault == fault;
}

const std::string kHead = "HTTP/1.1 200 OK\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(WrongAnswers)

BOOST_AUTO_TEST_CASE(answerThatBreaksOffIsNoAnswer)
{
    for (const Ending ending : { Ending::close, Ending::reset }) {
        for (const std::string& text :
            { kHead + "Content-Length: 10\r\n\r\nhalf", kHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                kHead + "Content-Le", std::string("HTTP/1.1 2") }) {
            RawServer server(text, ending);
            HttpClient client(kMaxBody);
            BOOST_TEST(isFault(call(client, server.endpoint()), HttpFault::broken), text);
        }
    }
    // Without a length the answer ends with the connection, but not when the connection is reset.
    RawServer resetting(kHead + "\r\nhalf", Ending::reset);
    HttpClient client(kMaxBody);
    BOOST_TEST(isFault(call(client, resetting.endpoint()), HttpFault::broken));
    RawServer closing(kHead + "\r\nwhole", Ending::close);
    const auto outcome = call(client, closing.endpoint());
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(std::get<HttpAnswer>(*outcome).body == "whole");
}

BOOST_AUTO_TEST_CASE(bytesWithoutEndAreBoundedAndTheConnectionIsClosed)
{
    const std::string block(10000, 'x');
    const std::vector<std::pair<std::string, std::string>> cases = {
        { kHead, "X-" + block + ": 1\r\n" }, // a head of large lines
        { kHead, "A: 1\r\n" }, // a head of many lines
        { kHead + "X: ", block }, // one line
        { "", "HTTP/1.1 100 Continue\r\n\r\n" }, // interim responses
        { kHead + "\r\n", block }, // a body without a length
        { kHead + "Transfer-Encoding: chunked\r\n\r\n", "2710\r\n" + block + "\r\n" },
        { kHead + "Content-Length: 1000000000000\r\n\r\n", block }, { "", block }, // no HTTP at all
    };
    for (const auto& [begin, repeated] : cases) {
        RawServer server(begin + repeated, Ending::endless, repeated);
        HttpClient client(kMaxBody);
        const auto outcome = call(client, server.endpoint());
        BOOST_TEST((isFault(outcome, HttpFault::tooLarge) || isFault(outcome, HttpFault::broken)),
            begin + repeated.substr(0, 30));
        BOOST_TEST(runLoopUntil([&] { return server.isCallerGone(); }));
    }
}

BOOST_AUTO_TEST_CASE(endlessAnswerCostsItselfAndNotTheOthers)
{
    constexpr std::size_t kTotal = 300000;
    HttpClient client(1u << 30, kTotal);
    const std::string block(10000, 'x');
    RawServer endless(kHead + "\r\n", Ending::endless, block);
    HttpServer sound({ "127.0.0.1", 0 }, 1000, [](const HttpRequest&, const Responder& responder) {
        responder.respond({ 200, {}, std::string(50000, 'y') });
    });
    std::optional<HttpOutcome> first;
    HttpCall request;
    request.method = "GET";
    request.endpoint = endless.endpoint();
    request.target = "/";
    request.timeout = Millis(15000);
    client.start(request, [&](HttpOutcome it) { first = std::move(it); });
    while (!first) {
        const auto outcome = call(client, { "127.0.0.1", sound.port() });
        BOOST_REQUIRE(outcome.has_value());
        BOOST_REQUIRE(std::holds_alternative<HttpAnswer>(*outcome));
    }
    BOOST_TEST(isFault(first, HttpFault::tooLarge));
}

// Guards against a host that runs out of memory by the heads of many calls, each within the bound of one.
BOOST_AUTO_TEST_CASE(headsOfManyCallsTakeNoMoreThanTheShareOfAll)
{
    constexpr std::size_t kTotal = 1u << 20;
    constexpr std::size_t kHeadBytes = 100u << 10;
    constexpr std::size_t kCalls = 40;
    std::string head = kHead;
    for (int n = 0; head.size() < kHeadBytes; ++n)
        head += "H" + std::to_string(n) + ": " + std::string(1000, 'x') + "\r\n";
    std::vector<std::unique_ptr<RawServer>> servers;
    HttpClient client(kMaxBody, kTotal);
    std::vector<HttpOutcome> ended;
    for (std::size_t n = 0; n < kCalls; ++n) {
        servers.push_back(std::make_unique<RawServer>(head, Ending::open));
        HttpCall request;
        request.method = "GET";
        request.endpoint = servers.back()->endpoint();
        request.target = "/";
        request.timeout = Millis(15000);
        client.start(request, [&](HttpOutcome it) { ended.push_back(std::move(it)); });
    }
    BOOST_TEST(runLoopUntil([&] { return client.inFlight() <= kTotal / kHeadBytes; }));
    for (const HttpOutcome& it : ended)
        BOOST_TEST(isFault(it, HttpFault::tooLarge));
    HttpServer sound({ "127.0.0.1", 0 }, 1000, [](const HttpRequest&, const Responder& responder) {
        responder.respond({ 200, {}, "sound" });
    });
    const auto outcome = call(client, { "127.0.0.1", sound.port() });
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(std::holds_alternative<HttpAnswer>(*outcome));
}

// Guards against a host that runs out of memory by answers whose callers do not read them.
BOOST_AUTO_TEST_CASE(callersThatTakeNothingCostThemselvesAndNotTheOthers)
{
    constexpr std::size_t kAnswerBytes = 8u << 20; // more than the sockets' buffers take
    constexpr std::size_t kMaxUnsent = 3 * kAnswerBytes;
    std::size_t answered = 0;
    HttpServer server({ "127.0.0.1", 0 }, 1000, [&](const HttpRequest&, const Responder& responder) {
        ++answered;
        responder.respond({ 200, {}, std::string(kAnswerBytes, 'y') });
    });
    server.setMaxUnsentBytes(kMaxUnsent);
    const Endpoint endpoint { "127.0.0.1", server.port() };
    std::vector<int> callers;
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    for (std::size_t n = 0; n < 8; ++n) {
        callers.push_back(connectTo(endpoint));
        bool sent = false;
        runLoopUntil([&] {
            sent = sent || ::send(callers.back(), request.data(), request.size(), MSG_NOSIGNAL) > 0;
            return sent;
        });
        BOOST_REQUIRE(runLoopUntil([&] { return answered == n + 1; }));
        // The connection is closed when the callbacks that have filled it have returned.
        ev_run(defaultLoop(), EVRUN_NOWAIT);
        BOOST_TEST(server.unsentBytes() <= kMaxUnsent);
    }
    BOOST_TEST(server.connectionCount() < callers.size());
    HttpClient client(2 * kAnswerBytes);
    const auto outcome = call(client, endpoint);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_REQUIRE(std::holds_alternative<HttpAnswer>(*outcome));
    BOOST_TEST(std::get<HttpAnswer>(*outcome).body.size() == kAnswerBytes);
    std::for_each(callers.begin(), callers.end(), ::close);
}

// Guards against connections that keep the memory of responses which their callers have taken.
BOOST_AUTO_TEST_CASE(memoryOfResponsesThatAreTakenIsReturned)
{
    constexpr std::size_t kAnswerBytes = 1u << 20, kCallers = 16;
    HttpServer server({ "127.0.0.1", 0 }, 1000, [&](const HttpRequest&, const Responder& responder) {
        responder.respond({ 200, {}, std::string(kAnswerBytes, 'y') });
    });
    const auto usedBytes = [] {
        const auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    const std::size_t before = usedBytes();
    std::vector<int> callers;
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    for (std::size_t n = 0; n < kCallers; ++n) {
        callers.push_back(connectTo({ "127.0.0.1", server.port() }));
        bool sent = false;
        std::size_t taken = 0;
        BOOST_REQUIRE(runLoopUntil([&] {
            char buf[65536];
            sent = sent || ::send(callers.back(), request.data(), request.size(), MSG_NOSIGNAL) > 0;
            taken += static_cast<std::size_t>(
                std::max<ssize_t>(0, ::recv(callers.back(), buf, sizeof buf, MSG_DONTWAIT)));
            return taken >= kAnswerBytes && !server.isResponding();
        }));
    }
    BOOST_TEST(server.connectionCount() == kCallers);
    BOOST_TEST(server.unsentBytes() == 0u);
    BOOST_TEST(usedBytes() < before + kCallers * kAnswerBytes / 4);
    std::for_each(callers.begin(), callers.end(), ::close);
}

// Guards against a caller that sends requests without end and reads no answer.
BOOST_AUTO_TEST_CASE(requestsAreReadNoFasterThanTheirAnswersAreTaken)
{
    std::size_t answered = 0;
    HttpServer server({ "127.0.0.1", 0 }, 1000, [&](const HttpRequest&, const Responder& responder) {
        ++answered;
        responder.respond({ 200, {}, std::string(100000, 'y') });
    });
    const int caller = connectTo({ "127.0.0.1", server.port() });
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::size_t before = 0;
    const auto sendsNoMore = [&] {
        for (int n = 0; n < 50; ++n)
            (void)!::send(caller, request.data(), request.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        const Millis until = monotonicNow() + Millis(100);
        runLoopUntil([&] { return monotonicNow() >= until; });
        return answered > 0 && std::exchange(before, answered) == answered;
    };
    BOOST_TEST(runLoopUntil(sendsNoMore));
    BOOST_TEST(server.unsentBytes() < 64u << 20);
    ::close(caller);
}

// Guards against a store that sends a line of a watch without an end.
BOOST_AUTO_TEST_CASE(lineOfAWatchWithoutEndEndsTheWatch)
{
    RawServer server(kHead + "\r\n{", Ending::endless, std::string(60000, ' '));
    HttpClient client(64u << 20);
    EtcdStore store(client, { server.endpoint() }, "p/", Millis(2000), 1u << 20);
    bool ended = false;
    store.watch(
        {}, [](const ChangeBatch&) {}, [&](const StoreError&) { ended = true; });
    BOOST_TEST(runLoopUntil([&] { return ended; }));
    BOOST_TEST(runLoopUntil([&] { return server.isCallerGone(); }));
    BOOST_TEST(server.repeatedBytes() < 16u << 20); // the sockets' buffers included
}

BOOST_AUTO_TEST_CASE(answerBeforeTheWholeBodyIsReadCountsAtOnce)
{
    // The server answers the first bytes and reads no more of the body.
    RawServer server(kHead + "Content-Length: 5\r\n\r\nearly", Ending::open);
    HttpClient client(kMaxBody);
    const auto outcome = call(client, server.endpoint(), std::string(8u << 20, 'x'));
    BOOST_REQUIRE(outcome.has_value());
    BOOST_REQUIRE(std::holds_alternative<HttpAnswer>(*outcome));
    BOOST_TEST(std::get<HttpAnswer>(*outcome).body == "early");
}

BOOST_AUTO_TEST_CASE(requestsThatArriveAtTheStopAreAnswered)
{
    HttpServer server({ "127.0.0.1", 0 }, 1000, [](const HttpRequest&, const Responder& responder) {
        responder.respond({ 200, { { "Connection", "close" } }, "answered" });
    });
    // The connection waits in the listening socket's queue when the server stops.
    const int fd = connectTo({ "127.0.0.1", server.port() });
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE(::send(fd, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
    server.stopListening();
    std::string answer;
    bool ended = false;
    BOOST_TEST(runLoopUntil([&] {
        char buf[4096];
        const ssize_t n = ::recv(fd, buf, sizeof buf, MSG_DONTWAIT);
        if (n > 0)
            answer.append(buf, static_cast<std::size_t>(n));
        ended |= n == 0;
        return ended;
    }));
    BOOST_TEST(answer.find("answered") != std::string::npos);
    ::close(fd);
}

BOOST_AUTO_TEST_SUITE_END()
