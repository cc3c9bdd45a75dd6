#include "http_client.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <strings.h>
#include <sys/socket.h>
#include <utility>

namespace pistachiospur {

struct HttpClient::Transfer {
    HttpClient* client = nullptr;
    CallId id = 0;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    HttpCall call;
    Callback callback;
    HttpAnswer answer;
    bool tooLarge = false;

    ~Transfer()
    {
        curl_easy_cleanup(easy);
        curl_slist_free_all(headers);
    }
};

struct HttpClient::Internals {
    static std::size_t onBody(char* data, std::size_t size, std::size_t count, void* cls)
    {
        auto& transfer = *static_cast<Transfer*>(cls);
        const std::size_t n = size * count;
        if (transfer.call.onPiece) {
            transfer.client->m_pieces.emplace_back(transfer.id, std::string(data, n));
            return n;
        }
        if (transfer.answer.body.size() + n > transfer.client->m_maxAnswerBytes) {
            transfer.tooLarge = true;
            return 0;
        }
        transfer.answer.body.append(data, n);
        return n;
    }

    static std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* cls)
    {
        auto& transfer = *static_cast<Transfer*>(cls);
        const std::string line(data, size * count);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            return size * count;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char n) { return std::tolower(n); });
        const auto from = line.find_first_not_of(' ', colon + 1);
        const auto to = line.find_last_not_of("\r\n ");
        transfer.answer.headers[name] = from == std::string::npos || to < from ? "" : line.substr(from, to - from + 1);
        return size * count;
    }

    static int onSocket(CURL*, curl_socket_t fd, int what, void* cls, void*)
    {
        auto& client = *static_cast<HttpClient*>(cls);
        if (what == CURL_POLL_REMOVE) {
            client.m_sockets.erase(fd);
            return 0;
        }
        auto& watcher = client.m_sockets[fd];
        if (!watcher)
            watcher = std::make_unique<SocketWatcher>([&client, fd](int events) { client.act(fd, events); });
        watcher->watch(fd, (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0));
        return 0;
    }

    // Lingering for no time makes close() send a reset and drop what was not yet sent.
    static int onNewSocket(void*, curl_socket_t fd, curlsocktype)
    {
        const linger none { 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        return CURL_SOCKOPT_OK;
    }

    static int onTimer(CURLM*, long timeoutMs, void* cls)
    {
        auto& client = *static_cast<HttpClient*>(cls);
        if (timeoutMs < 0)
            client.m_timer.stop();
        else
            client.m_timer.once(Millis(timeoutMs));
        return 0;
    }
};

HttpClient::HttpClient(std::size_t maxAnswerBytes)
    : m_multi((curl_global_init(CURL_GLOBAL_DEFAULT), curl_multi_init()))
    , m_maxAnswerBytes(maxAnswerBytes)
    , m_timer([this] { act(CURL_SOCKET_TIMEOUT, 0); })
{
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

// The call's headers, and none that libcurl would add by itself.
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
    const HttpCall& it = transfer->call;
    transfer->headers = headerLines(it);
    const std::string url = it.url.empty() ? "http://" + it.endpoint.text() + "/" : it.url;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    if (!it.target.empty())
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, it.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    if (it.method == "HEAD")
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    if (it.resetOnAbort)
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, Internals::onNewSocket);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, it.method.c_str());
    if (!it.body.empty() || (it.method != "GET" && it.method != "HEAD")) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, it.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(it.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(it.timeout.count()));
    if (it.connectTimeout.count() > 0)
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(it.connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, it.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, it.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, Internals::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, Internals::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
    const CallId id = transfer->id;
    m_transfers.emplace(id, std::move(transfer));
    curl_multi_add_handle(m_multi, easy);
    return id;
}

void HttpClient::cancel(CallId id)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end())
        return;
    curl_multi_remove_handle(m_multi, it->second->easy);
    m_transfers.erase(it);
}

void HttpClient::act(curl_socket_t fd, int events)
{
    const int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
    int running = 0;
    curl_multi_socket_action(m_multi, fd, mask, &running);
    deliverPieces();
    collect();
}

// libcurl must not be called from within its own callbacks, so pieces are handed on once it has returned.
void HttpClient::deliverPieces()
{
    for (const auto& [id, piece] : std::exchange(m_pieces, {})) {
        const auto it = m_transfers.find(id);
        if (it != m_transfers.end())
            std::function(it->second->call.onPiece)(piece.data(), piece.size());
    }
}

void HttpClient::collect()
{
    int left = 0;
    while (CURLMsg* it = curl_multi_info_read(m_multi, &left)) {
        if (it->msg == CURLMSG_DONE)
            finish(it->easy_handle, it->data.result);
    }
}

namespace {

HttpFault faultOf(CURL* easy, CURLcode code, bool tooLarge)
{
    if (tooLarge)
        return HttpFault::tooLarge;
    // Counts every sending of the call: libcurl may have sent it on a reused connection that died, tried again on a new
    // one, and been refused there.
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
        transfer->callback(HttpFailure { faultOf(easy, code, transfer->tooLarge) });
        return;
    }
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    transfer->answer.status = static_cast<int>(status);
    transfer->callback(std::move(transfer->answer));
}

} // namespace pistachiospur
