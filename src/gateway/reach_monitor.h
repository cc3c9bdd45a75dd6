#pragma once

#include "context.h"

// Keeps track of which upstreams this host can connect to: takes note of the connections that it makes anyway, tests
// failures by connections without a request, and reports what it has lost to the other hosts.
namespace pistachiospur {

// Takes note of what a call shows. `begunAt` is when it was started, on the monotonic clock; `connectTimeout` how long
// it waited for a connection. A call over a connection that was there before shows nothing.
void noteContact(GatewayContext&, const UpstreamInstance&, const HttpOutcome&, Millis begunAt, Millis connectTimeout);

class ReachMonitor {
public:
    explicit ReachMonitor(GatewayContext&);

    // Tests what has failed, and reports changes.
    void tick();
    // Another host has reported what it has lost.
    void onReport(const HostLife& from, ReachReport);
    // A link to another host has opened: its process may be another one, and may not know this host's last report.
    void onLinkOpened(const HostName&);

private:
    void compare();
    void noteLost();
    void report(Millis now);
    void removeGone();
    void probe(const UpstreamInstance&);

    GatewayContext& m_context;
    std::set<InstanceId> m_probing; // connections under way
    Millis m_nextRemovalAt {};
    ReachReport m_reported; // to the other hosts
    Millis m_reportedAt {}; // monotonic clock
};

} // namespace pistachiospur
