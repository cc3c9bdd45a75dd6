#pragma once

#include "io/loop.h"
#include "store/store.h"

#include <functional>

// One lease in the store, opened anew when it ends and renewed while it is wanted.
namespace pistachiospur {

class LeaseHolder {
public:
    struct Handlers {
        std::function<void()> onOpened;
        std::function<void()> onGone;
        std::function<void(const StoreError&)> onFailure;
    };

    LeaseHolder(LeasedStore&, Millis life, Handlers);

    // Opens the lease if there is none and renews it from now on.
    void hold();
    // Stops renewing; the lease lapses, or is ended at once.
    void drop();
    void end(std::function<void()> onEnd);

    LeaseId id() const { return m_lease; }
    // On the boot clock: until then the lease is certainly alive.
    Millis heldUntil() const { return m_heldUntil; }

private:
    void renew();
    void open();

    LeasedStore& m_store;
    Millis m_life;
    Handlers m_handlers;
    Timer m_timer;
    LeaseId m_lease;
    Millis m_heldUntil {};
    std::uint64_t m_generation = 0; // tells answers to calls before a drop
    bool m_callOpen = false;
};

} // namespace pistachiospur
