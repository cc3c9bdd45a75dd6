#include "load.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace pistachiospur {

namespace {

constexpr std::size_t kCounts = 3;

std::optional<unsigned> countIn(const std::string& text)
{
    unsigned n = 0;
    const bool valid = !text.empty()
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return absl::ascii_isdigit(c); })
        && absl::SimpleAtoi(text, &n) && n <= kMaxReportedCount;
    return valid ? std::optional(n) : std::nullopt;
}

} // namespace

std::optional<UpstreamLoad> parseLoad(const std::string& text)
{
    std::vector<std::string> parts = absl::StrSplit(text, ',');
    if (parts.size() < kCounts || parts.size() > kCounts + 1)
        return std::nullopt;
    for (auto& it : parts)
        it = std::string(absl::StripAsciiWhitespace(it));
    const auto running = countIn(parts[0]), waiting = countIn(parts[1]), slots = countIn(parts[2]);
    if (!running || !waiting || !slots || *slots == 0)
        return std::nullopt;
    UpstreamLoad load { *running, *waiting, *slots, 1 };
    if (parts.size() == kCounts)
        return load;
    double percent = 0;
    if (!absl::SimpleAtod(parts[kCounts], &percent) || !std::isfinite(percent) || percent <= 0)
        return std::nullopt;
    load.workFactor = std::clamp(percent / 100, kMinWorkFactor, kMaxWorkFactor);
    return load;
}

} // namespace pistachiospur
