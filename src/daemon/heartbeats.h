#pragma once

#include "node.h"

#include <functional>

// Keeps the membership up to date: reads the platform's host list, exchanges heartbeats, spreads rumours.
namespace pistachiospur {

class Heartbeats {
public:
    Heartbeats(Node&, std::function<void()> onChange, std::function<void(const HostName&, StoreRevision)> onRevision);

    void start();
    void onHeartbeat(const HostName& from, const Heartbeat&);
    void onHostListNews(const HostListChange&);
    // Sends heartbeats now, as when this host begins to leave.
    void beat();

private:
    // A host's state as it was last logged.
    struct Reported {
        HostState state = HostState::alive;
        bool leaving = false;
        bool ready = true;

        friend bool operator==(const Reported& a, const Reported& b)
        {
            return a.state == b.state && a.leaving == b.leaving && a.ready == b.ready;
        }
        friend bool operator!=(const Reported& a, const Reported& b) { return !(a == b); }
    };

    void tick();
    void considerHostList();
    void readHostList();
    void takeHostList(const std::string& body);
    void passOn(const HostListChange&);
    Heartbeat makeHeartbeat(bool isReply);
    void reportChanges();

    Node& m_node;
    std::function<void()> m_onChange;
    std::function<void(const HostName&, StoreRevision)> m_onRevision;
    Timer m_beatTimer;
    Timer m_listTimer;
    Millis m_listReadAt {}; // when this host last read the list itself
    ListDifferences m_differences;
    std::map<HostName, Reported> m_reported;
};

} // namespace pistachiospur
