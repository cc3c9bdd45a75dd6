#include "table.h"

#include "io/json.h"

#include <xxhash.h>

#include <cstdio>

namespace pistachiospur {

namespace {

using Json = nlohmann::json;

constexpr const char* kPagesPrefix = "pages/";
constexpr const char* kUpstreamsPrefix = "upstreams/";

} // namespace

UpstreamIndex NameTable::indexOf(const UpstreamName& name)
{
    const auto [it, inserted] = m_indexes.emplace(name, UpstreamIndex { static_cast<std::uint32_t>(m_names.size()) });
    if (inserted)
        m_names.push_back(name);
    return it->second;
}

std::optional<UpstreamIndex> NameTable::find(const UpstreamName& name) const
{
    const auto it = m_indexes.find(name);
    return it == m_indexes.end() ? std::nullopt : std::optional(it->second);
}

const UpstreamName& NameTable::nameOf(UpstreamIndex index) const
{
    static const UpstreamName none;
    return index.value < m_names.size() ? m_names[index.value] : none;
}

SlotId slotOf(const std::string& key, std::uint32_t slots)
{
    return { static_cast<std::uint32_t>(XXH64(key.data(), key.size(), 0) % slots) };
}

std::uint32_t pageCount(std::uint32_t slots) { return (slots + kSlotsPerPage - 1) / kSlotsPerPage; }

std::uint32_t pageOf(SlotId slot) { return slot.value / kSlotsPerPage; }

std::string pageKey(const ServiceName& service, std::uint32_t page)
{
    char buf[8];
    std::snprintf(buf, sizeof buf, "%05u", page);
    return kPagesPrefix + service + "/" + buf;
}

std::string upstreamKey(const UpstreamName& name) { return kUpstreamsPrefix + name; }

std::string pagesPrefix() { return kPagesPrefix; }

std::string upstreamsPrefix() { return kUpstreamsPrefix; }

namespace {

Json encodeSlot(const NameTable& names, const SlotRecord& record)
{
    if (record.owner == kNoUpstream)
        return Json::array();
    Json slot = { names.nameOf(record.owner), record.epoch.value };
    if (record.movingTo != kNoUpstream)
        slot.push_back(names.nameOf(record.movingTo));
    return slot;
}

std::optional<SlotRecord> decodeSlot(NameTable& names, const Json& slot)
{
    if (!slot.is_array())
        return std::nullopt;
    if (slot.empty())
        return SlotRecord {};
    const bool isWellFormed = slot.size() >= 2 && slot.size() <= 3 && slot[0].is_string()
        && slot[1].is_number_unsigned() && (slot.size() == 2 || slot[2].is_string());
    if (!isWellFormed)
        return std::nullopt;
    SlotRecord record { names.indexOf(slot[0]), kNoUpstream, Epoch { slot[1].get<std::uint64_t>() } };
    if (slot.size() == 3)
        record.movingTo = names.indexOf(slot[2]);
    return record;
}

bool applyPage(OwnershipTable& table, const std::string& key, const std::string& text, StoreRevision version)
{
    const auto slash = key.rfind('/');
    const std::string service = key.substr(std::string(kPagesPrefix).size(), slash - std::string(kPagesPrefix).size());
    const auto page = static_cast<std::uint32_t>(std::strtoul(key.c_str() + slash + 1, nullptr, 10));
    const Json slots = parseJson(text);
    if (!slots.is_array() || slots.size() > kSlotsPerPage)
        return false;
    std::vector<SlotRecord> records;
    for (const auto& it : slots) {
        const auto record = decodeSlot(table.names, it);
        if (!record)
            return false;
        records.push_back(*record);
    }
    auto& target = table.services[service];
    const std::size_t first = std::size_t(page) * kSlotsPerPage;
    target.slots.resize(std::max(target.slots.size(), first + records.size()));
    target.pageVersions.resize(std::max<std::size_t>(target.pageVersions.size(), page + 1));
    std::copy(records.begin(), records.end(), target.slots.begin() + static_cast<long>(first));
    target.pageVersions[page] = version;
    return true;
}

} // namespace

std::string encodePage(
    const OwnershipTable& table, const ServiceName& service, std::uint32_t page, const std::vector<SlotChange>& changes)
{
    const auto it = table.services.find(service);
    const std::size_t first = std::size_t(page) * kSlotsPerPage;
    std::vector<SlotRecord> records;
    if (it != table.services.end()) {
        const auto& slots = it->second.slots;
        for (std::size_t n = first; n < std::min(first + kSlotsPerPage, slots.size()); ++n)
            records.push_back(slots[n]);
    }
    for (const auto& change : changes) {
        if (pageOf(change.slot) != page)
            continue;
        records.resize(std::max<std::size_t>(records.size(), change.slot.value - first + 1));
        records[change.slot.value - first] = change.record;
    }
    Json slots = Json::array();
    for (const auto& record : records)
        slots.push_back(encodeSlot(table.names, record));
    return slots.dump();
}

std::string encodeUpstream(const UpstreamRecord& record)
{
    return Json {
        { "state", record.state == UpstreamState::lost ? "lost" : "serving" }, { "fence", record.fence.value },
        { "renewers", record.renewers }
    }.dump();
}

std::optional<UpstreamRecord> decodeUpstream(const std::string& text)
{
    const Json object = parseJson(text);
    if (!object.is_object() || !object.contains("state") || !object.contains("fence") || !object.contains("renewers")
        || !object["fence"].is_number_unsigned() || !object["renewers"].is_array())
        return std::nullopt;
    UpstreamRecord record;
    record.state = object["state"] == "lost" ? UpstreamState::lost : UpstreamState::serving;
    record.fence = Fence { object["fence"].get<std::uint64_t>() };
    for (const auto& it : object["renewers"]) {
        if (!it.is_string())
            return std::nullopt;
        record.renewers.push_back(it);
    }
    return record;
}

bool applyRecord(OwnershipTable& table, const std::string& key, const std::string& text, StoreRevision version)
{
    if (key.compare(0, std::string(kPagesPrefix).size(), kPagesPrefix) == 0)
        return applyPage(table, key, text, version);
    const std::string prefix = kUpstreamsPrefix;
    if (key.compare(0, prefix.size(), prefix) != 0)
        return false;
    const UpstreamName name = key.substr(prefix.size());
    if (text.empty())
        return table.upstreams.erase(name) > 0;
    auto record = decodeUpstream(text);
    if (!record)
        return false;
    record->version = version;
    table.upstreams[name] = *record;
    return true;
}

std::vector<SlotGrant> slotsToGrant(
    const OwnershipTable& table, const ServiceName& service, const UpstreamName& upstream)
{
    std::vector<SlotGrant> slots;
    const auto it = table.services.find(service);
    const auto index = table.names.find(upstream);
    if (it == table.services.end() || !index)
        return slots;
    const auto& records = it->second.slots;
    for (std::uint32_t n = 0; n < records.size(); ++n) {
        if (records[n].owner == *index && records[n].movingTo == kNoUpstream)
            slots.push_back({ SlotId { n }, records[n].epoch });
    }
    return slots;
}

std::map<UpstreamName, std::size_t> ownedCounts(const OwnershipTable& table, const ServiceName& service)
{
    std::map<UpstreamName, std::size_t> counts;
    const auto it = table.services.find(service);
    if (it == table.services.end())
        return counts;
    for (const auto& record : it->second.slots) {
        if (record.owner != kNoUpstream)
            ++counts[table.names.nameOf(record.owner)];
    }
    return counts;
}

} // namespace pistachiospur
