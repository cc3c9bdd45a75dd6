#pragma once

#include "link.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

// All links of a host: opens them as they are needed and delivers whole messages with the sender's name.
namespace pistachiospur {

using LinkId = std::uint64_t;
// Of messages that a host sends to itself.
constexpr LinkId kNoLink = 0;

struct LostLink {
    LinkId link = 0;
    HostName host;
    bool opened = false; // false: nothing that was sent on it has left this host
};

class PeerHub {
public:
    struct Handlers {
        std::function<void(const HostName& from, LinkId, Message)> onMessage;
        std::function<void(const LostLink&)> onLost;
        std::function<std::optional<Endpoint>(const HostName&)> findEndpoint;
    };

    PeerHub(const Endpoint& listen, Hello self, Handlers);
    ~PeerHub();
    PeerHub(const PeerHub&) = delete;
    PeerHub& operator=(const PeerHub&) = delete;

    // Sends, opening a link if none is there. The link used, or nothing when the host's endpoint is not known.
    std::optional<LinkId> send(const HostName& to, const Message&);
    // Sends the same to several hosts, encoded once.
    void send(const std::vector<HostName>& to, const Message&);
    std::size_t linkCount() const { return m_links.size(); }
    std::uint64_t sentMessages() const { return m_sentMessages; }
    std::uint64_t sentBytes() const { return m_sentBytes; }
    std::uint16_t port() const { return m_port; }

private:
    struct Outgoing {
        Link* link = nullptr;
        std::deque<std::string> queued; // until the link opens
        bool opened = false;
    };

    void acceptAll();
    void checkAll();
    Link* add(std::unique_ptr<Link>);
    Link::Handlers linkHandlers();
    void onOpen(Link&);
    void onFrame(Link&, const std::string& frame);
    void onClose(Link&);
    Link* openLinkTo(const HostName&);
    std::optional<LinkId> sendFrame(const HostName& to, const std::string& frame);

    Hello m_self;
    Handlers m_handlers;
    int m_listenFd;
    std::uint16_t m_port = 0;
    SocketWatcher m_acceptWatcher;
    Timer m_checkTimer;
    Timer m_sweepTimer;
    std::list<std::unique_ptr<Link>> m_links;
    std::list<std::unique_ptr<Link>> m_closed; // deleted from the loop, never inside a link's own call
    std::map<HostName, Outgoing> m_outgoing;
    std::map<HostName, Link*> m_incoming; // the newest
    LinkId m_nextLink = 1;
    std::uint64_t m_sentMessages = 0;
    std::uint64_t m_sentBytes = 0;
};

} // namespace pistachiospur
