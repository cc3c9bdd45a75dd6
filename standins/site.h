#pragma once

#include "config/fields.h"
#include "io/http_client.h"
#include "pistachiospur/types.h"

#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

// A whole site on loopback for the demonstration and the end-to-end tests: stand-ins and daemons as real processes on
// free ports, started, disturbed and ended by process id. Everything ends with the object.
namespace pistachiospur {

class Process {
public:
    // Starts a program; its standard output goes to a pipe when `readsLine`, both outputs else to the log file.
    Process(const std::vector<std::string>& command, const std::string& logPath, bool readsLine);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    // The first line of standard output.
    const std::string& firstLine() const { return m_firstLine; }
    void signal(int number) const;
    // Kills the process at once and collects it.
    void kill();
    // Waits for the process to end by itself; false after the time.
    bool waitEnd(Millis time);
    bool isRunning() const { return m_pid > 0; }
    pid_t pid() const { return m_pid; }
    // Exit status, or minus the signal's number.
    int status() const { return m_status; }

private:
    pid_t m_pid = -1;
    int m_status = 0;
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
    int status = 0; // 0: no answer
    HeaderMap headers;
    std::string body;
    Millis took {};
    Json json() const { return Json::parse(body, nullptr, false); }
};

class Site {
public:
    // Programs are taken from `build`, logs and journals go to `directory`.
    Site(std::string build, std::string directory);
    ~Site();

    void startStore();
    void startHostList();
    // The limits replace the defaults of a host's settings.
    SiteHost& startHost(const HostName&, const DataCentreName&, const Json& limits = Json::object());
    SiteUpstream& startUpstream(const UpstreamName&, const DataCentreName&, int runMs = 5);
    // Starts a host or upstream again, empty, on its old ports.
    void restart(SiteHost&);
    void restart(SiteUpstream&);
    // Removes a host from the platform's list.
    void unlist(const HostName&);
    void setStoreMode(const std::string& mode, int delayMs = 0);
    Json storeCounts();

    CallResult call(const Endpoint&, const std::string& method, const std::string& target, const HeaderList& = {},
        const std::string& body = "", Millis timeout = Millis(10000));
    // A caller's request to a host; a non-idempotent one brings its key and the present time.
    CallResult request(const SiteHost&, const std::string& method, const std::string& target,
        const std::string& idempotencyKey = "", const HeaderList& more = {}, Millis timeout = Millis(10000));
    Json status(const SiteHost&);
    // Runs the operators' tool; its exit status, and its output in `out`.
    int tool(std::vector<std::string> arguments, std::string& out);
    // Publishes services over the upstreams started so far: `keyed` names with their upstreams, in three ranks.
    bool publish(const std::map<ServiceName, std::vector<UpstreamName>>& keyed, std::string& out);
    // Calls until the condition holds; false after the time.
    bool waitFor(const std::function<bool()>&, Millis time);
    // True when the running hosts see one another, and every upstream owns slots, moves none, and is coordinated by its
    // first running renewer.
    bool isSettled();
    bool isRunning(const HostName&) const;
    // What the upstreams ran, from their journals.
    std::vector<Json> journal() const;

    std::map<HostName, SiteHost>& hosts() { return m_hosts; }
    std::map<UpstreamName, SiteUpstream>& upstreams() { return m_upstreams; }
    std::string storeText() const { return m_storeEndpoint.text(); }

private:
    std::string path(const std::string& name) const { return m_directory + "/" + name; }
    void list(const SiteHost&, const std::string& state);
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
