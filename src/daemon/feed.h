#pragma once

#include "node.h"

#include <functional>

// Keeps the replica up to date: one host of each data centre watches the store, and changes go on from host to host
// down a tree; a host that hears of a newer revision in a heartbeat asks for what it lacks.
namespace pistachiospur {

class Feed {
public:
    Feed(Node&, std::function<void()> onChange);

    // Reads the store, then follows it if this host's position in the tree is the root.
    void start();
    // Called at intervals: reads or watches again when that is due.
    void tick();
    void onBatch(const ChangeBatch&, const HostName& from);
    void onSnapshot(const Snapshot&);
    void onRequest(const HostName& from, StoreRevision since);
    // A host said that it has everything up to a revision.
    void onRevisionHeard(const HostName& from, StoreRevision);

private:
    void readStore();
    void watchStore();
    void takeSnapshot(const Snapshot&);
    void passOn(const ChangeBatch&);
    void changed();

    Node& m_node;
    std::function<void()> m_onChange;
    bool m_reading = false;
    Millis m_retryAt {};
    Millis m_askedAt {};
    bool m_storeFailing = false;
};

} // namespace pistachiospur
