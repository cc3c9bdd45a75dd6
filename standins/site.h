#pragma once

#include "config/fields.h"
#include "io/http_client.h"
#include "pistachiospur/types.h"

#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

// A complete site on loopback for the demonstration, the end-to-end tests and the benchmarks: stand-ins and daemons run
// as real processes on free ports. Destroying a Site kills all its processes.
namespace pistachiospur {

// A child process.
class Process {
public:
    // Starts a program. Standard error is appended to the log file. Standard output is too, unless `readsFirstLine`:
    // then it goes to a pipe, and the constructor blocks until it has read one line.
    Process(const std::vector<std::string>& command, const std::string& logPath, bool readsFirstLine);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    // The first line of standard output, if it was read.
    const std::string& firstLine() const { return m_firstLine; }
    void signal(int number) const;
    // Sends SIGKILL and reaps the process.
    void kill();
    // Waits for the process to exit by itself; false if it still runs after the time-out.
    bool waitForExit(Millis timeout);
    bool isRunning() const { return m_pid > 0; }
    pid_t pid() const { return m_pid; }
    // Exit status, or the negative number of the signal that ended the process.
    int exitStatus() const { return m_exitStatus; }

private:
    pid_t m_pid = -1;
    int m_exitStatus = 0;
    std::string m_firstLine;
};

struct SiteHost {
    HostName name;
    DataCentreName dataCentre;
    Endpoint callers;
    Endpoint peers;
    Endpoint admin;
    std::unique_ptr<Process> process;
};

struct SiteUpstream {
    UpstreamName name;
    DataCentreName dataCentre;
    Endpoint endpoint;
    std::unique_ptr<Process> process;
};

struct CallResult {
    int status = 0; // HTTP status; 0: no answer
    HeaderMap headers;
    std::string body;
    Millis elapsed {};
    Json json() const { return Json::parse(body, nullptr, false); }
};

class Site {
public:
    // Runs the programs in `build`. Settings, logs and journals go to `directory`, which is emptied first.
    Site(std::string build, std::string directory);
    ~Site();

    void startStore();
    void startHostList();
    // Starts a host and adds it to the platform's host list. `limits` overrides defaults of the host's settings.
    SiteHost& startHost(const HostName&, const DataCentreName&, const Json& limits = Json::object());
    SiteUpstream& startUpstream(const UpstreamName&, const DataCentreName&, int runMs = 5);
    // Kills a host or upstream and starts it again on the same ports, without its former state.
    void restart(SiteHost&);
    void restart(SiteUpstream&);
    // Removes a host from the platform's host list.
    void removeFromHostList(const HostName&);
    // Sets the store's failure mode, by its name in standins/store.cpp.
    void setStoreMode(const std::string& mode, int delayMs = 0);
    // The store stand-in's mode, calls by path, number of watches and revision.
    Json storeStats();

    CallResult call(const Endpoint&, const std::string& method, const std::string& target, const HeaderList& = {},
        const std::string& body = "", Millis timeout = Millis(10000));
    // Sends a caller's request to a host. With an idempotency key it also sends the current time as the key's time.
    CallResult request(const SiteHost&, const std::string& method, const std::string& target,
        const std::string& idempotencyKey = "", const HeaderList& more = {}, Millis timeout = Millis(10000));
    Json status(const SiteHost&);
    // Runs the operators' tool. Returns its exit status, or -1 if it did not exit in time; its output goes to `out`.
    int runTool(std::vector<std::string> arguments, std::string& out);
    // Publishes a configuration of three ranks and the given services with their upstreams, which must have been
    // started.
    bool publish(const std::map<ServiceName, std::vector<UpstreamName>>& services, std::string& out);
    // Runs the event loop until the condition holds; false if it does not within the time-out.
    bool waitFor(const std::function<bool()>&, Millis timeout);
    // True if every running host counts all running hosts as alive, no slot is moving, and every upstream owns slots
    // and is coordinated by the first host of its renewer list, or by another if that one does not run.
    bool isSettled();
    bool isRunning(const HostName&) const;
    // The lines of all upstreams' journals, grouped by upstream.
    std::vector<Json> journal() const;

    std::map<HostName, SiteHost>& hosts() { return m_hosts; }
    std::map<UpstreamName, SiteUpstream>& upstreams() { return m_upstreams; }
    std::string storeAddress() const { return m_storeEndpoint.text(); }

private:
    std::string path(const std::string& name) const { return m_directory + "/" + name; }
    void setListedState(const SiteHost&, const std::string& state);
    bool tryStart(SiteHost&, const Json& limits);
    void runHost(SiteHost&);
    void runUpstream(SiteUpstream&, std::uint16_t port);

    std::string m_build;
    std::string m_directory;
    HttpClient m_http;
    Endpoint m_storeEndpoint;
    Endpoint m_hostListEndpoint;
    std::unique_ptr<Process> m_store;
    std::unique_ptr<Process> m_hostList;
    std::map<HostName, SiteHost> m_hosts;
    std::map<UpstreamName, SiteUpstream> m_upstreams;
    std::map<UpstreamName, int> m_runMs;
};

} // namespace pistachiospur
