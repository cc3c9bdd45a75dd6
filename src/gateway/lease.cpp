#include "lease.h"

namespace pistachiospur {

namespace {

// A lease is renewed so many times in its life.
constexpr int kRenewalsPerLife = 3;
// Taken off the lease's life: clocks run a little apart.
constexpr Millis kMargin { 100 };

} // namespace

LeaseHolder::LeaseHolder(LeasedStore& store, Millis life, Handlers handlers)
    : m_store(store)
    , m_life(life)
    , m_handlers(std::move(handlers))
    , m_timer([this] { renew(); })
{
}

void LeaseHolder::hold()
{
    m_timer.every(m_life / kRenewalsPerLife);
    renew();
}

void LeaseHolder::drop()
{
    m_timer.stop();
    ++m_generation;
    m_callOpen = false;
    m_lease = kNoLease;
    m_heldUntil = Millis(0);
}

void LeaseHolder::end(std::function<void()> onEnd)
{
    const LeaseId lease = m_lease;
    drop();
    if (lease == kNoLease)
        return onEnd();
    m_store.endLease(lease, std::move(onEnd));
}

void LeaseHolder::open()
{
    m_callOpen = true;
    const Millis sentAt = bootNow();
    m_store.openLease(m_life, [this, sentAt, generation = m_generation](const LeaseOpenResult& result) {
        if (generation != m_generation)
            return;
        m_callOpen = false;
        if (const auto* error = std::get_if<StoreError>(&result))
            return m_handlers.onFailure(*error);
        const auto& opened = std::get<LeaseOpened>(result);
        m_lease = opened.lease;
        m_life = opened.life;
        m_heldUntil = sentAt + opened.life - kMargin;
        m_handlers.onOpened();
    });
}

void LeaseHolder::renew()
{
    if (m_callOpen)
        return;
    if (m_lease == kNoLease)
        return open();
    m_callOpen = true;
    const Millis sentAt = bootNow();
    m_store.renewLease(m_lease, [this, sentAt, generation = m_generation](const LeaseRenewalResult& result) {
        if (generation != m_generation)
            return;
        m_callOpen = false;
        if (const auto* error = std::get_if<StoreError>(&result))
            return m_handlers.onFailure(*error);
        if (std::holds_alternative<LeaseRenewed>(result)) {
            m_heldUntil = sentAt + m_life - kMargin;
            return;
        }
        m_lease = kNoLease;
        m_heldUntil = Millis(0);
        m_handlers.onGone();
        if (generation == m_generation)
            open();
    });
}

} // namespace pistachiospur
