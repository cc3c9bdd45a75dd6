#include "keeper.h"

#include "observe/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pistachiospur {

using Json = nlohmann::json;

namespace {

constexpr Millis kPlanInterval { 300 };
// Between two hosts in the order of election: the first may be gone without its entry having lapsed yet.
constexpr Millis kElectionStep { 200 };
constexpr Millis kFirstOwnersSettle { 1000 };
// A plan may make one move for so many owners, so that large sites come to balance as fast as small ones.
constexpr std::size_t kOwnersPerMove = 10;
constexpr Millis kAskInterval { 300 };
constexpr Millis kResignRetry { 300 };
// Clocks of hosts may differ by so much, steps included.
constexpr Millis kWallSkew { 6000 };
// Counts keep this part at each interval, so that loads follow some one and a half seconds: a key that gets hot is
// moved within that, and a moderately busy upstream still shows some thirty requests.
constexpr Millis kDecayInterval { 500 };
constexpr double kDecay = 0.72;
constexpr double kForgottenLoad = 0.01;
// Taken for an upstream's run time while nothing was measured.
constexpr double kFirstRunMs = 170;

} // namespace

Keeper::Keeper(Site& site, ServiceName service)
    : m_site(site)
    , m_service(std::move(service))
    , m_lease(site.directory.store(), Millis(site.settings.limits.keeperLeaseMs),
          { [this] { acquire(); }, [this] { onLeaseGone(); },
              [this](const StoreError& error) { m_site.directory.noteStoreFailure("keeper lease", error); } })
{
}

Keeper::Key Keeper::keyOf(const Range& range) { return { range.first.value, range.last.value, range.fence.value }; }

// The right to change anything ends with the lease.
bool Keeper::mayOrder() const { return m_keeping && bootNow() < m_lease.validUntil(); }

// What was granted may be renewed a while longer, so that an outage of the store stops nothing: a successor counts on
// it until this keeper has told it otherwise.
bool Keeper::mayRenew() const
{
    return m_keeping && bootNow() < m_lease.validUntil() + Millis(m_site.settings.limits.outageMs);
}

Millis Keeper::renewalInterval(std::size_t ranges) const
{
    const auto& limits = m_site.settings.limits;
    const std::int64_t perSecond
        = std::max<std::int64_t>(1, limits.ordersPerCore * m_site.settings.processorPercent / 100);
    const Millis paced(static_cast<std::int64_t>(ranges) * 1000 / perSecond);
    return std::max(Millis(limits.renewalIntervalMs), paced);
}

// The life of grants under a table of so many ranges: several renewals, whatever their pace.
Millis Keeper::holdFor(std::size_t ranges) const
{
    const auto& limits = m_site.settings.limits;
    const Millis paced = limits.holdMs * renewalInterval(ranges) / limits.renewalIntervalMs;
    return std::min(Millis(limits.greatestHoldMs), std::max(Millis(limits.holdMs), paced));
}

std::string Keeper::writerName() const { return m_site.settings.host + "#" + std::to_string(m_site.incarnation.value); }

// Whether the process of a writer of the table is known to have ended.
bool Keeper::isGone(const std::string& writer) const
{
    const auto mark = writer.find('#');
    if (mark == std::string::npos)
        return true;
    const HostName host = writer.substr(0, mark);
    const auto incarnation = std::strtoull(writer.c_str() + mark + 1, nullptr, 10);
    if (isSelf(m_site, host))
        return true;
    const auto it = m_site.directory.hosts().find(host);
    return it != m_site.directory.hosts().end() && it->second.incarnation.value > incarnation;
}

// Until when grants of earlier keepers may be in force. One that cannot be asked is taken to go on for as long as a
// keeper may without the store.
Millis Keeper::earlierGrantsEnd() const
{
    const auto& limits = m_site.settings.limits;
    Millis stopped = m_tookOverAt;
    for (const auto& [writer, it] : m_predecessors)
        stopped = std::max(stopped, it.stoppedAt.value_or(m_tookOverAt + Millis(limits.outageMs)));
    return stopped + Millis(limits.orderTimeoutMs) + longestHold(m_earlierHold);
}

void Keeper::takePredecessors(const RangeTable& table)
{
    m_predecessors.clear();
    m_predecessors[table.writer].since = wallNow();
    for (const auto& it : table.earlier)
        m_predecessors[it.writer].since = it.since;
    m_earlierHold = table.hold;
    askPredecessors();
}

// Finds out which predecessors have stopped: their process ended, the time for which they may renew is over, or they
// say so themselves.
void Keeper::askPredecessors()
{
    const Millis now = monotonicNow();
    const Millis outage(m_site.settings.limits.outageMs);
    const KeeperNews news { m_service, m_site.settings.host, m_site.incarnation, m_lease.id(), m_keeperVersion };
    const bool ask = now >= m_askAt;
    if (ask)
        m_askAt = now + kAskInterval;
    for (auto& [writer, it] : m_predecessors) {
        if (it.stoppedAt)
            continue;
        const bool over = bootNow() >= m_tookOverAt + outage || wallNow() >= it.since + outage + kWallSkew;
        if (over || isGone(writer))
            it.stoppedAt = bootNow();
        else if (ask)
            m_site.hub.send(writer.substr(0, writer.find('#')), news);
    }
}

KeeperStopped Keeper::onKeeperNews(const KeeperNews& news)
{
    m_site.directory.learnKeeper(news.service, { news.host, news.incarnation, news.lease, news.revision });
    elect();
    return { m_service, m_site.incarnation, news.revision };
}

void Keeper::onKeeperStopped(const HostName& from, const KeeperStopped& stopped)
{
    if (!m_keeping || stopped.revision != m_keeperVersion)
        return;
    const std::string name = from + "#" + std::to_string(stopped.incarnation.value) + "/";
    for (auto& [writer, it] : m_predecessors) {
        if (it.stoppedAt || writer.compare(0, name.size(), name) != 0)
            continue;
        it.stoppedAt = bootNow();
        logEvent(EventKind::state, "predecessor_stopped", { { "service", m_service }, { "predecessor", writer } });
    }
}

void Keeper::tick()
{
    elect();
    if (!mayRenew())
        return;
    const Millis now = monotonicNow();
    removeExpired(m_ledger, bootNow());
    askPredecessors();
    if (now >= m_decayAt) {
        m_decayAt = now + kDecayInterval;
        for (auto it = m_loads.begin(); it != m_loads.end();) {
            it->second *= kDecay;
            it = it->second < kForgottenLoad ? m_loads.erase(it) : std::next(it);
        }
    }
    probeUnreachable();
    yieldIfCutOff();
    if (m_tableKnown)
        workAll();
    if (!m_writing && mayOrder() && now >= m_planAt) {
        m_planAt = now + kPlanInterval;
        plan();
    }
    tellHosts();
}

// --- Election ---

void Keeper::elect()
{
    const KeeperEntry* entry = m_site.directory.keeperOf(m_service);
    const bool own = entry && isSelf(m_site, entry->host);
    const bool mine = own && entry->incarnation == m_site.incarnation && entry->lease == m_lease.id();
    if (m_keeping && !mine)
        stepDown("another host keeps the ranges, or the record is gone");
    if (m_keeping)
        return;
    if (mine)
        return onAcquired(entry->version);
    const Millis now = monotonicNow();
    const bool stands = !m_resigned && !m_site.stopping && m_site.directory.isEntered() && now >= m_yieldUntil;
    if (!stands || (entry && !own)) {
        m_vacantSince = Millis(-1);
        if (m_standing)
            withdraw();
        return;
    }
    if (m_standing)
        return;
    if (m_vacantSince < Millis(0))
        m_vacantSince = now;
    const auto order = hostsFor(m_site, "keeper/" + m_service, "", HostOrder::fastestFirst);
    const auto place = own ? 0 : std::find(order.begin(), order.end(), m_site.settings.host) - order.begin();
    if (now >= m_vacantSince + kElectionStep * place) {
        m_standing = true;
        m_lease.hold();
    }
}

void Keeper::withdraw()
{
    m_standing = false;
    m_lease.end([] {});
}

// Writes the record under the lease that was just opened; over a record of an earlier run of this host, whose process
// is gone.
void Keeper::acquire()
{
    const KeeperEntry* entry = m_site.directory.keeperOf(m_service);
    const bool own = entry && isSelf(m_site, entry->host);
    if (entry && !own)
        return withdraw();
    const LeaseId lease = m_lease.id();
    const Json record
        = { { "host", m_site.settings.host }, { "incarnation", m_site.incarnation.value }, { "lease", lease.value } };
    const ConditionalWrite write { { { keeperKey(m_service), own ? entry->version : StoreRevision {} } },
        { { keeperKey(m_service), record.dump(), lease } } };
    m_site.directory.store().write(write, [this, lease](const WriteResult& result) {
        const auto* written = std::get_if<Written>(&result);
        if (!written)
            return withdraw();
        m_site.directory.learnKeeper(m_service, { m_site.settings.host, m_site.incarnation, lease, written->revision });
        elect();
    });
}

void Keeper::onLeaseGone()
{
    if (m_keeping)
        stepDown("the lease has ended");
}

// Whatever an earlier keeper ordered can still be in force for as long as a grant lasts that it sent at the last
// moment.
void Keeper::onAcquired(StoreRevision version)
{
    m_keeping = true;
    m_standing = true;
    m_keeperVersion = version;
    m_tookOverAt = bootNow();
    m_tableKnown = false;
    m_holdings.clear();
    m_ledger = {};
    m_askAt = Millis(0);
    m_planAt = Millis(0);
    m_toldRevision = {};
    m_toldRanges.clear();
    logEvent(EventKind::state, "keeping", { { "service", m_service }, { "keeper_revision", version.value } });
}

void Keeper::stepDown(const char* reason)
{
    logEvent(EventKind::state, "not_keeping", { { "service", m_service }, { "reason", reason } });
    m_keeping = false;
    m_tableKnown = false;
    m_holdings.clear();
    m_pendingText.clear();
    m_vacantSince = Millis(-1);
    m_unreachable.clear();
    withdraw();
}

void Keeper::resign()
{
    m_resigned = true;
    if (!m_keeping) {
        if (m_standing)
            withdraw();
        return;
    }
    const Millis now = monotonicNow();
    if (now < m_resignAt)
        return;
    m_resignAt = now + kResignRetry;
    const ConditionalWrite write { { { keeperKey(m_service), m_keeperVersion } },
        { { keeperKey(m_service), std::nullopt, kNoLease } } };
    m_site.directory.store().write(write, [](const WriteResult&) {}); // the watch tells what came of it
}

// --- Planning and writing ---

std::vector<OwnerCapacity> Keeper::owners() const
{
    std::vector<OwnerCapacity> found;
    const Millis now = monotonicNow();
    for (const auto& [name, entry] : m_site.directory.lives()) {
        if (entry.life.service != m_service || !mayTakeWork(entry, now) || entry.life.draining
            || isUnreachable(entry.life.id))
            continue;
        const auto it = m_runMs.find(entry.life.id);
        const double runMs = it == m_runMs.end() ? kFirstRunMs : it->second;
        found.push_back({ entry.life.id, entry.life.slots * 1000.0 / runMs });
    }
    return found;
}

// The table as it should be next.
std::vector<Range> Keeper::nextRanges(bool& changed)
{
    std::vector<Range> ranges = m_table.ranges;
    std::set<std::uint32_t> fixed;
    for (auto& it : ranges) {
        const Holding& holding = m_holdings[keyOf(it)];
        if (!it.previous.empty() && holding.confirmed) {
            it.previous.clear();
            changed = true;
        }
        if (holding.refused) {
            it.fence = kFenceOfThisWrite;
            changed = true;
        }
        if (!holding.confirmed || !it.previous.empty())
            fixed.insert(it.first.value);
    }
    const double perCount = (1 - kDecay) * 1000 / static_cast<double>(kDecayInterval.count());
    SlotLoads loads = m_loads;
    for (auto& [slot, load] : loads)
        load *= perCount;
    const auto able = owners();
    BalancePolicy policy;
    policy.maxMoves = std::max(policy.maxMoves, static_cast<unsigned>(able.size() / kOwnersPerMove));
    for (const auto& it : planMoves(ranges, able, loads, fixed, policy)) {
        logEvent(EventKind::state, "move",
            { { "service", m_service }, { "first", it.first.value }, { "last", it.last.value }, { "to", it.to.name } });
        assign(ranges, it.first, it.last, it.to);
        changed = true;
    }
    // Neighbours of one owner become one range under a fence of this write, when there is a write anyway.
    for (std::size_t n = 1; changed && n < ranges.size(); ++n) {
        Range &left = ranges[n - 1], &right = ranges[n];
        const bool joins = left.owner == right.owner && !fixed.count(left.first.value)
            && !fixed.count(right.first.value) && left.previous.empty() && right.previous.empty();
        if (joins)
            left.fence = right.fence = kFenceOfThisWrite;
    }
    joinNeighbours(ranges);
    return ranges;
}

// Even runs for all upstreams, once no more of them appear: upstreams start together with the site.
std::vector<Range> Keeper::firstRanges()
{
    const auto able = owners();
    const Millis now = monotonicNow();
    if (able.size() != m_firstOwners) {
        m_firstOwners = able.size();
        m_firstOwnersAt = now;
    }
    return now < m_firstOwnersAt + kFirstOwnersSettle ? std::vector<Range>() : evenRanges(able);
}

void Keeper::plan()
{
    if (!m_pendingText.empty())
        return write({});
    if (!m_tableKnown) {
        const StoredTable* stored = m_site.directory.tableOf(m_service);
        m_tableRevision = stored ? stored->revision : StoreRevision {};
        takePredecessors(stored ? stored->table : RangeTable {});
        m_toldRanges = stored ? stored->table.ranges : std::vector<Range>();
        m_toldRevision = m_tableRevision;
        std::vector<Range> ranges = stored ? stored->table.ranges : firstRanges();
        if (ranges.empty())
            return;
        for (auto& it : ranges)
            it.fence = kFenceOfThisWrite;
        return write(std::move(ranges));
    }
    bool changed = false;
    auto ranges = nextRanges(changed);
    if (changed)
        write(std::move(ranges));
}

// A write whose outcome is unknown is sent again as it was: of the two at most one can take effect, and a conflict then
// shows this very text.
void Keeper::write(std::vector<Range> ranges)
{
    std::string text = m_pendingText;
    if (text.empty()) {
        RangeTable table;
        table.writer = writerName() + "/" + std::to_string(++m_writes);
        table.ranges = std::move(ranges);
        table.hold = std::max({ holdFor(table.ranges.size()), m_table.hold, m_earlierHold });
        for (const auto& [writer, it] : m_predecessors) {
            if (!it.stoppedAt)
                table.earlier.push_back({ writer, it.since });
        }
        text = encode(table);
    }
    m_writing = true;
    const ConditionalWrite write { { { keeperKey(m_service), m_keeperVersion },
                                       { tableKey(m_service), m_tableRevision } },
        { { tableKey(m_service), text, kNoLease } } };
    m_site.directory.store().write(write, [this, text](const WriteResult& result) { onWritten(text, result); });
}

void Keeper::onWritten(const std::string& text, const WriteResult& result)
{
    m_writing = false;
    if (!m_keeping)
        return;
    if (const auto* written = std::get_if<Written>(&result)) {
        m_pendingText.clear();
        if (auto table = decodeRangeTable(text, written->revision))
            adopt(std::move(*table), written->revision);
        return;
    }
    if (const auto* conflict = std::get_if<WriteConflict>(&result))
        return settleConflict(text, *conflict);
    const auto& error = std::get<StoreError>(result);
    m_pendingText = error.outcome == WriteOutcome::unknown ? text : "";
    logEvent(EventKind::state, "table_write_failed",
        { { "service", m_service }, { "status", error.httpStatus },
            { "outcome", error.outcome == WriteOutcome::unknown ? "unknown" : "not applied" } });
}

void Keeper::settleConflict(const std::string& text, const WriteConflict& conflict)
{
    m_pendingText.clear();
    const KeyChange* keeper = nullptr;
    const KeyChange* table = nullptr;
    for (const auto& it : conflict.current) {
        keeper = it.key == keeperKey(m_service) ? &it : keeper;
        table = it.key == tableKey(m_service) ? &it : table;
    }
    if (!keeper || keeper->version != m_keeperVersion || !keeper->text)
        return stepDown("the record names another keeper");
    if (!table || !table->text)
        return stepDown("the table is gone");
    auto current = decodeRangeTable(*table->text, table->version);
    if (!current)
        return stepDown("the table cannot be read");
    if (*table->text == text)
        return adopt(std::move(*current), table->version);
    // An earlier keeper's write that this host had not seen yet: begin again from it.
    m_site.directory.learnTable(m_service, { std::move(*current), table->version });
    m_tableKnown = false;
    m_planAt = Millis(0);
}

// What was known of a range's slots before a write, as far as it still holds.
Keeper::Holding Keeper::carryOver(const Range& range, bool first) const
{
    Holding holding;
    if (first) {
        holding.inherited = m_tableRevision.value != 0;
        holding.active = range.previous.empty() && m_tableRevision.value != 0;
        return holding;
    }
    const Range* old = findRange(m_table, range.first);
    const auto found = old ? m_holdings.find(keyOf(*old)) : m_holdings.end();
    if (found == m_holdings.end())
        return holding;
    const Holding& known = found->second;
    if (old->owner == range.owner && old->fence == range.fence) {
        holding = known;
        holding.granting = false;
    }
    holding.active = old->owner == range.owner && known.active;
    holding.inherited = known.inherited && !known.confirmed;
    holding.handover = known.handover;
    holding.leavers.clear();
    for (const auto& it : range.previous) {
        const auto leaver = known.leavers.find(it);
        if (leaver == known.leavers.end())
            continue;
        holding.leavers[it] = leaver->second;
        holding.leavers[it].releasing = false;
    }
    return holding;
}

// Takes a written table.
void Keeper::adopt(RangeTable table, StoreRevision revision)
{
    const bool first = !m_tableKnown;
    std::map<Key, Holding> holdings;
    for (const auto& it : table.ranges)
        holdings[keyOf(it)] = carryOver(it, first);
    m_table = std::move(table);
    m_tableRevision = revision;
    m_holdings = std::move(holdings);
    m_tableKnown = true;
    m_site.directory.learnTable(m_service, { m_table, revision });
    logEvent(EventKind::state, "table",
        { { "service", m_service }, { "revision", revision.value }, { "ranges", m_table.ranges.size() },
            { "first_of_keeper", first } });
}

void Keeper::onLoadReport(const LoadReport& report)
{
    for (const auto& [slot, n] : report.counts)
        m_loads[slot] += n;
    for (const auto& it : report.runs)
        m_runMs[it.life] = it.runMs;
}

void Keeper::publishMetrics()
{
    if (!m_keeping)
        return;
    std::map<UpstreamName, double> owned;
    for (const auto& it : m_table.ranges)
        owned[it.owner.name] += it.last.value - it.first.value + 1;
    for (const auto& [name, slots] : owned)
        m_site.metrics.set("pistachiospur_owned_slots", { { "upstream", name } }, slots);
}

} // namespace pistachiospur
