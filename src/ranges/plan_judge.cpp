#include "plan_judge.h"

#include <algorithm>

namespace pistachiospur {

namespace {

bool overlaps(const PastMove& past, SlotId first, SlotId last) { return past.first <= last && first <= past.last; }

double gainIn(const JudgePolicy& policy, const OwnerStrain& from, const OwnerStrain& to, double fromLoad, double toLoad,
    double moved, std::uint32_t slots)
{
    const double before = unservedRate(fromLoad, from.capacity) + unservedRate(toLoad, to.capacity);
    const double after = unservedRate(fromLoad - moved, from.capacity) + unservedRate(toLoad + moved, to.capacity);
    return policy.horizonSeconds * (before - after) - policy.ownerlessSeconds * moved - policy.costPerSlot * slots;
}

} // namespace

double unservedRate(double load, double capacity)
{
    const double knee = kKneeUtilization * capacity;
    if (load <= knee)
        return 0;
    // Its slope grows from 0 at the knee to 1 at the capacity.
    const double within = std::min(load, capacity) - knee;
    return within * within / (2 * (capacity - knee)) + std::max(0.0, load - capacity);
}

double gainOf(const JudgePolicy& policy, const OwnerStrain& from, const OwnerStrain& to, const MovedLoad& moved)
{
    return std::min(gainIn(policy, from, to, from.lasting, to.lasting, moved.lasting, moved.slots),
        gainIn(policy, from, to, from.recent, to.recent, moved.recent, moved.slots));
}

void noteMove(MoveHistory& history, const std::vector<Range>& ranges, SlotId first, SlotId last, Millis now)
{
    for (const auto& it : ranges) {
        if (it.first <= last && first <= it.last)
            history.push_back({ std::max(first, it.first), std::min(last, it.last), it.owner, now });
    }
}

void forgetOldMoves(MoveHistory& history, const JudgePolicy& policy, Millis now)
{
    const auto isOld = [&](const PastMove& it) { return now >= it.at + policy.memory; };
    history.erase(std::remove_if(history.begin(), history.end(), isOld), history.end());
}

bool undoesMove(const MoveHistory& history, SlotId first, SlotId last, const InstanceId& to)
{
    return std::any_of(
        history.begin(), history.end(), [&](const PastMove& it) { return it.from == to && overlaps(it, first, last); });
}

bool dwells(const MoveHistory& history, const JudgePolicy& policy, SlotId first, SlotId last, Millis now)
{
    return std::any_of(history.begin(), history.end(),
        [&](const PastMove& it) { return now < it.at + policy.dwell && overlaps(it, first, last); });
}

} // namespace pistachiospur
