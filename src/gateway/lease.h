#pragma once

#include "io/loop.h"
#include "store/store.h"

#include <functional>

// A lease in the store that is renewed automatically and, if it ends, replaced by a new one.
namespace pistachiospur {

class LeaseHolder {
public:
    struct Handlers {
        std::function<void()> onOpened;
        std::function<void()> onEnded; // the store no longer knows the lease, or came back from an older copy
        std::function<void(const StoreError&)> onFailure;
    };

    LeaseHolder(LeasedStore&, Millis ttl, Handlers);

    // Opens a lease if there is none and renews it until drop() or revoke().
    void start();
    // Stops renewing and lets the lease expire in the store.
    void drop();
    // Stops renewing and revokes the lease.
    void revoke(std::function<void()> onEnd);
    // Replaces the lease now if it is of an earlier era than the store's. After start() only.
    void followEra();

    LeaseId id() const { return m_lease; }
    Millis ttl() const { return m_ttl; }
    // The store's era in which the lease was opened.
    StoreEra era() const { return m_era; }
    // Boot clock; the lease cannot expire before this time.
    Millis validUntil() const { return m_validUntil; }

private:
    void renew();
    void open();
    void replace();

    LeasedStore& m_store;
    Millis m_ttl;
    Handlers m_handlers;
    Timer m_timer;
    LeaseId m_lease;
    StoreEra m_era;
    Millis m_validUntil {};
    std::uint64_t m_generation = 0; // drop() increments it, so that responses to earlier calls are ignored
    bool m_callPending = false;
};

} // namespace pistachiospur
