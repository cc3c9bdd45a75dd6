#include "store/history.h"
#include "store/versions.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>
#include <random>

using namespace pistachiospur;

namespace {

constexpr int kSteps = 400;
constexpr std::size_t kCopies = 3; // copy 0 watches the store and relays to the others
constexpr int kKeys = 6;

// A store that remembers every state of each key.
struct StoreModel {
    StoreRevision revision { 1 };
    std::map<std::string, StoredValue> values;
    std::vector<KeyChange> history;

    void change(const std::string& key, bool put)
    {
        if (!put && !values.count(key))
            return;
        revision = revision.next();
        if (put)
            values[key] = { "text", revision };
        else
            values.erase(key);
        history.push_back({ key, put ? std::optional<std::string>("text") : std::nullopt, revision });
    }

    std::vector<KeyChange> changesAfter(StoreRevision from) const
    {
        std::vector<KeyChange> changes;
        std::copy_if(history.begin(), history.end(), std::back_inserter(changes),
            [&](const KeyChange& it) { return it.version > from; });
        return changes;
    }

    // Whether the key had this version, or did not exist if it is zero, at the revision or later.
    bool hadStateSince(const std::string& key, StoreRevision version, StoreRevision since) const
    {
        StoreRevision state;
        for (const auto& it : history) {
            if (it.key != key)
                continue;
            if (it.version > since && state == version)
                return true;
            state = it.text ? it.version : StoreRevision {};
        }
        return state == version;
    }
};

struct Copy {
    KeyVersions known;
    std::map<std::string, StoreRevision> values; // the applied state: version by key
    std::vector<ChangeBatch> inbox;
    ChangeHistory history;

    void apply(const std::vector<KeyChange>& changes)
    {
        for (const auto& it : changes) {
            recordChange(history, it);
            if (it.text)
                values[it.key] = it.version;
            else
                values.erase(it.key);
        }
    }
};

// A read under way. Keys below kPageEnd are read when it begins, the others when it ends.
struct Read {
    std::size_t copy = 0;
    Snapshot snapshot;
    bool ended = false;
};

struct Record {
    std::size_t copy = 0;
    std::string key;
    StoreRevision version;
};

const std::string kPageEnd = "k3";

struct World {
    explicit World(std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t n = 0; n < kCopies; ++n) {
            beginRead(n);
            endRead(reads.back());
        }
        while (!reads.empty())
            deliverRead(0);
    }

    std::size_t draw(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); }
    std::string drawKey() { return "k" + std::to_string(draw(kKeys)); }

    void beginRead(std::size_t copy)
    {
        Read read { copy, { store.revision, {} }, false };
        for (const auto& [key, value] : store.values) {
            if (key < kPageEnd)
                read.snapshot.values[key] = value;
        }
        reads.push_back(std::move(read));
    }

    void endRead(Read& read) const
    {
        read.ended = true;
        for (const auto& [key, value] : store.values) {
            if (key >= kPageEnd)
                read.snapshot.values[key] = value;
        }
    }

    void deliverRead(std::size_t n)
    {
        Read read = reads[n];
        reads.erase(reads.begin() + static_cast<std::ptrdiff_t>(n));
        SnapshotMerge merge = mergeSnapshot(copies[read.copy].known, std::move(read.snapshot));
        recordRead(copies[read.copy].history, merge.relay.to);
        copies[read.copy].apply(merge.changes);
        if (read.copy == 0)
            relay(merge.relay);
    }

    void relay(const ChangeBatch& batch)
    {
        for (std::size_t n = 1; n < kCopies; ++n)
            copies[n].inbox.push_back(batch);
    }

    void watch()
    {
        Copy& watcher = copies[0];
        const ChangeBatch batch { watcher.known.completeTo, store.revision,
            store.changesAfter(watcher.known.completeTo), false };
        deliver(watcher, batch);
        relay(batch);
    }

    // Delivers one relayed batch in any order, and perhaps again later. A batch behind a gap is dropped.
    void deliverBatch(Copy& copy)
    {
        if (copy.inbox.empty())
            return;
        const std::size_t n = draw(copy.inbox.size());
        const ChangeBatch batch = copy.inbox[n];
        if (draw(4) != 0)
            copy.inbox.erase(copy.inbox.begin() + static_cast<std::ptrdiff_t>(n));
        deliver(copy, batch);
    }

    static void deliver(Copy& copy, const ChangeBatch& batch)
    {
        if (hasGap(copy.known, batch))
            return;
        recordDeletions(copy.history, batch);
        copy.apply(mergeBatch(copy.known, batch));
    }

    // One copy asks another for what it lacks. The answer may arrive late.
    void askForChanges()
    {
        Copy& asker = copies[draw(kCopies)];
        const Copy& source = copies[draw(kCopies)];
        const auto batch = changesSince(source.history, asker.known.completeTo, source.known.completeTo);
        answers += batch.has_value();
        if (batch)
            asker.inbox.push_back(*batch);
        else
            lists.push_back({ static_cast<std::size_t>(&asker - copies.data()),
                keysSince(source.history, asker.known.completeTo, source.known.completeTo) });
    }

    void deliverList()
    {
        if (lists.empty())
            return;
        const std::size_t n = draw(lists.size());
        auto [index, list] = lists[n];
        lists.erase(lists.begin() + static_cast<std::ptrdiff_t>(n));
        Copy& copy = copies[index];
        SnapshotMerge merge = mergeSnapshot(copy.known, snapshotFrom(std::move(list), copy.known.versions));
        recordRead(copy.history, merge.relay.to);
        copy.apply(merge.changes);
    }

    void writeOwnRecord()
    {
        const std::string key = drawKey();
        store.change(key, true);
        records.push_back({ draw(kCopies), key, store.revision });
    }

    void deliverRecord()
    {
        if (records.empty())
            return;
        const std::size_t n = draw(records.size());
        const Record record = records[n];
        records.erase(records.begin() + static_cast<std::ptrdiff_t>(n));
        Copy& copy = copies[record.copy];
        if (mergeRecord(copy.known, record.key, record.version))
            copy.apply({ { record.key, "text", record.version } });
    }

    void step()
    {
        switch (draw(13)) {
        case 0:
        case 1:
            return store.change(drawKey(), true);
        case 2:
            return store.change(drawKey(), false);
        case 3:
            return watch();
        case 4:
        case 5:
            return deliverBatch(copies[draw(kCopies)]);
        case 6:
            return beginRead(draw(kCopies));
        case 7:
            if (!reads.empty())
                endRead(reads[draw(reads.size())]);
            return;
        case 8: {
            const std::size_t n = reads.empty() ? 0 : draw(reads.size());
            if (n < reads.size() && reads[n].ended)
                deliverRead(n);
            return;
        }
        case 9:
        case 10:
            return askForChanges();
        case 11:
            return deliverList();
        default:
            return draw(2) == 0 ? writeOwnRecord() : deliverRecord();
        }
    }

    // Whether every key of the copy has a state that the store had at the copy's revision or later.
    bool isAsNewAsItClaims(const Copy& copy) const
    {
        for (int n = 0; n < kKeys; ++n) {
            const std::string key = "k" + std::to_string(n);
            const auto it = copy.values.find(key);
            const StoreRevision version = it == copy.values.end() ? StoreRevision {} : it->second;
            if (!store.hadStateSince(key, version, copy.known.completeTo))
                return false;
        }
        return true;
    }

    bool equalsStore(const Copy& copy) const
    {
        return copy.values.size() == store.values.size()
            && std::all_of(store.values.begin(), store.values.end(), [&](const auto& it) {
                   const auto found = copy.values.find(it.first);
                   return found != copy.values.end() && found->second == it.second.version;
               });
    }

    StoreModel store;
    std::array<Copy, kCopies> copies;
    std::vector<Read> reads;
    std::vector<Record> records;
    std::vector<std::pair<std::size_t, KeyList>> lists; // on their way to copies
    std::size_t answers = 0; // to copies that asked others
    std::mt19937_64 random;
};

} // namespace

BOOST_AUTO_TEST_SUITE(MergedVersions)

// Guards against an older state of a key, above all one from before its deletion, replacing a newer one.
RC_BOOST_PROP(copyIsNeverOlderThanItsRevision, (std::uint64_t seed))
{
    World world(seed);
    for (int n = 0; n < kSteps; ++n) {
        world.step();
        for (const auto& it : world.copies)
            RC_ASSERT(world.isAsNewAsItClaims(it));
    }
}

// Guards against a copy that falls behind for good while the store turns its host away: another copy tells what it
// lacks.
RC_BOOST_PROP(copyThatAsksAnotherLacksNothingThatItHas, (std::uint64_t seed))
{
    World world(seed);
    for (int n = 0; n < kSteps; ++n)
        world.step();
    Copy &asker = world.copies[1], &source = world.copies[2];
    // A source that has just read everything may not know what was deleted before.
    world.watch();
    world.watch();
    while (!source.inbox.empty())
        world.deliverBatch(source);
    asker.inbox.clear();
    const StoreRevision before = asker.known.completeTo;
    const auto batch = changesSince(source.history, before, source.known.completeTo);
    if (batch)
        World::deliver(asker, *batch);
    RC_ASSERT(!batch || asker.known.completeTo >= source.known.completeTo);
    RC_ASSERT(world.isAsNewAsItClaims(asker));
    RC_ASSERT(world.answers > 0u);
}

RC_BOOST_PROP(copiesEqualTheStoreOnceTheyHaveReadIt, (std::uint64_t seed))
{
    World world(seed);
    for (int n = 0; n < kSteps; ++n)
        world.step();
    for (std::size_t n = 0; n < kCopies; ++n) {
        world.beginRead(n);
        world.endRead(world.reads.back());
        world.deliverRead(world.reads.size() - 1);
        RC_ASSERT(world.equalsStore(world.copies[n]));
    }
}

RC_BOOST_PROP(followersEqualTheStoreOnceTheRelaysHaveArrived, (std::uint64_t seed))
{
    World world(seed);
    for (int n = 0; n < kSteps; ++n)
        world.step();
    for (std::size_t n = 1; n < kCopies; ++n) {
        world.copies[n].inbox.clear();
        world.beginRead(n);
        world.endRead(world.reads.back());
        world.deliverRead(world.reads.size() - 1);
    }
    world.store.change("k1", true);
    world.store.change("k1", false);
    world.store.change("k2", true);
    world.watch();
    for (std::size_t n = 1; n < kCopies; ++n) {
        while (!world.copies[n].inbox.empty())
            world.deliverBatch(world.copies[n]);
        RC_ASSERT(world.equalsStore(world.copies[n]));
    }
}

BOOST_AUTO_TEST_SUITE_END()
