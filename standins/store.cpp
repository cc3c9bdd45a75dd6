// A stand-in for the platform's store: etcd v3's HTTP/JSON gateway (range, put, txn, lease, watch) on an in-memory map.
// POST /control sets a failure mode; the answer also counts the calls by path.
#include "io/http_server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <deque>
#include <iostream>
#include <list>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 0, "port to listen on; 0: any free port. The port is printed on standard output");

namespace {

using namespace pistachiospur;
using Json = nlohmann::json;

struct Value {
    std::string text;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0; // number of puts since the key was created
    std::int64_t lease = 0; // 0: none
};

struct Event {
    std::string key;
    bool deleted = false;
    Value value;
};

struct Watch {
    std::string from; // first key
    std::string to; // end of the range, as in inRange
    Responder responder;
};

enum class Mode {
    up,
    down, // answers every call with 503
    silent, // neither performs nor answers calls
    slow, // answers after m_delay
    loseAnswers, // performs writes and lease calls without answering them
};
constexpr const char* kModeNames[] = { "up", "down", "silent", "slow", "lose-answers" };

std::string decode(const Json& object, const char* field)
{
    std::string bytes;
    if (object.contains(field))
        absl::Base64Unescape(object[field].get<std::string>(), &bytes);
    return bytes;
}

std::int64_t number(const Json& object, const char* field)
{
    if (!object.contains(field))
        return 0;
    return object[field].is_string() ? std::stoll(object[field].get<std::string>()) : object[field].get<std::int64_t>();
}

// Key ranges as in etcd: without `to` the one key `from`, with `to` "\0" every key from `from` on, else [from, to).
bool inRange(const std::string& key, const std::string& from, const std::string& to)
{
    return to.empty() ? key == from : key >= from && (to == std::string(1, '\0') || key < to);
}

// etcd's default for --max-txn-ops.
constexpr std::size_t kMaxTxnOperations = 128;
// Timers of slow mode that are kept. The oldest is destroyed first; normally it has fired long before.
constexpr std::size_t kMaxDelayedAnswers = 1000;
constexpr Millis kLeaseCheckInterval { 100 };

class StoreStandin {
public:
    StoreStandin()
        : m_leaseTimer([this] { expireLeases(); })
        , m_server({ absl::GetFlag(FLAGS_address), static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)) }, 64u << 20,
              [this](const HttpRequest& request, const Responder& responder) { onRequest(request, responder); })
    {
        m_leaseTimer.every(kLeaseCheckInterval);
    }

    std::uint16_t port() const { return m_server.port(); }

private:
    void onRequest(const HttpRequest& request, const Responder& responder)
    {
        if (request.path == "/control")
            return onControl(request, responder);
        ++m_calls[request.path];
        if (m_mode == Mode::down)
            return responder.respond({ 503, {}, "{}" });
        if (m_mode == Mode::silent) {
            m_unanswered.push_back(responder);
            return;
        }
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return responder.respond({ 400, {}, R"({"code":3,"message":"invalid JSON"})" });
        if (request.path == "/v3/watch")
            return startWatch(body.value("create_request", Json::object()), responder);
        Json answer;
        try {
            answer = perform(request.path, body);
        } catch (const std::exception& error) {
            return responder.respond({ 400, {}, Json { { "code", 3 }, { "message", error.what() } }.dump() });
        }
        reply(answer, request.path != "/v3/kv/range", responder);
    }

    void reply(Json answer, bool writes, const Responder& responder)
    {
        answer["header"] = header();
        const HttpResponse response { 200, { { "Content-Type", "application/json" } }, answer.dump() };
        if (m_mode == Mode::loseAnswers && writes) {
            m_unanswered.push_back(responder);
            return;
        }
        if (m_mode != Mode::slow)
            return responder.respond(response);
        m_delayedAnswers.push_back(std::make_unique<Timer>([responder, response] { responder.respond(response); }));
        m_delayedAnswers.back()->once(m_delay);
        if (m_delayedAnswers.size() > kMaxDelayedAnswers)
            m_delayedAnswers.pop_front();
    }

    Json perform(const std::string& path, const Json& body)
    {
        if (path == "/v3/kv/range")
            return range(body);
        if (path == "/v3/kv/put" || path == "/v3/kv/deleterange") {
            ++m_revision;
            Json answer = path == "/v3/kv/put" ? put(body) : deleteRange(body);
            notifyWatches();
            return answer;
        }
        if (path == "/v3/kv/txn")
            return txn(body);
        if (path == "/v3/lease/grant")
            return grantLease(body);
        if (path == "/v3/lease/keepalive")
            return renewLease(body);
        if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
            endLease(number(body, "ID"));
            return Json::object();
        }
        throw std::invalid_argument("unknown path");
    }

    Json header() const { return { { "revision", std::to_string(m_revision) } }; }

    static Json encode(const std::string& key, const Value& value)
    {
        Json kv = { { "key", absl::Base64Escape(key) }, { "value", absl::Base64Escape(value.text) },
            { "create_revision", std::to_string(value.createRevision) },
            { "mod_revision", std::to_string(value.modRevision) }, { "version", std::to_string(value.version) } };
        if (value.lease)
            kv["lease"] = std::to_string(value.lease);
        return kv;
    }

    Json range(const Json& body) const
    {
        const std::string from = decode(body, "key"), to = decode(body, "range_end");
        Json kvs = Json::array();
        for (auto it = m_values.lower_bound(from); it != m_values.end() && inRange(it->first, from, to); ++it)
            kvs.push_back(encode(it->first, it->second));
        const auto n = std::to_string(kvs.size());
        return { { "kvs", kvs }, { "count", n } };
    }

    Json put(const Json& body)
    {
        const std::string key = decode(body, "key");
        Value& value = m_values[key];
        value.text = decode(body, "value");
        value.modRevision = m_revision;
        value.lease = number(body, "lease");
        if (++value.version == 1)
            value.createRevision = m_revision;
        m_batch.push_back({ key, false, value });
        return Json::object();
    }

    Json deleteRange(const Json& body)
    {
        const std::string from = decode(body, "key"), to = decode(body, "range_end");
        int n = 0;
        for (auto it = m_values.lower_bound(from); it != m_values.end() && inRange(it->first, from, to); ++n) {
            Value tombstone;
            tombstone.modRevision = m_revision;
            m_batch.push_back({ it->first, true, tombstone });
            it = m_values.erase(it);
        }
        return { { "deleted", std::to_string(n) } };
    }

    // Evaluates one comparison of a txn.
    bool conditionHolds(const Json& compare) const
    {
        const auto it = m_values.find(decode(compare, "key"));
        const Value value = it == m_values.end() ? Value {} : it->second;
        const std::string target = compare.value("target", "VERSION"), result = compare.value("result", "EQUAL");
        std::int64_t order = 0;
        if (target == "VALUE")
            order = value.text.compare(decode(compare, "value"));
        else if (target == "MOD")
            order = value.modRevision - number(compare, "mod_revision");
        else if (target == "CREATE")
            order = value.createRevision - number(compare, "create_revision");
        else
            order = value.version - number(compare, "version");
        return result == "EQUAL"    ? order == 0
            : result == "NOT_EQUAL" ? order != 0
            : result == "GREATER"   ? order > 0
                                    : order < 0;
    }

    Json txn(const Json& body)
    {
        bool succeeded = true;
        for (const auto& it : body.value("compare", Json::array()))
            succeeded = succeeded && conditionHolds(it);
        const Json operations = body.value(succeeded ? "success" : "failure", Json::array());
        if (operations.size() > kMaxTxnOperations)
            throw std::invalid_argument("too many operations in txn request");
        const bool writes = std::any_of(operations.begin(), operations.end(),
            [](const Json& it) { return it.contains("requestPut") || it.contains("requestDeleteRange"); });
        m_revision += writes;
        Json responses = Json::array();
        for (const auto& it : operations) {
            if (it.contains("requestPut"))
                responses.push_back({ { "response_put", put(it["requestPut"]) } });
            else if (it.contains("requestDeleteRange"))
                responses.push_back({ { "response_delete_range", deleteRange(it["requestDeleteRange"]) } });
            else
                responses.push_back({ { "response_range", range(it.at("requestRange")) } });
        }
        notifyWatches();
        return { { "succeeded", succeeded }, { "responses", responses } };
    }

    Json grantLease(const Json& body)
    {
        const std::int64_t id = number(body, "ID") ? number(body, "ID") : ++m_nextLease;
        const Millis ttl(1000 * number(body, "TTL"));
        m_leases[id] = { ttl, monotonicNow() + ttl };
        return { { "ID", std::to_string(id) }, { "TTL", std::to_string(ttl.count() / 1000) } };
    }

    Json renewLease(const Json& body)
    {
        const auto it = m_leases.find(number(body, "ID"));
        const bool found = it != m_leases.end();
        if (found)
            it->second.second = monotonicNow() + it->second.first;
        return { { "result",
            { { "ID", std::to_string(number(body, "ID")) },
                { "TTL", found ? std::to_string(it->second.first.count() / 1000) : "0" } } } };
    }

    // Removes a lease and deletes the keys that are attached to it.
    void endLease(std::int64_t id)
    {
        m_leases.erase(id);
        ++m_revision;
        for (auto it = m_values.begin(); it != m_values.end();) {
            if (it->second.lease != id) {
                ++it;
                continue;
            }
            Value tombstone;
            tombstone.modRevision = m_revision;
            m_batch.push_back({ it->first, true, tombstone });
            it = m_values.erase(it);
        }
        notifyWatches();
    }

    void expireLeases()
    {
        std::vector<std::int64_t> expired;
        for (const auto& [id, lease] : m_leases) {
            if (monotonicNow() >= lease.second)
                expired.push_back(id);
        }
        for (const auto id : expired)
            endLease(id);
    }

    void startWatch(const Json& create, const Responder& responder)
    {
        Watch watch { decode(create, "key"), decode(create, "range_end"), responder };
        responder.beginStream(200, { { "Content-Type", "application/json" } });
        responder.write(Json { { "result", { { "header", header() }, { "created", true } } } }.dump() + "\n");
        const auto startRevision = number(create, "start_revision");
        if (startRevision > 0) {
            for (const auto& batch : m_history) {
                if (batch.front().value.modRevision >= startRevision)
                    notify(watch, batch);
            }
        }
        m_watches.push_back(watch);
    }

    void notify(const Watch& watch, const std::vector<Event>& batch) const
    {
        Json events = Json::array();
        for (const auto& it : batch) {
            if (!inRange(it.key, watch.from, watch.to))
                continue;
            Json event = { { "kv", encode(it.key, it.value) } };
            if (it.deleted)
                event["type"] = "DELETE";
            events.push_back(event);
        }
        if (events.empty())
            return;
        const Json result = { { "header", { { "revision", std::to_string(batch.front().value.modRevision) } } },
            { "events", events } };
        watch.responder.write(Json { { "result", result } }.dump() + "\n");
    }

    // Sends the events of the newest revision to the watches and adds them to the history.
    void notifyWatches()
    {
        if (m_batch.empty())
            return;
        m_watches.remove_if([](const Watch& it) { return !it.responder.isOpen(); });
        for (const auto& it : m_watches)
            notify(it, m_batch);
        m_history.push_back(std::move(m_batch));
        m_batch.clear();
    }

    void onControl(const HttpRequest& request, const Responder& responder)
    {
        if (request.method == "POST") {
            const Json body = Json::parse(request.body, nullptr, false);
            const std::string mode = body.is_object() ? body.value("mode", "up") : "up";
            for (std::size_t n = 0; n < std::size(kModeNames); ++n) {
                if (mode == kModeNames[n])
                    m_mode = static_cast<Mode>(n);
            }
            m_delay = Millis(body.is_object() ? body.value("delay_ms", 0) : 0);
            if (m_mode == Mode::down || m_mode == Mode::silent)
                closeWatches();
        }
        m_watches.remove_if([](const Watch& it) { return !it.responder.isOpen(); });
        responder.respond({ 200, {},
            Json { { "mode", kModeNames[static_cast<int>(m_mode)] }, { "calls", m_calls },
                { "watches", m_watches.size() }, { "revision", m_revision } }
                    .dump()
                + "\n" });
    }

    void closeWatches()
    {
        for (const auto& it : m_watches)
            it.responder.finish();
        m_watches.clear();
    }

    std::map<std::string, Value> m_values;
    std::int64_t m_revision = 1;
    std::vector<Event> m_batch; // events of the newest revision that the watches have not received
    std::vector<std::vector<Event>> m_history; // sent batches, one per revision
    std::list<Watch> m_watches;
    std::map<std::int64_t, std::pair<Millis, Millis>> m_leases; // by id: TTL and expiry time
    std::int64_t m_nextLease = 1000;
    std::map<std::string, std::uint64_t> m_calls; // by path
    Mode m_mode = Mode::up;
    Millis m_delay {};
    std::list<Responder> m_unanswered; // of silent and loseAnswers; kept, so that their connections stay open
    std::deque<std::unique_ptr<Timer>> m_delayedAnswers; // in slow mode
    Timer m_leaseTimer;
    HttpServer m_server;
};

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    static StoreStandin standin;
    std::cout << standin.port() << std::endl;
    static SignalWatcher terminate(SIGTERM, breakLoop);
    runLoop();
    std::_Exit(0);
}
