#include "http_connection.h"

#include "memory.h"
#include "socket.h"

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace pistachiospur {

namespace {

constexpr std::size_t kReadChunkBytes = 64u << 10;
constexpr Millis kIdleTimeoutWhileStopping { 1000 };
// After its last response, a connection is read for this long, and up to this many bytes, before it is closed. Closing
// it with unread bytes would reset it, and the caller could lose the response.
constexpr Millis kLingerTime { 1000 };
constexpr std::size_t kMaxLingerBytes = 4u << 20;
// A connection whose input is held back is checked for the caller's close at this interval.
constexpr Millis kHeldBackCheckInterval { 200 };
// No more requests of a caller are read while it has not taken this much of the responses.
constexpr std::size_t kMaxUnsentBytes = 256u << 10;
// A caller that takes nothing of a response for this long has gone.
constexpr Millis kWriteStallLimit { 15000 };
// A connection whose responses are taken at once handles its input so many times before others have their turn.
constexpr unsigned kMaxRoundsAtOnce = 4;

} // namespace

HttpConnection::HttpConnection(HttpServer& server, int fd)
    : m_server(server)
    , m_fd(fd)
    , m_pipeline(server.m_limits, pipelineHandlers(), server.m_bodyBudget)
    , m_watcher([this](int events) { onEvents(events); })
    , m_timer([this] { onTimer(); })
    , m_activeAt(monotonicNow())
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (server.m_sendBufferBytes > 0)
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &server.m_sendBufferBytes, sizeof server.m_sendBufferBytes);
    updateWatcher();
    updateTimer();
}

HttpConnection::~HttpConnection()
{
    m_pipeline.end();
    for (auto& [sequence, exchange] : m_exchanges)
        exchange->connection = nullptr;
    m_watcher.stop();
    if (m_fd >= 0)
        ::close(m_fd);
}

HttpPipeline::Handlers HttpConnection::pipelineHandlers()
{
    return { [this](const HttpRequest& request, std::optional<std::uint64_t> bodyBytes) {
                return m_server.m_headCheck ? m_server.m_headCheck(request, bodyBytes) : std::nullopt;
            },
        [this](HttpPipeline::Sequence sequence, HttpRequest request) {
            auto exchange = std::make_shared<HttpExchange>();
            exchange->connection = this;
            exchange->sequence = sequence;
            m_exchanges[sequence] = exchange;
            if (request.rest)
                request.rest->onRead([this](std::size_t) {
                    m_pipeline.resume();
                    flush();
                });
            m_server.m_handler(std::move(request), Responder(std::move(exchange)));
        },
        [this] {
            return m_server.m_overloadResponse ? m_server.m_overloadResponse() : HttpResponse { 503, {}, "" };
        } };
}

void HttpConnection::close()
{
    if (m_fd < 0)
        return;
    m_watcher.stop();
    m_timer.stop();
    ::close(std::exchange(m_fd, -1));
    m_pipeline.end();
    freeMemory(m_pipeline.output());
    m_server.m_unsentBytes -= std::exchange(m_unsentBytes, 0);
    for (auto& [sequence, exchange] : std::exchange(m_exchanges, {})) {
        exchange->connection = nullptr;
        if (auto callback = std::exchange(exchange->onDisconnect, nullptr))
            callback();
    }
    m_server.remove(*this);
}

void HttpConnection::endExchange(HttpExchange& exchange)
{
    exchange.connection = nullptr;
    exchange.onDisconnect = nullptr;
    m_exchanges.erase(exchange.sequence);
}

void HttpConnection::respond(HttpExchange& exchange, HttpResponse response)
{
    const auto sequence = exchange.sequence;
    endExchange(exchange);
    m_pipeline.respond(sequence, std::move(response));
    flush();
}

void HttpConnection::beginStream(HttpExchange& exchange, HttpResponse head)
{
    m_pipeline.beginStream(exchange.sequence, std::move(head));
    flush();
}

void HttpConnection::writeStream(HttpExchange& exchange, const std::string& data)
{
    m_pipeline.writeStream(exchange.sequence, data);
    flush();
}

void HttpConnection::finishStream(HttpExchange& exchange)
{
    const auto sequence = exchange.sequence;
    endExchange(exchange);
    m_pipeline.finishStream(sequence);
    flush();
}

void HttpConnection::onEvents(int events)
{
    if (events & EV_READ) {
        if (m_lingering)
            discardInput();
        else
            receive();
    }
    flush();
}

void HttpConnection::receive()
{
    static thread_local std::string buf(kReadChunkBytes, '\0');
    const ssize_t n = recv(m_fd, buf.data(), buf.size(), 0);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
        return close();
    if (n < 0)
        return;
    m_activeAt = monotonicNow();
    m_handlingInput = true;
    try {
        m_pipeline.receive({ buf.data(), static_cast<std::size_t>(n) }, m_activeAt);
    } catch (...) {
        close(); // the state of the request is unknown
        throw;
    }
    m_handlingInput = false;
}

void HttpConnection::discardInput()
{
    static thread_local std::string buf(kReadChunkBytes, '\0');
    const ssize_t n = recv(m_fd, buf.data(), buf.size(), 0);
    if (n > 0)
        m_lingerBytes += static_cast<std::size_t>(n);
    const bool ended = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
    if (ended || m_lingerBytes >= kMaxLingerBytes)
        close();
}

// Sends what is ready. Within receive() it waits until all input is handled, so that responses share a call.
void HttpConnection::flush()
{
    if (m_fd < 0 || m_handlingInput)
        return;
    m_yields = false;
    for (unsigned n = 0; !m_yields; ++n) {
        if (!sendOutput())
            return close();
        if (!resumeInput())
            break;
        m_yields = n >= kMaxRoundsAtOnce;
    }
    if (m_pipeline.output().empty() && m_pipeline.isClosing() && !std::exchange(m_lingering, true))
        shutdown(m_fd, SHUT_WR);
    updateWatcher();
    updateTimer();
    countUnsent();
}

// Sends as much as the socket takes; false if the connection is broken.
bool HttpConnection::sendOutput()
{
    std::string& output = m_pipeline.output();
    while (m_sent < output.size()) {
        const ssize_t n = ::send(m_fd, output.data() + m_sent, output.size() - m_sent, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno != EAGAIN)
            return false;
        if (n < 0)
            break;
        m_sent += static_cast<std::size_t>(n);
        m_activeAt = monotonicNow();
    }
    if (m_sent == output.size()) {
        freeMemory(output);
        m_sent = 0;
    } else if (m_sent >= kReadChunkBytes && m_sent >= output.size() / 2) {
        output = output.substr(std::exchange(m_sent, 0));
    }
    return true;
}

// Handles input that was held back while too much was to be sent. Returns whether there is something to send again.
bool HttpConnection::resumeInput()
{
    if (!m_pipeline.output().empty() || !m_pipeline.hasInput())
        return false;
    m_handlingInput = true;
    try {
        m_pipeline.resume();
    } catch (...) {
        m_handlingInput = false;
        close();
        throw;
    }
    m_handlingInput = false;
    return !m_pipeline.output().empty();
}

CallerLoad HttpConnection::arrivingLoad() const
{
    return { isAtRest() ? m_pipeline.arrivingBytes() : 0, m_pipeline.receivingSince(), false, false };
}

bool HttpConnection::hasUnreadBytes() const
{
    pollfd state { m_fd, POLLIN, 0 };
    return !m_pipeline.isReceiving() && !(m_events & EV_WRITE) && poll(&state, 1, 0) > 0 && (state.revents & POLLIN);
}

CallerLoad HttpConnection::idleLoad() const
{
    const bool isReceiving = m_pipeline.isReceiving(), isWriting = m_events & EV_WRITE;
    const Millis since = isReceiving ? m_pipeline.receivingSince() : isWriting ? m_waitingSince : m_activeAt;
    return { 0, since, m_pipeline.hasReceivedRequest(), !isAtRest() };
}

// Keeps the server's sum of unsent bytes, and lets it close connections once the sum is too large.
void HttpConnection::countUnsent()
{
    const std::size_t unsent = m_pipeline.waitingMemory();
    if (m_unsentBytes == 0)
        m_waitingSince = monotonicNow();
    m_server.m_unsentBytes += unsent - m_unsentBytes;
    m_unsentBytes = unsent;
    if (m_server.m_unsentBytes > m_server.m_maxUnsentBytes)
        m_server.limitUnsent(this);
    if (m_server.m_unsentBytes > m_server.m_maxUnsentBytes)
        m_server.m_limitTimer.once(Millis(0));
}

void HttpConnection::updateWatcher()
{
    const bool mayRead = m_pipeline.wantsInput() && m_pipeline.output().size() - m_sent < kMaxUnsentBytes;
    const bool reads = m_lingering || mayRead;
    const int events = (reads ? EV_READ : 0) | (m_pipeline.output().empty() && !m_yields ? 0 : EV_WRITE);
    if (events == m_events)
        return;
    m_events = events;
    if (events)
        m_watcher.watch(m_fd, events);
    else
        m_watcher.stop();
}

// --- Time limits ---

std::optional<Millis> HttpConnection::expiry() const
{
    const HttpLimits& limits = m_server.m_limits;
    const auto after
        = [](Millis since, Millis limit) { return limit.count() > 0 ? std::optional(since + limit) : std::nullopt; };
    if (m_lingering)
        return m_activeAt + kLingerTime;
    if (m_events & EV_WRITE)
        return m_activeAt + kWriteStallLimit;
    if (!(m_events & EV_READ))
        return monotonicNow() + kHeldBackCheckInterval;
    if (m_pipeline.isHeadPending())
        return after(m_pipeline.receivingSince(), limits.headerTimeout);
    if (m_pipeline.isReceiving()) {
        const auto nextPiece = after(m_activeAt, limits.headerTimeout);
        const auto whole
            = m_pipeline.isHoldingBody() ? after(m_pipeline.receivingSince(), limits.bodyTimeout) : std::nullopt;
        return nextPiece && whole ? std::min(nextPiece, whole) : nextPiece ? nextPiece : whole;
    }
    if (m_pipeline.openRequests() > 0)
        return std::nullopt;
    return m_server.m_stopping ? std::optional(m_activeAt + kIdleTimeoutWhileStopping)
                               : after(m_activeAt, limits.idleTimeout);
}

// The timer is only set anew when it must fire earlier; one that fires too early is set again then.
void HttpConnection::updateTimer()
{
    if (m_fd < 0)
        return;
    const auto at = expiry();
    if (!at || (m_timerAt.count() > 0 && m_timerAt <= *at))
        return;
    m_timerAt = *at;
    m_timer.once(std::max(Millis(1), *at - monotonicNow()));
}

void HttpConnection::onTimer()
{
    m_timerAt = Millis(0);
    const bool heldBack = !m_lingering && m_events == 0;
    if (heldBack)
        checkHeldBack();
    else if (const auto at = expiry(); at && monotonicNow() >= *at)
        onExpiry();
    updateTimer();
}

void HttpConnection::onExpiry()
{
    const bool receiving = m_pipeline.isReceiving() && !m_lingering && !(m_events & EV_WRITE);
    if (!m_lingering && (receiving || m_events & EV_WRITE))
        ++m_server.m_closeCounts[static_cast<std::size_t>(CallerClose::timeout)];
    if (!receiving)
        return close();
    m_pipeline.timeOut();
    flush();
}

// While no input is read, the caller's close shows only in the socket's state.
void HttpConnection::checkHeldBack()
{
    pollfd state { m_fd, POLLRDHUP, 0 };
    if (poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)))
        close();
}

} // namespace pistachiospur
