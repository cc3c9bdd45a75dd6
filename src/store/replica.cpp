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

void remember(Replica& replica, ChangeBatch batch)
{
    replica.recentChanges += batch.changes.size();
    replica.recent.push_back(std::move(batch));
    while (replica.recentChanges > kRecentChanges && replica.recent.size() > 1) {
        replica.recentChanges -= replica.recent.front().changes.size();
        replica.recent.pop_front();
    }
}

} // namespace

BatchVerdict applyBatch(Replica& replica, const ChangeBatch& batch)
{
    if (batch.to <= replica.revision)
        return BatchVerdict::known;
    if (replica.revision.value == 0 || replica.revision < batch.from)
        return BatchVerdict::gap;
    ChangeBatch news { replica.revision, batch.to, {} };
    for (const auto& it : batch.changes) {
        if (it.version <= replica.revision)
            continue;
        applyChange(replica, it);
        news.changes.push_back(it);
    }
    replica.revision = batch.to;
    remember(replica, std::move(news));
    return BatchVerdict::applied;
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
        remember(replica, { from, snapshot.revision, changes });
    return changes;
}

std::optional<ChangeBatch> changesSince(const Replica& replica, StoreRevision since)
{
    if (since >= replica.revision)
        return ChangeBatch { since, since, {} };
    if (replica.recent.empty() || since < replica.recent.front().from)
        return std::nullopt;
    ChangeBatch batch { since, replica.revision, {} };
    for (const auto& it : replica.recent) {
        for (const auto& change : it.changes) {
            if (change.version > since)
                batch.changes.push_back(change);
        }
    }
    return batch;
}

Snapshot snapshotOf(const Replica& replica) { return { replica.revision, replica.values }; }

} // namespace pistachiospur
