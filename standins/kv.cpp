#include "kv.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace pistachiospur::standin {

using Json = nlohmann::json;

namespace {

constexpr Millis kTickInterval { 10 };
constexpr std::size_t kMaxBodyBytes = 8u << 20;
constexpr Millis kSlowAnswerInterval { 20 };

HttpResponse jsonResponse(int status, const Json& body)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump() };
}

std::uint64_t queryNumber(const HttpRequest& request, const char* name)
{
    const auto query = queryOf(request.target);
    const auto it = query.find(name);
    return it == query.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
}

std::string queryText(const HttpRequest& request, const char* name)
{
    const auto query = queryOf(request.target);
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
}

bool beginsWith(const std::string& key, const std::string& prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

std::string headerText(const HttpRequest& request, const char* name)
{
    const auto it = request.headers.find(name);
    return it == request.headers.end() ? std::string() : it->second;
}

} // namespace

KvStandin::KvStandin()
    : m_timer([this] { tick(); })
    , m_server({ "127.0.0.1", 0 }, kMaxBodyBytes,
          [this](const HttpRequest& request, const Responder& responder) { onCall(request, responder); })
{
    m_timer.every(kTickInterval);
}

void KvStandin::change(const std::string& key, const std::string* value, std::uint64_t lease)
{
    ++m_state.revision;
    if (value)
        m_state.items[key] = { *value, m_state.revision, lease };
    else
        m_state.items.erase(key);
    m_state.history.push_back({ key, m_state.revision, value == nullptr });
}

void KvStandin::put(const std::string& key, const std::string& value) { writeOutside(key, &value); }

void KvStandin::remove(const std::string& key) { writeOutside(key, nullptr); }

void KvStandin::writeOutside(const std::string& key, const std::string* value)
{
    change(key, value, 0);
    if (beginsWith(key, "op/") || beginsWith(key, "servers/"))
        m_writtenOutside[key] = value ? std::optional(*value) : std::nullopt;
    serveWatches();
}

void KvStandin::saveCopy()
{
    m_copy = m_state;
    m_writtenOutside.clear();
}

void KvStandin::restoreCopy(bool keepsWritten)
{
    m_state = m_copy;
    ++era;
    for (auto& [id, lease] : m_state.leases)
        lease.expiresAt = monotonicNow() + lease.ttl;
    for (const auto& it : m_watches)
        m_unanswered.push_back(it.responder);
    m_watches.clear();
    if (keepsWritten)
        rewriteLost();
}

void KvStandin::rewriteLost()
{
    for (const auto& [key, value] : m_writtenOutside) {
        if (value || m_state.items.count(key))
            change(key, value ? &*value : nullptr, 0);
    }
    serveWatches();
}

void KvStandin::releaseHeld()
{
    const std::vector<HeldCall> released = std::exchange(m_held, {});
    for (const auto& it : released) {
        if (it.response)
            it.responder.respond(*it.response);
        else
            answer(it.request, it.responder);
    }
}

std::string KvStandin::value(const std::string& key) const
{
    const auto it = m_state.items.find(key);
    return it == m_state.items.end() ? std::string() : it->second.value;
}

bool KvStandin::hasKeyWith(const std::string& prefix) const
{
    const auto it = m_state.items.lower_bound(prefix);
    return it != m_state.items.end() && it->first.compare(0, prefix.size(), prefix) == 0;
}

void KvStandin::compactHistory()
{
    m_state.compactedRevision = m_state.revision;
    m_state.history.clear();
    for (const auto& it : m_watches)
        it.responder.respond(withEra(jsonResponse(410, { { "error", "history" } })));
    m_watches.clear();
}

KvStandin::Entrance::Entrance(KvStandin& store)
    : m_store(store)
    , m_timer([this] { sendSlowAnswers(); })
    , m_server({ "127.0.0.1", 0 }, kMaxBodyBytes,
          [this](const HttpRequest& request, const Responder& responder) { onCall(request, responder); })
{
    m_timer.every(kSlowAnswerInterval);
}

void KvStandin::Entrance::onCall(const HttpRequest& request, const Responder& responder)
{
    watchCalls += request.path == "/kv-watch";
    if (fault == StoreFault::refuse)
        return responder.respond(m_store.withEra({ 503, {}, "" }));
    if (fault == StoreFault::silent) {
        m_unanswered.push_back(responder);
        return;
    }
    if (readBytesPerSecond == 0 || request.path != "/kv-range")
        return m_store.onCall(request, responder);
    const HttpResponse response = m_store.execute(request);
    responder.beginStream(response.status, response.headers);
    m_slowAnswers.push_back({ responder, response.body, 0 });
}

void KvStandin::Entrance::sendSlowAnswers()
{
    for (auto& it : m_slowAnswers) {
        const std::size_t n = readBytesPerSecond * static_cast<std::size_t>(kSlowAnswerInterval.count()) / 1000;
        it.responder.write(it.body.substr(it.sent, n));
        it.sent += std::min(n, it.body.size() - it.sent);
        if (it.sent == it.body.size())
            it.responder.finish();
    }
    const auto isDone = [](const SlowAnswer& it) { return it.sent == it.body.size() || !it.responder.isOpen(); };
    m_slowAnswers.erase(std::remove_if(m_slowAnswers.begin(), m_slowAnswers.end(), isDone), m_slowAnswers.end());
}

void KvStandin::onCall(const HttpRequest& request, const Responder& responder)
{
    if (fault == StoreFault::refuse)
        return responder.respond(withEra({ 503, {}, "" }));
    if (fault == StoreFault::silent) {
        m_unanswered.push_back(responder);
        return;
    }
    if (!holds || !holds(request))
        return answer(request, responder);
    m_held.push_back({ request, responder, {} });
    if (executesHeld && request.path != "/kv-watch") {
        m_held.back().response = execute(request);
        serveWatches();
    }
}

void KvStandin::answer(const HttpRequest& request, const Responder& responder)
{
    if (request.path == "/kv-watch")
        return onWatch(request, responder);
    HttpResponse response = execute(request);
    if (fault == StoreFault::loseAnswers && request.path == "/kv-txn")
        m_unanswered.push_back(responder);
    else
        responder.respond(std::move(response));
    serveWatches();
}

HttpResponse KvStandin::execute(const HttpRequest& request)
{
    if (request.path == "/kv-range") {
        ++readCalls;
        return withEra(onRange(request));
    }
    if (request.path == "/kv-txn")
        return withEra(onWrite(request));
    if (request.path == "/kv-lease")
        return withEra(onLeaseOpen(request));
    if (beginsWith(request.path, "/kv-keep/"))
        return withEra(onLeaseRenewal(std::strtoull(request.path.c_str() + 9, nullptr, 10)));
    if (beginsWith(request.path, "/kv-lease-end/")) {
        endLease(std::strtoull(request.path.c_str() + 14, nullptr, 10));
        return withEra({ 200, {}, "" });
    }
    return withEra({ 404, {}, "" });
}

HttpResponse KvStandin::withEra(HttpResponse response) const
{
    if (namesEra)
        response.headers.emplace_back("Store-Era", std::to_string(era));
    return response;
}

HttpResponse KvStandin::onRange(const HttpRequest& request) const
{
    // Small enough that reads in tests take several pages.
    constexpr std::size_t kPageItems = 5;
    Json items = Json::array();
    const std::string prefix = queryText(request, "path-prefix"), after = queryText(request, "after");
    bool hasMore = false;
    for (const auto& [key, item] : m_state.items) {
        if (!beginsWith(key, prefix) || key <= after)
            continue;
        hasMore = items.size() == kPageItems;
        if (hasMore)
            break;
        items.push_back({ { "key", key }, { "value", absl::Base64Escape(item.value) }, { "rev", item.version },
            { "create-rev", item.version }, { "lease", item.lease } });
    }
    return jsonResponse(200, { { "items", items }, { "has-more", hasMore }, { "store-revision", m_state.revision } });
}

void KvStandin::onWatch(const HttpRequest& request, const Responder& responder)
{
    const Watch watch { queryText(request, "path-prefix"), queryNumber(request, "after"),
        monotonicNow() + Millis(queryNumber(request, "wait-ms")), responder };
    if (!answerWatch(watch))
        m_watches.push_back(watch);
}

bool KvStandin::answerWatch(const Watch& watch)
{
    if (watch.after < m_state.compactedRevision || watch.after > m_state.revision) {
        watch.responder.respond(withEra(jsonResponse(410, { { "error", "history" } })));
        return true;
    }
    Json events = Json::array();
    for (const auto& event : m_state.history) {
        if (event.revision <= watch.after || !beginsWith(event.key, watch.prefix))
            continue;
        const auto item = m_state.items.find(event.key);
        if (event.removed || item == m_state.items.end() || item->second.version != event.revision)
            events.push_back({ { "key", event.key }, { "rev", event.revision }, { "tombstone", true } });
        else
            events.push_back({ { "key", event.key }, { "value", absl::Base64Escape(item->second.value) },
                { "rev", event.revision }, { "lease", item->second.lease } });
    }
    if (events.empty() && monotonicNow() < watch.expiresAt)
        return false;
    watch.responder.respond(
        withEra(jsonResponse(200, { { "events", events }, { "store-revision", m_state.revision } })));
    return true;
}

void KvStandin::serveWatches()
{
    if (fault == StoreFault::silent)
        return;
    const auto isDone = [this](const Watch& watch) { return !watch.responder.isOpen() || answerWatch(watch); };
    m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(), isDone), m_watches.end());
}

HttpResponse KvStandin::onWrite(const HttpRequest& request)
{
    const Json body = Json::parse(request.body);
    Json current = Json::array();
    bool allMatch = true;
    for (const auto& expected : body["expect-rev"]) {
        const auto item = m_state.items.find(expected["key"]);
        const std::uint64_t version = item == m_state.items.end() ? 0 : item->second.version;
        allMatch &= version == expected["rev"].get<std::uint64_t>();
        if (version)
            current.push_back({ { "key", expected["key"] }, { "value", absl::Base64Escape(item->second.value) },
                { "rev", version } });
    }
    if (!allMatch)
        return jsonResponse(412, { { "items", current }, { "store-revision", m_state.revision } });
    for (const auto& put : body["puts"]) {
        const std::uint64_t lease = put.value("lease", std::uint64_t(0));
        if (lease && !m_state.leases.count(lease))
            return jsonResponse(404, Json::object());
    }
    // change() increments the revision. It is reset before each change, so that all changes get the same one.
    const std::uint64_t revision = m_state.revision + 1;
    for (const auto& put : body["puts"]) {
        std::string value;
        absl::Base64Unescape(put["value"].get<std::string>(), &value);
        m_state.revision = revision - 1;
        change(put["key"], &value, put.value("lease", std::uint64_t(0)));
    }
    for (const auto& key : body["remove"]) {
        m_state.revision = revision - 1;
        change(key, nullptr, 0);
    }
    ++writes;
    return jsonResponse(200, { { "rev", m_state.revision } });
}

HttpResponse KvStandin::onLeaseOpen(const HttpRequest& request)
{
    const Millis ttl(Json::parse(request.body)["ttl-ms"].get<std::int64_t>());
    m_state.leases[m_state.nextLeaseId] = { ttl, monotonicNow() + ttl };
    return jsonResponse(200, { { "lease", m_state.nextLeaseId++ }, { "ttl-ms", ttl.count() } });
}

HttpResponse KvStandin::onLeaseRenewal(std::uint64_t lease)
{
    const auto it = m_state.leases.find(lease);
    if (it == m_state.leases.end())
        return jsonResponse(404, Json::object());
    it->second.expiresAt = monotonicNow() + it->second.ttl;
    return jsonResponse(200, { { "ttl-ms", it->second.ttl.count() } });
}

void KvStandin::endLease(std::uint64_t lease)
{
    if (!m_state.leases.erase(lease))
        return;
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_state.items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const auto& key : keys)
        change(key, nullptr, 0);
}

// Ends expired leases. Leases do not run down while the store is unavailable.
void KvStandin::tick()
{
    const Millis now = monotonicNow();
    if (fault == StoreFault::silent || fault == StoreFault::refuse) {
        for (auto& [id, lease] : m_state.leases)
            lease.expiresAt += kTickInterval;
        return;
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : m_state.leases) {
        if (now >= lease.expiresAt)
            expired.push_back(id);
    }
    for (const auto id : expired)
        endLease(id);
    serveWatches();
}

RangeUpstream::RangeUpstream(std::string service, std::string name, std::int64_t startTime, bool keyed)
    : m_service(std::move(service))
    , m_keyed(keyed)
    , m_name(std::move(name))
    , m_startTime(startTime)
    , m_server({ "127.0.0.1", 0 }, kMaxBodyBytes,
          [this](const HttpRequest& request, const Responder& responder) { onCall(request, responder); })
{
}

std::string RangeUpstream::entry(const std::string& state) const
{
    return Json {
        { "service", m_service }, { "address", "127.0.0.1:" + std::to_string(m_server.port()) }, { "zone", dataCentre },
        { "version", "v1" }, { "slots", 2 }, { "state", state }, { "warmup-left-ms", 0 }, { "sequence", 1 },
        { "born", m_startTime }
    }.dump();
}

void RangeUpstream::restart(std::int64_t startTime)
{
    m_startTime = startTime;
    m_grants.clear();
    grantLog.clear(); // the fencing tokens seen with it
    m_lastHandover.clear();
}

bool RangeUpstream::holds(std::uint32_t slot) const
{
    const Millis now = monotonicNow();
    return !crashed && std::any_of(m_grants.begin(), m_grants.end(), [&](const HeldGrant& it) {
        return it.first <= slot && slot <= it.last && now < it.expiresAt;
    });
}

std::uint64_t RangeUpstream::highestFence(std::uint32_t slot) const
{
    std::uint64_t highest = 0;
    for (const auto& it : grantLog) {
        if (it.first <= slot && slot <= it.last)
            highest = std::max(highest, it.fence);
    }
    return highest;
}

void RangeUpstream::onCall(const HttpRequest& request, const Responder& responder)
{
    if (crashed)
        return responder.respond({ 500, { { "Connection", "close" } }, "" });
    const std::string target = headerText(request, "target-instance");
    if (!target.empty() && target != m_name)
        return responder.respond({ 421, { { "Instance-Id", m_name } }, "" });
    if (request.path == "/health") {
        ++healthQuestions;
        HttpResponse health { 200, { { "Instance-Id", m_name }, { "Request-Id", headerText(request, "request-id") } },
            "" };
        health.headers.insert(health.headers.end(), notices.begin(), notices.end());
        return responder.respond(std::move(health));
    }
    callTimes.push_back(monotonicNow());
    if (!turnsAwayFor.empty()) {
        HttpResponse refusal { 503,
            { { "Request-Id", headerText(request, "request-id") }, { "Not-Executed", "1" },
                { "Retry-After", turnsAwayFor } },
            "" };
        refusal.headers.insert(refusal.headers.end(), notices.begin(), notices.end());
        return responder.respond(std::move(refusal));
    }
    if (request.path == "/grant" && grantDelay > Millis(0)) {
        m_timers.push_back(
            std::make_unique<Timer>([this, request, responder, arrivedAt = monotonicNow(), startTime = m_startTime] {
                if (m_startTime == startTime)
                    onGrant(request, arrivedAt);
            }));
        return m_timers.back()->once(grantDelay);
    }
    if (request.path == "/grant")
        return responder.respond(onGrant(request, monotonicNow()));
    if (request.path == "/release")
        return responder.respond(onRelease(request));
    run(request, responder);
}

HttpResponse RangeUpstream::onGrant(const HttpRequest& request, Millis arrivedAt)
{
    const Json body = Json::parse(request.body);
    const HeldGrant granted { body["from"], body["to"], body["fence"],
        arrivedAt + Millis(body["hold-ms"].get<std::int64_t>()) };
    for (const auto& it : grantLog) {
        if (it.first <= granted.last && granted.first <= it.last && it.fence > granted.fence) {
            ++refusedGrants;
            return jsonResponse(409, Json::object());
        }
    }
    ++grants;
    grantLog.push_back({ granted.first, granted.last, granted.fence, monotonicNow() });
    if (body.contains("handover"))
        m_lastHandover = body["handover"];
    const auto covered = [&](const HeldGrant& it) { return granted.first <= it.first && it.last <= granted.last; };
    m_grants.erase(std::remove_if(m_grants.begin(), m_grants.end(), covered), m_grants.end());
    m_grants.push_back(granted);
    return jsonResponse(200, Json::object());
}

HttpResponse RangeUpstream::onRelease(const HttpRequest& request)
{
    const Json body = Json::parse(request.body);
    const std::uint32_t first = body["from"], last = body["to"];
    std::vector<HeldGrant> remaining;
    for (const auto& grant : m_grants) {
        if (grant.last < first || last < grant.first) {
            remaining.push_back(grant);
            continue;
        }
        if (grant.first < first)
            remaining.push_back({ grant.first, first - 1, grant.fence, grant.expiresAt });
        if (last < grant.last)
            remaining.push_back({ last + 1, grant.last, grant.fence, grant.expiresAt });
    }
    m_grants = std::move(remaining);
    HttpResponse response = jsonResponse(200, Json::object());
    response.headers.emplace_back("Handover", "from-" + m_name);
    return response;
}

void RangeUpstream::run(const HttpRequest& request, const Responder& responder)
{
    const std::string key = headerText(request, "shard-key");
    if (m_keyed && !holds(static_cast<std::uint32_t>(std::strtoul(key.c_str(), nullptr, 10))))
        return responder.respond({ 421, { { "Not-Executed", "1" }, { "Instance-Id", m_name } }, "" });
    const std::size_t n = received.size();
    const std::string id = headerText(request, "request-id");
    received.push_back({ id, request.method, request.target, request.body, headerText(request, "deadline-ms"), false });
    responder.onDisconnect([this, n] { received[n].callerGone = true; });
    m_timers.push_back(std::make_unique<Timer>([this, responder, id, name = m_name, limit = statedLimit] {
        HttpResponse response { status, { { "Request-Id", id } }, "from " + name };
        if (sealsAnswers)
            response.headers.emplace_back("Server-Seal", "seal-" + id);
        response.headers.insert(response.headers.end(), notices.begin(), notices.end());
        if (!limit.empty())
            response.headers.emplace_back("Server-Limit", limit);
        responder.respond(std::move(response));
    }));
    m_timers.back()->once(runTime);
}

} // namespace pistachiospur::standin
