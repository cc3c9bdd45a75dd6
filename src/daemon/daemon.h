#pragma once

#include "admin.h"
#include "coordinator.h"
#include "entry.h"
#include "feed.h"
#include "heartbeats.h"
#include "node.h"
#include "planner.h"

#include <string>

// Wires the parts of one host together and takes it through its life: start, serve, planned stop.
namespace pistachiospur {

class Daemon {
public:
    Daemon(Settings, std::string settingsPath);

    // Serves until a planned stop has finished. Returns the process's exit status.
    int run();

private:
    PeerHub::Handlers peerHandlers();
    void onMessage(const HostName& from, Message);
    void onRelay(const HostName& from, Relay);
    void onChange();
    void beginStop();
    void checkStopped();
    void reload();

    std::string m_settingsPath;
    Node m_node;
    Coordinators m_coordinators;
    Entry m_entry;
    Planner m_planner;
    Feed m_feed;
    Heartbeats m_heartbeats;
    Admin m_admin;
    HttpServer m_callerServer;
    HttpServer m_adminServer;
    Timer m_fastTimer;
    Timer m_planTimer;
    Timer m_stopTimer;
    SignalWatcher m_terminate;
    SignalWatcher m_interrupt;
    SignalWatcher m_hangUp;
    std::map<std::pair<HostName, std::uint64_t>, Coordinators::JobId> m_relayed;
    Millis m_stopBy {};
};

} // namespace pistachiospur
