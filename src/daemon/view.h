#pragma once

#include "config/publish.h"
#include "ownership/table.h"
#include "store/replica.h"

// The store's records in decoded form: the configuration in force and the ownership table. Each change of a record
// updates them incrementally.
namespace pistachiospur {

struct StoreView {
    Configuration configuration;
    ConfigHead head; // its revision is zero before the first publication
    std::map<ObjectId, std::uint64_t> digests; // of each configuration object
    std::uint64_t digest = 0; // XOR of them
    OwnershipTable ownership;
    std::uint64_t unreadable = 0; // changes ignored, because they could not be decoded or carry an older head
};

// Applies one change of a record. The key begins after the store prefix and kLivePrefix.
void applyChange(StoreView&, const KeyChange&);
// False if the digest of the objects differs from the one in the head, as when a change is missing.
bool isWhole(const StoreView&);

} // namespace pistachiospur
