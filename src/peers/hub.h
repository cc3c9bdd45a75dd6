#pragma once

#include "link.h"
#include "observe/metrics.h"

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>

// All links between this host and other hosts. The hub opens links when they are needed and delivers each decoded
// message with its sender's name.
namespace pistachiospur {

using LinkId = std::uint64_t;
// The link id of messages that a host sends to itself.
constexpr LinkId kNoLink = 0;

// One life of a host: a process from its start to its end. A host's name and addresses outlive it.
struct HostLife {
    HostName host;
    Incarnation incarnation;

    friend bool operator==(const HostLife& a, const HostLife& b)
    {
        return a.incarnation == b.incarnation && a.host == b.host;
    }
    friend bool operator!=(const HostLife& a, const HostLife& b) { return !(a == b); }
    friend bool operator<(const HostLife& a, const HostLife& b)
    {
        return std::tie(a.host, a.incarnation) < std::tie(b.host, b.incarnation);
    }
};

struct LostLink {
    HostName host;
    std::vector<LinkId> links; // ids whose messages may have arrived
    LinkId unsent = kNoLink; // id whose messages did not leave this host
};

// What the loss of a link means for a request that was sent under a link id.
enum class LinkLoss {
    unaffected,
    notSent, // the request has not left this host
    sent, // the request may have arrived
};
LinkLoss lossOf(const LostLink&, LinkId);

// Two hosts keep separate links for short messages and for bodies, so that a body on a slow link does not hold up a
// configuration, a range update or a heartbeat.
enum class Lane : std::uint8_t {
    control,
    bulk,
};

class PeerHub {
public:
    struct Handlers {
        std::function<void(const HostLife& from, LinkId, Message)> onMessage;
        std::function<void(const LostLink&)> onLost;
        std::function<std::optional<Endpoint>(const HostName&)> findEndpoint;
    };

    PeerHub(const Endpoint& listen, Hello self, Handlers, std::size_t maxBacklogBytes = kDefaultMaxBacklogBytes);
    ~PeerHub();
    PeerHub(const PeerHub&) = delete;
    PeerHub& operator=(const PeerHub&) = delete;

    // Sends a message and opens a link if there is none. Returns the id under which its loss would be reported, or
    // nothing if the message is not sent: the host's endpoint is not known, or too much waits for the link to open.
    std::optional<LinkId> send(const HostName& to, const Message&, Lane = Lane::control);
    // Sends a message that concerns one life of a host, such as the reply to its request; another life would take it
    // for something else. False if it is not sent: no link to that life is left.
    bool sendToLife(const HostLife& to, const Message&, Lane = Lane::control);
    // Sends a message on the link that has this id, behind what was sent there before. False if the link is closed.
    bool sendVia(LinkId, const Message&);
    // Sends one message to several hosts. It is encoded only once.
    void send(const std::vector<HostName>& to, const Message&);
    std::size_t linkCount() const { return m_links.size(); }
    // Whether a host is known to read a message. If it is not, send() opens a link and does not send the message; the
    // host's Hello tells what it reads.
    bool isReadBy(const HostName&, const Message&) const;
    // Whether no link to a later life of the host is known, by the order in which links were made.
    bool isLatest(const HostLife&) const;
    // When bytes last arrived from a host, on the monotonic clock; nothing without a link to it.
    std::optional<Millis> lastReceivedFrom(const HostName&) const;
    struct Traffic {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };
    // Messages received of kinds that only later builds know.
    std::uint64_t skipped() const { return m_skipped; }
    // What was sent, by the message's index in Message.
    const std::array<Traffic, std::variant_size_v<Message>>& sent() const { return m_sent; }
    std::uint16_t port() const { return m_port; }

private:
    using LinkKey = std::pair<HostName, Lane>;
    struct Outgoing {
        Link* link = nullptr;
        std::deque<std::string> queued; // frames to send when the link opens
        std::deque<std::pair<Incarnation, std::string>> queuedForLife; // to send if the peer's Hello names that life
        std::size_t queuedBytes = 0; // of both
        bool opened = false;
    };

    void acceptAll();
    void checkLinks();
    Link* addLink(std::unique_ptr<Link>);
    Link::Handlers linkHandlers();
    void onOpen(Link&);
    void onFrame(Link&, const std::string& frame);
    void onClose(Link&);
    Link* openLinkTo(const LinkKey&);
    Outgoing* openOutgoing(const LinkKey&);
    bool isLinked(const HostName&) const;
    Link* openLinkToLife(const HostLife&, Lane);
    bool queueForLife(const HostLife&, Lane, const std::string& frame);
    bool takeHello(Link&, const Hello&);
    LinkId sendOn(Link&, const std::string& frame, bool proven);
    std::optional<LinkId> sendFrame(const LinkKey&, const std::string& frame, bool proven);
    void countSent(const Message&, const std::string& frame);

    Hello m_self;
    Handlers m_handlers;
    std::size_t m_maxBacklogBytes;
    int m_listenFd;
    std::uint16_t m_port = 0;
    SocketWatcher m_acceptWatcher;
    Timer m_checkTimer;
    Timer m_deleteTimer;
    std::list<std::unique_ptr<Link>> m_links;
    // Closed links. m_deleteTimer deletes them, because a link must not be deleted within one of its own calls.
    std::list<std::unique_ptr<Link>> m_closed;
    std::map<LinkKey, Outgoing> m_outgoing;
    std::map<LinkKey, Link*> m_incoming; // the newest incoming link of each host and lane
    std::map<HostName, unsigned> m_repliesDue; // replies to relayed requests, by host
    std::map<HostName, std::size_t> m_kindsRead; // kinds of messages that a linked host reads
    std::set<std::pair<HostName, std::uint64_t>> m_unknownKinds; // logged
    std::uint64_t m_skipped = 0;
    LinkId m_nextLink = 1;
    std::array<Traffic, std::variant_size_v<Message>> m_sent {};
};

// Publishes the hub's counts of messages and bytes, by kind.
void publishTraffic(Metrics&, const PeerHub&);

} // namespace pistachiospur
