#include "table.h"

#include "io/json.h"

#include <algorithm>

namespace pistachiospur {

using Json = nlohmann::json;

namespace {

Json encodeInstance(const InstanceId& id) { return Json::array({ id.name, id.startTime.value }); }

InstanceId decodeInstance(const Json& j) { return { j.at(0).get<std::string>(), { j.at(1).get<std::int64_t>() } }; }

Range decodeRange(const Json& j, StoreRevision fenceOfWrite)
{
    Range range;
    range.first = { j.at("first").get<std::uint32_t>() };
    range.last = { j.at("last").get<std::uint32_t>() };
    range.owner = decodeInstance(j.at("owner"));
    range.fence = { j.at("fence").get<std::uint64_t>() };
    if (range.fence == kFenceOfThisWrite)
        range.fence = fenceOfWrite;
    if (j.contains("previous")) {
        for (const auto& it : j["previous"])
            range.previous.push_back(decodeInstance(it));
    }
    return range;
}

} // namespace

std::string encode(const RangeTable& table)
{
    Json ranges = Json::array();
    for (const auto& range : table.ranges) {
        Json record = { { "first", range.first.value }, { "last", range.last.value },
            { "owner", encodeInstance(range.owner) }, { "fence", range.fence.value } };
        for (const auto& instance : range.previous)
            record["previous"].push_back(encodeInstance(instance));
        ranges.push_back(std::move(record));
    }
    Json previousWriters = Json::array();
    for (const auto& it : table.previousWriters)
        previousWriters.push_back({ it.writer, it.leaseEndedFor.count() });
    return Json {
        { "writer", table.writer }, { "era", table.era.value }, { "hold_ms", table.grantTtl.count() },
        { "unknown_grants_ms", table.unknownGrantsFor.count() }, { "previous_writers", previousWriters },
        { "ranges", ranges }
    }.dump();
}

// The JSON library throws exceptions for missing fields and wrong types. They are caught here.
std::optional<RangeTable> decodeRangeTable(const std::string& text, StoreRevision stored)
{
    try {
        const Json document = parseJson(text);
        RangeTable table;
        table.writer = document.at("writer").get<std::string>();
        table.era = { document.value("era", std::uint64_t(0)) };
        table.unknownGrantsFor = Millis(document.value("unknown_grants_ms", std::int64_t(0)));
        table.grantTtl = Millis(document.at("hold_ms").get<std::int64_t>());
        for (const auto& it : document.at("previous_writers"))
            table.previousWriters.push_back({ it.at(0).get<std::string>(), Millis(it.at(1).get<std::int64_t>()) });
        for (const auto& it : document.at("ranges"))
            table.ranges.push_back(decodeRange(it, revisionOf(table, stored)));
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

// Splits the range that contains the slot, so that a range begins at the slot.
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

void assign(std::vector<Range>& ranges, SlotId first, SlotId last, const InstanceId& owner)
{
    splitAt(ranges, first);
    if (last.value + 1 < kKeySlots)
        splitAt(ranges, { last.value + 1 });
    for (auto& range : ranges) {
        if (range.first < first || last < range.last || range.owner == owner)
            continue;
        range.previous.push_back(range.owner);
        range.previous.erase(std::remove(range.previous.begin(), range.previous.end(), owner), range.previous.end());
        range.owner = owner;
        range.fence = kFenceOfThisWrite;
    }
}

RangeTable changesBetween(const std::vector<Range>& before, const RangeTable& now)
{
    RangeTable changes = now;
    changes.ranges.clear();
    auto old = before.begin();
    for (const auto& it : now.ranges) {
        while (old != before.end() && old->first < it.first)
            ++old;
        if (old == before.end() || !(*old == it))
            changes.ranges.push_back(it);
    }
    return changes;
}

RangeTable applyChanges(const RangeTable& before, const RangeTable& changes)
{
    RangeTable now = changes;
    now.ranges = before.ranges;
    auto& ranges = now.ranges;
    for (const auto& changed : changes.ranges) {
        splitAt(ranges, changed.first);
        if (changed.last.value + 1 < kKeySlots)
            splitAt(ranges, { changed.last.value + 1 });
        const auto covered = [&](const Range& n) { return changed.first <= n.first && n.last <= changed.last; };
        const auto begin = std::find_if(ranges.begin(), ranges.end(), covered);
        const auto end = std::find_if_not(begin, ranges.end(), covered);
        ranges.insert(ranges.erase(begin, end), changed);
    }
    return now;
}

bool hasUnknownOwner(const Range& range)
{
    return std::find(range.previous.begin(), range.previous.end(), kUnknownOwner) != range.previous.end();
}

void addUnknownOwner(Range& range)
{
    if (!hasUnknownOwner(range))
        range.previous.push_back(kUnknownOwner);
}

void joinNeighbours(std::vector<Range>& ranges)
{
    std::vector<Range> joined;
    for (auto& range : ranges) {
        const bool joinable = !joined.empty() && joined.back().owner == range.owner
            && joined.back().fence == range.fence && range.previous.empty() && joined.back().previous.empty();
        if (joinable)
            joined.back().last = range.last;
        else
            joined.push_back(std::move(range));
    }
    ranges = std::move(joined);
}

} // namespace pistachiospur
