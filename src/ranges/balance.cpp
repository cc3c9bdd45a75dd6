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

    double utilization() const { return load / facts.capacity; }
};

using Standings = std::vector<Standing>;

Standings standingsOf(const std::vector<Range>& ranges, const std::vector<OwnerFacts>& owners, const SlotLoads& loads)
{
    Standings all;
    for (const auto& it : owners)
        all.push_back({ it, 0 });
    for (const auto& range : ranges) {
        const auto it
            = std::find_if(all.begin(), all.end(), [&](const Standing& n) { return n.facts.id == range.owner; });
        if (it != all.end())
            it->load += loadBetween(loads, range.first, range.last);
    }
    return all;
}

bool isIdler(const Standing& a, const Standing& b)
{
    return std::tuple(a.utilization(), a.facts.id) < std::tuple(b.utilization(), b.facts.id);
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

// A run at the start of the giver's busiest range that evens the two out; nothing when no run would.
std::optional<Move> relieve(const std::vector<Range>& ranges, const Standing& giver, const Standing& taker,
    const SlotLoads& loads, const std::set<std::uint32_t>& fixed)
{
    const Range* busiest = nullptr;
    double most = 0;
    for (const auto& it : ranges) {
        const double load = loadBetween(loads, it.first, it.last);
        if (it.owner == giver.facts.id && it.previous.empty() && !fixed.count(it.first.value) && load > most) {
            busiest = &it;
            most = load;
        }
    }
    if (!busiest)
        return std::nullopt;
    const double surplus = (giver.load * taker.facts.capacity - taker.load * giver.facts.capacity)
        / (giver.facts.capacity + taker.facts.capacity);
    if (most <= surplus)
        return Move { busiest->first, busiest->last, taker.facts.id };
    const SlotId last = slotAtLoad(loads, busiest->first, busiest->last, surplus);
    const double moved = loadBetween(loads, busiest->first, last);
    if (last == busiest->last || moved >= 2 * surplus)
        return std::nullopt;
    return Move { busiest->first, last, taker.facts.id };
}

Standing* standingOf(Standings& all, const LifeId& id)
{
    const auto it = std::find_if(all.begin(), all.end(), [&](const Standing& n) { return n.facts.id == id; });
    return it == all.end() ? nullptr : &*it;
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
        const bool kept
            = std::any_of(owners.begin(), owners.end(), [&](const OwnerFacts& it) { return it.id == range.owner; });
        if (!kept)
            bequeath(all, moves, loads, range, many ? 1 : kHeirs);
    }
    std::set<std::uint32_t> settled = fixed;
    for (unsigned n = 0; n < policy.mostMoves && moves.size() < policy.mostMoves; ++n) {
        auto& giver = *std::max_element(all.begin(), all.end(), isIdler);
        auto& taker = *std::min_element(all.begin(), all.end(), isIdler);
        if (giver.utilization() < policy.busyEnough && taker.load > 0)
            break;
        if (giver.utilization() - taker.utilization() < policy.worthwhileGap && taker.load > 0)
            break;
        const auto move = relieve(ranges, giver, taker, loads, settled);
        if (!move)
            break;
        const double moved = loadBetween(loads, move->first, move->last);
        giver.load -= moved;
        taker.load += moved;
        settled.insert(move->first.value);
        moves.push_back(*move);
    }
    if (many)
        absorb(ranges, all, moves, loads, settled, policy.mostMoves);
    return moves;
}

} // namespace pistachiospur
