#pragma once

#include "replica.h"

#include <map>
#include <string>
#include <vector>

// The versions of the store's keys that a host has applied, without their values. Reads, watched changes and relayed
// changes reach a host late, twice and out of order; merging them here keeps an older state of a key from replacing a
// newer one, also after the key was deleted.
namespace pistachiospur {

struct KeyVersions {
    StoreRevision completeTo; // every change up to this revision has been merged; zero before the first snapshot
    std::map<std::string, StoreRevision> versions; // of the keys that exist
    std::map<std::string, StoreRevision> ahead; // of them, those put after completeTo
};

// What a snapshot changes.
struct SnapshotMerge {
    std::vector<KeyChange> changes; // for this host's copy
    // Turns every copy that is complete to `relay.from` into the snapshot's state. Holds more than `changes` where this
    // host knew a key already.
    ChangeBatch relay;
};

// Whether a batch cannot be merged, because changes before it are missing. So may be deletions that a read does not
// show, so a batch that was made from one is merged nowhere.
bool hasGap(const KeyVersions&, const ChangeBatch&);
// Merges a batch without a gap. Returns the changes that are new. If a key that was learned ahead is missing from a
// batch that was made from a read, the result contains its deletion.
std::vector<KeyChange> mergeBatch(KeyVersions&, ChangeBatch);
// Merges a read of all keys. A snapshot older than `completeTo` changes nothing. Its pages may have been read one after
// the other, so that it also contains some changes after its revision; the watch from its revision repeats those.
SnapshotMerge mergeSnapshot(KeyVersions&, Snapshot&&);
// Merges one key that was learned by itself, such as from this host's own write. Returns false if the same or a later
// state of the key is known, including that it was deleted since.
bool mergeRecord(KeyVersions&, const std::string& key, StoreRevision version);

} // namespace pistachiospur
