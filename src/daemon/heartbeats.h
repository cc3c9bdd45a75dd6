#pragma once

#include "context.h"

#include <functional>

// Keeps the membership list up to date: reads the platform's host list, exchanges heartbeats, and gossips rumours in
// them.
namespace pistachiospur {

class Heartbeats {
public:
    Heartbeats(
        HostContext&, std::function<void()> onChange, std::function<void(const HostName&, StoreRevision)> onRevision);

    void start();
    void onHeartbeat(const HostName& from, const Heartbeat&);
    void onHostListUpdate(const HostListChange&);
    // Sends heartbeats to this host's current targets. Called at each interval, and at once when this host starts to
    // leave.
    void sendHeartbeats();

private:
    // A host's state as last logged.
    struct LoggedState {
        HostState state = HostState::alive;
        bool leaving = false;
        bool ready = true;

        friend bool operator==(const LoggedState& a, const LoggedState& b)
        {
            return a.state == b.state && a.leaving == b.leaving && a.ready == b.ready;
        }
        friend bool operator!=(const LoggedState& a, const LoggedState& b) { return !(a == b); }
    };

    void tick();
    void readHostListIfDue();
    void readHostList();
    void onHostListRead(const std::string& body);
    void forwardToChildren(const HostListChange&);
    Heartbeat makeHeartbeat(bool isReply);
    void logAndNotifyChanges();

    HostContext& m_context;
    std::function<void()> m_onChange;
    std::function<void(const HostName&, StoreRevision)> m_onRevision;
    Timer m_heartbeatTimer;
    Timer m_listTimer;
    Millis m_listReadAt {}; // when this host last read the list from the platform
    ListDifferences m_differences;
    std::map<HostName, LoggedState> m_loggedStates;
};

} // namespace pistachiospur
