#pragma once

#include "gateway/gateway.h"
#include "io/socket.h"
#include "platform/adapter.h"
#include "standins/kv.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

// A site for tests of the gateway with its platform adapter over real sockets: a store, upstreams and hosts run in one
// process on one event loop. Each test waits until a condition holds; the time limit is far above the time needed.
namespace pistachiospur::standin {

using Json = nlohmann::json;

constexpr Millis kTestTimeout { 20000 };
constexpr std::uint32_t kSlot = 40000;

// Ports that stay bound, so that no outgoing connection takes one before its host listens there. A socket that only is
// bound does not keep another one from listening on its port, since both allow that (SO_REUSEADDR).
class ReservedPorts {
public:
    ReservedPorts() = default;
    ReservedPorts(const ReservedPorts&) = delete;
    ReservedPorts& operator=(const ReservedPorts&) = delete;
    ~ReservedPorts() { std::for_each(m_fds.begin(), m_fds.end(), ::close); }

    // Reserves a port of the system's choice, or the one that is given.
    Endpoint reserve(std::uint16_t port = 0)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int enabled = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        m_fds.push_back(fd);
        return { "127.0.0.1", boundPort(fd) };
    }

private:
    std::vector<int> m_fds;
};

inline std::string configuration(unsigned version, const std::string& prefix)
{
    const auto route = [&](const char* name, const std::string& at, const char* kind, const char* service) {
        return Json { { "name", name }, { "path-prefix", at }, { "route-type", kind }, { "timeout-ms", 3000 },
            { "target-latency-ms", 2000 }, { "priority", 1 }, { "max-attempts", 2 }, { "service", service } };
    };
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", version);
    return Json {
        { "version", digits }, { "services", { { { "name", "keyed" }, { "sharded", true } }, { { "name", "pool" } } } },
        { "limits",
            { { "max-header-bytes", 16384 }, { "max-body-bytes", 4000000 }, { "header-timeout-ms", 3000 },
                { "idle-timeout-ms", 15000 } } },
        { "virtual-hosts",
            { { { "hostname", "a.example" },
                { "path-matches",
                    { route("get", prefix, "safe", "keyed"), route("post", "/unsafe/", "unsafe", "keyed"),
                        route("pooled", "/pool/", "unsafe", "pool"), route("up", "/up/", "upload", "pool"),
                        route("strange", "/strange/", "a-kind-of-later-years", "pool") } } } } }
    }.dump();
}

// A site: a store, three keyed upstreams, one pooled upstream, and hosts.
struct Fixture {
    ReservedPorts ports;
    KvStandin store;
    std::vector<std::unique_ptr<RangeUpstream>> upstreams;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<Endpoint> callerEndpoints;
    std::vector<Endpoint> adminEndpoints;
    HttpClient client { 1u << 20 };
    std::function<void(GatewayLimits&)> adjustLimits; // of the hosts that are added from then on

    explicit Fixture(int hosts = 2)
    {
        store.put("op/config", configuration(1, "/get/"));
        for (int n = 0; n < 3; ++n)
            add("keyed", "k" + std::to_string(n));
        add("pool", "p0");
        for (int n = 0; n < hosts; ++n)
            addHost(n);
    }

    ~Fixture() { gateways.clear(); }

    RangeUpstream& add(const std::string& service, const std::string& name, std::int64_t startTime = 1000,
        const std::string& dataCentre = "z1")
    {
        upstreams.push_back(std::make_unique<RangeUpstream>(service, name, startTime, service == "keyed"));
        upstreams.back()->dataCentre = dataCentre;
        store.put("servers/" + name, upstreams.back()->entry());
        return *upstreams.back();
    }

    void addHost(int n, const PlatformAdapter& adapter = platform::kvPlatformAdapter(), const char* dataCentre = "z1",
        std::int64_t processorPercent = 100, const std::optional<Endpoint>& storeEndpoint = std::nullopt)
    {
        GatewaySettings settings;
        settings.host = "h" + std::to_string(n);
        settings.dataCentre = dataCentre;
        settings.callers = ports.reserve();
        settings.ready = ports.reserve();
        settings.peers = ports.reserve();
        settings.admin = ports.reserve();
        settings.store = storeEndpoint.value_or(store.endpoint());
        settings.processorPercent = processorPercent;
        for (const auto& it : gatewayOptions())
            settings.limits.*it.field = it.defaultValue;
        if (adjustLimits)
            adjustLimits(settings.limits);
        gateways.push_back(std::make_unique<Gateway>(settings, "", adapter));
        gateways.back()->start();
        callerEndpoints.push_back(settings.callers);
        adminEndpoints.push_back(settings.admin);
    }

    // Runs the event loop until the condition holds or the time-out has passed; returns whether it holds.
    bool runLoopUntil(const std::function<bool()>& condition, Millis timeout = kTestTimeout)
    {
        Timer wake([] {});
        wake.every(Millis(5));
        const Millis end = monotonicNow() + timeout;
        while (!condition() && monotonicNow() < end)
            ev_run(defaultLoop(), EVRUN_ONCE);
        return condition();
    }

    HttpCall call(const std::string& target, const std::string& id, std::size_t host = 0) const
    {
        HttpCall request;
        request.method = target.find("/get/") == 0 || target.find("/moved/") == 0 ? "GET" : "POST";
        request.endpoint = callerEndpoints[host];
        request.target = target;
        request.headers = { { "Host", "a.example" }, { "Request-Id", id }, { "Deadline-Ms", "2500" },
            { "Shard-Key", std::to_string(kSlot) } };
        request.timeout = Millis(5000);
        request.freshConnection = true;
        return request;
    }

    // Sends one request and waits for its answer; the status is 0 if there is none.
    HttpAnswer send(const std::string& target, const std::string& id, std::size_t host = 0)
    {
        return sendCall(call(target, id, host));
    }

    HttpAnswer sendCall(HttpCall request)
    {
        std::optional<HttpOutcome> outcome;
        client.start(std::move(request), [&](HttpOutcome it) { outcome = std::move(it); });
        runLoopUntil([&] { return outcome.has_value(); });
        const auto* answer = outcome ? std::get_if<HttpAnswer>(&*outcome) : nullptr;
        return answer ? *answer : HttpAnswer {};
    }

    // Repeats a request until the answer is 200, since the first grants take some time; false after the time-out.
    bool waitUntilServed(std::size_t host = 0)
    {
        const Millis end = monotonicNow() + kTestTimeout;
        while (monotonicNow() < end) {
            if (send("/get/x", "warm", host).status == 200)
                return true;
        }
        return false;
    }

    int holderCount(std::uint32_t slot) const
    {
        return static_cast<int>(
            std::count_if(upstreams.begin(), upstreams.end(), [slot](const auto& it) { return it->holds(slot); }));
    }

    RangeUpstream* holder(std::uint32_t slot)
    {
        for (auto& it : upstreams) {
            if (it->holds(slot))
                return it.get();
        }
        return nullptr;
    }

    std::size_t runCount(const std::string& id) const
    {
        std::size_t count = 0;
        for (const auto& upstream : upstreams) {
            for (const auto& it : upstream->received)
                count += it.id == id;
        }
        return count;
    }
};

} // namespace pistachiospur::standin
