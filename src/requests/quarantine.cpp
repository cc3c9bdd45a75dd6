#include "quarantine.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>

namespace pistachiospur {

namespace {

// Removes the suspect with the oldest break; a quarantined one only if all are.
void evictOldest(Quarantine& quarantine)
{
    const auto key = [](const auto& it) {
        return std::make_pair(it.second.breakIds.size() >= kBreaksUntilQuarantine, it.second.lastBreakAt);
    };
    const auto oldest = std::min_element(quarantine.suspects.begin(), quarantine.suspects.end(),
        [&](const auto& a, const auto& b) { return key(a) < key(b); });
    quarantine.suspects.erase(oldest);
}

} // namespace

std::uint64_t fingerprintOf(const RequestIdentity& identity, std::uint64_t seed)
{
    const std::uint64_t numbers[] = { identity.slot.value, identity.bodyBytes };
    XXH64_hash_t hash = XXH64(numbers, sizeof numbers, seed);
    for (const auto it :
        { identity.host, identity.method, identity.target, identity.body.substr(0, kFingerprintBodyBytes) })
        hash = XXH64(it.data(), it.size(), hash + it.size());
    return std::max<std::uint64_t>(1, hash);
}

std::string fingerprintText(std::uint64_t fingerprint)
{
    return absl::StrCat(absl::Hex(fingerprint, absl::kZeroPad16));
}

bool addBreak(Quarantine& quarantine, const Suspicion& suspicion, Millis now)
{
    if (!quarantine.suspects.count(suspicion.fingerprint) && quarantine.suspects.size() >= kMaxSuspects)
        evictOldest(quarantine);
    Suspect& suspect = quarantine.suspects[suspicion.fingerprint];
    if (!suspect.breakIds.insert(suspicion.breakId).second)
        return false;
    suspect.lastBreakAt = now;
    return true;
}

bool recordBreak(Quarantine& quarantine, const Suspicion& suspicion, Millis now)
{
    if (!addBreak(quarantine, suspicion, now))
        return false;
    quarantine.unsentSuspicions[suspicion] = kSendsPerSuspicion;
    return true;
}

bool addsEvidence(const Quarantine& quarantine, std::uint64_t fingerprint, Millis runStartedAt)
{
    const auto it = quarantine.suspects.find(fingerprint);
    return it == quarantine.suspects.end() || runStartedAt > it->second.lastBreakAt;
}

void onAnswered(Quarantine& quarantine, std::uint64_t fingerprint)
{
    const auto it = quarantine.suspects.find(fingerprint);
    if (it != quarantine.suspects.end() && it->second.breakIds.size() < kBreaksUntilQuarantine)
        quarantine.suspects.erase(it);
}

Millis quarantineLeft(const Quarantine& quarantine, std::uint64_t fingerprint, Millis now)
{
    const auto it = quarantine.suspects.find(fingerprint);
    if (it == quarantine.suspects.end() || it->second.breakIds.size() < kBreaksUntilQuarantine)
        return Millis(0);
    return std::max(Millis(0), it->second.lastBreakAt + kQuarantineDuration - now);
}

bool isQuarantined(const Quarantine& quarantine, std::uint64_t fingerprint, Millis now)
{
    return quarantineLeft(quarantine, fingerprint, now) > Millis(0);
}

bool isSuspect(const Quarantine& quarantine, std::uint64_t fingerprint)
{
    return quarantine.suspects.count(fingerprint) > 0;
}

std::vector<Suspicion> nextSuspicions(Quarantine& quarantine)
{
    std::vector<Suspicion> next;
    for (auto it = quarantine.unsentSuspicions.begin();
         it != quarantine.unsentSuspicions.end() && next.size() < kSuspicionsPerHeartbeat;) {
        next.push_back(it->first);
        it = --it->second == 0 ? quarantine.unsentSuspicions.erase(it) : std::next(it);
    }
    return next;
}

void expire(Quarantine& quarantine, Millis now)
{
    for (auto it = quarantine.suspects.begin(); it != quarantine.suspects.end();)
        it = now >= it->second.lastBreakAt + kQuarantineDuration ? quarantine.suspects.erase(it) : std::next(it);
}

} // namespace pistachiospur
