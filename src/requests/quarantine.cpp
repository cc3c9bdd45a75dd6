#include "quarantine.h"

namespace pistachiospur {

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
