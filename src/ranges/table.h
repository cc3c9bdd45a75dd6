#pragma once

#include "pistachiospur/era.h"
#include "upstream/instance.h"

#include <optional>
#include <string>
#include <vector>

// The range table of a keyed service: which upstream owns which slots, under which fencing token. The whole table is
// one record in the store and changes only by conditional write, so that hosts never act on conflicting tables.
namespace pistachiospur {

// Slots of a keyed service are numbered from 0.
constexpr std::uint32_t kKeySlots = 65536;

// A run of slots with one owner.
struct Range {
    SlotId first;
    SlotId last; // inclusive
    InstanceId owner;
    StoreRevision fence; // fencing token of its grants: era and revision of the write that assigned it to the owner
    // Previous owners that may still hold the range. The owner gets no grant until each of them has released it or its
    // grants have expired.
    std::vector<InstanceId> previous;

    friend bool operator==(const Range& a, const Range& b)
    {
        return std::tie(a.first, a.last, a.owner, a.fence, a.previous)
            == std::tie(b.first, b.last, b.owner, b.fence, b.previous);
    }
};

// Stands in `previous` for any upstream: a leader that no table names may have granted the range to it.
inline const InstanceId kUnknownOwner {};

// A previous leader that wrote the table and may still be renewing grants.
struct PreviousWriter {
    std::string writer;
    // For how long, at least, its lease had ended when the table was written. A duration, since hosts' times of day
    // differ and jump.
    Millis leaseEndedFor {};

    friend bool operator==(const PreviousWriter& a, const PreviousWriter& b)
    {
        return a.writer == b.writer && a.leaseEndedFor == b.leaseEndedFor;
    }
};

struct RangeTable {
    // Names the leader's process and the write. A leader that got no answer from the store reads here whether its write
    // took effect.
    std::string writer;
    Millis grantTtl {}; // TTL of grants under this table; at least that of the table before
    std::vector<PreviousWriter> previousWriters;
    std::vector<Range> ranges; // sorted by slot, without gaps
    StoreEra era {}; // in which its writer was elected; a table of an earlier era may not be the latest
    // For how long, from the write, grants may be valid that neither this table nor its writer knows of. The store lost
    // the table of their leader.
    Millis unknownGrantsFor {};

    friend bool operator==(const RangeTable& a, const RangeTable& b)
    {
        return std::tie(a.writer, a.grantTtl, a.previousWriters, a.ranges, a.era, a.unknownGrantsFor)
            == std::tie(b.writer, b.grantTtl, b.previousWriters, b.ranges, b.era, b.unknownGrantsFor);
    }
};

// The revision of a table in the order over all eras. A copy of the store keeps the counters of its keys, so the era is
// that of the table, not that of the read.
constexpr StoreRevision revisionOf(const RangeTable& table, StoreRevision stored) { return inEra(table.era, stored); }

// Placeholder for the store revision that the write of this table will get.
constexpr StoreRevision kFenceOfThisWrite {};

std::string encode(const RangeTable&);
// Nothing if the text is not a complete table. `stored` is the revision of its key in the store. Replaces
// kFenceOfThisWrite by the table's revision.
std::optional<RangeTable> decodeRangeTable(const std::string& text, StoreRevision stored);

// The range that contains the slot; null if the table is empty.
const Range* findRange(const RangeTable&, SlotId);
// Whether the ranges are sorted and cover every slot exactly once.
bool coversEverySlot(const std::vector<Range>&);

// Assigns the slots from `first` to `last` to a new owner under kFenceOfThisWrite. Splits ranges at both ends of the
// run and adds each replaced owner to the `previous` of its range.
void assign(std::vector<Range>&, SlotId first, SlotId last, const InstanceId& owner);
// The table `now` without the ranges that are identical in `before`.
RangeTable changesBetween(const std::vector<Range>& before, const RangeTable& now);
// Applies such changes to the table that they are based on. Copies all members of `changes`, not only the ranges,
// because a host that becomes leader needs the writers named in the table.
RangeTable applyChanges(const RangeTable& before, const RangeTable& changes);
bool hasUnknownOwner(const Range&);
// Adds kUnknownOwner to the `previous` of a range if it is not there.
void addUnknownOwner(Range&);
// Joins neighbouring ranges with the same owner and fencing token and no previous owners.
void joinNeighbours(std::vector<Range>&);

} // namespace pistachiospur
