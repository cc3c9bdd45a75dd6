#include "replica_sync.h"

#include "observe/log.h"

namespace pistachiospur {

namespace {

constexpr Millis kStoreRetryDelay { 500 };
// Min time between requests for missing changes.
constexpr Millis kRequestInterval { 300 };
// A watch that ends without an HTTP status after at least this time is assumed to have timed out without changes. It is
// restarted without delay.
constexpr Millis kIdleWatchTime { 1000 };

} // namespace

ReplicaSync::ReplicaSync(HostContext& context, std::function<void()> onChange)
    : m_context(context)
    , m_onChange(std::move(onChange))
{
}

void ReplicaSync::start() { readStore(); }

void ReplicaSync::tick()
{
    const Millis now = monotonicNow();
    const bool root = relayRoot(m_context.members) == m_context.members.self;
    if (!root && m_context.store.isWatching())
        m_context.store.stopWatch();
    if (now < m_retryAt || m_reading)
        return;
    if (!m_context.hasReadStore)
        readStore();
    else if (root && !m_context.store.isWatching())
        watchStore();
}

void ReplicaSync::readStore()
{
    m_reading = true;
    m_context.metrics.count("pistachiospur_store_calls_total");
    m_context.store.read("", [this](const ReadResult& result) {
        m_reading = false;
        if (const auto* error = std::get_if<StoreError>(&result)) {
            m_context.metrics.count("pistachiospur_store_failures_total");
            m_retryAt = monotonicNow() + kStoreRetryDelay;
            if (!m_storeFailing)
                logWarning("reading the store failed: " + describe(*error));
            m_storeFailing = true;
            return;
        }
        m_storeFailing = false;
        m_context.hasReadStore = true;
        installSnapshot(std::get<Snapshot>(result));
        tick();
    });
}

void ReplicaSync::watchStore()
{
    m_context.metrics.count("pistachiospur_store_calls_total");
    m_context.store.watch(
        m_context.replica.revision, [this](const ChangeBatch& batch) { onBatch(batch, m_context.members.self); },
        [this](const StoreError& error) {
            const bool wasIdle = error.waited >= kIdleWatchTime && error.httpStatus == 0 && !m_storeFailing;
            m_retryAt = wasIdle ? Millis(0) : monotonicNow() + kStoreRetryDelay;
            if (error.httpStatus != 0 && error.httpStatus != 200)
                m_context.hasReadStore = false; // the store may have compacted the revision; read everything again
        });
}

void ReplicaSync::onBatch(const ChangeBatch& batch, const HostName& from)
{
    const StoreRevision before = m_context.replica.revision;
    switch (applyBatch(m_context.replica, batch)) {
    case BatchResult::alreadyApplied:
        return;
    case BatchResult::gap:
        if (from != m_context.members.self)
            onPeerRevision(from, batch.to);
        return;
    case BatchResult::applied:
        break;
    }
    for (const auto& change : batch.changes) {
        if (change.version > before)
            applyChange(m_context.view, change);
    }
    forwardToChildren(batch);
    notifyChange();
}

void ReplicaSync::onSnapshot(const Snapshot& snapshot) { installSnapshot(snapshot); }

void ReplicaSync::installSnapshot(const Snapshot& snapshot)
{
    for (const auto& it : applySnapshot(m_context.replica, snapshot))
        applyChange(m_context.view, it);
    notifyChange();
}

void ReplicaSync::forwardToChildren(const ChangeBatch& batch)
{
    for (const auto& child : relayChildren(m_context.members))
        m_context.send(child, ReplicaBatch { batch });
}

void ReplicaSync::onRequest(const HostName& from, StoreRevision since)
{
    if (const auto batch = changesSince(m_context.replica, since))
        m_context.send(from, ReplicaBatch { *batch });
    else
        m_context.send(from, ReplicaSnapshot { snapshotOf(m_context.replica) });
}

void ReplicaSync::onPeerRevision(const HostName& from, StoreRevision revision)
{
    const Millis now = monotonicNow();
    if (revision <= m_context.replica.revision || now < m_requestedAt + kRequestInterval)
        return;
    m_requestedAt = now;
    m_context.send(from, ReplicaRequest { m_context.replica.revision });
}

void ReplicaSync::notifyChange()
{
    m_context.metrics.set("pistachiospur_store_revision", {}, static_cast<double>(m_context.replica.revision.value));
    m_context.metrics.set("pistachiospur_config_revision", {}, static_cast<double>(m_context.view.head.revision.value));
    m_onChange();
}

} // namespace pistachiospur
