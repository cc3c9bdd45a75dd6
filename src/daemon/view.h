#pragma once

#include "config/publish.h"
#include "ownership/table.h"
#include "store/replica.h"

// What the store's records mean: the configuration in force and the ownership table, kept up change by change.
namespace pistachiospur {

struct View {
    Configuration configuration;
    ConfigHead head; // revision zero: nothing published yet
    std::map<ObjectId, std::uint64_t> digests;
    std::uint64_t digest = 0; // of the objects held
    OwnershipTable ownership;
    std::uint64_t unreadable = 0; // records that could not be decoded; they change nothing
};

// Takes in one change of a record below kLivePrefix.
void applyChange(View&, const KeyChange&);
// False when the objects held are not the ones that the head names.
bool isWhole(const View&);

} // namespace pistachiospur
