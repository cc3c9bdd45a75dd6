#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

// Structured log lines on standard output: one JSON object for each decision about a request and each change of the
// process's state. Writing never blocks: a line is dropped and counted if standard output is not writable. A few lines
// about the process as a whole are kept instead, and written before any later line.
namespace pistachiospur {

// Each kind of line has its own rate limit, so that lines about a flood of requests do not suppress changes of state,
// nor those of single upstreams and peers the lines about the process as a whole.
enum class EventKind {
    state, // of single upstreams, ranges, peers and links
    request,
    process, // start and stop, configuration, copy of the store, leadership; waits while standard output is not
             // writable
};

struct EventField {
    const char* name;
    nlohmann::json value;
};

// Sets the host name that every line carries.
void setEventHost(const std::string& host);
// Writes one line. Drops and counts it if the rate limit of its kind is exceeded or, unless it is about the process,
// standard output is not writable.
void logEvent(EventKind, const char* event, const std::vector<EventField>&);
// Writes the kept lines that standard output takes now.
void flushEvents();
// Number of lines of all kinds dropped since the start.
std::uint64_t droppedEvents();

} // namespace pistachiospur
