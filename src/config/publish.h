#pragma once

#include "check.h"
#include "store/etcd_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// The published configuration as store records, and the one conditional write that publishes a change. The write names
// the head that it was based on, so of two racing operators one gets a conflict and nothing of its change is in force.
namespace pistachiospur {

// Everything that hosts follow is below this; the history is not, and costs the hosts nothing.
constexpr const char* kLivePrefix = "live/";
constexpr const char* kHistoryPrefix = "history/";
// Published changes that the store keeps.
constexpr std::uint64_t kHistoryLength = 1000;

// The record that makes a set of objects the configuration in force.
struct ConfigHead {
    Revision revision;
    std::string changeId; // the operator's name for the change, unique
    std::string digest; // of all objects
    Millis publishedAt {}; // wall clock
    StoreRevision version; // of the store record; zero before the first publication

    friend bool operator==(const ConfigHead& a, const ConfigHead& b)
    {
        return std::tie(a.revision, a.changeId, a.digest) == std::tie(b.revision, b.changeId, b.digest);
    }
};

struct Published {
    ConfigHead head;
    ObjectSet objects;
};

// One object's change; null JSON means removed.
using ChangeSet = std::map<ObjectId, Json>;

std::string headKey(); // below kLivePrefix
std::string objectKey(const ObjectId&); // below kLivePrefix
std::optional<ObjectId> objectIdOf(const std::string& key);
std::string historyKey(Revision); // below kHistoryPrefix

std::string encodeHead(const ConfigHead&);
std::optional<ConfigHead> decodeHead(const std::string& text, StoreRevision version);

// Reads the configuration out of store records whose keys are below kLivePrefix.
Published decodePublished(const std::map<std::string, StoredValue>&);

// What must change for `wanted` to replace `present`.
ChangeSet changesBetween(const ObjectSet& present, const ObjectSet& wanted);

// The write that publishes a change on top of what was read. Keys begin with kLivePrefix or kHistoryPrefix. Refuses a
// change of more objects than one write can carry.
std::optional<ConditionalWrite> publication(
    const Published&, const ChangeSet&, const std::string& changeId, Millis now, std::vector<FieldError>& errors);

} // namespace pistachiospur
