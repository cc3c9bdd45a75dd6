#include "quarantine.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>

namespace pistachiospur {

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

bool recordBreak(Quarantine& quarantine, const Suspicion& suspicion, Millis now)
{
    Suspect& suspect = quarantine.suspects[suspicion.fingerprint];
    if (!suspect.breakIds.insert(suspicion.breakId).second)
        return false;
    suspect.lastBreakAt = now;
    quarantine.unsentSuspicions[suspicion] = kSendsPerSuspicion;
    return true;
}

void onAnswered(Quarantine& quarantine, std::uint64_t fingerprint)
{
    const auto it = quarantine.suspects.find(fingerprint);
    if (it != quarantine.suspects.end() && it->second.breakIds.size() < kBreaksUntilQuarantine)
        quarantine.suspects.erase(it);
}

bool isQuarantined(const Quarantine& quarantine, std::uint64_t fingerprint, Millis now)
{
    const auto it = quarantine.suspects.find(fingerprint);
    return it != quarantine.suspects.end() && it->second.breakIds.size() >= kBreaksUntilQuarantine
        && now < it->second.lastBreakAt + kQuarantineDuration;
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
