#pragma once

#include "context.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <set>

// Learns which upstreams are cold, from their entries and from their answers to questions for their health, for
// src/requests/coldness, which decides what a host may send them.
namespace pistachiospur {

// What this host may send to a cold upstream of the service; nothing if its upstreams are never cold.
std::optional<ColdBound> coldBoundOf(const GatewayContext&, const ServiceName&);
// The time until this host may send another request to an upstream whose service has the bound; zero if it may now.
Millis coldWait(GatewayContext&, const InstanceEntry&, const ColdBound&, Millis now);
// Counts a request that starts at such an upstream.
void takeStart(GatewayContext&, const InstanceEntry&, const ColdBound&, Millis now);
// Takes note that a request waits for an upstream's bound alone.
void takeHeld(GatewayContext&, const InstanceEntry&, const ColdBound&, Millis now);
// The requests a second that a range's owner takes, if its entry says that it is cold; else `capacity`.
double coldCapacity(const GatewayContext&, const InstanceEntry&, double capacity);

class ColdMonitor {
public:
    explicit ColdMonitor(GatewayContext&);

    // Reads the entries of the upstreams that this host sends to, and logs what has changed.
    void tick();
    // What is known of the upstreams that are cold or may be, for operators.
    nlohmann::json report() const;

private:
    void readEntries(Millis now);
    void logChanges(Millis now);

    GatewayContext& m_context;
    std::set<InstanceId> m_cold; // as logged
    Millis m_nextCleanUpAt {};
};

} // namespace pistachiospur
