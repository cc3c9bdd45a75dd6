#include "ranges/owner_speeds.h"
#include "ranges/planner.h"
#include "requests/slot_share.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <functional>
#include <random>

using namespace pistachiospur;

namespace {

InstanceId upstream(std::size_t n) { return { "u" + std::to_string(n), { 1 } }; }

std::vector<OwnerCapacity> ownersOf(const std::vector<double>& capacities)
{
    std::vector<OwnerCapacity> owners;
    for (std::size_t n = 0; n < capacities.size(); ++n)
        owners.push_back({ upstream(n), capacities[n] });
    return owners;
}

// Sixty owners of three speeds.
std::vector<OwnerCapacity> unevenOwners()
{
    std::vector<double> capacities;
    for (int n = 0; n < 20; ++n)
        capacities.insert(capacities.end(), { 10.0 / 1.6, 10.0, 10.0 / 0.6 });
    return ownersOf(capacities);
}

// 170 requests a second, of which a tenth goes to a run of slots that lie together.
SlotLoads quietLoads()
{
    SlotLoads loads;
    for (std::uint32_t slot = 0; slot < kKeySlots; slot += 64)
        loads[slot] = 150.0 * 64 / kKeySlots;
    for (std::uint32_t slot = 5600; slot < 6400; slot += 20)
        loads[slot] += 0.5;
    return loads;
}

// The load of a service over time, and what became of its requests under one planner.
using LoadAt = std::function<SlotLoads(double seconds)>;
constexpr double kMovedInADay = 0.3; // of all slots, at most
struct Day {
    double unserved = 0; // requests beyond what their owner could run
    double ownerless = 0; // requests for slots that were just moving
    double movedSlots = 0; // as a part of all slots
    std::map<std::uint32_t, unsigned> movesOfSlot; // of the slots asked for
    double served = 0;
};

double lost(const Day& day) { return day.unserved + day.ownerless; }

using Planner
    = std::function<std::vector<Move>(const std::vector<Range>&, const std::set<std::uint32_t>& fixed, Millis)>;

constexpr double kStepSeconds = 0.1;

struct Site {
    std::vector<OwnerCapacity> owners;
    std::vector<Range> ranges;
    std::map<std::uint32_t, Millis> movingUntil; // by the first slot of a range
    std::map<InstanceId, double> queued;
    Day day;
};

// One step's requests: those for a moving range find no owner, the others queue at theirs.
void arrive(Site& site, const SlotLoads& loads, std::mt19937& random, const std::function<void(std::uint32_t)>& count)
{
    RangeTable table;
    table.ranges = site.ranges;
    for (const auto& [slot, load] : loads) {
        const int n = std::poisson_distribution<int>(load * kStepSeconds)(random);
        const Range* range = findRange(table, { slot });
        for (int it = 0; it < n; ++it)
            count(slot);
        (range->previous.empty() ? site.queued[range->owner] : site.day.ownerless) += n;
    }
}

// Owners run what they can and keep 400 ms of work waiting.
void run(Site& site)
{
    for (const auto& it : site.owners) {
        double& queue = site.queued[it.id];
        const double runs = std::min(queue, it.capacity * kStepSeconds), most = it.capacity * 0.4;
        queue -= runs;
        site.day.served += runs;
        site.day.unserved += std::max(0.0, queue - most);
        queue = std::min(queue, most);
    }
}

// Ends the moves that are over. Returns the first slots of the ranges that still move.
std::set<std::uint32_t> endMoves(Site& site, Millis now)
{
    std::set<std::uint32_t> fixed;
    for (auto& it : site.ranges) {
        const auto moving = site.movingUntil.find(it.first.value);
        if (moving != site.movingUntil.end() && now >= moving->second)
            it.previous.clear();
        if (!it.previous.empty())
            fixed.insert(it.first.value);
    }
    joinNeighbours(site.ranges);
    return fixed;
}

// A run that moves has no owner for 300 ms.
void move(Site& site, const std::vector<Move>& moves, const SlotLoads& loads, Millis now)
{
    const auto before = endMoves(site, now);
    for (const auto& it : moves) {
        site.day.movedSlots += static_cast<double>(it.last.value - it.first.value + 1) / kKeySlots;
        for (const auto& [slot, load] : loads)
            site.day.movesOfSlot[slot] += it.first.value <= slot && slot <= it.last.value;
        assign(site.ranges, it.first, it.last, it.to);
    }
    for (const auto& it : site.ranges) {
        if (!it.previous.empty() && !before.count(it.first.value))
            site.movingUntil[it.first.value] = now + Millis(300);
    }
}

// Plays 30 s in steps of 100 ms, with a plan in every third. The same arrivals are drawn for every planner.
Day play(const LoadAt& loadAt, const std::vector<OwnerCapacity>& owners,
    const std::function<void(std::uint32_t)>& count, const Planner& plan)
{
    std::mt19937 random(7);
    Site site { owners, evenRanges(owners), {}, {}, {} };
    for (Millis now { 0 }; now < Millis(30000); now += Millis(100)) {
        const SlotLoads loads = loadAt(static_cast<double>(now.count()) / 1000);
        arrive(site, loads, random, count);
        run(site);
        const auto fixed = endMoves(site, now);
        if (now.count() % 300 == 0)
            move(site, plan(site.ranges, fixed, now), loads, now);
    }
    return site.day;
}

BalancePolicy policyFor(const std::vector<OwnerCapacity>& owners)
{
    BalancePolicy policy;
    policy.maxMoves = std::max(policy.maxMoves, static_cast<unsigned>(owners.size() / 10));
    return policy;
}

// The planner before: balances the loads of the last 1.5 s by utilization alone.
Day playUnjudged(const LoadAt& loadAt, const std::vector<OwnerCapacity>& owners)
{
    SlotRates rates;
    return play(
        loadAt, owners, [&](std::uint32_t slot) { countRequests(rates, slot, 1); },
        [&](const auto& ranges, const auto& fixed, Millis now) {
            decay(rates, now);
            return planMoves(ranges, owners, recentLoads(rates), fixed, policyFor(owners));
        });
}

Day playJudged(const LoadAt& loadAt, const std::vector<OwnerCapacity>& owners)
{
    PlanMemory memory;
    return play(
        loadAt, owners, [&](std::uint32_t slot) { countRequests(memory.rates, slot, 1); },
        [&](const auto& ranges, const auto& fixed, Millis now) {
            decay(memory.rates, now);
            auto moves = planNextMoves(memory, ranges, owners, fixed, policyFor(owners), {}, now);
            auto next = ranges;
            for (const auto& it : moves) {
                noteMove(memory.history, next, it.first, it.last, now);
                assign(next, it.first, it.last, it.to);
            }
            return moves;
        });
}

void report(const char* load, const Day& before, const Day& after)
{
    BOOST_TEST_MESSAGE(load << ": moved " << before.movedSlots << " to " << after.movedSlots << ", ownerless "
                            << before.ownerless << " to " << after.ownerless << ", unserved " << before.unserved
                            << " to " << after.unserved << ", served " << before.served << " to " << after.served);
}

void checkMovesLessAndLosesLess(const Day& before, const Day& after)
{
    BOOST_TEST(after.movedSlots < kMovedInADay);
    BOOST_TEST(before.movedSlots > kMovedInADay);
    BOOST_TEST(after.ownerless < before.ownerless);
    BOOST_TEST(lost(after) < lost(before));
}

} // namespace

BOOST_AUTO_TEST_SUITE(HotSlotPlans)

BOOST_AUTO_TEST_CASE(twoSlotsBeyondAnyOwnersRoomMoveOnceAndNothingElseMovesForThem)
{
    const auto owners = unevenOwners();
    const LoadAt load = [](double t) {
        auto loads = quietLoads();
        if (t >= 5 && t < 25)
            loads[27900] = loads[40001] = 100;
        return loads;
    };
    const Day before = playUnjudged(load, owners);
    Day after = playJudged(load, owners);
    report("two hot slots", before, after);
    BOOST_TEST(after.movesOfSlot[27900] <= 1u);
    BOOST_TEST(after.movesOfSlot[40001] <= 1u);
    checkMovesLessAndLosesLess(before, after);
}

BOOST_AUTO_TEST_CASE(aRunOfBusySlotsIsSpreadSoonAfterTheFirstTable)
{
    const auto owners = unevenOwners();
    const LoadAt load = [](double) {
        auto loads = quietLoads();
        for (std::uint32_t slot = 5600; slot < 6400; slot += 20)
            loads[slot] += 1; // 40 requests a second more, the room of four owners
        return loads;
    };
    const Day before = playUnjudged(load, owners);
    const Day after = playJudged(load, owners);
    report("a run of busy slots", before, after);
    checkMovesLessAndLosesLess(before, after);
}

BOOST_AUTO_TEST_CASE(hotSlotsThatChangeEveryFewSecondsMoveNoSlotTwice)
{
    const auto owners = unevenOwners();
    const LoadAt load = [](double t) {
        auto loads = quietLoads();
        loads[static_cast<std::uint32_t>(t / 4.5) * 9173 % kKeySlots] += 80;
        return loads;
    };
    const Day before = playUnjudged(load, owners);
    const Day after = playJudged(load, owners);
    report("hot slots that change", before, after);
    checkMovesLessAndLosesLess(before, after);
}

BOOST_AUTO_TEST_CASE(loadsThatAreGoneWithinASecondAreNotChased)
{
    const auto owners = unevenOwners();
    const LoadAt load = [](double t) {
        auto loads = quietLoads();
        const double phase = std::fmod(t, 5);
        if (t >= 5 && phase < 0.8) {
            for (std::uint32_t n = 0; n < 20; ++n)
                loads[static_cast<std::uint32_t>(t / 5) * 9173 % kKeySlots + n * 10] += 1.5;
        }
        return loads;
    };
    const Day calm = playJudged([](double) { return quietLoads(); }, owners);
    const Day before = playUnjudged(load, owners);
    const Day after = playJudged(load, owners);
    report("loads that are soon gone", before, after);
    BOOST_TEST(after.movedSlots <= calm.movedSlots + kMovedInADay / 10);
    BOOST_TEST(before.movedSlots > kMovedInADay);
}

BOOST_AUTO_TEST_CASE(slowOwnersOfAnEvenLoadGiveToFastOnes)
{
    const auto owners = unevenOwners();
    const LoadAt load = [](double) {
        SlotLoads loads;
        for (std::uint32_t slot = 0; slot < kKeySlots; slot += 64)
            loads[slot] = 390.0 * 64 / kKeySlots; // 6.5 for each owner; the slow ones run 6.25
        return loads;
    };
    const Day before = playUnjudged(load, owners);
    const Day after = playJudged(load, owners);
    report("slow owners", before, after);
    BOOST_TEST(after.movedSlots < before.movedSlots);
    BOOST_TEST(lost(after) < lost(before));
}

BOOST_AUTO_TEST_CASE(aNewUpstreamGetsSlotsUnderAJudgedPlan)
{
    const auto owners = ownersOf({ 10, 10, 10, 10, 10 });
    PlanMemory memory;
    for (std::uint32_t slot = 0; slot < kKeySlots; slot += 64)
        countRequests(memory.rates, slot, 0.01);
    const auto moves
        = planNextMoves(memory, evenRanges(ownersOf({ 10, 10, 10, 10 })), owners, {}, {}, {}, Millis(1000));
    BOOST_TEST(std::any_of(moves.begin(), moves.end(), [](const Move& it) { return it.to == upstream(4); }));
}

// Guards against a busy run that moves whole on its first requests and then overloads its next owner.
BOOST_AUTO_TEST_CASE(firstRequestsOfABusyRunMoveNothingAndItsNextOwnerIsRelievedLater)
{
    const auto owners = ownersOf({ 10, 10, 10, 10 });
    const auto ranges = evenRanges(owners);
    PlanMemory memory;
    const auto countRun = [&] {
        for (std::uint32_t slot = 100; slot < 112; ++slot)
            countRequests(memory.rates, slot, 1);
    };
    countRun();
    BOOST_TEST(planNextMoves(memory, ranges, owners, {}, {}, {}, Millis(0)).empty());
    noteMove(memory.history, ranges, { 100 }, { 111 }, Millis(0));
    for (Millis now { 0 }; now < Millis(4000); now += Millis(500)) {
        decay(memory.rates, now);
        countRun();
    }
    BOOST_TEST(!planNextMoves(memory, ranges, owners, {}, {}, {}, Millis(4000)).empty());
}

// Guards against plans that move a run back, or again within the dwell time, whatever the loads do.
RC_BOOST_PROP(noPlanUndoesAnEarlierOneOrMovesARunAgainTooSoon, ())
{
    const auto owners = ownersOf(std::vector<double>(*rc::gen::inRange<std::size_t>(2, 10), 10));
    auto ranges = evenRanges(owners);
    PlanMemory memory;
    const JudgePolicy policy;
    for (int round = 0; round < 12; ++round) {
        const Millis now(round * 1000);
        const auto first = *rc::gen::inRange(0u, kKeySlots - 100);
        for (std::uint32_t n = 0; n < 100; n += *rc::gen::inRange(1u, 100u))
            countRequests(memory.rates, first + n, *rc::gen::inRange(0, 40));
        decay(memory.rates, now);
        for (const auto& it : planNextMoves(memory, ranges, owners, {}, {}, policy, now)) {
            RC_ASSERT(!undoesMove(memory.history, it.first, it.last, it.to));
            const bool isIsolation = it.first == it.last && memory.hot.count(it.first.value) > 0;
            RC_ASSERT(isIsolation || !dwells(memory.history, policy, it.first, it.last, now));
            noteMove(memory.history, ranges, it.first, it.last, now);
            assign(ranges, it.first, it.last, it.to);
        }
        RC_ASSERT(coversEverySlot(ranges));
        for (auto& it : ranges)
            it.previous.clear();
    }
}

BOOST_AUTO_TEST_CASE(judgedPlanLeavesNothingWithAnUpstreamThatLeftEvenWithinTheDwellTime)
{
    auto owners = ownersOf({ 10, 10, 10 });
    auto ranges = evenRanges(owners);
    PlanMemory memory;
    countRequests(memory.rates, 100, 200);
    noteMove(memory.history, ranges, { 0 }, { kKeySlots - 1 }, Millis(0));
    owners.pop_back();
    for (const auto& it : planNextMoves(memory, ranges, owners, {}, {}, {}, Millis(100)))
        assign(ranges, it.first, it.last, it.to);
    BOOST_TEST(std::none_of(ranges.begin(), ranges.end(), [](const Range& it) { return it.owner == upstream(2); }));
}

BOOST_AUTO_TEST_CASE(aReportedRunTimeMovesTheMeanByAPart)
{
    OwnerSpeeds speeds;
    BOOST_TEST(runMsOf(speeds, upstream(0)) > 0);
    noteRunTime(speeds, upstream(0), 100);
    noteRunTime(speeds, upstream(0), 200);
    BOOST_TEST(runMsOf(speeds, upstream(0)) < 150);
    noteRunTime(speeds, upstream(1), 300);
    BOOST_TEST(runMsOf(speeds, upstream(2)) > 200); // of which nothing is known
}

BOOST_AUTO_TEST_CASE(neighboursOfAHotSlotWaitBehindAFewOfItsRequestsOnly)
{
    const SlotId hot { 7 }, neighbour { 8 };
    const Millis target { 600 };
    SlotArrivals arrivals;
    noteArrival(arrivals, neighbour, Millis(1000));
    noteArrival(arrivals, hot, Millis(1100));
    SlotQueue queue { 0, 0, 2, 200 };
    while (mayWait(queue, arrivals, hot, target, Millis(1100)))
        ++queue.ofSlot;
    // Of the four starts within the target latency, half are left to others.
    BOOST_TEST(queue.ofSlot == 2u);
    BOOST_TEST(mayWait({ 0, queue.ofSlot, 2, 200 }, arrivals, neighbour, target, Millis(1200)));
    // Nobody asks for another slot any more: the hot slot may use the whole upstream.
    BOOST_TEST(mayWait({ 30, 0, 2, 200 }, arrivals, hot, target, Millis(3100)));
    BOOST_TEST(!mayWait({ 30, 1, 2, 200 }, arrivals, hot, target, Millis(3100)));
}

BOOST_AUTO_TEST_SUITE_END()
