#include "watcher.h"

namespace pistachiospur {

namespace {

// A watch is told alive so often, and only while the store has answered within the last so much. With the silence that
// the others bear, a host that follows a cut-off one reads the store itself within 1.6 s; the platform gives two.
constexpr Millis kBeat { 300 };
constexpr Millis kAnswerAge { 900 };
constexpr Millis kSilence { 650 };
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

void Watcher::tick()
{
    const Millis now = monotonicNow();
    const auto& dataCentre = m_site.settings.dataCentre;
    const HostName reader = firstHostFor(m_site, "watcher/" + dataCentre, dataCentre, Preferred::strongest)
                                .value_or(m_site.settings.host);
    if (reader != m_reader) {
        m_reader = reader;
        m_heardAt = now;
        m_beatAt = Millis(0);
    }
    const bool self = isSelf(m_site, m_reader);
    m_site.directory.setWatching(self || now - m_heardAt >= kSilence);
    if (!self || now < m_beatAt || !isAlive())
        return;
    const StoreRevision revision = m_site.directory.revision();
    send({ revision, revision, {} });
}

void Watcher::send(const ChangeBatch& batch)
{
    m_beatAt = monotonicNow() + kBeat;
    FeedBatch message { { batch.from, batch.to, {} }, {} };
    for (const auto& it : batch.changes) {
        if (!isTableKey(it.key))
            message.batch.changes.push_back(it);
    }
    for (const auto& [service, stored] : m_site.directory.tables())
        message.tables.emplace_back(service, stored.revision);
    std::vector<HostName> followers;
    for (const auto& [host, entry] : m_site.directory.hosts()) {
        if (entry.dataCentre == m_site.settings.dataCentre && !isSelf(m_site, host))
            followers.push_back(host);
    }
    m_site.hub.send(followers, message);
}

void Watcher::onBatch(const HostName& from, const FeedBatch& message)
{
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
