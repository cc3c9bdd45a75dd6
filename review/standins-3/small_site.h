#pragma once

#include "io/loop.h"
#include "io/socket.h"
#include "standins/kv.h"
#include "standins/raw_upstream.h"
#include "standins/site.h"
#include "pages_store.h"

#include <absl/strings/ascii.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

// What the scripts of the review share: a small deployment on loopback. The daemons are separate processes, started with
// the command of deploy/system.toml; the store and the upstreams are stand-ins within the script's own process.
namespace review {

using namespace pistachiospur;
using Json = nlohmann::json;

constexpr Millis kMaxTime { 110000 }; // of a script
constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2; // exit statuses of a script

inline bool hasTrouble()
{
    const char* given = std::getenv("TROUBLE");
    return !given || std::string(given) != "0";
}

// The record of what was sent, answered and run.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_start(monotonicNow())
    {
    }

    void line(const std::string& text)
    {
        char at[32];
        std::snprintf(at, sizeof at, "%9.3f s  ", static_cast<double>((monotonicNow() - m_start).count()) / 1000);
        m_file << at << text << "\n" << std::flush;
    }

private:
    std::ofstream m_file;
    Millis m_start;
};

inline void runLoopFor(Millis time)
{
    Timer timer(breakLoop);
    timer.once(time);
    runLoop();
}

inline bool runLoopUntil(const std::function<bool()>& condition, Millis timeout)
{
    const Millis end = monotonicNow() + timeout;
    while (!condition() && monotonicNow() < end)
        runLoopFor(Millis(5));
    return condition();
}

inline Endpoint freeEndpoint()
{
    const int fd = listenOn({ "127.0.0.1", 0 });
    const Endpoint endpoint { "127.0.0.1", boundPort(fd) };
    ::close(fd);
    return endpoint;
}

// A caller's connection. It writes what it is given as the host takes it, and reads while `reads` is set.
class CallerSocket {
public:
    explicit CallerSocket(const Endpoint& host, int receiveBuffer = 0)
        : m_watcher([this](int events) { onEvents(events); })
    {
        if (receiveBuffer == 0) {
            m_fd = connectTo(host);
        } else {
            m_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
            const int sendBuffer = 64 << 10;
            setsockopt(m_fd, SOL_SOCKET, SO_SNDBUF, &sendBuffer, sizeof sendBuffer);
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(host.port);
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            ::connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        }
        update();
    }
    ~CallerSocket() { close(); }
    CallerSocket(const CallerSocket&) = delete;
    CallerSocket& operator=(const CallerSocket&) = delete;

    void write(const std::string& bytes)
    {
        m_output += bytes;
        update();
    }

    // Leaves without reading what is still to come.
    void close()
    {
        if (m_fd < 0)
            return;
        m_watcher.stop();
        ::close(m_fd);
        m_fd = -1;
    }

    void setReads(bool reads)
    {
        m_reads = reads;
        update();
    }

    std::size_t unwritten() const { return m_output.size(); }
    // Takes the first whole answer out of what was received; false if there is none. Answers have a length.
    bool takeAnswer(int& status, std::string& head, std::string& body)
    {
        const auto end = received.find("\r\n\r\n");
        if (end == std::string::npos)
            return false;
        head = received.substr(0, end + 2);
        const std::string lower = absl::AsciiStrToLower(head);
        const auto at = lower.find("\r\ncontent-length:");
        const std::size_t length = at == std::string::npos ? 0 : std::strtoull(lower.c_str() + at + 17, nullptr, 10);
        if (received.size() < end + 4 + length)
            return false;
        status = std::atoi(received.c_str() + 9);
        body = received.substr(end + 4, length);
        received.erase(0, end + 4 + length);
        return true;
    }

    std::string received;
    bool ended = false; // by the host
    std::function<void()> onChange;

private:
    void update()
    {
        if (m_fd >= 0)
            m_watcher.watch(m_fd, (m_reads ? EV_READ : 0) | (m_output.empty() ? 0 : EV_WRITE));
    }

    void onEvents(int events)
    {
        if ((events & EV_READ) && m_reads) {
            char buf[65536];
            const ssize_t n = recv(m_fd, buf, sizeof buf, 0);
            if (n > 0)
                received.append(buf, static_cast<std::size_t>(n));
            else if (n == 0 || errno != EAGAIN)
                return end();
        }
        if ((events & EV_WRITE) && !m_output.empty()) {
            const ssize_t n = send(m_fd, m_output.data(), m_output.size(), MSG_NOSIGNAL);
            if (n > 0)
                m_output.erase(0, static_cast<std::size_t>(n));
            else if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
                return end();
        }
        update();
        if (onChange)
            onChange();
    }

    void end()
    {
        ended = true;
        close();
        if (onChange)
            onChange();
    }

    int m_fd = -1;
    std::string m_output;
    bool m_reads = true;
    SocketWatcher m_watcher;
};

struct Host {
    std::string name;
    std::string dataCentre;
    Endpoint callers, ready, peers, admin, store;
    std::string settingsPath;
    std::unique_ptr<Process> process;
    int starts = 0;
};

class SmallSite {
public:
    explicit SmallSite(Record& record)
        : record(record)
        , m_heartbeat([this] { beat(); })
        , m_limit([this] {
            end();
            std::_Exit(kCannotRun);
        })
    {
        char name[] = "/tmp/pistachiospur-review-XXXXXX";
        directory = mkdtemp(name);
        m_heartbeat.every(Millis(1500));
        m_limit.once(kMaxTime);
    }

    ~SmallSite() { end(); }

    // Adds an upstream with the bytes that `handler` writes, and its entry.
    standin::RawUpstream& addUpstream(
        const std::string& service, const std::string& name, unsigned slots, standin::RawUpstream::Handler handler)
    {
        upstreams.push_back(std::make_unique<standin::RawUpstream>(service, name, std::move(handler)));
        m_entries.push_back({ upstreams.back().get(), service, slots, "ready" });
        store.put("servers/" + name, entry(m_entries.back()));
        return *upstreams.back();
    }

    // Takes an upstream's new work away, as its planned departure begins.
    void drainUpstream(const std::string& name)
    {
        for (auto& it : m_entries) {
            if (it.upstream->name() != name)
                continue;
            it.state = "draining";
            store.put("servers/" + name, entry(it));
        }
    }

    // Ends an upstream; its entry is deleted.
    void endUpstream(const std::string& name)
    {
        const auto isIt = [&](const auto& it) { return it->name() == name; };
        m_entries.erase(std::remove_if(m_entries.begin(), m_entries.end(),
                            [&](const Entry& it) { return it.upstream->name() == name; }),
            m_entries.end());
        upstreams.erase(std::remove_if(upstreams.begin(), upstreams.end(), isIt), upstreams.end());
        store.remove("servers/" + name);
    }

    // Adds a host with settings like those that the platform makes of deploy/settings.json for a small deployment.
    Host& addHost(const std::string& name, const std::string& dataCentre, Json limits = Json::object())
    {
        auto host = std::make_unique<Host>();
        host->name = name;
        host->dataCentre = dataCentre;
        for (Endpoint* it : { &host->callers, &host->ready, &host->peers, &host->admin })
            *it = freeEndpoint();
        host->store = store.endpoint();
        Json all = { { "greatest_hold_ms", 10000 }, { "grace_s", 6 }, { "drain_ms", 2000 }, { "change_ms", 2000 },
            { "upstream_heartbeat_ms", 1500 }, { "retry_ratio", 0.2 }, { "retry_window_s", 10 }, { "memory_mb", 260 },
            { "descriptors", 4100 }, { "retry_slack", 56 } };
        all.update(limits);
        host->settingsPath = directory + "/" + name + ".json";
        std::ofstream(host->settingsPath) << Json { { "platform", "kv" }, { "host", name },
            { "data_centre", dataCentre }, { "callers", host->callers.text() }, { "ready", host->ready.text() },
            { "peers", host->peers.text() }, { "admin", host->admin.text() }, { "store", host->store.text() },
            { "processor", 0.2 }, { "first_start", true }, { "limits", all } }.dump(1);
        hosts.push_back(std::move(host));
        start(*hosts.back());
        return *hosts.back();
    }

    void start(Host& host)
    {
        const std::string log = directory + "/" + host.name + ".log";
        host.process.reset();
        host.process = std::make_unique<Process>(
            std::vector<std::string> { "target/pistachiospurd", "--settings=" + host.settingsPath }, log, false);
        ++host.starts;
    }

    // The host's log, all lives together.
    std::string logOf(const Host& host) const
    {
        std::ifstream file(directory + "/" + host.name + ".log");
        return { std::istreambuf_iterator<char>(file), {} };
    }

    // One request on a connection of its own; status 0 if there is no answer.
    int ask(const Endpoint& host, const std::string& text, std::string* body = nullptr, Millis timeout = Millis(3000))
    {
        CallerSocket caller(host);
        caller.write(text);
        int status = 0;
        std::string head, answer;
        runLoopUntil([&] { return caller.takeAnswer(status, head, answer) || caller.ended; }, timeout);
        if (body)
            *body = answer;
        return status;
    }

    bool isReady(const Host& host)
    {
        return ask(host.ready, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n") == 200;
    }

    // Whether a process has ended by itself, and how.
    bool hasEnded(Host& host) { return host.process->waitForExit(Millis(1)); }

    Record& record;
    PagesStore store;
    std::vector<std::unique_ptr<standin::RawUpstream>> upstreams;
    std::vector<std::unique_ptr<Host>> hosts;
    std::string directory;

private:
    // Ends all processes that were started, and removes their files.
    void end()
    {
        hosts.clear();
        std::filesystem::remove_all(directory);
    }

    struct Entry {
        standin::RawUpstream* upstream;
        std::string service;
        unsigned slots;
        std::string state;
    };

    std::string entry(const Entry& it) const
    {
        return Json { { "service", it.service }, { "address", it.upstream->endpoint().text() }, { "zone", "z1" },
            { "version", "v1" }, { "slots", it.slots }, { "state", it.state }, { "warmup-left-ms", 0 },
            { "sequence", m_sequence }, { "born", 1700000000000 } }.dump();
    }

    // Upstreams write their entries again and again.
    void beat()
    {
        ++m_sequence;
        for (const auto& it : m_entries)
            store.put("servers/" + it.upstream->name(), entry(it));
    }

    std::vector<Entry> m_entries;
    int m_sequence = 1;
    Timer m_heartbeat;
    Timer m_limit;
};

inline std::string configuration(unsigned version, const Json& routes, const Json& services, const Json& limits = Json())
{
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", version);
    const Json used = limits.is_null() ? Json { { "max-header-bytes", 16384 }, { "max-body-bytes", 67108864 },
        { "header-timeout-ms", 3000 }, { "idle-timeout-ms", 15000 } } : limits;
    return Json { { "version", digits }, { "services", services }, { "limits", used },
        { "virtual-hosts", { { { "hostname", "a.example" }, { "path-matches", routes } } } } }.dump();
}

inline Json route(const std::string& prefix, const std::string& type, const std::string& service, int timeoutMs = 3000)
{
    return { { "name", "r" + prefix }, { "path-prefix", prefix }, { "route-type", type }, { "timeout-ms", timeoutMs },
        { "target-latency-ms", 1000 }, { "priority", 1 }, { "max-attempts", 2 }, { "service", service } };
}

inline std::string requestText(const std::string& method, const std::string& target, const std::string& id,
    const std::string& more = "", int deadlineMs = 3000)
{
    return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + more + "\r\n";
}

} // namespace review
