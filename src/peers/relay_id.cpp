#include "relay_id.h"

#include <xxhash.h>

namespace pistachiospur {

// Incarnations of one host may be close to each other, so that they themselves would soon overlap.
std::uint64_t firstRequestNumber(Incarnation incarnation, unsigned attemptBits)
{
    return XXH64(&incarnation.value, sizeof incarnation.value, 0) >> (attemptBits + 1);
}

} // namespace pistachiospur
