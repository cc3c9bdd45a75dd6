#pragma once

#include "pistachiospur/request.h"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

// Quarantine of requests that crash the upstreams that run them. A request becomes a suspect if the connection to an
// upstream breaks while the request runs. After a second break, every host that learns of both refuses the request.
namespace pistachiospur {

constexpr unsigned kBreaksUntilQuarantine = 2;
constexpr Millis kQuarantineDuration { 600000 };
constexpr unsigned kSendsPerSuspicion = 8; // heartbeats in which a host sends each suspicion
constexpr std::size_t kSuspicionsPerHeartbeat = 6; // maximum
// Callers choose what is kept. Beyond this number the suspect with the oldest break goes, quarantined ones last.
constexpr std::size_t kMaxSuspects = 1024;
// The part of a body by which a request is recognised. The rest of a larger one may still be arriving when it starts.
constexpr std::size_t kFingerprintBodyBytes = 65536;

// One broken connection, spread to other hosts by heartbeats.
struct Suspicion {
    std::uint64_t fingerprint = 0; // of the request that was running
    std::uint64_t breakId = 0; // distinguishes the breaks of one request

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
    std::set<std::uint64_t> breakIds;
    Millis lastBreakAt {};
};

struct Quarantine {
    std::map<std::uint64_t, Suspect> suspects; // by request fingerprint
    std::map<Suspicion, unsigned> unsentSuspicions; // number of heartbeats still to carry each suspicion
};

// What stays the same when a caller sends a request again under another id. The service is not part of it, since a
// split route may choose another one for the next copy.
struct RequestIdentity {
    std::string_view host; // as the caller named it
    std::string_view method;
    std::string_view target;
    SlotId slot;
    std::string_view body; // at least its first kFingerprintBodyBytes
    std::uint64_t bodyBytes = 0; // size of the whole body; 0 if its caller did not declare it
};

// Hosts compare fingerprints, so they use the same seed. Never 0, which stands for an unknown request.
std::uint64_t fingerprintOf(const RequestIdentity&, std::uint64_t seed);
// The text of a fingerprint in logs, keys and reports.
std::string fingerprintText(std::uint64_t fingerprint);

// Records a broken connection and returns true if it was not known yet. It is spread by heartbeats.
bool recordBreak(Quarantine&, const Suspicion&, Millis now);
// The same for a break that is made known to other hosts in another way.
bool addBreak(Quarantine&, const Suspicion&, Millis now);
// Whether a break adds to what is known of a request. A run that began before the last break was known may have ended
// by the same failure, such as the loss of a rack, so it adds nothing.
bool addsEvidence(const Quarantine&, std::uint64_t fingerprint, Millis runStartedAt);
// Removes a request from the suspects after an upstream has answered it, unless it is already quarantined.
void onAnswered(Quarantine&, std::uint64_t fingerprint);
bool isQuarantined(const Quarantine&, std::uint64_t fingerprint, Millis now);
// How much longer a request is quarantined; zero if it is not.
Millis quarantineLeft(const Quarantine&, std::uint64_t fingerprint, Millis now);
// Whether a break of the request is known and no answer to it since.
bool isSuspect(const Quarantine&, std::uint64_t fingerprint);
// The suspicions for the next heartbeat.
std::vector<Suspicion> nextSuspicions(Quarantine&);
// Removes the suspects whose last break is older than kQuarantineDuration.
void expire(Quarantine&, Millis now);

} // namespace pistachiospur
