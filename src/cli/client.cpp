#include "client.h"

#include "io/loop.h"

#include <boost/leaf/error.hpp>

#include <algorithm>

namespace pistachiospur {

namespace leaf = boost::leaf;

namespace {

constexpr Millis kCallTimeout { 3000 };
constexpr std::size_t kGreatestAnswer = 64u << 20;
// Readings of the head after a lost answer, and the pause between them.
constexpr int kSettleTries = 5;
constexpr Millis kSettlePause { 300 };

void pause(Millis time)
{
    Timer timer(breakLoop);
    timer.once(time);
    runLoop();
}

} // namespace

OperatorClient::OperatorClient(std::vector<Endpoint> store, std::string prefix, std::vector<Endpoint> hosts)
    : m_http(kGreatestAnswer)
    , m_store(m_http, std::move(store), std::move(prefix), kCallTimeout)
    , m_hosts(std::move(hosts))
{
}

leaf::result<Snapshot> OperatorClient::readAndWait(const std::string& below)
{
    ReadResult result;
    m_store.read(below, [&](ReadResult it) {
        result = std::move(it);
        breakLoop();
    });
    runLoop();
    if (const auto* error = std::get_if<StoreError>(&result))
        return leaf::new_error(*error);
    return std::get<Snapshot>(std::move(result));
}

leaf::result<Published> OperatorClient::readConfiguration()
{
    BOOST_LEAF_AUTO(snapshot, readAndWait(std::string(kLivePrefix) + "config/"));
    std::map<std::string, StoredValue> below;
    for (auto& [key, value] : snapshot.values)
        below[key.substr(std::string(kLivePrefix).size())] = value;
    return decodePublished(below);
}

leaf::result<std::vector<Json>> OperatorClient::readHistory(std::size_t most)
{
    BOOST_LEAF_AUTO(snapshot, readAndWait(kHistoryPrefix));
    std::vector<Json> changes;
    const auto& values = snapshot.values;
    for (auto it = values.rbegin(); it != values.rend() && changes.size() < most; ++it)
        changes.push_back(Json::parse(it->second.text, nullptr, false));
    return changes;
}

leaf::result<Revision> OperatorClient::publish(
    const Published& base, const ChangeSet& changes, const std::string& changeId)
{
    std::vector<FieldError> errors;
    const auto write = publication(base, changes, changeId, wallNow(), errors);
    if (!write)
        return leaf::new_error(DocumentError { errors });
    const WriteResult result = writeAndWait(*write);
    if (std::holds_alternative<Written>(result))
        return base.head.revision.next();
    if (const auto* error = std::get_if<StoreError>(&result))
        return error->outcome == WriteOutcome::notApplied ? leaf::new_error(*error) : settle(*error, base, changeId);
    BOOST_LEAF_AUTO(present, readConfiguration());
    // The HTTP library may have resent the write: then the first sending published it.
    if (present.head.changeId == changeId)
        return present.head.revision;
    return leaf::new_error(RevisionConflict { base.head.revision, present.head.revision });
}

leaf::result<Revision> OperatorClient::settle(
    const StoreError& error, const Published& base, const std::string& changeId)
{
    for (int n = 0; n < kSettleTries; ++n) {
        const auto present = readConfiguration();
        if (!present) {
            pause(kSettlePause);
            continue;
        }
        if (present->head.changeId == changeId)
            return present->head.revision;
        if (present->head.revision > base.head.revision)
            return leaf::new_error(RevisionConflict { base.head.revision, present->head.revision });
        // The base still stands, so the write may yet arrive. Writing the same head again changes its version, after
        // which the lost write can only fail.
        const WriteResult fence = writeAndWait({ { { kLivePrefix + headKey(), present->head.version } },
            { { kLivePrefix + headKey(), encodeHead(present->head) } } });
        if (std::holds_alternative<Written>(fence)) {
            StoreError settled = error;
            settled.outcome = WriteOutcome::notApplied;
            return leaf::new_error(settled);
        }
        pause(kSettlePause);
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

leaf::result<Json> OperatorClient::ask(const Endpoint& host, const std::string& method, const std::string& path)
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
    Json body = Json::parse(answer->body, nullptr, false);
    if (answer->status / 100 != 2 || body.is_discarded())
        return leaf::new_error(HostError { host, answer->status });
    return body;
}

std::vector<std::pair<Endpoint, std::optional<Json>>> OperatorClient::askAll(const std::string& path)
{
    std::vector<std::pair<Endpoint, std::optional<Json>>> pages;
    for (const auto& it : m_hosts) {
        auto page = ask(it, "GET", path);
        pages.emplace_back(it, page ? std::optional(std::move(*page)) : std::nullopt);
    }
    return pages;
}

} // namespace pistachiospur
