#pragma once

#include "pistachiospur/request.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

// Requests that break the upstreams that run them. A request under which a connection died is a suspect; after a
// second time it is quarantined on every host that hears of it.
namespace pistachiospur {

constexpr unsigned kBreaksUntilQuarantine = 2;
constexpr Millis kQuarantineLife { 600000 };
constexpr unsigned kSuspicionRepeats = 8;
constexpr std::size_t kSuspicionsPerHeartbeat = 6;

// One break: which request, and a number that tells breaks apart.
struct Suspicion {
    std::uint64_t fingerprint = 0;
    std::uint64_t breakId = 0;

    friend bool operator==(const Suspicion& a, const Suspicion& b)
    {
        return a.fingerprint == b.fingerprint && a.breakId == b.breakId;
    }
    friend bool operator<(const Suspicion& a, const Suspicion& b)
    {
        return std::tie(a.fingerprint, a.breakId) < std::tie(b.fingerprint, b.breakId);
    }
};

struct Suspect {
    std::set<std::uint64_t> breaks;
    Millis lastAt {};
};

struct Quarantine {
    std::map<std::uint64_t, Suspect> suspects;
    std::map<Suspicion, unsigned> fresh; // to be passed on, and how often
};

// Records a break; true when it was not known yet.
bool onBreak(Quarantine&, const Suspicion&, Millis now);
// A request that was answered is no suspect any more, unless it is quarantined.
void onAnswered(Quarantine&, std::uint64_t fingerprint);
bool isQuarantined(const Quarantine&, std::uint64_t fingerprint, Millis now);
// Suspicions for the next heartbeat.
std::vector<Suspicion> nextSuspicions(Quarantine&);
void expire(Quarantine&, Millis now);

} // namespace pistachiospur
