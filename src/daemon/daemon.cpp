#include "daemon.h"

#include "observe/log.h"

#include <boost/leaf/handle_errors.hpp>

#include <csignal>

namespace pistachiospur {

namespace {

constexpr Millis kFastInterval { 20 };
constexpr Millis kPlanInterval { 50 };
constexpr Millis kStopCheck { 50 };
// The least time between saying that it leaves and closing its door, so that others stop sending.
constexpr Millis kLeaveNotice { 600 };
constexpr std::size_t kAdminBody = 4096;

} // namespace

Daemon::Daemon(Settings settings, std::string settingsPath)
    : m_settingsPath(std::move(settingsPath))
    , m_node(std::move(settings), peerHandlers())
    , m_coordinators(m_node)
    , m_entry(m_node, m_coordinators)
    , m_planner(m_node)
    , m_feed(m_node, [this] { onChange(); })
    , m_heartbeats(
          m_node, [this] { onChange(); },
          [this](const HostName& from, StoreRevision revision) { m_feed.onRevisionHeard(from, revision); })
    , m_admin(m_node, m_coordinators, m_entry, [this] { beginStop(); })
    , m_callerServer(m_node.settings.callers, static_cast<std::size_t>(m_node.settings.limits.maxBodyBytes),
          [this](HttpRequest request, const Responder& responder) { m_entry.onCaller(std::move(request), responder); })
    , m_adminServer(m_node.settings.admin, kAdminBody,
          [this](
              const HttpRequest& request, const Responder& responder) { responder.respond(m_admin.answer(request)); })
    , m_fastTimer([this] {
        m_coordinators.tick();
        m_feed.tick();
    })
    , m_planTimer([this] { m_planner.tick(); })
    , m_stopTimer([this] { checkStopped(); })
    , m_terminate(SIGTERM, [this] { beginStop(); })
    , m_interrupt(SIGINT, [this] { beginStop(); })
    , m_hangUp(SIGHUP, [this] { reload(); })
{
}

PeerHub::Handlers Daemon::peerHandlers()
{
    return { [this](const HostName& from, LinkId, Message message) { onMessage(from, std::move(message)); },
        [this](const LostLink& lost) { m_entry.onLinkLost(lost); },
        [this](const HostName& host) -> std::optional<Endpoint> {
            const auto* found = findHost(m_node.members, host);
            return found ? std::optional(found->peers) : std::nullopt;
        } };
}

int Daemon::run()
{
    logInfo("serving callers on " + m_node.settings.callers.text() + ", hosts on " + m_node.settings.peers.text()
        + ", operators on " + m_node.settings.admin.text());
    m_heartbeats.start();
    m_feed.start();
    m_fastTimer.every(kFastInterval);
    m_planTimer.every(kPlanInterval);
    runLoop();
    return 0;
}

namespace {

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

// Every message between hosts, and the part that it goes to.
void Daemon::onMessage(const HostName& from, Message message)
{
    std::visit(Overloaded {
                   [&](const Hello& it) { onHeard(m_node.members, from, it.incarnation, false, monotonicNow()); },
                   [&](const Heartbeat& it) { m_heartbeats.onHeartbeat(from, it); },
                   [&](const ReplicaRequest& it) { m_feed.onRequest(from, it.since); },
                   [&](const ReplicaBatch& it) { m_feed.onBatch(it.batch, from); },
                   [&](const ReplicaSnapshot& it) { m_feed.onSnapshot(it.snapshot); },
                   [&](const UpstreamReport& it) { m_planner.onReport(it); },
                   [&](const StopRenewing& it) { m_node.send(from, m_coordinators.stopRenewing(it)); },
                   [&](const RenewalStopped& it) { m_planner.onStopped(from, it); },
                   [&](const ReleaseQuery& it) { m_node.send(from, m_coordinators.reportRelease(it.upstream)); },
                   [&](const ReleaseReport& it) { m_planner.onReleaseReport(from, it); },
                   [&](const HostListNews& it) { m_heartbeats.onHostListNews(it.change); },
                   [&](Relay& it) { onRelay(from, std::move(it)); },
                   [&](RelayReply& it) { m_entry.onRelayReply(from, std::move(it)); },
                   [&](const RelayCancel& it) {
                       const auto found = m_relayed.find({ from, it.id });
                       if (found != m_relayed.end())
                           m_coordinators.cancel(found->second);
                   },
                   [](const LoadReport&) {}, // the rest is between hosts of a gateway
                   [](const RangeNews&) {},
                   [](const HostLeaving&) {},
                   [](const KeeperNews&) {},
                   [](const KeeperStopped&) {},
                   [](const FeedBatch&) {},
               },
        message);
}

void Daemon::onRelay(const HostName& from, Relay relay)
{
    relay.request.deadline += monotonicNow();
    const auto key = std::pair(from, relay.id);
    const auto job = m_coordinators.handle(relay.upstream, std::move(relay.request), [this, key](Reply reply) {
        m_relayed.erase(key);
        m_node.send(key.first, RelayReply { key.second, std::move(reply) });
    });
    if (job)
        m_relayed[key] = job;
}

void Daemon::onChange()
{
    m_coordinators.refresh();
    m_planner.tick();
}

// A planned stop: say so, hand the upstreams over, close the door, finish what runs, leave.
void Daemon::beginStop()
{
    if (m_node.stopping)
        return;
    logInfo("planned stop: handing over and finishing " + std::to_string(m_entry.pendingCount()) + " requests");
    m_node.stopping = true;
    m_node.members.own.leaving = true;
    m_heartbeats.beat();
    m_coordinators.refresh();
    m_stopBy = monotonicNow() + limit(m_node, &Limits::stopTimeoutMs);
    m_stopTimer.every(kStopCheck);
}

void Daemon::checkStopped()
{
    const Millis now = monotonicNow();
    const Millis began = m_stopBy - limit(m_node, &Limits::stopTimeoutMs);
    const bool idle = m_entry.pendingCount() == 0 && m_coordinators.jobCount() == 0;
    if (now < began + kLeaveNotice || (!idle && now < m_stopBy))
        return;
    m_stopTimer.stop();
    logInfo(idle ? "stopped" : "stopped with requests unfinished: the stop timeout has passed");
    breakLoop();
}

void Daemon::reload()
{
    namespace leaf = boost::leaf;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(fresh, loadSettings(m_settingsPath));
            for (const auto& it : limitOptions()) {
                if (it.reloadable)
                    m_node.settings.limits.*it.field = fresh.limits.*it.field;
            }
            logInfo("settings read again");
            return {};
        },
        [](const DocumentError& error) {
            for (const auto& it : error.faults)
                logError("settings not taken: " + describe(it));
        },
        [](const FileError& error) { logError("settings not taken: " + describe(error)); },
        [] { logError("settings not taken"); });
}

} // namespace pistachiospur
