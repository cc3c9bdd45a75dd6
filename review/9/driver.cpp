#include "review/common-2/harness.h"

#include <cstdio>

// A backend fails some of the orders that it has carried out, with 503 and without `Not-Executed`, while its health
// check is good. Checks that no order that has run is answered with 503 or 429.
using namespace review;

namespace {

const std::string kService = "expedition";
constexpr int kOrders = 240;
constexpr int kBackends = 8;
constexpr int kFailsEvery = 3; // of the orders of the failing backend
constexpr Millis kInterval { 20 };
constexpr Millis kWorkTime { 110 };
constexpr Millis kRetryAfter { 100 }; // a client's wait where the answer names none

struct Order {
    int status = -1; // 0: no answer
};

bool isPromise(int status) { return status == 503 || status == 429 || status == 408 || status == 421; }

} // namespace

int main(int, char** argv)
{
    Platform platform(argv[1]); // the path of record.txt
    Record& record = platform.record;
    platform.configure(1, { { "atelier", true }, { kService, false } },
        { { "apercu", "/apercu/", "safe", "atelier" }, { "livraison", "/livraison/", "unsafe", kService },
            { "etat", "/etat/", "safe", kService } });
    for (int n = 0; n < 3; ++n)
        platform.addBackend("atelier", "i-a" + number(n), "z" + number(n), true);
    for (int n = 0; n < kBackends; ++n)
        platform.addBackend(kService, "i-e" + number(n), "z" + number(n % 3), false).workTime = kWorkTime;
    for (int n = 0; n < 3; ++n)
        platform.addHost("edge-" + number(n), "z" + number(n));
    if (!platform.waitUntilServed("/etat/x", { 100 })) {
        record.line("the site does not serve");
        return kCouldNotRun;
    }

    // One backend of eight fails a third of its orders after it has carried them out.
    int ran = 0, failed = 0;
    Backend& grey = *platform.backends[3];
    grey.special = [&](const Run& run) -> std::optional<HttpResponse> {
        if (!hasTrouble() || run.method == "GET" || ++ran % kFailsEvery != 0)
            return std::nullopt;
        ++failed;
        return HttpResponse { 503, { { "Request-Id", run.id }, { "Server-Seal", "seal-" + run.id } },
            "the order was carried out, its receipt failed" };
    };

    // As the pages have it, a client sends an unsafe request again only after a promise that it has not run.
    std::map<std::string, Order> orders;
    std::vector<std::unique_ptr<Timer>> retries;
    std::function<void(int, const std::string&)> send = [&](int n, const std::string& id) {
        HttpCall call = platform.call(
            platform.hosts[static_cast<std::size_t>(n) % platform.hosts.size()], "POST", "/livraison/x", id, 0);
        call.body = "deliver " + number(n);
        platform.client.start(std::move(call), [&, n, id](const HttpOutcome& outcome) {
            const auto* answer = std::get_if<HttpAnswer>(&outcome);
            orders[id].status = answer ? answer->status : 0;
            record.line("the client of " + id + " gets " + number(orders[id].status));
            if (!isPromise(orders[id].status) || id != "order-" + number(n))
                return;
            retries.push_back(std::make_unique<Timer>([&send, n, id] { send(n, id + "-again"); }));
            retries.back()->once(kRetryAfter);
        });
    };
    for (int n = 0; n < kOrders; ++n) {
        send(n, "order-" + number(n));
        platform.runFor(kInterval);
    }
    platform.runFor(Millis(3500));

    int broken = 0;
    for (const auto& [id, it] : orders) {
        if (isPromise(it.status) && platform.runCount(id) > 0) {
            ++broken;
            record.line(id + " has run and is answered " + number(it.status));
        }
    }
    std::map<std::string, int> deliveries;
    for (const auto& backend : platform.backends) {
        for (const auto& it : backend->runs)
            deliveries[it.body] += it.method == "POST";
    }
    for (const auto& [order, count] : deliveries) {
        if (count > 1)
            record.line("\"" + order + "\" was carried out " + number(count) + " times");
    }
    record.line(number(failed) + " orders failed with 503 after their run");
    record.line(broken ? "REFUSED is broken" : "REFUSED holds");
    std::printf("%d of %d orders have run and are answered with a promise that they have not\n", broken, kOrders);
    if (hasTrouble() && failed == 0)
        return kCouldNotRun;
    return broken ? kBroken : kHeld;
}
