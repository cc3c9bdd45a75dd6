#pragma once

#include "body.h"
#include "http_message.h"

#include <deque>

// The requests of one connection, without sockets or timers: turns received bytes into requests and responses into
// bytes to send.
//
// A caller may send further requests before the first is answered. Requests with safe methods run side by side; another
// one waits until all before it are answered, and those behind it until it is. Responses leave in the order of the
// requests. What was sent behind a response that closes the connection is never passed on.
namespace pistachiospur {

struct HttpLimits {
    std::size_t headerBytes = 64u << 10;
    std::size_t bodyBytes = 1u << 20; // of one request
    Millis headerTimeout {}; // for a head, and between two pieces of a body; zero: none
    Millis bodyTimeout {}; // for a whole body that is received before its request is passed on; zero: none
    Millis idleTimeout {}; // between requests; zero: none
    // A body of more than heldBodyBytes flows: the request is passed on with its first part, and `rest` has the others.
    bool bodiesFlow = false;
    std::size_t headCopies = 1; // of a head, in the memory of the process, while its request is handled
    std::size_t outputBytes = 64u << 10; // to send; no further request is begun while there are as many or more
};

// Bodies up to this size are complete before their request is passed on, so that a caller who stalls takes no room at
// an upstream.
constexpr std::size_t kHeldBodyBytes = 256u << 10;
// Requests of one connection that are passed on and not yet answered.
constexpr std::size_t kMaxPipelined = 32;
// Responses of one connection that wait for one before them. No further request is passed on while there are more.
constexpr std::size_t kMaxWaitingResponseBytes = 256u << 10;

class HttpPipeline {
public:
    // Numbers the requests of a connection from 0.
    using Sequence = std::uint64_t;

    struct Handlers {
        // Asked when the head of a request with a body has arrived: a response refuses it before its body is read.
        std::function<std::optional<HttpResponse>(const HttpRequest&, std::optional<std::uint64_t> bodyBytes)>
            checkHead;
        // Takes each request exactly once. May respond at once.
        std::function<void(Sequence, HttpRequest)> onRequest;
        // The response to a request that does not fit into the memory budget.
        std::function<HttpResponse()> overloadResponse;
    };

    HttpPipeline(const HttpLimits&, Handlers, std::shared_ptr<MemoryBudget>);

    void receive(std::string_view bytes, Millis now);
    // Responses to a request that has ended, or was never passed on, are ignored.
    void respond(Sequence, HttpResponse);
    // A response whose body is sent in pieces.
    void beginStream(Sequence, HttpResponse head);
    void writeStream(Sequence, const std::string& data);
    void finishStream(Sequence);
    // The connection has ended: breaks off the body that is arriving and reads nothing more.
    void end();
    // The request that is arriving takes too long: refuses it, or breaks off its body.
    void timeOut();
    // Continues with bytes that have arrived and were held back. Called when a body's pipe, or the output, has room
    // again.
    void resume() { parse(); }

    // Bytes to send next. The caller erases what it has sent, and calls resume() once all is sent.
    std::string& output() { return m_output; }
    bool hasInput() const { return !m_input.empty() && !m_inputEnded; }
    bool wantsInput() const;
    // Nothing more will be read or answered: the connection is to be closed once the output is sent.
    bool isClosing() const { return m_closing; }
    // Part of a request has been received and its head or body is incomplete.
    bool isReceiving() const { return m_parser && !m_inputEnded && !m_parser->isDone(); }
    bool isHeadPending() const { return m_parser && !m_inputEnded && !m_parser->isHeadDone(); }
    // When the request that is arriving began.
    Millis receivingSince() const { return m_receivingSince; }
    // Whether a body is arriving whose request is not passed on before its end.
    bool isHoldingBody() const { return m_headSeen && !m_pipe && isReceiving(); }
    // Memory of the budget that the arriving request has taken and that end() returns.
    std::size_t arrivingBytes() const { return m_charge && !m_pipe ? m_charge->bytes() : 0; }
    // Memory outside of the budget: received bytes that wait, and responses that are known.
    std::size_t waitingMemory() const;
    // Whether it is within one of its own calls, so that it must not be ended.
    bool isParsing() const { return m_parsing; }
    // Whether a whole request has been received.
    bool hasReceivedRequest() const { return m_hasReceivedRequest; }
    // Requests whose response has not been moved to the output completely.
    std::size_t openRequests() const { return m_slots.size(); }
    // Bytes of responses that are known and not in the output yet.
    std::size_t waitingBytes() const { return m_waitingBytes; }

private:
    struct Slot {
        bool safe = false; // its method has no effect
        bool headOnly = false; // HEAD: the response has no body
        bool closes = false; // the connection closes after the response
        bool passedOn = false;
        std::optional<HttpResponse> response;
        bool streaming = false;
        bool headSent = false;
        bool complete = false; // the whole response is known
        std::string chunks; // of a streamed body, encoded, not moved to the output yet
    };

    Slot* findSlot(Sequence);
    bool mayStartNext() const;
    bool mayPassOn() const;
    bool isBodyBlocked() const;
    void parse();
    std::size_t parseAll(std::string_view);
    void trimInput();
    bool parseStep(std::string_view input, std::size_t& consumed);
    bool begin(std::string_view input, std::size_t& consumed);
    void refuseIfStuck(std::string_view input);
    bool chargeHead();
    void onHead();
    void onBody(std::string_view);
    HttpRequest takeRequest();
    void passOn();
    void refuse(HttpResponse);
    void refuseForMemory();
    void endInput();
    void releasePipe();
    void dropRequest();
    void finishReceiving();
    void closeAfterLast();
    void sendSlot(Slot&);
    void advance();

    const HttpLimits& m_limits;
    Handlers m_handlers;
    std::shared_ptr<MemoryBudget> m_budget;
    Millis m_now {}; // when the last bytes arrived
    Millis m_receivingSince {};
    std::string m_input; // not parsed yet
    std::string m_output;
    std::deque<Slot> m_slots; // oldest first
    Sequence m_firstSequence = 0; // of m_slots.front()
    std::size_t m_waitingBytes = 0; // of responses and chunks in m_slots
    bool m_parsing = false;
    bool m_hasReceivedRequest = false;
    bool m_inputEnded = false; // no further request is read
    bool m_closing = false;

    // The request that is arriving.
    HttpRequest m_request;
    std::unique_ptr<RequestParser> m_parser;
    std::shared_ptr<BodyPipe> m_pipe; // of a body that flows, once its request is passed on
    std::shared_ptr<BodyCharge> m_charge;
    std::size_t m_chargedHeadBytes = 0;
    std::size_t m_bodyBytes = 0;
    std::size_t m_blankBytes = 0; // received since the last request, as empty lines
    bool m_headSeen = false;
};

} // namespace pistachiospur
