#include "review/standins/deployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

// A process is killed and started again while another one stands still. Orders that clients send to its new life are
// refused with the promise that they do not run, and run.
namespace pistachiospur::review {

namespace {

using Json = nlohmann::json;

constexpr int kUpstreams = 6; // of the keyed service
constexpr int kRequests = 24; // of each life
constexpr Millis kRunTime { 350 }; // of an order
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
        const std::string id = life + std::to_string(n);
        sent.push_back(site.send(0, "POST", "/orders/" + id, id,
            { { "Host", "a.example" }, { "Deadline-Ms", std::to_string(kClientsDeadline.count()) },
                { "Shard-Key", std::to_string(key) } },
            "order " + id));
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
        for (std::uint32_t key = 0; key < 65536; key += 512) {
            if (std::none_of(upstreams.begin(), upstreams.end(), [&](const auto& it) { return it->holds(key); }))
                return false;
        }
        return true;
    };
    if (!site.runUntil(isGranted, Millis(20000)))
        return kCouldNotRun;
    site.runFor(Millis(1000));

    auto sent = sendOrders(site, "first-");
    site.runFor(Millis(40));
    if (hasTrouble()) {
        DeployedHost& killed = *site.hosts()[0];
        DeployedHost& stopped = *site.hosts()[1];
        stopped.process->signal(SIGSTOP);
        site.note("host " + stopped.name + " stands still");
        site.kill(killed);
        site.runFor(Millis(100));
        site.start(killed);
        if (!site.waitUntilReady(killed))
            return kCouldNotRun;
    }
    for (const auto& it : sendOrders(site, "second-"))
        sent.push_back(it);
    if (hasTrouble()) {
        site.runFor(Millis(60));
        site.hosts()[1]->process->signal(SIGCONT);
        site.note("host " + site.hosts()[1]->name + " goes on");
    }
    site.runUntil(
        [&] { return std::all_of(sent.begin(), sent.end(), [](const auto& it) { return it->done; }); }, Millis(10000));
    site.runFor(Millis(4000)); // until no order can run any more

    int served = 0, broken = 0;
    for (const auto& it : sent) {
        int runs = 0;
        for (const auto& upstream : upstreams)
            runs += static_cast<int>(std::count_if(upstream->received.begin(), upstream->received.end(),
                [&](const auto& ran) { return ran.id == it->id; }));
        served += it->status == 200;
        const bool isPromise = it->status == 503 || it->status == 429;
        broken += isPromise && runs > 0;
        site.note(it->id + ": status " + std::to_string(it->status) + ", ran " + std::to_string(runs) + " times"
            + (isPromise && runs > 0 ? ", REFUSED BUT RAN: " + it->body : ""));
    }
    site.note(std::to_string(served) + " answered with success, " + std::to_string(broken) + " refused that ran");
    if (served == 0)
        return kCouldNotRun;
    return broken > 0 ? kBroken : kHeld;
}

} // namespace

} // namespace pistachiospur::review

int main(int, char** argv) { return pistachiospur::review::run(argv[1], argv[2]); }
