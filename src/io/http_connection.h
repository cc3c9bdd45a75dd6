#pragma once

#include "http_server.h"

#include <map>

// The connections of HttpServer.
namespace pistachiospur {

struct HttpExchange {
    HttpConnection* connection = nullptr; // null once the exchange is over
    HttpPipeline::Sequence sequence = 0;
    bool answered = false;
    std::function<void()> onDisconnect;
};

using ExchangePtr = std::shared_ptr<HttpExchange>;

// One connection of a caller.
class HttpConnection {
public:
    HttpConnection(HttpServer&, int fd);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    void respond(HttpExchange&, HttpResponse);
    void beginStream(HttpExchange&, HttpResponse head);
    void writeStream(HttpExchange&, const std::string& data);
    void finishStream(HttpExchange&);
    // Ends the connection: open exchanges learn that the caller has gone.
    void close();
    void updateTimer();
    bool isResponding() { return m_pipeline.openRequests() > 0 || !m_pipeline.output().empty(); }
    // Bytes of responses that the caller has not taken, as last counted.
    std::size_t unsentBytes() const { return m_unsentBytes; }
    // What it holds outside of the budget.
    CallerLoad waitingLoad() const { return { m_unsentBytes, m_waitingSince, false, false }; }
    // What it holds of the budget for a request that is arriving. Nothing if it must not be closed now.
    CallerLoad arrivingLoad() const;
    CallerLoad idleLoad() const;
    // No request of it is open and it is within none of its calls, so that closing it calls nobody else.
    bool isAtRest() const { return m_exchanges.empty() && !m_handlingInput && !m_pipeline.isParsing(); }
    // Whether it waits for a request whose first bytes have arrived and have not been read yet.
    bool hasUnreadBytes() const;

private:
    HttpPipeline::Handlers pipelineHandlers();
    void onEvents(int events);
    void receive();
    void discardInput();
    void flush();
    bool sendOutput();
    bool resumeInput();
    void updateWatcher();
    void countUnsent();
    void onTimer();
    std::optional<Millis> expiry() const;
    void onExpiry();
    void checkHeldBack();
    void endExchange(HttpExchange&);

    HttpServer& m_server;
    int m_fd;
    HttpPipeline m_pipeline;
    std::map<HttpPipeline::Sequence, ExchangePtr> m_exchanges; // not answered yet
    SocketWatcher m_watcher;
    Timer m_timer;
    int m_events = 0; // that m_watcher waits for
    Millis m_timerAt {}; // when m_timer fires; zero: not running
    Millis m_activeAt; // last byte received or sent
    std::size_t m_sent = 0; // bytes of the pipeline's output that are sent
    std::size_t m_unsentBytes = 0;
    Millis m_waitingSince {}; // when m_unsentBytes was zero last
    std::size_t m_lingerBytes = 0;
    bool m_handlingInput = false;
    bool m_yields = false; // goes on when the other connections have had their turn
    bool m_lingering = false;
};

} // namespace pistachiospur
