#include "daemon.h"

#include "observe/log.h"

#include <boost/leaf/handle_errors.hpp>

#include <csignal>

namespace pistachiospur {

namespace {

constexpr Millis kCoordinatorInterval { 20 };
constexpr Millis kPlanInterval { 50 };
constexpr Millis kStopCheckInterval { 50 };
// Min time between the announcement that this host leaves and its exit, so that callers and hosts stop sending to it.
constexpr Millis kMinLeaveNotice { 600 };
constexpr std::size_t kMaxAdminBodyBytes = 4096;

} // namespace

Daemon::Daemon(Settings settings, std::string settingsPath)
    : m_settingsPath(std::move(settingsPath))
    , m_context(std::move(settings), peerHandlers())
    , m_coordinators(m_context)
    , m_frontend(m_context, m_coordinators)
    , m_planner(m_context)
    , m_replicaSync(m_context, [this] { onChange(); })
    , m_heartbeats(
          m_context, [this] { onChange(); },
          [this](const HostName& from, StoreRevision revision) { m_replicaSync.onPeerRevision(from, revision); })
    , m_admin(m_context, m_coordinators, m_frontend, [this] { beginStop(); })
    , m_callerServer(m_context.settings.callers, static_cast<std::size_t>(m_context.settings.limits.maxBodyBytes),
          [this](HttpRequest request, const Responder& responder) {
              m_frontend.onCallerRequest(std::move(request), responder);
          })
    , m_adminServer(m_context.settings.admin, kMaxAdminBodyBytes,
          [this](
              const HttpRequest& request, const Responder& responder) { responder.respond(m_admin.answer(request)); })
    , m_coordinatorTimer([this] {
        m_coordinators.tick();
        m_replicaSync.tick();
    })
    , m_planTimer([this] { m_planner.tick(); })
    , m_stopTimer([this] { checkStopped(); })
    , m_sigterm(SIGTERM, [this] { beginStop(); })
    , m_sigint(SIGINT, [this] { beginStop(); })
    , m_sighup(SIGHUP, [this] { reload(); })
{
}

PeerHub::Handlers Daemon::peerHandlers()
{
    return { [this](const HostLife& from, LinkId, Message message) { onMessage(from, std::move(message)); },
        [this](const LostLink& lost) { m_frontend.onLinkLost(lost); },
        [this](const HostName& host) -> std::optional<Endpoint> {
            const auto* found = findHost(m_context.members, host);
            return found ? std::optional(found->peers) : std::nullopt;
        } };
}

int Daemon::run()
{
    logInfo("listening for callers on " + m_context.settings.callers.text() + ", for hosts on "
        + m_context.settings.peers.text() + ", for operators on " + m_context.settings.admin.text());
    m_heartbeats.start();
    m_replicaSync.start();
    m_coordinatorTimer.every(kCoordinatorInterval);
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

// Passes each message, also one that this host has sent to itself, to the part that handles it.
void Daemon::onMessage(const HostLife& sender, Message message)
{
    const HostName& from = sender.host;
    std::visit(
        Overloaded {
            [&](const Hello& it) { onDirectMessage(m_context.members, from, it.incarnation, false, monotonicNow()); },
            [&](const Heartbeat& it) { m_heartbeats.onHeartbeat(from, it); },
            [&](const ReplicaRequest& it) { m_replicaSync.onRequest(from, it.since); },
            [&](const ReplicaBatch& it) { m_replicaSync.onBatch(it.batch, from); },
            [&](const ReplicaSnapshot& it) { m_replicaSync.onSnapshot(it.snapshot); },
            [&](const UpstreamReport& it) { m_planner.onReport(it); },
            [&](const StopRenewing& it) { m_context.send(from, m_coordinators.stopRenewing(it)); },
            [&](const RenewalStopped& it) { m_planner.onRenewalStopped(from, it); },
            [&](const ReleaseQuery& it) { m_context.send(from, m_coordinators.reportRelease(it.upstream)); },
            [&](const ReleaseReport& it) { m_planner.onReleaseReport(from, it); },
            [&](const HostListUpdate& it) { m_heartbeats.onHostListUpdate(it.change); },
            [&](Relay& it) { onRelay(sender, std::move(it)); },
            [&](RelayReply& it) { m_frontend.onRelayReply(from, std::move(it)); },
            [&](const RelayCancel& it) {
                const auto found = m_relayed.find({ sender, it.id });
                if (found != m_relayed.end())
                    m_coordinators.cancel(found->second);
            },
            [](const LoadReport&) {}, // the remaining messages are only sent between gateway hosts
            [](const RangeUpdate&) {},
            [](const HostLeaving&) {},
            [](const LeaderAnnouncement&) {},
            [](const LeaderSteppedDown&) {},
            [](const WatchUpdate&) {},
            [](const RelayTurn&) {},
            [](const RelayTurnOver&) {},
            [](const UpstreamDeparture&) {},
            [](const ReachReport&) {},
        },
        message);
}

void Daemon::onRelay(const HostLife& from, Relay relay)
{
    relay.request.deadline += monotonicNow();
    const auto key = std::pair(from, relay.id);
    const auto job = m_coordinators.submit(relay.upstream, std::move(relay.request), [this, key](Reply reply) {
        m_relayed.erase(key);
        // A host that has started again meanwhile has no such request.
        if (!m_context.hub.sendToLife(key.first, RelayReply { key.second, std::move(reply) }))
            m_context.metrics.count("pistachiospur_dropped_replies_total");
    });
    if (job)
        m_relayed[key] = job;
}

void Daemon::onChange()
{
    m_coordinators.refresh();
    m_planner.tick();
}

// Starts a planned stop: announces that this host leaves, stops coordinating, refuses new requests, and finishes the
// pending ones.
void Daemon::beginStop()
{
    if (m_context.stopping)
        return;
    logInfo("planned stop: handing over the coordinated upstreams and finishing "
        + std::to_string(m_frontend.pendingCount()) + " requests");
    m_context.stopping = true;
    m_context.members.own.leaving = true;
    m_heartbeats.sendHeartbeats();
    m_coordinators.refresh();
    m_stopDeadline = monotonicNow() + limit(m_context, &Limits::stopTimeoutMs);
    m_stopTimer.every(kStopCheckInterval);
}

void Daemon::checkStopped()
{
    const Millis now = monotonicNow();
    const Millis startedAt = m_stopDeadline - limit(m_context, &Limits::stopTimeoutMs);
    const bool idle = m_frontend.pendingCount() == 0 && m_coordinators.jobCount() == 0;
    if (now < startedAt + kMinLeaveNotice || (!idle && now < m_stopDeadline))
        return;
    m_stopTimer.stop();
    logInfo(idle ? "stopped" : "stopped by the stop timeout with unfinished requests");
    breakLoop();
}

void Daemon::reload()
{
    namespace leaf = boost::leaf;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(fresh, loadSettings(m_settingsPath));
            for (const auto& option : limitOptions()) {
                if (option.reloadable)
                    m_context.settings.limits.*option.field = fresh.limits.*option.field;
            }
            logInfo("settings reloaded");
            return {};
        },
        [](const DocumentError& error) {
            for (const auto& it : error.faults)
                logError("reloading the settings failed: " + describe(it));
        },
        [](const FileError& error) { logError("reloading the settings failed: " + describe(error)); },
        [] { logError("reloading the settings failed"); });
}

} // namespace pistachiospur
