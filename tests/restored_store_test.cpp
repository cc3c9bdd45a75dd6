#include "gateway_fixture.h"

#include <absl/strings/escaping.h>

// Tests of a site whose store comes back from an older copy of itself: what the hosts wrote since is lost, and the
// store's revisions are given out again.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

constexpr std::uint32_t kSampleStep = 1000;

struct RestoredSite : Fixture {
    bool hadTwoHolders = false;

    RestoredSite()
        : Fixture(3)
    {
        BOOST_REQUIRE(waitUntilServed());
    }

    std::size_t leader() const
    {
        const Json record = Json::parse(store.value("pistachiospur/keepers/keyed"), nullptr, false);
        return record.is_object() ? static_cast<std::size_t>(record["host"].get<std::string>().back() - '0') : 0;
    }

    // Moves the slot away from its owner, which stays able to own it.
    void moveSlot()
    {
        RangeUpstream* owner = holder(kSlot);
        BOOST_REQUIRE(owner);
        store.put("servers/" + owner->name(), owner->entry("draining"));
        BOOST_REQUIRE(runLoopUntil([&] { return holderCount(kSlot) == 1 && holder(kSlot) != owner; }));
        store.put("servers/" + owner->name(), owner->entry());
    }

    // The least and the greatest number of upstreams that hold one of a sample of slots.
    std::pair<int, int> holderCounts() const
    {
        std::pair<int, int> counts { holderCount(kSlot), holderCount(kSlot) };
        for (std::uint32_t slot = 0; slot < kKeySlots; slot += kSampleStep) {
            const int n = holderCount(slot);
            counts = { std::min(counts.first, n), std::max(counts.second, n) };
        }
        return counts;
    }

    // Like runLoopUntil(), and notes whether two upstreams held one slot.
    bool watchSlotsUntil(const std::function<bool()>& condition)
    {
        return runLoopUntil([&] {
            hadTwoHolders |= holderCounts().second > 1;
            return condition();
        });
    }

    void watchSlotsFor(Millis time)
    {
        const Millis end = monotonicNow() + time;
        watchSlotsUntil([&] { return monotonicNow() >= end; });
    }

    // Whether each upstream that took a slot over got it with a higher fencing token than any before.
    bool fencesRise() const
    {
        for (std::uint32_t slot = 0; slot < kKeySlots; slot += kSampleStep) {
            if (!fencesRiseAt(slot))
                return false;
        }
        return fencesRiseAt(kSlot);
    }

    bool fencesRiseAt(std::uint32_t slot) const
    {
        std::vector<std::tuple<Millis, std::uint64_t, std::string>> grants;
        for (const auto& upstream : upstreams) {
            for (const auto& it : upstream->grantLog) {
                if (it.first <= slot && slot <= it.last)
                    grants.emplace_back(it.at, it.fence, upstream->name());
            }
        }
        std::sort(grants.begin(), grants.end());
        std::uint64_t highest = 0;
        std::string last;
        for (const auto& [at, fence, name] : grants) {
            if (name != last && fence <= highest)
                return false;
            highest = std::max(highest, fence);
            last = name;
        }
        return true;
    }
};

// The text of the range table that a call to the store writes; nothing if it writes none.
std::optional<std::string> writtenTable(const HttpRequest& request)
{
    if (request.path != "/kv-txn")
        return std::nullopt;
    const Json body = Json::parse(request.body);
    for (const auto& it : body["puts"]) {
        std::string text;
        if (it["key"] == "pistachiospur/ranges/keyed" && absl::Base64Unescape(it["value"].get<std::string>(), &text))
            return text;
    }
    return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RestoredStore)

// Guards against keys with two owners: a leader that starts from a restored table grants slots that had moved since.
BOOST_AUTO_TEST_CASE(leaderThatStartsFromARestoredTableWaitsForGrantsThatItCannotKnow)
{
    RestoredSite site;
    site.store.saveCopy();
    site.moveSlot();
    const std::size_t leader = site.leader();
    site.gateways[leader].reset();
    site.store.restoreCopy(true);
    site.addHost(static_cast<int>(leader));
    site.watchSlotsFor(Millis(3000));
    BOOST_TEST(site.watchSlotsUntil([&] { return site.holderCounts().first > 0; }));
    BOOST_TEST(!site.hadTwoHolders);
    BOOST_TEST(site.fencesRise());
}

// Guards against a wait that ends while grants of a slower host may be valid: they last longer, since it renews less
// often.
BOOST_AUTO_TEST_CASE(waitForUnknownGrantsCoversThoseOfTheSlowestHost)
{
    constexpr std::int64_t kSlowPercent = 1; // 10 grants a second
    // Four ranges of each of three upstreams are renewed every 1.2 s instead of 0.6 s, so grants last 5 s instead
    // of 2.5.
    constexpr Millis kLongestGrant = longestGrant(Millis(5000));
    constexpr Millis kRight { 1200 + 3500 + 400 }; // lease, outage_ms and order_timeout_ms
    Fixture site(1);
    site.addHost(1, platform::kvPlatformAdapter(), "z1", kSlowPercent);
    BOOST_REQUIRE(site.waitUntilServed());
    site.store.saveCopy();
    site.gateways.clear();
    site.store.restoreCopy(true);
    site.addHost(0);
    const auto table = [&] { return decodeRangeTable(site.store.value("pistachiospur/ranges/keyed"), {}); };
    BOOST_REQUIRE(site.runLoopUntil([&] { return table() && table()->era == StoreEra { 2 }; }));
    BOOST_TEST(table()->writer.compare(0, 3, "h0#") == 0);
    BOOST_TEST((kRight + kLongestGrant - table()->unknownGrantsFor).count() < 1000); // from election to write
}

// Guards against keys without an owner, or with two, after a restore that the leader lives through: what it knows of
// the grants still holds, although the store knows less.
BOOST_AUTO_TEST_CASE(leaderThatLivesThroughARestoreKeepsItsTable)
{
    RestoredSite site;
    site.store.saveCopy();
    site.moveSlot();
    RangeUpstream* owner = site.holder(kSlot);
    site.store.fault = StoreFault::silent;
    site.watchSlotsFor(Millis(600));
    site.store.fault = StoreFault::none;
    site.store.restoreCopy(true);
    BOOST_REQUIRE(site.holder(kSlot) == owner);
    const auto table = [&] { return Json::parse(site.store.value("pistachiospur/ranges/keyed"), nullptr, false); };
    bool hadNoHolder = false;
    BOOST_TEST(site.watchSlotsUntil([&] {
        hadNoHolder |= site.holderCounts().first == 0;
        return table().is_object() && table().value("era", 0) == 2;
    }));
    // Longer than any grant.
    const Millis end = monotonicNow() + Millis(4000);
    site.watchSlotsUntil([&] {
        hadNoHolder |= site.holderCounts().first == 0;
        return monotonicNow() >= end;
    });
    BOOST_TEST(!site.hadTwoHolders);
    BOOST_TEST(!hadNoHolder);
    BOOST_TEST(site.fencesRise());
}

// Guards against slots that are given on while grants of an unknown leader may be valid: a leader whose right of the
// earlier era had ended repeated a table write of before, which waits for no such grants.
BOOST_AUTO_TEST_CASE(leaderThatStartsAnewDuringATableWriteWaitsForGrantsThatItCannotKnow)
{
    Fixture site(1);
    BOOST_REQUIRE(site.waitUntilServed());
    site.store.saveCopy();
    site.store.fault = StoreFault::silent;
    site.runLoopUntil([] { return false; }, Millis(1500)); // longer than the leader's lease
    site.store.fault = StoreFault::none;
    std::vector<std::string> tables; // that the leader has tried to write, without an answer
    site.store.holds = [&](const HttpRequest& request) {
        const auto table = writtenTable(request);
        if (table)
            tables.push_back(*table);
        return table.has_value();
    };
    site.store.restoreCopy(true);
    BOOST_REQUIRE(site.runLoopUntil([&] { return !tables.empty(); }));
    BOOST_REQUIRE(site.runLoopUntil([&] { return tables.back() != tables.front(); })); // its right has ended
    const auto table = decodeRangeTable(tables.back(), {});
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST((table->unknownGrantsFor > Millis(0)));
    for (const auto& it : table->ranges)
        BOOST_TEST(hasUnknownOwner(it));
}

// Guards against slots that their owner has to give up although nobody else may get them yet.
BOOST_AUTO_TEST_CASE(slotsStayWithTheirOwnersWhileUnknownGrantsMayBeValid)
{
    RestoredSite site;
    site.store.saveCopy();
    site.moveSlot();
    site.store.fault = StoreFault::silent;
    site.watchSlotsFor(Millis(1500)); // longer than the leader's lease, so that another host may have led
    site.store.fault = StoreFault::none;
    site.store.restoreCopy(true);
    const auto tableEra = [&] {
        const Json table = Json::parse(site.store.value("pistachiospur/ranges/keyed"), nullptr, false);
        return table.is_object() ? table.value("era", 0) : 0;
    };
    BOOST_REQUIRE(site.watchSlotsUntil([&] { return tableEra() == 2; }));
    const RangeUpstream& idle = site.add("keyed", "k9"); // may take slots of the others
    bool hadNoHolder = false;
    const Millis end = monotonicNow() + Millis(4000);
    site.watchSlotsUntil([&] {
        hadNoHolder |= site.holderCounts().first == 0;
        return monotonicNow() >= end;
    });
    BOOST_TEST(!hadNoHolder);
    BOOST_TEST(site.watchSlotsUntil([&] {
        for (std::uint32_t slot = 0; slot < kKeySlots; slot += kSampleStep) {
            if (idle.holds(slot))
                return true;
        }
        return false;
    }));
    BOOST_TEST(!site.hadTwoHolders);
    BOOST_TEST(site.fencesRise());
}

// Guards against a configuration, or a departure, that is not in force after a restore: what was read bore a lower
// revision than what was known, and was taken for outdated.
BOOST_AUTO_TEST_CASE(changesAfterARestoreAreInForceOnEveryHostInTime)
{
    RestoredSite site;
    site.store.saveCopy();
    for (int n = 0; n < 200; ++n)
        site.store.put("op/note", std::to_string(n));
    site.runLoopUntil([] { return false; }, Millis(800)); // until every host has them
    site.store.restoreCopy(true);
    const auto isInForceEverywhere = [&](const std::string& path) {
        for (std::size_t host = 0; host < site.gateways.size(); ++host) {
            if (site.send(path, "r", host).status == 404)
                return false;
        }
        return true;
    };
    site.store.put("op/config", configuration(2, "/moved/"));
    const Millis changedAt = monotonicNow();
    BOOST_TEST(site.runLoopUntil([&] { return isInForceEverywhere("/moved/x"); }));
    BOOST_TEST((monotonicNow() - changedAt).count() < 2000); // change_ms
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    site.store.put("servers/" + owner->name(), owner->entry("draining"));
    BOOST_TEST(site.watchSlotsUntil([&] { return site.holderCount(kSlot) == 1 && site.holder(kSlot) != owner; }));
    BOOST_TEST(!site.hadTwoHolders);
    BOOST_TEST(site.store.readCalls < 100u); // without a pause there are hundreds
}

BOOST_AUTO_TEST_SUITE_END()
