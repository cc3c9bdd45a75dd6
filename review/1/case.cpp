#include "review/standins/deployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// A process is killed soon after its start and started again. Clients' requests to its new life get the answers of the
// requests of its life before.
namespace pistachiospur::review {

namespace {

using Json = nlohmann::json;

constexpr int kUpstreams = 6; // of the keyed service
constexpr int kRequests = 12; // of each life
constexpr Millis kRunTime { 350 }; // of an order
constexpr Millis kRestartDelay { 100 };
constexpr Millis kClientsDeadline { 4000 };

std::string configuration()
{
    const Json route
        = { { "name", "orders" }, { "path-prefix", "/orders/" }, { "route-type", "unsafe" }, { "timeout-ms", 4000 },
              { "target-latency-ms", 2500 }, { "priority", 1 }, { "max-attempts", 2 }, { "service", "keyed" } };
    return Json {
        { "version", "00000001" }, { "services", { { { "name", "keyed" }, { "sharded", true } } } },
        { "limits",
            { { "max-header-bytes", 16384 }, { "max-body-bytes", 4000000 }, { "header-timeout-ms", 3000 },
                { "idle-timeout-ms", 15000 } } },
        { "virtual-hosts", { { { "hostname", "a.example" }, { "path-matches", { route } } } } }
    }.dump();
}

// Orders for keys spread over all upstreams, so that the other host coordinates some of them.
std::vector<ClientAnswerPtr> sendOrders(Deployment& site, const std::string& life)
{
    std::vector<ClientAnswerPtr> sent;
    for (int n = 0; n < kRequests; ++n) {
        const int key = (2 * n + 1) * 65536 / (2 * kRequests);
        sent.push_back(site.send(0, "POST", "/orders/" + life + std::to_string(n), life + std::to_string(n),
            { { "Host", "a.example" }, { "Deadline-Ms", std::to_string(kClientsDeadline.count()) },
                { "Shard-Key", std::to_string(key) } },
            "order " + life + std::to_string(n)));
    }
    return sent;
}

int run(const std::string& folder, const std::string& record)
{
    Deployment site(folder, record);
    site.store.put("op/config", configuration());
    std::vector<std::unique_ptr<standin::RangeUpstream>> upstreams;
    for (int n = 0; n < kUpstreams; ++n) {
        upstreams.push_back(std::make_unique<standin::RangeUpstream>("keyed", "k" + std::to_string(n), 1000, true));
        upstreams.back()->runTime = kRunTime;
        site.store.put("servers/" + upstreams.back()->name(), upstreams.back()->entry());
    }
    for (const char* name : { "h0", "h1" })
        site.addHost(name);
    for (auto& it : site.hosts())
        site.start(*it);
    for (auto& it : site.hosts()) {
        if (!site.waitUntilReady(*it))
            return kCouldNotRun;
    }
    const auto isGranted = [&] {
        for (std::uint32_t key = 0; key < 65536; key += 1024) {
            bool held = false;
            for (const auto& it : upstreams)
                held |= it->holds(key);
            if (!held)
                return false;
        }
        return true;
    };
    if (!site.runUntil(isGranted, Millis(20000)))
        return kCouldNotRun;
    site.runFor(Millis(1000));

    auto sent = sendOrders(site, "first-");
    site.runFor(Millis(50));
    if (hasTrouble()) {
        DeployedHost& host = *site.hosts()[0];
        site.kill(host);
        site.runFor(kRestartDelay);
        site.start(host);
        if (!site.waitUntilReady(host))
            return kCouldNotRun;
    }
    for (const auto& it : sendOrders(site, "second-"))
        sent.push_back(it);
    site.runUntil(
        [&] { return std::all_of(sent.begin(), sent.end(), [](const auto& it) { return it->done; }); }, Millis(10000));

    int served = 0, foreign = 0;
    for (const auto& it : upstreams) {
        for (const auto& ran : it->received)
            site.note("ran " + ran.id + " at " + it->name());
    }
    for (const auto& it : sent) {
        served += it->status == 200;
        const bool isForeign = it->status == 200
            && (it->header("request-id") != it->id || it->header("server-seal") != "seal-" + it->id);
        foreign += isForeign;
        if (isForeign)
            site.note("FOREIGN: " + it->id + " got the answer to " + it->header("request-id"));
    }
    site.note(std::to_string(served) + " answered with success, " + std::to_string(foreign) + " of another request");
    if (served == 0)
        return kCouldNotRun;
    return foreign > 0 ? kBroken : kHeld;
}

} // namespace

} // namespace pistachiospur::review

int main(int, char** argv) { return pistachiospur::review::run(argv[1], argv[2]); }
