#pragma once

#include "replica.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

// The latest state of each key that a host has applied, with its text, so that the host can hand on what the copy of
// another host lacks.
namespace pistachiospur {

struct ChangeHistory {
    std::map<std::string, StoredValue> values; // of the keys that exist
    std::map<std::string, StoreRevision> deletions; // the latest of the keys that do not
    // Every deletion after this revision is among them. A read of all keys does not show what was deleted before.
    StoreRevision deletionsAfter;
};

// Records a change that was merged into the host's copy.
void recordChange(ChangeHistory&, const KeyChange&);
// Records the deletions of a batch, also of keys that the host did not know: a read may have seen them early, and other
// copies may still have the keys.
void recordDeletions(ChangeHistory&, const ChangeBatch&);
// Records that the copy was brought to a revision by a read of all keys.
void recordRead(ChangeHistory&, StoreRevision to);
// What a copy at revision `since` lacks of this host's copy, which is complete to `to`; empty if it lacks nothing.
// Includes states that this host learned ahead of `to`. Nothing if deletions since may not be known, or `since` belongs
// to another era.
std::optional<ChangeBatch> changesSince(const ChangeHistory&, StoreRevision since, StoreRevision to);

// The keys that exist, and those of them that were put after a revision, which may be of an earlier era: what a host
// can say that does not know which deletions a copy of that revision lacks.
struct KeyList {
    std::vector<std::string> keys;
    ChangeBatch puts;
};
KeyList keysSince(const ChangeHistory&, StoreRevision since, StoreRevision to);
// The snapshot that such a list gives to a copy of its revision `puts.from` or a later one. Values that the copy has
// are left empty.
Snapshot snapshotFrom(KeyList&&, const std::map<std::string, StoreRevision>& knownVersions);

} // namespace pistachiospur
