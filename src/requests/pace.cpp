#include "pace.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cmath>

namespace pistachiospur {

namespace {

constexpr double kMaxRatePerSecond = 1e6;

double burstOf(double perSecond) { return 1 + perSecond * std::chrono::duration<double>(kPaceBurst).count(); }

double creditAt(const Pace& pace, Millis now)
{
    const double seconds = std::chrono::duration<double>(std::max(Millis(0), now - pace.updatedAt)).count();
    return std::min(burstOf(*pace.perSecond), pace.credit + *pace.perSecond * seconds);
}

} // namespace

RateNotice parseRate(const std::string& text)
{
    double perSecond = 0;
    if (!absl::SimpleAtod(text, &perSecond) || !std::isfinite(perSecond) || perSecond <= 0)
        return {};
    return { RateNotice::Kind::limited, perSecond };
}

void noteRate(Pace& pace, const RateNotice& notice, Millis sentAt, Millis now)
{
    if (notice.kind == RateNotice::Kind::unlimited && sentAt >= pace.statedAt)
        pace.perSecond.reset();
    if (notice.kind != RateNotice::Kind::limited)
        return;
    pace.credit = pace.perSecond ? creditAt(pace, now) : 0;
    pace.updatedAt = pace.statedAt = now;
    pace.perSecond = std::clamp(notice.perSecond, kMinRatePerSecond, kMaxRatePerSecond);
}

Millis timeToStart(const Pace& pace, std::size_t ahead, Millis now)
{
    if (!pace.perSecond)
        return Millis(0);
    const double missing = static_cast<double>(ahead) + 1 - creditAt(pace, now);
    return missing <= 0 ? Millis(0) : Millis(static_cast<std::int64_t>(std::ceil(1000 * missing / *pace.perSecond)));
}

void spendStart(Pace& pace, Millis now)
{
    if (!pace.perSecond)
        return;
    pace.credit = creditAt(pace, now) - 1;
    pace.updatedAt = now;
}

} // namespace pistachiospur
