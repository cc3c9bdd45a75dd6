#include "evacuation.h"

#include <algorithm>

namespace pistachiospur {

namespace {

// A request reaches its upstream within this time after it was sent, or its connection has not been accepted.
constexpr Millis kArrivalTime { 500 };
// The part of the platform's bound in which ranges move out. The rest is for a leader that is replaced meanwhile, and
// for moves whose release or grant has to be repeated.
constexpr int kMoveTimeDivisor = 2;

} // namespace

void noteEvacuation(Evacuations& evacuations, const DataCentreName& dataCentre, StoreRevision version,
    Millis requestedAfter, Millis now)
{
    const auto withdrawn = evacuations.withdrawn.find(dataCentre);
    if (withdrawn != evacuations.withdrawn.end() && eraOf(withdrawn->second) < eraOf(version)
        && counterOf(withdrawn->second) == counterOf(version))
        return;
    const auto [it, added] = evacuations.active.try_emplace(dataCentre, Evacuation { requestedAfter, now, version });
    if (added)
        return;
    it->second.version = std::max(it->second.version, version);
    it->second.isForgotten = false;
}

void noteWithdrawal(Evacuations& evacuations, const DataCentreName& dataCentre, StoreRevision version)
{
    const auto it = evacuations.active.find(dataCentre);
    if (it == evacuations.active.end() || version < it->second.version)
        return;
    evacuations.withdrawn[dataCentre] = it->second.version;
    evacuations.active.erase(it);
}

void noteMissing(Evacuations& evacuations, const DataCentreName& dataCentre, StoreRevision read)
{
    const auto it = evacuations.active.find(dataCentre);
    if (it == evacuations.active.end())
        return;
    if (eraOf(it->second.version) == eraOf(read))
        noteWithdrawal(evacuations, dataCentre, read);
    else
        it->second.isForgotten = true;
}

bool isEvacuated(const Evacuations& evacuations, const DataCentreName& dataCentre)
{
    return evacuations.active.count(dataCentre) > 0;
}

Millis closesAt(const Evacuation& evacuation, Millis evacuateTime)
{
    return evacuation.requestedAfter + std::max(Millis(0), evacuateTime - kArrivalTime);
}

bool isClosed(const Evacuations& evacuations, const DataCentreName& dataCentre, Millis evacuateTime, Millis now)
{
    const auto it = evacuations.active.find(dataCentre);
    return it != evacuations.active.end() && now >= closesAt(it->second, evacuateTime);
}

Millis emptyBy(const Evacuation& evacuation, Millis evacuateTime)
{
    return evacuation.requestedAfter + evacuateTime / kMoveTimeDivisor;
}

} // namespace pistachiospur
