#include "explain.h"

#include "io/json.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace pistachiospur {

using Json = nlohmann::json;

namespace {

// Changes are included from this long before the request's first line. Longer than a grant's default TTL, so that the
// change that led to the grant in force is included.
constexpr std::int64_t kLookBackMs = 5000;

// Times (ms), services, upstreams and slots in the lines that name one request.
struct RequestTrace {
    std::int64_t firstAt = INT64_MAX;
    std::int64_t lastAt = 0;
    std::set<std::string> services;
    std::set<std::string> upstreams;
    std::set<std::int64_t> slots;
};

std::vector<Json> parseLines(const std::vector<std::string>& logs)
{
    std::vector<Json> lines;
    for (const auto& log : logs) {
        std::istringstream in(log);
        for (std::string line; std::getline(in, line);) {
            const auto start = line.find('{');
            Json object = start == std::string::npos ? Json() : parseJson(line.substr(start));
            const bool isEvent = object.is_object() && object.contains("at") && object["at"].is_number_integer();
            if (isEvent)
                lines.push_back(std::move(object));
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const Json& a, const Json& b) { return a["at"] < b["at"]; });
    return lines;
}

bool namesRequest(const Json& line, const std::string& id) { return line.value("request", Json()) == Json(id); }

RequestTrace traceOf(const std::vector<Json>& lines, const std::string& id)
{
    RequestTrace trace;
    for (const auto& line : lines) {
        if (!namesRequest(line, id))
            continue;
        const std::int64_t at = line["at"];
        trace.firstAt = std::min(trace.firstAt, at);
        trace.lastAt = std::max(trace.lastAt, at);
        if (line.contains("service"))
            trace.services.insert(line["service"]);
        if (line.contains("upstream"))
            trace.upstreams.insert(line["upstream"]);
        if (line.contains("slot"))
            trace.slots.insert(line["slot"].get<std::int64_t>());
    }
    return trace;
}

// True if a line that names no request is about an upstream or slot of the trace, at a relevant time.
bool isRelated(const Json& line, const RequestTrace& trace)
{
    const std::int64_t at = line["at"];
    if (line.contains("request") || at > trace.lastAt || at < trace.firstAt - kLookBackMs)
        return false;
    if (line.contains("upstream") && trace.upstreams.count(line["upstream"]))
        return true;
    if (!line.contains("first") || !line.contains("last") || !trace.services.count(line.value("service", "")))
        return false;
    return std::any_of(trace.slots.begin(), trace.slots.end(),
        [&](std::int64_t slot) { return line["first"] <= slot && slot <= line["last"]; });
}

} // namespace

std::vector<std::string> explainRequest(const std::string& id, const std::vector<std::string>& logs)
{
    const auto lines = parseLines(logs);
    const RequestTrace trace = traceOf(lines, id);
    std::vector<std::string> found;
    for (const auto& it : lines) {
        if (namesRequest(it, id) || isRelated(it, trace))
            found.push_back(it.dump(-1, ' ', false, Json::error_handler_t::replace));
    }
    return found;
}

} // namespace pistachiospur
