#include "gateway/lease.h"

#include <boost/test/unit_test.hpp>

using namespace pistachiospur;

namespace {

// A store that answers the calls for leases at once.
struct LeaseStore : LeasedStore {
    StoreEra currentEra { 1 };
    StoreEra answeringEra { 1 }; // that the answers to renewals are of
    std::uint64_t nextLease = 7;
    std::vector<LeaseId> renewed;
    std::vector<LeaseId> revoked;
    CallCounts counts;

    void read(const std::string&, std::function<void(ReadResult)>) override { }
    void write(const ConditionalWrite&, std::function<void(WriteResult)>) override { }
    void watch(StoreRevision, OnBatch, OnWatchEnd) override { }
    void stopWatch() override { }
    bool isWatching() const override { return false; }
    std::uint64_t calls() const override { return 0; }
    Millis watchConfirmedAt() const override { return {}; }
    const CallCounts& callCounts() const override { return counts; }
    StoreEra era() const override { return currentEra; }
    void openLease(Millis ttl, std::function<void(LeaseOpenResult)> callback) override
    {
        callback(LeaseOpened { { nextLease++ }, ttl, currentEra });
    }
    void renewLease(LeaseId lease, std::function<void(LeaseRenewalResult)> callback) override
    {
        renewed.push_back(lease);
        currentEra = std::max(currentEra, answeringEra);
        callback(LeaseRenewed { answeringEra });
    }
    void revokeLease(LeaseId lease, std::function<void()> onEnd) override
    {
        revoked.push_back(lease);
        onEnd();
    }
};

struct Fixture {
    LeaseStore store;
    int ended = 0;
    LeaseHolder holder { store, Millis(3000), { [] {}, [this] { ++ended; }, [](const StoreError&) {} } };

    Fixture() { holder.start(); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Leases)

// Guards against a lease of another host that is kept alive or ended: its id was given out twice.
BOOST_AUTO_TEST_CASE(leaseOfAnEarlierEraIsReplacedAndNeitherRenewedNorRevoked)
{
    Fixture host;
    BOOST_REQUIRE(host.holder.id() == LeaseId { 7 });
    host.store.currentEra = { 2 };
    host.holder.followEra();
    BOOST_TEST(host.store.renewed.empty());
    BOOST_TEST(host.ended == 1);
    BOOST_CHECK(host.holder.id() == LeaseId { 8 });
    BOOST_CHECK(host.holder.era() == StoreEra { 2 });
    host.store.currentEra = { 3 };
    host.holder.revoke([] {});
    BOOST_TEST(host.store.revoked.empty());
}

// Guards against a right to lead that is derived from a renewal of somebody else's lease.
BOOST_AUTO_TEST_CASE(renewalThatIsAnsweredInALaterEraRenewsNothing)
{
    Fixture host;
    const Millis validUntil = host.holder.validUntil();
    host.store.answeringEra = { 2 };
    host.holder.start();
    BOOST_TEST(host.ended == 1);
    BOOST_CHECK(host.holder.era() == StoreEra { 2 });
    BOOST_CHECK(host.holder.id() == LeaseId { 8 });
    BOOST_TEST((host.holder.validUntil() >= validUntil));
}

BOOST_AUTO_TEST_SUITE_END()
