#pragma once

#include "check.h"
#include "store/etcd_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Encodes the published configuration as store records and builds the conditional write that publishes a change. The
// write expects the head version that the change is based on. If two operators race, one write fails with a conflict
// and none of its change takes effect.
namespace pistachiospur {

// Hosts watch only the keys below kLivePrefix. History keys are outside of it, so that hosts do not receive them.
constexpr const char* kLivePrefix = "live/";
constexpr const char* kHistoryPrefix = "history/";
// Number of published changes that the store keeps.
constexpr std::uint64_t kHistoryLength = 1000;

// The record whose write puts a set of objects into force as the current configuration.
struct ConfigHead {
    Revision revision;
    std::string changeId; // unique, chosen by the operator
    std::string digest; // of all objects, in hexadecimal
    Millis publishedAt {}; // wall clock
    StoreRevision version; // of the head's store record; zero before the first publication

    friend bool operator==(const ConfigHead& a, const ConfigHead& b)
    {
        return std::tie(a.revision, a.changeId, a.digest) == std::tie(b.revision, b.changeId, b.digest);
    }
};

// The configuration as read from the store.
struct PublishedConfiguration {
    ConfigHead head;
    ObjectSet objects;
};

// New content of each changed object; null JSON removes the object.
using ChangeSet = std::map<ObjectId, Json>;

std::string headKey(); // below kLivePrefix
std::string objectKey(const ObjectId&); // below kLivePrefix
std::optional<ObjectId> objectIdOf(const std::string& key);
std::string historyKey(Revision); // below kHistoryPrefix

std::string encodeHead(const ConfigHead&);
std::optional<ConfigHead> decodeHead(const std::string& text, StoreRevision version);

// Decodes the configuration from store records. Keys are relative to kLivePrefix.
PublishedConfiguration decodePublished(const std::map<std::string, StoredValue>&);

// Changes that turn `present` into `wanted`.
ChangeSet changesBetween(const ObjectSet& present, const ObjectSet& wanted);

// Builds the write that publishes `changes` on top of `base`. Its keys begin with kLivePrefix or kHistoryPrefix. Fails
// with an error if the resulting configuration is invalid or the change has more objects than fit into one write.
std::optional<ConditionalWrite> buildPublicationWrite(const PublishedConfiguration& base, const ChangeSet& changes,
    const std::string& changeId, Millis now, std::vector<FieldError>& errors);

} // namespace pistachiospur
