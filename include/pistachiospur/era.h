#pragma once

#include "types.h"

// Revisions of a store that may come back from an older copy of itself. It then loses what it acknowledged since and
// gives its revisions out again, so facts about it are ordered by era first and by revision within an era.
namespace pistachiospur {

// Rises each time the store comes back from an older copy; zero if the store does not name it.
using StoreEra = Strong<struct StoreEraTag, std::uint64_t>;

// A store revision has its era in the bits above these. With fewer than 8,192 eras it is below 2^53, which every JSON
// number can hold.
constexpr unsigned kRevisionBits = 40;

// The store's own revision counter, without the era.
constexpr StoreRevision counterOf(StoreRevision revision)
{
    return { revision.value & ((std::uint64_t(1) << kRevisionBits) - 1) };
}

constexpr StoreEra eraOf(StoreRevision revision) { return { revision.value >> kRevisionBits }; }

// The form for logs: "2:76", era and counter; the counter alone if the store names no era.
inline std::string textOf(StoreRevision revision)
{
    const std::string counter = std::to_string(counterOf(revision).value);
    return eraOf(revision) == StoreEra {} ? counter : std::to_string(eraOf(revision).value) + ":" + counter;
}

// The revision with this counter in an era.
constexpr StoreRevision inEra(StoreEra era, StoreRevision revision)
{
    return { era.value << kRevisionBits | counterOf(revision).value };
}

} // namespace pistachiospur
