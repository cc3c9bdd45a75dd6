#include "table.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pistachiospur {

using Json = nlohmann::json;

namespace {

Json encodeLife(const LifeId& id) { return Json::array({ id.name, id.born.value }); }

LifeId decodeLife(const Json& j) { return { j.at(0).get<std::string>(), { j.at(1).get<std::int64_t>() } }; }

Range decodeRange(const Json& j, StoreRevision revision)
{
    Range range;
    range.first = { j.at("first").get<std::uint32_t>() };
    range.last = { j.at("last").get<std::uint32_t>() };
    range.owner = decodeLife(j.at("owner"));
    range.fence = { j.at("fence").get<std::uint64_t>() };
    if (range.fence == kFenceOfThisWrite)
        range.fence = revision;
    if (j.contains("previous")) {
        for (const auto& it : j["previous"])
            range.previous.push_back(decodeLife(it));
    }
    return range;
}

} // namespace

std::string encode(const RangeTable& table)
{
    Json ranges = Json::array();
    for (const auto& it : table.ranges) {
        Json range = { { "first", it.first.value }, { "last", it.last.value }, { "owner", encodeLife(it.owner) },
            { "fence", it.fence.value } };
        for (const auto& life : it.previous)
            range["previous"].push_back(encodeLife(life));
        ranges.push_back(std::move(range));
    }
    Json earlier = Json::array();
    for (const auto& it : table.earlier)
        earlier.push_back({ it.writer, it.since.count() });
    return Json {
        { "writer", table.writer }, { "hold_ms", table.hold.count() }, { "earlier", earlier }, { "ranges", ranges }
    }.dump();
}

// The JSON library reports missing fields and wrong types by exceptions; they end here.
std::optional<RangeTable> decodeRangeTable(const std::string& text, StoreRevision revision)
{
    try {
        const Json document = Json::parse(text);
        RangeTable table;
        table.writer = document.at("writer").get<std::string>();
        table.hold = Millis(document.at("hold_ms").get<std::int64_t>());
        for (const auto& it : document.at("earlier"))
            table.earlier.push_back({ it.at(0).get<std::string>(), Millis(it.at(1).get<std::int64_t>()) });
        for (const auto& it : document.at("ranges"))
            table.ranges.push_back(decodeRange(it, revision));
        if (!coversEverySlot(table.ranges))
            return std::nullopt;
        return table;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

const Range* findRange(const RangeTable& table, SlotId slot)
{
    const auto it = std::lower_bound(table.ranges.begin(), table.ranges.end(), slot,
        [](const Range& range, SlotId wanted) { return range.last < wanted; });
    return it != table.ranges.end() && it->first <= slot ? &*it : nullptr;
}

bool coversEverySlot(const std::vector<Range>& ranges)
{
    std::uint32_t next = 0;
    for (const auto& it : ranges) {
        if (it.first.value != next || it.last < it.first)
            return false;
        next = it.last.value + 1;
    }
    return next == kKeySlots;
}

namespace {

// Makes a range begin at a slot.
void splitAt(std::vector<Range>& ranges, SlotId slot)
{
    const auto it
        = std::find_if(ranges.begin(), ranges.end(), [&](const Range& n) { return n.first < slot && slot <= n.last; });
    if (it == ranges.end())
        return;
    Range right = *it;
    right.first = slot;
    it->last = { slot.value - 1 };
    ranges.insert(std::next(it), std::move(right));
}

} // namespace

void assign(std::vector<Range>& ranges, SlotId first, SlotId last, const LifeId& owner)
{
    splitAt(ranges, first);
    if (last.value + 1 < kKeySlots)
        splitAt(ranges, { last.value + 1 });
    for (auto& it : ranges) {
        if (it.first < first || last < it.last || it.owner == owner)
            continue;
        it.previous.push_back(it.owner);
        it.previous.erase(std::remove(it.previous.begin(), it.previous.end(), owner), it.previous.end());
        it.owner = owner;
        it.fence = kFenceOfThisWrite;
    }
}

RangeTable changesBetween(const std::vector<Range>& before, const RangeTable& now)
{
    RangeTable changes { now.writer, now.hold, now.earlier, {} };
    auto old = before.begin();
    for (const auto& it : now.ranges) {
        while (old != before.end() && old->first < it.first)
            ++old;
        if (old == before.end() || !(*old == it))
            changes.ranges.push_back(it);
    }
    return changes;
}

RangeTable withChanges(const RangeTable& before, const RangeTable& changes)
{
    RangeTable now = changes;
    now.ranges = before.ranges;
    auto& ranges = now.ranges;
    for (const auto& it : changes.ranges) {
        splitAt(ranges, it.first);
        if (it.last.value + 1 < kKeySlots)
            splitAt(ranges, { it.last.value + 1 });
        const auto covered = [&](const Range& n) { return it.first <= n.first && n.last <= it.last; };
        const auto at = std::find_if(ranges.begin(), ranges.end(), covered);
        const auto end = std::find_if_not(at, ranges.end(), covered);
        ranges.insert(ranges.erase(at, end), it);
    }
    return now;
}

void joinNeighbours(std::vector<Range>& ranges)
{
    std::vector<Range> joined;
    for (auto& it : ranges) {
        const bool same = !joined.empty() && joined.back().owner == it.owner && joined.back().fence == it.fence
            && it.previous.empty() && joined.back().previous.empty();
        if (same)
            joined.back().last = it.last;
        else
            joined.push_back(std::move(it));
    }
    ranges = std::move(joined);
}

} // namespace pistachiospur
