#pragma once

#include "site.h"

// Who watches the store: one host of each data centre does, and passes on what it sees, so that a change costs the
// store one call a data centre, not one a host. When its watch fails, or nothing is heard of it, the next one in order
// takes its place.
namespace pistachiospur {

// The first host of the order whose watch is not known to fail; the first of all when every one is.
HostName chooseReader(const std::vector<HostName>& order, const std::map<HostName, Millis>& failedUntil, Millis now);

class Watcher {
public:
    explicit Watcher(Site&);

    void tick();
    void onBatch(const HostName& from, const FeedBatch&);

private:
    bool isAlive() const;
    void watch(Millis now, std::size_t hosts);
    void distrust(const HostName&, const char* reason);
    std::vector<HostName> followers() const;
    void send(const ChangeBatch&);
    void checkTables(const FeedBatch&);

    Site& m_site;
    HostName m_reader; // the host that should watch for this data centre
    Millis m_readerSince {};
    Millis m_heardAt {}; // from it
    std::map<HostName, Millis> m_failedUntil;
    Millis m_beatAt {};
    std::map<ServiceName, Millis> m_behindSince; // a newer table exists than this host has
};

} // namespace pistachiospur
