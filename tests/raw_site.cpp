#include "raw_site.h"

#include "io/socket.h"
#include "platform/adapter.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pistachiospur {

using Json = nlohmann::json;

namespace {

constexpr std::uint32_t kSlot = 40000;
constexpr unsigned kSlots = 500; // of each upstream
constexpr Millis kServedTimeout { 20000 };

std::string configuration()
{
    const auto route = [](const char* name, const char* at, const char* kind, const char* service) {
        return Json { { "name", name }, { "path-prefix", at }, { "route-type", kind }, { "timeout-ms", 3000 },
            { "target-latency-ms", 2000 }, { "priority", 1 }, { "max-attempts", 2 }, { "service", service } };
    };
    return Json {
        { "version", "00000001" },
        { "services", { { { "name", "keyed" }, { "sharded", true } }, { { "name", "pool" } } } },
        { "limits",
            { { "max-header-bytes", 16384 }, { "max-body-bytes", 4000000 }, { "header-timeout-ms", 3000 },
                { "idle-timeout-ms", 15000 } } },
        { "virtual-hosts",
            { { { "hostname", "a.example" },
                { "path-matches",
                    { route("get", "/get/", "safe", "keyed"), route("post", "/unsafe/", "unsafe", "keyed"),
                        route("pooled", "/pool/", "unsafe", "pool"), route("safe", "/safe/", "safe", "pool") } } } } }
    }.dump();
}

std::string methodFor(const std::string& target)
{
    return target.find("/get/") == 0 || target.find("/safe/") == 0 ? "GET" : "POST";
}

} // namespace

RawSite::RawSite(int hosts, const standin::RawUpstream::Handler& handler, std::int64_t graceMs, unsigned keyedSlots,
    std::int64_t upstreamMb)
    : keyed("keyed", "k0", handler)
    , pooled("pool", "p0", handler)
{
    store.put("op/config", configuration());
    store.put("servers/k0", keyed.entry(keyedSlots));
    store.put("servers/p0", pooled.entry(kSlots));
    for (int n = 0; n < hosts; ++n)
        addHost(graceMs, upstreamMb);
}

RawSite::~RawSite()
{
    gateways.clear();
    std::for_each(m_reservedPorts.begin(), m_reservedPorts.end(), ::close);
}

// Reserves a port for a host: it stays bound, so that no outgoing connection takes it before the host listens there.
Endpoint RawSite::reservePort()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    m_reservedPorts.push_back(fd);
    return { "127.0.0.1", boundPort(fd) };
}

// Without `upstreamMb` the setting has its default.
void RawSite::addHost(std::int64_t graceMs, std::int64_t upstreamMb)
{
    GatewaySettings settings;
    const std::size_t host = m_settings.size();
    settings.host = "h" + std::to_string(host);
    settings.dataCentre = "z1";
    settings.callers = reservePort();
    settings.ready = reservePort();
    settings.peers = reservePort();
    settings.admin = reservePort();
    settings.store = store.endpoint();
    for (const auto& it : gatewayOptions())
        settings.limits.*it.field = it.defaultValue;
    settings.limits.graceMs = graceMs;
    if (upstreamMb > 0)
        settings.limits.upstreamMb = upstreamMb;
    callerEndpoints.push_back(settings.callers);
    peerEndpoints.push_back(settings.peers);
    m_settings.push_back(settings);
    gateways.emplace_back();
    start(host);
}

void RawSite::start(std::size_t host)
{
    gateways[host] = std::make_unique<Gateway>(m_settings[host], "", platform::kvPlatformAdapter());
    gateways[host]->start();
}

void RawSite::restart(std::size_t host)
{
    gateways[host].reset();
    start(host);
}

bool RawSite::runLoopUntil(const std::function<bool()>& condition, Millis timeout)
{
    Timer wake([] {});
    wake.every(Millis(5));
    const Millis end = monotonicNow() + timeout;
    while (!condition() && monotonicNow() < end)
        ev_run(defaultLoop(), EVRUN_ONCE);
    return condition();
}

void RawSite::runLoopFor(Millis time)
{
    runLoopUntil([] { return false; }, time);
}

HttpCall RawSite::call(const std::string& target, const std::string& id, std::size_t host) const
{
    HttpCall request;
    request.method = methodFor(target);
    request.endpoint = callerEndpoints[host];
    request.target = target;
    request.headers = { { "Host", "a.example" }, { "Request-Id", id }, { "Deadline-Ms", "2500" },
        { "Shard-Key", std::to_string(kSlot) } };
    request.timeout = Millis(5000);
    request.freshConnection = true;
    return request;
}

std::string RawSite::text(const std::string& target, const std::string& id, int deadlineMs)
{
    return methodFor(target) + " " + target + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nShard-Key: " + std::to_string(kSlot) + "\r\n\r\n";
}

HttpAnswer RawSite::send(const std::string& target, const std::string& id, std::size_t host)
{
    return sendCall(call(target, id, host));
}

HttpAnswer RawSite::sendCall(HttpCall request)
{
    std::optional<HttpOutcome> outcome;
    client.start(std::move(request), [&](HttpOutcome it) { outcome = std::move(it); });
    runLoopUntil([&] { return outcome.has_value(); });
    const auto* answer = outcome ? std::get_if<HttpAnswer>(&*outcome) : nullptr;
    return answer ? *answer : HttpAnswer {};
}

bool RawSite::waitUntilServed()
{
    const Millis end = monotonicNow() + kServedTimeout;
    for (std::size_t host = 0; host < gateways.size(); ++host) {
        for (const char* target : { "/get/x", "/safe/x" }) {
            while (send(target, "warm", host).status != 200) {
                if (monotonicNow() >= end)
                    return false;
            }
        }
    }
    return true;
}

CallerConnection::CallerConnection(const Endpoint& endpoint)
    : m_fd(connectTo(endpoint))
{
}

CallerConnection::~CallerConnection() { ::close(m_fd); }

void CallerConnection::write(const std::string& bytes)
{
    (void)!::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

const std::string& CallerConnection::read()
{
    char buf[65536];
    while (!m_ended) {
        const ssize_t n = ::recv(m_fd, buf, sizeof buf, MSG_DONTWAIT);
        if (n > 0) {
            m_received.append(buf, static_cast<std::size_t>(n));
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            break;
        m_ended = true;
        m_reset = n < 0;
    }
    return m_received;
}

} // namespace pistachiospur
