#pragma once

#include "upstream/life.h"

#include <optional>
#include <string>
#include <vector>

// Who owns the slots of a keyed service whose upstreams take ranges under fencing tokens. The whole table is one record
// in the store, changed only by conditional write, so two hosts never act on tables that contradict each other.
namespace pistachiospur {

// Slots of a keyed service are numbered from 0.
constexpr std::uint32_t kKeySlots = 65536;

// A run of slots with one owner.
struct Range {
    SlotId first;
    SlotId last; // inclusive
    LifeId owner;
    StoreRevision fence; // fencing token of its grants: the revision of the write that gave it to the owner
    std::vector<LifeId> previous; // may still hold the range: released or waited out before the owner gets it

    friend bool operator==(const Range& a, const Range& b)
    {
        return std::tie(a.first, a.last, a.owner, a.fence, a.previous)
            == std::tie(b.first, b.last, b.owner, b.fence, b.previous);
    }
};

// A writer of the table before that may still be renewing grants.
struct EarlierWriter {
    std::string writer;
    Millis since {}; // wall clock: its lease had ended by then

    friend bool operator==(const EarlierWriter& a, const EarlierWriter& b)
    {
        return a.writer == b.writer && a.since == b.since;
    }
};

struct RangeTable {
    std::string writer; // names the keeper's process and the write, so that a lost answer can be settled
    Millis hold {}; // life of the grants under this table; never shorter than under an earlier one
    std::vector<EarlierWriter> earlier;
    std::vector<Range> ranges; // in order, without gaps

    friend bool operator==(const RangeTable& a, const RangeTable& b)
    {
        return std::tie(a.writer, a.hold, a.earlier, a.ranges) == std::tie(b.writer, b.hold, b.earlier, b.ranges);
    }
};

// A fence of zero stands for the revision of the write that carries it.
constexpr StoreRevision kFenceOfThisWrite {};

std::string encode(const RangeTable&);
// Nothing unless the text is a whole table. Fences of zero become the revision.
std::optional<RangeTable> decodeRangeTable(const std::string& text, StoreRevision);

// The range that holds a slot; null in an empty table.
const Range* findRange(const RangeTable&, SlotId);
// True when the ranges are in order and cover every slot once.
bool coversEverySlot(const std::vector<Range>&);

// Gives the slots from `first` to `last` to a new owner under a fence of this write. Ranges are split where the run
// begins or ends inside them; the owner before joins `previous`.
void assign(std::vector<Range>&, SlotId first, SlotId last, const LifeId& owner);
// A table with only those of its ranges that stand in it otherwise than in an earlier one.
RangeTable changesBetween(const std::vector<Range>& before, const RangeTable& now);
// The later table, from the earlier one and those changes. All of it, not the ranges alone: a host that becomes the
// keeper goes by the writers that the table names.
RangeTable withChanges(const RangeTable& before, const RangeTable& changes);
// Joins neighbours that differ in nothing but their slots.
void joinNeighbours(std::vector<Range>&);

} // namespace pistachiospur
