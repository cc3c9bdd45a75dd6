#pragma once

#include "io/http_client.h"
#include "standins/kv.h"
#include "standins/site.h"

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

// A small deployment on loopback for the cases of the review: the platform's store and the upstreams are stand-ins in
// this process, the hosts are processes of the program that the deploy file builds and runs.
namespace pistachiospur::review {

// A host, its free ports and its process.
struct DeployedHost {
    std::string name;
    std::string settingsPath;
    Endpoint callers;
    Endpoint ready;
    Endpoint admin;
    Endpoint store; // as the host reaches it
    bool isFirstStart = true;
    std::unique_ptr<Process> process;
};

// What a client saw of one request.
struct ClientAnswer {
    std::string id;
    std::string target;
    std::size_t host = 0;
    bool done = false;
    int status = 0; // 0: no answer
    HeaderMap headers;
    std::string body;

    std::string header(const std::string& name) const;
};

using ClientAnswerPtr = std::shared_ptr<ClientAnswer>;

class Deployment {
public:
    // Settings and logs go to the temporary folder, the record to the file.
    Deployment(std::string folder, const std::string& recordPath);

    standin::KvStandin store;

    // Adds a host; start() runs its process.
    DeployedHost& addHost(const std::string& name);
    void start(DeployedHost&);
    // Sends SIGKILL and reaps the process.
    void kill(DeployedHost&);
    // Whether the host's readiness check answers 200 within the time.
    bool waitUntilReady(const DeployedHost&, Millis timeout = Millis(15000));
    std::vector<std::unique_ptr<DeployedHost>>& hosts() { return m_hosts; }

    // Sends one request of a client on a new connection. The answer's fields are set once it has arrived.
    ClientAnswerPtr send(std::size_t host, const std::string& method, const std::string& target, const std::string& id,
        const HeaderList& headers, const std::string& body = "", Millis timeout = Millis(10000));
    // Writes the bytes on a new connection and returns what arrives on it within the time.
    std::string exchange(std::size_t host, const std::string& bytes, Millis time);

    bool runUntil(const std::function<bool()>& condition, Millis timeout);
    void runFor(Millis time);
    // Writes a line to the record, with the time since the start.
    void note(const std::string& line);

private:
    std::string m_folder;
    std::ofstream m_record;
    Millis m_startedAt;
    HttpClient m_client { 16u << 20 };
    std::vector<std::unique_ptr<DeployedHost>> m_hosts;
};

// A free loopback address.
Endpoint freeAddress();
// Whether the script runs with its disruption (TROUBLE is not 0).
bool hasTrouble();

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

} // namespace pistachiospur::review
