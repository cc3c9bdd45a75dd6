#pragma once

#include "upstream/instance.h"

#include <map>
#include <string>
#include <utility>

// Pauses of the requests from one host to an upstream that has turned that host away for a stated time.
namespace pistachiospur {

// A longer time is kept as this: nothing but its own word or its end would bring the upstream back earlier.
constexpr Millis kMaxPause { 3600000 };

// Reads the time that an upstream names when it turns a request away, in seconds. Zero if the text is no positive
// number: the answer asks for no pause then.
Millis parsePause(const std::string& text);

// When the pauses end, by instance and by the host that it wants no requests from.
struct Pauses {
    std::map<std::pair<InstanceId, HostName>, Millis> ends;
};

// Begins a pause. One that is in force is extended but never cut short. Returns true if there was none.
bool notePause(Pauses&, const InstanceId&, const HostName&, Millis duration, Millis now);
// The time until the host may send the instance anything; zero without a pause.
Millis pauseLeft(const Pauses&, const InstanceId&, const HostName&, Millis now);
void removeEnded(Pauses&, Millis now);

} // namespace pistachiospur
