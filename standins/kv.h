#pragma once

#include "io/http_server.h"
#include "ranges/table.h"
#include "store/store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// In-process stand-ins for tests: the platform's metadata store, and upstreams that accept grants of slot ranges with
// fencing tokens.
namespace pistachiospur::standin {

// Fault that the store simulates.
enum class StoreFault {
    none,
    refuse, // answers every call with 503 and has no effect
    loseAnswers, // applies writes but does not answer them
    silent, // neither applies nor answers any call
};

class KvStandin {
public:
    KvStandin();

    // An address of the store for one host, with faults that only this host meets.
    class Entrance {
    public:
        explicit Entrance(KvStandin&);

        Endpoint endpoint() const { return { "127.0.0.1", m_server.port() }; }

        StoreFault fault = StoreFault::none; // refuse or silent
        unsigned watchCalls = 0;
        std::size_t readBytesPerSecond = 0; // at which answers to reads arrive; zero: no limit

    private:
        struct SlowAnswer {
            Responder responder;
            std::string body;
            std::size_t sent = 0;
        };

        void onCall(const HttpRequest&, const Responder&);
        void sendSlowAnswers();

        KvStandin& m_store;
        std::vector<Responder> m_unanswered;
        std::vector<SlowAnswer> m_slowAnswers;
        Timer m_timer;
        HttpServer m_server;
    };

    Endpoint endpoint() const { return { "127.0.0.1", m_server.port() }; }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // The key's value; empty if the key does not exist.
    std::string value(const std::string& key) const;
    // Whether a key begins with the prefix.
    bool hasKeyWith(const std::string& prefix) const;
    // Discards the history and answers the waiting watches with 410.
    void compactHistory();
    std::uint64_t revision() const { return m_state.revision; }
    // Remembers the store's present state as the copy that restoreCopy() returns to.
    void saveCopy();
    // The store returns from the copy in a new era: all writes and leases since are lost, and their revisions and lease
    // ids will be given out again. Leases of the copy start anew, and waiting watches are never answered. If
    // `keepsWritten` is set, rewriteLost() follows at once.
    void restoreCopy(bool keepsWritten);
    // Writes again what put() and remove() have done to the operator's and the upstreams' keys since saveCopy().
    void rewriteLost();
    // Answers the held calls in the order of their arrival.
    void releaseHeld();
    std::size_t heldCalls() const { return m_held.size(); }

    std::uint64_t era = 1; // how often the store has returned from a copy, plus one
    bool namesEra = true; // in all answers
    // Calls for which this returns true are held until releaseHeld().
    std::function<bool(const HttpRequest&)> holds;
    // Held calls other than watches are executed when they arrive and only their answers are held, with the era of
    // their execution. If not set, they are executed when they are released.
    bool executesHeld = false;
    StoreFault fault = StoreFault::none;
    unsigned writes = 0; // conditional writes applied
    unsigned readCalls = 0; // pages of keys that were read

private:
    struct Item {
        std::string value;
        std::uint64_t version = 0; // revision of the last change
        std::uint64_t lease = 0; // 0 if none
    };
    struct Event {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
    };
    // A long poll that has not been answered yet.
    struct Watch {
        std::string prefix;
        std::uint64_t after = 0; // revision
        Millis expiresAt {};
        Responder responder;
    };
    struct Lease {
        Millis ttl {};
        Millis expiresAt {};
    };

    // What the store keeps on its disk.
    struct State {
        std::map<std::string, Item> items;
        std::vector<Event> history;
        std::uint64_t compactedRevision = 0; // changes up to here are no longer in the history
        std::uint64_t revision = 1;
        std::uint64_t nextLeaseId = 1;
        std::map<std::uint64_t, Lease> leases;
    };
    struct HeldCall {
        HttpRequest request;
        Responder responder;
        std::optional<HttpResponse> response; // if the call has been executed
    };

    void onCall(const HttpRequest&, const Responder&);
    void answer(const HttpRequest&, const Responder&);
    HttpResponse execute(const HttpRequest&);
    HttpResponse withEra(HttpResponse) const;
    void writeOutside(const std::string& key, const std::string* value);
    HttpResponse onRange(const HttpRequest&) const;
    void onWatch(const HttpRequest&, const Responder&);
    HttpResponse onWrite(const HttpRequest&);
    HttpResponse onLeaseOpen(const HttpRequest&);
    HttpResponse onLeaseRenewal(std::uint64_t lease);
    void endLease(std::uint64_t lease);
    void change(const std::string& key, const std::string* value, std::uint64_t lease);
    bool answerWatch(const Watch&);
    void serveWatches();
    void tick();

    State m_state;
    State m_copy;
    // The operator's and the upstreams' keys changed since saveCopy(), with their values; without one if removed.
    std::map<std::string, std::optional<std::string>> m_writtenOutside;
    std::vector<HeldCall> m_held;
    std::vector<Watch> m_watches;
    std::vector<Responder> m_unanswered; // to calls that a fault left without an answer
    Timer m_timer;
    HttpServer m_server;
};

// A request that an upstream ran.
struct ReceivedRequest {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    std::string deadline; // value of the Deadline-Ms header
    bool callerGone = false; // the connection was closed before the answer
};

// A grant that an upstream accepted.
struct AcceptedGrant {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    Millis at {};
};

class RangeUpstream {
public:
    RangeUpstream(std::string service, std::string name, std::int64_t startTime, bool keyed);

    // The text of its entry in the store.
    std::string entry(const std::string& state = "ready") const;
    const std::string& name() const { return m_name; }
    Endpoint endpoint() const { return { "127.0.0.1", m_server.port() }; }
    // True while it has a grant in force for the slot and has not crashed.
    bool holds(std::uint32_t slot) const;
    // The highest fencing token accepted for the slot since the upstream's start; 0 if none.
    std::uint64_t highestFence(std::uint32_t slot) const;
    // Starts its process again under its name and address: it forgets its grants. Its entry in the store is unchanged.
    void restart(std::int64_t startTime);
    // Handover token of the last grant that had one.
    std::string lastHandover() const { return m_lastHandover; }

    std::string dataCentre { "z1" };
    Millis runTime { 5 }; // of each request
    int status = 200; // of answers to requests
    std::string statedLimit; // named in each answer, if not empty
    std::vector<std::pair<std::string, std::string>>
        notices; // headers added to each answer to a request or to a question for its health, and to each 503
    unsigned healthQuestions = 0;
    bool sealsAnswers = true;
    std::string turnsAwayFor; // if not empty, every call is answered 503 with this Retry-After
    std::vector<Millis> callTimes; // of every call but those, orders included; monotonic clock
    bool crashed = false; // while set, every call fails
    Millis grantDelay {}; // if set, grants are not answered and take effect this late, unless it starts again
    std::vector<ReceivedRequest> received;
    unsigned grants = 0; // accepted, renewals included
    std::vector<AcceptedGrant> grantLog; // renewals included
    unsigned refusedGrants = 0; // because of a lower fencing token

private:
    struct HeldGrant {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
        Millis expiresAt {};
    };

    void onCall(const HttpRequest&, const Responder&);
    HttpResponse onGrant(const HttpRequest&, Millis arrivedAt);
    HttpResponse onRelease(const HttpRequest&);
    void run(const HttpRequest&, const Responder&);

    std::string m_service;
    bool m_keyed;
    std::string m_name;
    std::int64_t m_startTime;
    std::vector<HeldGrant> m_grants;
    std::string m_lastHandover;
    std::vector<std::unique_ptr<Timer>> m_timers;
    HttpServer m_server;
};

} // namespace pistachiospur::standin
