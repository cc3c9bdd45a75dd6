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

// One second is the shortest time-out of libmicrohttpd.
constexpr Millis kIdleTimeoutWhileStopping { 1000 };
// Status of requests that are still open when the server is destroyed.
constexpr int kServerDestroyedStatus = 502;

} // namespace

struct HttpExchange {
    HttpServer* server = nullptr; // null until the request's headers have arrived
    MHD_Connection* connection = nullptr; // null before the headers have arrived and once the exchange is over
    HttpRequest request;
    HttpResponse response;
    std::string unsentBody; // streamed bytes that libmicrohttpd has not read yet
    bool handled = false; // the handler has been called
    bool answered = false;
    bool streaming = false;
    bool streamFinished = false;
    bool suspended = false;
    int fd = -1;
    std::function<void()> onDisconnect;
    // libmicrohttpd does not poll the socket of a suspended connection, so this watcher detects the caller's close.
    SocketWatcher closeWatcher { [this](int) { checkForClose(); } };

    void suspend()
    {
        suspended = true;
        server->m_suspended.insert(this);
        MHD_suspend_connection(connection);
        if (onDisconnect)
            closeWatcher.watch(fd, EV_READ);
    }

    // Calls onDisconnect if the caller has closed its connection. If the next request's bytes have arrived instead, the
    // watcher stops, since the socket stays readable and the watcher would fire without end.
    void checkForClose()
    {
        char byte = 0;
        const auto n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        closeWatcher.stop();
        if (n > 0 || !onDisconnect)
            return;
        std::exchange(onDisconnect, nullptr)();
    }

    void resume()
    {
        if (!connection || !server || !suspended)
            return;
        suspended = false;
        server->m_suspended.erase(this);
        closeWatcher.stop();
        MHD_resume_connection(connection);
        server->scheduleRun();
    }
};

namespace {

using ExchangePtr = std::shared_ptr<HttpExchange>;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

MHD_Result collectHeader(void* headers, MHD_ValueKind, const char* name, const char* value)
{
    (*static_cast<HeaderMap*>(headers))[lowerCase(name)] = value ? value : "";
    return MHD_YES;
}

MHD_Result collectQuery(void* query, MHD_ValueKind, const char* name, const char* value)
{
    (*static_cast<std::map<std::string, std::string>*>(query))[name] = value ? value : "";
    return MHD_YES;
}

ssize_t readStream(void* cls, std::uint64_t, char* buf, std::size_t n)
{
    auto& exchange = **static_cast<ExchangePtr*>(cls);
    if (exchange.unsentBody.empty()) {
        if (exchange.streamFinished)
            return MHD_CONTENT_READER_END_OF_STREAM;
        exchange.suspend();
        return 0;
    }
    const std::size_t taken = std::min(n, exchange.unsentBody.size());
    std::copy_n(exchange.unsentBody.data(), taken, buf);
    exchange.unsentBody.erase(0, taken);
    return static_cast<ssize_t>(taken);
}

MHD_Result queueResponse(MHD_Connection* connection, const ExchangePtr& exchange)
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
            return queueResponse(connection, exchange);
        exchange->suspend();
        return MHD_YES;
    }

    // Called at the start of each request; only this callback of libmicrohttpd provides the target before
    // unescaping.
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
            setConnectionTimeout(connection, server.m_idleTimeout);
    }

    // libmicrohttpd's time-outs are in whole seconds, so the time-out is rounded up.
    static void setConnectionTimeout(MHD_Connection* connection, Millis timeout)
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
        (*exchange)->onDisconnect = nullptr;
        delete exchange;
        *state = nullptr;
    }
};

namespace {

// Owned by the aliasing shared_ptr that all copies of a responder share. Answers 500 when the last copy is destroyed
// without an answer.
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

void Responder::write(const std::string& chunk) const
{
    m_exchange->unsentBody += chunk;
    m_exchange->resume();
}

void Responder::finish() const
{
    m_exchange->streamFinished = true;
    m_exchange->resume();
}

void Responder::onDisconnect(std::function<void()> callback) const
{
    m_exchange->onDisconnect = std::move(callback);
    if (m_exchange->suspended)
        m_exchange->closeWatcher.watch(m_exchange->fd, EV_READ);
}

bool Responder::isOpen() const { return m_exchange->connection != nullptr; }

HttpServer::HttpServer(const Endpoint& endpoint, std::size_t maxBodyBytes, Handler handler, unsigned maxConnections)
    : m_maxBodyBytes(maxBodyBytes)
    , m_handler(std::move(handler))
    , m_watcher([this](int) { run(); })
    , m_timer([this] { run(); })
{
    const int fd = listenOn(endpoint);
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, Internals::onAccess,
        this, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED, Internals::onCompleted, nullptr,
        MHD_OPTION_URI_LOG_CALLBACK, Internals::onTarget, nullptr, MHD_OPTION_NOTIFY_CONNECTION,
        Internals::onConnection, this, MHD_OPTION_CONNECTION_LIMIT, maxConnections, MHD_OPTION_END);
    if (!m_daemon)
        throw std::system_error(ENOMEM, std::generic_category(), endpoint.text());
    m_port = boundPort(fd);
    m_watcher.watch(MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd, EV_READ);
}

HttpServer::~HttpServer()
{
    m_watcher.stop();
    // libmicrohttpd requires that no connection is suspended when it stops.
    for (auto* exchange : std::set<HttpExchange*>(m_suspended)) {
        exchange->onDisconnect = nullptr;
        exchange->streamFinished = exchange->answered = true;
        exchange->response.status = kServerDestroyedStatus;
        exchange->resume();
    }
    MHD_run(m_daemon);
    MHD_stop_daemon(m_daemon);
}

void HttpServer::stopListening()
{
    const auto fd = MHD_quiesce_daemon(m_daemon);
    if (fd != MHD_INVALID_SOCKET)
        close(fd);
    for (auto* connection : m_connections)
        Internals::setConnectionTimeout(connection, kIdleTimeoutWhileStopping);
    scheduleRun();
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

// Runs libmicrohttpd again at once. A resumed connection makes progress only in the next run, and MHD_get_timeout
// does not always report it.
void HttpServer::scheduleRun()
{
    m_runAgain = true;
    m_timer.once(Millis(0));
}

} // namespace pistachiospur
