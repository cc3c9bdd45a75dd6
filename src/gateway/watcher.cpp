#include "watcher.h"

#include "observe/events.h"

namespace pistachiospur {

namespace {

// A watch is told alive so often, and only while the store has answered within the last so much. With the silence that
// the others bear, the next host reads the store within 1.4 s of the last answer that a cut-off one had, and the one
// after it within 1.7 s; the platform gives two.
constexpr Millis kBeat { 300 };
constexpr Millis kAnswerAge { 700 };
constexpr Millis kSilence { 650 };
constexpr Millis kNextSilence { 300 };
// A host whose watch failed is passed over for so long.
constexpr Millis kDistrust { 3000 };
// A table that a keeper told does not reach every host at once; so long after, it is read.
constexpr Millis kTableDelay { 500 };

} // namespace

Watcher::Watcher(Site& site)
    : m_site(site)
{
    m_site.directory.onSeen([this](const ChangeBatch& batch) {
        if (isSelf(m_site, m_reader))
            send(batch);
    });
}

bool Watcher::isAlive() const { return monotonicNow() - m_site.directory.watchAnsweredAt() < kAnswerAge; }

HostName chooseReader(const std::vector<HostName>& order, const std::map<HostName, Millis>& failedUntil, Millis now)
{
    for (const auto& it : order) {
        const auto failed = failedUntil.find(it);
        if (failed == failedUntil.end() || now >= failed->second)
            return it;
    }
    return order.empty() ? HostName() : order.front();
}

void Watcher::tick()
{
    const Millis now = monotonicNow();
    const auto& dataCentre = m_site.settings.dataCentre;
    auto order = hostsFor(m_site, "watcher/" + dataCentre, dataCentre, Preferred::strongest);
    if (order.empty())
        order.push_back(m_site.settings.host);
    const HostName reader = chooseReader(order, m_failedUntil, now);
    if (reader != m_reader) {
        m_reader = reader;
        m_readerSince = m_heardAt = now;
        m_beatAt = Millis(0);
    }
    const bool self = isSelf(m_site, m_reader);
    m_site.directory.setWatching(self);
    if (self)
        watch(now, order.size());
    else if (now - m_heardAt >= (m_failedUntil.empty() ? kSilence : kNextSilence))
        distrust(m_reader, "silent");
}

// Beats while the store answers; hands the watch on as soon as it does not.
void Watcher::watch(Millis now, std::size_t hosts)
{
    if (hosts > 1 && m_site.directory.watchFailedAt() >= m_readerSince) {
        distrust(m_site.settings.host, "store does not answer");
        m_site.hub.send(followers(), FeedBatch { {}, {}, true });
        return;
    }
    if (now < m_beatAt || !isAlive())
        return;
    const StoreRevision revision = m_site.directory.revision();
    send({ revision, revision, {} });
}

void Watcher::distrust(const HostName& host, const char* reason)
{
    m_failedUntil[host] = monotonicNow() + kDistrust;
    logEvent(EventKind::state, "watch_lost", { { "watcher", host }, { "reason", reason } });
}

std::vector<HostName> Watcher::followers() const
{
    std::vector<HostName> found;
    for (const auto& [host, entry] : m_site.directory.hosts()) {
        if (entry.dataCentre == m_site.settings.dataCentre && !isSelf(m_site, host))
            found.push_back(host);
    }
    return found;
}

void Watcher::send(const ChangeBatch& batch)
{
    m_beatAt = monotonicNow() + kBeat;
    FeedBatch message { { batch.from, batch.to, {} }, {}, false };
    for (const auto& it : batch.changes) {
        if (!isTableKey(it.key))
            message.batch.changes.push_back(it);
    }
    for (const auto& [service, stored] : m_site.directory.tables())
        message.tables.emplace_back(service, stored.revision);
    m_site.hub.send(followers(), message);
}

void Watcher::onBatch(const HostName& from, const FeedBatch& message)
{
    if (message.lost) {
        m_failedUntil[from] = monotonicNow() + kDistrust;
        return;
    }
    m_failedUntil.erase(from);
    if (from == m_reader)
        m_heardAt = monotonicNow();
    m_site.directory.follow(message.batch);
    checkTables(message);
}

void Watcher::checkTables(const FeedBatch& message)
{
    const Millis now = monotonicNow();
    for (const auto& [service, revision] : message.tables) {
        const StoredTable* known = m_site.directory.tableOf(service);
        if (known && revision <= known->revision) {
            m_behindSince.erase(service);
            continue;
        }
        const auto [since, added] = m_behindSince.emplace(service, now);
        if (!added && now - since->second >= kTableDelay) {
            since->second = now;
            m_site.directory.readTable(service);
        }
    }
}

} // namespace pistachiospur
