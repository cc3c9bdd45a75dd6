#pragma once

#include "catch_up.h"
#include "context.h"

#include <functional>

// One host of each data centre watches the store and forwards the changes to the data centre's other hosts, so that a
// change costs the store one call per data centre rather than one per host. All hosts choose the watching host by the
// same rule. If its watch fails, or its heartbeats stop, the next host in the order takes over.
namespace pistachiospur {

// The first usable host in the order whose watch is not marked as failed now. If all are marked, the first usable one;
// empty if none is usable.
HostName chooseWatchHost(const std::vector<HostName>& order, const std::function<bool(const HostName&)>& isUsable,
    const std::map<HostName, Millis>& failedUntil, Millis now);

// When a host that follows another's watch reads the store itself. All times are on the monotonic clock.
struct OwnReadTimes {
    Millis confirmedAt {}; // its copy held every change of the store at this time
    Millis failedAt {}; // when its last read failed
};

// Whether the host has to read the store now, so that a change is in force within `changeTime` even if the read takes
// `readTimeout`. Whatever delays the watching host, or the messages from it, then delays no other host beyond that.
bool isOwnReadDue(const OwnReadTimes&, Millis changeTime, Millis readTimeout, Millis now);

// What the watching host sends to its data centre of an answer of the store. Of a read only the revision: a copy that
// is behind cannot be brought up to date by what changed between two states (hasGap()), so its host asks for what it
// lacks. A read whose content went to every host filled the links of small hosts for seconds when all of them started
// at once.
ChangeBatch relayedPart(const ChangeBatch&);

class StoreWatcher {
public:
    StoreWatcher(GatewayContext&, CatchUp&);

    void tick();
    void onWatchUpdate(const HostName& from, const WatchUpdate&);
    // How many revisions this host's copy is behind the latest that a watching host has announced.
    std::uint64_t revisionsBehind() const;

private:
    bool isStoreAnswering() const;
    bool leadsRanges(const HostName&) const;
    HostName chooseNow(Millis now) const;
    void noteAge();
    void follow(Millis now);
    void watch(Millis now);
    bool hasOtherHosts(Millis now) const;
    void markFailed(const HostName&, const char* reason);
    std::vector<HostName> followers() const;
    void send(const ChangeBatch&);
    void noteTables(const WatchUpdate&);
    void readMissedTables(Millis now);

    GatewayContext& m_context;
    CatchUp& m_catchUp;
    HostName m_watchHost; // chosen to watch the store for this data centre
    Millis m_watchHostSince {};
    Millis m_lastHeardAt {}; // last update from m_watchHost, or the time when it was chosen
    std::map<HostName, Millis> m_failedUntil; // hosts passed over until then because their watch failed
    Millis m_nextHeartbeatAt {};
    StoreRevision m_announced; // the latest of a watching host
    bool m_outdated = false; // the copy is older than a change may take to be in force
    // The latest table of a service that another host has announced and this host lacks.
    struct MissedTable {
        StoreRevision revision;
        Millis since {}; // missed, or last asked for
    };
    std::map<ServiceName, MissedTable> m_missedTables;
};

} // namespace pistachiospur
