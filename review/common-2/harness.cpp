#include "harness.h"

#include "io/socket.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using Json = nlohmann::json;

namespace {

constexpr Millis kHeartbeat { 870 };
const std::string kCallerHost = "studio.example";

std::string headerOf(const HttpRequest& request, const char* name)
{
    const auto it = request.headers.find(name);
    return it == request.headers.end() ? std::string() : it->second;
}

// An address whose port stays bound, so that no outgoing connection takes it.
Endpoint reserve()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("no free port");
    return { "127.0.0.1", boundPort(fd) };
}

} // namespace

bool hasTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

std::string number(std::int64_t n) { return std::to_string(n); }

// --- Record ---

Record::Record(const std::string& path)
    : m_out(path, std::ios::trunc)
    , m_startedAt(monotonicNow())
{
}

void Record::line(const std::string& text)
{
    const double at = static_cast<double>((monotonicNow() - m_startedAt).count()) / 1000;
    m_out << std::fixed << std::setprecision(3) << std::setw(8) << at << "  " << text << std::endl;
}

// --- Backend ---

Backend::Backend(
    Record& record, std::string service, std::string name, std::string zone, bool keyed, std::uint16_t port)
    : born(wallNow().count())
    , m_record(record)
    , m_service(std::move(service))
    , m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_keyed(keyed)
    , m_server({ "127.0.0.1", port }, 64u << 20,
          [this](const HttpRequest& request, const Responder& responder) { onCall(request, responder); })
{
}

std::string Backend::entry(const std::string& state)
{
    return Json {
        { "service", m_service }, { "address", endpoint().text() }, { "zone", m_zone }, { "version", "v1" },
        { "slots", slots }, { "state", state }, { "warmup-left-ms", 0 }, { "sequence", ++m_sequence }, { "born", born }
    }.dump();
}

bool Backend::holds(std::uint32_t key) const
{
    const Millis now = monotonicNow();
    return std::any_of(m_holds.begin(), m_holds.end(),
        [&](const Hold& it) { return it.first <= key && key <= it.last && now < it.expiresAt; });
}

bool Backend::holdsAny() const
{
    const Millis now = monotonicNow();
    return std::any_of(m_holds.begin(), m_holds.end(), [now](const Hold& it) { return now < it.expiresAt; });
}

std::size_t Backend::runCount(const std::string& id) const
{
    return static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [&](const Run& it) { return it.id == id; }));
}

void Backend::onCall(const HttpRequest& request, const Responder& responder)
{
    const std::string id = headerOf(request, "request-id");
    const std::string target = headerOf(request, "target-instance");
    if (!target.empty() && target != m_name) {
        m_record.line(m_name + " is not " + target + ": 421 to " + request.target + " " + id);
        return responder.respond({ 421, { { "Instance-Id", m_name }, { "Request-Id", id } }, "" });
    }
    if (request.path == "/health")
        return responder.respond({ 200, { { "Instance-Id", m_name }, { "Request-Id", id } }, "" });
    if (request.path == "/grant")
        return onGrant(request, responder);
    if (request.path == "/release")
        return onRelease(request, responder);
    onRequest(request, responder);
}

// Takes keys out of all holds.
void Backend::take(std::uint32_t first, std::uint32_t last)
{
    std::vector<Hold> left;
    for (const auto& it : m_holds) {
        if (it.last < first || last < it.first) {
            left.push_back(it);
            continue;
        }
        if (it.first < first)
            left.push_back({ it.first, first - 1, it.fence, it.expiresAt });
        if (last < it.last)
            left.push_back({ last + 1, it.last, it.fence, it.expiresAt });
    }
    m_holds = std::move(left);
}

void Backend::onGrant(const HttpRequest& request, const Responder& responder)
{
    const Json body = Json::parse(request.body);
    const Hold hold { body["from"], body["to"], body["fence"],
        monotonicNow() + Millis(body["hold-ms"].get<std::int64_t>()) };
    const std::string id = headerOf(request, "request-id");
    const std::string what = m_name + " grant " + number(hold.first) + "-" + number(hold.last) + " fence "
        + std::to_string(hold.fence) + " for " + number(body["hold-ms"].get<std::int64_t>()) + " ms";
    const bool isOld = std::any_of(m_seen.begin(), m_seen.end(), [&](const Hold& it) {
        return it.first <= hold.last && hold.first <= it.last && it.fence > hold.fence;
    });
    m_record.line(what + (isOld ? ": 409" : ": 200"));
    if (isOld)
        return responder.respond({ 409, { { "Request-Id", id } }, "{}" });
    take(hold.first, hold.last);
    m_holds.push_back(hold);
    const auto isCovered
        = [&](const Hold& it) { return hold.first <= it.first && it.last <= hold.last && it.fence <= hold.fence; };
    m_seen.erase(std::remove_if(m_seen.begin(), m_seen.end(), isCovered), m_seen.end());
    m_seen.push_back(hold);
    responder.respond({ 200, { { "Request-Id", id }, { "Content-Type", "application/json" } }, "{}" });
}

void Backend::onRelease(const HttpRequest& request, const Responder& responder)
{
    const Json body = Json::parse(request.body);
    const std::uint32_t first = body["from"], last = body["to"];
    m_record.line(m_name + " release " + number(first) + "-" + number(last));
    take(first, last);
    m_releases.push_back({ first, last, responder, headerOf(request, "request-id") });
    answerReleases();
}

// Answers the releases on whose keys no work is left.
void Backend::answerReleases()
{
    std::vector<Release> left;
    for (const auto& it : std::exchange(m_releases, {})) {
        const bool atWork = std::any_of(runs.begin(), runs.end(),
            [&](const Run& run) { return !run.ended && it.first <= run.key && run.key <= it.last; });
        if (atWork)
            left.push_back(it);
        else
            it.responder.respond({ 200, { { "Request-Id", it.id }, { "Handover", "from-" + m_name } }, "{}" });
    }
    m_releases.insert(m_releases.end(), left.begin(), left.end());
}

void Backend::onRequest(const HttpRequest& request, const Responder& responder)
{
    const std::string id = headerOf(request, "request-id");
    const auto key = static_cast<std::uint32_t>(std::strtoul(headerOf(request, "shard-key").c_str(), nullptr, 10));
    if (m_keyed && !holds(key)) {
        m_record.line(m_name + " does not hold " + number(key) + ": 421 to " + id);
        return responder.respond(
            { 421, { { "Not-Executed", "1" }, { "Instance-Id", m_name }, { "Request-Id", id } }, "" });
    }
    if (m_running < slots)
        return begin(request, responder);
    if (m_waiting.size() >= queue) {
        m_record.line(m_name + " is full: 503 to " + id);
        return responder.respond({ 503, { { "Not-Executed", "1" }, { "Request-Id", id } }, "" });
    }
    m_waiting.push_back({ request, responder });
}

void Backend::begin(const HttpRequest& request, const Responder& responder)
{
    Run run { headerOf(request, "request-id"), request.method, request.target, request.body,
        static_cast<std::uint32_t>(std::strtoul(headerOf(request, "shard-key").c_str(), nullptr, 10)), monotonicNow(),
        false };
    m_record.line(m_name + " runs " + run.id + " (" + run.method + " " + run.target + ", key " + number(run.key) + ")");
    ++m_running;
    const std::size_t n = runs.size();
    runs.push_back(std::move(run));
    m_timers.push_back(std::make_unique<Timer>([this, n, responder] { finish(n, responder); }));
    m_timers.back()->once(workTime);
}

void Backend::finish(std::size_t n, const Responder& responder)
{
    Run& run = runs[n];
    run.ended = true;
    --m_running;
    std::optional<HttpResponse> response = special ? special(run) : std::nullopt;
    if (!response)
        response = HttpResponse { 200, { { "Request-Id", run.id }, { "Server-Seal", "seal-" + run.id } },
            "from " + m_name + " for " + run.id };
    m_record.line(m_name + " ends " + run.id + ": " + number(response->status));
    responder.respond(std::move(*response));
    answerReleases();
    if (m_waiting.empty())
        return;
    const Waiting next = m_waiting.front();
    m_waiting.erase(m_waiting.begin());
    onRequest(next.request, next.responder);
}

// --- Platform ---

Platform::Platform(const std::string& recordPath)
    : record(recordPath)
    , m_heartbeatTimer([this] { heartbeat(); })
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    m_folder = pattern;
    store.namesEra = false;
    m_heartbeatTimer.every(kHeartbeat);
}

Platform::~Platform()
{
    for (auto& it : hosts) {
        if (it.process)
            it.process->kill();
    }
    if (std::getenv("KEEP"))
        record.line("logs in " + m_folder);
    else
        std::filesystem::remove_all(m_folder);
}

void Platform::heartbeat()
{
    m_heartbeatAt = monotonicNow();
    for (auto& it : backends) {
        if (it->writesEntries)
            store.put("servers/" + it->name(), it->entry());
    }
}

void Platform::configure(
    unsigned version, const std::vector<ServiceSpec>& services, const std::vector<RouteSpec>& routes)
{
    Json serviceList = Json::array(), routeList = Json::array();
    for (const auto& it : services)
        serviceList.push_back({ { "name", it.name }, { "health-path", "/health" }, { "max-conns", 130 },
            { "sharded", it.sharded } });
    for (const auto& it : routes)
        routeList.push_back({ { "name", it.name }, { "path-prefix", it.prefix }, { "route-type", it.type },
            { "timeout-ms", it.timeoutMs }, { "target-latency-ms", 1200 }, { "priority", 1 }, { "max-attempts", 2 },
            { "service", it.service } });
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", version);
    const Json configuration = { { "version", digits }, { "services", serviceList },
        { "limits",
            { { "max-header-bytes", 16384 }, { "max-body-bytes", 67108864 }, { "header-timeout-ms", 3000 },
                { "idle-timeout-ms", 15000 } } },
        { "virtual-hosts", { { { "hostname", kCallerHost }, { "path-matches", routeList } } } } };
    record.line("configuration " + std::string(digits));
    store.put("op/config", configuration.dump());
}

Backend& Platform::addBackend(
    const std::string& service, const std::string& name, const std::string& zone, bool keyed)
{
    backends.push_back(std::make_unique<Backend>(record, service, name, zone, keyed));
    store.put("servers/" + name, backends.back()->entry());
    return *backends.back();
}

Host& Platform::addHost(const std::string& name, const std::string& zone, std::optional<Endpoint> storeAddress)
{
    Host host;
    host.name = name;
    host.zone = zone;
    host.callers = reserve();
    host.ready = reserve();
    host.peers = reserve();
    host.admin = reserve();
    host.store = storeAddress.value_or(store.endpoint());
    hosts.push_back(std::move(host));
    start(hosts.back(), true);
    return hosts.back();
}

// The settings are those that the template of the deploy file gives on a small deployment.
void Platform::start(Host& host, bool firstStart)
{
    const Json settings = { { "platform", "kv" }, { "host", host.name }, { "data_centre", host.zone },
        { "callers", host.callers.text() }, { "ready", host.ready.text() }, { "peers", host.peers.text() },
        { "admin", host.admin.text() }, { "store", host.store.text() }, { "processor", 0.2 },
        { "first_start", firstStart },
        { "limits",
            { { "greatest_hold_ms", 10000 }, { "grace_s", 6 }, { "drain_ms", 2000 }, { "change_ms", 2000 },
                { "upstream_heartbeat_ms", kHeartbeat.count() }, { "retry_ratio", 0.2 }, { "retry_window_s", 10 },
                { "memory_mb", 260 }, { "descriptors", 4100 }, { "retry_slack", 62 } } } };
    const std::string path = m_folder + "/" + host.name + ".json";
    std::ofstream(path, std::ios::trunc) << settings.dump(1);
    setenv("PISTACHIOSPUR_SETTINGS", path.c_str(), 1);
    host.process = std::make_unique<Process>(
        std::vector<std::string> { "target/pistachiospurd" }, m_folder + "/" + host.name + ".log", false);
    record.line("start " + host.name);
}

void Platform::kill(Host& host, int signal)
{
    record.line("signal " + number(signal) + " to " + host.name);
    host.process->signal(signal);
}

bool Platform::runUntil(const std::function<bool()>& condition, Millis timeout)
{
    Timer wake([] {});
    wake.every(Millis(2));
    const Millis end = monotonicNow() + timeout;
    while (!condition() && monotonicNow() < end)
        ev_run(defaultLoop(), EVRUN_ONCE);
    return condition();
}

void Platform::runFor(Millis time)
{
    runUntil([] { return false; }, time);
}

HttpCall Platform::call(const Host& host, const std::string& method, const std::string& target, const std::string& id,
    std::uint32_t key, int deadlineMs) const
{
    HttpCall call;
    call.method = method;
    call.endpoint = host.callers;
    call.target = target;
    call.headers = { { "Host", kCallerHost }, { "Request-Id", id }, { "Deadline-Ms", number(deadlineMs) },
        { "Shard-Key", number(key) } };
    call.timeout = Millis(deadlineMs);
    call.freshConnection = true;
    return call;
}

HttpAnswer Platform::send(
    const Host& host, const std::string& method, const std::string& target, const std::string& id, std::uint32_t key)
{
    std::optional<HttpOutcome> outcome;
    client.start(call(host, method, target, id, key), [&](HttpOutcome it) { outcome = std::move(it); });
    runUntil([&] { return outcome.has_value(); }, Millis(5000));
    const auto* answer = outcome ? std::get_if<HttpAnswer>(&*outcome) : nullptr;
    return answer ? *answer : HttpAnswer {};
}

bool Platform::waitUntilServed(const std::string& target, const std::vector<std::uint32_t>& keys)
{
    const Millis end = monotonicNow() + Millis(25000);
    unsigned n = 0;
    for (const auto& host : hosts) {
        for (const auto key : keys) {
            while (send(host, "GET", target, "warm-" + number(n++), key).status != 200) {
                if (monotonicNow() >= end)
                    return false;
                runFor(Millis(50));
            }
        }
    }
    return true;
}

std::size_t Platform::runCount(const std::string& id) const
{
    std::size_t n = 0;
    for (const auto& it : backends)
        n += it->runCount(id);
    return n;
}

std::vector<Backend*> Platform::holders(const std::string& service, std::uint32_t key)
{
    std::vector<Backend*> found;
    for (auto& it : backends) {
        if (it->service() == service && it->holds(key))
            found.push_back(it.get());
    }
    return found;
}

} // namespace review
