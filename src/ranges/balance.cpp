#include "balance.h"

#include <algorithm>
#include <cmath>

namespace pistachiospur {

namespace {

// Requests per second that all slots together are taken to have beyond those counted, so that runs without counts are
// spread as well.
constexpr double kBaseLoad = 2;
// A range of an upstream that left is handed out in so many pieces.
constexpr std::uint32_t kHeirs = 3;
// Utilization up to which an upstream is filled that takes a piece of a hot run.
constexpr double kComfortable = 0.4;
// A neighbour's owner takes a quiet range only while its utilization stays below this.
constexpr double kBusyHeir = 0.7;

double loadBetween(const SlotLoads& loads, SlotId first, SlotId last)
{
    double sum = kBaseLoad * (last.value - first.value + 1) / kKeySlots;
    for (auto it = loads.lower_bound(first.value); it != loads.end() && it->first <= last.value; ++it)
        sum += it->second;
    return sum;
}

// The slot at which the load counted from `first` reaches a target; at most `last`.
SlotId slotAtLoad(const SlotLoads& loads, SlotId first, SlotId last, double target)
{
    double sum = 0;
    std::uint32_t at = first.value;
    const double perSlot = kBaseLoad / kKeySlots;
    for (auto it = loads.lower_bound(first.value); it != loads.end() && it->first <= last.value; ++it) {
        const double gap = perSlot * (it->first - at);
        if (sum + gap >= target)
            break;
        sum += gap + it->second;
        at = it->first;
        if (sum >= target)
            return { at };
    }
    const auto steps = static_cast<std::uint32_t>(std::max(0.0, (target - sum) / perSlot));
    return { std::min(last.value, at + std::min(steps, kKeySlots)) };
}

struct Standing {
    OwnerFacts facts;
    double load = 0;
    bool giving = true; // has something that may move

    double utilization() const { return load / facts.capacity; }
};

using Standings = std::vector<Standing>;

Standing* standingOf(Standings& all, const LifeId& id)
{
    const auto it = std::lower_bound(
        all.begin(), all.end(), id, [](const Standing& n, const LifeId& wanted) { return n.facts.id < wanted; });
    return it == all.end() || it->facts.id != id ? nullptr : &*it;
}

// In the order of their owners.
Standings standingsOf(const std::vector<Range>& ranges, const std::vector<OwnerFacts>& owners, const SlotLoads& loads)
{
    Standings all;
    for (const auto& it : owners)
        all.push_back({ it, 0 });
    std::sort(all.begin(), all.end(), [](const Standing& a, const Standing& b) { return a.facts.id < b.facts.id; });
    for (const auto& range : ranges) {
        if (Standing* owner = standingOf(all, range.owner))
            owner->load += loadBetween(loads, range.first, range.last);
    }
    return all;
}

bool isIdler(const Standing& a, const Standing& b)
{
    return std::tuple(a.utilization(), a.facts.id) < std::tuple(b.utilization(), b.facts.id);
}

// Those that have nothing to give come last.
bool isLikelierGiver(const Standing& a, const Standing& b) { return a.giving != b.giving ? b.giving : isIdler(a, b); }

double meanUtilization(const Standings& all)
{
    double load = 0, capacity = 0;
    for (const auto& it : all) {
        load += it.load;
        capacity += it.facts.capacity;
    }
    return load / capacity;
}

void giveTo(Standings& all, std::vector<Move>& moves, const SlotLoads& loads, SlotId first, SlotId last)
{
    auto& taker = *std::min_element(all.begin(), all.end(), isIdler);
    taker.load += loadBetween(loads, first, last);
    moves.push_back({ first, last, taker.facts.id });
}

// Hands out a range of an upstream that left, in pieces of about equal load.
void bequeath(Standings& all, std::vector<Move>& moves, const SlotLoads& loads, const Range& range, std::uint32_t heirs)
{
    const double piece = loadBetween(loads, range.first, range.last) / heirs;
    SlotId first = range.first;
    for (std::uint32_t n = 1; n < heirs && first < range.last; ++n) {
        const SlotId last = slotAtLoad(loads, first, { range.last.value - 1 }, piece);
        giveTo(all, moves, loads, first, last);
        first = last.next();
    }
    giveTo(all, moves, loads, first, range.last);
}

// What is left of a range after pieces at its start were given away or are to stay.
struct Parcel {
    SlotId first;
    SlotId last;
    LifeId owner;
    double load = 0;
};

std::vector<Parcel> parcelsOf(
    const std::vector<Range>& ranges, const SlotLoads& loads, const std::set<std::uint32_t>& fixed)
{
    std::vector<Parcel> parcels;
    for (const auto& it : ranges) {
        if (it.previous.empty() && !fixed.count(it.first.value))
            parcels.push_back({ it.first, it.last, it.owner, loadBetween(loads, it.first, it.last) });
    }
    return parcels;
}

Parcel* busiestOf(std::vector<Parcel>& parcels, const LifeId& owner)
{
    Parcel* busiest = nullptr;
    for (auto& it : parcels) {
        if (it.owner == owner && it.first <= it.last && (!busiest || it.load > busiest->load))
            busiest = &it;
    }
    return busiest;
}

// Cuts a run off the start of the giver's busiest parcel that brings both towards a level of utilization; nothing when
// that run would make the taker the busier one, as a single hot slot does: then it stays, and the rest can go.
std::optional<Move> relieve(Parcel& parcel, Standing& giver, Standing& taker, const SlotLoads& loads, double level)
{
    const double surplus = giver.load - level * giver.facts.capacity;
    const double room = level * taker.facts.capacity - taker.load;
    const double wanted = std::min(surplus, room);
    const SlotId last = parcel.load <= wanted ? parcel.last : slotAtLoad(loads, parcel.first, parcel.last, wanted);
    const double moved = loadBetween(loads, parcel.first, last);
    const bool helps = (taker.load + moved) / taker.facts.capacity < giver.utilization();
    const Move move { parcel.first, last, taker.facts.id };
    parcel.first = last.next();
    parcel.load -= moved;
    if (!helps)
        return std::nullopt;
    giver.load -= moved;
    taker.load += moved;
    return move;
}

// Relieves the busiest upstreams in favour of the idlest. A hot run of slots is cut into as many pieces as it takes.
void spread(Standings& all, std::vector<Move>& moves, std::vector<Parcel> parcels, const SlotLoads& loads,
    const BalancePolicy& policy)
{
    const double mean = meanUtilization(all);
    std::size_t tries = 2 * policy.mostMoves;
    const std::size_t most = moves.size() + policy.mostMoves;
    while (moves.size() < most && tries-- > 0) {
        auto& giver = *std::max_element(all.begin(), all.end(), isLikelierGiver);
        auto& taker = *std::min_element(all.begin(), all.end(), isIdler);
        const bool idle = taker.load <= 0;
        if (!idle && giver.utilization() < policy.busyEnough)
            return;
        if (!idle && giver.utilization() - taker.utilization() < policy.worthwhileGap)
            return;
        if (!giver.giving)
            return;
        Parcel* parcel = busiestOf(parcels, giver.facts.id);
        if (!parcel) {
            giver.giving = false;
            ++tries;
            continue;
        }
        // Pieces no smaller than a taker can well bear. An upstream without any slots takes half of what the busiest
        // has, however quiet that is.
        const double even = (giver.load + taker.load) / (giver.facts.capacity + taker.facts.capacity);
        const double level = idle ? even : std::min(even, std::max(mean, kComfortable));
        if (const auto move = relieve(*parcel, giver, taker, loads, level))
            moves.push_back(*move);
    }
}

const Range& rangeWith(const std::vector<Range>& ranges, SlotId slot)
{
    return *std::lower_bound(
        ranges.begin(), ranges.end(), slot, [](const Range& range, SlotId wanted) { return range.last < wanted; });
}

// Gives the quietest ranges to the owners of their neighbours, so that they can be joined.
void absorb(const std::vector<Range>& ranges, Standings& all, std::vector<Move>& moves, const SlotLoads& loads,
    const std::set<std::uint32_t>& settled, unsigned most)
{
    std::vector<std::pair<double, std::size_t>> quiet;
    for (std::size_t n = 1; n + 1 < ranges.size(); ++n) {
        if (ranges[n].previous.empty() && !settled.count(ranges[n].first.value))
            quiet.emplace_back(loadBetween(loads, ranges[n].first, ranges[n].last), n);
    }
    std::sort(quiet.begin(), quiet.end());
    std::set<std::size_t> touched;
    unsigned absorbed = 0;
    for (const auto& [load, n] : quiet) {
        if (absorbed == most)
            return;
        Standing* left = standingOf(all, ranges[n - 1].owner);
        Standing* right = standingOf(all, ranges[n + 1].owner);
        if (!left || !right || touched.count(n - 1) || touched.count(n) || touched.count(n + 1))
            continue;
        Standing& heir = left->utilization() <= right->utilization() ? *left : *right;
        if (heir.facts.id == ranges[n].owner || heir.utilization() + load / heir.facts.capacity > kBusyHeir)
            continue;
        heir.load += load;
        touched.insert({ n - 1, n, n + 1 });
        moves.push_back({ ranges[n].first, ranges[n].last, heir.facts.id });
        ++absorbed;
    }
}

} // namespace

std::vector<Range> evenRanges(const std::vector<OwnerFacts>& owners)
{
    std::vector<Range> ranges;
    const auto n = static_cast<std::uint32_t>(owners.size());
    for (std::uint32_t it = 0; it < n; ++it) {
        const std::uint32_t first = kKeySlots / n * it;
        const std::uint32_t last = it + 1 == n ? kKeySlots - 1 : kKeySlots / n * (it + 1) - 1;
        ranges.push_back({ { first }, { last }, owners[it].id, kFenceOfThisWrite, {} });
    }
    return ranges;
}

std::vector<Move> planMoves(const std::vector<Range>& ranges, const std::vector<OwnerFacts>& owners,
    const SlotLoads& loads, const std::set<std::uint32_t>& fixed, const BalancePolicy& policy)
{
    std::vector<Move> moves;
    if (owners.empty())
        return moves;
    Standings all = standingsOf(ranges, owners, loads);
    const bool many = ranges.size() > policy.rangesPerOwner * owners.size();
    for (const auto& range : ranges) {
        if (!standingOf(all, range.owner))
            bequeath(all, moves, loads, range, many ? 1 : kHeirs);
    }
    spread(all, moves, parcelsOf(ranges, loads, fixed), loads, policy);
    std::set<std::uint32_t> settled = fixed;
    for (const auto& it : moves)
        settled.insert(rangeWith(ranges, it.first).first.value);
    if (many)
        absorb(ranges, all, moves, loads, settled, policy.mostMoves);
    return moves;
}

} // namespace pistachiospur
