#pragma once

#include "pistachiospur/types.h"

#include <optional>

// Paces the requests to an upstream that states how many it takes a second.
namespace pistachiospur {

// What one answer of an upstream says of its limit.
struct RateNotice {
    enum class Kind : std::uint8_t {
        silent, // nothing: there was no valid answer, or it names a limit that cannot be read
        unlimited, // a valid answer that names no limit
        limited,
    };
    Kind kind = Kind::silent;
    double perSecond = 0; // requests that the upstream takes from all hosts together, if limited

    friend bool operator==(const RateNotice& a, const RateNotice& b)
    {
        return a.kind == b.kind && a.perSecond == b.perSecond;
    }
};

// Reads the limit that an answer names; `text` is the value of its header.
RateNotice parseRate(const std::string& text);

// A token bucket. Without a limit it lets every request start.
struct Pace {
    std::optional<double> perSecond; // the limit kept; nothing: none was stated
    double credit = 0; // requests that may start, as of `updatedAt`
    Millis updatedAt {};
    Millis statedAt {}; // when an answer last named a limit
};

// A limit below this is kept as this: an upstream that gets no request cannot say that it takes more again.
constexpr double kMinRatePerSecond = 0.2;
// Requests that an idle upstream may get at once, as the time in which its limit allows them; at least one request.
constexpr Millis kPaceBurst { 100 };

// Takes note of an answer to a request that was sent at `sentAt`. An answer without a limit ends the limit only if its
// request was sent after the limit was last stated, since the other may have been answered before.
void noteRate(Pace&, const RateNotice&, Millis sentAt, Millis now);
// The time until a request may start if `ahead` others start first; zero without a limit.
Millis timeToStart(const Pace&, std::size_t ahead, Millis now);
// Counts a request that starts.
void spendStart(Pace&, Millis now);

} // namespace pistachiospur
