#pragma once

#include <string>
#include <vector>

// Puts together, from the logs of several hosts, what decided one request.
namespace pistachiospur {

// The lines that name the request, and from shortly before its end those that changed what hosts believed of its slot
// or of its upstream; in the order of their clocks. Text before a line's JSON, such as a collector's prefix, is
// ignored.
std::vector<std::string> explainRequest(const std::string& id, const std::vector<std::string>& logs);

} // namespace pistachiospur
