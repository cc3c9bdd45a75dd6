#include "gateway.h"

#include "config/settings.h"
#include "observe/events.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <utility>

namespace pistachiospur {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

constexpr Millis kTick { 25 };
constexpr Millis kLoadInterval { 500 };
constexpr Millis kStopCheck { 50 };
// A stopping host still gets connections until the balancer has asked twice in vain, once a second.
constexpr Millis kBalancerNotice { 2600 };
// A stopping process leaves by itself so long before the platform kills it.
constexpr Millis kKillMargin { 500 };
// Hosts that have not heard of the stop after so long have their requests sent back.
constexpr Millis kHostNotice { 300 };
// Ending the lease is tried for so long; it lapses by itself if the store does not answer.
constexpr Millis kLeaseEndTime { 300 };
constexpr std::size_t kCallerBody = 64u << 20;
constexpr std::size_t kAdminBody = 4096;

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

Gateway::Gateway(const GatewaySettings& settings, std::string settingsPath, const Dialect& dialect)
    : m_settingsPath(std::move(settingsPath))
    , m_site(settings, dialect, peerHandlers())
    , m_watcher(m_site)
    , m_dispatcher(m_site)
    , m_door(m_site, m_dispatcher)
    , m_callerServer(settings.callers, kCallerBody,
          [this](HttpRequest request, const Responder& responder) { m_door.onCaller(std::move(request), responder); })
    , m_readyServer(settings.ready, kAdminBody,
          [this](const HttpRequest&, const Responder& responder) {
              const bool ready = m_site.directory.routes() && !m_site.stopping;
              responder.respond({ ready ? 200 : 503, {}, "" });
          })
    , m_adminServer(settings.admin, kAdminBody,
          [this](const HttpRequest& request, const Responder& responder) { responder.respond(answerAdmin(request)); })
    , m_tickTimer([this] { tick(); })
    , m_loadTimer([this] { sendLoads(); })
    , m_stopTimer([this] { checkStopped(); })
    , m_terminate(SIGTERM, [this] { beginStop(); })
    , m_interrupt(SIGINT, [this] { beginStop(); })
    , m_hangUp(SIGHUP, [this] { reload(); })
{
}

PeerHub::Handlers Gateway::peerHandlers()
{
    return { [this](const HostName& from, LinkId link, Message message) { onMessage(from, link, std::move(message)); },
        [this](const LostLink& lost) { onLinkLost(lost); },
        [this](const HostName& host) -> std::optional<Endpoint> {
            const auto it = m_site.directory.hosts().find(host);
            return it == m_site.directory.hosts().end() ? std::nullopt : std::optional(it->second.peers);
        } };
}

void Gateway::start()
{
    const auto& settings = m_site.settings;
    startEvents(settings.host);
    logEvent(EventKind::state, "start",
        { { "callers", settings.callers.text() }, { "peers", settings.peers.text() },
            { "store", settings.store.text() }, { "incarnation", m_site.incarnation.value } });
    m_site.directory.start([this] { onDirectoryChange(); });
    m_tickTimer.every(kTick);
    m_loadTimer.every(kLoadInterval);
}

int Gateway::run()
{
    start();
    runLoop();
    return 0;
}

void Gateway::onDirectoryChange()
{
    const auto& routes = m_site.directory.routes();
    if (routes) {
        for (const auto& [name, service] : routes->services) {
            if (service.keyed && !m_keepers.count(name))
                m_keepers[name] = std::make_unique<Keeper>(m_site, name);
        }
    }
    if (routes)
        m_callerServer.setIdleTimeout(routes->limits.idleTimeout);
    regroupPools(m_site);
    m_dispatcher.refresh();
    m_door.refresh();
    for (auto& [name, keeper] : m_keepers)
        keeper->tick();
}

void Gateway::tick()
{
    m_site.directory.tick();
    m_watcher.tick();
    for (auto& [name, keeper] : m_keepers)
        keeper->tick();
    if (std::exchange(m_site.rangesTold, false)) {
        m_dispatcher.refresh();
        m_door.refresh();
    }
    m_dispatcher.tick();
}

void Gateway::onMessage(const HostName& from, LinkId link, Message message)
{
    std::visit(Overloaded {
                   [&](const Hello&) { m_site.unreachableUntil.erase(from); },
                   [&](Relay& it) { onRelay(from, link, std::move(it)); },
                   [&](RelayReply& it) { m_door.onRelayReply(from, std::move(it)); },
                   [&](const RelayCancel& it) {
                       const auto found = m_relayed.find({ from, it.id });
                       if (found != m_relayed.end())
                           m_dispatcher.cancel(found->second.job);
                   },
                   [&](const LoadReport& it) {
                       const auto keeper = m_keepers.find(it.service);
                       if (keeper != m_keepers.end())
                           keeper->second->onLoadReport(it);
                   },
                   [&](const KeeperNews& it) {
                       const auto keeper = m_keepers.find(it.service);
                       if (keeper != m_keepers.end())
                           m_site.hub.send(from, keeper->second->onKeeperNews(it));
                   },
                   [&](const KeeperStopped& it) {
                       const auto keeper = m_keepers.find(it.service);
                       if (keeper != m_keepers.end())
                           keeper->second->onKeeperStopped(from, it);
                   },
                   [&](const FeedBatch& it) { m_watcher.onBatch(from, it); },
                   [&](const HostLeaving& it) { m_site.directory.learnLeaving(from, it.incarnation); },
                   [&](RangeNews& it) { onRangeNews(std::move(it)); },
                   [](const auto&) {}, // the rest is between hosts that own upstreams by challenge
               },
        message);
}

void Gateway::onRelay(const HostName& from, LinkId link, Relay relay)
{
    if (m_site.stopping && monotonicNow() >= m_stopAt + kHostNotice) {
        m_site.hub.send(from, RelayReply { relay.id, notRun(RefusalReason::stopping) });
        return;
    }
    relay.request.deadline += monotonicNow();
    const auto key = std::pair(from, relay.id);
    const auto job = m_dispatcher.handle(relay.upstream, std::move(relay.request), [this, key](Reply reply) {
        m_relayed.erase(key);
        m_site.hub.send(key.first, RelayReply { key.second, std::move(reply) });
    });
    if (job)
        m_relayed[key] = { job, link };
}

// The host at the other end has given up what it sent over the link, so nobody waits for these answers.
void Gateway::onLinkLost(const LostLink& lost)
{
    m_door.onLinkLost(lost);
    std::vector<Dispatcher::JobId> orphans;
    for (const auto& [key, relayed] : m_relayed) {
        if (key.first == lost.host && relayed.link == lost.link)
            orphans.push_back(relayed.job);
    }
    for (const auto job : orphans)
        m_dispatcher.cancel(job);
}

void Gateway::onRangeNews(RangeNews news)
{
    auto& pending = m_site.pending[news.service];
    if (news.revision < pending.revision)
        return;
    const StoredTable* known = m_site.directory.tableOf(news.service);
    if (known && known->revision == news.base && known->revision < news.revision) {
        StoredTable next { withChanges(known->table, news.changes), news.revision };
        if (coversEverySlot(next.table.ranges))
            m_site.directory.learnTable(news.service, std::move(next));
    }
    pending = { news.revision, std::move(news.pending), monotonicNow() };
    m_dispatcher.refresh();
    m_door.refresh();
}

// Counts of slots and run times go to the keeper of each keyed service.
void Gateway::sendLoads()
{
    auto counts = m_door.takeCounts();
    for (auto& [service, keeper] : m_keepers) {
        const KeeperEntry* entry = m_site.directory.keeperOf(service);
        if (!entry)
            continue;
        LoadReport report { service, {}, m_dispatcher.runTimes(service) };
        const auto found = counts.find(service);
        if (found != counts.end())
            report.counts.assign(found->second.begin(), found->second.end());
        if (report.counts.empty() && report.runs.empty())
            continue;
        if (isSelf(m_site, entry->host))
            keeper->onLoadReport(report);
        else
            m_site.hub.send(entry->host, report);
    }
}

HttpResponse Gateway::statusReport() const
{
    Json hosts = Json::array(), upstreams = Json::array(), keepers = Json::object();
    for (const auto& [name, it] : m_site.directory.hosts())
        hosts.push_back({ { "host", name }, { "leaving", it.leaving }, { "entry_gone", it.lostAt.has_value() } });
    for (const auto& [name, it] : m_site.directory.lives())
        upstreams.push_back({ { "upstream", name }, { "service", it.life.service }, { "draining", it.life.draining },
            { "entry_gone", it.entryGone } });
    for (const auto& [service, keeper] : m_keepers) {
        const KeeperEntry* entry = m_site.directory.keeperOf(service);
        keepers[service] = entry ? Json(entry->host) : Json(nullptr);
    }
    const auto& routes = m_site.directory.routes();
    const Json status = { { "host", m_site.settings.host }, { "configuration", routes ? routes->version.value : 0 },
        { "store_revision", m_site.directory.revision().value }, { "store_reached", m_site.directory.isConnected() },
        { "stopping", m_site.stopping }, { "open_requests", m_door.pendingCount() }, { "hosts", hosts },
        { "upstreams", upstreams }, { "keepers", keepers } };
    return { 200, { { "Content-Type", "application/json" } }, status.dump() };
}

HttpResponse Gateway::answerAdmin(const HttpRequest& request)
{
    if (request.path == "/status")
        return statusReport();
    if (request.path != "/metrics")
        return { 404, {}, "" };
    m_dispatcher.publishMetrics();
    for (auto& [name, keeper] : m_keepers)
        keeper->publishMetrics();
    const auto& directory = m_site.directory;
    m_site.metrics.set("pistachiospur_config_revision", {},
        directory.routes() ? static_cast<double>(directory.routes()->version.value) : 0);
    m_site.metrics.set("pistachiospur_store_revision", {}, static_cast<double>(directory.revision().value));
    m_site.metrics.set("pistachiospur_hosts_alive", {}, static_cast<double>(directory.hosts().size()));
    m_site.metrics.set("pistachiospur_peer_links", {}, static_cast<double>(m_site.hub.linkCount()));
    return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_site.metrics.text() };
}

// A planned stop: tell balancer and hosts, give the keeping up, finish what is open, end the lease, leave.
void Gateway::beginStop()
{
    if (m_site.stopping)
        return;
    logEvent(EventKind::state, "stop", { { "open_requests", m_door.pendingCount() } });
    m_site.stopping = true;
    m_stopAt = monotonicNow();
    m_site.directory.announceLeaving();
    m_site.hub.send(otherHosts(m_site), HostLeaving { m_site.incarnation });
    m_stopTimer.every(kStopCheck);
}

void Gateway::checkStopped()
{
    const Millis now = monotonicNow();
    for (auto& [name, keeper] : m_keepers)
        keeper->resign();
    const bool idle = m_door.pendingCount() == 0 && m_dispatcher.jobCount() == 0;
    const bool late = now >= m_stopAt + Millis(m_site.settings.limits.graceMs) - kKillMargin;
    if (!late && now < m_stopAt + kBalancerNotice)
        return;
    // The balancer may go on sending connections here when few hosts of the data centre are ready; from now on they are
    // refused, so that their callers try another host.
    if (!std::exchange(m_leaseEnding, true)) {
        m_callerServer.stopListening();
        m_site.directory.endLease([this] { m_leaseEnded = true; });
    }
    const bool lapsing = now >= m_stopAt + kBalancerNotice + kLeaseEndTime;
    if (!late && !(idle && (m_leaseEnded || lapsing)))
        return;
    m_stopTimer.stop();
    logEvent(EventKind::state, "stopped", { { "open_requests", m_door.pendingCount() } });
    breakLoop();
}

// The settings of a running gateway hold for its life; a change is checked and told, and takes effect at the next
// start.
void Gateway::reload()
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(text, readFile(m_settingsPath));
            BOOST_LEAF_CHECK(parseGatewaySettings(text, m_settingsPath));
            logEvent(EventKind::state, "settings_checked", { { "outcome", "good; in force from the next start" } });
            return {};
        },
        [](const DocumentError& error) {
            logEvent(EventKind::state, "settings_checked", { { "outcome", describe(error.faults.front()) } });
        },
        [](const FileError& error) {
            logEvent(EventKind::state, "settings_checked", { { "outcome", describe(error) } });
        },
        [] {
            logEvent(EventKind::state, "settings_checked", { { "outcome", "unknown failure" } });
        });
}

} // namespace pistachiospur
