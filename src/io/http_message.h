#pragma once

#include "pistachiospur/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// HTTP/1.1 requests and responses, and their form on the wire. Boost.Beast parses requests.
namespace pistachiospur {

using HeaderList = std::vector<std::pair<std::string, std::string>>;
// Header values by lower-case name.
using HeaderMap = std::map<std::string, std::string>;

class BodyPipe;

struct HttpRequest {
    std::string method;
    std::string target; // path and query as sent, still escaped
    std::string path; // the target's part before "?"
    HeaderMap headers;
    std::string body;
    bool tooLarge = false; // the body exceeds the server's limit; it is not read
    Millis receivedAt {}; // monotonic clock: when the head was complete
    std::shared_ptr<BodyPipe> rest; // the part of a large body that follows `body`; null if `body` is complete
    std::shared_ptr<void> bodyCharge; // returns the request's bytes to the host's memory budget when destroyed
};

// The parameters of a target's query, unescaped.
std::map<std::string, std::string> queryOf(const std::string& target);

struct HttpResponse {
    int status = 200;
    HeaderList headers; // "Connection: close" closes the connection after the response
    std::string body;
};

// Parses one request from bytes that arrive in pieces.
class RequestParser {
public:
    // Receives the body's bytes in order.
    using OnBody = std::function<void(std::string_view)>;

    RequestParser(std::size_t maxHeaderBytes, HttpRequest&, OnBody);
    ~RequestParser();

    // Parses up to the next stop: the end of the head, or of the request, or of the bytes. Returns how many bytes it
    // consumed; the caller presents the others again, followed by those that have arrived since.
    std::size_t consume(std::string_view);
    bool isHeadDone() const;
    bool isDone() const;
    // The status of the response to a malformed request or one with too large a head; nothing if there is no error.
    std::optional<int> errorStatus() const;
    // Whether the caller may send another request on the connection.
    bool keepsAlive() const;
    bool expectsContinue() const;
    // The memory that the head takes as far as it has been parsed, with what its fields cost beside their text.
    std::size_t headBytes() const;
    // The declared size of the body; nothing if it is sent in chunks.
    std::optional<std::uint64_t> contentLength() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

// The status in the status line of a response, with or without its line end; nothing if the line is none of HTTP/1 or
// its status is no three digits from 100 to 599 (RFC 9112, 4; RFC 9110, 15).
std::optional<int> parseStatusLine(std::string_view);

struct HeaderField {
    std::string name; // in lower case
    std::string value;

    friend bool operator==(const HeaderField& a, const HeaderField& b)
    {
        return std::tie(a.name, a.value) == std::tie(b.name, b.value);
    }
};

// The field in a line of a head, with or without its line end; nothing if the line is none: it is folded, its name is
// no token, or its value has a control character other than a tab (RFC 9112, 5; RFC 9110, 5).
std::optional<HeaderField> parseFieldLine(std::string_view);
// The value of a Content-Length field; nothing if it is no decimal number below 2^63 (RFC 9110, 8.6).
std::optional<std::uint64_t> parseContentLength(std::string_view);
// Whether requests with this method may be handled side by side, because none has an effect.
bool isSafeMethod(const std::string& method);
// The head of a response, up to and including the empty line. Without a body length the body follows in chunks.
std::string encodeHead(const HttpResponse&, std::optional<std::size_t> bodyBytes, bool closes);
std::string encodeChunk(std::string_view data);
constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
// Whether the headers ask for the connection to be closed after the message.
bool asksToClose(const HeaderList&);

} // namespace pistachiospur
