#include "replica.h"

namespace pistachiospur {

namespace {

void applyChange(Replica& replica, const KeyChange& change)
{
    if (change.text)
        replica.values[change.key] = { *change.text, change.version };
    else
        replica.values.erase(change.key);
}

void addRecent(Replica& replica, ChangeBatch batch)
{
    replica.recentChangeCount += batch.changes.size();
    replica.recent.push_back(std::move(batch));
    while (replica.recentChangeCount > kMaxRecentChanges && replica.recent.size() > 1) {
        replica.recentChangeCount -= replica.recent.front().changes.size();
        replica.recent.pop_front();
    }
}

} // namespace

BatchResult applyBatch(Replica& replica, const ChangeBatch& batch)
{
    if (batch.to <= replica.revision)
        return BatchResult::alreadyApplied;
    const bool isInsideRead = batch.fromRead && replica.revision != batch.from;
    if (replica.revision.value == 0 || replica.revision < batch.from || isInsideRead)
        return BatchResult::gap;
    ChangeBatch fresh { replica.revision, batch.to, {}, batch.fromRead };
    for (const auto& change : batch.changes) {
        if (change.version <= replica.revision)
            continue;
        applyChange(replica, change);
        fresh.changes.push_back(change);
    }
    replica.revision = batch.to;
    addRecent(replica, std::move(fresh));
    return BatchResult::applied;
}

std::vector<KeyChange> applySnapshot(Replica& replica, const Snapshot& snapshot)
{
    std::vector<KeyChange> changes;
    if (snapshot.revision <= replica.revision)
        return changes;
    for (const auto& [key, value] : replica.values) {
        if (!snapshot.values.count(key))
            changes.push_back({ key, std::nullopt, snapshot.revision });
    }
    for (const auto& [key, value] : snapshot.values) {
        const auto it = replica.values.find(key);
        if (it == replica.values.end() || it->second.version != value.version)
            changes.push_back({ key, value.text, value.version });
    }
    const bool first = replica.revision.value == 0;
    const StoreRevision from = replica.revision;
    replica.values = snapshot.values;
    replica.revision = snapshot.revision;
    if (!first)
        addRecent(replica, { from, snapshot.revision, changes, true });
    return changes;
}

std::optional<ChangeBatch> changesSince(const Replica& replica, StoreRevision since)
{
    if (since >= replica.revision)
        return ChangeBatch { since, since, {} };
    if (replica.recent.empty() || since < replica.recent.front().from)
        return std::nullopt;
    ChangeBatch batch { since, replica.revision, {} };
    for (const auto& recent : replica.recent) {
        if (recent.fromRead && since < recent.to) {
            if (since > recent.from)
                return std::nullopt;
            batch.fromRead = true;
        }
        for (const auto& change : recent.changes) {
            if (change.version > since)
                batch.changes.push_back(change);
        }
    }
    return batch;
}

Snapshot snapshotOf(const Replica& replica) { return { replica.revision, replica.values }; }

} // namespace pistachiospur
