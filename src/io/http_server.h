#pragma once

#include "http_pipeline.h"
#include "loop.h"
#include "requests/crowding.h"

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>

// An HTTP/1.1 server on the event loop. Each connection is an HttpPipeline over a non-blocking socket.
namespace pistachiospur {

// State of one request and its response, defined in http_server.cpp.
struct HttpExchange;
class HttpConnection;

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
    // False once the exchange is over: the response is complete or the caller's connection was closed.
    bool isOpen() const;
    // Registers a callback for the case that the caller closes its connection before it is answered.
    void onDisconnect(std::function<void()>) const;

private:
    std::shared_ptr<HttpExchange> m_exchange;
};

constexpr unsigned kDefaultMaxConnections = 10000;

// Why a server closed a connection that its caller kept open.
enum class CallerClose {
    unread, // its responses, and received bytes that wait, take too much memory
    memory, // the request that it is sending takes too much memory
    full, // all connections were in use, and it did nothing
    timeout, // it made no progress
};
constexpr std::size_t kCallerCloses = 4;
extern const std::array<const char*, kCallerCloses> kCallerCloseNames;

class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, Responder)>;
    using HeadCheck = std::function<std::optional<HttpResponse>(const HttpRequest&, std::optional<std::uint64_t>)>;

    // Starts to listen. Port 0 selects a free port. Throws std::system_error if the address cannot be bound.
    HttpServer(const Endpoint&, std::size_t maxBodyBytes, Handler, unsigned maxConnections = kDefaultMaxConnections);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::uint16_t port() const { return m_port; }
    // Closes the listening socket. Open exchanges continue; other connections are closed after a short idle time.
    void stopListening();
    // Changes the limits, also of open connections.
    void setLimits(const HttpLimits& limits) { m_limits = limits; }
    const HttpLimits& limits() const { return m_limits; }
    // See HttpPipeline::Handlers.
    void setHeadCheck(HeadCheck check) { m_headCheck = std::move(check); }
    // Bounds the memory for requests of new connections; `overload` answers the requests that do not fit. Before that,
    // the connections end whose arriving requests have taken the most for the longest.
    void setBodyBudget(std::shared_ptr<MemoryBudget> budget, std::function<HttpResponse()> overload);
    // Bounds the memory of all connections together for responses that callers have not taken and for received bytes
    // that wait. Beyond it the connections are closed that hold the most for the longest.
    void setMaxUnsentBytes(std::size_t bytes) { m_maxUnsentBytes = bytes; }
    // Bounds what the system keeps of the responses on a new connection.
    void setSendBuffer(int bytes) { m_sendBufferBytes = bytes; }
    // While all connections are in use, one that has done nothing for so long is closed for a new one.
    void setQuietTime(Millis time) { m_quietTime = time; }
    std::size_t unsentBytes() const { return m_unsentBytes; }
    // Connections that the server has closed, by CallerClose.
    const std::array<std::uint64_t, kCallerCloses>& closeCounts() const { return m_closeCounts; }
    std::size_t connectionCount() const { return m_connections.size(); }
    // Whether a request is not answered yet, or an answer not sent completely.
    bool isResponding() const;

private:
    void acceptAll();
    bool makeRoom();
    void remove(HttpConnection&);
    void limitUnsent(const HttpConnection* within);
    void reclaim(std::size_t bytes);
    void closeFor(HttpConnection&, CallerClose);

    int m_listenFd;
    std::uint16_t m_port = 0;
    HttpLimits m_limits;
    Handler m_handler;
    unsigned m_maxConnections;
    HeadCheck m_headCheck;
    std::shared_ptr<MemoryBudget> m_bodyBudget;
    std::function<HttpResponse()> m_overloadResponse;
    std::size_t m_maxUnsentBytes = SIZE_MAX;
    std::size_t m_unsentBytes = 0; // of all connections
    Millis m_quietTime { 100 };
    int m_sendBufferBytes = 0; // zero: the system's default
    std::array<std::uint64_t, kCallerCloses> m_closeCounts {};
    bool m_stopping = false;
    bool m_acceptPaused = false; // there are too many connections
    std::list<std::unique_ptr<HttpConnection>> m_connections;
    // Closed connections; m_deleteTimer deletes them, because one must not be deleted within one of its own calls.
    std::list<std::unique_ptr<HttpConnection>> m_closed;
    SocketWatcher m_acceptWatcher;
    Timer m_deleteTimer;
    Timer m_acceptTimer; // tries to accept again while there are too many connections
    Timer m_limitTimer; // calls limitUnsent(), because a connection must not be closed while it handles its input

    friend class HttpConnection;
};

} // namespace pistachiospur
