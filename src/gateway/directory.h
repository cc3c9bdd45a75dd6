#pragma once

#include "dialect.h"
#include "lease.h"
#include "settings.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

// This host's copy of the store: configuration, upstreams, hosts, keepers and their tables; and this host's own entry
// there, under a lease.
namespace pistachiospur {

struct HostEntry {
    HostName host;
    DataCentreName dataCentre;
    Endpoint peers;
    Incarnation incarnation;
    double weight = 1; // share of work, by its processor
    bool leaving = false;
    std::optional<Millis> lostAt; // its entry is gone since
};

// Who keeps a service's ranges.
struct KeeperEntry {
    HostName host;
    Incarnation incarnation;
    LeaseId lease; // that the record is bound to
    StoreRevision version;
};

struct StoredTable {
    RangeTable table;
    StoreRevision revision;
};

struct LifeEntry {
    UpstreamLife life;
    std::optional<Millis> leavingSince; // draining, or its entry is gone
    bool entryGone = false;
};

std::string keeperKey(const ServiceName&);
std::string tableKey(const ServiceName&);
bool isTableKey(const std::string& key);

class Directory {
public:
    Directory(const GatewaySettings&, const Dialect&, HttpClient&, Incarnation);

    // Reads and follows the store and enters this host. `onChange` runs after each change of what is below.
    void start(std::function<void()> onChange);
    // Drops entries whose time of grace is over.
    void tick();
    // Whether this host watches the store itself, or takes what another one has seen.
    void setWatching(bool watching);
    // What the watch brings, for hosts that follow this one.
    void onSeen(std::function<void(const ChangeBatch&)> callback) { m_onSeen = std::move(callback); }
    // Takes a batch of the host that watches; reads the store when something before it is missing.
    void follow(const ChangeBatch&);
    void readTable(const ServiceName&);
    // When the watch last had an answer of the store, on the monotonic clock.
    Millis watchAnsweredAt() const { return m_watchAnsweredAt; }
    // When it last failed.
    Millis watchFailedAt() const { return m_watchFailedAt; }
    // Announces that this host leaves, or ends its lease.
    void announceLeaving();
    void endLease(std::function<void()> onEnd);

    const std::optional<RoutingTable>& routes() const { return m_routes; }
    const std::map<UpstreamName, LifeEntry>& lives() const { return m_lives; }
    const std::map<HostName, HostEntry>& hosts() const { return m_hosts; }
    const KeeperEntry* keeperOf(const ServiceName&) const;
    const StoredTable* tableOf(const ServiceName&) const;
    // Takes a table that the keeper sent, if it is newer.
    void learnTable(const ServiceName&, StoredTable);
    const std::map<ServiceName, StoredTable>& tables() const { return m_tables; }
    // Takes a host's own word that it stops; its entry in the store may say so later, or never.
    void learnLeaving(const HostName&, Incarnation);
    // Takes what this host wrote itself.
    void learnKeeper(const ServiceName&, KeeperEntry);
    // The life that an upstream has now, or the last one known; null when it was never heard of.
    const LifeEntry* findLife(const LifeId&) const;
    // Takes the proof that a life has ended: another upstream answers at its address.
    void learnEnded(const LifeId&);
    // True when that, or a later start under the same name, shows that the life has ended.
    bool isProvenDead(const LifeId&) const;

    LeasedStore& store() { return *m_store; }
    // True once this host's own entry is in the store.
    bool isEntered() const { return m_entered; }
    void noteStoreFailure(const char* call, const StoreError& error) { onStoreFailure(call, error); }
    bool isConnected() const { return m_connected; }
    StoreRevision revision() const { return m_revision; }

private:
    void readAll();
    void onRead(ReadResult);
    void followChanges();
    void onBatch(const ChangeBatch&);
    void apply(const KeyChange&);
    void applyConfiguration(const std::string& text);
    void applyUpstream(const UpstreamName&, const KeyChange&);
    void applyHost(const HostName&, const KeyChange&);
    void applyKeeper(const ServiceName&, const KeyChange&);
    void applyTable(const ServiceName&, const KeyChange&);
    void onStoreFailure(const char* what, const StoreError&);
    void onStoreAnswer();

    void enterHost();

    const GatewaySettings& m_settings;
    const Dialect& m_dialect;
    std::unique_ptr<LeasedStore> m_store;
    Incarnation m_incarnation;
    std::function<void()> m_onChange;
    std::function<void(const ChangeBatch&)> m_onSeen;
    bool m_watching = true;
    bool m_reading = false;
    Millis m_watchAnsweredAt { -100000 };
    Millis m_watchFailedAt { -100000 };

    std::optional<RoutingTable> m_routes;
    std::map<UpstreamName, LifeEntry> m_lives;
    std::set<LifeId> m_endedLives; // proven, whatever their entries say
    std::map<HostName, HostEntry> m_hosts;
    std::map<ServiceName, KeeperEntry> m_keepers;
    std::map<ServiceName, StoredTable> m_tables;
    std::map<std::string, StoreRevision> m_versions; // of the keys seen, so that nothing goes back

    StoreRevision m_revision;
    bool m_connected = false;
    Millis m_troubleAt { -100000 }; // last failure of the store
    Timer m_retryTimer;
    Timer m_followTimer; // for the first watch
    bool m_everFollowed = false;
    LeaseHolder m_lease;
    bool m_entered = false;
    bool m_entering = false;
    Millis m_enterAt {}; // next try
    bool m_leaving = false;
};

} // namespace pistachiospur
