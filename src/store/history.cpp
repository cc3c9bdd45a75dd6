#include "history.h"

#include "pistachiospur/era.h"

#include <algorithm>
#include <vector>

namespace pistachiospur {

namespace {

constexpr std::size_t kMaxDeletions = 2000;

// Forgets the older half of the deletions.
void forgetDeletions(ChangeHistory& history)
{
    std::vector<StoreRevision> versions;
    versions.reserve(history.deletions.size());
    for (const auto& [key, version] : history.deletions)
        versions.push_back(version);
    const auto middle = versions.begin() + static_cast<std::ptrdiff_t>(versions.size() / 2);
    std::nth_element(versions.begin(), middle, versions.end());
    history.deletionsAfter = std::max(history.deletionsAfter, *middle);
    for (auto it = history.deletions.begin(); it != history.deletions.end();)
        it = it->second <= *middle ? history.deletions.erase(it) : std::next(it);
}

} // namespace

void recordChange(ChangeHistory& history, const KeyChange& change)
{
    if (change.text) {
        history.deletions.erase(change.key);
        history.values[change.key] = { *change.text, change.version };
        return;
    }
    history.values.erase(change.key);
    StoreRevision& version = history.deletions[change.key];
    version = std::max(version, change.version);
    if (history.deletions.size() > kMaxDeletions)
        forgetDeletions(history);
}

void recordDeletions(ChangeHistory& history, const ChangeBatch& batch)
{
    for (const auto& it : batch.changes) {
        if (!it.text && !history.values.count(it.key))
            recordChange(history, it);
    }
}

void recordRead(ChangeHistory& history, StoreRevision to)
{
    history.deletionsAfter = std::max(history.deletionsAfter, to);
}

std::optional<ChangeBatch> changesSince(const ChangeHistory& history, StoreRevision since, StoreRevision to)
{
    if (eraOf(since) != eraOf(to))
        return std::nullopt;
    if (since >= to)
        return ChangeBatch { to, to, {} };
    if (since < history.deletionsAfter)
        return std::nullopt;
    ChangeBatch batch = keysSince(history, since, to).puts;
    for (const auto& [key, version] : history.deletions) {
        if (version > since)
            batch.changes.push_back({ key, std::nullopt, version });
    }
    std::sort(batch.changes.begin(), batch.changes.end(),
        [](const KeyChange& a, const KeyChange& b) { return a.version < b.version; });
    return batch;
}

KeyList keysSince(const ChangeHistory& history, StoreRevision since, StoreRevision to)
{
    KeyList list { {}, { since, to, {} } };
    list.keys.reserve(history.values.size());
    for (const auto& [key, value] : history.values) {
        list.keys.push_back(key);
        if (value.version > since)
            list.puts.changes.push_back({ key, value.text, value.version });
    }
    return list;
}

Snapshot snapshotFrom(KeyList&& list, const std::map<std::string, StoreRevision>& knownVersions)
{
    Snapshot snapshot { list.puts.to, {} };
    for (auto& key : list.keys) {
        const auto known = knownVersions.find(key);
        if (known != knownVersions.end())
            snapshot.values[std::move(key)] = { {}, known->second };
    }
    for (auto& it : list.puts.changes)
        snapshot.values[it.key] = { std::move(*it.text), it.version };
    return snapshot;
}

} // namespace pistachiospur
