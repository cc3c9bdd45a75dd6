#pragma once

#include "balance.h"

#include <map>
#include <optional>

// What is known of upstreams that are to get slots. Slots move only to one that has just answered, so that their owner
// goes on while the next one is silent: a range whose grant may or may not have arrived has no owner for seconds.
namespace pistachiospur {

// An answer says nothing of an upstream after this time.
constexpr Millis kMaxAnswerAge { 100 };
// An upstream that did not answer gets no slots for this time, unless no other may get them.
constexpr Millis kSilenceMemory { 1000 };

struct Target {
    bool isAsked = false; // the question is in flight
    std::optional<Millis> answeredAt;
    std::optional<Millis> silentAt; // since when no answer has followed
};

using Targets = std::map<InstanceId, Target>;

// Takes out the moves to upstreams that have not just answered, and returns them.
std::vector<Move> holdBack(std::vector<Move>&, const Targets&, Millis now);
void noteAsked(Targets&, const InstanceId&);
// The question has been answered, or has failed.
void noteAnswer(Targets&, const InstanceId&, bool isAnswered, Millis now);
bool isSilent(const Targets&, const InstanceId&, Millis now);
bool isAsked(const Targets&, const InstanceId&);
// Removes what says nothing any more.
void forgetOldAnswers(Targets&, Millis now);

} // namespace pistachiospur
