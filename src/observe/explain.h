#pragma once

#include <string>
#include <vector>

// Finds, in the event logs of several hosts, the lines that explain the outcome of one request.
namespace pistachiospur {

// Returns the lines that name the request, and the lines about its slots and upstreams from shortly before its first
// line until its last one. Sorted by the lines' own timestamps. Text before a line's JSON, such as a log collector's
// prefix, is ignored.
std::vector<std::string> explainRequest(const std::string& id, const std::vector<std::string>& logs);

} // namespace pistachiospur
