#pragma once

#include "config/settings.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/loop.h"
#include "membership/members.h"
#include "observe/burn.h"
#include "observe/metrics.h"
#include "peers/hub.h"
#include "requests/quarantine.h"
#include "store/etcd_store.h"
#include "view.h"

// The state that the daemon's parts share. A note "changed by" names the parts that update a member.
namespace pistachiospur {

struct HostContext {
    HostContext(Settings, const PeerHub::Handlers&);

    // Sends a message to a host. If it is this host, the message is delivered by the event loop, not within the call.
    void send(const HostName& to, const Message&);

    Settings settings;
    Hello self;
    Metrics metrics;
    HttpClient http;
    EtcdStore store;
    PeerHub hub;

    Members members; // changed by Heartbeats and Daemon
    Replica replica; // changed by ReplicaSync
    StoreView view; // changed by ReplicaSync
    bool hasReadStore = false; // this process has read the store directly; required for renewing and planning
    Quarantine quarantine; // changed by Heartbeats and Coordinators
    BurnSeriesByKey burn; // changed by Frontend
    bool stopping = false; // changed by Daemon

private:
    std::function<void(const HostLife&, LinkId, Message)> m_onMessage;
    std::deque<Message> m_messagesToSelf; // not yet delivered
    Timer m_selfTimer;
};

// A limit in milliseconds, as a duration.
inline Millis limit(const HostContext& context, std::int64_t Limits::*field)
{
    return Millis(context.settings.limits.*field);
}

} // namespace pistachiospur
