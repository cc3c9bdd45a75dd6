#pragma once

#include "context.h"

#include <nlohmann/json_fwd.hpp>

#include <map>

// Tells operators which data centres are emptied, and the other components when one closes.
namespace pistachiospur {

class EvacuationMonitor {
public:
    explicit EvacuationMonitor(GatewayContext&);

    // Logs what has changed since the last call. Returns true if a data centre has closed since: requests that wait for
    // an upstream there must be re-evaluated.
    bool tick();
    void publishMetrics() const;
    // The data centres that are emptied, for operators.
    nlohmann::json report() const;

private:
    struct Noted {
        bool isClosed = false;
        bool isForgotten = false;
    };

    Millis evacuateTime() const { return Millis(m_context.settings.limits.evacuateMs); }
    std::size_t upstreamCount(const DataCentreName&) const;

    GatewayContext& m_context;
    std::map<DataCentreName, Noted> m_noted;
};

} // namespace pistachiospur
