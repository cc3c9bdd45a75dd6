#pragma once

#include "pistachiospur/era.h"
#include "pistachiospur/errors.h"
#include "store/store.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

// The records of hosts, range leaders and quarantined requests in the store.
namespace pistachiospur {

struct HostEntry {
    HostName host;
    DataCentreName dataCentre;
    Endpoint peers; // where the host accepts connections of other hosts
    Incarnation incarnation;
    double weight = 1; // for rendezvous hashing: the processor cores that the host may use
    bool leaving = false;
    StoreRevision version; // of its entry, in the era in which its host wrote it
    std::optional<Millis> entryGoneSince; // monotonic clock; set once the host's entry is deleted
};

// The range leader of a service, as recorded in the store.
struct LeaderEntry {
    HostName host;
    Incarnation incarnation;
    LeaseId lease; // the record is deleted when this lease ends
    // Names this election like no other. A key with this name is written and deleted together with the record.
    std::string claim;
    StoreRevision version; // in the era in which its host was elected; in any later era the record does not count
};

// What is known of a request that ends the upstreams that run it. Its key names its fingerprint.
struct QuarantineRecord {
    std::set<std::uint64_t> breakIds;
    std::string request; // method and target of one copy, for operators
    bool cleared = false; // by an operator
};

// The text of a record, and the record of a text; nothing, with the faults, if it is not one. `stored` is the key's
// version. A record names an era of its own up to that of `stored`; one beyond would outrank all later records.
std::string encode(const HostEntry&);
std::optional<HostEntry> decodeHostEntry(
    const HostName&, const std::string& text, StoreRevision stored, std::vector<FieldError>& faults);
std::string encode(const LeaderEntry&);
std::optional<LeaderEntry> decodeLeaderEntry(
    const std::string& text, StoreRevision stored, std::vector<FieldError>& faults);
std::optional<LeaderEntry> decodeLeaderEntry(const std::string& text, StoreRevision stored);
std::string encode(const QuarantineRecord&);
std::optional<QuarantineRecord> decodeQuarantineRecord(const std::string& text, std::vector<FieldError>& faults);

} // namespace pistachiospur
