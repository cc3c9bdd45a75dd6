#include "review/standins/deployment.h"

#include "io/socket.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iomanip>
#include <sys/socket.h>
#include <unistd.h>

namespace pistachiospur::review {

namespace {

constexpr const char* kProgram = "target/pistachiospurd"; // the command of the deploy file
constexpr Millis kReadyPoll { 20 };

// The settings of a host, as the deploy file's template fills them in from the bounds of the small sites.
nlohmann::json settingsOf(const DeployedHost& host, const Endpoint& peers)
{
    return { { "platform", "kv" }, { "host", host.name }, { "data_centre", "z1" }, { "callers", host.callers.text() },
        { "ready", host.ready.text() }, { "peers", peers.text() }, { "admin", host.admin.text() },
        { "store", host.store.text() }, { "processor", 0.2 }, { "first_start", host.isFirstStart },
        { "limits",
            { { "greatest_hold_ms", 10000 }, { "grace_s", 6 }, { "drain_ms", 2000 }, { "change_ms", 2000 },
                { "upstream_heartbeat_ms", 1500 }, { "retry_ratio", 0.2 }, { "retry_window_s", 10 },
                { "memory_mb", 260 }, { "descriptors", 4100 }, { "retry_slack", 56 } } } };
}

} // namespace

Endpoint freeAddress()
{
    const int fd = listenOn({ "127.0.0.1", 0 });
    const Endpoint endpoint { "127.0.0.1", boundPort(fd) };
    ::close(fd);
    return endpoint;
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

std::string ClientAnswer::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

Deployment::Deployment(std::string folder, const std::string& recordPath)
    : m_folder(std::move(folder))
    , m_record(recordPath)
    , m_startedAt(monotonicNow())
{
    store.namesEra = false; // our pages know no eras of the store
}

DeployedHost& Deployment::addHost(const std::string& name)
{
    auto host = std::make_unique<DeployedHost>();
    host->name = name;
    host->settingsPath = m_folder + "/" + name + ".json";
    host->callers = freeAddress();
    host->ready = freeAddress();
    host->admin = freeAddress();
    host->store = store.endpoint();
    std::ofstream(host->settingsPath) << settingsOf(*host, freeAddress()).dump(1);
    m_hosts.push_back(std::move(host));
    return *m_hosts.back();
}

void Deployment::start(DeployedHost& host)
{
    if (!host.isFirstStart) {
        auto settings = nlohmann::json::parse(std::ifstream(host.settingsPath));
        settings["first_start"] = false;
        std::ofstream(host.settingsPath) << settings.dump(1);
    }
    host.isFirstStart = false;
    setenv("PISTACHIOSPUR_SETTINGS", host.settingsPath.c_str(), 1);
    host.process
        = std::make_unique<Process>(std::vector<std::string> { kProgram }, m_folder + "/" + host.name + ".log", false);
    note("host " + host.name + " started");
}

void Deployment::kill(DeployedHost& host)
{
    host.process->kill();
    note("host " + host.name + " killed");
}

bool Deployment::waitUntilReady(const DeployedHost& host, Millis timeout)
{
    const Millis end = monotonicNow() + timeout;
    while (monotonicNow() < end) {
        HttpCall call;
        call.method = "GET";
        call.endpoint = host.ready;
        call.target = "/ready";
        call.freshConnection = true;
        auto status = std::make_shared<int>(-1);
        m_client.start(std::move(call), [status](const HttpOutcome& outcome) {
            const auto* answer = std::get_if<HttpAnswer>(&outcome);
            *status = answer ? answer->status : 0;
        });
        runUntil([&] { return *status >= 0; }, Millis(2000));
        if (*status == 200) {
            note("host " + host.name + " ready");
            return true;
        }
        runFor(kReadyPoll);
    }
    return false;
}

ClientAnswerPtr Deployment::send(std::size_t host, const std::string& method, const std::string& target,
    const std::string& id, const HeaderList& headers, const std::string& body, Millis timeout)
{
    auto result = std::make_shared<ClientAnswer>();
    result->id = id;
    result->target = target;
    result->host = host;
    HttpCall call;
    call.method = method;
    call.endpoint = m_hosts.at(host)->callers;
    call.target = target;
    call.headers = headers;
    call.headers.emplace_back("Request-Id", id);
    call.body = body;
    call.timeout = timeout;
    call.freshConnection = true;
    note("sent " + id + " " + method + " " + target + " to " + m_hosts[host]->name);
    m_client.start(std::move(call), [this, result](HttpOutcome outcome) {
        if (auto* answer = std::get_if<HttpAnswer>(&outcome)) {
            result->status = answer->status;
            result->headers = std::move(answer->headers);
            result->body = std::move(answer->body);
        }
        result->done = true;
        note("answer to " + result->id + ": status " + std::to_string(result->status) + ", Request-Id "
            + result->header("request-id") + ", Server-Seal " + result->header("server-seal") + ", body \""
            + result->body.substr(0, 80) + "\"");
    });
    return result;
}

std::string Deployment::exchange(std::size_t host, const std::string& bytes, Millis time)
{
    const int fd = connectTo(m_hosts.at(host)->callers);
    std::string received, left = bytes;
    std::string buf(64u << 10, '\0');
    SocketWatcher watcher([&](int events) {
        if (events & EV_WRITE) {
            const ssize_t n = ::send(fd, left.data(), left.size(), MSG_NOSIGNAL);
            left.erase(0, n > 0 ? static_cast<std::size_t>(n) : 0);
        }
        const ssize_t n = events & EV_READ ? recv(fd, buf.data(), buf.size(), MSG_DONTWAIT) : -1;
        if (n > 0)
            received.append(buf, 0, static_cast<std::size_t>(n));
        watcher.watch(fd, left.empty() ? (n == 0 ? 0 : EV_READ) : EV_READ | EV_WRITE);
    });
    watcher.watch(fd, EV_READ | EV_WRITE);
    runFor(time);
    watcher.stop();
    ::close(fd);
    return received;
}

bool Deployment::runUntil(const std::function<bool()>& condition, Millis timeout)
{
    Timer wake([] {});
    wake.every(Millis(5));
    const Millis end = monotonicNow() + timeout;
    while (!condition() && monotonicNow() < end)
        ev_run(defaultLoop(), EVRUN_ONCE);
    return condition();
}

void Deployment::runFor(Millis time)
{
    runUntil([] { return false; }, time);
}

void Deployment::note(const std::string& line)
{
    m_record << std::setw(7) << (monotonicNow() - m_startedAt).count() << " ms  " << line << std::endl;
}

} // namespace pistachiospur::review
