#pragma once

#include "admin.h"
#include "context.h"
#include "coordinator.h"
#include "frontend.h"
#include "heartbeats.h"
#include "planner.h"
#include "replica_sync.h"

#include <string>

// Connects the parts of one host and runs them: start, serve, planned stop.
namespace pistachiospur {

class Daemon {
public:
    Daemon(Settings, std::string settingsPath);

    // Serves until a planned stop has finished. Returns the exit status of the process.
    int run();

private:
    PeerHub::Handlers peerHandlers();
    void onMessage(const HostLife& sender, Message);
    void onRelay(const HostLife& from, Relay);
    void onChange();
    void beginStop();
    void checkStopped();
    void reload();

    std::string m_settingsPath;
    HostContext m_context;
    Coordinators m_coordinators;
    Frontend m_frontend;
    Planner m_planner;
    ReplicaSync m_replicaSync;
    Heartbeats m_heartbeats;
    Admin m_admin;
    HttpServer m_callerServer;
    HttpServer m_adminServer;
    Timer m_coordinatorTimer;
    Timer m_planTimer;
    Timer m_stopTimer;
    SignalWatcher m_sigterm;
    SignalWatcher m_sigint;
    SignalWatcher m_sighup;
    std::map<std::pair<HostLife, std::uint64_t>, Coordinators::JobId> m_relayed; // by sender and relay id
    Millis m_stopDeadline {};
};

} // namespace pistachiospur
