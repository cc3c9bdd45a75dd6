#include "hub.h"

#include "io/socket.h"

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

namespace pistachiospur {

namespace {

// Max frames that wait for one link to open. Further ones are dropped.
constexpr std::size_t kMaxQueuedFrames = 10000;

} // namespace

PeerHub::PeerHub(const Endpoint& listen, Hello self, Handlers handlers)
    : m_self(std::move(self))
    , m_handlers(std::move(handlers))
    , m_listenFd(listenOn(listen))
    , m_port(boundPort(m_listenFd))
    , m_acceptWatcher([this](int) { acceptAll(); })
    , m_checkTimer([this] { checkLinks(); })
    , m_deleteTimer([this] { m_closed.clear(); })
{
    m_acceptWatcher.watch(m_listenFd, EV_READ);
    m_checkTimer.every(kPingInterval);
}

PeerHub::~PeerHub()
{
    m_handlers.onLost = nullptr;
    ::close(m_listenFd);
}

Link::Handlers PeerHub::linkHandlers()
{
    return { [this](Link& link) { onOpen(link); },
        [this](Link& link, const std::string& frame) { onFrame(link, frame); }, [this](Link& link) { onClose(link); } };
}

Link* PeerHub::addLink(std::unique_ptr<Link> link)
{
    link->id = m_nextLink++;
    m_links.push_back(std::move(link));
    return m_links.back().get();
}

void PeerHub::acceptAll()
{
    for (;;) {
        const int fd = accept4(m_listenFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        addLink(Link::accept(fd, linkHandlers()));
    }
}

void PeerHub::checkLinks()
{
    const Millis now = monotonicNow();
    std::vector<Link*> links;
    for (const auto& link : m_links)
        links.push_back(link.get());
    for (Link* link : links)
        link->check(now);
}

// If both an outgoing and an incoming link are open, returns the one that received data last: the other one may be
// broken.
Link* PeerHub::openLinkTo(const HostName& host)
{
    Link* best = nullptr;
    const auto out = m_outgoing.find(host);
    if (out != m_outgoing.end() && out->second.link && out->second.link->isOpen())
        best = out->second.link;
    const auto in = m_incoming.find(host);
    if (in != m_incoming.end() && in->second->isOpen() && (!best || best->lastReceived() < in->second->lastReceived()))
        best = in->second;
    return best;
}

std::optional<LinkId> PeerHub::send(const HostName& to, const Message& message)
{
    return sendFrame(to, encode(message));
}

void PeerHub::send(const std::vector<HostName>& to, const Message& message)
{
    const std::string frame = encode(message);
    for (const auto& host : to)
        sendFrame(host, frame);
}

std::optional<LinkId> PeerHub::sendFrame(const HostName& to, const std::string& frame)
{
    ++m_sentMessages;
    m_sentBytes += frame.size();
    if (Link* link = openLinkTo(to)) {
        link->send(frame);
        return link->id;
    }
    Outgoing& out = m_outgoing[to];
    if (!out.link) {
        const auto endpoint = m_handlers.findEndpoint(to);
        if (!endpoint) {
            m_outgoing.erase(to);
            return std::nullopt;
        }
        out.link = addLink(Link::connect(*endpoint, linkHandlers()));
        out.link->peer = to;
    }
    if (out.queued.size() < kMaxQueuedFrames)
        out.queued.push_back(frame);
    return out.link->id;
}

void PeerHub::onOpen(Link& link)
{
    link.send(encode(m_self));
    const auto it = m_outgoing.find(link.peer);
    if (it == m_outgoing.end() || it->second.link != &link)
        return;
    for (const auto& frame : it->second.queued)
        link.send(frame);
    it->second.queued.clear();
    it->second.opened = true;
}

void PeerHub::onFrame(Link& link, const std::string& frame)
{
    auto message = decode(frame);
    if (!message) {
        link.close();
        return;
    }
    if (const auto* hello = std::get_if<Hello>(&*message)) {
        const bool outgoing = !link.peer.empty();
        if (outgoing && link.peer != hello->host) {
            link.close();
            return;
        }
        link.peer = hello->host;
        if (!outgoing)
            m_incoming[link.peer] = &link;
    }
    if (!link.peer.empty())
        m_handlers.onMessage(link.peer, link.id, std::move(*message));
}

void PeerHub::onClose(Link& link)
{
    LostLink lost { link.id, link.peer, true };
    const auto out = m_outgoing.find(lost.host);
    if (out != m_outgoing.end() && out->second.link == &link) {
        lost.opened = out->second.opened;
        m_outgoing.erase(out);
    }
    const auto in = m_incoming.find(lost.host);
    if (in != m_incoming.end() && in->second == &link)
        m_incoming.erase(in);
    const auto it = std::find_if(m_links.begin(), m_links.end(), [&](const auto& n) { return n.get() == &link; });
    if (it != m_links.end())
        m_closed.splice(m_closed.end(), m_links, it);
    m_deleteTimer.once(Millis(0));
    if (!lost.host.empty() && m_handlers.onLost)
        m_handlers.onLost(lost);
}

} // namespace pistachiospur
