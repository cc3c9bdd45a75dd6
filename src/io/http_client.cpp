#include "http_client.h"

#include "memory.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <utility>

namespace pistachiospur {

namespace {

// A head that is larger than this, interim responses included, is no answer of an upstream.
constexpr std::size_t kMaxAnswerHeadBytes = 128u << 10;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200; // lower ones are of interim responses
constexpr unsigned kMaxAnswerHeadLines = 1000; // interim responses and trailers included
// What a line of a head takes beside its text: libcurl keeps a copy of each, and the map of headers has a node for it.
constexpr std::size_t kHeaderLineOverhead = 200;
// Connections that are kept for later calls. libcurl's default follows the number of concurrent calls, which closes a
// range leader's connections between two renewals.
constexpr long kMaxIdleConnections = 1000;

} // namespace

struct HttpClient::Transfer {
    HttpClient* client = nullptr;
    CallId id = 0;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    HttpCall call;
    Callback callback;
    HttpAnswer answer;
    std::size_t headBytes = 0; // received
    unsigned headLines = 0; // received
    std::size_t heldBytes = 0; // counted in the client's total
    std::uint64_t bodyBytes = 0; // of the request's body; UINT64_MAX if it is not known
    std::size_t bodySent = 0; // bytes of call.body that libcurl has taken
    bool tooLarge = false;
    bool headComplete = false; // the empty line after the headers has arrived
    bool paused = false; // libcurl waits for more of the body
    Millis receivedAt {}; // monotonic clock; last bytes of the answer, or the start of the call
    std::unique_ptr<Timer> silenceTimer; // null without a silence time-out

    // Size of the answer's body as its head states; zero if it does not.
    std::size_t declaredBytes() const
    {
        const auto length = answer.headers.find("content-length");
        return length == answer.headers.end() ? 0 : std::strtoull(length->second.c_str(), nullptr, 10);
    }

    void noteReceived()
    {
        receivedAt = monotonicNow();
        if (silenceTimer)
            silenceTimer->once(call.silenceTimeout);
    }

    ~Transfer()
    {
        client->m_totalBytes -= heldBytes;
        if (call.rest)
            call.rest->onData(nullptr);
        curl_easy_cleanup(easy);
        curl_slist_free_all(headers);
    }
};

struct HttpClient::Internals {
    static std::size_t onBody(char* data, std::size_t size, std::size_t count, void* userData)
    {
        auto& transfer = *static_cast<Transfer*>(userData);
        const std::size_t n = size * count;
        transfer.noteReceived();
        if (transfer.call.onBodyChunk) {
            transfer.client->m_chunks.emplace_back(transfer.id, std::string(data, n));
            return n;
        }
        transfer.tooLarge |= transfer.answer.body.size() + n > transfer.client->m_maxBodyBytes;
        if (transfer.tooLarge)
            return 0;
        if (transfer.answer.body.empty())
            transfer.answer.body.reserve(std::min(transfer.declaredBytes(), transfer.client->m_maxBodyBytes));
        transfer.answer.body.append(data, n);
        transfer.client->hold(transfer, n);
        noteEarlyAnswer(transfer);
        return n;
    }

    // An upstream may answer before it has read the whole body. Its answer counts at once; libcurl would go on sending.
    static void noteEarlyAnswer(Transfer& transfer)
    {
        const auto length = transfer.answer.headers.find("content-length");
        if (transfer.bodyBytes == 0 || !transfer.call.freshConnection || length == transfer.answer.headers.end()
            || length->second != std::to_string(transfer.answer.body.size()))
            return;
        curl_off_t sent = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_SIZE_UPLOAD_T, &sent);
        if (static_cast<std::uint64_t>(sent) < transfer.bodyBytes)
            transfer.client->m_earlyAnswers.push_back(transfer.id);
    }

    // Gives libcurl the next part of a body that flows.
    static std::size_t onSend(char* buf, std::size_t size, std::size_t count, void* userData)
    {
        auto& transfer = *static_cast<Transfer*>(userData);
        const std::size_t n = size * count;
        std::string_view first = transfer.call.body;
        first.remove_prefix(transfer.bodySent);
        if (!first.empty()) {
            const std::size_t taken = first.copy(buf, n);
            transfer.bodySent += taken;
            return taken;
        }
        BodyPipe& rest = *transfer.call.rest;
        if (rest.state() == BodyPipe::State::broken)
            return CURL_READFUNC_ABORT;
        const std::string data = rest.read(n);
        if (data.empty() && !rest.isAtEnd()) {
            transfer.paused = true;
            return CURL_READFUNC_PAUSE;
        }
        return data.copy(buf, n);
    }

    static bool namesAnotherCall(const Transfer& transfer)
    {
        const auto& expected = transfer.call.repeatedHeader;
        const auto& headers = transfer.answer.headers;
        const auto found = expected ? headers.find(expected->first) : headers.end();
        return found != headers.end() && found->second != expected->second;
    }

    static std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* userData)
    {
        auto& transfer = *static_cast<Transfer*>(userData);
        const std::string line(data, size * count);
        transfer.headBytes += line.size();
        transfer.noteReceived();
        transfer.tooLarge |= transfer.headBytes > kMaxAnswerHeadBytes || ++transfer.headLines > kMaxAnswerHeadLines;
        if (transfer.tooLarge)
            return 0;
        transfer.client->hold(transfer, 2 * line.size() + kHeaderLineOverhead);
        if (line.compare(0, 5, "HTTP/") == 0) {
            transfer.headComplete = false; // interim responses have heads of their own
            transfer.answer.headers.clear();
            transfer.answer.status = parseStatusLine(line).value_or(0);
            // libcurl also takes other lines for a status line. No call of ours asks for another protocol.
            const bool isSound = transfer.answer.status != 0 && transfer.answer.status != kSwitchingProtocols;
            return isSound ? size * count : 0;
        }
        if (transfer.headComplete) // a trailer
            return size * count;
        transfer.headComplete = line == "\r\n" || line == "\n";
        const bool isSound = transfer.headComplete ? !namesAnotherCall(transfer) : takeField(transfer.answer, line);
        return isSound ? size * count : 0;
    }

    // Adds a line of the head to an answer; false if it is no field, or makes the length of the body ambiguous. libcurl
    // passes such lines on, and reads a length as far as its digits go.
    static bool takeField(HttpAnswer& answer, const std::string& line)
    {
        auto field = parseFieldLine(line);
        if (!field)
            return false;
        const bool isLength = field->name == "content-length", isCoding = field->name == "transfer-encoding";
        const auto known = answer.headers.find(field->name);
        const bool differs = known != answer.headers.end() && known->second != field->value;
        if (isLength && (!parseContentLength(field->value) || differs || answer.headers.count("transfer-encoding")))
            return false;
        if (isCoding && answer.headers.count("content-length"))
            return false;
        answer.headers[std::move(field->name)] = std::move(field->value);
        return true;
    }

    static int onSocket(CURL*, curl_socket_t fd, int what, void* userData, void*)
    {
        auto& client = *static_cast<HttpClient*>(userData);
        if (what == CURL_POLL_REMOVE) {
            client.m_sockets.erase(fd);
            return 0;
        }
        auto& watcher = client.m_sockets[fd];
        if (!watcher)
            watcher = std::make_unique<SocketWatcher>([&client, fd](int events) { client.onSocketEvents(fd, events); });
        watcher->watch(fd, (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0));
        return 0;
    }

    // With a linger time of zero, close() sends a TCP reset and discards unsent data. The user time-out lets the kernel
    // discard them also while this process is stopped.
    static int resetOnClose(void* userData, curl_socket_t fd, curlsocktype)
    {
        const auto& transfer = *static_cast<Transfer*>(userData);
        const linger noLinger { 1, 0 };
        const HttpCall& call = transfer.call;
        const auto userTimeoutMs
            = static_cast<unsigned>((call.silenceTimeout > Millis(0) ? call.silenceTimeout : call.timeout).count());
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
        return CURL_SOCKOPT_OK;
    }

    static int onTimer(CURLM*, long timeoutMs, void* userData)
    {
        auto& client = *static_cast<HttpClient*>(userData);
        if (timeoutMs < 0)
            client.m_timer.stop();
        else
            client.m_timer.once(Millis(timeoutMs));
        return 0;
    }
};

HttpClient::HttpClient(std::size_t maxBodyBytes, std::size_t maxTotalBytes)
    : m_multi((curl_global_init(CURL_GLOBAL_DEFAULT), curl_multi_init()))
    , m_maxBodyBytes(maxBodyBytes)
    , m_maxTotalBytes(maxTotalBytes)
    , m_timer([this] { onSocketEvents(CURL_SOCKET_TIMEOUT, 0); })
    , m_silenceTimer([this] { finishSilent(); })
{
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, Internals::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, Internals::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

HttpClient::~HttpClient()
{
    for (auto& [id, it] : m_transfers)
        curl_multi_remove_handle(m_multi, it->easy);
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
}

namespace {

// The call's headers. An empty "Name:" line suppresses a header that libcurl would add; "Name;" sends an empty value.
curl_slist* headerLines(const HttpCall& call)
{
    curl_slist* lines = nullptr;
    bool hasAccept = false, hasType = false;
    for (const auto& [name, value] : call.headers) {
        lines = curl_slist_append(
            lines, value.empty() ? absl::StrCat(name, ";").c_str() : absl::StrCat(name, ": ", value).c_str());
        hasAccept |= strcasecmp(name.c_str(), "accept") == 0;
        hasType |= strcasecmp(name.c_str(), "content-type") == 0;
    }
    if (!hasAccept)
        lines = curl_slist_append(lines, "Accept:");
    if (!hasType)
        lines = curl_slist_append(lines, "Content-Type:");
    if (call.rest && !call.bodyBytes)
        lines = curl_slist_append(lines, "Transfer-Encoding: chunked");
    return curl_slist_append(lines, "Expect:");
}

} // namespace

HttpClient::CallId HttpClient::start(HttpCall call, Callback callback)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->client = this;
    transfer->id = m_nextId++;
    transfer->call = std::move(call);
    transfer->callback = std::move(callback);
    transfer->easy = curl_easy_init();
    CURL* easy = transfer->easy;
    const HttpCall& request = transfer->call;
    transfer->headers = headerLines(request);
    transfer->bodyBytes = request.rest ? request.bodyBytes.value_or(UINT64_MAX) : request.body.size();
    const std::string url = request.url.empty() ? "http://" + request.endpoint.text() + "/" : request.url;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    if (!request.target.empty())
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    if (request.method == "HEAD")
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    if (request.connectOnly)
        curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, 1L);
    if (request.resetOnAbort) {
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, Internals::resetOnClose);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, transfer.get());
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.rest) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, Internals::onSend);
        curl_easy_setopt(easy, CURLOPT_READDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
            request.bodyBytes ? static_cast<curl_off_t>(*request.bodyBytes) : curl_off_t(-1));
        request.rest->onData([this, id = transfer->id] { continueBody(id); });
    } else if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    if (request.connectTimeout.count() > 0)
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request.connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, Internals::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, Internals::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
    const CallId id = transfer->id;
    limitSilence(*transfer);
    m_transfers.emplace(id, std::move(transfer));
    curl_multi_add_handle(m_multi, easy);
    return id;
}

// Begins to measure for how long nothing of the answer has arrived, if the call limits that.
void HttpClient::limitSilence(Transfer& transfer)
{
    if (transfer.call.silenceTimeout > Millis(0)) {
        transfer.silenceTimer = std::make_unique<Timer>([this, id = transfer.id] {
            m_silent.push_back(id);
            m_silenceTimer.once(Millis(0));
        });
    }
    transfer.noteReceived();
}

// More of a body that flows has arrived, or it has ended.
void HttpClient::continueBody(CallId id)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end() || !std::exchange(it->second->paused, false))
        return;
    curl_easy_pause(it->second->easy, CURLPAUSE_CONT);
    m_timer.once(Millis(0));
}

// Counts bytes that a call's answer holds, in the total of all calls too.
void HttpClient::hold(Transfer& transfer, std::size_t bytes)
{
    transfer.heldBytes += bytes;
    m_totalBytes += bytes;
    limitTotal();
}

// Ends the calls that hold the most while all together hold too much: one upstream that sends without end must not cost
// the answers of the others. They end when libcurl has returned, also if nothing more arrives for them.
void HttpClient::limitTotal()
{
    while (m_totalBytes > m_maxTotalBytes) {
        const auto largest = std::max_element(m_transfers.begin(), m_transfers.end(),
            [](const auto& a, const auto& b) { return a.second->heldBytes < b.second->heldBytes; });
        Transfer& transfer = *largest->second;
        transfer.tooLarge = true;
        freeMemory(transfer.answer.body); // libcurl may go through many calls before it returns
        transfer.answer = {};
        m_totalBytes -= std::exchange(transfer.heldBytes, 0);
        m_tooLarge.push_back(transfer.id);
    }
}

void HttpClient::cancel(CallId id)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end())
        return;
    curl_multi_remove_handle(m_multi, it->second->easy);
    m_transfers.erase(it);
}

void HttpClient::onSocketEvents(curl_socket_t fd, int events)
{
    const int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
    int running = 0;
    curl_multi_socket_action(m_multi, fd, mask, &running);
    deliverChunks();
    finishCompleted();
}

// libcurl must not be called from within its own callbacks, so chunks are delivered after it has returned.
void HttpClient::deliverChunks()
{
    for (const auto& [id, chunk] : std::exchange(m_chunks, {})) {
        const auto it = m_transfers.find(id);
        if (it != m_transfers.end())
            std::function(it->second->call.onBodyChunk)(chunk.data(), chunk.size());
    }
}

void HttpClient::finishCompleted()
{
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg == CURLMSG_DONE)
            finish(message->easy_handle, message->data.result);
    }
    for (const CallId id : std::exchange(m_tooLarge, {})) {
        const auto it = m_transfers.find(id);
        if (it != m_transfers.end())
            finish(it->second->easy, CURLE_WRITE_ERROR);
    }
    for (const CallId id : std::exchange(m_earlyAnswers, {})) {
        const auto it = m_transfers.find(id);
        if (it != m_transfers.end())
            finish(it->second->easy, CURLE_OK);
    }
}

// A timer must not be deleted from within its own callback, so silent calls end later. Bytes may have arrived
// meanwhile.
void HttpClient::finishSilent()
{
    for (const CallId id : std::exchange(m_silent, {})) {
        const auto it = m_transfers.find(id);
        if (it != m_transfers.end() && monotonicNow() - it->second->receivedAt >= it->second->call.silenceTimeout)
            finish(it->second->easy, CURLE_OPERATION_TIMEDOUT);
    }
}

namespace {

HttpFault classifyFailure(CURL* easy, CURLcode code, bool tooLarge)
{
    if (tooLarge)
        return HttpFault::tooLarge;
    // The request size covers all attempts: libcurl may have sent the request on a reused connection that broke, and
    // then been refused on a new one. Only zero bytes prove that nothing was sent.
    long requestBytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    if (requestBytes == 0)
        return HttpFault::notSent;
    return code == CURLE_OPERATION_TIMEDOUT ? HttpFault::timeout : HttpFault::broken;
}

} // namespace

void HttpClient::finish(CURL* easy, CURLcode code)
{
    Transfer* found = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &found);
    const auto it = m_transfers.find(found->id);
    const std::unique_ptr<Transfer> transfer = std::move(it->second);
    m_transfers.erase(it);
    curl_multi_remove_handle(m_multi, easy);
    if (code != CURLE_OK) {
        transfer->callback(HttpFailure { classifyFailure(easy, code, transfer->tooLarge) });
        return;
    }
    if (transfer->call.connectOnly) {
        transfer->callback(HttpAnswer {});
        return;
    }
    if (transfer->tooLarge) {
        transfer->callback(HttpFailure { HttpFault::tooLarge });
        return;
    }
    // libcurl takes a connection that closes within the head for the end of an answer without a body, and may do so
    // for one that closes after an interim response.
    if (!transfer->headComplete || transfer->answer.status < kFirstFinalStatus) {
        transfer->callback(HttpFailure { HttpFault::broken });
        return;
    }
    long newConnections = 0;
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &newConnections);
    transfer->answer.onReusedConnection = newConnections == 0;
    transfer->callback(std::move(transfer->answer));
}

} // namespace pistachiospur
