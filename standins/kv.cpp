#include "kv.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace pistachiospur::standin {

using Json = nlohmann::json;

namespace {

constexpr Millis kTick { 10 };
constexpr std::size_t kMostBytes = 1u << 20;

HttpResponse json(int status, const Json& body)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump() };
}

std::uint64_t number(const HttpRequest& request, const char* name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
}

std::string text(const HttpRequest& request, const char* name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::string() : it->second;
}

bool beginsWith(const std::string& key, const std::string& prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

std::string header(const HttpRequest& request, const char* name)
{
    const auto it = request.headers.find(name);
    return it == request.headers.end() ? std::string() : it->second;
}

} // namespace

KvStandin::KvStandin()
    : m_timer([this] { tick(); })
    , m_server({ "127.0.0.1", 0 }, kMostBytes,
          [this](const HttpRequest& request, const Responder& responder) { onCall(request, responder); })
{
    m_timer.every(kTick);
}

void KvStandin::change(const std::string& key, const std::string* value, std::uint64_t lease)
{
    ++m_revision;
    if (value)
        m_items[key] = { *value, m_revision, lease };
    else
        m_items.erase(key);
    m_history.push_back({ key, m_revision, value == nullptr });
}

void KvStandin::put(const std::string& key, const std::string& value)
{
    change(key, &value, 0);
    serveWatches();
}

void KvStandin::remove(const std::string& key)
{
    change(key, nullptr, 0);
    serveWatches();
}

std::string KvStandin::value(const std::string& key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() ? std::string() : it->second.value;
}

void KvStandin::forgetHistory()
{
    m_forgotten = m_revision;
    m_history.clear();
    for (const auto& it : m_watches)
        it.responder.respond(json(410, { { "error", "history" } }));
    m_watches.clear();
}

void KvStandin::onCall(const HttpRequest& request, const Responder& responder)
{
    if (fault == StoreFault::refuse)
        return responder.respond({ 503, {}, "" });
    if (fault == StoreFault::silent) {
        m_unanswered.push_back(responder);
        return;
    }
    if (request.path == "/kv-watch")
        return onWatch(request, responder);
    HttpResponse response { 404, {}, "" };
    if (request.path == "/kv-range")
        response = onRange(request);
    else if (request.path == "/kv-txn")
        response = onWrite(request);
    else if (request.path == "/kv-lease")
        response = onLease(request);
    else if (beginsWith(request.path, "/kv-keep/"))
        response = onKeep(std::strtoull(request.path.c_str() + 9, nullptr, 10));
    else if (beginsWith(request.path, "/kv-lease-end/")) {
        endLease(std::strtoull(request.path.c_str() + 14, nullptr, 10));
        response.status = 200;
    }
    if (fault == StoreFault::loseAnswers && request.path == "/kv-txn")
        m_unanswered.push_back(responder);
    else
        responder.respond(std::move(response));
    serveWatches();
}

HttpResponse KvStandin::onRange(const HttpRequest& request) const
{
    // Small pages, so that the paging is used.
    constexpr std::size_t kPage = 5;
    Json items = Json::array();
    const std::string prefix = text(request, "path-prefix"), after = text(request, "after");
    bool more = false;
    for (const auto& [key, it] : m_items) {
        if (!beginsWith(key, prefix) || key <= after)
            continue;
        more = items.size() == kPage;
        if (more)
            break;
        items.push_back({ { "key", key }, { "value", absl::Base64Escape(it.value) }, { "rev", it.version },
            { "create-rev", it.version }, { "lease", it.lease } });
    }
    return json(200, { { "items", items }, { "has-more", more }, { "store-revision", m_revision } });
}

void KvStandin::onWatch(const HttpRequest& request, const Responder& responder)
{
    const Watch watch { text(request, "path-prefix"), number(request, "after"),
        monotonicNow() + Millis(number(request, "wait-ms")), responder };
    if (!answerWatch(watch))
        m_watches.push_back(watch);
}

bool KvStandin::answerWatch(const Watch& watch)
{
    if (watch.after < m_forgotten) {
        watch.responder.respond(json(410, { { "error", "history" } }));
        return true;
    }
    Json events = Json::array();
    for (const auto& it : m_history) {
        if (it.revision <= watch.after || !beginsWith(it.key, watch.prefix))
            continue;
        const auto item = m_items.find(it.key);
        if (it.removed || item == m_items.end() || item->second.version != it.revision)
            events.push_back({ { "key", it.key }, { "rev", it.revision }, { "tombstone", true } });
        else
            events.push_back({ { "key", it.key }, { "value", absl::Base64Escape(item->second.value) },
                { "rev", it.revision }, { "lease", item->second.lease } });
    }
    if (events.empty() && monotonicNow() < watch.until)
        return false;
    watch.responder.respond(json(200, { { "events", events }, { "store-revision", m_revision } }));
    return true;
}

void KvStandin::serveWatches()
{
    if (fault == StoreFault::silent)
        return;
    const auto done = [this](const Watch& it) { return !it.responder.isOpen() || answerWatch(it); };
    m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(), done), m_watches.end());
}

HttpResponse KvStandin::onWrite(const HttpRequest& request)
{
    const Json body = Json::parse(request.body);
    Json current = Json::array();
    bool holds = true;
    for (const auto& it : body["expect-rev"]) {
        const auto item = m_items.find(it["key"]);
        const std::uint64_t version = item == m_items.end() ? 0 : item->second.version;
        holds &= version == it["rev"].get<std::uint64_t>();
        if (version)
            current.push_back(
                { { "key", it["key"] }, { "value", absl::Base64Escape(item->second.value) }, { "rev", version } });
    }
    if (!holds)
        return json(412, { { "items", current }, { "store-revision", m_revision } });
    for (const auto& it : body["puts"]) {
        const std::uint64_t lease = it.value("lease", std::uint64_t(0));
        if (lease && !m_leases.count(lease))
            return json(404, Json::object());
    }
    // One revision for the whole write.
    const std::uint64_t revision = m_revision + 1;
    for (const auto& it : body["puts"]) {
        std::string value;
        absl::Base64Unescape(it["value"].get<std::string>(), &value);
        m_revision = revision - 1;
        change(it["key"], &value, it.value("lease", std::uint64_t(0)));
    }
    for (const auto& it : body["remove"]) {
        m_revision = revision - 1;
        change(it, nullptr, 0);
    }
    ++writes;
    return json(200, { { "rev", m_revision } });
}

HttpResponse KvStandin::onLease(const HttpRequest& request)
{
    const Millis life(Json::parse(request.body)["ttl-ms"].get<std::int64_t>());
    m_leases[m_nextLease] = { life, monotonicNow() + life };
    return json(200, { { "lease", m_nextLease++ }, { "ttl-ms", life.count() } });
}

HttpResponse KvStandin::onKeep(std::uint64_t lease)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return json(404, Json::object());
    it->second.until = monotonicNow() + it->second.life;
    return json(200, { { "ttl-ms", it->second.life.count() } });
}

void KvStandin::endLease(std::uint64_t lease)
{
    if (!m_leases.erase(lease))
        return;
    std::vector<std::string> keys;
    for (const auto& [key, it] : m_items) {
        if (it.lease == lease)
            keys.push_back(key);
    }
    for (const auto& it : keys)
        change(it, nullptr, 0);
}

// Leases pause while the store is away.
void KvStandin::tick()
{
    const Millis now = monotonicNow();
    if (fault == StoreFault::silent || fault == StoreFault::refuse) {
        for (auto& [id, it] : m_leases)
            it.until += kTick;
        return;
    }
    std::vector<std::uint64_t> ended;
    for (const auto& [id, it] : m_leases) {
        if (now >= it.until)
            ended.push_back(id);
    }
    for (const auto it : ended)
        endLease(it);
    serveWatches();
}

RangeUpstream::RangeUpstream(std::string service, std::string name, std::int64_t born, bool keyed)
    : m_service(std::move(service))
    , m_keyed(keyed)
    , m_name(std::move(name))
    , m_born(born)
    , m_server({ "127.0.0.1", 0 }, kMostBytes,
          [this](const HttpRequest& request, const Responder& responder) { onCall(request, responder); })
{
}

std::string RangeUpstream::entry(const std::string& state) const
{
    return Json {
        { "service", m_service }, { "address", "127.0.0.1:" + std::to_string(m_server.port()) }, { "zone", "z1" },
        { "version", "v1" }, { "slots", 2 }, { "state", state }, { "warmup-left-ms", 0 }, { "sequence", 1 },
        { "born", m_born }
    }.dump();
}

bool RangeUpstream::holds(std::uint32_t slot) const
{
    const Millis now = monotonicNow();
    return !crashed && std::any_of(m_held.begin(), m_held.end(), [&](const Held& it) {
        return it.first <= slot && slot <= it.last && now < it.until;
    });
}

void RangeUpstream::onCall(const HttpRequest& request, const Responder& responder)
{
    if (crashed)
        return responder.respond({ 500, { { "Connection", "close" } }, "" });
    const std::string target = header(request, "target-instance");
    if (!target.empty() && target != m_name)
        return responder.respond({ 421, { { "Instance-Id", m_name } }, "" });
    if (request.path == "/grant")
        return responder.respond(onGrant(request));
    if (request.path == "/release")
        return responder.respond(onRelease(request));
    run(request, responder);
}

HttpResponse RangeUpstream::onGrant(const HttpRequest& request)
{
    const Json body = Json::parse(request.body);
    const Held held { body["from"], body["to"], body["fence"],
        monotonicNow() + Millis(body["hold-ms"].get<std::int64_t>()) };
    for (const auto& it : m_held) {
        if (it.first <= held.last && held.first <= it.last && it.fence > held.fence)
            return json(409, Json::object());
    }
    ++grants;
    if (body.contains("handover"))
        m_handoverTaken = body["handover"];
    const auto covered = [&](const Held& it) { return held.first <= it.first && it.last <= held.last; };
    m_held.erase(std::remove_if(m_held.begin(), m_held.end(), covered), m_held.end());
    m_held.push_back(held);
    return json(200, Json::object());
}

HttpResponse RangeUpstream::onRelease(const HttpRequest& request)
{
    const Json body = Json::parse(request.body);
    const std::uint32_t first = body["from"], last = body["to"];
    std::vector<Held> left;
    for (const auto& it : m_held) {
        if (it.last < first || last < it.first) {
            left.push_back(it);
            continue;
        }
        if (it.first < first)
            left.push_back({ it.first, first - 1, it.fence, it.until });
        if (last < it.last)
            left.push_back({ last + 1, it.last, it.fence, it.until });
    }
    m_held = std::move(left);
    HttpResponse response = json(200, Json::object());
    response.headers.emplace_back("Handover", "from-" + m_name);
    return response;
}

void RangeUpstream::run(const HttpRequest& request, const Responder& responder)
{
    const std::string key = header(request, "shard-key");
    if (m_keyed && !holds(static_cast<std::uint32_t>(std::strtoul(key.c_str(), nullptr, 10))))
        return responder.respond({ 421, { { "Not-Executed", "1" }, { "Instance-Id", m_name } }, "" });
    const std::size_t n = seen.size();
    const std::string id = header(request, "request-id");
    seen.push_back({ id, request.method, request.target, request.body, header(request, "deadline-ms"), false });
    responder.onGone([this, n] { seen[n].cut = true; });
    m_timers.push_back(std::make_unique<Timer>([responder, id, name = m_name] {
        responder.respond({ 200, { { "Request-Id", id }, { "Server-Seal", "seal-" + id } }, "from " + name });
    }));
    m_timers.back()->once(work);
}

} // namespace pistachiospur::standin
