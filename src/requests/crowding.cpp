#include "crowding.h"

#include <algorithm>

namespace pistachiospur {

std::optional<std::size_t> heaviestCaller(const std::vector<CallerLoad>& loads, Millis now)
{
    const auto burden = [now](const CallerLoad& it) {
        return static_cast<double>(it.bytes) * static_cast<double>(std::max(now - it.since, Millis(0)).count() + 1);
    };
    const auto heaviest = std::max_element(
        loads.begin(), loads.end(), [&](const CallerLoad& a, const CallerLoad& b) { return burden(a) < burden(b); });
    if (heaviest == loads.end() || heaviest->bytes == 0)
        return std::nullopt;
    return static_cast<std::size_t>(heaviest - loads.begin());
}

std::optional<std::size_t> idlestCaller(const std::vector<CallerLoad>& loads, Millis quiet, Millis now)
{
    std::optional<std::size_t> idlest;
    for (std::size_t n = 0; n < loads.size(); ++n) {
        const CallerLoad& it = loads[n];
        if (it.isRunning || now - it.since < quiet)
            continue;
        if (!idlest || std::tie(it.hasGiven, it.since) < std::tie(loads[*idlest].hasGiven, loads[*idlest].since))
            idlest = n;
    }
    return idlest;
}

} // namespace pistachiospur
