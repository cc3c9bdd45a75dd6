#include "ranges/balance.h"
#include "ranges/ledger.h"
#include "ranges/targets.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace pistachiospur;

namespace {

InstanceId instance(int n, std::int64_t startTime = 1) { return { "u" + std::to_string(n), { startTime } }; }

std::vector<OwnerCapacity> ownersUpTo(int n)
{
    std::vector<OwnerCapacity> owners;
    owners.reserve(static_cast<std::size_t>(n));
    for (int it = 0; it < n; ++it)
        owners.push_back({ instance(it), 10 });
    return owners;
}

// The ranges after up to 19 random assignments.
std::vector<Range> randomRanges(int owners)
{
    auto ranges = evenRanges(ownersUpTo(owners));
    const int moves = *rc::gen::inRange(0, 20);
    for (int n = 0; n < moves; ++n) {
        const auto a = *rc::gen::inRange(0u, kKeySlots), b = *rc::gen::inRange(0u, kKeySlots);
        assign(ranges, { std::min(a, b) }, { std::max(a, b) }, instance(*rc::gen::inRange(0, owners)));
    }
    return ranges;
}

const Range& rangeAt(const std::vector<Range>& ranges, SlotId slot)
{
    return *std::find_if(
        ranges.begin(), ranges.end(), [&](const Range& it) { return it.first <= slot && slot <= it.last; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ranges)

RC_BOOST_PROP(assignmentsCoverEverySlotOnceAndHitOnlyTheirSlots, ())
{
    auto ranges = randomRanges(*rc::gen::inRange(1, 12));
    const auto before = ranges;
    const auto a = *rc::gen::inRange(0u, kKeySlots), b = *rc::gen::inRange(0u, kKeySlots);
    const SlotId first { std::min(a, b) }, last { std::max(a, b) };
    assign(ranges, first, last, instance(99));
    RC_ASSERT(coversEverySlot(ranges));
    const SlotId probe { *rc::gen::inRange(0u, kKeySlots) };
    const bool inside = first <= probe && probe <= last;
    RC_ASSERT(rangeAt(ranges, probe).owner == (inside ? instance(99) : rangeAt(before, probe).owner));
}

RC_BOOST_PROP(everyEarlierOwnerStaysListedUntilItIsCleared, ())
{
    auto ranges = randomRanges(6);
    const SlotId probe { *rc::gen::inRange(0u, kKeySlots) };
    const InstanceId owner = rangeAt(ranges, probe).owner;
    assign(ranges, probe, probe, instance(50));
    assign(ranges, probe, probe, instance(51));
    const auto& previous = rangeAt(ranges, probe).previous;
    RC_ASSERT(std::count(previous.begin(), previous.end(), owner) == 1);
    RC_ASSERT(std::count(previous.begin(), previous.end(), instance(50)) == 1);
    RC_ASSERT(std::count(previous.begin(), previous.end(), instance(51)) == 0);
}

RC_BOOST_PROP(aTableSurvivesItsText, ())
{
    RangeTable table { "host#1/2", Millis(2500), { { "host#0/7", Millis(5) } }, randomRanges(5),
        { *rc::gen::inRange<std::uint64_t>(0, 9) }, Millis(*rc::gen::inRange(0, 9000)) };
    const StoreRevision revision { *rc::gen::inRange<std::uint64_t>(1, 1000000) };
    const auto decoded = decodeRangeTable(encode(table), revision);
    RC_ASSERT(decoded.has_value());
    for (auto& it : table.ranges) {
        if (it.fence == kFenceOfThisWrite)
            it.fence = revisionOf(table, revision);
    }
    RC_ASSERT(*decoded == table);
}

BOOST_AUTO_TEST_CASE(malformedTablesAreRejected)
{
    BOOST_TEST(!decodeRangeTable("", {}));
    BOOST_TEST(!decodeRangeTable("[]", {}));
    BOOST_TEST(!decodeRangeTable(R"({"writer":"a","hold_ms":1,"previous_writers":[],"ranges":[]})", {}));
    BOOST_TEST(!decodeRangeTable(
        R"({"writer":"a","hold_ms":1,"previous_writers":[],"ranges":[{"first":0,"last":7,"owner":["u",1],"fence":1}]})",
        {}));
}

RC_BOOST_PROP(changesTurnTheEarlierTableIntoTheLater, ())
{
    const RangeTable before { "host#0/7", Millis(2500), {}, randomRanges(5) };
    RangeTable later { "host#1/1", Millis(3000), { { "host#0/7", Millis(5) } }, before.ranges };
    auto& now = later.ranges;
    for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
        const auto a = *rc::gen::inRange(0u, kKeySlots), b = *rc::gen::inRange(0u, kKeySlots);
        assign(now, { std::min(a, b) }, { std::max(a, b) }, instance(*rc::gen::inRange(0, 9)));
    }
    if (*rc::gen::arbitrary<bool>())
        joinNeighbours(now);
    RC_ASSERT(applyChanges(before, changesBetween(before.ranges, later)) == later);
}

RC_BOOST_PROP(joiningChangesNoSlot, ())
{
    const auto before = randomRanges(4);
    auto joined = before;
    joinNeighbours(joined);
    RC_ASSERT(coversEverySlot(joined));
    RC_ASSERT(joined.size() <= before.size());
    const SlotId probe { *rc::gen::inRange(0u, kKeySlots) };
    const auto &a = rangeAt(before, probe), &b = rangeAt(joined, probe);
    RC_ASSERT(a.owner == b.owner && a.fence == b.fence && a.previous == b.previous);
}

RC_BOOST_PROP(planLeavesNothingWithUpstreamsThatLeft, ())
{
    const int n = *rc::gen::inRange(2, 12);
    auto ranges = randomRanges(n);
    auto owners = ownersUpTo(n);
    owners.erase(owners.begin() + *rc::gen::inRange(0, n));
    SlotLoads loads;
    for (int it = 0; it < 30; ++it)
        loads[*rc::gen::inRange(0u, kKeySlots)] += 1;
    for (const auto& it : planMoves(ranges, owners, loads, {}, {}))
        assign(ranges, it.first, it.last, it.to);
    RC_ASSERT(coversEverySlot(ranges));
    for (const auto& it : ranges)
        RC_ASSERT(std::any_of(owners.begin(), owners.end(), [&](const auto& o) { return o.id == it.owner; }));
}

BOOST_AUTO_TEST_CASE(adjacentHotSlotsAreSpreadOverUpstreams)
{
    const auto owners = ownersUpTo(10);
    auto ranges = evenRanges(owners);
    SlotLoads loads;
    for (std::uint32_t slot = 1000; slot < 1060; ++slot)
        loads[slot] = 0.7; // 42 requests/s, the capacity of about four upstreams
    for (int round = 0; round < 20; ++round) {
        for (const auto& it : planMoves(ranges, owners, loads, {}, {}))
            assign(ranges, it.first, it.last, it.to);
        for (auto& it : ranges)
            it.previous.clear();
    }
    std::map<InstanceId, double> load;
    for (const auto& [slot, rate] : loads)
        load[rangeAt(ranges, { slot }).owner] += rate;
    for (const auto& [owner, rate] : load)
        BOOST_TEST(rate <= 10); // an upstream's capacity
}

// Load by owner after the moves of one plan.
std::map<InstanceId, double> loadAfterOnePlan(const SlotLoads& loads, int owners, unsigned maxMoves)
{
    BalancePolicy policy;
    policy.maxMoves = maxMoves;
    auto ranges = evenRanges(ownersUpTo(owners));
    for (const auto& it : planMoves(ranges, ownersUpTo(owners), loads, {}, policy))
        assign(ranges, it.first, it.last, it.to);
    std::map<InstanceId, double> load;
    for (const auto& [slot, rate] : loads)
        load[rangeAt(ranges, { slot }).owner] += rate;
    return load;
}

BOOST_AUTO_TEST_CASE(onePlanCutsAHotRunIntoAsManyPiecesAsNecessary)
{
    SlotLoads loads;
    for (std::uint32_t slot = 1000; slot < 1200; ++slot)
        loads[slot] = 1; // 200 requests/s, the capacity of twenty upstreams
    for (const auto& [owner, rate] : loadAfterOnePlan(loads, 100, 60))
        BOOST_TEST(rate <= 10); // an upstream's capacity
}

BOOST_AUTO_TEST_CASE(fixedRangesOfTheBusiestUpstreamDoNotBlockOtherMoves)
{
    const auto owners = ownersUpTo(10);
    const auto ranges = evenRanges(owners);
    SlotLoads loads;
    loads[ranges[0].first.value] = 40;
    for (std::uint32_t n = 0; n < 20; ++n)
        loads[ranges[1].first.value + n] = 1;
    const auto moves = planMoves(ranges, owners, loads, { ranges[0].first.value }, {});
    BOOST_TEST(!moves.empty());
    for (const auto& it : moves)
        BOOST_TEST((ranges[1].first <= it.first && it.last <= ranges[1].last));
}

BOOST_AUTO_TEST_CASE(slotsNextToOneHotSlotMoveToOtherUpstreams)
{
    SlotLoads loads { { 1000, 30.0 } };
    for (std::uint32_t slot = 1001; slot < 1020; ++slot)
        loads[slot] = 0.5;
    const auto load = loadAfterOnePlan(loads, 20, 20);
    BOOST_TEST(load.size() > 1u);
    // An upstream's capacity is 10. Only the owner of the hot slot may exceed it, and must then own no other loaded
    // slot.
    for (const auto& [owner, rate] : load)
        BOOST_TEST((rate <= 10 || rate == 30));
}

BOOST_AUTO_TEST_CASE(newUpstreamIsAssignedSlots)
{
    auto ranges = evenRanges(ownersUpTo(4));
    const auto moves = planMoves(ranges, ownersUpTo(5), { { 5, 1.0 }, { 40000, 1.0 } }, {}, {});
    BOOST_TEST(std::any_of(moves.begin(), moves.end(), [](const Move& it) { return it.to == instance(4); }));
}

BOOST_AUTO_TEST_CASE(afterAnAnsweredReleaseOnlyUnansweredGrantsCount)
{
    GrantLedger ledger;
    const Millis ttl { 5000 };
    recordSent(ledger, 1, instance(1), { 0 }, { 99 });
    BOOST_TEST(!mayHoldUntil(ledger, instance(1).name, { 0 }, { 9 }, Counted::unansweredOnly).has_value());
    recordAnswered(ledger, 1, Millis(1000), ttl);
    BOOST_TEST((
        mayHoldUntil(ledger, instance(1).name, { 0 }, { 9 }, Counted::everyGrant) == Millis(1000) + longestGrant(ttl)));
    BOOST_TEST((mayHoldUntil(ledger, instance(1).name, { 0 }, { 9 }, Counted::unansweredOnly) == Millis(0)));
    recordSent(ledger, 2, instance(1), { 5 }, { 20 });
    recordUnanswered(ledger, 2, Millis(2000), ttl);
    BOOST_TEST((mayHoldUntil(ledger, instance(1).name, { 9 }, { 9 }, Counted::unansweredOnly)
        == Millis(2000) + longestGrant(ttl)));
    BOOST_TEST((mayHoldUntil(ledger, instance(1).name, { 50 }, { 60 }, Counted::unansweredOnly) == Millis(0)));
    BOOST_TEST((mayHoldUntil(ledger, instance(2).name, { 9 }, { 9 }, Counted::everyGrant) == Millis(0)));
}

// Guards against a grant that is not counted because the upstream's process that took it had started again unseen.
BOOST_AUTO_TEST_CASE(grantsToAnEarlierProcessCountForTheUpstreamsName)
{
    const Millis ttl { 5000 };
    const InstanceId before = instance(1), after { before.name, { before.startTime.value + 1 } };
    GrantLedger ledger;
    recordSent(ledger, 1, before, { 0 }, { 99 });
    recordAnswered(ledger, 1, Millis(1000), ttl);
    recordSent(ledger, 2, after, { 0 }, { 49 });
    recordAnswered(ledger, 2, Millis(2000), ttl);
    BOOST_TEST(
        (mayHoldUntil(ledger, after.name, { 60 }, { 70 }, Counted::everyGrant) == Millis(1000) + longestGrant(ttl)));
    BOOST_TEST(
        (mayHoldUntil(ledger, before.name, { 0 }, { 9 }, Counted::everyGrant) == Millis(2000) + longestGrant(ttl)));
    BOOST_TEST(isLaterProcess(after, before));
    BOOST_TEST(!isLaterProcess(before, after));
    BOOST_TEST(!isLaterProcess(before, before));
    BOOST_TEST(!isLaterProcess(instance(2), before));
}

BOOST_AUTO_TEST_CASE(longestGrantCoversAClockThatRunsTwoPercentSlow)
{
    for (const Millis ttl : { Millis(500), Millis(5000), Millis(10000) })
        BOOST_TEST((longestGrant(ttl).count() * 98 > ttl.count() * 100));
}

BOOST_AUTO_TEST_CASE(ordersNotAppliedAndExpiredRecordsAreRemoved)
{
    GrantLedger ledger;
    recordSent(ledger, 1, instance(1), { 0 }, { 9 });
    recordNotApplied(ledger, 1);
    BOOST_TEST(recordCount(ledger) == 0u);
    recordSent(ledger, 2, instance(1), { 0 }, { 9 });
    recordUnanswered(ledger, 2, Millis(0), Millis(1000));
    removeExpired(ledger, Millis(900));
    BOOST_TEST(recordCount(ledger) == 1u);
    removeExpired(ledger, longestGrant(Millis(1000)));
    BOOST_TEST(recordCount(ledger) == 0u);
}

// Guards against slots that move to an upstream which does not answer, as long as another one does.
RC_BOOST_PROP(movesGoOnlyToOwnersThatMayReceive, ())
{
    const int n = *rc::gen::inRange(2, 12);
    const auto ranges = randomRanges(n);
    auto owners = ownersUpTo(n);
    owners.erase(owners.begin() + *rc::gen::inRange(0, n)); // its ranges need a new owner
    for (auto& it : owners)
        it.mayReceive = *rc::gen::inRange(0, 2) == 1;
    owners.front().mayReceive = true;
    SlotLoads loads;
    for (int it = 0; it < 20; ++it)
        loads[*rc::gen::inRange(0u, kKeySlots)] = *rc::gen::inRange(1, 10);
    for (const auto& move : planMoves(ranges, owners, loads, {}, {})) {
        const auto target
            = std::find_if(owners.begin(), owners.end(), [&](const auto& it) { return it.id == move.to; });
        RC_ASSERT(target != owners.end());
        RC_ASSERT(target->mayReceive);
    }
}

// Guards against slots that are taken from their owner for an upstream that does not answer.
BOOST_AUTO_TEST_CASE(movesToUpstreamsThatHaveNotJustAnsweredAreHeldBack)
{
    const Move toSilent { { 0 }, { 9 }, instance(0) }, toAnswering { { 10 }, { 19 }, instance(1) };
    Targets targets;
    std::vector<Move> moves { toSilent, toAnswering };
    BOOST_TEST(holdBack(moves, targets, Millis(0)).size() == 2u);
    BOOST_TEST(moves.empty());
    noteAsked(targets, instance(0));
    BOOST_TEST(isAsked(targets, instance(0)));
    noteAnswer(targets, instance(0), false, Millis(400));
    BOOST_TEST(!isAsked(targets, instance(0)));
    noteAnswer(targets, instance(1), true, Millis(400));
    moves = { toSilent, toAnswering };
    BOOST_TEST((holdBack(moves, targets, Millis(400) + kMaxAnswerAge) == std::vector<Move> { toSilent }));
    BOOST_TEST((moves == std::vector<Move> { toAnswering }));
    BOOST_TEST(holdBack(moves, targets, Millis(401) + kMaxAnswerAge).size() == 1u);
    BOOST_TEST(isSilent(targets, instance(0), Millis(399) + kSilenceMemory));
    BOOST_TEST(!isSilent(targets, instance(1), Millis(401)));
    noteAnswer(targets, instance(0), true, Millis(500));
    BOOST_TEST(!isSilent(targets, instance(0), Millis(500)));
    forgetOldAnswers(targets, Millis(501) + kMaxAnswerAge);
    BOOST_TEST(targets.empty());
}

BOOST_AUTO_TEST_SUITE_END()
