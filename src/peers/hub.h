#pragma once

#include "link.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

// All links between this host and other hosts. The hub opens links when they are needed and delivers each decoded
// message with its sender's name.
namespace pistachiospur {

using LinkId = std::uint64_t;
// The link id of messages that a host sends to itself.
constexpr LinkId kNoLink = 0;

struct LostLink {
    LinkId link = 0;
    HostName host;
    bool opened = false; // false: the link never opened, so no message sent on it left this host
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

    // Sends a message and opens a link if there is none. Returns the link used, or nothing if the host's endpoint is
    // not known.
    std::optional<LinkId> send(const HostName& to, const Message&);
    // Sends one message to several hosts. It is encoded only once.
    void send(const std::vector<HostName>& to, const Message&);
    std::size_t linkCount() const { return m_links.size(); }
    std::uint64_t sentMessages() const { return m_sentMessages; }
    std::uint64_t sentBytes() const { return m_sentBytes; }
    std::uint16_t port() const { return m_port; }

private:
    struct Outgoing {
        Link* link = nullptr;
        std::deque<std::string> queued; // frames to send when the link opens
        bool opened = false;
    };

    void acceptAll();
    void checkLinks();
    Link* addLink(std::unique_ptr<Link>);
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
    Timer m_deleteTimer;
    std::list<std::unique_ptr<Link>> m_links;
    // Closed links. m_deleteTimer deletes them, because a link must not be deleted within one of its own calls.
    std::list<std::unique_ptr<Link>> m_closed;
    std::map<HostName, Outgoing> m_outgoing;
    std::map<HostName, Link*> m_incoming; // the newest incoming link of each host
    LinkId m_nextLink = 1;
    std::uint64_t m_sentMessages = 0;
    std::uint64_t m_sentBytes = 0;
};

} // namespace pistachiospur
