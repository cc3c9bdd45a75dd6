// Measures real processes on loopback: the cost of an idle host at several numbers of hosts, and the cost of a routed
// request. Prints the tables of docs/CAPACITY.md and docs/MEASURES.md.
#include "standins/site.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <numeric>
#include <sstream>
#include <unistd.h>

namespace {

using namespace pistachiospur;

constexpr Millis kIdleTime { 10000 };
constexpr Millis kSettleTimeout { 30000 };
constexpr int kConcurrency = 8; // requests in flight

// User and system CPU time that a process has used.
double cpuSecondsOf(const Process& process)
{
    std::ifstream file("/proc/" + std::to_string(process.pid()) + "/stat");
    std::string word;
    double ticks = 0;
    // Fields 14 and 15 are utime and stime, see proc(5).
    for (int n = 1; n <= 15 && file >> word; ++n)
        ticks += n >= 14 ? std::stod(word) : 0;
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMegabytes(const Process& process)
{
    std::ifstream file("/proc/" + std::to_string(process.pid()) + "/statm");
    double total = 0, resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

// The sum of a metric over all its labels; 0 if the host does not report it.
double metricOf(Site& site, const SiteHost& host, const std::string& name)
{
    std::istringstream text(site.call(host.admin, "GET", "/metrics").body);
    double sum = 0;
    for (std::string line; std::getline(text, line);) {
        const bool found
            = line.compare(0, name.size(), name) == 0 && (line[name.size()] == ' ' || line[name.size()] == '{');
        if (found)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

double totalStoreCalls(Site& site)
{
    double total = 0;
    const Json counts = site.storeStats();
    for (const auto& [path, n] : counts["calls"].items())
        total += n.get<double>();
    return total;
}

bool startSite(Site& site, int hosts, int upstreams)
{
    site.startStore();
    site.startHostList();
    for (int n = 0; n < hosts; ++n)
        site.startHost("host-" + std::to_string(10 + n), n % 2 ? "east" : "west");
    std::vector<UpstreamName> names;
    for (int n = 0; n < upstreams; ++n) {
        names.push_back("u" + std::to_string(10 + n));
        site.startUpstream(names.back(), n % 2 ? "east" : "west", 1);
    }
    std::string out;
    return site.publish({ { "atelier", names } }, out)
        && site.waitFor([&] { return site.isSettled(); }, kSettleTimeout);
}

// Prints one row: the mean cost per host of a site that gets no requests.
void measureIdle(int hosts)
{
    Site site("build", "build/bench-site");
    if (!startSite(site, hosts, 8)) {
        std::printf("| %d | did not settle |\n", hosts);
        return;
    }
    const auto meanOfHosts = [&](auto value) {
        double total = 0;
        for (auto& [name, host] : site.hosts())
            total += value(host);
        return total / hosts;
    };
    const auto cpu = [](SiteHost& host) { return cpuSecondsOf(*host.process); };
    const auto bytes = [&](SiteHost& host) { return metricOf(site, host, "pistachiospur_peer_bytes_total"); };
    const auto messages = [&](SiteHost& host) { return metricOf(site, host, "pistachiospur_peer_messages_total"); };
    const double cpuBefore = meanOfHosts(cpu), bytesBefore = meanOfHosts(bytes), messagesBefore = meanOfHosts(messages);
    const double callsBefore = totalStoreCalls(site);
    site.waitFor([] { return false; }, kIdleTime);
    const double seconds = static_cast<double>(kIdleTime.count()) / 1000;
    std::printf("| %d | %.2f %% | %.1f MB | %.1f | %.0f B | %.2f |\n", hosts,
        (meanOfHosts(cpu) - cpuBefore) / seconds * 100,
        meanOfHosts([](SiteHost& host) { return residentMegabytes(*host.process); }),
        (meanOfHosts(messages) - messagesBefore) / seconds, (meanOfHosts(bytes) - bytesBefore) / seconds,
        (totalStoreCalls(site) - callsBefore) / seconds);
    std::fflush(stdout);
}

struct LoadResult {
    std::vector<double> latenciesMs; // sorted
    int answered = 0; // with status 200
};

// Sends n requests to the URLs in turn, kConcurrency at a time, and waits for all of them.
LoadResult sendRequests(const std::vector<std::string>& urls, int n)
{
    HttpClient http(1 << 20);
    LoadResult result;
    int sent = 0, done = 0;
    std::function<void()> sendNext = [&] {
        if (sent >= n)
            return;
        HttpCall call;
        call.method = "GET";
        call.url = urls[static_cast<std::size_t>(sent++) % urls.size()];
        call.timeout = Millis(10000);
        const auto startedAt = std::chrono::steady_clock::now();
        http.start(std::move(call), [&, startedAt](const HttpOutcome& outcome) {
            const std::chrono::duration<double, std::milli> latency = std::chrono::steady_clock::now() - startedAt;
            result.latenciesMs.push_back(latency.count());
            const auto* answer = std::get_if<HttpAnswer>(&outcome);
            result.answered += answer && answer->status == 200;
            if (++done == n)
                breakLoop();
            else
                sendNext();
        });
    };
    for (int i = 0; i < kConcurrency; ++i)
        sendNext();
    runLoop();
    std::sort(result.latenciesMs.begin(), result.latenciesMs.end());
    return result;
}

double quantile(const LoadResult& result, double fraction)
{
    return result.latenciesMs[static_cast<std::size_t>(static_cast<double>(result.latenciesMs.size() - 1) * fraction)];
}

void measureRequests()
{
    Site site("build", "build/bench-site");
    if (!startSite(site, 2, 8)) {
        std::printf("did not settle\n");
        return;
    }
    const SiteHost& frontend = site.hosts().begin()->second;
    std::vector<std::string> urls;
    urls.reserve(200);
    for (int n = 0; n < 200; ++n)
        urls.push_back("http://" + frontend.callers.text() + "/atelier/key-" + std::to_string(n) + "/x");
    sendRequests(urls, 500); // warm-up
    for (const int n : { 2000, 4000, 8000 }) {
        double cpu = 0;
        for (auto& [name, host] : site.hosts())
            cpu -= cpuSecondsOf(*host.process);
        const auto result = sendRequests(urls, n);
        for (auto& [name, host] : site.hosts())
            cpu += cpuSecondsOf(*host.process);
        std::printf("| %d | %d | %.0f us | %.2f ms | %.2f ms |\n", n, result.answered, cpu / n * 1e6,
            quantile(result, 0.5), quantile(result, 0.99));
        std::fflush(stdout);
    }
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::printf("| hosts | CPU of a host | resident | messages/s of a host | bytes/s of a host | store calls/s in all "
                "|\n|---|---|---|---|---|---|\n");
    for (const int hosts : { 4, 8, 16 })
        measureIdle(hosts);
    std::printf("\n| requests | answered | CPU of both hosts a request | p50 | p99 |\n|---|---|---|---|---|\n");
    measureRequests();
}
