#include "watcher.h"

#include "observe/events.h"

#include <algorithm>
#include <iterator>

namespace pistachiospur {

namespace {

// The watching host sends heartbeats only while the age of the store's last answer is below kMaxAnswerAge. If it is cut
// off from the store, these times, in percent of the time within which a change must be in force, let the next host
// read the store within 70 % of that time after that last answer, and the host after it within 85 %.
constexpr int kHeartbeatIntervalPercent = 15;
constexpr int kMaxAnswerAgePercent = 35;
constexpr int kHeartbeatTimeoutPercent = 32;
constexpr int kHeartbeatTimeoutAfterFailurePercent = 15; // applies once a host is marked as failed
// A host whose watch failed is not chosen again for this time.
constexpr Millis kFailedWatchPause { 3000 };
// The time between two checks whether a read is due, with room for a loop that lags.
constexpr Millis kOwnReadMargin { 200 };
// The least age for which a host reads the store itself, as a divisor of the time within which a change must be in
// force.
constexpr int kMinOwnReadAgeDivisor = 3;
constexpr Millis kOwnReadPause { 1000 }; // after a read that failed
// A leader sends table updates to the hosts directly. If a host still lacks a table after this delay, it reads the
// table from the store.
constexpr Millis kTableReadDelay { 500 };

// A part of the time within which every host must have a change.
Millis partOfChangeTime(const GatewayContext& context, int percent)
{
    const auto& limits = context.settings.limits;
    return Millis(std::min({ limits.changeMs, limits.drainMs, limits.evacuateMs }) * percent / 100);
}

} // namespace

StoreWatcher::StoreWatcher(GatewayContext& context, CatchUp& catchUp)
    : m_context(context)
    , m_catchUp(catchUp)
{
    // Until its first read a host knows of no other one and takes itself for the watching host.
    m_context.directory.onWatchAnswer([this](const ChangeBatch& batch) {
        if (isSelf(m_context, m_watchHost) && isSelf(m_context, chooseNow(monotonicNow())))
            send(batch);
    });
}

bool StoreWatcher::isStoreAnswering() const
{
    return monotonicNow() - m_context.directory.watchAnsweredAt() < partOfChangeTime(m_context, kMaxAnswerAgePercent);
}

HostName chooseWatchHost(const std::vector<HostName>& order, const std::function<bool(const HostName&)>& isUsable,
    const std::map<HostName, Millis>& failedUntil, Millis now)
{
    HostName firstUsable;
    for (const auto& host : order) {
        if (!isUsable(host))
            continue;
        const auto failed = failedUntil.find(host);
        if (failed == failedUntil.end() || now >= failed->second)
            return host;
        if (firstUsable.empty())
            firstUsable = host;
    }
    return firstUsable;
}

bool StoreWatcher::leadsRanges(const HostName& host) const
{
    const auto& leaders = m_context.directory.leaders();
    return std::any_of(leaders.begin(), leaders.end(), [&](const auto& it) { return it.second.host == host; });
}

ChangeBatch relayedPart(const ChangeBatch& batch)
{
    ChangeBatch part { batch.fromRead ? batch.to : batch.from, batch.to, {} };
    if (batch.fromRead)
        return part;
    std::copy_if(batch.changes.begin(), batch.changes.end(), std::back_inserter(part.changes),
        [](const KeyChange& it) { return !isTableKey(it.key); });
    return part;
}

// The host that watches for this data centre, as far as this host knows now.
HostName StoreWatcher::chooseNow(Millis now) const
{
    const auto& dataCentre = m_context.settings.dataCentre;
    const auto& order = rankedHosts(m_context, "watcher/" + dataCentre, dataCentre, HostOrder::fastestFirst);
    const auto isUsable = [&](const HostName& host) { return canTakeWork(m_context, host, now); };
    // A range leader of a large service has little time for anything else.
    HostName watchHost = chooseWatchHost(
        order, [&](const HostName& host) { return isUsable(host) && !leadsRanges(host); }, m_failedUntil, now);
    if (watchHost.empty())
        watchHost = chooseWatchHost(order, isUsable, m_failedUntil, now);
    return watchHost.empty() ? m_context.settings.host : watchHost;
}

void StoreWatcher::tick()
{
    const Millis now = monotonicNow();
    const HostName watchHost = chooseNow(now);
    if (watchHost != m_watchHost) {
        m_watchHost = watchHost;
        m_watchHostSince = m_lastHeardAt = now;
        m_nextHeartbeatAt = Millis(0);
    }
    const bool watchesHere = isSelf(m_context, m_watchHost);
    m_context.directory.setWatching(watchesHere);
    if (watchesHere)
        watch(now);
    else
        follow(now);
    readMissedTables(now);
    noteAge();
}

// Logs when the copy becomes older than a change may take to be in force, and when it is up to date again.
void StoreWatcher::noteAge()
{
    const Directory& directory = m_context.directory;
    const bool isOutdated
        = directory.age() >= partOfChangeTime(m_context, 100) && directory.revision() != StoreRevision {};
    if (std::exchange(m_outdated, isOutdated) == isOutdated)
        return;
    logEvent(EventKind::process, isOutdated ? "copy_outdated" : "copy_current",
        { { "revision", textOf(directory.revision()) }, { "revisions_behind", revisionsBehind() },
            { "age_ms", directory.age().count() } });
}

std::uint64_t StoreWatcher::revisionsBehind() const
{
    const StoreRevision own = m_context.directory.revision();
    return eraOf(own) == eraOf(m_announced) && own < m_announced ? m_announced.value - own.value : 0;
}

bool isOwnReadDue(const OwnReadTimes& times, Millis changeTime, Millis readTimeout, Millis now)
{
    const Millis maxAge = std::max(changeTime - readTimeout - kOwnReadMargin, changeTime / kMinOwnReadAgeDivisor);
    return now - times.confirmedAt >= maxAge && now - times.failedAt >= kOwnReadPause;
}

// Runs on every other host: notices when the watching host is silent, and when the own copy gets too old.
void StoreWatcher::follow(Millis now)
{
    if (now - m_lastHeardAt >= partOfChangeTime(
            m_context, m_failedUntil.empty() ? kHeartbeatTimeoutPercent : kHeartbeatTimeoutAfterFailurePercent))
        markFailed(m_watchHost, "silent");
    const auto& directory = m_context.directory;
    if (isOwnReadDue({ directory.confirmedAt(), directory.watchFailedAt() }, partOfChangeTime(m_context, 100),
            Millis(m_context.settings.limits.storeTimeoutMs), now))
        m_context.directory.readAlone();
}

// Runs on the watching host: sends heartbeats while the store answers. If the watch has failed and there are other
// hosts, announces that, so that another host takes over.
void StoreWatcher::watch(Millis now)
{
    if (m_context.directory.watchFailedAt() >= m_watchHostSince && hasOtherHosts(now)) {
        markFailed(m_context.settings.host, "store does not answer");
        m_context.hub.send(followers(), WatchUpdate { {}, {}, true, {}, {} });
        return;
    }
    if (now < m_nextHeartbeatAt || !isStoreAnswering())
        return;
    const StoreRevision revision = m_context.directory.revision();
    send({ revision, revision, {} });
}

bool StoreWatcher::hasOtherHosts(Millis now) const
{
    const auto& hosts = m_context.directory.hosts();
    return std::any_of(hosts.begin(), hosts.end(),
        [&](const auto& it) { return !isSelf(m_context, it.first) && canTakeWork(m_context, it.first, now); });
}

void StoreWatcher::markFailed(const HostName& host, const char* reason)
{
    m_failedUntil[host] = monotonicNow() + kFailedWatchPause;
    logEvent(EventKind::process, "watch_lost", { { "watcher", host }, { "reason", reason } });
}

std::vector<HostName> StoreWatcher::followers() const
{
    std::vector<HostName> found;
    for (const auto& [host, entry] : m_context.directory.hosts()) {
        if (entry.dataCentre == m_context.settings.dataCentre && !isSelf(m_context, host))
            found.push_back(host);
    }
    return found;
}

void StoreWatcher::send(const ChangeBatch& batch)
{
    m_nextHeartbeatAt = monotonicNow() + partOfChangeTime(m_context, kHeartbeatIntervalPercent);
    const auto& directory = m_context.directory;
    WatchUpdate update { relayedPart(batch), {}, false, directory.age(), directory.lapseGrace(),
        bootNow() - directory.age() };
    for (const auto& [service, stored] : directory.tables())
        update.tables.emplace_back(service, stored.revision);
    m_context.hub.send(followers(), update);
}

void StoreWatcher::onWatchUpdate(const HostName& from, const WatchUpdate& update)
{
    if (update.lost) {
        m_failedUntil[from] = monotonicNow() + kFailedWatchPause;
        return;
    }
    m_failedUntil.erase(from);
    if (from == m_watchHost)
        m_lastHeardAt = monotonicNow();
    m_announced = std::max(m_announced, update.batch.to);
    if (!m_context.directory.applyRelayedBatch(update.batch, m_catchUp.ageOf(from, update), update.lapseGrace))
        m_catchUp.onGap(from);
    noteTables(update);
}

void StoreWatcher::noteTables(const WatchUpdate& update)
{
    for (const auto& [service, revision] : update.tables) {
        const StoredTable* known = m_context.directory.tableOf(service);
        if (known && revision <= known->revision)
            continue;
        MissedTable& missed
            = m_missedTables.try_emplace(service, MissedTable { revision, monotonicNow() }).first->second;
        missed.revision = std::max(missed.revision, revision);
    }
}

void StoreWatcher::readMissedTables(Millis now)
{
    for (auto it = m_missedTables.begin(); it != m_missedTables.end();) {
        auto& [service, missed] = *it;
        const StoredTable* known = m_context.directory.tableOf(service);
        if (known && missed.revision <= known->revision) {
            it = m_missedTables.erase(it);
            continue;
        }
        if (now - missed.since >= kTableReadDelay) {
            missed.since = now;
            m_context.directory.readTable(service);
        }
        ++it;
    }
}

} // namespace pistachiospur
