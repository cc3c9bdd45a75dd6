#pragma once

#include "pistachiospur/types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

// A host's copy of everything that the project keeps in the store, always equal to the store at one revision. Copies
// only move forward, so no host ever goes back behind what it has had in force.
namespace pistachiospur {

struct StoredValue {
    std::string text;
    StoreRevision version; // revision of its last change
};

// One key's change. Without text the key was deleted.
struct KeyChange {
    std::string key; // below the prefix
    std::optional<std::string> text;
    StoreRevision version;
};

// All changes after revision `from` up to and including `to`, in order.
struct ChangeBatch {
    StoreRevision from;
    StoreRevision to;
    std::vector<KeyChange> changes;
};

// The whole content at one revision.
struct Snapshot {
    StoreRevision revision;
    std::map<std::string, StoredValue> values;
};

struct Replica {
    StoreRevision revision; // zero: nothing read yet
    std::map<std::string, StoredValue> values;
    std::deque<ChangeBatch> recent; // for hosts that are a little behind
    std::size_t recentChanges = 0;
};

// Changes kept for hosts that are behind; a host further back gets a snapshot.
constexpr std::size_t kRecentChanges = 2000;

enum class BatchVerdict {
    applied,
    known, // nothing in it is new
    gap, // changes before it are missing
};

BatchVerdict applyBatch(Replica&, const ChangeBatch&);
// Replaces the content when the snapshot is newer; returns the keys whose value differs from before.
std::vector<KeyChange> applySnapshot(Replica&, const Snapshot&);
// The changes after a revision, when they are all still kept.
std::optional<ChangeBatch> changesSince(const Replica&, StoreRevision);
Snapshot snapshotOf(const Replica&);

} // namespace pistachiospur
