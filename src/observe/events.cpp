#include "events.h"

#include "io/loop.h"

#include <algorithm>
#include <climits>
#include <deque>
#include <poll.h>
#include <unistd.h>

namespace pistachiospur {

namespace {

// Rate limit of each kind of line. For comparison, a frontend at the existing sites answers about 30 requests per
// second.
constexpr double kStateLinesPerSecond = 100, kStateBurstLines = 1000;
constexpr double kRequestLinesPerSecond = 100, kRequestBurstLines = 500;
constexpr double kProcessLinesPerSecond = 20, kProcessBurstLines = 200;
constexpr std::size_t kMaxKeptLines = 100;

struct TokenBucket {
    double tokensPerSecond;
    double capacity;
    double tokens; // one per line
    Millis refilledAt { 0 };
    std::uint64_t dropped = 0; // lines of this kind dropped since the last one written
};

std::string hostName;
std::uint64_t droppedTotal = 0;
TokenBucket buckets[] = { { kStateLinesPerSecond, kStateBurstLines, kStateBurstLines, Millis(0), 0 },
    { kRequestLinesPerSecond, kRequestBurstLines, kRequestBurstLines, Millis(0), 0 },
    { kProcessLinesPerSecond, kProcessBurstLines, kProcessBurstLines, Millis(0), 0 } };
std::deque<std::string> keptLines; // about the process, while standard output is not writable

bool takeToken(TokenBucket& bucket)
{
    const Millis now = monotonicNow();
    const double refill = static_cast<double>((now - bucket.refilledAt).count()) / 1000 * bucket.tokensPerSecond;
    bucket.tokens = std::min(bucket.capacity, bucket.tokens + refill);
    bucket.refilledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

// A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking, so longer lines are not written.
bool writeLine(const std::string& line)
{
    pollfd output { STDOUT_FILENO, POLLOUT, 0 };
    if (line.size() > PIPE_BUF || poll(&output, 1, 0) != 1 || !(output.revents & POLLOUT))
        return false;
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace

void setEventHost(const std::string& host) { hostName = host; }

void logEvent(EventKind kind, const char* event, const std::vector<EventField>& fields)
{
    TokenBucket& bucket = buckets[static_cast<int>(kind)];
    if (!takeToken(bucket)) {
        ++bucket.dropped;
        ++droppedTotal;
        return;
    }
    nlohmann::ordered_json line = { { "at", wallNow().count() }, { "host", hostName }, { "event", event } };
    for (const auto& it : fields)
        line[it.name] = it.value;
    if (bucket.dropped)
        line["dropped_before"] = bucket.dropped;
    std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    flushEvents();
    bool accepted = keptLines.empty() && writeLine(text);
    if (!accepted && kind == EventKind::process && text.size() <= PIPE_BUF && keptLines.size() < kMaxKeptLines) {
        keptLines.push_back(std::move(text));
        accepted = true;
    }
    bucket.dropped = accepted ? 0 : bucket.dropped + 1;
    droppedTotal += !accepted;
}

void flushEvents()
{
    while (!keptLines.empty() && writeLine(keptLines.front()))
        keptLines.pop_front();
}

std::uint64_t droppedEvents() { return droppedTotal; }

} // namespace pistachiospur
