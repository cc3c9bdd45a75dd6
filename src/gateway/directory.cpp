#include "directory.h"

#include "observe/events.h"
#include "requests/quarantine.h"

#include <absl/strings/numbers.h>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace pistachiospur {

namespace leaf = boost::leaf;

namespace {

// Key prefixes of the router's own records in the store.
const std::string kHostPrefix = "pistachiospur/hosts/";
const std::string kLeaderPrefix = "pistachiospur/keepers/";
const std::string kTablePrefix = "pistachiospur/ranges/";
const std::string kClaimPrefix = "pistachiospur/claims/";
const std::string kQuarantinePrefix = "pistachiospur/quarantine/";

// Delay between a failed store call and the next one.
constexpr Millis kStoreRetryDelay { 250 };
// Delay between a host's first read and its first watch. When many hosts start together, each assumes at first that it
// is the one that watches for its data centre. By the end of the delay the other hosts have written their entries and
// only the chosen host starts a watch, so the store gets few calls.
constexpr Millis kFirstWatchDelay { 600 };
// The platform restores the entries of living upstreams that expired in an outage of the store within about this time
// of the store's return.
constexpr Millis kEntryReturnTime { 2000 };
// An upstream that leaves gets no new work this long before the platform's bound, because a request takes some time to
// arrive.
constexpr Millis kDrainMargin { 200 };
// An entry expires after three missed heartbeats, so an outage of less than two deletes no entry of a living upstream.
constexpr int kMinOutageHeartbeats = 2;
constexpr std::size_t kMaxLoggedFaults = 100; // of configurations
// A host whose entry was deleted stays in use for this long, unless the link to it is lost.
constexpr Millis kLostHostGrace { 2500 };
// How long the entry of a gone instance is kept after new work for it ended, because its endpoint is still needed.
// Longer than any grant.
constexpr Millis kGoneInstanceRetention { 15000 };
constexpr Millis kMaxRemovalInterval { 5000 };
constexpr Millis kMinSuspension { 20 }; // shorter ones may be the error of two clocks that are read one after the other

bool beginsWith(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::string leaderKey(const ServiceName& service) { return kLeaderPrefix + service; }
std::string claimKey(const ServiceName& service, const std::string& claim)
{
    return kClaimPrefix + service + "/" + claim;
}

std::string tableKey(const ServiceName& service) { return kTablePrefix + service; }
bool isTableKey(const std::string& key) { return beginsWith(key, kTablePrefix); }

std::string quarantineKey(std::uint64_t fingerprint) { return kQuarantinePrefix + fingerprintText(fingerprint); }

std::optional<std::uint64_t> quarantinedFingerprint(const std::string& key)
{
    std::uint64_t fingerprint = 0;
    const bool isOne
        = beginsWith(key, kQuarantinePrefix) && absl::SimpleHexAtoi(key.substr(kQuarantinePrefix.size()), &fingerprint);
    return isOne ? std::optional(fingerprint) : std::nullopt;
}

Directory::Directory(
    const GatewaySettings& settings, const PlatformAdapter& adapter, HttpClient& http, Incarnation incarnation)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_store(adapter.openStore(http, settings.store, Millis(settings.limits.storeTimeoutMs)))
    , m_incarnation(incarnation)
    , m_suspendedFor(bootNow() - monotonicNow())
    , m_readRetryTimer([this] {
        if (m_watching)
            resumeWatch();
        else if (m_known.completeTo.value == 0)
            readAll();
    })
    , m_firstWatchTimer([this] {
        if (m_watching)
            startWatch();
    })
    , m_lease(*m_store, Millis(settings.limits.hostLeaseMs),
          { [this] { writeHostEntry(); },
              [this] {
                  m_hostEntryWritten = false;
                  m_hostEntryVersion = {};
                  logEvent(EventKind::process, "lease_ended", {});
              },
              [this](const StoreError& error) { onStoreFailure("lease", error); } })
{
}

void Directory::start(std::function<void()> onChange)
{
    m_onChange = std::move(onChange);
    readAll();
    m_lease.start();
}

void Directory::readAll()
{
    if (std::exchange(m_reading, true))
        return;
    m_readStartedAt = monotonicNow();
    m_store->read("", [this](ReadResult result) { onReadResult(std::move(result)); });
}

// Applies a read of the whole store, unless relayed changes have overtaken it.
void Directory::onReadResult(ReadResult result)
{
    m_reading = false;
    if (const auto* error = std::get_if<StoreError>(&result)) {
        onStoreFailure("read", *error);
        m_watchFailedAt = monotonicNow();
        m_readRetryTimer.once(kStoreRetryDelay);
        return;
    }
    auto& snapshot = std::get<Snapshot>(result);
    if (snapshot.revision < m_known.completeTo)
        logEvent(EventKind::process, "read_outdated",
            { { "revision", textOf(snapshot.revision) }, { "known", textOf(m_known.completeTo) } });
    if (m_known.completeTo == StoreRevision {})
        m_firstEra = m_store->era();
    noteOutage(snapshot.revision, m_readStartedAt);
    takeTables(snapshot);
    const SnapshotMerge merge = mergeRead(std::move(snapshot));
    onStoreAnswer();
    confirm(m_readStartedAt);
    if (m_watching) {
        m_watchAnsweredAt = monotonicNow();
        if (m_onWatchAnswer)
            m_onWatchAnswer(merge.relay);
        if (std::exchange(m_firstWatchScheduled, true))
            startWatch();
        else
            m_firstWatchTimer.once(kFirstWatchDelay);
    }
    m_onChange();
}

SnapshotMerge Directory::mergeRead(Snapshot&& snapshot)
{
    SnapshotMerge merge = mergeSnapshot(m_known, std::move(snapshot));
    recordRead(m_history, merge.relay.to);
    for (const auto& change : merge.changes)
        apply(change);
    return merge;
}

// Watches the store from the revision of the copy. The whole store is read only if there is no copy yet, or the copy is
// of another era.
void Directory::resumeWatch()
{
    if (m_known.completeTo == StoreRevision {} || eraOf(m_known.completeTo) != m_store->era())
        return readAll();
    m_firstWatchScheduled = true;
    startWatch();
}

void Directory::startWatch()
{
    m_watchStartedAt = monotonicNow();
    m_store->watch(
        m_known.completeTo, [this](const ChangeBatch& batch) { onWatchBatch(batch); },
        [this](const StoreError& error) {
            if (!m_watching)
                return;
            if (error.historyLost) {
                logEvent(EventKind::process, "store_history_lost", { { "after", textOf(m_known.completeTo) } });
                const Millis now = monotonicNow();
                if (now - std::exchange(m_historyLostAt, now) < kStoreRetryDelay)
                    m_readRetryTimer.once(kStoreRetryDelay);
                else
                    readAll();
                return;
            }
            onStoreFailure("watch", error);
            m_watchFailedAt = monotonicNow();
            m_readRetryTimer.once(kStoreRetryDelay);
        });
}

void Directory::setWatching(bool watching)
{
    if (std::exchange(m_watching, watching) == watching)
        return;
    logEvent(EventKind::process, watching ? "watching_store" : "following_another_host", {});
    if (!watching)
        m_store->stopWatch();
    else
        resumeWatch();
}

bool Directory::applyRelayedBatch(const ChangeBatch& batch, std::optional<Millis> age, Millis lapseGrace)
{
    if (hasGap(m_known, batch)) {
        logEvent(EventKind::process, "changes_missed",
            { { "revision", textOf(m_known.completeTo) }, { "from", textOf(batch.from) }, { "to", textOf(batch.to) },
                { "age_ms", this->age().count() } });
        return false;
    }
    const Millis now = monotonicNow();
    if (age)
        confirm(now - *age);
    if (!m_watching)
        m_lapseGraceEnd = now + lapseGrace;
    applyBatch(batch);
    return true;
}

bool Directory::applyRelayedKeys(KeyList list, Millis age, Millis lapseGrace)
{
    if (m_known.completeTo < list.puts.from)
        return false;
    const Millis now = monotonicNow();
    confirm(now - age);
    if (!m_watching)
        m_lapseGraceEnd = now + lapseGrace;
    mergeRead(snapshotFrom(std::move(list), m_known.versions));
    m_onChange();
    return true;
}

// Decides, when the store answers again, whether entries of living upstreams may be missing: they expired while it was
// away, or it lost them. A failed call alone is no evidence: then other hosts still confirm this host's copy.
void Directory::noteOutage(StoreRevision answered, Millis startedAt)
{
    const Millis away = startedAt - m_confirmedAt;
    const bool isFirstRead = m_known.completeTo == StoreRevision {};
    const bool wasAway
        = !m_storeReachable && away >= kMinOutageHeartbeats * Millis(m_settings.limits.upstreamHeartbeatMs);
    if (isFirstRead || (!wasAway && eraOf(answered) <= eraOf(m_known.completeTo)))
        return;
    const Millis grace = std::min(kEntryReturnTime, Millis(m_settings.limits.drainMs) - kDrainMargin);
    m_lapseGraceEnd = monotonicNow() + grace;
    logEvent(EventKind::process, "store_outage", { { "away_ms", away.count() }, { "lapse_grace_ms", grace.count() } });
}

Millis Directory::lapseGrace() const { return std::max(Millis(0), m_lapseGraceEnd - monotonicNow()); }

void Directory::confirm(Millis at)
{
    m_confirmedBefore = m_confirmedAt;
    m_confirmedAt = std::max(m_confirmedAt, at);
}

void Directory::readAlone()
{
    if (m_reading)
        return;
    logEvent(EventKind::process, "reading_alone",
        { { "revision", textOf(m_known.completeTo) }, { "age_ms", age().count() } });
    readConfiguration();
    readAll();
}

// A read of the configuration alone is answered in time even if one of the whole store is too much for a busy host.
void Directory::readConfiguration()
{
    m_store->read(m_adapter.configurationKey, [this](ReadResult result) {
        if (const auto* error = std::get_if<StoreError>(&result))
            return onStoreFailure("configuration", *error);
        auto& values = std::get<Snapshot>(result).values;
        const auto found = values.find(m_adapter.configurationKey);
        if (found == values.end() || !mergeRecord(m_known, found->first, found->second.version))
            return;
        apply({ found->first, std::move(found->second.text), found->second.version });
        m_onChange();
    });
}

// Range tables are not merged with the other keys, because relayed batches leave them out. The newest revision counts.
void Directory::takeTables(Snapshot& snapshot)
{
    for (auto it = snapshot.values.begin(); it != snapshot.values.end();) {
        if (!isTableKey(it->first)) {
            ++it;
            continue;
        }
        applyTable({ it->first, std::move(it->second.text), it->second.version });
        it = snapshot.values.erase(it);
    }
}

void Directory::applyBatch(ChangeBatch batch)
{
    const bool isEmpty = batch.changes.empty();
    const auto firstTable = std::stable_partition(
        batch.changes.begin(), batch.changes.end(), [](const KeyChange& it) { return !isTableKey(it.key); });
    for (auto it = firstTable; it != batch.changes.end(); ++it)
        applyTable(*it);
    batch.changes.erase(firstTable, batch.changes.end());
    recordDeletions(m_history, batch);
    applyWithdrawals(batch);
    for (const auto& it : mergeBatch(m_known, std::move(batch)))
        apply(it);
    if (!isEmpty)
        m_onChange();
}

// One read at a time: a table of a megabyte takes longer than the pause after which a host would ask again.
void Directory::readTable(const ServiceName& service)
{
    if (!m_tableReads.insert(service).second)
        return;
    m_store->read(tableKey(service), [this, service, key = tableKey(service)](ReadResult result) {
        m_tableReads.erase(service);
        if (const auto* error = std::get_if<StoreError>(&result))
            return onStoreFailure("table", *error);
        auto& values = std::get<Snapshot>(result).values;
        const auto found = values.find(key);
        if (found == values.end())
            return;
        applyTable({ key, std::move(found->second.text), found->second.version });
        m_onChange();
    });
}

void Directory::onWatchBatch(const ChangeBatch& batch)
{
    noteOutage(batch.to, m_watchStartedAt);
    onStoreAnswer();
    m_watchAnsweredAt = monotonicNow();
    confirm(m_store->watchConfirmedAt());
    if (m_onWatchAnswer)
        m_onWatchAnswer(batch);
    applyBatch(batch);
}

void Directory::onStoreFailure(const char* call, const StoreError& error)
{
    if (std::exchange(m_storeReachable, false))
        logEvent(EventKind::process, "store_lost",
            { { "call", call }, { "status", error.httpStatus }, { "waited_ms", error.waited.count() },
                { "revision", textOf(m_known.completeTo) } });
}

void Directory::onStoreAnswer()
{
    if (!std::exchange(m_storeReachable, true))
        logEvent(EventKind::process, "store_reached", { { "revision", textOf(m_known.completeTo) } });
}

// Applies a change that has been merged into the known versions.
void Directory::apply(const KeyChange& change)
{
    recordChange(m_history, change);
    if (change.key == m_adapter.configurationKey && change.text)
        applyConfiguration(*change.text);
    else if (beginsWith(change.key, m_adapter.upstreamPrefix))
        applyUpstream(change.key.substr(m_adapter.upstreamPrefix.size()), change);
    else if (beginsWith(change.key, kHostPrefix))
        applyHost(change.key.substr(kHostPrefix.size()), change);
    else if (beginsWith(change.key, kLeaderPrefix))
        applyLeader(change.key.substr(kLeaderPrefix.size()), change);
    else if (beginsWith(change.key, m_adapter.evacuationPrefix))
        applyEvacuation(change.key.substr(m_adapter.evacuationPrefix.size()), change);
    else if (const auto fingerprint = quarantinedFingerprint(change.key))
        applyQuarantine(*fingerprint, change);
}

// What the request says does not matter; the key alone stands for it.
void Directory::applyEvacuation(const DataCentreName& dataCentre, const KeyChange& change)
{
    const Millis now = bootNow();
    if (change.text)
        noteEvacuation(m_evacuations, dataCentre, change.version, now - (monotonicNow() - m_confirmedBefore), now);
    else
        noteMissing(m_evacuations, dataCentre, change.version);
}

// A batch that is made of watched changes shows deletions, also those of keys that are missing from the copy already.
void Directory::applyWithdrawals(const ChangeBatch& batch)
{
    if (batch.fromRead)
        return;
    const std::string& prefix = m_adapter.evacuationPrefix;
    for (const auto& it : batch.changes) {
        if (!it.text && beginsWith(it.key, prefix))
            noteWithdrawal(m_evacuations, it.key.substr(prefix.size()), it.version);
    }
}

void Directory::applyQuarantine(std::uint64_t fingerprint, const KeyChange& change)
{
    std::vector<FieldError> faults;
    const auto record = change.text ? decodeQuarantineRecord(*change.text, faults) : std::nullopt;
    noteRefusal("quarantine_record_refused", { "fingerprint", fingerprintText(fingerprint) }, change, faults);
    if (m_onQuarantineChange)
        m_onQuarantineChange(fingerprint, record, change.text ? change.version : StoreRevision {});
}

void Directory::applyConfiguration(const std::string& text)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(table, m_adapter.decodeConfiguration(text));
            if (m_routes && table.version < m_routes->version) {
                logEvent(EventKind::process, "configuration_refused",
                    { { "version", table.version.value }, { "in_force", m_routes->version.value },
                        { "reason", "older than the configuration in force" } });
                return {};
            }
            m_routes = std::move(table);
            logEvent(EventKind::process, "configuration",
                { { "version", m_routes->version.value }, { "faults", m_routes->faults.size() },
                    { "age_ms", age().count() } });
            logFaults(m_routes->faults);
            return {};
        },
        [&](const DocumentError& error) {
            logEvent(EventKind::process, "configuration_refused",
                { { "reason", error.faults.empty() ? "not a JSON object" : describe(error.faults.front()) },
                    { "faults", error.faults.size() }, { "in_force", m_routes ? m_routes->version.value : 0 } });
        },
        [] {
            logEvent(EventKind::process, "configuration_refused", { { "reason", "unknown" } });
        });
}

// Logs each fault of a configuration once in the life of the process, up to a number of them.
void Directory::logFaults(const std::vector<FieldError>& faults)
{
    for (const auto& it : faults) {
        const std::string text = describe(it);
        if (m_loggedFaults.size() < kMaxLoggedFaults && m_loggedFaults.insert(text).second)
            logEvent(EventKind::state, "configuration_fault", { { "fault", text } });
    }
}

void Directory::applyHost(const HostName& name, const KeyChange& change)
{
    std::vector<FieldError> faults;
    auto decoded = change.text ? decodeHostEntry(name, *change.text, change.version, faults) : std::nullopt;
    noteRefusal("host_entry_refused", { "peer", name }, change, faults);
    if (!decoded) {
        const auto known = m_hosts.find(name);
        if (known != m_hosts.end() && !known->second.entryGoneSince) {
            known->second.entryGoneSince = monotonicNow();
            m_nextRemovalAt = Millis(0);
            logEvent(EventKind::state, "host_entry_gone", { { "peer", name } });
        }
        return;
    }
    HostEntry entry = std::move(*decoded);
    const auto known = m_hosts.find(name);
    // An older entry, from an older copy of the store: its host writes it again.
    if (known != m_hosts.end() && !known->second.entryGoneSince && entry.version < known->second.version)
        return;
    entry.leaving |= known != m_hosts.end() && known->second.leaving && known->second.incarnation == entry.incarnation;
    logEvent(EventKind::state, "host",
        { { "peer", name }, { "incarnation", entry.incarnation.value }, { "leaving", entry.leaving } });
    const bool sameRank = known != m_hosts.end() && known->second.dataCentre == entry.dataCentre
        && known->second.weight == entry.weight;
    m_hosts[name] = std::move(entry);
    m_hostsVersion += !sameRank;
}

void Directory::applyLeader(const ServiceName& service, const KeyChange& change)
{
    std::vector<FieldError> faults;
    auto entry = change.text ? decodeLeaderEntry(*change.text, change.version, faults) : std::nullopt;
    noteRefusal("leader_entry_refused", { "service", service }, change, faults);
    if (entry)
        return setLeader(service, std::move(*entry));
    if (m_leaders.erase(service))
        logEvent(EventKind::state, "leader_gone", { { "service", service } });
}

// Logs an entry that cannot be read, once for each reason; its writer may write it again every second. Without faults
// it can be read again, or is gone.
void Directory::noteRefusal(
    const char* event, const EventField& subject, const KeyChange& change, const std::vector<FieldError>& faults)
{
    if (faults.empty()) {
        m_refusals.erase(change.key);
        return;
    }
    const std::string reason = describe(faults.front());
    if (std::exchange(m_refusals[change.key], reason) != reason)
        logEvent(EventKind::state, event,
            { subject, { "revision", textOf(change.version) }, { "reason", reason }, { "faults", faults.size() } });
}

void Directory::recordLeader(const ServiceName& service, LeaderEntry entry)
{
    if (!mergeRecord(m_known, leaderKey(service), entry.version))
        return;
    recordChange(m_history, { leaderKey(service), encode(entry), entry.version });
    setLeader(service, std::move(entry));
}

void Directory::setLeader(const ServiceName& service, LeaderEntry entry)
{
    auto& known = m_leaders[service];
    if (entry.version < known.version)
        return;
    known = std::move(entry);
    logEvent(EventKind::state, "leader",
        { { "service", service }, { "keeper", known.host }, { "revision", textOf(known.version) } });
}

void Directory::applyTable(const KeyChange& change)
{
    const ServiceName service = change.key.substr(kTablePrefix.size());
    if (!change.text) {
        const auto known = m_tables.find(service);
        if (known != m_tables.end() && known->second.revision <= change.version)
            m_tables.erase(known);
        m_tableDeletions[service] = std::max(m_tableDeletions[service], change.version);
        return;
    }
    auto table = decodeRangeTable(*change.text, change.version);
    if (!table) {
        logEvent(
            EventKind::state, "ranges_refused", { { "service", service }, { "revision", textOf(change.version) } });
        return;
    }
    const StoreRevision revision = revisionOf(*table, change.version);
    recordTable(service, { std::move(*table), revision, {} });
}

void Directory::recordTable(const ServiceName& service, StoredTable stored)
{
    const auto deleted = m_tableDeletions.find(service);
    if (deleted != m_tableDeletions.end() && stored.revision <= deleted->second)
        return;
    auto& known = m_tables[service];
    if (stored.revision <= known.revision)
        return;
    known = std::move(stored);
    known.receivedAt = bootNow();
}

void Directory::markHostLeaving(const HostName& host, Incarnation incarnation)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end() || it->second.incarnation != incarnation)
        return;
    it->second.leaving = true;
    logEvent(EventKind::state, "host_leaving", { { "peer", host } });
}

const LeaderEntry* Directory::leaderOf(const ServiceName& service) const
{
    const auto it = m_leaders.find(service);
    return it == m_leaders.end() ? nullptr : &it->second;
}

const StoredTable* Directory::tableOf(const ServiceName& service) const
{
    const auto it = m_tables.find(service);
    return it == m_tables.end() ? nullptr : &it->second;
}

void Directory::tick()
{
    const Millis now = monotonicNow();
    bool changed = false;
    noteSuspension();
    m_lease.followEra();
    const bool isOfEarlierEra = m_known.completeTo != StoreRevision {} && eraOf(m_known.completeTo) < m_store->era();
    if (isOfEarlierEra && m_watching && !m_reading && now - m_readStartedAt >= kStoreRetryDelay) {
        m_store->stopWatch();
        readAll();
    }
    if (!m_hostEntryWritten && !m_hostEntryWritePending && now >= m_nextHostEntryWriteAt) {
        m_nextHostEntryWriteAt = now + kStoreRetryDelay;
        writeHostEntry();
    }
    if (now < m_nextRemovalAt)
        return;
    m_nextRemovalAt = now + kMaxRemovalInterval;
    // Removes an entry that is due, and notes when the next one is.
    const auto isDue = [&](Millis at) {
        if (now < at)
            m_nextRemovalAt = std::min(m_nextRemovalAt, at);
        return now >= at;
    };
    for (auto it = m_instances.begin(); it != m_instances.end();) {
        const bool expired = it->second.entryGone && isDue(*it->second.noNewWorkFrom + kGoneInstanceRetention);
        it = expired ? m_instances.erase(it) : std::next(it);
        changed |= expired;
    }
    for (auto it = m_hosts.begin(); it != m_hosts.end();) {
        const bool expired = it->second.entryGoneSince && isDue(*it->second.entryGoneSince + kLostHostGrace);
        it = expired ? m_hosts.erase(it) : std::next(it);
        changed |= expired;
        m_hostsVersion += expired;
    }
    if (changed)
        m_onChange();
}

// The time in which this host was suspended counts as age of its copy, though the monotonic clock leaves it out.
void Directory::noteSuspension()
{
    const Millis suspended = bootNow() - monotonicNow();
    if (suspended > m_suspendedFor + kMinSuspension)
        m_confirmedAt -= suspended - m_suspendedFor;
    m_suspendedFor = suspended;
}

// A write that the store carries out late must not replace what this host, or its next process, has written since.
void Directory::writeHostEntry()
{
    if (m_lease.id() == kNoLease)
        return;
    const HostEntry entry { m_settings.host, m_settings.dataCentre, m_settings.peers, m_incarnation,
        static_cast<double>(m_settings.processorPercent) / 100, m_leaving, inEra(m_store->era(), {}), std::nullopt };
    const std::string key = kHostPrefix + m_settings.host, text = encode(entry);
    m_hostEntryWritePending = true;
    const ConditionalWrite write { { { key, m_hostEntryVersion } }, { { key, text, m_lease.id() } } };
    m_store->write(write, [this, key, text](const WriteResult& result) {
        m_hostEntryWritePending = false;
        m_hostEntryWritten = std::holds_alternative<Written>(result);
        if (const auto* error = std::get_if<StoreError>(&result))
            return onStoreFailure("host entry", *error);
        if (const auto* conflict = std::get_if<WriteConflict>(&result))
            return onHostEntryConflict(*conflict);
        if (const auto* written = std::get_if<Written>(&result)) {
            m_hostEntryVersion = written->revision;
            if (!mergeRecord(m_known, key, written->revision))
                return;
            apply({ key, text, written->revision });
            m_onChange();
        }
    });
}

// The next tick writes the entry again, over the version that the store holds now.
void Directory::onHostEntryConflict(const WriteConflict& conflict)
{
    const bool exists = !conflict.current.empty() && conflict.current.front().text;
    m_hostEntryVersion = exists ? conflict.current.front().version : StoreRevision {};
    m_nextHostEntryWriteAt = Millis(0);
    logEvent(EventKind::state, "host_entry_conflict", { { "revision", textOf(m_hostEntryVersion) } });
}

void Directory::publishLeaving()
{
    m_leaving = true;
    writeHostEntry();
}

void Directory::endHostLease(std::function<void()> onEnd)
{
    m_hostEntryWritten = false;
    m_lease.revoke(std::move(onEnd));
}

} // namespace pistachiospur
