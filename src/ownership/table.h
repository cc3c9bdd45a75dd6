#pragma once

#include "pistachiospur/grant.h"
#include "pistachiospur/types.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// Who owns what, decoded from the store's pages and upstream records: the same on every host up to its store revision.
namespace pistachiospur {

// Slots in one store record. Fixed for the life of a service.
constexpr std::uint32_t kPageSlots = 256;
// Hosts that may renew one upstream.
constexpr std::size_t kRenewers = 3;

// Index of an upstream's name in a NameTable. The highest value means none.
using UpstreamIndex = Strong<struct UpstreamIndexTag, std::uint32_t>;
constexpr UpstreamIndex kNoUpstream { UINT32_MAX };

// Gives each upstream name a small number, so that a slot's record stays small.
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
    UpstreamIndex movingTo = kNoUpstream; // set while a planned move is under way
    Epoch epoch;

    friend bool operator==(const SlotRecord& a, const SlotRecord& b)
    {
        return a.owner == b.owner && a.movingTo == b.movingTo && a.epoch == b.epoch;
    }
};

enum class UpstreamState { serving, lost };

// The store's record of an upstream's standing and of the hosts that may renew it.
struct UpstreamRecord {
    UpstreamState state = UpstreamState::serving;
    Fence fence;
    std::vector<HostName> renewers; // in order of preference
    StoreRevision version; // of the store record

    friend bool operator==(const UpstreamRecord& a, const UpstreamRecord& b)
    {
        return std::tie(a.state, a.fence, a.renewers) == std::tie(b.state, b.fence, b.renewers);
    }
};

struct ServiceTable {
    std::vector<SlotRecord> slots;
    std::vector<StoreRevision> pageVersions; // zero: no such page yet
};

struct OwnershipTable {
    NameTable names;
    std::map<ServiceName, ServiceTable> services;
    std::map<UpstreamName, UpstreamRecord> upstreams;
};

// One slot's new record.
struct SlotChange {
    SlotId slot;
    SlotRecord record;

    friend bool operator==(const SlotChange& a, const SlotChange& b)
    {
        return a.slot == b.slot && a.record == b.record;
    }
};

// The slot of a key within a service of so many slots.
SlotId slotOf(const std::string& key, std::uint32_t slots);
// Number of pages of a service.
std::uint32_t pageCount(std::uint32_t slots);
std::uint32_t pageOf(SlotId);

// Store key names below the prefix.
std::string pageKey(const ServiceName&, std::uint32_t page);
std::string upstreamKey(const UpstreamName&);
std::string pagesPrefix();
std::string upstreamsPrefix();

// Encodes one page with changes laid over the table's present records.
std::string encodePage(const OwnershipTable&, const ServiceName&, std::uint32_t page, const std::vector<SlotChange>&);
std::string encodeUpstream(const UpstreamRecord&);
std::optional<UpstreamRecord> decodeUpstream(const std::string& text);

// Takes one store record into the table; an empty text removes it. False when the key is of another kind or the text
// cannot be read, in which case the table keeps what it had.
bool applyRecord(OwnershipTable&, const std::string& key, const std::string& text, StoreRevision version);

// The sorted slots of a service that an upstream owns and that are not moving away.
std::vector<SlotGrant> slotsToGrant(const OwnershipTable&, const ServiceName&, const UpstreamName&);
// Number of slots owned by each upstream of the service, moving ones included.
std::map<UpstreamName, std::size_t> ownedCounts(const OwnershipTable&, const ServiceName&);

} // namespace pistachiospur
