#include "gateway.h"

#include "config/settings.h"
#include "notices.h"
#include "observe/events.h"

#include <absl/strings/numbers.h>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace pistachiospur {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

// Interval of the checks for what has become due, on a host that leads ranges or queues requests, and on any other.
constexpr Millis kBusyTickInterval { 25 };
constexpr Millis kIdleTickInterval { 100 };
constexpr Millis kLoadReportInterval { 500 };
constexpr Millis kTrafficLogInterval { 10000 };
constexpr Millis kStopCheckInterval { 50 };
// The load balancer sends connections to a stopping host until two readiness checks, one second apart, have failed.
constexpr Millis kBalancerNoticeTime { 2600 };
// After the end of a stop, the last answers have this long to be sent. The platform kills the process later.
constexpr Millis kLastAnswerTime { 200 };
// A stopping host accepts forwarded requests for this long, so that the other hosts can receive its HostLeaving message
// first.
constexpr Millis kPeerNoticeTime { 300 };
// Max wait for the store to end the host's lease. Without an answer the lease expires by itself.
constexpr Millis kLeaseEndTimeout { 300 };
// Answers with larger bodies use the links for bodies.
constexpr std::size_t kMaxControlBodyBytes = 4096;
// Retry-After when bodies in transit use all their memory: some of them end within this time.
constexpr Millis kMemoryRetryAfter { 500 };
constexpr std::size_t kMaxCallerBodyBytes = 64u << 20;
constexpr std::size_t kMaxAdminBodyBytes = 4096;
constexpr std::size_t kMaxAdminHeaderBytes = 16384;
constexpr Millis kAdminHeaderTimeout { 5000 };
// Parts of the memory and of the descriptors that the readiness checks, and the operators, may use.
constexpr std::size_t kDoorMemoryDivisor = 32;
constexpr std::int64_t kDoorDescriptorsDivisor = 16;
constexpr int kDoorSendBufferBytes = 16 << 10;
// Copies of the head of a caller's request while it waits for an upstream and is sent.
constexpr std::size_t kHeadCopies = 3;
const std::string kQuarantinePath = "/quarantine/";

unsigned doorConnections(const GatewayLimits& limits)
{
    return static_cast<unsigned>(std::min(limits.doorConnections, limits.descriptors / kDoorDescriptorsDivisor));
}

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

Gateway::Gateway(const GatewaySettings& settings, std::string settingsPath, const PlatformAdapter& adapter)
    : m_settingsPath(std::move(settingsPath))
    , m_context(settings, adapter, peerHandlers())
    , m_catchUp(m_context)
    , m_watcher(m_context, m_catchUp)
    , m_reachMonitor(m_context)
    , m_quarantineMonitor(m_context)
    , m_coldMonitor(m_context)
    , m_evacuationMonitor(m_context)
    , m_dispatcher(m_context)
    , m_frontend(m_context, m_dispatcher)
    , m_callerServer(
          settings.callers, kMaxCallerBodyBytes,
          [this](
              HttpRequest request, const Responder& responder) { m_frontend.onCaller(std::move(request), responder); },
          static_cast<unsigned>(settings.limits.descriptors / 2))
    , m_readyServer(
          settings.ready, kMaxAdminBodyBytes,
          [this](const HttpRequest&, const Responder& responder) {
              const bool ready = m_context.directory.routes() && !m_context.stopping;
              responder.respond({ ready ? 200 : 503, {}, "" });
          },
          doorConnections(settings.limits))
    , m_adminServer(
          settings.admin, kMaxAdminBodyBytes,
          [this](const HttpRequest& request, const Responder& responder) { responder.respond(answerAdmin(request)); },
          doorConnections(settings.limits))
    , m_tickTimer([this] { tick(); })
    , m_loadReportTimer([this] { sendLoadReports(); })
    , m_trafficTimer([this] { logTraffic(); })
    , m_stopTimer([this] { checkStopped(); })
    , m_terminate(SIGTERM, [this] { beginStop(); })
    , m_interrupt(SIGINT, [this] { beginStop(); })
    , m_hangUp(SIGHUP, [this] { checkSettingsFile(); })
{
    m_callerServer.setHeadCheck([this](const HttpRequest& request, std::optional<std::uint64_t> bodyBytes) {
        return m_frontend.checkHead(request, bodyBytes);
    });
    m_callerServer.setMaxUnsentBytes(m_context.bodyBudget->maxBytes());
    m_callerServer.setBodyBudget(m_context.bodyBudget,
        [this] { return m_context.adapter.refusalResponse(notRun(RefusalReason::memoryFull, kMemoryRetryAfter)); });
    m_callerServer.setQuietTime(Millis(settings.limits.quietMs));
    limitDoors();
}

// Callers of the readiness checks and of the operators' pages have limits and memory of their own, so that no crowd at
// one door closes another. Until the first configuration is in force, the callers' door has the same limits of time.
void Gateway::limitDoors()
{
    const GatewayLimits& given = m_context.settings.limits;
    HttpLimits limits;
    limits.headerBytes = kMaxAdminHeaderBytes;
    limits.bodyBytes = kMaxAdminBodyBytes;
    limits.headerTimeout = kAdminHeaderTimeout;
    limits.bodyTimeout = kAdminHeaderTimeout;
    limits.idleTimeout = Millis(given.doorIdleMs);
    limits.outputBytes = 1; // one answer at a time
    m_callerServer.setLimits(limits);
    const std::size_t memory = (static_cast<std::size_t>(given.memoryMb) << 20) / kDoorMemoryDivisor;
    for (HttpServer* it : { &m_readyServer, &m_adminServer }) {
        it->setLimits(limits);
        it->setBodyBudget(std::make_shared<MemoryBudget>(memory / 2), [] {
            return HttpResponse { 503, { { "Retry-After", "1" } }, "" };
        });
        it->setMaxUnsentBytes(memory / 2);
        it->setQuietTime(Millis(given.quietMs));
        it->setSendBuffer(kDoorSendBufferBytes);
    }
}

PeerHub::Handlers Gateway::peerHandlers()
{
    return { [this](const HostLife& from, LinkId link, Message message) { onMessage(from, link, std::move(message)); },
        [this](const LostLink& lost) { onLinkLost(lost); },
        [this](const HostName& host) -> std::optional<Endpoint> {
            const auto it = m_context.directory.hosts().find(host);
            return it == m_context.directory.hosts().end() ? std::nullopt : std::optional(it->second.peers);
        } };
}

void Gateway::start()
{
    const auto& settings = m_context.settings;
    setEventHost(settings.host);
    setCallbackErrorHandler([this](const char* what) {
        m_context.metrics.count("pistachiospur_callback_errors_total");
        logEvent(EventKind::process, "callback_failed", { { "error", what } });
    });
    logEvent(EventKind::process, "start",
        { { "callers", settings.callers.text() }, { "peers", settings.peers.text() },
            { "store", settings.store.text() }, { "incarnation", m_context.incarnation.value } });
    m_context.directory.start([this] { onDirectoryChange(); });
    m_tickTimer.once(kBusyTickInterval);
    m_loadReportTimer.every(kLoadReportInterval);
    m_trafficTimer.every(kTrafficLogInterval);
}

int Gateway::run()
{
    start();
    runLoop();
    return 0;
}

void Gateway::onDirectoryChange()
{
    const auto& routes = m_context.directory.routes();
    if (routes) {
        for (const auto& [name, service] : routes->services) {
            if (service.keyed && !m_leaders.count(name))
                m_leaders[name] = std::make_unique<RangeLeader>(m_context, name);
        }
    }
    if (routes) {
        const CallerLimits& limits = routes->limits;
        m_callerServer.setLimits({ limits.headerBytes, limits.bodyBytes, limits.headerTimeout,
            Millis(m_context.settings.limits.bodyMs), limits.idleTimeout, true, kHeadCopies });
    }
    m_evacuationMonitor.tick();
    regroupPools(m_context);
    m_dispatcher.refresh();
    m_frontend.refresh();
    for (auto& [name, leader] : m_leaders)
        leader->tick();
}

void Gateway::tick()
{
    flushEvents();
    m_context.directory.tick();
    m_watcher.tick();
    m_catchUp.tick();
    m_reachMonitor.tick();
    m_quarantineMonitor.tick();
    m_coldMonitor.tick();
    if (m_evacuationMonitor.tick()) {
        m_dispatcher.refresh();
        m_frontend.refresh();
    }
    for (auto& [name, leader] : m_leaders)
        leader->tick();
    if (std::exchange(m_context.rangesChanged, false)) {
        m_dispatcher.refreshRanges();
        m_frontend.refresh();
    }
    if (std::exchange(m_context.quarantineChanged, false))
        m_frontend.refresh();
    m_dispatcher.tick();
    m_tickTimer.once(isBusy() ? kBusyTickInterval : kIdleTickInterval);
}

// Whether something may become due within a few milliseconds.
bool Gateway::isBusy() const
{
    const bool leads
        = std::any_of(m_leaders.begin(), m_leaders.end(), [](const auto& it) { return it.second->needsTicks(); });
    return leads || m_dispatcher.hasWaiting() || !m_context.directory.hasHostEntry();
}

void Gateway::onMessage(const HostLife& sender, LinkId link, Message message)
{
    const HostName& from = sender.host;
    std::visit(
        Overloaded {
            [&](const Hello& received) {
                m_context.unreachableUntil.erase(from);
                if (!received.isBulk) {
                    m_reachMonitor.onLinkOpened(from);
                    m_catchUp.onLinkOpened(from);
                }
            },
            [&](ReachReport& received) { m_reachMonitor.onReport(sender, std::move(received)); },
            [&](Relay& received) { onRelay(sender, link, std::move(received)); },
            [&](RelayReply& received) { m_frontend.onRelayReply(from, std::move(received)); },
            [&](const RelayCancel& received) {
                onRelayCancel({ sender, received.id });
            },
            [&](const RelayTurn& received) { m_frontend.onTurn(from, received); },
            [&](RelayTurnOver& received) {
                onTurnOver(
                    { sender, received.id }, std::move(received.reply), received.rate, received.pause, received.load);
            },
            [&](const LoadReport& report) {
                const auto leader = m_leaders.find(report.service);
                if (leader != m_leaders.end())
                    leader->second->onLoadReport(report);
            },
            [&](const LeaderAnnouncement& received) {
                const auto leader = m_leaders.find(received.service);
                if (leader != m_leaders.end())
                    m_context.hub.send(from, leader->second->onLeaderAnnouncement(received));
            },
            [&](const LeaderSteppedDown& received) {
                const auto leader = m_leaders.find(received.service);
                if (leader != m_leaders.end())
                    leader->second->onLeaderSteppedDown(from, received);
            },
            [&](const WatchUpdate& received) { m_watcher.onWatchUpdate(from, received); },
            [&](const ReplicaRequest& received) { m_catchUp.onRequest(sender, received); },
            [&](const ReplicaBatch& received) { m_catchUp.onBatch(from, received); },
            [&](const HostLeaving& received) { m_context.directory.markHostLeaving(from, received.incarnation); },
            [&](const UpstreamDeparture& received) { takeDeparture(m_context, from, received); },
            [&](RangeUpdate& received) { onRangeUpdate(std::move(received)); },
            [](const auto&) {}, // other messages belong to the protocol with challenges (src/daemon)
        },
        message);
}

// Replies to a request that another host forwarded. A host that has started again meanwhile has no such request.
void Gateway::replyToRelay(const RelayKey& key, Reply reply, Millis wait)
{
    const auto& [sender, id] = key;
    const auto* answer = std::get_if<Answer>(&reply);
    const Lane lane = answer && answer->body.size() > kMaxControlBodyBytes ? Lane::bulk : Lane::control;
    if (m_context.hub.sendToLife(sender, RelayReply { id, std::move(reply), wait }, lane))
        return;
    m_context.metrics.count("pistachiospur_dropped_replies_total");
    logEvent(EventKind::request, "reply_dropped",
        { { "peer", sender.host }, { "incarnation", sender.incarnation.value }, { "relay", id } });
}

void Gateway::onRelay(const HostLife& from, LinkId link, Relay relay)
{
    const Millis now = monotonicNow();
    relay.request.deadline += now;
    // Earlier builds send no fingerprint.
    if (relay.request.fingerprint == 0 && !relay.turnOnly)
        relay.request.fingerprint = fingerprintOf(m_context, relay.request, relay.request.body.size());
    const RelayKey key(from, relay.id);
    const PlannedStop& stop = m_context.stop;
    if (m_context.stopping && (now >= stop.requestedAt + kPeerNoticeTime || !mayPassOn(stop, relay.request.deadline))) {
        replyToRelay(key, notRun(RefusalReason::stopping), Millis(0));
        return;
    }
    RelayedRequest relayed;
    relayed.link = link;
    const auto charge = std::make_shared<BodyCharge>(m_context.bodyBudget);
    if (!charge->take(relay.request.body.size())) {
        replyToRelay(key, notRun(RefusalReason::memoryFull, kMemoryRetryAfter), Millis(0));
        return;
    }
    relayed.bodyCharge = charge;
    const auto waitAfter
        = [this, service = relay.request.service, upstream = relay.upstream, order = relay.request.order] {
              return m_dispatcher.expectedWait(service, upstream, order);
          };
    const auto onReply = [this, key, waitAfter](Reply reply) {
        // The end of a turn is known to the host that had it.
        const auto found = m_relayedRequests.find(key);
        const bool hadTurn = found != m_relayedRequests.end() && found->second.hadTurn;
        m_relayedRequests.erase(key);
        if (!hadTurn)
            replyToRelay(key, std::move(reply), waitAfter());
    };
    // The entry exists before the request is queued, because the turn may come at once.
    m_relayedRequests[key] = std::move(relayed);
    const RequestOrigin origin { relay.turnOnly ? relay.origin : m_context.settings.dataCentre, relay.hasLargeBody,
        relay.turnOnly ? from.host : m_context.settings.host, now - relay.waited,
        relay.callerTimeLeft > Millis(0) ? now + relay.callerTimeLeft : Millis(0), relay.mayComeBack,
        std::max(relay.bytes, bytesOf(relay.request, relay.request.body.size())) };
    const auto job = relay.turnOnly
        ? m_dispatcher.submitForTurn(
            relay.upstream, std::move(relay.request), onReply,
            [this, key, waitAfter](const InstanceId& instance) {
                m_relayedRequests.at(key).hadTurn = true;
                m_context.hub.sendToLife(key.first, RelayTurn { key.second, instance, waitAfter() });
            },
            origin)
        : m_dispatcher.submit(relay.upstream, std::move(relay.request), onReply, {}, origin);
    const auto found = m_relayedRequests.find(key);
    if (found != m_relayedRequests.end())
        found->second.job = job;
}

// Ends a request that its sender has given up. One that must not be aborted, because it may have an effect, runs on.
void Gateway::onRelayCancel(const RelayKey& key)
{
    const auto found = m_relayedRequests.find(key);
    if (found != m_relayedRequests.end())
        m_dispatcher.cancel(found->second.job);
}

void Gateway::onTurnOver(
    const RelayKey& key, Reply reply, const RateNotice& rate, Millis pause, const std::optional<UpstreamLoad>& load)
{
    const auto found = m_relayedRequests.find(key);
    if (found != m_relayedRequests.end() && found->second.hadTurn)
        m_dispatcher.endTurn(found->second.job, std::move(reply), rate, pause, load);
}

// Cancels the requests that arrived over a lost link, because the peer has given them up.
void Gateway::onLinkLost(const LostLink& lost)
{
    m_frontend.onLinkLost(lost);
    std::vector<RelayKey> orphans;
    for (const auto& [key, relayed] : m_relayedRequests) {
        if (lossOf(lost, relayed.link) != LinkLoss::unaffected)
            orphans.push_back(key);
    }
    for (const auto& key : orphans) {
        onTurnOver(key, maybeRun(RefusalReason::hostLost), {}, Millis(0), std::nullopt);
        onRelayCancel(key);
    }
}

// Applies a leader's update to the known range table and to the pending ranges. If the update's base is not the known
// table, the table stays as it is until the watcher reads it from the store.
void Gateway::onRangeUpdate(RangeUpdate update)
{
    auto& pending = m_context.pending[update.service];
    if (update.revision < pending.revision)
        return;
    const StoredTable* known = m_context.directory.tableOf(update.service);
    if (known && known->revision == update.base && known->revision < update.revision) {
        StoredTable next { applyChanges(known->table, update.changes), update.revision, {} };
        if (coversEverySlot(next.table.ranges))
            m_context.directory.recordTable(update.service, std::move(next));
    }
    pending = { update.revision, std::move(update.pending), monotonicNow() };
    m_dispatcher.refreshRanges();
    m_frontend.refresh();
}

// Sends request counts by slot, and upstreams' run times, to the leader of each keyed service.
void Gateway::sendLoadReports()
{
    auto counts = m_frontend.takeSlotCounts();
    for (auto& [service, leader] : m_leaders) {
        const LeaderEntry* entry = m_context.directory.leaderOf(service);
        if (!entry)
            continue;
        LoadReport report { service, {}, m_dispatcher.meanRunTimes(service) };
        const auto found = counts.find(service);
        if (found != counts.end())
            report.counts.assign(found->second.begin(), found->second.end());
        if (report.counts.empty() && report.runs.empty())
            continue;
        if (isSelf(m_context, entry->host))
            leader->onLoadReport(report);
        else
            m_context.hub.send(entry->host, report);
    }
}

// Logs what this host has sent to the store and to other hosts since its start, by kind.
void Gateway::logTraffic()
{
    Json messages = Json::object(), calls = Json::object();
    for (std::size_t kind = 0; kind < m_context.hub.sent().size(); ++kind) {
        const auto& sent = m_context.hub.sent()[kind];
        if (sent.messages > 0)
            messages[messageKind(kind)] = { sent.messages, sent.bytes };
    }
    for (const auto& [kind, n] : m_context.directory.store().callCounts())
        calls[kind] = n;
    logEvent(EventKind::state, "traffic",
        { { "store_calls", calls }, { "messages_and_bytes", messages }, { "links", m_context.hub.linkCount() },
            { "callers", m_callerServer.connectionCount() } });
}

HttpResponse Gateway::statusReport() const
{
    Json hosts = Json::array(), upstreams = Json::array(), leaders = Json::object();
    for (const auto& [name, entry] : m_context.directory.hosts())
        hosts.push_back(
            { { "host", name }, { "leaving", entry.leaving }, { "entry_gone", entry.entryGoneSince.has_value() } });
    for (const auto& [name, entry] : m_context.directory.instances())
        upstreams.push_back({ { "upstream", name }, { "service", entry.instance.service },
            { "draining", entry.instance.draining }, { "entry_gone", entry.entryGone } });
    for (const auto& [service, leader] : m_leaders) {
        const LeaderEntry* entry = m_context.directory.leaderOf(service);
        leaders[service] = entry ? Json(entry->host) : Json(nullptr);
    }
    const auto& routes = m_context.directory.routes();
    const Json status = { { "host", m_context.settings.host }, { "configuration", routes ? routes->version.value : 0 },
        { "store_revision", counterOf(m_context.directory.revision()).value },
        { "store_era", m_context.directory.storeEra().value }, { "copy_age_ms", m_context.directory.age().count() },
        { "store_reached", m_context.directory.isStoreReachable() }, { "stopping", m_context.stopping },
        { "open_requests", m_frontend.pendingCount() }, { "hosts", hosts }, { "upstreams", upstreams },
        { "keepers", leaders }, { "quarantine", m_quarantineMonitor.report() }, { "cold", m_coldMonitor.report() },
        { "evacuations", m_evacuationMonitor.report() } };
    return { 200, { { "Content-Type", "application/json" } }, status.dump() };
}

HttpResponse Gateway::clearQuarantine(const std::string& text)
{
    std::uint64_t fingerprint = 0;
    if (!absl::SimpleHexAtoi(text, &fingerprint))
        return { 400, {}, "the fingerprint must be a hexadecimal number\n" };
    if (!m_quarantineMonitor.clear(fingerprint))
        return { 404, {}, "no such request is suspected or quarantined\n" };
    return { 204, {}, "" };
}

// Publishes what callers hold, and how many of their connections this host has closed, by door and reason.
void Gateway::publishCallers()
{
    const std::pair<const char*, const HttpServer*> doors[]
        = { { "callers", &m_callerServer }, { "ready", &m_readyServer }, { "admin", &m_adminServer } };
    for (const auto& [door, server] : doors) {
        m_context.metrics.set(
            "pistachiospur_callers", { { "door", door } }, static_cast<double>(server->connectionCount()));
        m_context.metrics.set(
            "pistachiospur_caller_waiting_bytes", { { "door", door } }, static_cast<double>(server->unsentBytes()));
        for (std::size_t n = 0; n < kCallerCloses; ++n)
            m_context.metrics.raise("pistachiospur_callers_closed_total",
                { { "door", door }, { "reason", kCallerCloseNames[n] } },
                static_cast<double>(server->closeCounts()[n]));
    }
}

HttpResponse Gateway::answerAdmin(const HttpRequest& request)
{
    if (request.path == "/status")
        return statusReport();
    if (request.method == "DELETE" && request.path.compare(0, kQuarantinePath.size(), kQuarantinePath) == 0)
        return clearQuarantine(request.path.substr(kQuarantinePath.size()));
    if (request.path != "/metrics")
        return { 404, {}, "" };
    m_dispatcher.publishMetrics();
    for (auto& [name, leader] : m_leaders)
        leader->publishMetrics();
    const auto& directory = m_context.directory;
    m_context.metrics.set("pistachiospur_config_revision", {},
        directory.routes() ? static_cast<double>(directory.routes()->version.value) : 0);
    m_context.metrics.set("pistachiospur_copy_age_seconds", {}, static_cast<double>(directory.age().count()) / 1000);
    m_context.metrics.set("pistachiospur_copy_revisions_behind", {}, static_cast<double>(m_watcher.revisionsBehind()));
    m_context.metrics.set(
        "pistachiospur_store_revision", {}, static_cast<double>(counterOf(directory.revision()).value));
    m_context.metrics.set("pistachiospur_hosts_alive", {}, static_cast<double>(directory.hosts().size()));
    const auto& suspects = m_context.quarantine.suspects;
    const auto isRefused
        = [this](const auto& it) { return isQuarantined(m_context.quarantine, it.first, monotonicNow()); };
    m_context.metrics.set("pistachiospur_quarantined", {},
        static_cast<double>(std::count_if(suspects.begin(), suspects.end(), isRefused)));
    m_evacuationMonitor.publishMetrics();
    publishTraffic(m_context.metrics, m_context.hub);
    for (const auto& [kind, n] : m_context.directory.store().callCounts())
        m_context.metrics.raise("pistachiospur_store_calls_total", { { "kind", kind } }, static_cast<double>(n));
    m_context.metrics.set("pistachiospur_body_bytes", {}, static_cast<double>(m_context.bodyBudget->used()));
    publishCallers();
    m_context.metrics.set("pistachiospur_configuration_faults", {},
        directory.routes() ? static_cast<double>(directory.routes()->faults.size()) : 0);
    m_context.metrics.set("pistachiospur_peer_links", {}, static_cast<double>(m_context.hub.linkCount()));
    return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_context.metrics.text() };
}

// Fails readiness checks, announces the stop to other hosts, resigns leadership, finishes open requests, ends the
// host's lease and exits.
void Gateway::beginStop()
{
    if (m_context.stopping)
        return;
    logEvent(EventKind::process, "stop", { { "open_requests", m_frontend.pendingCount() } });
    m_context.stopping = true;
    m_context.stop = planStop(monotonicNow(), Millis(m_context.settings.limits.graceMs));
    m_context.directory.publishLeaving();
    m_context.hub.send(otherHosts(m_context), HostLeaving { m_context.incarnation });
    m_stopTimer.every(kStopCheckInterval);
}

void Gateway::checkStopped()
{
    const Millis now = monotonicNow();
    for (auto& [name, leader] : m_leaders)
        leader->resign();
    const PlannedStop& stop = m_context.stop;
    const bool late = now >= stop.endsAt;
    if (late)
        m_frontend.endAll();
    const bool idle = m_frontend.pendingCount() == 0 && m_dispatcher.jobCount() == 0 && !m_callerServer.isResponding();
    if (!late && now < stop.requestedAt + kBalancerNoticeTime)
        return;
    // If few hosts of the data centre are ready, the load balancer may keep sending connections to this one. From here
    // on they are refused, so that the callers try another host.
    if (!std::exchange(m_leaseEnding, true)) {
        m_callerServer.stopListening();
        m_context.directory.endHostLease([this] { m_leaseEnded = true; });
    }
    const bool leaseEndTimedOut = now >= stop.requestedAt + kBalancerNoticeTime + kLeaseEndTimeout;
    const bool sending = m_callerServer.isResponding() && now < stop.endsAt + kLastAnswerTime;
    if (late ? sending : !(idle && (m_leaseEnded || leaseEndTimedOut)))
        return;
    m_stopTimer.stop();
    logEvent(EventKind::process, "stopped", { { "open_requests", m_frontend.pendingCount() } });
    m_stopped = true;
    breakLoop();
}

// Checks the settings file and logs the outcome. A running gateway does not apply changed settings; they take effect at
// the next start.
void Gateway::checkSettingsFile()
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(text, readFile(m_settingsPath));
            BOOST_LEAF_CHECK(parseGatewaySettings(text, m_settingsPath));
            logEvent(
                EventKind::process, "settings_checked", { { "outcome", "valid; takes effect at the next start" } });
            return {};
        },
        [](const DocumentError& error) {
            logEvent(EventKind::process, "settings_checked", { { "outcome", describe(error.faults.front()) } });
        },
        [](const FileError& error) {
            logEvent(EventKind::process, "settings_checked", { { "outcome", describe(error) } });
        },
        [] {
            logEvent(EventKind::process, "settings_checked", { { "outcome", "unexpected error" } });
        });
}

} // namespace pistachiospur
