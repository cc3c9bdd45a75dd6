#include "raw_upstream.h"

#include "io/socket.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace pistachiospur::standin {

namespace {

constexpr std::size_t kMaxHeaderBytes = 64u << 10;
constexpr std::size_t kReadChunkBytes = 64u << 10;

std::string headerText(const HttpRequest& request, const char* name)
{
    const auto it = request.headers.find(name);
    return it == request.headers.end() ? std::string() : it->second;
}

std::string idLine(const std::string& id) { return id.empty() ? "" : "Request-Id: " + id + "\r\n"; }

} // namespace

struct RawUpstream::Connection {
    int fd = -1;
    unsigned number = 0;
    unsigned requests = 0;
    std::string input;
    RawRequest arriving;
    std::unique_ptr<RequestParser> parser;
    std::deque<RawPart> parts; // not written yet
    std::unique_ptr<SocketWatcher> watcher;
    std::unique_ptr<Timer> timer; // until the first part is due
    bool waiting = false; // for the timer
};

RawUpstream::RawUpstream(std::string service, std::string name, Handler givenHandler)
    : handler(std::move(givenHandler))
    , m_service(std::move(service))
    , m_name(std::move(name))
    , m_listenFd(listenOn({ "127.0.0.1", 0 }))
    , m_acceptWatcher([this](int) { accept(); })
{
    m_acceptWatcher.watch(m_listenFd, EV_READ);
}

RawUpstream::~RawUpstream()
{
    for (const auto& it : m_connections)
        close(*it);
    ::close(m_listenFd);
}

Endpoint RawUpstream::endpoint() const { return { "127.0.0.1", boundPort(m_listenFd) }; }

std::string RawUpstream::entry(unsigned slots) const
{
    return nlohmann::json {
        { "service", m_service }, { "address", endpoint().text() }, { "zone", "z1" }, { "version", "v1" },
        { "slots", slots }, { "state", "ready" }, { "warmup-left-ms", 0 }, { "sequence", 1 }, { "born", 1000 }
    }.dump();
}

std::size_t RawUpstream::runCount(const std::string& id) const
{
    return static_cast<std::size_t>(
        std::count_if(received.begin(), received.end(), [&](const RawRequest& it) { return it.id == id; }));
}

std::size_t RawUpstream::unreadBytes() const
{
    std::size_t n = 0;
    for (const auto& it : m_connections) {
        for (const auto& part : it->parts)
            n += part.bytes.size();
    }
    return n;
}

void RawUpstream::accept()
{
    const int fd = accept4(m_listenFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
        return;
    m_connections.push_back(std::make_unique<Connection>());
    Connection& connection = *m_connections.back();
    connection.fd = fd;
    connection.number = m_accepted++;
    connection.watcher = std::make_unique<SocketWatcher>([this, &connection](int events) {
        if (events & EV_READ)
            receive(connection);
        write(connection);
    });
    connection.timer = std::make_unique<Timer>([this, &connection] {
        connection.waiting = false;
        write(connection);
    });
    connection.watcher->watch(fd, EV_READ);
}

void RawUpstream::receive(Connection& connection)
{
    std::string buf(kReadChunkBytes, '\0');
    const ssize_t n = recv(connection.fd, buf.data(), buf.size(), 0);
    if (n < 0 && errno == EAGAIN)
        return;
    if (n <= 0)
        return close(connection);
    connection.input.append(buf, 0, static_cast<std::size_t>(n));
    while (!connection.input.empty()) {
        if (!connection.parser) {
            connection.arriving = { {}, {}, connection.number, connection.requests++ };
            connection.parser = std::make_unique<RequestParser>(kMaxHeaderBytes, connection.arriving.http,
                [&connection](std::string_view data) { connection.arriving.http.body.append(data); });
        }
        const std::size_t used = connection.parser->consume(connection.input);
        connection.input.erase(0, used);
        if (connection.parser->isDone()) {
            connection.parser.reset();
            respond(connection, connection.arriving);
        } else if (used == 0) {
            return;
        }
    }
}

void RawUpstream::respond(Connection& connection, const RawRequest& arrived)
{
    RawRequest request = arrived;
    request.id = headerText(request.http, "request-id");
    const bool isOrder = request.http.path == "/grant" || request.http.path == "/release";
    if (!isOrder)
        received.push_back(request);
    for (auto& it : handler(request))
        connection.parts.push_back(std::move(it));
}

void RawUpstream::write(Connection& connection)
{
    while (connection.fd >= 0 && !connection.parts.empty() && !connection.waiting) {
        RawPart& part = connection.parts.front();
        if (part.after > Millis(0)) {
            connection.waiting = true;
            connection.timer->once(std::exchange(part.after, Millis(0)));
            break;
        }
        const ssize_t n = ::send(connection.fd, part.bytes.data(), part.bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN)
            return close(connection);
        part.bytes.erase(0, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        if (!part.bytes.empty()) {
            connection.watcher->watch(connection.fd, EV_READ | EV_WRITE);
            return;
        }
        const RawEnding ending = part.ending;
        connection.parts.pop_front();
        const linger noLinger { 1, 0 };
        if (ending == RawEnding::reset)
            setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
        if (ending != RawEnding::keepOpen)
            return close(connection);
    }
    if (connection.fd >= 0)
        connection.watcher->watch(connection.fd, EV_READ);
}

void RawUpstream::close(Connection& connection)
{
    if (connection.fd < 0)
        return;
    connection.watcher->stop();
    connection.timer->stop();
    ::close(std::exchange(connection.fd, -1));
}

std::string sealedAnswer(const std::string& id, const std::string& body, const std::string& headers)
{
    return "HTTP/1.1 200 OK\r\n" + idLine(id) + "Server-Seal: seal-" + id + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string notExecuted(int status, const std::string& id, const std::string& headers)
{
    return "HTTP/1.1 " + std::to_string(status) + " Refused\r\n" + idLine(id) + "Not-Executed: 1\r\n" + headers
        + "Content-Length: 0\r\n\r\n";
}

} // namespace pistachiospur::standin
