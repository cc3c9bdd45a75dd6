#include "http_server.h"

#include "socket.h"

#include <microhttpd.h>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace pistachiospur {

namespace {

// The shortest that libmicrohttpd can count.
constexpr Millis kIdleTimeWhileStopping { 1000 };
// What callers get whose requests are open when the server goes.
constexpr int kStopping = 502;

} // namespace

struct HttpExchange {
    HttpServer* server = nullptr; // null once the server is gone
    MHD_Connection* connection = nullptr; // null once the caller is gone
    HttpRequest request;
    HttpResponse response;
    std::string pending; // stream bytes not yet taken
    bool handled = false;
    bool answered = false;
    bool streaming = false;
    bool finished = false;
    bool suspended = false;
    int fd = -1;
    std::function<void()> gone;
    // libmicrohttpd does not look at the socket of a suspended connection; this sees the caller's close.
    SocketWatcher closeWatcher { [this](int) { lookForClose(); } };

    void suspend()
    {
        suspended = true;
        server->m_suspended.insert(this);
        MHD_suspend_connection(connection);
        if (gone)
            closeWatcher.watch(fd, EV_READ);
    }

    // Bytes of a next request tell nothing, and would keep the watcher busy.
    void lookForClose()
    {
        char byte = 0;
        const auto n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        closeWatcher.stop();
        if (n > 0 || !gone)
            return;
        std::exchange(gone, nullptr)();
    }

    void resume()
    {
        if (!connection || !server || !suspended)
            return;
        suspended = false;
        server->m_suspended.erase(this);
        closeWatcher.stop();
        MHD_resume_connection(connection);
        server->schedule();
    }
};

namespace {

using ExchangePtr = std::shared_ptr<HttpExchange>;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char n) { return std::tolower(n); });
    return text;
}

MHD_Result collectHeader(void* to, MHD_ValueKind, const char* name, const char* value)
{
    (*static_cast<HeaderMap*>(to))[lowerCase(name)] = value ? value : "";
    return MHD_YES;
}

MHD_Result collectQuery(void* to, MHD_ValueKind, const char* name, const char* value)
{
    (*static_cast<std::map<std::string, std::string>*>(to))[name] = value ? value : "";
    return MHD_YES;
}

ssize_t readStream(void* cls, std::uint64_t, char* buf, std::size_t n)
{
    auto& exchange = **static_cast<ExchangePtr*>(cls);
    if (exchange.pending.empty()) {
        if (exchange.finished)
            return MHD_CONTENT_READER_END_OF_STREAM;
        exchange.suspend();
        return 0;
    }
    const std::size_t taken = std::min(n, exchange.pending.size());
    std::copy_n(exchange.pending.data(), taken, buf);
    exchange.pending.erase(0, taken);
    return static_cast<ssize_t>(taken);
}

MHD_Result queueAnswer(MHD_Connection* connection, const ExchangePtr& exchange)
{
    MHD_Response* response;
    if (exchange->streaming) {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 4096, readStream, new ExchangePtr(exchange),
            [](void* cls) { delete static_cast<ExchangePtr*>(cls); });
    } else {
        auto& body = exchange->response.body;
        response = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    }
    for (const auto& [name, value] : exchange->response.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    const auto result = MHD_queue_response(connection, static_cast<unsigned>(exchange->response.status), response);
    MHD_destroy_response(response);
    return result;
}

} // namespace

struct HttpServer::Internals {
    static MHD_Result onAccess(void* cls, MHD_Connection* connection, const char*, const char* method, const char*,
        const char* data, std::size_t* n, void** state)
    {
        auto& server = *static_cast<HttpServer*>(cls);
        const ExchangePtr& exchange = *static_cast<ExchangePtr*>(*state);
        if (!exchange->connection) {
            begin(server, connection, method, *exchange);
            return MHD_YES;
        }
        if (*n) {
            collectBody(server, *exchange, data, *n);
            *n = 0;
            return MHD_YES;
        }
        if (!exchange->handled) {
            exchange->handled = true;
            server.m_handler(std::move(exchange->request), Responder(exchange));
        }
        if (exchange->answered)
            return queueAnswer(connection, exchange);
        exchange->suspend();
        return MHD_YES;
    }

    // libmicrohttpd only offers the target before unescaping here, at the start of each request.
    static void* onTarget(void*, const char* target, MHD_Connection*)
    {
        auto exchange = std::make_shared<HttpExchange>();
        exchange->request.target = target;
        exchange->request.path = exchange->request.target.substr(0, exchange->request.target.find('?'));
        return new ExchangePtr(std::move(exchange));
    }

    static void begin(HttpServer& server, MHD_Connection* connection, const char* method, HttpExchange& exchange)
    {
        exchange.server = &server;
        exchange.connection = connection;
        exchange.fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        exchange.request.method = method;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, collectHeader, &exchange.request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collectQuery, &exchange.request.query);
    }

    static void collectBody(const HttpServer& server, HttpExchange& exchange, const char* data, std::size_t n)
    {
        auto& request = exchange.request;
        if (request.body.size() + n > server.m_maxBodyBytes)
            request.tooLarge = true;
        if (request.tooLarge)
            request.body.clear();
        else
            request.body.append(data, n);
    }

    static void onConnection(void* cls, MHD_Connection* connection, void**, MHD_ConnectionNotificationCode code)
    {
        auto& server = *static_cast<HttpServer*>(cls);
        if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
            server.m_connections.erase(connection);
            return;
        }
        server.m_connections.insert(connection);
        if (server.m_idleTimeout.count() > 0)
            limitIdleTime(connection, server.m_idleTimeout);
    }

    // libmicrohttpd counts whole seconds.
    static void limitIdleTime(MHD_Connection* connection, Millis timeout)
    {
        const auto seconds = static_cast<unsigned>((timeout.count() + 999) / 1000);
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, seconds);
    }

    static void onCompleted(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode)
    {
        auto* exchange = static_cast<ExchangePtr*>(*state);
        if (!exchange)
            return;
        (*exchange)->connection = nullptr;
        (*exchange)->closeWatcher.stop();
        (*exchange)->gone = nullptr;
        delete exchange;
        *state = nullptr;
    }
};

namespace {

// Held by all copies of a responder through the exchange's control block: answers 500 if nobody did.
struct UnansweredGuard {
    ExchangePtr exchange;
    ~UnansweredGuard()
    {
        if (exchange->answered)
            return;
        exchange->answered = true;
        exchange->response = { 500, {}, "" };
        exchange->resume();
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
    if (m_exchange->answered)
        return;
    m_exchange->answered = true;
    m_exchange->response = std::move(response);
    m_exchange->resume();
}

void Responder::beginStream(int status, HeaderList headers) const
{
    m_exchange->streaming = true;
    respond({ status, std::move(headers), "" });
}

void Responder::write(const std::string& piece) const
{
    m_exchange->pending += piece;
    m_exchange->resume();
}

void Responder::finish() const
{
    m_exchange->finished = true;
    m_exchange->resume();
}

void Responder::onGone(std::function<void()> callback) const
{
    m_exchange->gone = std::move(callback);
    if (m_exchange->suspended)
        m_exchange->closeWatcher.watch(m_exchange->fd, EV_READ);
}

bool Responder::isOpen() const { return m_exchange->connection != nullptr; }

HttpServer::HttpServer(const Endpoint& at, std::size_t maxBodyBytes, Handler handler, unsigned maxConnections)
    : m_maxBodyBytes(maxBodyBytes)
    , m_handler(std::move(handler))
    , m_watcher([this](int) { run(); })
    , m_timer([this] { run(); })
{
    const int fd = listenOn(at);
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, Internals::onAccess,
        this, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED, Internals::onCompleted, nullptr,
        MHD_OPTION_URI_LOG_CALLBACK, Internals::onTarget, nullptr, MHD_OPTION_NOTIFY_CONNECTION,
        Internals::onConnection, this, MHD_OPTION_CONNECTION_LIMIT, maxConnections, MHD_OPTION_END);
    if (!m_daemon)
        throw std::system_error(ENOMEM, std::generic_category(), at.text());
    m_port = boundPort(fd);
    m_watcher.watch(MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd, EV_READ);
}

HttpServer::~HttpServer()
{
    m_watcher.stop();
    // libmicrohttpd stops only when no connection is suspended.
    for (auto* it : std::set<HttpExchange*>(m_suspended)) {
        it->gone = nullptr;
        it->finished = it->answered = true;
        it->response.status = kStopping;
        it->resume();
    }
    MHD_run(m_daemon);
    MHD_stop_daemon(m_daemon);
}

void HttpServer::stopListening()
{
    const auto fd = MHD_quiesce_daemon(m_daemon);
    if (fd != MHD_INVALID_SOCKET)
        close(fd);
    for (auto* it : m_connections)
        Internals::limitIdleTime(it, kIdleTimeWhileStopping);
    schedule();
}

void HttpServer::run()
{
    m_runAgain = false;
    MHD_run(m_daemon);
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    if (m_runAgain)
        m_timer.once(Millis(0));
    else if (MHD_get_timeout(m_daemon, &timeout) == MHD_YES)
        m_timer.once(Millis(timeout));
    else
        m_timer.stop();
}

// A resumed connection moves on in the next run; libmicrohttpd's own timeout does not always tell of it.
void HttpServer::schedule()
{
    m_runAgain = true;
    m_timer.once(Millis(0));
}

} // namespace pistachiospur
