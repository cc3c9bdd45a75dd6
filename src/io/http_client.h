#pragma once

#include "http_server.h"
#include "loop.h"

#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

// An HTTP client on the loop, by libcurl's multi interface.
namespace pistachiospur {

struct HttpCall {
    std::string method;
    std::string url; // or an endpoint with a target
    Endpoint endpoint;
    std::string target; // path and query, sent as they are
    HeaderList headers;
    std::string body;
    Millis timeout { 1000 };
    Millis connectTimeout {}; // part of the time-out; zero: all of it
    // True: always a new connection. libcurl silently resends a request whose reused connection dies before the first
    // byte of the answer, so anything that must not run twice needs this.
    bool freshConnection = false;
    // True: an aborted call resets its connection, so that bytes which a partition holds back never arrive later.
    bool resetOnAbort = false;
    // Called with each piece of the body as it arrives, in place of collecting it.
    std::function<void(const char* data, std::size_t n)> onPiece;
};

// Why there is no whole answer.
enum class HttpFault {
    notSent, // the connection could not be made: the other side cannot have seen the request
    timeout,
    broken, // the connection closed early, or the answer was not whole HTTP
    tooLarge,
};

struct HttpFailure {
    HttpFault fault;
};

struct HttpAnswer {
    int status = 0;
    HeaderMap headers;
    std::string body;
};

using HttpOutcome = std::variant<HttpAnswer, HttpFailure>;

class HttpClient {
public:
    using Callback = std::function<void(HttpOutcome)>;
    using CallId = std::uint64_t;

    explicit HttpClient(std::size_t maxAnswerBytes);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Starts a call; the callback runs later, exactly once, unless the call is cancelled.
    CallId start(HttpCall, Callback);
    void cancel(CallId);
    std::size_t inFlight() const { return m_transfers.size(); }

    struct Transfer;
    struct Internals;

private:
    void act(curl_socket_t, int events);
    void deliverPieces();
    void collect();
    void finish(CURL*, CURLcode);

    CURLM* m_multi;
    std::size_t m_maxAnswerBytes;
    CallId m_nextId = 1;
    Timer m_timer;
    std::vector<std::pair<CallId, std::string>> m_pieces; // of streamed bodies, not yet handed on
    std::unordered_map<CallId, std::unique_ptr<Transfer>> m_transfers;
    std::unordered_map<curl_socket_t, std::unique_ptr<SocketWatcher>> m_sockets;

    friend struct Internals;
};

} // namespace pistachiospur
