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
        std::function<void()> onEnded; // the store no longer knows the lease
        std::function<void(const StoreError&)> onFailure;
    };

    LeaseHolder(LeasedStore&, Millis ttl, Handlers);

    // Opens a lease if there is none and renews it until drop() or revoke().
    void start();
    // Stops renewing and lets the lease expire in the store.
    void drop();
    // Stops renewing and revokes the lease.
    void revoke(std::function<void()> onEnd);

    LeaseId id() const { return m_lease; }
    // Boot clock; the lease cannot expire before this time.
    Millis validUntil() const { return m_validUntil; }

private:
    void renew();
    void open();

    LeasedStore& m_store;
    Millis m_ttl;
    Handlers m_handlers;
    Timer m_timer;
    LeaseId m_lease;
    Millis m_validUntil {};
    std::uint64_t m_generation = 0; // drop() increments it, so that responses to earlier calls are ignored
    bool m_callPending = false;
};

} // namespace pistachiospur
