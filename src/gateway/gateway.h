#pragma once

#include "door.h"
#include "keeper.h"
#include "watcher.h"

#include <map>
#include <memory>
#include <string>

// The daemon on a platform whose upstreams take ranges of slots: wires the parts, routes messages, starts and stops.
namespace pistachiospur {

class Gateway {
public:
    // Throws std::system_error when an address cannot be bound.
    Gateway(const GatewaySettings&, std::string settingsPath, const Dialect&);

    // Begins to work on the loop, which someone else runs.
    void start();
    // Works until it is stopped.
    int run();

private:
    PeerHub::Handlers peerHandlers();
    // A request that another host handed over, and the link that it came on.
    struct Relayed {
        Dispatcher::JobId job = 0;
        LinkId link = 0;
    };

    void onMessage(const HostName& from, LinkId, Message);
    void onRelay(const HostName& from, LinkId, Relay);
    void onLinkLost(const LostLink&);
    void onRangeNews(RangeNews);
    void onDirectoryChange();
    void sendLoads();
    void tick();
    HttpResponse answerAdmin(const HttpRequest&);
    HttpResponse statusReport() const;
    void beginStop();
    void checkStopped();
    void reload();

    std::string m_settingsPath;
    Site m_site;
    Watcher m_watcher;
    Dispatcher m_dispatcher;
    Door m_door;
    std::map<ServiceName, std::unique_ptr<Keeper>> m_keepers;
    HttpServer m_callerServer;
    HttpServer m_readyServer;
    HttpServer m_adminServer;
    Timer m_tickTimer;
    Timer m_loadTimer;
    Timer m_stopTimer;
    Millis m_stopAt {};
    bool m_leaseEnding = false;
    bool m_leaseEnded = false;
    SignalWatcher m_terminate;
    SignalWatcher m_interrupt;
    SignalWatcher m_hangUp;
    std::map<std::pair<HostName, std::uint64_t>, Relayed> m_relayed;
};

} // namespace pistachiospur
