#include "site.h"

#include "config/settings.h"
#include "io/socket.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace pistachiospur {

namespace {

const Endpoint kAnyLoopbackPort { "127.0.0.1", 0 };
constexpr std::size_t kMaxAnswerBytes = 64u << 20;
constexpr int kStartAttempts = 5;
constexpr Millis kStartTimeout { 10000 };
constexpr Millis kToolTimeout { 20000 };

// A port that is free now; another process may take it before it is used.
Endpoint freeEndpoint()
{
    const int fd = listenOn(kAnyLoopbackPort);
    Endpoint endpoint { kAnyLoopbackPort.address, boundPort(fd) };
    ::close(fd);
    return endpoint;
}

std::string readLine(int fd)
{
    std::string line;
    char c = 0;
    while (::read(fd, &c, 1) == 1 && c != '\n')
        line += c;
    return line;
}

void runLoopFor(Millis time)
{
    Timer timer(breakLoop);
    timer.once(time);
    runLoop();
}

} // namespace

Process::Process(const std::vector<std::string>& command, const std::string& logPath, bool readsFirstLine)
{
    int fds[2] = { -1, -1 };
    if (readsFirstLine && pipe2(fds, O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create a pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, readsFirstLine ? fds[1] : 2, 1);
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& it : command)
        arguments.push_back(const_cast<char*>(it.c_str()));
    arguments.push_back(nullptr);
    const int error = posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (readsFirstLine)
        ::close(fds[1]);
    if (error == 0 && readsFirstLine)
        m_firstLine = readLine(fds[0]);
    if (readsFirstLine)
        ::close(fds[0]);
    if (error != 0)
        throw std::runtime_error("cannot start " + command[0] + ": " + std::strerror(error));
}

Process::~Process() { kill(); }

void Process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Process::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_exitStatus = -SIGKILL;
    m_pid = -1;
}

bool Process::waitForExit(Millis timeout)
{
    const Millis until = monotonicNow() + timeout;
    while (m_pid > 0) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            m_pid = -1;
            return true;
        }
        if (monotonicNow() >= until)
            return false;
        runLoopFor(Millis(10));
    }
    return true;
}

Site::Site(std::string build, std::string directory)
    : m_build(std::move(build))
    , m_directory(std::move(directory))
    , m_http(kMaxAnswerBytes)
{
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
}

Site::~Site() = default;

void Site::startStore()
{
    m_store
        = std::make_unique<Process>(std::vector<std::string> { m_build + "/standin-store" }, path("store.log"), true);
    m_storeEndpoint = { kAnyLoopbackPort.address, static_cast<std::uint16_t>(std::stoi(m_store->firstLine())) };
}

void Site::startHostList()
{
    m_hostList = std::make_unique<Process>(
        std::vector<std::string> { m_build + "/standin-hosts", "--lag_ms=200" }, path("hosts.log"), true);
    m_hostListEndpoint = { kAnyLoopbackPort.address, static_cast<std::uint16_t>(std::stoi(m_hostList->firstLine())) };
}

void Site::setListedState(const SiteHost& host, const std::string& state)
{
    const Json entry = { { "host", host.name }, { "data_centre", host.dataCentre }, { "peers", host.peers.text() },
        { "state", state } };
    call(m_hostListEndpoint, "POST", "/control", {}, entry.dump());
}

void Site::removeFromHostList(const HostName& name) { setListedState(m_hosts.at(name), "gone"); }

SiteHost& Site::startHost(const HostName& name, const DataCentreName& dataCentre, const Json& limits)
{
    SiteHost& host = m_hosts[name];
    host.name = name;
    host.dataCentre = dataCentre;
    for (int n = 0; n < kStartAttempts && !tryStart(host, limits); ++n) { }
    setListedState(host, "live");
    return host;
}

// False if the host exited at once, which it does if another process took one of its ports since freeEndpoint chose it.
bool Site::tryStart(SiteHost& host, const Json& limits)
{
    host.callers = freeEndpoint();
    host.peers = freeEndpoint();
    host.admin = freeEndpoint();
    const Json settings = { { "host", host.name }, { "data_centre", host.dataCentre },
        { "callers", host.callers.text() }, { "peers", host.peers.text() }, { "admin", host.admin.text() },
        { "store", { m_storeEndpoint.text() } }, { "host_list", m_hostListEndpoint.text() }, { "limits", limits } };
    std::ofstream(path(host.name + ".json")) << settings.dump(2);
    runHost(host);
    const auto hasExited = [&] { return host.process->waitForExit(Millis(0)); };
    waitFor([&] { return hasExited() || call(host.admin, "GET", "/healthz").status == 200; }, kStartTimeout);
    return !hasExited();
}

void Site::runHost(SiteHost& host)
{
    host.process = std::make_unique<Process>(
        std::vector<std::string> { m_build + "/pistachiospurd", "--settings=" + path(host.name + ".json") },
        path(host.name + ".log"), false);
}

void Site::restart(SiteHost& host)
{
    host.process->kill();
    runHost(host);
}

SiteUpstream& Site::startUpstream(const UpstreamName& name, const DataCentreName& dataCentre, int runMs)
{
    SiteUpstream& upstream = m_upstreams[name];
    upstream.name = name;
    upstream.dataCentre = dataCentre;
    m_runMs[name] = runMs;
    runUpstream(upstream, 0);
    return upstream;
}

void Site::runUpstream(SiteUpstream& upstream, std::uint16_t port)
{
    upstream.process = std::make_unique<Process>(
        std::vector<std::string> { m_build + "/standin-upstream", "--name=" + upstream.name,
            "--port=" + std::to_string(port), "--run_ms=" + std::to_string(m_runMs[upstream.name]),
            "--journal=" + path(upstream.name + ".journal") },
        path(upstream.name + ".log"), true);
    upstream.endpoint
        = { kAnyLoopbackPort.address, static_cast<std::uint16_t>(std::stoi(upstream.process->firstLine())) };
}

void Site::restart(SiteUpstream& upstream)
{
    upstream.process->kill();
    runUpstream(upstream, upstream.endpoint.port);
}

void Site::setStoreMode(const std::string& mode, int delayMs)
{
    call(m_storeEndpoint, "POST", "/control", {}, Json { { "mode", mode }, { "delay_ms", delayMs } }.dump());
}

Json Site::storeStats() { return call(m_storeEndpoint, "GET", "/control").json(); }

CallResult Site::call(const Endpoint& to, const std::string& method, const std::string& target,
    const HeaderList& headers, const std::string& body, Millis timeout)
{
    HttpCall call;
    call.method = method;
    call.url = "http://" + to.text() + target;
    call.headers = headers;
    call.body = body;
    call.timeout = timeout;
    call.freshConnection = true;
    const Millis startedAt = monotonicNow();
    CallResult result;
    m_http.start(std::move(call), [&](HttpOutcome outcome) {
        if (auto* answer = std::get_if<HttpAnswer>(&outcome))
            result = { answer->status, std::move(answer->headers), std::move(answer->body), {} };
        breakLoop();
    });
    runLoop();
    result.elapsed = monotonicNow() - startedAt;
    return result;
}

CallResult Site::request(const SiteHost& host, const std::string& method, const std::string& target,
    const std::string& idempotencyKey, const HeaderList& more, Millis timeout)
{
    HeaderList headers = more;
    if (!idempotencyKey.empty()) {
        headers.emplace_back("Idempotency-Key", idempotencyKey);
        headers.emplace_back("Idempotency-Key-Time", std::to_string(wallNow().count()));
    }
    return call(host.callers, method, target, headers, method == "GET" ? "" : "order", timeout);
}

Json Site::status(const SiteHost& host) { return call(host.admin, "GET", "/status").json(); }

int Site::runTool(std::vector<std::string> arguments, std::string& out)
{
    const std::string outPath = path("tool.out");
    std::filesystem::remove(outPath);
    std::string admins;
    for (const auto& [name, host] : m_hosts)
        admins += (admins.empty() ? "" : ",") + host.admin.text();
    arguments.insert(arguments.begin(), m_build + "/pistachiospur");
    arguments.push_back("--store=" + m_storeEndpoint.text());
    arguments.push_back("--hosts=" + admins);
    Process process(arguments, outPath, false);
    const bool exited = process.waitForExit(kToolTimeout);
    std::ifstream file(outPath);
    out.assign(std::istreambuf_iterator<char>(file), {});
    return exited ? process.exitStatus() : -1;
}

bool Site::publish(const std::map<ServiceName, std::vector<UpstreamName>>& services, std::string& out)
{
    Json objects = Json::array();
    const std::tuple<const char*, int, int, double> ranks[]
        = { { "urgent", 0, 500, 0.999 }, { "standard", 1, 2000, 0.99 }, { "preview", 2, 300, 0.95 } };
    for (const auto& [name, order, target, objective] : ranks)
        objects.push_back({ { "kind", "rank" }, { "name", name }, { "order", order }, { "target_ms", target },
            { "objective", objective }, { "share", 0.1 } });
    for (const auto& [service, upstreams] : services) {
        const Json routes = { { { "method", "GET" }, { "path", "/" }, { "rank", "preview" }, { "idempotent", true } },
            { { "method", "POST" }, { "path", "/order" }, { "rank", "standard" } },
            { { "method", "POST" }, { "path", "/" }, { "rank", "urgent" } } };
        objects.push_back({ { "kind", "service" }, { "name", service }, { "slots", 512 }, { "routes", routes } });
        objects.push_back(
            { { "kind", "placement" }, { "name", service }, { "service", service }, { "upstreams", upstreams } });
        for (const auto& it : upstreams) {
            const SiteUpstream& upstream = m_upstreams.at(it);
            objects.push_back({ { "kind", "upstream" }, { "name", it }, { "data_centre", upstream.dataCentre },
                { "endpoint", upstream.endpoint.text() }, { "slots", 2 } });
        }
    }
    std::ofstream(path("site.json")) << Json { { "objects", objects } }.dump(2);
    return runTool({ "apply", path("site.json") }, out) == 0;
}

bool Site::waitFor(const std::function<bool()>& condition, Millis timeout)
{
    const Millis until = monotonicNow() + timeout;
    while (!condition()) {
        if (monotonicNow() >= until)
            return false;
        runLoopFor(Millis(20));
    }
    return true;
}

bool Site::isRunning(const HostName& name) const
{
    const auto it = m_hosts.find(name);
    return it != m_hosts.end() && it->second.process && it->second.process->isRunning();
}

bool Site::isSettled()
{
    std::map<UpstreamName, bool> settledUpstreams;
    const auto running
        = std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto& it) { return isRunning(it.first); });
    for (const auto& [name, host] : m_hosts) {
        if (!isRunning(name))
            continue;
        const Json page = status(host);
        if (!page.is_object() || page["upstreams"].empty() || page["moving_slots"] != 0)
            return false;
        const auto alive = std::count_if(
            page["hosts"].begin(), page["hosts"].end(), [](const Json& it) { return it["state"] == "alive"; });
        if (alive != running)
            return false;
        for (const auto& it : page["upstreams"]) {
            const HostName first = it["renewers"][0];
            const bool preferred = first == name || !isRunning(first);
            settledUpstreams[it["upstream"]] |= it["coordinated_here"].get<bool>() && preferred && it["slots"] != 0;
        }
    }
    return !settledUpstreams.empty()
        && std::all_of(settledUpstreams.begin(), settledUpstreams.end(), [](const auto& it) { return it.second; });
}

std::vector<Json> Site::journal() const
{
    std::vector<Json> lines;
    for (const auto& [name, upstream] : m_upstreams) {
        std::ifstream file(path(name + ".journal"));
        for (std::string line; std::getline(file, line);)
            lines.push_back(Json::parse(line, nullptr, false));
    }
    return lines;
}

} // namespace pistachiospur
