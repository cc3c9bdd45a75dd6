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

double loadBetween(const SlotLoads& loads, SlotId first, SlotId last)
{
    double sum = kBaseLoad * (last.value - first.value + 1) / kKeySlots;
    for (auto it = loads.lower_bound(first.value); it != loads.end() && it->first <= last.value; ++it)
        sum += it->second;
    return sum;
}

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
    double load = 0;
    bool canGive = true; // has a range that may move

    double utilization() const { return load / owner.capacity; }
};

using OwnerLoads = std::vector<OwnerLoad>;

OwnerLoad* findOwnerLoad(OwnerLoads& all, const InstanceId& id)
{
    const auto it = std::lower_bound(
        all.begin(), all.end(), id, [](const OwnerLoad& n, const InstanceId& wanted) { return n.owner.id < wanted; });
    return it == all.end() || it->owner.id != id ? nullptr : &*it;
}

// Sorted by owner.
OwnerLoads ownerLoadsOf(
    const std::vector<Range>& ranges, const std::vector<OwnerCapacity>& owners, const SlotLoads& loads)
{
    OwnerLoads all;
    for (const auto& it : owners)
        all.push_back({ it, 0 });
    std::sort(all.begin(), all.end(), [](const OwnerLoad& a, const OwnerLoad& b) { return a.owner.id < b.owner.id; });
    for (const auto& range : ranges) {
        if (OwnerLoad* ownerLoad = findOwnerLoad(all, range.owner))
            ownerLoad->load += loadBetween(loads, range.first, range.last);
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
    return a.owner.mayReceive != b.owner.mayReceive ? a.owner.mayReceive : isLessUtilized(a, b);
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

const Range& rangeAt(const std::vector<Range>& ranges, SlotId slot)
{
    return *std::lower_bound(
        ranges.begin(), ranges.end(), slot, [](const Range& range, SlotId wanted) { return range.last < wanted; });
}

// Moves the quietest ranges to the owners of neighbouring ranges, so that they can be joined.
void joinQuietRanges(const std::vector<Range>& ranges, OwnerLoads& all, std::vector<Move>& moves,
    const SlotLoads& loads, const std::set<std::uint32_t>& excluded, unsigned maxMoves)
{
    std::vector<std::pair<double, std::size_t>> quiet;
    for (std::size_t n = 1; n + 1 < ranges.size(); ++n) {
        if (ranges[n].previous.empty() && !excluded.count(ranges[n].first.value))
            quiet.emplace_back(loadBetween(loads, ranges[n].first, ranges[n].last), n);
    }
    std::sort(quiet.begin(), quiet.end());
    std::set<std::size_t> changed;
    unsigned moved = 0;
    for (const auto& [load, n] : quiet) {
        if (moved == maxMoves)
            return;
        OwnerLoad* left = findOwnerLoad(all, ranges[n - 1].owner);
        OwnerLoad* right = findOwnerLoad(all, ranges[n + 1].owner);
        if (!left || !right || changed.count(n - 1) || changed.count(n) || changed.count(n + 1))
            continue;
        OwnerLoad& newOwner = left->utilization() <= right->utilization() ? *left : *right;
        if (newOwner.owner.id == ranges[n].owner || !newOwner.owner.mayReceive
            || newOwner.utilization() + load / newOwner.owner.capacity > kMaxUtilizationAfterJoin)
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
    const SlotLoads& loads, const std::set<std::uint32_t>& fixed, const BalancePolicy& policy)
{
    std::vector<Move> moves;
    if (owners.empty())
        return moves;
    OwnerLoads all = ownerLoadsOf(ranges, owners, loads);
    const bool tooManyRanges = ranges.size() > policy.maxRangesPerOwner * owners.size();
    for (const auto& range : ranges) {
        if (!findOwnerLoad(all, range.owner))
            redistribute(all, moves, loads, range, tooManyRanges ? 1 : kPiecesPerLostRange);
    }
    balance(all, moves, movableRangesOf(ranges, loads, fixed), loads, policy);
    std::set<std::uint32_t> excluded = fixed;
    for (const auto& it : moves)
        excluded.insert(rangeAt(ranges, it.first).first.value);
    if (tooManyRanges)
        joinQuietRanges(ranges, all, moves, loads, excluded, policy.maxMoves);
    return moves;
}

} // namespace pistachiospur
