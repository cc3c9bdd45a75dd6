#pragma once

#include "pistachiospur/types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

// A host's copy of all the project's records in the store. It always equals the store at one revision. The revision
// only rises, so a host never returns to an older configuration or ownership table.
namespace pistachiospur {

struct StoredValue {
    std::string text;
    StoreRevision version; // store revision of the key's last change
};

// A change of one key. Without `text` the key was deleted.
struct KeyChange {
    std::string key; // without the store prefix
    std::optional<std::string> text;
    StoreRevision version;
};

// All changes after revision `from` up to and including `to`, in order.
struct ChangeBatch {
    StoreRevision from;
    StoreRevision to;
    std::vector<KeyChange> changes;
    // The batch compares a read at `to` with the state at `from`. It has no trace of a key that was put and deleted in
    // between, so it must not be applied to a copy of a revision in between.
    bool fromRead = false;
};

// All keys and values at one revision.
struct Snapshot {
    StoreRevision revision;
    std::map<std::string, StoredValue> values;
};

struct Replica {
    StoreRevision revision; // zero before the first snapshot
    std::map<std::string, StoredValue> values;
    std::deque<ChangeBatch> recent; // latest changes, for hosts that lag behind
    std::size_t recentChangeCount = 0;
};

// Changes kept for hosts that lag behind. A host that lags further gets a snapshot.
constexpr std::size_t kMaxRecentChanges = 2000;

enum class BatchResult {
    applied,
    alreadyApplied, // the replica already includes the batch's last revision
    gap, // the changes between the replica and the batch are missing
};

BatchResult applyBatch(Replica&, const ChangeBatch&);
// Replaces the replica's content if the snapshot is newer. Returns the changes that this made.
std::vector<KeyChange> applySnapshot(Replica&, const Snapshot&);
// The changes after a revision, or nothing if some of them are no longer kept.
std::optional<ChangeBatch> changesSince(const Replica&, StoreRevision);
Snapshot snapshotOf(const Replica&);

} // namespace pistachiospur
