#pragma once

#include "loop.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

struct MHD_Daemon;
struct MHD_Connection;

// An HTTP server on the event loop, built on libmicrohttpd with external polling.
namespace pistachiospur {

using HeaderList = std::vector<std::pair<std::string, std::string>>;
// Header values by lower-case name.
using HeaderMap = std::map<std::string, std::string>;

struct HttpRequest {
    std::string method;
    std::string target; // path and query as sent, still escaped
    std::string path; // the target's part before "?"
    HeaderMap headers;
    std::map<std::string, std::string> query;
    std::string body;
    bool tooLarge = false; // the body exceeded the server's limit and was discarded
};

struct HttpResponse {
    int status = 200;
    HeaderList headers;
    std::string body;
};

// State of one request and its response, defined in http_server.cpp.
struct HttpExchange;

// A handle to answer one request, at once or later. Only the first answer is sent. If the last copy is destroyed before
// any answer, the caller gets status 500.
class Responder {
public:
    explicit Responder(std::shared_ptr<HttpExchange> exchange);

    void respond(HttpResponse) const;
    // Starts a streamed response. Call write() for each chunk of the body, then finish().
    void beginStream(int status, HeaderList) const;
    void write(const std::string& chunk) const;
    void finish() const;
    // False once the exchange is over: the response was sent or the caller's connection was closed.
    bool isOpen() const;
    // Registers a callback for the case that the caller closes its connection before it has received the answer.
    void onDisconnect(std::function<void()>) const;

private:
    std::shared_ptr<HttpExchange> m_exchange;
};

constexpr unsigned kDefaultMaxConnections = 10000;

class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, Responder)>;

    // Starts to listen. Port 0 selects a free port. Throws std::system_error if the address cannot be bound.
    HttpServer(const Endpoint&, std::size_t maxBodyBytes, Handler, unsigned maxConnections = kDefaultMaxConnections);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::uint16_t port() const { return m_port; }
    // Closes the listening socket. Open exchanges continue; other connections are closed after a short idle time.
    void stopListening();
    // Sets the time after which an idle connection is closed. Applies to new connections only.
    void setIdleTimeout(Millis timeout) { m_idleTimeout = timeout; }

    struct Internals;

private:
    void run();
    void scheduleRun();

    MHD_Daemon* m_daemon = nullptr;
    std::uint16_t m_port = 0;
    std::set<MHD_Connection*> m_connections;
    std::set<HttpExchange*> m_suspended;
    Millis m_idleTimeout {}; // zero: none
    bool m_runAgain = false; // a connection was resumed since the last run began, so run() repeats at once
    std::size_t m_maxBodyBytes;
    Handler m_handler;
    SocketWatcher m_watcher;
    Timer m_timer;

    friend struct Internals;
    friend struct HttpExchange;
};

} // namespace pistachiospur
