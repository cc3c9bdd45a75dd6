#include "http_message.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>

namespace pistachiospur {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr int kBadRequest = 400;
constexpr int kHeaderTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// What a field takes beside its text: a node of the map of headers.
constexpr std::size_t kFieldOverhead = 128;

absl::string_view view(beast::string_view text) { return { text.data(), text.size() }; }

bool isToken(std::string_view text)
{
    constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || kMarks.find(c) != std::string_view::npos;
    });
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    const char lower = absl::ascii_tolower(static_cast<unsigned char>(c));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percentDecoded(absl::string_view text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool escaped
            = text[n] == '%' && n + 2 < text.size() && hexDigit(text[n + 1]) >= 0 && hexDigit(text[n + 2]) >= 0;
        if (!escaped) {
            decoded += text[n] == '+' ? ' ' : text[n];
            continue;
        }
        decoded += static_cast<char>(hexDigit(text[n + 1]) * 16 + hexDigit(text[n + 2]));
        n += 2;
    }
    return decoded;
}

void readTarget(HttpRequest& request, absl::string_view target)
{
    request.target = std::string(target);
    request.path = std::string(target.substr(0, target.find('?')));
}

// Removes the headers that the "Connection" header names, since they concern this connection only.
void removeConnectionHeaders(HeaderMap& headers)
{
    const auto found = headers.find("connection");
    if (found == headers.end())
        return;
    for (const absl::string_view token : absl::StrSplit(found->second, ',')) {
        const std::string name = absl::AsciiStrToLower(absl::StripAsciiWhitespace(token));
        if (name != "connection" && name != "host" && name != "content-length" && name != "transfer-encoding")
            headers.erase(name);
    }
}

// The status that refuses a request because its body's length cannot be known (RFC 9112, 6.1 and 6.3); nothing if it
// can. Boost.Beast takes a request whose last coding is not "chunked" for one without a body.
std::optional<int> refusalOfCodings(const HeaderMap& headers, unsigned version)
{
    const auto found = headers.find("transfer-encoding");
    if (found == headers.end())
        return std::nullopt;
    const std::vector<std::string> codings = absl::StrSplit(absl::AsciiStrToLower(found->second), ',');
    const auto isChunked = [](const std::string& it) { return absl::StripAsciiWhitespace(it) == "chunked"; };
    const auto chunked = std::count_if(codings.begin(), codings.end(), isChunked);
    if (version < 11 || chunked != 1 || !isChunked(codings.back()) || headers.count("content-length") > 0)
        return kBadRequest;
    return codings.size() > 1 ? std::optional(kNotImplemented) : std::nullopt;
}

} // namespace

std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return query;
    for (const absl::string_view part :
        absl::StrSplit(absl::string_view(target).substr(mark + 1), '&', absl::SkipEmpty())) {
        const auto equals = part.find('=');
        query[percentDecoded(part.substr(0, equals))]
            = equals == absl::string_view::npos ? "" : percentDecoded(part.substr(equals + 1));
    }
    return query;
}

struct RequestParser::Impl : http::basic_parser<true> {
    Impl(HttpRequest& target, OnBody callback)
        : request(target)
        , onBody(std::move(callback))
    {
    }

    void on_request_impl(
        http::verb, beast::string_view method, beast::string_view target, int number, beast::error_code& ec) override
    {
        ec = {};
        version = static_cast<unsigned>(number);
        request.method = std::string(view(method));
        readTarget(request, view(target));
        headBytes += request.method.size() + request.target.size() + request.path.size();
    }

    void on_field_impl(http::field, beast::string_view name, beast::string_view value, beast::error_code& ec) override
    {
        ec = {};
        if (headDone) // a trailer
            return;
        headBytes += name.size() + value.size() + kFieldOverhead;
        const auto [it, added] = request.headers.emplace(absl::AsciiStrToLower(view(name)), std::string(view(value)));
        if (added)
            return;
        if (it->first == "host") {
            ec = http::error::bad_field;
            return;
        }
        absl::StrAppend(&it->second, it->first == "cookie" ? "; " : ", ", view(value));
    }

    void on_header_impl(beast::error_code& ec) override
    {
        ec = {};
        error = refusalOfCodings(request.headers, version);
        if (error) {
            ec = http::error::bad_transfer_encoding;
            return;
        }
        headDone = true;
        removeConnectionHeaders(request.headers);
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, beast::error_code& ec) override { ec = {}; }

    std::size_t on_body_impl(beast::string_view data, beast::error_code& ec) override
    {
        ec = {};
        onBody({ data.data(), data.size() });
        return data.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code& ec) override { ec = {}; }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view data, beast::error_code& ec) override
    {
        ec = {};
        onBody({ data.data(), data.size() });
        return data.size();
    }

    void on_finish_impl(beast::error_code& ec) override { ec = {}; }
    // Responses only; the base class requires it.
    void on_response_impl(int, beast::string_view, int, beast::error_code& ec) override { ec = {}; }

    HttpRequest& request;
    OnBody onBody;
    std::size_t headBytes = 0;
    bool headDone = false;
    unsigned version = 0; // 11 for HTTP/1.1
    std::optional<int> error;
};

RequestParser::RequestParser(std::size_t maxHeaderBytes, HttpRequest& request, OnBody onBody)
    : m_impl(std::make_unique<Impl>(request, std::move(onBody)))
{
    m_impl->header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(maxHeaderBytes, UINT32_MAX)));
    m_impl->body_limit(boost::none); // the pipeline checks it
}

RequestParser::~RequestParser() = default;

std::size_t RequestParser::consume(std::string_view bytes)
{
    std::size_t consumed = 0;
    const bool headWasDone = m_impl->headDone;
    while (!m_impl->is_done() && !m_impl->error && consumed < bytes.size()) {
        if (m_impl->headDone && m_impl->chunked() && bytes.size() - consumed < kLastChunk.size())
            break; // Beast asserts that the last chunk is complete when it sees its second part
        beast::error_code ec;
        consumed += m_impl->put(boost::asio::const_buffer(bytes.data() + consumed, bytes.size() - consumed), ec);
        if (ec == http::error::need_more)
            break;
        if (m_impl->error)
            break;
        if (ec == http::error::header_limit)
            m_impl->error = kHeaderTooLarge;
        else if (ec == http::error::bad_version)
            m_impl->error = kVersionNotSupported;
        else if (ec)
            m_impl->error = kBadRequest;
        if (m_impl->headDone != headWasDone)
            break;
    }
    return consumed;
}

bool RequestParser::isHeadDone() const { return m_impl->headDone; }
std::size_t RequestParser::headBytes() const { return m_impl->headBytes; }
bool RequestParser::isDone() const { return m_impl->is_done(); }
std::optional<int> RequestParser::errorStatus() const { return m_impl->error; }
bool RequestParser::keepsAlive() const { return m_impl->keep_alive(); }

bool RequestParser::expectsContinue() const
{
    const auto found = m_impl->request.headers.find("expect");
    return found != m_impl->request.headers.end() && absl::EqualsIgnoreCase(found->second, "100-continue");
}

std::optional<std::uint64_t> RequestParser::contentLength() const
{
    const auto n = m_impl->content_length();
    if (n)
        return *n;
    return m_impl->chunked() ? std::nullopt : std::optional<std::uint64_t>(0);
}

std::optional<int> parseStatusLine(std::string_view line)
{
    constexpr std::size_t kVersionBytes = 9; // with the blank behind it
    constexpr std::size_t kStatusEnd = kVersionBytes + 3;
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r'))
        line.remove_suffix(1);
    const std::string_view version = line.substr(0, kVersionBytes);
    if ((version != "HTTP/1.1 " && version != "HTTP/1.0 ") || line.size() < kStatusEnd
        || (line.size() > kStatusEnd && line[kStatusEnd] != ' '))
        return std::nullopt;
    const std::string_view digits = line.substr(kVersionBytes, 3);
    const bool isNumber = std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
    const bool isInRange = digits[0] >= '1' && digits[0] <= '5';
    if (!isNumber || !isInRange)
        return std::nullopt;
    return (digits[0] - '0') * 100 + (digits[1] - '0') * 10 + (digits[2] - '0');
}

std::optional<HeaderField> parseFieldLine(std::string_view line)
{
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r'))
        line.remove_suffix(1);
    const std::string_view name = line.substr(0, line.find(':'));
    if (name.size() == line.size() || !isToken(name))
        return std::nullopt;
    const std::string_view value = line.substr(name.size() + 1);
    const auto breaksField = [](char c) { return absl::ascii_iscntrl(static_cast<unsigned char>(c)) && c != '\t'; };
    if (std::any_of(value.begin(), value.end(), breaksField))
        return std::nullopt;
    return HeaderField { absl::AsciiStrToLower({ name.data(), name.size() }),
        std::string(absl::StripAsciiWhitespace({ value.data(), value.size() })) };
}

std::optional<std::uint64_t> parseContentLength(std::string_view value)
{
    const bool isNumber = std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
    std::int64_t bytes = 0;
    if (!isNumber || !absl::SimpleAtoi(absl::string_view(value.data(), value.size()), &bytes))
        return std::nullopt;
    return static_cast<std::uint64_t>(bytes);
}

bool isSafeMethod(const std::string& method) { return method == "GET" || method == "HEAD" || method == "OPTIONS"; }

bool asksToClose(const HeaderList& headers)
{
    return std::any_of(headers.begin(), headers.end(), [](const auto& it) {
        return absl::EqualsIgnoreCase(it.first, "connection") && absl::EqualsIgnoreCase(it.second, "close");
    });
}

std::string encodeHead(const HttpResponse& response, std::optional<std::size_t> bodyBytes, bool closes)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    std::string head = absl::StrCat("HTTP/1.1 ", response.status, " ", view(reason), "\r\n");
    for (const auto& [name, value] : response.headers) {
        const bool isField = isToken(name) && value.find_first_of("\r\n") == std::string::npos;
        if (isField && !absl::EqualsIgnoreCase(name, "connection") && !absl::EqualsIgnoreCase(name, "content-length"))
            absl::StrAppend(&head, name, ": ", value, "\r\n");
    }
    const bool hasBody = response.status >= 200 && response.status != kNoContent && response.status != kNotModified;
    if (hasBody && bodyBytes)
        absl::StrAppend(&head, "Content-Length: ", *bodyBytes, "\r\n");
    else if (hasBody)
        absl::StrAppend(&head, "Transfer-Encoding: chunked\r\n");
    if (closes)
        absl::StrAppend(&head, "Connection: close\r\n");
    return head + "\r\n";
}

std::string encodeChunk(std::string_view data)
{
    return absl::StrCat(absl::Hex(data.size()), "\r\n", absl::string_view(data.data(), data.size()), "\r\n");
}

} // namespace pistachiospur
