#include "pause.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cmath>

namespace pistachiospur {

Millis parsePause(const std::string& text)
{
    double seconds = 0;
    if (!absl::SimpleAtod(text, &seconds) || std::isnan(seconds) || seconds <= 0)
        return Millis(0);
    const double maxMs = static_cast<double>(kMaxPause.count());
    return Millis(static_cast<std::int64_t>(std::ceil(std::min(1000 * seconds, maxMs))));
}

bool notePause(Pauses& pauses, const InstanceId& instance, const HostName& host, Millis duration, Millis now)
{
    if (duration <= Millis(0))
        return false;
    const bool isNew = pauseLeft(pauses, instance, host, now) == Millis(0);
    Millis& end = pauses.ends[{ instance, host }];
    end = std::max(end, now + std::min(duration, kMaxPause));
    return isNew;
}

Millis pauseLeft(const Pauses& pauses, const InstanceId& instance, const HostName& host, Millis now)
{
    if (pauses.ends.empty())
        return Millis(0);
    const auto it = pauses.ends.find({ instance, host });
    return it == pauses.ends.end() ? Millis(0) : std::max(Millis(0), it->second - now);
}

void removeEnded(Pauses& pauses, Millis now)
{
    for (auto it = pauses.ends.begin(); it != pauses.ends.end();)
        it = now >= it->second ? pauses.ends.erase(it) : std::next(it);
}

} // namespace pistachiospur
