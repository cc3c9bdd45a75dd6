#include "balance.h"

#include <algorithm>
#include <cmath>

namespace pistachiospur {

namespace {

// Requests per second that are assumed over all slots in addition to the counted ones, so that slots without counts are
// spread as well.
constexpr double kBaseLoad = 2;
// Number of pieces into which a range of an upstream that left is divided.
constexpr std::uint32_t kPiecesPerLostRange = 3;
// A move for balance fills its target up to this utilization or the mean of all upstreams, whichever is higher, but not
// beyond the point where source and target are equal.
constexpr double kTargetUtilization = 0.4;
// A quiet range is moved to a neighbour's owner only if that owner's utilization does not exceed this afterwards.
constexpr double kMaxUtilizationAfterJoin = 0.7;
// A judged move fills its target up to this utilization or the mean of all, whichever is higher.
constexpr double kJudgedUtilization = 0.5;
// Loads measured over less than this, in seconds, move nothing for balance: a run of which only the first requests have
// been counted would move whole, and overload its next owner.
constexpr double kMinWindow = 1.5;
// After so many judged moves that gain nothing, a source has nothing to give.
constexpr unsigned kMaxRejections = 4;

double loadBetween(const SlotLoads& loads, SlotId first, SlotId last)
{
    double sum = kBaseLoad * (last.value - first.value + 1) / kKeySlots;
    for (auto it = loads.lower_bound(first.value); it != loads.end() && it->first <= last.value; ++it)
        sum += it->second;
    return sum;
}

std::uint32_t slotsBetween(SlotId first, SlotId last) { return last.value - first.value + 1; }

// The first slot at which the load summed up from `first` reaches the wanted load; at most `last`.
SlotId slotAtLoad(const SlotLoads& loads, SlotId first, SlotId last, double wantedLoad)
{
    double sum = 0;
    std::uint32_t at = first.value;
    const double perSlot = kBaseLoad / kKeySlots;
    for (auto it = loads.lower_bound(first.value); it != loads.end() && it->first <= last.value; ++it) {
        const double uncounted = perSlot * (it->first - at);
        if (sum + uncounted >= wantedLoad)
            break;
        sum += uncounted + it->second;
        at = it->first;
        if (sum >= wantedLoad)
            return { at };
    }
    const auto steps = static_cast<std::uint32_t>(std::max(0.0, (wantedLoad - sum) / perSlot));
    return { std::min(last.value, at + std::min(steps, kKeySlots)) };
}

struct OwnerLoad {
    OwnerCapacity owner;
    double load = 0; // without hot slots
    bool canGive = true; // has a range that may move
    double recent = 0; // the load over the recent window; only if there is a judge
    bool hasHotSlot = false; // has no room for others
    double hotSeconds = 0; // for how long it has had a hot slot that stays
    bool isMoving = false; // a range is on its way to it or from it; only if there is a judge

    double utilization() const { return load / owner.capacity; }
    bool receives() const { return owner.mayReceive && !hasHotSlot && !isMoving; }
    OwnerStrain strain() const { return { load, recent, owner.capacity }; }
    double freeRoom() const { return kKneeUtilization * owner.capacity - std::max(load, recent); }
};

using OwnerLoads = std::vector<OwnerLoad>;

OwnerLoad* findOwnerLoad(OwnerLoads& all, const InstanceId& id)
{
    const auto it = std::lower_bound(
        all.begin(), all.end(), id, [](const OwnerLoad& n, const InstanceId& wanted) { return n.owner.id < wanted; });
    return it == all.end() || it->owner.id != id ? nullptr : &*it;
}

// Sorted by owner.
OwnerLoads ownerLoadsOf(const std::vector<Range>& ranges, const std::vector<OwnerCapacity>& owners,
    const SlotLoads& loads, const PlanJudge* judge)
{
    OwnerLoads all;
    for (const auto& it : owners)
        all.push_back({ it, 0 });
    std::sort(all.begin(), all.end(), [](const OwnerLoad& a, const OwnerLoad& b) { return a.owner.id < b.owner.id; });
    for (const auto& range : ranges) {
        OwnerLoad* ownerLoad = findOwnerLoad(all, range.owner);
        for (const auto& it : range.previous) {
            OwnerLoad* previous = judge ? findOwnerLoad(all, it) : nullptr;
            if (previous)
                previous->isMoving = true;
        }
        if (!ownerLoad)
            continue;
        ownerLoad->isMoving |= judge && !range.previous.empty();
        ownerLoad->load += loadBetween(loads, range.first, range.last);
        if (!judge)
            continue;
        ownerLoad->load -= hotLoadBetween(judge->hot, loads, range.first, range.last);
        ownerLoad->recent += loadBetween(judge->recent, range.first, range.last)
            - hotLoadBetween(judge->hot, judge->recent, range.first, range.last);
        const auto hot = judge->hot.lower_bound(range.first.value);
        if (hot == judge->hot.end() || hot->first > range.last.value)
            continue;
        ownerLoad->hasHotSlot = true;
        if (hot->second.settled)
            ownerLoad->hotSeconds = static_cast<double>((judge->now - hot->second.since).count()) / 1000;
    }
    return all;
}

bool isLessUtilized(const OwnerLoad& a, const OwnerLoad& b)
{
    return std::tuple(a.utilization(), a.owner.id) < std::tuple(b.utilization(), b.owner.id);
}

// Order by suitability as the target of a move: those that may receive slots come first, the least utilized before.
bool isBetterTarget(const OwnerLoad& a, const OwnerLoad& b)
{
    if (a.owner.mayReceive != b.owner.mayReceive)
        return a.owner.mayReceive;
    return a.receives() != b.receives() ? a.receives() : isLessUtilized(a, b);
}

// Order by suitability as the source of a move: more utilized owners are better; those that cannot give are the worst.
bool isWorseSource(const OwnerLoad& a, const OwnerLoad& b)
{
    return a.canGive != b.canGive ? b.canGive : isLessUtilized(a, b);
}

double meanUtilization(const OwnerLoads& all)
{
    double load = 0, capacity = 0;
    for (const auto& it : all) {
        load += it.load;
        capacity += it.owner.capacity;
    }
    return load / capacity;
}

void assignToLeastUtilized(OwnerLoads& all, std::vector<Move>& moves, const SlotLoads& loads, SlotId first, SlotId last)
{
    auto& target = *std::min_element(all.begin(), all.end(), isBetterTarget);
    target.load += loadBetween(loads, first, last);
    moves.push_back({ first, last, target.owner.id });
}

// Reassigns a range of an upstream that left, in pieces of about equal load.
void redistribute(
    OwnerLoads& all, std::vector<Move>& moves, const SlotLoads& loads, const Range& range, std::uint32_t pieces)
{
    const double pieceLoad = loadBetween(loads, range.first, range.last) / pieces;
    SlotId first = range.first;
    for (std::uint32_t n = 1; n < pieces && first < range.last; ++n) {
        const SlotId last = slotAtLoad(loads, first, { range.last.value - 1 }, pieceLoad);
        assignToLeastUtilized(all, moves, loads, first, last);
        first = last.next();
    }
    assignToLeastUtilized(all, moves, loads, first, range.last);
}

// The part of a range that the plan may still move. Its start advances past slots that were moved or that must stay.
struct MovableRange {
    SlotId first;
    SlotId last;
    InstanceId owner;
    double load = 0;
};

std::vector<MovableRange> movableRangesOf(
    const std::vector<Range>& ranges, const SlotLoads& loads, const std::set<std::uint32_t>& fixed)
{
    std::vector<MovableRange> movableRanges;
    for (const auto& it : ranges) {
        if (it.previous.empty() && !fixed.count(it.first.value))
            movableRanges.push_back({ it.first, it.last, it.owner, loadBetween(loads, it.first, it.last) });
    }
    return movableRanges;
}

MovableRange* busiestRangeOf(std::vector<MovableRange>& movableRanges, const InstanceId& owner)
{
    MovableRange* busiest = nullptr;
    for (auto& it : movableRanges) {
        if (it.owner == owner && it.first <= it.last && (!busiest || it.load > busiest->load))
            busiest = &it;
    }
    return busiest;
}

// Cuts a run of slots off the start of a range of the source, sized to bring source and target towards the given
// utilization. Returns nothing if the move would leave the target more utilized than the source is now, as with a
// single hot slot. The run then stays with the source, and the slots after it may still move.
std::optional<Move> cutMove(
    MovableRange& movable, OwnerLoad& source, OwnerLoad& target, const SlotLoads& loads, double utilization)
{
    const double surplus = source.load - utilization * source.owner.capacity;
    const double room = utilization * target.owner.capacity - target.load;
    const double wanted = std::min(surplus, room);
    const SlotId last = movable.load <= wanted ? movable.last : slotAtLoad(loads, movable.first, movable.last, wanted);
    const double moved = loadBetween(loads, movable.first, last);
    const bool reducesGap = (target.load + moved) / target.owner.capacity < source.utilization();
    const Move move { movable.first, last, target.owner.id };
    movable.first = last.next();
    movable.load -= moved;
    if (!reducesGap)
        return std::nullopt;
    source.load -= moved;
    target.load += moved;
    return move;
}

// Moves slots from the most to the least utilized upstreams. A hot run of slots is cut into as many pieces as
// necessary.
void balance(OwnerLoads& all, std::vector<Move>& moves, std::vector<MovableRange> movableRanges, const SlotLoads& loads,
    const BalancePolicy& policy)
{
    const double mean = meanUtilization(all);
    std::size_t triesLeft = 2 * policy.maxMoves;
    const std::size_t maxMoves = moves.size() + policy.maxMoves;
    while (moves.size() < maxMoves && triesLeft-- > 0) {
        auto& source = *std::max_element(all.begin(), all.end(), isWorseSource);
        auto& target = *std::min_element(all.begin(), all.end(), isBetterTarget);
        if (!target.owner.mayReceive)
            return;
        const bool targetIsIdle = target.load <= 0;
        if (!targetIsIdle && source.utilization() < policy.minSourceUtilization)
            return;
        if (!targetIsIdle && source.utilization() - target.utilization() < policy.minUtilizationGap)
            return;
        if (!source.canGive)
            return;
        MovableRange* movable = busiestRangeOf(movableRanges, source.owner.id);
        if (!movable) {
            source.canGive = false;
            ++triesLeft;
            continue;
        }
        // Only a target that owns no slots has no load, since every slot counts with the base load. It is filled until
        // it equals the source, however low that is. Others are filled at most to the mean or kTargetUtilization,
        // whichever is higher; a lower limit would make the pieces needlessly small.
        const double equal = (source.load + target.load) / (source.owner.capacity + target.owner.capacity);
        const double utilization = targetIsIdle ? equal : std::min(equal, std::max(mean, kTargetUtilization));
        if (const auto move = cutMove(*movable, source, target, loads, utilization))
            moves.push_back(*move);
    }
}

// The parts of ranges that a judged plan may move: without hot slots and runs that were moved lately.
std::vector<MovableRange> movablePartsOf(const std::vector<Range>& ranges, const SlotLoads& loads,
    const std::set<std::uint32_t>& fixed, const PlanJudge& judge)
{
    std::vector<std::pair<SlotId, SlotId>> kept;
    for (const auto& [slot, hot] : judge.hot)
        kept.push_back({ { slot }, { slot } });
    for (const auto& it : judge.history) {
        if (judge.now < it.at + judge.policy.dwell)
            kept.emplace_back(it.first, it.last);
    }
    std::sort(kept.begin(), kept.end());
    std::vector<MovableRange> parts;
    const auto add = [&](SlotId first, SlotId last, const InstanceId& owner) {
        if (first <= last)
            parts.push_back({ first, last, owner, loadBetween(loads, first, last) });
    };
    for (const auto& range : ranges) {
        if (!range.previous.empty() || fixed.count(range.first.value))
            continue;
        SlotId first = range.first;
        for (const auto& [keptFirst, keptLast] : kept) {
            if (keptLast < first || range.last < keptFirst)
                continue;
            if (first < keptFirst)
                add(first, { keptFirst.value - 1 }, range.owner);
            first = keptLast.next();
        }
        add(first, range.last, range.owner);
    }
    return parts;
}

// The last slot at which the load summed up from the end reaches the wanted load; at least `first`.
SlotId slotAtLoadFromEnd(const SlotLoads& loads, SlotId first, SlotId last, double wantedLoad)
{
    std::uint32_t low = first.value, high = last.value;
    while (low < high) {
        const std::uint32_t middle = low + (high - low + 1) / 2;
        if (loadBetween(loads, { middle }, last) >= wantedLoad)
            low = middle;
        else
            high = middle - 1;
    }
    return { low };
}

// The part of a part's end that has the wanted load, of the end where that is on fewer slots.
MovableRange endOf(const MovableRange& part, const SlotLoads& loads, double wanted)
{
    MovableRange cut = part;
    if (part.load <= wanted)
        return cut;
    const SlotId end = slotAtLoad(loads, part.first, part.last, wanted);
    const SlotId start = slotAtLoadFromEnd(loads, part.first, part.last, wanted);
    if (slotsBetween(part.first, end) <= slotsBetween(start, part.last))
        cut.last = end;
    else
        cut.first = start;
    cut.load = loadBetween(loads, cut.first, cut.last);
    return cut;
}

// Requests served more if a load moves. Beside a hot slot everything that moves makes room for as much of it, for as
// long as it may be expected to go on: as long as it has.
double gainOfMove(const JudgePolicy& policy, const OwnerLoad& source, const OwnerLoad& target, const MovedLoad& moved)
{
    if (source.hotSeconds <= 0)
        return gainOf(policy, source.strain(), target.strain(), moved);
    JudgePolicy untilCool = policy;
    untilCool.horizonSeconds = std::min(policy.horizonSeconds, source.hotSeconds);
    OwnerStrain full = source.strain();
    full.lasting += full.capacity;
    full.recent += full.capacity;
    return gainOf(untilCool, full, target.strain(), moved);
}

// Takes a run off an end of a part. Returns nothing if its move gains too little or would undo an earlier one. The run
// then stays, and the rest of the part may still move.
std::optional<Move> cutJudgedMove(MovableRange& part, OwnerLoad& source, OwnerLoad& target, const SlotLoads& loads,
    double utilization, const PlanJudge& judge)
{
    const double kept = source.hotSeconds > 0 ? 0 : utilization * source.owner.capacity;
    const double wanted = std::min(source.load - kept, utilization * target.owner.capacity - target.load);
    const MovableRange cut = endOf(part, loads, wanted);
    const MovedLoad moved { cut.load, loadBetween(judge.recent, cut.first, cut.last),
        slotsBetween(cut.first, cut.last) };
    if (cut.first == part.first)
        part.first = cut.last.next();
    else
        part.last = { cut.first.value - 1 };
    part.load -= cut.load;
    const bool gains = target.load <= 0 ? cut.load / target.owner.capacity < source.utilization()
                                        : gainOfMove(judge.policy, source, target, moved) >= judge.policy.minGain;
    if (!gains || undoesMove(judge.history, cut.first, cut.last, target.owner.id))
        return std::nullopt;
    source.load -= moved.lasting;
    source.recent -= moved.recent;
    target.load += moved.lasting;
    target.recent += moved.recent;
    return Move { cut.first, cut.last, target.owner.id };
}

bool hasLessRoom(const OwnerLoad& a, const OwnerLoad& b)
{
    return std::tuple(a.receives(), a.freeRoom(), a.owner.id) < std::tuple(b.receives(), b.freeRoom(), b.owner.id);
}

// Moves slots off overloaded upstreams to those with the most room, and to those that own nothing, as far as each move
// gains.
void balanceJudged(OwnerLoads& all, std::vector<Move>& moves, std::vector<MovableRange> parts, const SlotLoads& loads,
    const BalancePolicy& policy, const PlanJudge& judge)
{
    const double mean = meanUtilization(all);
    const std::size_t maxMoves = moves.size() + policy.maxMoves;
    std::map<InstanceId, unsigned> rejections;
    while (moves.size() < maxMoves) {
        auto& source = *std::max_element(all.begin(), all.end(), isWorseSource);
        auto& leastUtilized = *std::min_element(all.begin(), all.end(), isBetterTarget);
        const bool targetIsIdle = leastUtilized.receives() && leastUtilized.load <= 0;
        auto& target = targetIsIdle ? leastUtilized : *std::max_element(all.begin(), all.end(), hasLessRoom);
        if (!source.canGive || !target.receives() || &source == &target)
            return;
        const bool isOverloaded = source.hotSeconds > 0
            || (judge.window >= kMinWindow
                && leastLoad(source.load, judge.window) > kKneeUtilization * source.owner.capacity);
        MovableRange* part
            = !source.isMoving && (targetIsIdle || isOverloaded) ? busiestRangeOf(parts, source.owner.id) : nullptr;
        if (!part || rejections[source.owner.id] == kMaxRejections) {
            source.canGive = false;
            continue;
        }
        const double equal = (source.load + target.load) / (source.owner.capacity + target.owner.capacity);
        const double utilization = targetIsIdle ? equal : std::min(equal, std::max(mean, kJudgedUtilization));
        if (const auto move = cutJudgedMove(*part, source, target, loads, utilization, judge))
            moves.push_back(*move);
        else
            ++rejections[source.owner.id];
    }
}

const Range& rangeAt(const std::vector<Range>& ranges, SlotId slot)
{
    return *std::lower_bound(
        ranges.begin(), ranges.end(), slot, [](const Range& range, SlotId wanted) { return range.last < wanted; });
}

// Moves each hot slot that is due to the upstream with the most room, alone, if that gains.
void isolateHotSlots(const std::vector<Range>& ranges, OwnerLoads& all, std::vector<Move>& moves,
    const std::set<std::uint32_t>& fixed, const PlanJudge& judge)
{
    for (const auto& [slot, hot] : judge.hot) {
        const SlotId hotSlot { slot };
        const Range& range = rangeAt(ranges, hotSlot);
        OwnerLoad* source = findOwnerLoad(all, range.owner);
        if (!source || source->isMoving || !isDue(hot, judge.now) || fixed.count(range.first.value))
            continue;
        OwnerLoad* best = nullptr;
        double bestGain = judge.policy.minGain;
        for (auto& it : all) {
            const double gain = gainOfIsolation(judge.policy, source->strain(), it.strain());
            if (it.receives() && gain >= bestGain && !undoesMove(judge.history, hotSlot, hotSlot, it.owner.id)) {
                best = &it;
                bestGain = gain;
            }
        }
        if (!best)
            continue;
        best->hasHotSlot = true;
        moves.push_back({ hotSlot, hotSlot, best->owner.id });
    }
}

// Whether a move would swap load between two owners within one plan.
bool swapsLoad(
    const std::vector<Range>& ranges, const std::vector<Move>& moves, const InstanceId& from, const InstanceId& to)
{
    return std::any_of(moves.begin(), moves.end(),
        [&](const Move& it) { return it.to == from && rangeAt(ranges, it.first).owner == to; });
}

// Whether a judged plan leaves a range where it is.
bool staysAsJudged(const PlanJudge& judge, const Range& range, const InstanceId& to)
{
    const auto hot = judge.hot.lower_bound(range.first.value);
    return (hot != judge.hot.end() && hot->first <= range.last.value)
        || dwells(judge.history, judge.policy, range.first, range.last, judge.now)
        || undoesMove(judge.history, range.first, range.last, to);
}

// Moves the quietest ranges to the owners of neighbouring ranges, so that they can be joined. With a judge, the
// smallest come first.
void joinQuietRanges(const std::vector<Range>& ranges, OwnerLoads& all, std::vector<Move>& moves,
    const SlotLoads& loads, const std::set<std::uint32_t>& excluded, unsigned maxMoves, const PlanJudge* judge)
{
    std::vector<std::pair<double, std::size_t>> quiet;
    for (std::size_t n = 1; n + 1 < ranges.size(); ++n) {
        if (ranges[n].previous.empty() && !excluded.count(ranges[n].first.value))
            quiet.emplace_back(judge ? slotsBetween(ranges[n].first, ranges[n].last)
                                     : loadBetween(loads, ranges[n].first, ranges[n].last),
                n);
    }
    std::sort(quiet.begin(), quiet.end());
    std::set<std::size_t> changed;
    unsigned moved = 0;
    for (const auto& [order, n] : quiet) {
        if (moved == maxMoves)
            return;
        const double load = loadBetween(loads, ranges[n].first, ranges[n].last);
        OwnerLoad* left = findOwnerLoad(all, ranges[n - 1].owner);
        OwnerLoad* right = findOwnerLoad(all, ranges[n + 1].owner);
        if (!left || !right || changed.count(n - 1) || changed.count(n) || changed.count(n + 1))
            continue;
        OwnerLoad& newOwner = left->utilization() <= right->utilization() ? *left : *right;
        if (newOwner.owner.id == ranges[n].owner || !newOwner.owner.mayReceive
            || newOwner.utilization() + load / newOwner.owner.capacity > kMaxUtilizationAfterJoin
            || (judge
                && (!newOwner.receives() || swapsLoad(ranges, moves, ranges[n].owner, newOwner.owner.id)
                    || staysAsJudged(*judge, ranges[n], newOwner.owner.id))))
            continue;
        newOwner.load += load;
        changed.insert({ n - 1, n, n + 1 });
        moves.push_back({ ranges[n].first, ranges[n].last, newOwner.owner.id });
        ++moved;
    }
}

} // namespace

std::vector<Range> evenRanges(const std::vector<OwnerCapacity>& owners)
{
    std::vector<Range> ranges;
    const auto count = static_cast<std::uint32_t>(owners.size());
    for (std::uint32_t n = 0; n < count; ++n) {
        const std::uint32_t first = kKeySlots / count * n;
        const std::uint32_t last = n + 1 == count ? kKeySlots - 1 : kKeySlots / count * (n + 1) - 1;
        ranges.push_back({ { first }, { last }, owners[n].id, kFenceOfThisWrite, {} });
    }
    return ranges;
}

std::vector<Move> planMoves(const std::vector<Range>& ranges, const std::vector<OwnerCapacity>& owners,
    const SlotLoads& loads, const std::set<std::uint32_t>& fixed, const BalancePolicy& policy, const PlanJudge* judge)
{
    std::vector<Move> moves;
    if (owners.empty())
        return moves;
    OwnerLoads all = ownerLoadsOf(ranges, owners, loads, judge);
    const bool tooManyRanges = ranges.size() > policy.maxRangesPerOwner * owners.size();
    for (const auto& range : ranges) {
        if (!findOwnerLoad(all, range.owner))
            redistribute(all, moves, loads, range, tooManyRanges ? 1 : kPiecesPerLostRange);
    }
    if (judge) {
        isolateHotSlots(ranges, all, moves, fixed, *judge);
        balanceJudged(all, moves, movablePartsOf(ranges, loads, fixed, *judge), loads, policy, *judge);
    } else {
        balance(all, moves, movableRangesOf(ranges, loads, fixed), loads, policy);
    }
    std::set<std::uint32_t> excluded = fixed;
    for (const auto& it : moves)
        excluded.insert(rangeAt(ranges, it.first).first.value);
    if (tooManyRanges)
        joinQuietRanges(ranges, all, moves, loads, excluded, policy.maxMoves, judge);
    return moves;
}

} // namespace pistachiospur
