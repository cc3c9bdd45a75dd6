#pragma once

#include "adapter.h"
#include "lease.h"
#include "membership/evacuation.h"
#include "observe/events.h"
#include "records.h"
#include "settings.h"
#include "store/history.h"
#include "store/versions.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

// This host's copy of the store: configuration, upstream instances, hosts, range leaders and range tables. It also
// writes this host's own entry to the store, under a lease.
namespace pistachiospur {

struct StoredTable {
    RangeTable table;
    StoreRevision revision;
    Millis receivedAt {}; // boot clock: when this host learned of it; set by recordTable()
};

struct InstanceEntry {
    UpstreamInstance instance;
    // Monotonic clock: the instance gets no new work from then on, because it drains or its entry was deleted.
    std::optional<Millis> noNewWorkFrom;
    // Its entry was deleted, or the instance is proven to have ended, or another upstream has the endpoint that it
    // names.
    bool entryGone = false;
    StoreRevision version; // of the change of its entry that this host knows
    std::optional<Endpoint> answeredAt {}; // where it has answered this host; it stays there as long as it lives
};

std::string leaderKey(const ServiceName&);
// The key of a leader's claim. A write that expects it takes effect only under this very record: the versions of the
// record itself are given out again when the store comes back from an older copy.
std::string claimKey(const ServiceName&, const std::string& claim);
std::string tableKey(const ServiceName&);
bool isTableKey(const std::string& key);
std::string quarantineKey(std::uint64_t fingerprint);
// The fingerprint that a key names; nothing if it is no key of a quarantine record.
std::optional<std::uint64_t> quarantinedFingerprint(const std::string& key);

class Directory {
public:
    Directory(const GatewaySettings&, const PlatformAdapter&, HttpClient&, Incarnation);

    // Reads the store, keeps the copy up to date and writes this host's entry. `onChange` runs after each change of the
    // copy.
    void start(std::function<void()> onChange);
    // Retries the write of this host's entry, and removes instances and hosts whose entries have been gone for longer
    // than the retention time.
    void tick();
    // Selects whether this host watches the store itself or applies what another host's watch delivers.
    void setWatching(bool watching);
    // Sets the callback for what this host's own watch delivers; it is sent on to the other hosts. A batch without
    // changes confirms that there are none.
    void onWatchAnswer(std::function<void(const ChangeBatch&)> callback) { m_onWatchAnswer = std::move(callback); }
    // Sets the callback for changes of quarantine records; it gets nothing for a record that is gone or cannot be read.
    using QuarantineCallback
        = std::function<void(std::uint64_t fingerprint, const std::optional<QuarantineRecord>&, StoreRevision)>;
    void onQuarantineChange(QuarantineCallback callback) { m_onQuarantineChange = std::move(callback); }
    // Applies a batch from another host; returns false, and applies nothing, if changes before it are missing. `age` is
    // the time since the sender's copy held every change of the store, if this host can tell; `lapseGrace` what the
    // sender's lapseGrace() returned.
    bool applyRelayedBatch(const ChangeBatch&, std::optional<Millis> age, Millis lapseGrace);
    // The same for a host that does not know which keys the copy at `list.puts.from` had.
    bool applyRelayedKeys(KeyList, Millis age, Millis lapseGrace);
    // What a copy at revision `since` lacks of this host's copy; nothing if that is not known any more. Without range
    // tables, as all that is handed on.
    std::optional<ChangeBatch> changesSince(StoreRevision since) const
    {
        return pistachiospur::changesSince(m_history, since, m_known.completeTo);
    }
    KeyList keysSince(StoreRevision since) const
    {
        return pistachiospur::keysSince(m_history, since, m_known.completeTo);
    }
    // How much longer an upstream stays in use if its entry is found deleted now. Zero unless the store was away so
    // long that entries of living upstreams may have expired, and has just returned.
    Millis lapseGrace() const;
    void readTable(const ServiceName&);
    // Reads the whole store on a host that follows another's watch, because its copy may be too old.
    void readAlone();
    // When the store last answered the watch, on the monotonic clock.
    Millis watchAnsweredAt() const { return m_watchAnsweredAt; }
    // When the watch, or the read before it, last failed, on the monotonic clock.
    Millis watchFailedAt() const { return m_watchFailedAt; }
    // Writes this host's entry with its "leaving" flag set.
    void publishLeaving();
    // Ends the lease of this host's entry, which deletes the entry.
    void endHostLease(std::function<void()> onEnd);

    const std::optional<RoutingTable>& routes() const { return m_routes; }
    const std::map<UpstreamName, InstanceEntry>& instances() const { return m_instances; }
    const std::map<HostName, HostEntry>& hosts() const { return m_hosts; }
    const Evacuations& evacuations() const { return m_evacuations; }
    // Rises with each change of which hosts there are, and of their data centres and weights.
    std::uint64_t hostsVersion() const { return m_hostsVersion; }
    const LeaderEntry* leaderOf(const ServiceName&) const;
    const std::map<ServiceName, LeaderEntry>& leaders() const { return m_leaders; }
    const StoredTable* tableOf(const ServiceName&) const;
    // Stores a table if it is newer than the known one. It comes from the store, from this host's own write or from the
    // leader's update.
    void recordTable(const ServiceName&, StoredTable);
    const std::map<ServiceName, StoredTable>& tables() const { return m_tables; }
    // Marks a host as leaving when it announces so itself: its entry in the store may change later, or never.
    void markHostLeaving(const HostName&, Incarnation);
    // Stores a leader record if it is newer than the known one. It comes from the store, from this host's own write or
    // from another leader's announcement.
    void recordLeader(const ServiceName&, LeaderEntry);
    // The entry of an instance; null when it is unknown, or when a later instance has the same upstream name.
    const InstanceEntry* findInstance(const InstanceId&) const;
    // Records that an instance has answered this host at its endpoint.
    void recordAnswer(const UpstreamInstance&);
    // Records that another upstream answers at the endpoint of an instance, so that it gets no new work there. This
    // proves that the instance has ended only if it has answered this host there before: an entry may name a wrong
    // endpoint.
    void recordReplaced(const UpstreamInstance&);
    // The same by the word of another host, which may know another endpoint: the instance gets no new work until its
    // entry is written again.
    void recordReportedReplaced(const InstanceId&);
    // Records that an instance has said itself that it leaves. It gets no new work for the rest of its life, whatever
    // its entry says. Returns false if that was known.
    bool recordDeparture(const InstanceId&);
    // True when an instance is proven to have ended.
    bool isProvenEnded(const InstanceId& id) const { return m_endedInstances.count(id) > 0; }
    // The entry of an instance, or of a later one with the same upstream name; null when neither is known.
    const InstanceEntry* findSameOrLaterInstance(const InstanceId&) const;

    LeasedStore& store() { return *m_store; }
    const LeasedStore& store() const { return *m_store; }
    // True while this host's last write of its own entry succeeded and its lease has not ended.
    bool hasHostEntry() const { return m_hostEntryWritten; }
    void recordStoreFailure(const char* call, const StoreError& error) { onStoreFailure(call, error); }
    bool isStoreReachable() const { return m_storeReachable; }
    // The latest era that this host knows of.
    StoreEra storeEra() const { return std::max(m_store->era(), eraOf(m_known.completeTo)); }
    // Whether the store has come back from an older copy since this process first read it.
    bool hasEraRisen() const { return m_firstEra != storeEra(); }
    // When this host's copy is last known to have held every change of the store, on the monotonic clock.
    Millis confirmedAt() const { return m_confirmedAt; }
    Millis age() const { return monotonicNow() - m_confirmedAt; }
    // Every change of the store up to this revision is in the copy.
    StoreRevision revision() const { return m_known.completeTo; }

private:
    void readAll();
    void readConfiguration();
    void onReadResult(ReadResult);
    SnapshotMerge mergeRead(Snapshot&&);
    void noteOutage(StoreRevision answered, Millis startedAt);
    void confirm(Millis at);
    void resumeWatch();
    void startWatch();
    void onWatchBatch(const ChangeBatch&);
    void applyBatch(ChangeBatch);
    void takeTables(Snapshot&);
    void apply(const KeyChange&);
    void applyConfiguration(const std::string& text);
    void logFaults(const std::vector<FieldError>&);
    void applyUpstream(const UpstreamName&, const KeyChange&);
    void applyUpstreamGone(const UpstreamName&, const KeyChange&);
    void applyHost(const HostName&, const KeyChange&);
    void applyLeader(const ServiceName&, const KeyChange&);
    void applyQuarantine(std::uint64_t fingerprint, const KeyChange&);
    void applyEvacuation(const DataCentreName&, const KeyChange&);
    void applyWithdrawals(const ChangeBatch&);
    void noteRefusal(
        const char* event, const EventField& subject, const KeyChange&, const std::vector<FieldError>& faults);
    void setLeader(const ServiceName&, LeaderEntry);
    void applyTable(const KeyChange&);
    void noteSuspension();
    void onStoreFailure(const char* call, const StoreError&);
    void onStoreAnswer();

    void writeHostEntry();
    void onHostEntryConflict(const WriteConflict&);

    const GatewaySettings& m_settings;
    const PlatformAdapter& m_adapter;
    std::unique_ptr<LeasedStore> m_store;
    Incarnation m_incarnation;
    std::function<void()> m_onChange;
    std::function<void(const ChangeBatch&)> m_onWatchAnswer;
    QuarantineCallback m_onQuarantineChange;
    bool m_watching = true; // this host watches the store itself
    bool m_reading = false; // a read of the whole store is under way
    Millis m_readStartedAt {}; // monotonic clock
    Millis m_watchStartedAt {}; // monotonic clock
    Millis m_suspendedFor {}; // of the boot clock, the time that the monotonic clock has not counted
    // The copy is known to have held every change of the store at this time, on the monotonic clock.
    Millis m_confirmedAt { -100000 };
    // The same for the confirmation before: a change that is applied now was not in the copy then.
    Millis m_confirmedBefore { -100000 };
    Millis m_watchAnsweredAt { -100000 };
    Millis m_watchFailedAt { -100000 };
    Millis m_historyLostAt { -100000 };

    std::optional<RoutingTable> m_routes;
    std::set<std::string> m_loggedFaults;
    std::map<std::string, std::string> m_refusals; // why the entries of these keys cannot be read
    std::map<UpstreamName, InstanceEntry> m_instances;
    std::set<InstanceId> m_endedInstances; // proven to have ended, even if their entries still exist
    std::set<std::pair<InstanceId, Endpoint>> m_replaced; // where other upstreams answer
    std::map<InstanceId, Millis> m_departures; // when instances first said that they leave, on the monotonic clock
    std::map<HostName, HostEntry> m_hosts;
    std::uint64_t m_hostsVersion = 1;
    Evacuations m_evacuations;
    Millis m_nextRemovalAt { 0 }; // monotonic clock: no instance or host is to be removed before
    std::map<ServiceName, LeaderEntry> m_leaders;
    std::map<ServiceName, StoredTable> m_tables;
    std::map<ServiceName, StoreRevision> m_tableDeletions; // older tables are outdated
    std::set<ServiceName> m_tableReads; // that are not answered
    KeyVersions m_known;
    ChangeHistory m_history; // without range tables

    StoreEra m_firstEra; // of the first read
    bool m_storeReachable = false;
    // Upstreams whose entries are found deleted before this time stay in use until then; monotonic clock.
    Millis m_lapseGraceEnd { -100000 };
    Timer m_readRetryTimer;
    Timer m_firstWatchTimer;
    bool m_firstWatchScheduled = false;
    LeaseHolder m_lease;
    bool m_hostEntryWritten = false;
    bool m_hostEntryWritePending = false;
    StoreRevision m_hostEntryVersion; // that the next write of this host's entry expects; zero if there is none
    Millis m_nextHostEntryWriteAt {}; // monotonic clock
    bool m_leaving = false;
};

} // namespace pistachiospur
