#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

// Structured lines on standard output: one JSON object for each decision that touches a request or changes what the
// process believes. Writing never blocks: lines that the reader does not take in time are dropped and counted.
namespace pistachiospur {

// The kinds of lines have budgets of their own, so that requests in a flood cannot crowd out changes of state.
enum class EventKind { state, request };

struct EventField {
    const char* name;
    nlohmann::json value;
};

void startEvents(const std::string& host);
// Writes one line, or counts it as dropped when the budget of its kind is used up.
void logEvent(EventKind, const char* event, const std::vector<EventField>&);
std::uint64_t droppedEvents();

} // namespace pistachiospur
