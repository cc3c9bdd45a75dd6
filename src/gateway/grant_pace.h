#pragma once

#include "settings.h"

namespace pistachiospur {

// Time between two grants of a range: renewalIntervalMs, or longer if the grant rate of a host with this processor time
// (in percent of a core) does not allow that for all ranges; but never so long that each grant ends before the next.
Millis renewalIntervalAt(const GatewayLimits&, std::size_t rangeCount, std::int64_t processorPercent);

// TTL of a host's grants under a table with this many ranges. It grows with the renewal interval, so that several
// renewals fit into it, up to maxGrantTtlMs.
Millis grantTtlAt(const GatewayLimits&, std::size_t rangeCount, std::int64_t processorPercent);

} // namespace pistachiospur
