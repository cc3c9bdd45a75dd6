#pragma once

#include "context.h"

#include <functional>

// Keeps this host's replica of the store up to date. One host of each data centre, the relay root, watches the store
// and forwards the changes down a tree of hosts. A host that learns of a newer revision from a heartbeat requests the
// missing changes from the sender.
namespace pistachiospur {

class ReplicaSync {
public:
    ReplicaSync(HostContext&, std::function<void()> onChange);

    // Reads the store, then watches it if this host is the relay root.
    void start();
    // Called at intervals: starts a read or a watch if one is due. Only the relay root keeps a watch.
    void tick();
    void onBatch(const ChangeBatch&, const HostName& from);
    void onSnapshot(const Snapshot&);
    void onRequest(const HostName& from, StoreRevision since);
    // Handles the replica revision that another host has announced.
    void onPeerRevision(const HostName& from, StoreRevision);

private:
    void readStore();
    void watchStore();
    void installSnapshot(const Snapshot&);
    void forwardToChildren(const ChangeBatch&);
    void notifyChange();

    HostContext& m_context;
    std::function<void()> m_onChange;
    bool m_reading = false;
    Millis m_retryAt {}; // no read or watch starts before
    Millis m_requestedAt {}; // when changes were last requested from another host
    bool m_storeFailing = false;
};

} // namespace pistachiospur
