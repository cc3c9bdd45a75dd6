#pragma once

#include "io/http_server.h"
#include "ranges/table.h"
#include "store/store.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

// Stand-ins, inside one process, for the users' metadata store and for upstreams that take ranges under fencing tokens.
namespace pistachiospur::standin {

// How the store treats calls while a fault is on.
enum class StoreFault {
    none,
    refuse, // 503, nothing is done
    loseAnswers, // writes are done and not answered
    silent, // nothing is done or answered
};

class KvStandin {
public:
    KvStandin();

    Endpoint endpoint() const { return { "127.0.0.1", m_server.port() }; }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // The value, or an empty text.
    std::string value(const std::string& key) const;
    // Drops the history and cuts the watches that wait.
    void forgetHistory();
    std::uint64_t revision() const { return m_revision; }

    StoreFault fault = StoreFault::none;
    unsigned writes = 0;

private:
    struct Item {
        std::string value;
        std::uint64_t version = 0;
        std::uint64_t lease = 0;
    };
    struct Event {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
    };
    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        Millis until {};
        Responder responder;
    };
    struct Lease {
        Millis life {};
        Millis until {};
    };

    void onCall(const HttpRequest&, const Responder&);
    HttpResponse onRange(const HttpRequest&) const;
    void onWatch(const HttpRequest&, const Responder&);
    HttpResponse onWrite(const HttpRequest&);
    HttpResponse onLease(const HttpRequest&);
    HttpResponse onKeep(std::uint64_t lease);
    void endLease(std::uint64_t lease);
    void change(const std::string& key, const std::string* value, std::uint64_t lease);
    bool answerWatch(const Watch&);
    void serveWatches();
    void tick();

    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::uint64_t m_forgotten = 0; // history up to here is gone
    std::uint64_t m_revision = 1;
    std::uint64_t m_nextLease = 1;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<Watch> m_watches;
    std::vector<Responder> m_unanswered; // of silent and lost calls
    Timer m_timer;
    HttpServer m_server;
};

// What an upstream saw of one request.
struct SeenRequest {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    std::string deadline;
    bool cut = false; // its connection closed before the answer
};

class RangeUpstream {
public:
    RangeUpstream(std::string service, std::string name, std::int64_t born, bool keyed);

    // Its entry in the store.
    std::string entry(const std::string& state = "ready") const;
    const std::string& name() const { return m_name; }
    bool holds(std::uint32_t slot) const;
    std::string handoverTaken() const { return m_handoverTaken; }

    Millis work { 5 };
    bool crashed = false; // refuses everything from here on
    std::vector<SeenRequest> seen;
    unsigned grants = 0;

private:
    struct Held {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
        Millis until {};
    };

    void onCall(const HttpRequest&, const Responder&);
    HttpResponse onGrant(const HttpRequest&);
    HttpResponse onRelease(const HttpRequest&);
    void run(const HttpRequest&, const Responder&);

    std::string m_service;
    bool m_keyed;
    std::string m_name;
    std::int64_t m_born;
    std::vector<Held> m_held;
    std::string m_handoverTaken;
    std::vector<std::unique_ptr<Timer>> m_timers;
    HttpServer m_server;
};

} // namespace pistachiospur::standin
