#pragma once

#include "io/http_server.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// The platform's store as the users' pages describe it: each event of a watch is the item as it was written, and the
// history ends after history-s.
namespace review {

using namespace pistachiospur;

class PagesStore {
public:
    PagesStore()
        : m_timer([this] { tick(); })
        , m_server({ "127.0.0.1", 0 }, 8u << 20,
              [this](const HttpRequest& request, const Responder& responder) { onCall(request, responder); })
    {
        m_timer.every(Millis(10));
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_server.port() }; }
    void put(const std::string& key, const std::string& value)
    {
        change(key, value, 0, ++m_revision);
        serveWatches();
    }
    void remove(const std::string& key)
    {
        change(key, std::nullopt, 0, ++m_revision);
        serveWatches();
    }
    bool has(const std::string& key) const { return m_items.count(key) > 0; }

    bool turnsAway = false; // machines, which get 503; the operator is served
    std::map<std::string, unsigned> calls; // by path

private:
    using Json = nlohmann::json;
    static constexpr Millis kHistory { 20000 }; // history-s
    static constexpr std::size_t kPageItems = 500, kPageBytes = 1u << 20;

    struct Item {
        std::string value;
        std::uint64_t revision = 0, created = 0, lease = 0;
    };
    struct Event {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<Item> item; // nothing: a tombstone
        Millis at {};
    };
    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        Millis expiresAt {};
        Responder responder;
    };
    struct Lease {
        Millis ttl {}, expiresAt {};
    };

    static HttpResponse json(int status, const Json& body)
    {
        return { status, { { "Content-Type", "application/json" } }, body.dump() };
    }

    Json toJson(const std::string& key, const Item& item) const
    {
        return { { "key", key }, { "value", absl::Base64Escape(item.value) }, { "rev", item.revision },
            { "create-rev", item.created }, { "lease", item.lease } };
    }

    void change(const std::string& key, const std::optional<std::string>& value, std::uint64_t lease,
        std::uint64_t revision)
    {
        Event event { key, revision, std::nullopt, monotonicNow() };
        const auto known = m_items.find(key);
        if (value) {
            const std::uint64_t created = known == m_items.end() ? revision : known->second.created;
            event.item = m_items[key] = { *value, revision, created, lease };
        } else {
            m_items.erase(key);
        }
        m_history.push_back(std::move(event));
    }

    void onCall(const HttpRequest& request, const Responder& responder)
    {
        ++calls[request.path.substr(0, 9)];
        if (turnsAway)
            return responder.respond({ 503, {}, "" });
        const auto query = queryOf(request.target);
        const auto text = [&](const char* name) { return query.count(name) ? query.at(name) : std::string(); };
        if (request.path == "/kv-watch") {
            m_watches.push_back({ text("path-prefix"), std::strtoull(text("after").c_str(), nullptr, 10),
                monotonicNow() + Millis(std::atoi(text("wait-ms").c_str())), responder });
            return serveWatches();
        }
        if (request.path == "/kv-range")
            return responder.respond(onRange(text("path-prefix"), text("after")));
        if (request.path == "/kv-key") {
            const auto it = m_items.find(text("key"));
            return responder.respond(it == m_items.end() ? json(404, Json::object()) : json(200, toJson(it->first, it->second)));
        }
        if (request.path == "/kv-txn") {
            responder.respond(onWrite(Json::parse(request.body)));
            return serveWatches();
        }
        if (request.path == "/kv-lease") {
            const Millis ttl(Json::parse(request.body)["ttl-ms"].get<std::int64_t>());
            m_leases[++m_lease] = { ttl, monotonicNow() + ttl };
            return responder.respond(json(200, { { "lease", m_lease }, { "ttl-ms", ttl.count() } }));
        }
        const auto id = std::strtoull(request.path.substr(request.path.rfind('/') + 1).c_str(), nullptr, 10);
        if (request.path.rfind("/kv-keep/", 0) == 0) {
            const auto it = m_leases.find(id);
            if (it == m_leases.end())
                return responder.respond(json(404, Json::object()));
            it->second.expiresAt = monotonicNow() + it->second.ttl;
            return responder.respond(json(200, { { "ttl-ms", it->second.ttl.count() } }));
        }
        if (request.path.rfind("/kv-lease-end/", 0) == 0)
            endLease(id);
        responder.respond({ 200, {}, "" });
        serveWatches();
    }

    HttpResponse onRange(const std::string& prefix, const std::string& after) const
    {
        Json items = Json::array();
        std::size_t bytes = 0;
        bool hasMore = false;
        for (auto it = m_items.upper_bound(after); it != m_items.end(); ++it) {
            if (it->first.compare(0, prefix.size(), prefix) != 0)
                continue;
            hasMore = items.size() == kPageItems || (bytes > 0 && bytes + it->second.value.size() > kPageBytes);
            if (hasMore)
                break;
            bytes += it->second.value.size();
            items.push_back(toJson(it->first, it->second));
        }
        return json(200, { { "items", items }, { "has-more", hasMore }, { "store-revision", m_revision } });
    }

    HttpResponse onWrite(const Json& body)
    {
        Json current = Json::array();
        bool allMatch = true;
        for (const auto& it : body["expect-rev"]) {
            const auto item = m_items.find(it["key"]);
            allMatch &= (item == m_items.end() ? 0 : item->second.revision) == it["rev"].get<std::uint64_t>();
            if (item != m_items.end())
                current.push_back(toJson(item->first, item->second));
        }
        if (!allMatch)
            return json(412, { { "items", current }, { "store-revision", m_revision } });
        for (const auto& it : body["puts"]) {
            if (const auto lease = it.value("lease", std::uint64_t(0)); lease && !m_leases.count(lease))
                return json(404, Json::object());
        }
        ++m_revision;
        for (const auto& it : body["puts"]) {
            std::string value;
            absl::Base64Unescape(it["value"].get<std::string>(), &value);
            change(it["key"], value, it.value("lease", std::uint64_t(0)), m_revision);
        }
        for (const auto& it : body["remove"])
            change(it, std::nullopt, 0, m_revision);
        return json(200, { { "rev", m_revision } });
    }

    void endLease(std::uint64_t lease)
    {
        if (!m_leases.erase(lease))
            return;
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const auto& it : keys)
            change(it, std::nullopt, 0, ++m_revision);
    }

    bool answer(const Watch& watch)
    {
        if (watch.after < m_forgotten) {
            watch.responder.respond(json(410, Json::object()));
            return true;
        }
        Json events = Json::array();
        for (const auto& it : m_history) {
            if (it.revision <= watch.after || it.key.compare(0, watch.prefix.size(), watch.prefix) != 0)
                continue;
            events.push_back(it.item ? toJson(it.key, *it.item)
                                     : Json { { "key", it.key }, { "rev", it.revision }, { "tombstone", true } });
        }
        if (events.empty() && monotonicNow() < watch.expiresAt)
            return false;
        watch.responder.respond(json(200, { { "events", events }, { "store-revision", m_revision } }));
        return true;
    }

    void serveWatches()
    {
        std::vector<Watch> waiting;
        for (auto& it : m_watches) {
            if (it.responder.isOpen() && !answer(it))
                waiting.push_back(it);
        }
        m_watches = std::move(waiting);
    }

    void tick()
    {
        const Millis now = monotonicNow();
        std::vector<std::uint64_t> expired;
        for (const auto& [id, lease] : m_leases) {
            if (now >= lease.expiresAt)
                expired.push_back(id);
        }
        for (const auto id : expired)
            endLease(id);
        while (!m_history.empty() && now >= m_history.front().at + kHistory) {
            m_forgotten = m_history.front().revision;
            m_history.erase(m_history.begin());
        }
        serveWatches();
    }

    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::uint64_t m_revision = 1, m_forgotten = 0, m_lease = 0;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<Watch> m_watches;
    Timer m_timer;
    HttpServer m_server;
};

} // namespace review
