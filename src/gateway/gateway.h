#pragma once

#include "cold_monitor.h"
#include "evacuation_monitor.h"
#include "frontend.h"
#include "leader.h"
#include "quarantine_monitor.h"
#include "reach_monitor.h"
#include "watcher.h"

#include <map>
#include <memory>
#include <string>

// The daemon for a platform whose upstreams own ranges of slots: connects the parts, passes messages of other hosts to
// them, and starts and stops the host.
namespace pistachiospur {

class Gateway {
public:
    // Throws std::system_error when an address cannot be bound.
    Gateway(const GatewaySettings&, std::string settingsPath, const PlatformAdapter&);

    // Starts the work on the event loop, which the caller runs.
    void start();
    // Starts the work and runs the event loop until the host has stopped; returns the exit status.
    int run();
    // Starts a planned stop, as SIGTERM does.
    void beginStop();
    // The stop has ended: the process may exit.
    bool hasStopped() const { return m_stopped; }

private:
    PeerHub::Handlers peerHandlers();
    // A request that another host forwarded to this one.
    struct RelayedRequest {
        Dispatcher::JobId job = 0;
        LinkId link = 0; // that it arrived on
        bool hadTurn = false; // its sender sends it to the upstream itself, and was told to
        std::shared_ptr<void> bodyCharge;
    };
    // Sender and relay id. Senders of earlier builds use the same ids in each life.
    using RelayKey = std::pair<HostLife, std::uint64_t>;

    void onMessage(const HostLife& sender, LinkId, Message);
    void onRelay(const HostLife& from, LinkId, Relay);
    void replyToRelay(const RelayKey&, Reply, Millis wait);
    void onRelayCancel(const RelayKey&);
    void onTurnOver(const RelayKey&, Reply, const RateNotice&, Millis pause, const std::optional<UpstreamLoad>& load);
    void onLinkLost(const LostLink&);
    void onRangeUpdate(RangeUpdate);
    void onDirectoryChange();
    void sendLoadReports();
    void logTraffic();
    void tick();
    bool isBusy() const;
    void limitDoors();
    void publishCallers();
    HttpResponse answerAdmin(const HttpRequest&);
    HttpResponse statusReport() const;
    HttpResponse clearQuarantine(const std::string& fingerprint);
    void checkStopped();
    void checkSettingsFile();

    std::string m_settingsPath;
    GatewayContext m_context;
    CatchUp m_catchUp;
    StoreWatcher m_watcher;
    ReachMonitor m_reachMonitor;
    QuarantineMonitor m_quarantineMonitor;
    ColdMonitor m_coldMonitor;
    EvacuationMonitor m_evacuationMonitor;
    Dispatcher m_dispatcher;
    GatewayFrontend m_frontend;
    std::map<ServiceName, std::unique_ptr<RangeLeader>> m_leaders; // candidates included: one for each keyed service
    HttpServer m_callerServer;
    HttpServer m_readyServer;
    HttpServer m_adminServer;
    Timer m_tickTimer;
    Timer m_loadReportTimer;
    Timer m_trafficTimer;
    Timer m_stopTimer;
    bool m_leaseEnding = false;
    bool m_leaseEnded = false;
    bool m_stopped = false;
    SignalWatcher m_terminate;
    SignalWatcher m_interrupt;
    SignalWatcher m_hangUp;
    std::map<RelayKey, RelayedRequest> m_relayedRequests;
};

} // namespace pistachiospur
