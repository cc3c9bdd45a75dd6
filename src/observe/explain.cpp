#include "explain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace pistachiospur {

using Json = nlohmann::json;

namespace {

// How far before a request's end a change counts as a part of its story, in ms: longer than any grant.
constexpr std::int64_t kStory = 5000;

struct Story {
    std::int64_t first = INT64_MAX;
    std::int64_t last = 0;
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
            Json object = start == std::string::npos ? Json() : Json::parse(line.substr(start), nullptr, false);
            const bool good = object.is_object() && object.contains("at") && object["at"].is_number_integer();
            if (good)
                lines.push_back(std::move(object));
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const Json& a, const Json& b) { return a["at"] < b["at"]; });
    return lines;
}

bool names(const Json& line, const std::string& id) { return line.value("request", Json()) == Json(id); }

Story storyOf(const std::vector<Json>& lines, const std::string& id)
{
    Story story;
    for (const auto& it : lines) {
        if (!names(it, id))
            continue;
        const std::int64_t at = it["at"];
        story.first = std::min(story.first, at);
        story.last = std::max(story.last, at);
        if (it.contains("service"))
            story.services.insert(it["service"]);
        if (it.contains("upstream"))
            story.upstreams.insert(it["upstream"]);
        if (it.contains("slot"))
            story.slots.insert(it["slot"].get<std::int64_t>());
    }
    return story;
}

bool concerns(const Json& line, const Story& story)
{
    const std::int64_t at = line["at"];
    if (line.contains("request") || at > story.last || at < story.first - kStory)
        return false;
    if (line.contains("upstream") && story.upstreams.count(line["upstream"]))
        return true;
    if (!line.contains("first") || !line.contains("last") || !story.services.count(line.value("service", "")))
        return false;
    return std::any_of(story.slots.begin(), story.slots.end(),
        [&](std::int64_t slot) { return line["first"] <= slot && slot <= line["last"]; });
}

} // namespace

std::vector<std::string> explainRequest(const std::string& id, const std::vector<std::string>& logs)
{
    const auto lines = parseLines(logs);
    const Story story = storyOf(lines, id);
    std::vector<std::string> found;
    for (const auto& it : lines) {
        if (names(it, id) || concerns(it, story))
            found.push_back(it.dump(-1, ' ', false, Json::error_handler_t::replace));
    }
    return found;
}

} // namespace pistachiospur
