#include "lease.h"

namespace pistachiospur {

namespace {

constexpr int kRenewalsPerTtl = 3;
// Subtracted from the TTL because this host's clock and the store's may run at slightly different rates.
constexpr Millis kClockMargin { 100 };

} // namespace

LeaseHolder::LeaseHolder(LeasedStore& store, Millis ttl, Handlers handlers)
    : m_store(store)
    , m_ttl(ttl)
    , m_handlers(std::move(handlers))
    , m_timer([this] { renew(); })
{
}

void LeaseHolder::start()
{
    m_timer.every(m_ttl / kRenewalsPerTtl);
    renew();
}

void LeaseHolder::drop()
{
    m_timer.stop();
    ++m_generation;
    m_callPending = false;
    m_lease = kNoLease;
    m_validUntil = Millis(0);
}

void LeaseHolder::revoke(std::function<void()> onEnd)
{
    const LeaseId lease = m_lease;
    drop();
    if (lease == kNoLease || m_era != m_store.era())
        return onEnd();
    m_store.revokeLease(lease, std::move(onEnd));
}

void LeaseHolder::open()
{
    m_callPending = true;
    const Millis sentAt = bootNow();
    m_store.openLease(m_ttl, [this, sentAt, generation = m_generation](const LeaseOpenResult& result) {
        if (generation != m_generation)
            return;
        m_callPending = false;
        if (const auto* error = std::get_if<StoreError>(&result))
            return m_handlers.onFailure(*error);
        const auto& opened = std::get<LeaseOpened>(result);
        m_lease = opened.lease;
        m_era = opened.era;
        m_ttl = opened.ttl;
        m_validUntil = sentAt + opened.ttl - kClockMargin;
        m_handlers.onOpened();
    });
}

void LeaseHolder::renew()
{
    if (m_callPending)
        return;
    if (m_lease == kNoLease)
        return open();
    // In another era the id may stand for another host's lease.
    if (m_era != m_store.era())
        return replace();
    m_callPending = true;
    const Millis sentAt = bootNow();
    m_store.renewLease(m_lease, [this, sentAt, generation = m_generation](const LeaseRenewalResult& result) {
        if (generation != m_generation)
            return;
        m_callPending = false;
        if (const auto* error = std::get_if<StoreError>(&result))
            return m_handlers.onFailure(*error);
        const auto* renewed = std::get_if<LeaseRenewed>(&result);
        if (!renewed || renewed->era != m_era)
            return replace();
        m_validUntil = sentAt + m_ttl - kClockMargin;
    });
}

void LeaseHolder::replace()
{
    m_lease = kNoLease;
    m_validUntil = Millis(0);
    const std::uint64_t generation = m_generation;
    m_handlers.onEnded();
    if (generation == m_generation)
        open();
}

void LeaseHolder::followEra()
{
    if (m_lease != kNoLease && m_era != m_store.era())
        renew();
}

} // namespace pistachiospur
