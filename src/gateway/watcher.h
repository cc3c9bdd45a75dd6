#pragma once

#include "site.h"

// Who watches the store: one host of each data centre does, and passes on what it sees, so that a change costs the
// store one call a data centre, not one a host. A host that hears nothing of the one that watches does so itself.
namespace pistachiospur {

class Watcher {
public:
    explicit Watcher(Site&);

    void tick();
    void onBatch(const HostName& from, const FeedBatch&);

private:
    bool isAlive() const;
    void send(const ChangeBatch&);
    void checkTables(const FeedBatch&);

    Site& m_site;
    HostName m_reader; // the host that should watch for this data centre
    Millis m_heardAt {}; // from it
    Millis m_beatAt {};
    std::map<ServiceName, Millis> m_behindSince; // a newer table exists than this host has
};

} // namespace pistachiospur
