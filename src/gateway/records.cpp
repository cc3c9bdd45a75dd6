#include "records.h"

#include "config/fields.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace pistachiospur {

namespace {

constexpr double kMinWeight = 0.01; // rendezvous hashing divides by the weight
constexpr double kMaxWeight = 4096; // processor cores
constexpr std::size_t kMaxBreaksPerRecord = 16;

StoreRevision readVersion(FieldReader& reader, StoreRevision stored)
{
    return inEra({ reader.counterOr("era", eraOf(stored).value, 0) }, stored);
}

} // namespace

std::string encode(const HostEntry& entry)
{
    return Json {
        { "data_centre", entry.dataCentre }, { "address", entry.peers.address }, { "port", entry.peers.port },
        { "incarnation", entry.incarnation.value }, { "weight", entry.weight }, { "leaving", entry.leaving },
        { "era", eraOf(entry.version).value }
    }.dump();
}

std::optional<HostEntry> decodeHostEntry(
    const HostName& host, const std::string& text, StoreRevision stored, std::vector<FieldError>& faults)
{
    const auto document = parseDocument(text, host, faults);
    if (!document)
        return std::nullopt;
    FieldReader reader(*document, host, faults);
    HostEntry entry;
    entry.host = host;
    entry.dataCentre = reader.text("data_centre");
    entry.peers = reader.endpoint("address", "port");
    entry.incarnation = { reader.counter("incarnation", UINT64_MAX) };
    entry.weight = std::max(kMinWeight, reader.numberOr("weight", 0, kMaxWeight, 1));
    entry.leaving = reader.flagOr("leaving", false);
    entry.version = readVersion(reader, stored);
    return faults.empty() ? std::optional(entry) : std::nullopt;
}

std::string encode(const LeaderEntry& entry)
{
    return Json {
        { "host", entry.host }, { "incarnation", entry.incarnation.value }, { "lease", entry.lease.value },
        { "claim", entry.claim }, { "era", eraOf(entry.version).value }
    }.dump();
}

std::optional<LeaderEntry> decodeLeaderEntry(
    const std::string& text, StoreRevision stored, std::vector<FieldError>& faults)
{
    const auto document = parseDocument(text, "leader", faults);
    if (!document)
        return std::nullopt;
    FieldReader reader(*document, "leader", faults);
    LeaderEntry entry;
    entry.host = reader.text("host");
    entry.incarnation = { reader.counter("incarnation", UINT64_MAX) };
    entry.lease = { reader.counter("lease", UINT64_MAX) };
    entry.claim = reader.textOr("claim", "");
    entry.version = readVersion(reader, stored);
    return faults.empty() ? std::optional(entry) : std::nullopt;
}

std::optional<LeaderEntry> decodeLeaderEntry(const std::string& text, StoreRevision stored)
{
    std::vector<FieldError> ignored;
    return decodeLeaderEntry(text, stored, ignored);
}

std::string encode(const QuarantineRecord& record)
{
    Json breaks = Json::array();
    for (const auto it : record.breakIds) {
        if (breaks.size() < kMaxBreaksPerRecord)
            breaks.push_back(absl::StrCat(absl::Hex(it)));
    }
    const Json document = { { "breaks", breaks }, { "request", record.request }, { "cleared", record.cleared } };
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<QuarantineRecord> decodeQuarantineRecord(const std::string& text, std::vector<FieldError>& faults)
{
    const auto document = parseDocument(text, "quarantine", faults);
    if (!document)
        return std::nullopt;
    FieldReader reader(*document, "quarantine", faults);
    QuarantineRecord record;
    for (const auto& it : reader.texts("breaks", 0)) {
        std::uint64_t id = 0;
        if (record.breakIds.size() < kMaxBreaksPerRecord && absl::SimpleHexAtoi(it, &id))
            record.breakIds.insert(id);
    }
    record.request = reader.textOr("request", "");
    record.cleared = reader.flagOr("cleared", false);
    return faults.empty() ? std::optional(record) : std::nullopt;
}

} // namespace pistachiospur
