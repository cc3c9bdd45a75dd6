#pragma once

#include "body.h"
#include "http_message.h"
#include "loop.h"

#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

// An HTTP client on the event loop, built on libcurl's multi interface.
namespace pistachiospur {

// One HTTP request to send.
struct HttpCall {
    std::string method;
    std::string url; // if empty, http://`endpoint`/ is used
    Endpoint endpoint;
    std::string target; // if set, sent unchanged as the path and query in place of those of the URL
    HeaderList headers;
    std::string body;
    // The part of a large body that follows `body`; null if `body` is complete. The call takes bytes as it sends them.
    std::shared_ptr<BodyPipe> rest;
    std::optional<std::uint64_t> bodyBytes; // size of the body with `rest`; without it the body is sent in chunks
    Millis timeout { 1000 }; // for the whole call
    Millis connectTimeout {}; // included in `timeout`; zero: no separate limit
    // If not zero, the call also fails when nothing of the answer has arrived for this time, and `timeout` may be long
    // enough for a large answer over a slow link.
    Millis silenceTimeout {};
    // Opens a new connection for this call. libcurl silently resends a request if a reused connection breaks before the
    // first byte of the answer, so a request that must not run twice has to set this.
    bool freshConnection = false;
    // Makes a connection and closes it, without a request. The answer is then empty and has status 0.
    bool connectOnly = false;
    // Resets the connection (TCP RST) when the call is aborted, and lets the kernel drop it once bytes have not been
    // acknowledged for `timeout` of the call that opened it (TCP_USER_TIMEOUT), so that bytes delayed by a network
    // partition are not delivered later.
    bool resetOnAbort = false;
    // Name, in lower case, and value of a header that the server repeats in its answer. An answer with another value
    // belongs to another call: this one fails as broken, and its connection, on which the answers no longer match the
    // calls, is closed.
    std::optional<std::pair<std::string, std::string>> repeatedHeader;
    // If set, receives each chunk of the body as it arrives; HttpAnswer::body then stays empty.
    std::function<void(const char* data, std::size_t n)> onBodyChunk;
};

// Why a call failed.
enum class HttpFault {
    notSent, // nothing of the request was sent, so the server cannot have seen it
    timeout,
    broken, // the connection closed early, or the answer was not complete, valid HTTP
    tooLarge, // the answer's head or body exceeded the client's limit
};

struct HttpFailure {
    HttpFault fault;
};

struct HttpAnswer {
    int status = 0;
    HeaderMap headers;
    std::string body;
    // The connection had carried an earlier call, so an answer that names none may be that call's, sent again.
    bool onReusedConnection = false;
};

using HttpOutcome = std::variant<HttpAnswer, HttpFailure>;

class HttpClient {
public:
    using Callback = std::function<void(HttpOutcome)>;
    using CallId = std::uint64_t;

    // `maxBodyBytes` bounds the body of one answer, `maxTotalBytes` the heads and bodies of all calls together.
    explicit HttpClient(std::size_t maxBodyBytes, std::size_t maxTotalBytes = SIZE_MAX);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Starts a call. The callback runs later, exactly once, unless the call is cancelled first.
    CallId start(HttpCall, Callback);
    void cancel(CallId);
    std::size_t inFlight() const { return m_transfers.size(); }

    struct Transfer;
    struct Internals;

private:
    void onSocketEvents(curl_socket_t, int events);
    void deliverChunks();
    void limitSilence(Transfer&);
    void continueBody(CallId);
    void hold(Transfer&, std::size_t bytes);
    void limitTotal();
    void finishCompleted();
    void finishSilent();
    void finish(CURL*, CURLcode);

    CURLM* m_multi;
    std::size_t m_maxBodyBytes;
    std::size_t m_maxTotalBytes;
    std::size_t m_totalBytes = 0; // that the answers hold that are arriving
    CallId m_nextId = 1;
    Timer m_timer;
    Timer m_silenceTimer;
    std::vector<CallId> m_silent; // calls whose silence time-out has passed
    std::vector<CallId> m_tooLarge; // calls that hold the most while all together hold too much
    std::vector<CallId> m_earlyAnswers; // complete, although the request's body is not sent completely
    std::vector<std::pair<CallId, std::string>> m_chunks; // of streamed bodies, not yet passed to onBodyChunk
    std::unordered_map<CallId, std::unique_ptr<Transfer>> m_transfers;
    std::unordered_map<curl_socket_t, std::unique_ptr<SocketWatcher>> m_sockets;

    friend struct Internals;
};

} // namespace pistachiospur
