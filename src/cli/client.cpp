#include "client.h"

#include "io/json.h"
#include "io/loop.h"

#include <boost/leaf/error.hpp>

#include <algorithm>

namespace pistachiospur {

namespace leaf = boost::leaf;

namespace {

constexpr Millis kCallTimeout { 3000 };
constexpr std::size_t kMaxAnswerBytes = 64u << 20;
// Attempts to read the configuration head after the answer to a write was lost, and the pause between them.
constexpr int kReadBackAttempts = 5;
constexpr Millis kReadBackPause { 300 };

void runLoopFor(Millis time)
{
    Timer timer(breakLoop);
    timer.once(time);
    runLoop();
}

} // namespace

OperatorClient::OperatorClient(std::vector<Endpoint> store, std::string prefix, std::vector<Endpoint> hosts)
    : m_http(kMaxAnswerBytes)
    , m_store(m_http, std::move(store), std::move(prefix), kCallTimeout)
    , m_hosts(std::move(hosts))
{
}

leaf::result<Snapshot> OperatorClient::readAndWait(const std::string& keyPrefix)
{
    ReadResult result;
    m_store.read(keyPrefix, [&](ReadResult it) {
        result = std::move(it);
        breakLoop();
    });
    runLoop();
    if (const auto* error = std::get_if<StoreError>(&result))
        return leaf::new_error(*error);
    return std::get<Snapshot>(std::move(result));
}

leaf::result<PublishedConfiguration> OperatorClient::readConfiguration()
{
    BOOST_LEAF_AUTO(snapshot, readAndWait(std::string(kLivePrefix) + "config/"));
    std::map<std::string, StoredValue> live; // keys without kLivePrefix
    for (auto& [key, value] : snapshot.values)
        live[key.substr(std::string(kLivePrefix).size())] = value;
    return decodePublished(live);
}

leaf::result<std::vector<Json>> OperatorClient::readHistory(std::size_t maxRecords)
{
    BOOST_LEAF_AUTO(snapshot, readAndWait(kHistoryPrefix));
    std::vector<Json> changes;
    const auto& values = snapshot.values;
    for (auto it = values.rbegin(); it != values.rend() && changes.size() < maxRecords; ++it)
        changes.push_back(parseJson(it->second.text));
    return changes;
}

leaf::result<Revision> OperatorClient::publish(
    const PublishedConfiguration& base, const ChangeSet& changes, const std::string& changeId)
{
    std::vector<FieldError> errors;
    const auto write = buildPublicationWrite(base, changes, changeId, wallNow(), errors);
    if (!write)
        return leaf::new_error(DocumentError { errors });
    const WriteResult result = writeAndWait(*write);
    if (std::holds_alternative<Written>(result))
        return base.head.revision.next();
    if (const auto* error = std::get_if<StoreError>(&result))
        return error->outcome == WriteOutcome::notApplied ? leaf::new_error(*error)
                                                          : resolveUnknownWrite(*error, base, changeId);
    BOOST_LEAF_AUTO(current, readConfiguration());
    // The HTTP library may have sent the write twice. Then the first copy published the change, and the second copy got
    // this conflict.
    if (current.head.changeId == changeId)
        return current.head.revision;
    return leaf::new_error(RevisionConflict { base.head.revision, current.head.revision });
}

leaf::result<Revision> OperatorClient::resolveUnknownWrite(
    const StoreError& error, const PublishedConfiguration& base, const std::string& changeId)
{
    for (int n = 0; n < kReadBackAttempts; ++n) {
        const auto current = readConfiguration();
        if (!current) {
            runLoopFor(kReadBackPause);
            continue;
        }
        if (current->head.changeId == changeId)
            return current->head.revision;
        if (current->head.revision > base.head.revision)
            return leaf::new_error(RevisionConflict { base.head.revision, current->head.revision });
        // The base is still current, so the lost write may still arrive. Rewriting the head unchanged gives its record
        // a new version, so the lost write's condition fails from then on.
        const WriteResult rewrite = writeAndWait({ { { kLivePrefix + headKey(), current->head.version } },
            { { kLivePrefix + headKey(), encodeHead(current->head) } } });
        if (std::holds_alternative<Written>(rewrite)) {
            StoreError resolved = error;
            resolved.outcome = WriteOutcome::notApplied;
            return leaf::new_error(resolved);
        }
        runLoopFor(kReadBackPause);
    }
    return leaf::new_error(error);
}

WriteResult OperatorClient::writeAndWait(const ConditionalWrite& write)
{
    WriteResult result;
    m_store.write(write, [&](WriteResult it) {
        result = std::move(it);
        breakLoop();
    });
    runLoop();
    return result;
}

leaf::result<Json> OperatorClient::callHost(const Endpoint& host, const std::string& method, const std::string& path)
{
    HttpOutcome outcome;
    HttpCall call;
    call.method = method;
    call.url = "http://" + host.text() + path;
    call.timeout = kCallTimeout;
    m_http.start(call, [&](HttpOutcome it) {
        outcome = std::move(it);
        breakLoop();
    });
    runLoop();
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    if (!answer)
        return leaf::new_error(HostError { host, 0 });
    Json body = parseJson(answer->body);
    if (answer->status / 100 != 2 || body.is_discarded())
        return leaf::new_error(HostError { host, answer->status });
    return body;
}

std::vector<std::pair<Endpoint, std::optional<Json>>> OperatorClient::readFromAllHosts(const std::string& path)
{
    std::vector<std::pair<Endpoint, std::optional<Json>>> pages;
    for (const auto& it : m_hosts) {
        auto page = callHost(it, "GET", path);
        pages.emplace_back(it, page ? std::optional(std::move(*page)) : std::nullopt);
    }
    return pages;
}

} // namespace pistachiospur
