#include "review/common-2/harness.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

// The store's answers to the renewals of one lease and to one write of the range table are lost while two backends leave
// one after the other.
// Checks that no two backends that are up hold the same keys for over half a second.
using namespace review;

namespace {

constexpr Millis kStartInterval { 140 };
constexpr Millis kLossTime { 2200 }; // the unanswered calls are carried out when it is over
// When the two backends leave, from the last renewal that is answered.
constexpr Millis kFirstLeavesAfter { 550 };
constexpr Millis kSecondLeavesAfter { 1050 };
// The answer to a watch waits up to 200 ms after another change. The loss begins so long after the backends wrote their
// entries that no change comes just before the lease ends.
constexpr Millis kMaxSinceHeartbeat { 400 };
constexpr Millis kMaxDoubleHold { 500 };
constexpr Millis kWatched { 8000 };
const std::string kService = "atelier";

struct DoubleHold {
    Millis since {}, longest {};
    std::string holders;
};

} // namespace

int main(int, char** argv)
{
    Platform platform(argv[1]); // the path of record.txt
    Record& record = platform.record;
    platform.configure(1, { { kService, true }, { "expedition", false } },
        { { "apercu", "/apercu/", "safe", kService }, { "lot", "/lot/", "unsafe", kService },
            { "livraison", "/livraison/", "unsafe", "expedition" } });
    for (int n = 0; n < 8; ++n)
        platform.addBackend(kService, "i-a" + number(n), "z0", true);
    platform.addBackend("expedition", "i-e0", "z0", false);
    // The host that starts first leads the ranges. It also comes first in the order in which hosts stand for election.
    for (int n = 0; n < 3; ++n) {
        platform.addHost("edge-" + number(n), "z0", {});
        platform.runFor(kStartInterval);
    }
    const std::vector<std::uint32_t> keys = { 100, 20000, 40000, 60000 };
    if (!platform.waitUntilServed("/apercu/x", keys)) {
        record.line("the site does not serve");
        return kCouldNotRun;
    }
    platform.runFor(Millis(4000));

    // The lease that the record of the ranges' leader is bound to. The stand-in may lose any answer.
    const auto leader = nlohmann::json::parse(platform.store.value("pistachiospur/keepers/" + kService), nullptr, false);
    if (!leader.is_object())
        return kCouldNotRun;
    const std::string renewal = "/kv-keep/" + std::to_string(leader["lease"].get<std::uint64_t>());
    std::optional<Millis> lastRenewal;
    unsigned calls = 0, lost = 0;
    bool loses = false, tableLost = false;
    platform.store.holds = [&](const HttpRequest& request) {
        if (request.path == "/kv-watch" || request.path == "/kv-range")
            return false;
        calls += loses;
        if (!hasTrouble())
            return false;
        if (request.path == renewal && !loses && platform.sinceHeartbeat() < kMaxSinceHeartbeat) {
            loses = true;
            lastRenewal = monotonicNow();
            record.line("the store renews the lease for the last time");
            return false;
        }
        const bool isTable
            = request.path == "/kv-txn" && request.body.find("/ranges/" + kService) != std::string::npos;
        const bool isLost = loses && (request.path == renewal || (isTable && !std::exchange(tableLost, true)));
        if (isLost) {
            ++lost;
            record.line("no answer to " + request.path + (isTable ? " (range table)" : ""));
        }
        return isLost;
    };
    if (!hasTrouble())
        lastRenewal = monotonicNow();
    platform.runUntil([&] { return lastRenewal.has_value(); }, Millis(10000));
    if (!lastRenewal)
        return kCouldNotRun;

    // They do not report that they drain: their entries go, and they serve on for longer than drain-ms.
    const auto leave = [&](Backend& backend) {
        record.line(backend.name() + " leaves: its entry is removed, and it serves on");
        backend.writesEntries = false;
        platform.store.remove("servers/" + backend.name());
    };
    Timer firstLeaves([&] { leave(*platform.backends[1]); }), secondLeaves([&] { leave(*platform.backends[4]); });
    firstLeaves.once(kFirstLeavesAfter);
    secondLeaves.once(kSecondLeavesAfter);
    Timer carryOut([&] {
        record.line("the store carries out what it has not answered");
        platform.store.holds = nullptr;
        platform.store.releaseHeld();
    });
    carryOut.once(kLossTime);

    std::map<std::uint32_t, DoubleHold> doubles;
    const Millis end = monotonicNow() + kWatched;
    while (monotonicNow() < end) {
        platform.runFor(Millis(5));
        for (std::uint32_t key = 0; key < kKeys; key += 64) {
            const auto holders = platform.holders(kService, key);
            if (holders.size() < 2) {
                if (const auto it = doubles.find(key); it != doubles.end())
                    it->second.since = Millis(0);
                continue;
            }
            DoubleHold& it = doubles[key];
            if (it.since == Millis(0))
                it.since = monotonicNow();
            it.longest = std::max(it.longest, monotonicNow() - it.since);
            it.holders = holders[0]->name() + " and " + holders[1]->name();
        }
    }
    Millis longest { 0 };
    for (const auto& [key, it] : doubles) {
        if (it.longest > longest) {
            longest = it.longest;
            record.line("key " + number(key) + ": " + it.holders + " hold it at once for " + number(longest.count())
                + " ms");
        }
    }
    record.line("answers lost: " + number(lost) + " of " + number(calls) + " writing calls");
    const bool broken = longest > kMaxDoubleHold;
    record.line(broken ? "OWNER is broken" : "OWNER holds");
    std::printf("two backends held the same key for at most %lld ms\n", static_cast<long long>(longest.count()));
    return broken ? kBroken : kHeld;
}
