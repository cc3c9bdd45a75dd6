#pragma once

#include "config/settings.h"
#include "io/http_client.h"
#include "io/loop.h"
#include "membership/members.h"
#include "observe/burn.h"
#include "observe/metrics.h"
#include "peers/hub.h"
#include "requests/quarantine.h"
#include "store/etcd_store.h"
#include "view.h"

// The state that the daemon's parts share. Each part changes only what its own header says.
namespace pistachiospur {

struct Node {
    Node(Settings, const PeerHub::Handlers&);

    // Sends to a host, which may be this one: then the message arrives from the loop, as any other.
    void send(const HostName& to, const Message&);

    Settings settings;
    Hello self;
    Metrics metrics;
    HttpClient http;
    EtcdStore store;
    PeerHub hub;

    Members members; // changed by Heartbeats
    Replica replica; // changed by Feed
    View view; // changed by Feed
    bool readFromStore = false; // this process has read the store itself; needed to renew or plan
    Quarantine quarantine; // changed by Heartbeats and Coordinators
    BurnBook burn; // changed by Entry
    bool stopping = false;

private:
    std::function<void(const HostName&, LinkId, Message)> m_onMessage;
    std::deque<Message> m_toSelf;
    Timer m_selfTimer;
};

// The limit as a duration.
inline Millis limit(const Node& node, std::int64_t Limits::*field) { return Millis(node.settings.limits.*field); }

} // namespace pistachiospur
