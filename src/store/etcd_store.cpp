#include "etcd_store.h"

#include "io/json.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace pistachiospur {

namespace {

using Json = nlohmann::json;

// A watch is reopened after this time, because its connection may have failed silently.
constexpr Millis kWatchTimeout { 10000 };

std::string decodeBase64(const Json& object, const char* field)
{
    std::string bytes;
    const auto it = object.find(field);
    if (it != object.end() && it->is_string())
        absl::Base64Unescape(it->get_ref<const std::string&>(), &bytes);
    return bytes;
}

// etcd's gateway encodes 64-bit numbers as JSON strings.
StoreRevision revisionIn(const Json& object, const char* field)
{
    const auto it = object.find(field);
    if (it == object.end())
        return {};
    return { it->is_string() ? std::strtoull(it->get_ref<const std::string&>().c_str(), nullptr, 10)
                             : it->get<std::uint64_t>() };
}

StoreRevision headerRevision(const Json& answer)
{
    const auto it = answer.find("header");
    return it == answer.end() ? StoreRevision {} : revisionIn(*it, "revision");
}

// The end (exclusive) of the range of all keys that begin with a prefix.
std::string rangeEnd(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

Json rangeOf(const std::string& prefix)
{
    return { { "key", absl::Base64Escape(prefix) }, { "range_end", absl::Base64Escape(rangeEnd(prefix)) } };
}

Json encodeWrite(const std::string& prefix, const ConditionalWrite& write)
{
    Json compare = Json::array(), success = Json::array();
    for (const auto& expectation : write.expected) {
        compare.push_back({ { "key", absl::Base64Escape(prefix + expectation.key) }, { "target", "MOD" },
            { "result", "EQUAL" }, { "mod_revision", std::to_string(expectation.version.value) } });
    }
    for (const auto& put : write.puts) {
        const std::string key = absl::Base64Escape(prefix + put.key);
        if (put.text)
            success.push_back({ { "requestPut", { { "key", key }, { "value", absl::Base64Escape(*put.text) } } } });
        else
            success.push_back({ { "requestDeleteRange", { { "key", key } } } });
    }
    return { { "compare", compare }, { "success", success } };
}

StoreError errorOf(const HttpOutcome& outcome, const std::string& endpoint, Millis waited)
{
    StoreError error { endpoint, waited, WriteOutcome::unknown, 0 };
    if (const auto* failure = std::get_if<HttpFailure>(&outcome))
        error.outcome = failure->fault == HttpFault::notSent ? WriteOutcome::notApplied : WriteOutcome::unknown;
    else
        error.httpStatus = std::get<HttpAnswer>(outcome).status;
    return error;
}

// The JSON body of a successful answer.
std::optional<Json> successBody(const HttpOutcome& outcome)
{
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    if (!answer || answer->status != 200)
        return std::nullopt;
    Json object = parseJson(answer->body);
    return object.is_object() ? std::optional(std::move(object)) : std::nullopt;
}

Snapshot decodeSnapshot(const Json& answer, const std::string& prefix)
{
    Snapshot snapshot { headerRevision(answer), {} };
    const auto kvs = answer.find("kvs");
    if (kvs == answer.end())
        return snapshot;
    for (const auto& kv : *kvs)
        snapshot.values[decodeBase64(kv, "key").substr(prefix.size())]
            = { decodeBase64(kv, "value"), revisionIn(kv, "mod_revision") };
    return snapshot;
}

KeyChange decodeEvent(const Json& event, const std::string& prefix)
{
    const Json& kv = event.at("kv");
    KeyChange change { decodeBase64(kv, "key").substr(prefix.size()), std::nullopt, revisionIn(kv, "mod_revision") };
    if (event.value("type", "PUT") != "DELETE")
        change.text = decodeBase64(kv, "value");
    return change;
}

} // namespace

EtcdStore::EtcdStore(
    HttpClient& http, std::vector<Endpoint> endpoints, std::string prefix, Millis timeout, std::size_t maxLineBytes)
    : m_http(http)
    , m_endpoints(std::move(endpoints))
    , m_prefix(std::move(prefix))
    , m_timeout(timeout)
    , m_maxLineBytes(maxLineBytes)
{
}

HttpCall EtcdStore::callTo(const char* path, std::string body) const
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + m_endpoints[m_endpointIndex % m_endpoints.size()].text() + path;
    call.headers = { { "Content-Type", "application/json" } };
    call.body = std::move(body);
    call.timeout = m_timeout;
    return call;
}

void EtcdStore::read(const std::string& keyPrefix, std::function<void(ReadResult)> callback)
{
    ++m_calls;
    auto call = callTo("/v3/kv/range", rangeOf(m_prefix + keyPrefix).dump());
    m_http.start(call, [this, url = call.url, callback = std::move(callback)](const HttpOutcome& outcome) {
        if (const auto answer = successBody(outcome))
            return callback(decodeSnapshot(*answer, m_prefix));
        tryNextEndpoint();
        auto error = errorOf(outcome, url, m_timeout);
        error.outcome = WriteOutcome::notApplied;
        callback(error);
    });
}

// libcurl may resend a request when a reused connection fails. That is safe for a conditional write: if the first copy
// was applied, the second one fails with a conflict, which the caller resolves by reading.
void EtcdStore::write(const ConditionalWrite& write, std::function<void(WriteResult)> callback)
{
    ++m_calls;
    auto call = callTo("/v3/kv/txn", encodeWrite(m_prefix, write).dump());
    m_http.start(call, [this, url = call.url, callback = std::move(callback)](const HttpOutcome& outcome) {
        const auto answer = successBody(outcome);
        if (!answer) {
            tryNextEndpoint();
            return callback(errorOf(outcome, url, m_timeout));
        }
        if (answer->value("succeeded", false))
            return callback(Written { headerRevision(*answer) });
        callback(WriteConflict { headerRevision(*answer), {} });
    });
}

void EtcdStore::watch(StoreRevision after, OnBatch onBatch, OnWatchEnd onEnd)
{
    stopWatch();
    ++m_calls;
    m_watchRevision = after;
    m_watchBuffer.clear();
    m_onBatch = std::move(onBatch);
    m_onWatchEnd = std::move(onEnd);
    Json create = rangeOf(m_prefix);
    create["start_revision"] = std::to_string(after.next().value);
    auto call = callTo("/v3/watch", Json { { "create_request", create } }.dump());
    call.timeout = kWatchTimeout;
    call.onBodyChunk = [this](const char* data, std::size_t n) { onWatchChunk(data, n); };
    m_watchCall = m_http.start(call, [this, url = call.url](const HttpOutcome& outcome) {
        m_watchCall = 0;
        const auto* failure = std::get_if<HttpFailure>(&outcome);
        if (!failure || failure->fault != HttpFault::timeout)
            tryNextEndpoint();
        std::exchange(m_onWatchEnd, nullptr)(errorOf(outcome, url, kWatchTimeout));
    });
}

void EtcdStore::stopWatch()
{
    if (m_watchCall)
        m_http.cancel(m_watchCall);
    m_watchCall = 0;
}

// Each line of the stream is one JSON message. Its changes follow those of the previous message without a gap.
void EtcdStore::onWatchChunk(const char* data, std::size_t n)
{
    const std::size_t known = m_watchBuffer.size(); // has no end of a line
    m_watchBuffer.append(data, n);
    for (auto end = m_watchBuffer.find('\n', known); end != std::string::npos; end = m_watchBuffer.find('\n')) {
        const Json line = parseJson(m_watchBuffer.substr(0, end));
        m_watchBuffer.erase(0, end + 1);
        if (!line.is_object() || !line.contains("result") || !line["result"].contains("events"))
            continue;
        ChangeBatch batch { m_watchRevision, headerRevision(line["result"]), {} };
        for (const auto& event : line["result"]["events"])
            batch.changes.push_back(decodeEvent(event, m_prefix));
        m_watchRevision = std::max(m_watchRevision, batch.to);
        m_onBatch(std::move(batch));
    }
    if (m_watchBuffer.size() <= m_maxLineBytes)
        return;
    stopWatch();
    freeMemory(m_watchBuffer);
    const StoreError error { m_endpoints[m_endpointIndex % m_endpoints.size()].text(), {}, WriteOutcome::notApplied,
        0 };
    tryNextEndpoint();
    std::exchange(m_onWatchEnd, nullptr)(error);
}

} // namespace pistachiospur
