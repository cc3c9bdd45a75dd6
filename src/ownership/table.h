#pragma once

#include "pistachiospur/grant.h"
#include "pistachiospur/types.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// The ownership table, decoded from the store's pages and upstream records. Hosts at the same store revision have the
// same table.
namespace pistachiospur {

// Slots in one store record (page). Must not change once a service has stored pages.
constexpr std::uint32_t kSlotsPerPage = 256;
// Maximum number of hosts that may renew one upstream's grant.
constexpr std::size_t kMaxRenewers = 3;

// Index of an upstream's name in a NameTable. kNoUpstream stands for no upstream.
using UpstreamIndex = Strong<struct UpstreamIndexTag, std::uint32_t>;
constexpr UpstreamIndex kNoUpstream { UINT32_MAX };

// Interns upstream names: each name gets a small index, which keeps slot records small.
class NameTable {
public:
    UpstreamIndex indexOf(const UpstreamName&);
    std::optional<UpstreamIndex> find(const UpstreamName&) const;
    const UpstreamName& nameOf(UpstreamIndex) const;

private:
    std::vector<UpstreamName> m_names;
    std::unordered_map<UpstreamName, UpstreamIndex> m_indexes;
};

struct SlotRecord {
    UpstreamIndex owner = kNoUpstream;
    UpstreamIndex movingTo = kNoUpstream; // new owner while a planned move is in progress
    Epoch epoch;

    friend bool operator==(const SlotRecord& a, const SlotRecord& b)
    {
        return a.owner == b.owner && a.movingTo == b.movingTo && a.epoch == b.epoch;
    }
};

enum class UpstreamState { serving, lost };

// The stored record of an upstream's state and of the hosts that may renew its grant.
struct UpstreamRecord {
    UpstreamState state = UpstreamState::serving;
    Fence fence;
    std::vector<HostName> renewers; // in order of preference
    StoreRevision version; // store revision at which the record was last written

    friend bool operator==(const UpstreamRecord& a, const UpstreamRecord& b)
    {
        return std::tie(a.state, a.fence, a.renewers) == std::tie(b.state, b.fence, b.renewers);
    }
};

struct ServiceTable {
    std::vector<SlotRecord> slots;
    std::vector<StoreRevision> pageVersions; // zero if the page is not stored yet
};

struct OwnershipTable {
    NameTable names;
    std::map<ServiceName, ServiceTable> services;
    std::map<UpstreamName, UpstreamRecord> upstreams;
};

// A slot and the record to write for it.
struct SlotChange {
    SlotId slot;
    SlotRecord record;

    friend bool operator==(const SlotChange& a, const SlotChange& b)
    {
        return a.slot == b.slot && a.record == b.record;
    }
};

// Hashes a key to one of the service's `slots` slots.
SlotId slotOf(const std::string& key, std::uint32_t slots);
// Number of pages of a service with `slots` slots.
std::uint32_t pageCount(std::uint32_t slots);
std::uint32_t pageOf(SlotId);

// Store keys and key prefixes, relative to the store prefix of the installation.
std::string pageKey(const ServiceName&, std::uint32_t page);
std::string upstreamKey(const UpstreamName&);
std::string pagesPrefix();
std::string upstreamsPrefix();

// Encodes one page: the table's current records with `changes` applied.
std::string encodePage(const OwnershipTable&, const ServiceName&, std::uint32_t page, const std::vector<SlotChange>&);
std::string encodeUpstream(const UpstreamRecord&);
// Returns nothing if the text is not a valid record. The version is not set.
std::optional<UpstreamRecord> decodeUpstream(const std::string& text);

// Applies one store record to the table. For an upstream's key, an empty text removes the record. Returns false and
// leaves the table's records unchanged if the key is neither a page's nor an upstream's, the text is not valid, or
// there is no record to remove.
bool applyRecord(OwnershipTable&, const std::string& key, const std::string& text, StoreRevision version);

// The slots of a service that an upstream owns and that are not marked as moving, sorted.
std::vector<SlotGrant> slotsToGrant(const OwnershipTable&, const ServiceName&, const UpstreamName&);
// Number of slots owned by each upstream of the service, including slots marked as moving.
std::map<UpstreamName, std::size_t> ownedCounts(const OwnershipTable&, const ServiceName&);

} // namespace pistachiospur
