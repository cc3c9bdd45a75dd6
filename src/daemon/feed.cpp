#include "feed.h"

#include "observe/log.h"

namespace pistachiospur {

namespace {

constexpr Millis kStoreRetry { 500 };
constexpr Millis kAskAgain { 300 };

} // namespace

Feed::Feed(Node& node, std::function<void()> onChange)
    : m_node(node)
    , m_onChange(std::move(onChange))
{
}

void Feed::start() { readStore(); }

void Feed::tick()
{
    const Millis now = monotonicNow();
    const bool root = relayRoot(m_node.members) == m_node.members.self;
    if (!root && m_node.store.isWatching())
        m_node.store.stopWatch();
    if (now < m_retryAt || m_reading)
        return;
    if (!m_node.readFromStore)
        readStore();
    else if (root && !m_node.store.isWatching())
        watchStore();
}

void Feed::readStore()
{
    m_reading = true;
    m_node.metrics.count("pistachiospur_store_calls_total");
    m_node.store.read("", [this](const ReadResult& result) {
        m_reading = false;
        if (const auto* error = std::get_if<StoreError>(&result)) {
            m_node.metrics.count("pistachiospur_store_failures_total");
            m_retryAt = monotonicNow() + kStoreRetry;
            if (!m_storeFailing)
                logWarning("the store cannot be read: " + describe(*error));
            m_storeFailing = true;
            return;
        }
        m_storeFailing = false;
        m_node.readFromStore = true;
        takeSnapshot(std::get<Snapshot>(result));
        tick();
    });
}

void Feed::watchStore()
{
    m_node.metrics.count("pistachiospur_store_calls_total");
    m_node.store.watch(
        m_node.replica.revision, [this](const ChangeBatch& batch) { onBatch(batch, m_node.members.self); },
        [this](const StoreError& error) {
            const bool quiet = error.waited >= Millis(1000) && error.httpStatus == 0 && !m_storeFailing;
            m_retryAt = quiet ? Millis(0) : monotonicNow() + kStoreRetry;
            if (error.httpStatus != 0 && error.httpStatus != 200)
                m_node.readFromStore = false; // the revision may have been compacted away: read anew
        });
}

void Feed::onBatch(const ChangeBatch& batch, const HostName& from)
{
    const StoreRevision before = m_node.replica.revision;
    switch (applyBatch(m_node.replica, batch)) {
    case BatchResult::alreadyApplied:
        return;
    case BatchResult::gap:
        if (from != m_node.members.self)
            onRevisionHeard(from, batch.to);
        return;
    case BatchResult::applied:
        break;
    }
    for (const auto& it : batch.changes) {
        if (it.version > before)
            applyChange(m_node.view, it);
    }
    passOn(batch);
    changed();
}

void Feed::onSnapshot(const Snapshot& snapshot) { takeSnapshot(snapshot); }

void Feed::takeSnapshot(const Snapshot& snapshot)
{
    for (const auto& it : applySnapshot(m_node.replica, snapshot))
        applyChange(m_node.view, it);
    changed();
}

void Feed::passOn(const ChangeBatch& batch)
{
    for (const auto& child : relayChildren(m_node.members))
        m_node.send(child, ReplicaBatch { batch });
}

void Feed::onRequest(const HostName& from, StoreRevision since)
{
    if (const auto batch = changesSince(m_node.replica, since))
        m_node.send(from, ReplicaBatch { *batch });
    else
        m_node.send(from, ReplicaSnapshot { snapshotOf(m_node.replica) });
}

void Feed::onRevisionHeard(const HostName& from, StoreRevision revision)
{
    const Millis now = monotonicNow();
    if (revision <= m_node.replica.revision || now < m_askedAt + kAskAgain)
        return;
    m_askedAt = now;
    m_node.send(from, ReplicaRequest { m_node.replica.revision });
}

void Feed::changed()
{
    m_node.metrics.set("pistachiospur_store_revision", {}, static_cast<double>(m_node.replica.revision.value));
    m_node.metrics.set("pistachiospur_config_revision", {}, static_cast<double>(m_node.view.head.revision.value));
    m_onChange();
}

} // namespace pistachiospur
