#include "events.h"

#include "io/loop.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace pistachiospur {

namespace {

// Lines per second of each kind, and how many can be saved up. An entry host of the size that the sites have answers
// some 30 requests a second.
constexpr double kStateRate = 100, kStateBurst = 1000;
constexpr double kRequestRate = 100, kRequestBurst = 500;

struct Budget {
    double rate;
    double burst;
    double left;
    Millis at { 0 };
    std::uint64_t dropped = 0; // since the last line of the kind
};

std::string hostName;
std::uint64_t dropped = 0;
Budget budgets[] = { { kStateRate, kStateBurst, kStateBurst, Millis(0), 0 },
    { kRequestRate, kRequestBurst, kRequestBurst, Millis(0), 0 } };

bool spend(Budget& budget)
{
    const Millis now = monotonicNow();
    const double earned = static_cast<double>((now - budget.at).count()) / 1000 * budget.rate;
    budget.left = std::min(budget.burst, budget.left + earned);
    budget.at = now;
    if (budget.left < 1)
        return false;
    budget.left -= 1;
    return true;
}

// A pipe that polls as writable takes PIPE_BUF bytes without blocking.
bool writeLine(const std::string& line)
{
    pollfd out { STDOUT_FILENO, POLLOUT, 0 };
    if (line.size() > PIPE_BUF || poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT))
        return false;
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace

void startEvents(const std::string& host) { hostName = host; }

void logEvent(EventKind kind, const char* event, const std::vector<EventField>& fields)
{
    Budget& budget = budgets[static_cast<int>(kind)];
    if (!spend(budget)) {
        ++budget.dropped;
        ++dropped;
        return;
    }
    nlohmann::ordered_json line = { { "at", wallNow().count() }, { "host", hostName }, { "event", event } };
    for (const auto& it : fields)
        line[it.name] = it.value;
    if (budget.dropped)
        line["dropped_before"] = budget.dropped;
    const bool written = writeLine(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    budget.dropped = written ? 0 : budget.dropped + 1;
    dropped += !written;
}

std::uint64_t droppedEvents() { return dropped; }

} // namespace pistachiospur
