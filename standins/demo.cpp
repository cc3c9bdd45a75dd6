// The demonstration: five hosts in two data centres, two services and three ranks. It kills one upstream and checks
// that other upstreams serve its keys within kRecoveryTarget.
#include "site.h"

#include <csignal>
#include <iostream>
#include <set>

namespace {

using namespace pistachiospur;

constexpr Millis kStartTimeout { 15000 };
constexpr Millis kStopTimeout { 20000 };
constexpr Millis kRecoveryTarget { 2000 };
constexpr int kKeys = 40;

std::string keyName(int n) { return "job-" + std::to_string(n); }

// The name of the upstream that answered; empty if none did.
std::string answeringUpstream(const CallResult& result)
{
    const Json body = result.json();
    return result.status == 200 && body.is_object() ? body.value("ran_by", "") : "";
}

bool start(Site& site)
{
    site.startStore();
    site.startHostList();
    for (const char* name : { "laval-1", "laval-2", "laval-3" })
        site.startHost(name, "laval");
    for (const char* name : { "montreal-1", "montreal-2" })
        site.startHost(name, "montreal");
    for (const char* name : { "atelier-01", "atelier-02", "atelier-03" })
        site.startUpstream(name, "laval");
    for (const char* name : { "atelier-04", "checkout-01", "checkout-02" })
        site.startUpstream(name, "montreal");
    std::string out;
    const bool published = site.publish({ { "atelier", { "atelier-01", "atelier-02", "atelier-03", "atelier-04" } },
                                            { "checkout", { "checkout-01", "checkout-02" } } },
        out);
    std::cout << out;
    return published && site.waitFor([&] { return site.isSettled(); }, kStartTimeout);
}

// Sends requests of all three ranks for every key. Returns how many were answered with 200.
int sendAllRanks(Site& site, const SiteHost& host)
{
    int answered = 0;
    for (int n = 0; n < kKeys; ++n) {
        answered += site.request(host, "GET", "/atelier/" + keyName(n) + "/preview").status == 200;
        answered += site.request(host, "POST", "/atelier/" + keyName(n) + "/order", "demo-order-" + keyName(n)).status
            == 200;
        answered
            += site.request(host, "POST", "/checkout/" + keyName(n) + "/booking", "demo-booking-" + keyName(n)).status
            == 200;
    }
    std::cout << answered << " of " << 3 * kKeys << " requests of three ranks answered through " << host.name << "\n";
    return answered;
}

// Kills the upstream that owns a key, then requests the key; the request waits in the router until another upstream
// owns the key. True if another upstream answers within kRecoveryTarget and then every key is served.
bool killOwner(Site& site, const SiteHost& host)
{
    const std::string key = keyName(0);
    const std::string owner = answeringUpstream(site.request(host, "GET", "/atelier/" + key + "/preview"));
    if (!site.upstreams().count(owner))
        return false;
    std::cout << owner << " owns " << key << "; killing it\n";
    site.upstreams().at(owner).process->kill();
    const Millis killedAt = monotonicNow();
    const auto result = site.request(host, "GET", "/atelier/" + key + "/preview");
    const Millis recoveryTime = monotonicNow() - killedAt;
    const std::string newOwner = answeringUpstream(result);
    std::cout << key << " is served by " << (newOwner.empty() ? "nobody" : newOwner) << " " << recoveryTime.count()
              << " ms after the loss (target " << kRecoveryTarget.count() << " ms)\n";
    int served = 0;
    for (int n = 0; n < kKeys; ++n)
        served += !answeringUpstream(site.request(host, "GET", "/atelier/" + keyName(n) + "/preview")).empty();
    std::cout << served << " of " << kKeys << " keys served after the loss\n";
    return !newOwner.empty() && newOwner != owner && recoveryTime <= kRecoveryTarget && served == kKeys;
}

bool noRequestRanTwice(const Site& site)
{
    std::map<std::string, int> runs;
    for (const auto& it : site.journal()) {
        if (it["what"] == "began" && !it["key"].get<std::string>().empty())
            ++runs[it["key"]];
    }
    const auto repeated = std::count_if(runs.begin(), runs.end(), [](const auto& it) { return it.second > 1; });
    std::cout << runs.size() << " non-idempotent requests ran, " << repeated << " of them more than once\n";
    return repeated == 0 && !runs.empty();
}

bool stopAll(Site& site)
{
    bool clean = true;
    for (auto& [name, host] : site.hosts())
        host.process->signal(SIGTERM);
    for (auto& [name, host] : site.hosts()) {
        const bool exitedCleanly = host.process->waitForExit(kStopTimeout) && host.process->exitStatus() == 0;
        clean = clean && exitedCleanly;
    }
    std::cout << (clean ? "all hosts stopped with status 0\n" : "some host did not stop with status 0 in time\n");
    return clean;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string build = argc > 1 ? argv[1] : "build";
    Site site(build, build + "/demo-site");
    if (!start(site)) {
        std::cout << "the site did not settle; logs are in " << build << "/demo-site\n";
        return 1;
    }
    // A coordinator refuses idempotency keys that are not at least clock_skew_ms (1000 ms by default) newer than its
    // idempotency cache, since an earlier coordinator may have run their requests.
    site.waitFor([] { return false; }, Millis(1200));
    SiteHost& host = site.hosts().at("laval-1");
    bool good = sendAllRanks(site, host) == 3 * kKeys;
    good = killOwner(site, host) && good;
    good = noRequestRanTwice(site) && good;
    std::string out;
    good = site.runTool({ "status" }, out) == 0 && good;
    std::cout << out;
    good = site.runTool({ "report", "burn" }, out) == 0 && good;
    std::cout << out;
    good = stopAll(site) && good;
    std::cout << (good ? "demo passed\n" : "demo FAILED\n");
    return good ? 0 : 1;
}
