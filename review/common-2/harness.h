#pragma once

#include "io/http_client.h"
#include "io/http_server.h"
#include "io/loop.h"
#include "standins/kv.h"
#include "standins/site.h"

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// What the scripts of this review share: a backend and a platform that follow the users' pages, hosts that run as
// processes with the command of the deploy file, and a record of what was sent, answered and run.
namespace review {

using namespace pistachiospur;

constexpr std::uint32_t kKeys = 65536;

// Exit statuses of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Writes lines with the time since the start of the script, in seconds.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::ofstream m_out;
    Millis m_startedAt;
};

// A request that a backend began to work on.
struct Run {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    std::uint32_t key = 0;
    Millis begunAt {};
    bool ended = false;
};

// A backend. A keyed one runs requests for the keys that it holds only, keeps to fencing tokens, and answers a release
// when the work on the released keys has ended. Others run every request.
class Backend {
public:
    Backend(Record&, std::string service, std::string name, std::string zone, bool keyed, std::uint16_t port = 0);

    Endpoint endpoint() const { return { "127.0.0.1", m_server.port() }; }
    const std::string& name() const { return m_name; }
    const std::string& service() const { return m_service; }
    // The text of its entry in the store; the sequence rises with each call.
    std::string entry(const std::string& state = "ready");
    bool holds(std::uint32_t key) const;
    bool holdsAny() const;
    std::size_t runCount(const std::string& id) const;

    unsigned slots = 2;
    unsigned queue = 8;
    Millis workTime { 20 };
    bool writesEntries = true; // it is alive and registered, and writes its entry at each heartbeat
    std::vector<Run> runs;
    std::int64_t born;
    // Answers a run in another way than with 200; nothing: as usual.
    std::function<std::optional<HttpResponse>(const Run&)> special;

private:
    struct Hold {
        std::uint32_t first = 0, last = 0;
        std::uint64_t fence = 0;
        Millis expiresAt {};
    };
    struct Waiting {
        HttpRequest request;
        Responder responder;
    };
    struct Release {
        std::uint32_t first = 0, last = 0;
        Responder responder;
        std::string id;
    };

    void onCall(const HttpRequest&, const Responder&);
    void onGrant(const HttpRequest&, const Responder&);
    void onRelease(const HttpRequest&, const Responder&);
    void take(std::uint32_t first, std::uint32_t last);
    void onRequest(const HttpRequest&, const Responder&);
    void begin(const HttpRequest&, const Responder&);
    void finish(std::size_t run, const Responder&);
    void answerReleases();

    Record& m_record;
    std::string m_service, m_name, m_zone;
    bool m_keyed;
    std::uint64_t m_sequence = 0;
    unsigned m_running = 0;
    std::vector<Hold> m_holds;
    std::vector<Hold> m_seen; // fencing tokens, by range
    std::vector<Waiting> m_waiting;
    std::vector<Release> m_releases;
    std::vector<std::unique_ptr<Timer>> m_timers;
    HttpServer m_server;
};

// A host of the system: a process with the command of the deploy file, and its addresses.
struct Host {
    std::string name, zone;
    Endpoint callers, ready, peers, admin, store;
    std::unique_ptr<Process> process;
};

// One kind of request of the configuration.
struct RouteSpec {
    std::string name, prefix, type, service;
    int timeoutMs = 2500;
};

struct ServiceSpec {
    std::string name;
    bool sharded = false;
};

class Platform {
public:
    // Writes the record to this path. Settings and logs go to a temporary folder.
    explicit Platform(const std::string& recordPath);
    ~Platform();

    Record record;
    standin::KvStandin store;
    std::vector<std::unique_ptr<Backend>> backends;
    std::vector<Host> hosts;
    HttpClient client { 64u << 20 };

    void configure(unsigned version, const std::vector<ServiceSpec>&, const std::vector<RouteSpec>&);
    Backend& addBackend(const std::string& service, const std::string& name, const std::string& zone, bool keyed);
    // Adds and starts a host. Its store is the platform's, unless another address of it is given.
    Host& addHost(const std::string& name, const std::string& zone, std::optional<Endpoint> storeAddress = {});
    void start(Host&, bool firstStart);
    void kill(Host&, int signal);

    // Runs the event loop until the condition holds; false after the time-out.
    bool runUntil(const std::function<bool()>& condition, Millis timeout);
    void runFor(Millis time);
    HttpCall call(const Host&, const std::string& method, const std::string& target, const std::string& id,
        std::uint32_t key, int deadlineMs = 2500) const;
    // Sends a request and waits for its answer; the status is 0 if there is none.
    HttpAnswer send(const Host&, const std::string& method, const std::string& target, const std::string& id,
        std::uint32_t key);
    // Waits until each key has a holder and each host serves the target.
    bool waitUntilServed(const std::string& target, const std::vector<std::uint32_t>& keys);
    std::size_t runCount(const std::string& id) const;
    // Since the backends wrote their entries last.
    Millis sinceHeartbeat() const { return monotonicNow() - m_heartbeatAt; }
    std::vector<Backend*> holders(const std::string& service, std::uint32_t key);

private:
    void heartbeat();

    std::string m_folder; // temporary
    Timer m_heartbeatTimer;
    Millis m_heartbeatAt {};
};

// Whether the script is to bring about its disruption (TROUBLE=0: not).
bool hasTrouble();
std::string number(std::int64_t n);

} // namespace review
