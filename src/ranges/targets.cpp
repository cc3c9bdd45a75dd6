#include "targets.h"

#include <algorithm>

namespace pistachiospur {

namespace {

bool hasAnswered(const Targets& targets, const InstanceId& id, Millis now)
{
    const auto it = targets.find(id);
    return it != targets.end() && it->second.answeredAt && now <= *it->second.answeredAt + kMaxAnswerAge;
}

} // namespace

std::vector<Move> holdBack(std::vector<Move>& moves, const Targets& targets, Millis now)
{
    const auto held = std::stable_partition(
        moves.begin(), moves.end(), [&](const Move& it) { return hasAnswered(targets, it.to, now); });
    std::vector<Move> heldBack(held, moves.end());
    moves.erase(held, moves.end());
    return heldBack;
}

void noteAsked(Targets& targets, const InstanceId& id) { targets[id].isAsked = true; }

void noteAnswer(Targets& targets, const InstanceId& id, bool isAnswered, Millis now)
{
    Target& target = targets[id];
    target.isAsked = false;
    target.answeredAt = isAnswered ? std::optional(now) : std::nullopt;
    target.silentAt = isAnswered ? std::nullopt : std::optional(now);
}

bool isSilent(const Targets& targets, const InstanceId& id, Millis now)
{
    const auto it = targets.find(id);
    return it != targets.end() && it->second.silentAt && now < *it->second.silentAt + kSilenceMemory;
}

bool isAsked(const Targets& targets, const InstanceId& id)
{
    const auto it = targets.find(id);
    return it != targets.end() && it->second.isAsked;
}

void forgetOldAnswers(Targets& targets, Millis now)
{
    for (auto it = targets.begin(); it != targets.end();) {
        const bool isKept
            = it->second.isAsked || isSilent(targets, it->first, now) || hasAnswered(targets, it->first, now);
        it = isKept ? std::next(it) : targets.erase(it);
    }
}

} // namespace pistachiospur
