#include "http_connection.h"

#include "observe/events.h"
#include "socket.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace pistachiospur {

namespace {

// While there are too many connections, whether one has become idle is checked at this interval.
constexpr Millis kAcceptRetryInterval { 20 };
// When the budget is used up, this part of it is freed at once, so that connections are not compared for each request.
constexpr std::size_t kReclaimDivisor = 8;

} // namespace

const std::array<const char*, kCallerCloses> kCallerCloseNames = { "unread", "memory", "full", "timeout" };

// --- Responder ---

namespace {

// Owned by the aliasing shared_ptr that all copies of a responder share. Answers 500 when the last copy is destroyed
// without an answer.
struct UnansweredGuard {
    ExchangePtr exchange;
    ~UnansweredGuard()
    {
        if (exchange->connection && !exchange->answered) {
            exchange->answered = true;
            exchange->connection->respond(*exchange, { 500, {}, "" });
        }
    }
};

} // namespace

Responder::Responder(ExchangePtr exchange)
{
    auto guard = std::make_shared<UnansweredGuard>();
    guard->exchange = std::move(exchange);
    m_exchange = ExchangePtr(guard, guard->exchange.get());
}

void Responder::respond(HttpResponse response) const
{
    if (!std::exchange(m_exchange->answered, true) && m_exchange->connection)
        m_exchange->connection->respond(*m_exchange, std::move(response));
}

void Responder::beginStream(int status, HeaderList headers) const
{
    if (!std::exchange(m_exchange->answered, true) && m_exchange->connection)
        m_exchange->connection->beginStream(*m_exchange, { status, std::move(headers), "" });
}

void Responder::write(const std::string& chunk) const
{
    if (m_exchange->connection)
        m_exchange->connection->writeStream(*m_exchange, chunk);
}

void Responder::finish() const
{
    if (m_exchange->connection)
        m_exchange->connection->finishStream(*m_exchange);
}

void Responder::onDisconnect(std::function<void()> callback) const
{
    if (m_exchange->connection)
        m_exchange->onDisconnect = std::move(callback);
}

bool Responder::isOpen() const { return m_exchange->connection != nullptr; }

// --- Server ---

HttpServer::HttpServer(const Endpoint& endpoint, std::size_t maxBodyBytes, Handler handler, unsigned maxConnections)
    : m_listenFd(listenOn(endpoint))
    , m_port(boundPort(m_listenFd))
    , m_handler(std::move(handler))
    , m_maxConnections(maxConnections)
    , m_acceptWatcher([this](int) { acceptAll(); })
    , m_deleteTimer([this] { m_closed.clear(); })
    , m_acceptTimer([this] { acceptAll(); })
    , m_limitTimer([this] { limitUnsent(nullptr); })
{
    m_limits.bodyBytes = maxBodyBytes;
    m_acceptWatcher.watch(m_listenFd, EV_READ);
}

HttpServer::~HttpServer()
{
    if (m_bodyBudget)
        m_bodyBudget->onShortage(nullptr);
    if (m_listenFd >= 0)
        ::close(m_listenFd);
}

void HttpServer::setBodyBudget(std::shared_ptr<MemoryBudget> budget, std::function<HttpResponse()> overload)
{
    m_bodyBudget = std::move(budget);
    m_overloadResponse = std::move(overload);
    m_bodyBudget->onShortage([this](std::size_t bytes) { reclaim(bytes); });
}

void HttpServer::acceptAll()
{
    while (m_listenFd >= 0 && (m_connections.size() < m_maxConnections || makeRoom())) {
        const int fd = accept4(m_listenFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM))
            break;
        if (fd < 0) {
            if (std::exchange(m_acceptPaused, false))
                m_acceptWatcher.watch(m_listenFd, EV_READ);
            return;
        }
        m_connections.push_back(std::make_unique<HttpConnection>(*this, fd));
    }
    if (m_listenFd < 0)
        return;
    m_acceptTimer.once(kAcceptRetryInterval); // until a connection is closed or one is idle
    if (!std::exchange(m_acceptPaused, true))
        m_acceptWatcher.stop();
}

// Closes a connection that does nothing if another caller waits; false if none waits or there is none to close.
bool HttpServer::makeRoom()
{
    pollfd state { m_listenFd, POLLIN, 0 };
    if (poll(&state, 1, 0) <= 0)
        return false;
    std::vector<HttpConnection*> all;
    std::vector<CallerLoad> loads;
    for (const auto& it : m_connections) {
        all.push_back(it.get());
        loads.push_back(it->idleLoad());
    }
    while (const auto idlest = idlestCaller(loads, m_quietTime, monotonicNow())) {
        if (!all[*idlest]->hasUnreadBytes()) {
            closeFor(*all[*idlest], CallerClose::full);
            return true;
        }
        loads[*idlest].isRunning = true;
    }
    return false;
}

void HttpServer::closeFor(HttpConnection& connection, CallerClose reason)
{
    ++m_closeCounts[static_cast<std::size_t>(reason)];
    connection.close();
}

// Closes connections whose arriving requests hold the most of the budget for the longest, until at least so many bytes
// are free.
void HttpServer::reclaim(std::size_t bytes)
{
    std::vector<HttpConnection*> all;
    std::vector<CallerLoad> loads;
    for (const auto& it : m_connections) {
        all.push_back(it.get());
        loads.push_back(it->arrivingLoad());
    }
    const std::size_t wanted = std::max(bytes, m_bodyBudget->maxBytes() / kReclaimDivisor);
    while (m_bodyBudget->maxBytes() - m_bodyBudget->used() < wanted) {
        const auto heaviest = heaviestCaller(loads, monotonicNow());
        if (!heaviest)
            return;
        logEvent(EventKind::request, "caller_closed",
            { { "reason", "memory" }, { "bytes", loads[*heaviest].bytes },
                { "ms", (monotonicNow() - loads[*heaviest].since).count() } });
        closeFor(*all[*heaviest], CallerClose::memory);
        loads[*heaviest].bytes = 0;
    }
}

void HttpServer::remove(HttpConnection& connection)
{
    const auto it = std::find_if(
        m_connections.begin(), m_connections.end(), [&](const auto& n) { return n.get() == &connection; });
    if (it != m_connections.end())
        m_closed.splice(m_closed.end(), m_connections, it);
    m_deleteTimer.once(Millis(0));
    if (m_listenFd >= 0 && std::exchange(m_acceptPaused, false))
        m_acceptWatcher.watch(m_listenFd, EV_READ);
}

// Closes the connections that hold the most for the longest while all together hold too much. Within a call of the
// connection `within`, only others that have no request open.
void HttpServer::limitUnsent(const HttpConnection* within)
{
    while (m_unsentBytes > m_maxUnsentBytes) {
        std::vector<HttpConnection*> all;
        std::vector<CallerLoad> loads;
        for (const auto& it : m_connections) {
            all.push_back(it.get());
            loads.push_back(within && (it.get() == within || !it->isAtRest()) ? CallerLoad {} : it->waitingLoad());
        }
        const auto heaviest = heaviestCaller(loads, monotonicNow());
        if (!heaviest)
            return;
        logEvent(EventKind::request, "caller_too_slow", { { "unsent_bytes", loads[*heaviest].bytes } });
        closeFor(*all[*heaviest], CallerClose::unread);
    }
}

bool HttpServer::isResponding() const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto& it) { return it->isResponding(); });
}

void HttpServer::stopListening()
{
    if (m_listenFd < 0)
        return;
    acceptAll(); // connections that wait in the socket's queue would be reset
    m_acceptWatcher.stop();
    ::close(std::exchange(m_listenFd, -1));
    m_stopping = true;
    for (const auto& it : m_connections)
        it->updateTimer();
}

} // namespace pistachiospur
