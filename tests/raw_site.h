#pragma once

#include "gateway/gateway.h"
#include "standins/kv.h"
#include "standins/raw_upstream.h"

// A site for tests over real sockets in which the bytes of the upstreams are the test's: a store, hosts and one
// upstream each of a keyed and a pooled service, in one process on one event loop.
namespace pistachiospur {

class RawSite {
public:
    RawSite(int hosts, const standin::RawUpstream::Handler&, std::int64_t graceMs = 6000, unsigned keyedSlots = 500,
        std::int64_t upstreamMb = 0);
    ~RawSite();
    RawSite(const RawSite&) = delete;
    RawSite& operator=(const RawSite&) = delete;

    // Runs the event loop until the condition holds or the time-out has passed; returns whether it holds.
    static bool runLoopUntil(const std::function<bool()>& condition, Millis timeout = Millis(20000));
    static void runLoopFor(Millis time);
    // A request on a new connection. Paths: /get/ and /unsafe/ are keyed, /pool/ (unsafe) and /safe/ are pooled.
    HttpCall call(const std::string& target, const std::string& id, std::size_t host) const;
    // The same as bytes, for a connection that the test keeps.
    static std::string text(const std::string& target, const std::string& id, int deadlineMs = 2500);
    // Sends one request and waits for its answer; the status is 0 if there is none.
    HttpAnswer send(const std::string& target, const std::string& id, std::size_t host);
    HttpAnswer sendCall(HttpCall);
    // Repeats requests until every host serves both services; the ids of these requests begin with "warm".
    bool waitUntilServed();
    // Ends a host's process as a kill does and starts it again under its name and addresses.
    void restart(std::size_t host);
    std::size_t runCount(const std::string& id) const { return keyed.runCount(id) + pooled.runCount(id); }

    standin::KvStandin store;
    standin::RawUpstream keyed;
    standin::RawUpstream pooled;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<Endpoint> callerEndpoints;
    std::vector<Endpoint> peerEndpoints;
    HttpClient client { 8u << 20 };

private:
    Endpoint reservePort();
    void addHost(std::int64_t graceMs, std::int64_t upstreamMb);
    void start(std::size_t host);

    std::vector<GatewaySettings> m_settings; // of the hosts
    std::vector<int> m_reservedPorts;
};

// A caller's connection that a test writes to and reads from.
class CallerConnection {
public:
    explicit CallerConnection(const Endpoint&);
    ~CallerConnection();
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    void write(const std::string& bytes);
    // Reads what has arrived; returns all that was received so far.
    const std::string& read();
    // The connection has ended, by its end or by a reset. Call read() first.
    bool hasEnded() const { return m_ended; }
    bool wasReset() const { return m_reset; }

private:
    int m_fd;
    std::string m_received;
    bool m_ended = false;
    bool m_reset = false;
};

} // namespace pistachiospur
