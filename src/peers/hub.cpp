#include "hub.h"

#include "io/socket.h"
#include "observe/events.h"

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

namespace pistachiospur {

namespace {

// Max frames that wait for one link to open. Further ones are not sent.
constexpr std::size_t kMaxQueuedFrames = 10000;
// Ids that a link keeps: one for each proof, at most one a second. A request is over before its id is dropped.
constexpr std::size_t kMaxLinkIds = 32;
constexpr std::size_t kMaxLoggedKinds = 100; // of messages that only later builds know

} // namespace

LinkLoss lossOf(const LostLink& lost, LinkId link)
{
    if (link == kNoLink)
        return LinkLoss::unaffected;
    if (link == lost.unsent)
        return LinkLoss::notSent;
    const bool sent = std::find(lost.links.begin(), lost.links.end(), link) != lost.links.end();
    return sent ? LinkLoss::sent : LinkLoss::unaffected;
}

PeerHub::PeerHub(const Endpoint& listen, Hello self, Handlers handlers, std::size_t maxBacklogBytes)
    : m_self(std::move(self))
    , m_handlers(std::move(handlers))
    , m_maxBacklogBytes(maxBacklogBytes)
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
    link->ids = { m_nextLink++ };
    m_links.push_back(std::move(link));
    return m_links.back().get();
}

void PeerHub::acceptAll()
{
    for (;;) {
        const int fd = accept4(m_listenFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        addLink(Link::accept(fd, linkHandlers(), m_maxBacklogBytes));
    }
}

void PeerHub::checkLinks()
{
    const Millis now = monotonicNow();
    std::vector<Link*> links;
    for (const auto& link : m_links)
        links.push_back(link.get());
    for (Link* link : links)
        link->check(now, m_repliesDue.count(link->peer) > 0);
}

// If both an outgoing and an incoming link are open, returns the one that received data last: the other one may be
// broken.
Link* PeerHub::openLinkTo(const LinkKey& key)
{
    Link* best = nullptr;
    const auto out = m_outgoing.find(key);
    if (out != m_outgoing.end() && out->second.link && out->second.link->isOpen())
        best = out->second.link;
    const auto in = m_incoming.find(key);
    if (in != m_incoming.end() && in->second->isOpen() && (!best || best->lastReceived() < in->second->lastReceived()))
        best = in->second;
    return best;
}

void PeerHub::countSent(const Message& message, const std::string& frame)
{
    Traffic& traffic = m_sent[message.index()];
    ++traffic.messages;
    traffic.bytes += frame.size();
}

bool PeerHub::isReadBy(const HostName& host, const Message& message) const
{
    if (message.index() < kBaselineKinds)
        return true;
    const auto known = m_kindsRead.find(host);
    return known != m_kindsRead.end() && message.index() < known->second;
}

// A relayed request must not be sent into a connection that has gone silent, since it could then not be sent again.
std::optional<LinkId> PeerHub::send(const HostName& to, const Message& message, Lane lane)
{
    if (!isReadBy(to, message)) {
        if (!isLinked(to))
            openOutgoing({ to, lane });
        return std::nullopt;
    }
    const std::string frame = encode(message);
    countSent(message, frame);
    const bool isRequest = std::holds_alternative<Relay>(message);
    const auto link = sendFrame({ to, lane }, frame, isRequest);
    if (isRequest && link)
        ++m_repliesDue[to];
    return link;
}

// The open link of a lane to one life of a host that received data last.
Link* PeerHub::openLinkToLife(const HostLife& to, Lane lane)
{
    Link* best = nullptr;
    for (const auto& it : m_links) {
        const bool matches = it->isOpen() && it->incarnation == to.incarnation && it->peer == to.host
            && it->isBulk == (lane == Lane::bulk);
        if (matches && (!best || best->lastReceived() < it->lastReceived()))
            best = it.get();
    }
    return best;
}

// Queues a frame on the link to a host until the host's Hello shows which life it is. False if that is known to be
// another one, or the frame finds no room.
bool PeerHub::queueForLife(const HostLife& to, Lane lane, const std::string& frame)
{
    Outgoing* out = openOutgoing({ to.host, lane });
    if (!out || out->link->incarnation)
        return false;
    if (out->queuedForLife.size() >= kMaxQueuedFrames || out->queuedBytes + frame.size() > m_maxBacklogBytes)
        return false;
    out->queuedForLife.emplace_back(to.incarnation, frame);
    out->queuedBytes += frame.size();
    return true;
}

// A life without a link has given up what it asked for. One with a link on the other lane gets one on this lane too, or
// the message on the other lane if the host's link on this one is to another life.
bool PeerHub::sendToLife(const HostLife& to, const Message& message, Lane lane)
{
    Link* wanted = openLinkToLife(to, lane);
    Link* other = wanted ? nullptr : openLinkToLife(to, lane == Lane::control ? Lane::bulk : Lane::control);
    if ((!wanted && !other) || !isReadBy(to.host, message))
        return false;
    const std::string frame = encode(message);
    countSent(message, frame);
    if (!wanted && queueForLife(to, lane, frame))
        return true;
    sendOn(*(wanted ? wanted : other), frame, false);
    return true;
}

bool PeerHub::sendVia(LinkId id, const Message& message)
{
    const auto found = std::find_if(m_links.begin(), m_links.end(),
        [id](const auto& link) { return std::find(link->ids.begin(), link->ids.end(), id) != link->ids.end(); });
    if (found == m_links.end())
        return false;
    Link& link = **found;
    if (!isReadBy(link.peer, message))
        return false;
    const std::string frame = encode(message);
    countSent(message, frame);
    if (link.isOpen()) {
        sendOn(link, frame, false);
        return true;
    }
    const auto out = m_outgoing.find({ link.peer, link.isBulk ? Lane::bulk : Lane::control });
    if (out == m_outgoing.end() || out->second.link != &link)
        return false;
    out->second.queued.push_back(frame);
    out->second.queuedBytes += frame.size();
    return true;
}

void PeerHub::send(const std::vector<HostName>& to, const Message& message)
{
    const std::string frame = encode(message);
    for (const auto& host : to) {
        if (!isReadBy(host, message)) {
            if (!isLinked(host))
                openOutgoing({ host, Lane::control });
            continue;
        }
        countSent(message, frame);
        sendFrame({ host, Lane::control }, frame, false);
    }
}

// Sends a message on an open link. The first message that has to wait for a proof gets a new id.
LinkId PeerHub::sendOn(Link& link, const std::string& frame, bool proven)
{
    const bool wasHolding = link.isHolding();
    link.send(frame, proven);
    if (link.isHolding() && !wasHolding) {
        link.ids.push_back(m_nextLink++);
        if (link.ids.size() > kMaxLinkIds)
            link.ids.erase(link.ids.begin() + 1); // the first names the link to what arrived on it
    }
    return link.ids.back();
}

bool PeerHub::isLinked(const HostName& host) const
{
    return std::any_of(m_links.begin(), m_links.end(), [&](const auto& it) { return it->peer == host; });
}

bool PeerHub::isLatest(const HostLife& life) const
{
    const Link* latest = nullptr;
    for (const auto& it : m_links) {
        const bool isLater = !latest || latest->ids.front() < it->ids.front();
        if (it->incarnation && it->peer == life.host && isLater)
            latest = it.get();
    }
    return !latest || latest->incarnation == life.incarnation;
}

std::optional<Millis> PeerHub::lastReceivedFrom(const HostName& host) const
{
    std::optional<Millis> last;
    for (const auto& it : m_links) {
        if (it->peer == host)
            last = std::max(last.value_or(it->lastReceived()), it->lastReceived());
    }
    return last;
}

// The outgoing link, opened if there is none; null if the host's endpoint is not known.
PeerHub::Outgoing* PeerHub::openOutgoing(const LinkKey& key)
{
    Outgoing& out = m_outgoing[key];
    if (out.link)
        return &out;
    const auto endpoint = m_handlers.findEndpoint(key.first);
    if (!endpoint) {
        m_outgoing.erase(key);
        return nullptr;
    }
    out.link = addLink(Link::connect(*endpoint, linkHandlers(), m_maxBacklogBytes));
    out.link->peer = key.first;
    out.link->isBulk = key.second == Lane::bulk;
    return &out;
}

std::optional<LinkId> PeerHub::sendFrame(const LinkKey& key, const std::string& frame, bool proven)
{
    if (Link* link = openLinkTo(key))
        return sendOn(*link, frame, proven);
    Outgoing* opened = openOutgoing(key);
    if (!opened)
        return std::nullopt;
    Outgoing& out = *opened;
    if (out.queued.size() >= kMaxQueuedFrames || out.queuedBytes + frame.size() > m_maxBacklogBytes)
        return std::nullopt;
    out.queued.push_back(frame);
    out.queuedBytes += frame.size();
    return out.link->ids.back();
}

void PeerHub::onOpen(Link& link)
{
    Hello hello = m_self;
    hello.isBulk = link.isBulk;
    link.send(encode(hello), false);
    const auto it = m_outgoing.find({ link.peer, link.isBulk ? Lane::bulk : Lane::control });
    if (it == m_outgoing.end() || it->second.link != &link)
        return;
    for (const auto& frame : it->second.queued)
        link.send(frame, false);
    it->second.queued = {};
    it->second.opened = true;
}

// Notes whose link it is and sends what waited for that. False if the link can't be of that life: it was opened to
// another host, or a Hello has named another life on it.
bool PeerHub::takeHello(Link& link, const Hello& hello)
{
    const bool isOther = (!link.peer.empty() && link.peer != hello.host)
        || (link.incarnation && link.incarnation != hello.incarnation);
    if (isOther)
        return false;
    const bool outgoing = !link.peer.empty();
    link.peer = hello.host;
    link.incarnation = hello.incarnation;
    m_kindsRead[link.peer] = std::max(kBaselineKinds, hello.kinds);
    if (!outgoing) {
        link.isBulk = hello.isBulk;
        m_incoming[{ link.peer, link.isBulk ? Lane::bulk : Lane::control }] = &link;
        return true;
    }
    const auto out = m_outgoing.find({ link.peer, link.isBulk ? Lane::bulk : Lane::control });
    if (out == m_outgoing.end() || out->second.link != &link)
        return true;
    out->second.queuedBytes = 0;
    std::size_t dropped = 0;
    for (const auto& [incarnation, frame] : std::exchange(out->second.queuedForLife, {})) {
        if (incarnation == hello.incarnation)
            sendOn(link, frame, false);
        else
            ++dropped;
    }
    if (dropped > 0)
        logEvent(EventKind::state, "replies_to_earlier_life", { { "peer", link.peer }, { "dropped", dropped } });
    return true;
}

void PeerHub::onFrame(Link& link, const std::string& frame)
{
    auto message = decode(frame);
    if (const auto kind = message ? std::nullopt : unknownKind(frame)) {
        if (m_unknownKinds.size() < kMaxLoggedKinds && m_unknownKinds.insert({ link.peer, *kind }).second)
            logEvent(EventKind::state, "message_unknown", { { "peer", link.peer }, { "kind", *kind } });
        ++m_skipped;
        return;
    }
    if (!message) {
        logEvent(EventKind::state, "message_refused", { { "peer", link.peer }, { "bytes", frame.size() } });
        link.close();
        return;
    }
    if (const auto* hello = std::get_if<Hello>(&*message)) {
        if (!takeHello(link, *hello)) {
            logEvent(EventKind::state, "hello_refused", { { "peer", link.peer }, { "named", hello->host } });
            link.close();
            return;
        }
    }
    if (!link.incarnation) {
        logEvent(EventKind::state, "message_before_hello", { { "peer", link.peer }, { "kind", message->index() } });
        link.close();
        return;
    }
    // A build that does not say what it reads reads at least what it sends.
    std::size_t& kinds = m_kindsRead[link.peer];
    kinds = std::max(kinds, message->index() + 1);
    if (std::holds_alternative<RelayReply>(*message) || std::holds_alternative<RelayTurn>(*message)) {
        const auto due = m_repliesDue.find(link.peer);
        if (due != m_repliesDue.end() && --due->second == 0)
            m_repliesDue.erase(due);
    }
    m_handlers.onMessage({ link.peer, *link.incarnation }, link.ids.front(), std::move(*message));
}

void PeerHub::onClose(Link& link)
{
    LostLink lost { link.peer, link.ids, kNoLink };
    const LinkKey key { link.peer, link.isBulk ? Lane::bulk : Lane::control };
    const auto out = m_outgoing.find(key);
    const bool isOutgoing = out != m_outgoing.end() && out->second.link == &link;
    if (link.isHolding() || (isOutgoing && !out->second.opened)) {
        lost.unsent = lost.links.back();
        lost.links.pop_back();
    }
    if (isOutgoing)
        m_outgoing.erase(out);
    m_repliesDue.erase(link.peer);
    const auto in = m_incoming.find(key);
    if (in != m_incoming.end() && in->second == &link)
        m_incoming.erase(in);
    const auto it = std::find_if(m_links.begin(), m_links.end(), [&](const auto& n) { return n.get() == &link; });
    if (it != m_links.end())
        m_closed.splice(m_closed.end(), m_links, it);
    // The host may come back with another build.
    if (!isLinked(lost.host))
        m_kindsRead.erase(lost.host);
    m_deleteTimer.once(Millis(0));
    if (!lost.host.empty() && m_handlers.onLost)
        m_handlers.onLost(lost);
}

void publishTraffic(Metrics& metrics, const PeerHub& hub)
{
    metrics.raise("pistachiospur_peer_messages_skipped_total", {}, static_cast<double>(hub.skipped()));
    for (std::size_t kind = 0; kind < hub.sent().size(); ++kind) {
        const auto& traffic = hub.sent()[kind];
        if (traffic.messages == 0)
            continue;
        const Metrics::Labels labels = { { "kind", messageKind(kind) } };
        metrics.raise("pistachiospur_peer_messages_total", labels, static_cast<double>(traffic.messages));
        metrics.raise("pistachiospur_peer_bytes_total", labels, static_cast<double>(traffic.bytes));
    }
}

} // namespace pistachiospur
