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

// An HTTP server on the loop, by libmicrohttpd with external polling.
namespace pistachiospur {

using HeaderList = std::vector<std::pair<std::string, std::string>>;
// Names in lower case.
using HeaderMap = std::map<std::string, std::string>;

struct HttpRequest {
    std::string method;
    std::string target; // path and query as sent, still escaped
    std::string path; // the target's part before "?"
    HeaderMap headers;
    std::map<std::string, std::string> query;
    std::string body;
    bool tooLarge = false; // the body passed the server's limit and was dropped
};

struct HttpResponse {
    int status = 200;
    HeaderList headers;
    std::string body;
};

struct HttpExchange;

// The right to answer one request, now or later. Answers after the first are ignored. When the last copy goes away
// unused, the caller gets a 500.
class Responder {
public:
    explicit Responder(std::shared_ptr<HttpExchange> exchange);

    void respond(HttpResponse) const;
    // Begins a body that is written in pieces. Returns nothing: use write and finish.
    void beginStream(int status, HeaderList) const;
    void write(const std::string& piece) const;
    void finish() const;
    // False once the caller has gone.
    bool isOpen() const;
    // Calls back when the caller closes its connection before it has its answer.
    void onGone(std::function<void()>) const;

private:
    std::shared_ptr<HttpExchange> m_exchange;
};

constexpr unsigned kMostConnections = 10000;

class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, Responder)>;

    // Starts listening. Port 0 takes a free one. Throws std::system_error when the address cannot be bound.
    HttpServer(const Endpoint&, std::size_t maxBodyBytes, Handler, unsigned maxConnections = kMostConnections);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::uint16_t port() const { return m_port; }
    // Closes the listening socket and soon every connection without an open exchange; open exchanges go on.
    void stopListening();
    // Closes connections that callers leave idle for so long. Connections that are open already keep what they had.
    void setIdleTimeout(Millis timeout) { m_idleTimeout = timeout; }

    struct Internals;

private:
    void run();
    void schedule();

    MHD_Daemon* m_daemon = nullptr;
    std::uint16_t m_port = 0;
    std::set<MHD_Connection*> m_connections;
    std::set<HttpExchange*> m_suspended;
    Millis m_idleTimeout {}; // zero: none
    bool m_runAgain = false; // a connection was resumed since the last run began
    std::size_t m_maxBodyBytes;
    Handler m_handler;
    SocketWatcher m_watcher;
    Timer m_timer;

    friend struct Internals;
    friend struct HttpExchange;
};

} // namespace pistachiospur
