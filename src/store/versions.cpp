#include "versions.h"

#include <algorithm>
#include <set>

namespace pistachiospur {

namespace {

// Merges one change. Returns false if the key is known to be at this state or a later one. A deletion may bear the
// version of the put that it undoes.
bool mergeChange(KeyVersions& known, const KeyChange& change)
{
    const auto it = known.versions.find(change.key);
    if (!change.text) {
        if (it == known.versions.end() || change.version < it->second)
            return false;
        known.versions.erase(it);
        return true;
    }
    if (it != known.versions.end() && change.version <= it->second)
        return false;
    known.versions[change.key] = change.version;
    return true;
}

// Forgets the keys learned ahead that lie within completeTo now. Returns those that still have the version learned.
std::vector<std::string> takeCaughtUp(KeyVersions& known)
{
    std::vector<std::string> keys;
    for (auto it = known.ahead.begin(); it != known.ahead.end();) {
        if (it->second > known.completeTo) {
            ++it;
            continue;
        }
        const auto version = known.versions.find(it->first);
        if (version != known.versions.end() && version->second == it->second)
            keys.push_back(it->first);
        it = known.ahead.erase(it);
    }
    return keys;
}

} // namespace

bool hasGap(const KeyVersions& known, const ChangeBatch& batch)
{
    if (batch.fromRead && batch.to > known.completeTo)
        return true;
    return known.completeTo < batch.from;
}

std::vector<KeyChange> mergeBatch(KeyVersions& known, ChangeBatch batch)
{
    std::vector<KeyChange> changes;
    std::set<std::string> confirmed; // keys whose known version the batch contains
    for (auto& it : batch.changes) {
        const auto version = known.versions.find(it.key);
        if (version != known.versions.end() && it.text && it.version == version->second)
            confirmed.insert(it.key);
        // A put up to completeTo that is not known any more has been undone since.
        const bool outdated = it.text && it.version <= known.completeTo;
        if (outdated || !mergeChange(known, it))
            continue;
        if (it.text && it.version > batch.to)
            known.ahead[it.key] = it.version;
        changes.push_back(std::move(it));
    }
    known.completeTo = std::max(known.completeTo, batch.to);
    for (auto& key : takeCaughtUp(known)) {
        if (confirmed.count(key))
            continue;
        known.versions.erase(key);
        changes.push_back({ std::move(key), std::nullopt, known.completeTo });
    }
    return changes;
}

SnapshotMerge mergeSnapshot(KeyVersions& known, Snapshot&& snapshot)
{
    SnapshotMerge merge;
    merge.relay = { known.completeTo, std::max(known.completeTo, snapshot.revision), {}, true };
    if (snapshot.revision < known.completeTo)
        return merge;
    for (const auto& [key, version] : known.versions) {
        if (snapshot.values.count(key))
            continue;
        // A key that this host learned ahead was put after the snapshot. Other copies may have an older one, which was
        // deleted before.
        const KeyChange deletion { key, std::nullopt, snapshot.revision };
        merge.relay.changes.push_back(deletion);
        if (version < snapshot.revision)
            merge.changes.push_back(deletion);
    }
    for (const auto& it : merge.changes)
        known.versions.erase(it.key);
    for (auto& [key, value] : snapshot.values) {
        KeyChange change { key, std::move(value.text), value.version };
        const bool isNew = mergeChange(known, change);
        if (isNew && change.version > snapshot.revision)
            known.ahead[key] = change.version;
        if (isNew || change.version > merge.relay.from)
            merge.relay.changes.push_back(change);
        if (isNew)
            merge.changes.push_back(std::move(change));
    }
    known.completeTo = snapshot.revision;
    takeCaughtUp(known);
    return merge;
}

bool mergeRecord(KeyVersions& known, const std::string& key, StoreRevision version)
{
    const auto it = known.versions.find(key);
    const bool isKnown = it != known.versions.end() && version <= it->second;
    if (isKnown || version <= known.completeTo)
        return false;
    known.versions[key] = known.ahead[key] = version;
    return true;
}

} // namespace pistachiospur
