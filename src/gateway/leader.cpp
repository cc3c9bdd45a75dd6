#include "leader.h"

#include "cold_monitor.h"
#include "grant_pace.h"
#include "observe/events.h"

#include <algorithm>

namespace pistachiospur {

namespace {

// The grant TTL does not grow with further ranges than this for each owner, so that a host can tell the longest TTL of
// a table that it does not know.
constexpr std::size_t kMaxPacedRangesPerOwner = 4;
constexpr Millis kQueryInterval { 300 };

} // namespace

RangeLeader::RangeLeader(GatewayContext& context, ServiceName service)
    : m_context(context)
    , m_service(std::move(service))
    , m_lease(context.directory.store(), Millis(context.settings.limits.leaderLeaseMs),
          { [this] {
               const LeaderEntry* known = m_context.directory.leaderOf(m_service);
               writeLeaderRecord(known ? std::optional(*known) : std::nullopt, true);
           },
              [this] { onLeaseEnded(); },
              [this](const StoreError& error) { m_context.directory.recordStoreFailure("leader lease", error); } })
{
}

RangeLeader::RangeKey RangeLeader::keyOf(const Range& range)
{
    return { range.first.value, range.last.value, range.fence.value };
}

// The table may change only while the leader's lease is valid.
bool RangeLeader::mayWriteTable() const
{
    return m_isLeader && eraOf(m_recordRevision) == m_context.directory.storeEra() && bootNow() < m_lease.validUntil();
}

// A leader may go on renewing grants for outageMs after its lease, so that an outage of the store does not interrupt
// upstreams. The next leader assumes that it does, until this one has confirmed that it stopped.
bool RangeLeader::mayRenew() const
{
    return m_isLeader && bootNow() < m_leaseValidUntil + Millis(m_context.settings.limits.outageMs);
}

// Until when grants may be valid that a leader of an earlier era, on any host, sent without this host's knowledge. Its
// lease may have been renewed just before the store came back without it.
Millis RangeLeader::unknownGrantsEnd() const
{
    const auto& limits = m_context.settings.limits;
    std::size_t owners = 0;
    for (const auto& [name, entry] : m_context.directory.instances())
        owners += entry.instance.service == m_service;
    const Millis ttl = std::max(
        { grantTtlFor(kMaxPacedRangesPerOwner * owners, slowestHostsPercent()), m_earlierGrantTtl, m_table.grantTtl });
    return m_leaderSince + m_lease.ttl() + Millis(limits.outageMs) + Millis(limits.orderTimeoutMs) + longestGrant(ttl);
}

// Time between two grants of a range by this host.
Millis RangeLeader::renewalInterval(std::size_t rangeCount) const
{
    return renewalIntervalAt(m_context.settings.limits, rangeCount, m_context.settings.processorPercent);
}

Millis RangeLeader::grantTtlFor(std::size_t rangeCount, std::int64_t processorPercent) const
{
    return grantTtlAt(m_context.settings.limits, rangeCount, processorPercent);
}

// Processor time, in percent of one core, of the known host that has the least. Its grants last longest.
std::int64_t RangeLeader::slowestHostsPercent() const
{
    std::int64_t slowest = m_context.settings.processorPercent;
    for (const auto& [host, entry] : m_context.directory.hosts())
        slowest = std::min(slowest, std::max<std::int64_t>(1, static_cast<std::int64_t>(entry.weight * 100)));
    return slowest;
}

std::string RangeLeader::writerName() const
{
    return m_context.settings.host + "#" + std::to_string(m_context.incarnation.value);
}

// Whether the process that wrote a table is known to have ended: its host's entry is from another process, and is newer
// than the table. Writer names begin with "HOST#INCARNATION". This host's own earlier leadership has always ended, so
// its own name counts as well. What is known of a later era than this host leads in says nothing: the writer may have
// led in that era, and then its table holds there. Neither does anything while this host carries over.
bool RangeLeader::hasWriterEnded(const std::string& writer) const
{
    const auto separator = writer.find('#');
    if (separator == std::string::npos)
        return true;
    const HostName host = writer.substr(0, separator);
    const auto incarnation = std::strtoull(writer.c_str() + separator + 1, nullptr, 10);
    if (isSelf(m_context, host))
        return true;
    if (m_carriesOver)
        return false;
    const auto found = m_context.directory.hosts().find(host);
    return found != m_context.directory.hosts().end() && found->second.incarnation.value != incarnation
        && found->second.version > m_loadedRevision && eraOf(found->second.version) <= eraOf(m_recordRevision);
}

// Until when grants of previous leaders may be valid. A previous leader that has not confirmed that it stopped is
// assumed to go on for outageMs.
Millis RangeLeader::earlierGrantsEnd() const
{
    const auto& limits = m_context.settings.limits;
    Millis stopped = m_leaderSince;
    for (const auto& [writer, leader] : m_previousLeaders)
        stopped = std::max(stopped, leader.stoppedAt.value_or(m_leaderSince + Millis(limits.outageMs)));
    return stopped + Millis(limits.orderTimeoutMs) + longestGrant(m_earlierGrantTtl);
}

// From when on no order of a previous leader can arrive at an upstream: each has arrived, or its connection was reset.
// Nothing while a previous leader is not known to have stopped.
std::optional<Millis> RangeLeader::earlierOrdersEnd() const
{
    Millis stopped { 0 };
    for (const auto& [writer, leader] : m_previousLeaders) {
        if (!leader.isKnownStopped)
            return std::nullopt;
        stopped = std::max(stopped, *leader.stoppedAt);
    }
    return stopped + Millis(m_context.settings.limits.orderTimeoutMs);
}

// Whether a grant of a previous leader may be valid for a range, or may still be accepted.
bool RangeLeader::mayHaveEarlierGrants(const RangeState& state) const
{
    return state.hasEarlierGrants && bootNow() < earlierGrantsEnd();
}

// Whether the owner of a range is about to prove that previous leaders' grants cannot be valid, by its next renewal. A
// move before that would wait for those grants to expire, with slots that have no owner.
bool RangeLeader::awaitsProof(const Range& range) const
{
    const auto state = m_rangeStates.find(keyOf(range));
    const auto earlierEnd = earlierOrdersEnd();
    if (state == m_rangeStates.end() || !earlierEnd || !state->second.active || !mayHaveEarlierGrants(state->second))
        return false;
    const InstanceEntry* owner = m_context.directory.findInstance(range.owner);
    return owner && !owner->entryGone && !isUnreachable(range.owner)
        && bootNow()
        < *earlierEnd + renewalInterval(m_table.ranges.size()) + Millis(m_context.settings.limits.orderTimeoutMs);
}

// The lease of the table's writer has ended by now, since this host leads. Those of the writers before it had ended for
// some time when the table was written, which was at the latest when it arrived here.
void RangeLeader::loadPreviousLeaders(const StoredTable& stored)
{
    m_previousLeaders.clear();
    m_previousLeaders[stored.table.writer].leaseEndedBy = bootNow();
    for (const auto& it : stored.table.previousWriters)
        m_previousLeaders[it.writer].leaseEndedBy = stored.receivedAt - it.leaseEndedFor;
    m_earlierGrantTtl = stored.table.grantTtl;
    m_loadedRevision = stored.revision;
    m_nextQueryAt = Millis(0);
    checkPreviousLeaders();
}

// Marks previous leaders as stopped if their process has ended or the time during which they may renew is over. Asks
// the others to confirm that they stopped.
void RangeLeader::checkPreviousLeaders()
{
    const Millis now = monotonicNow();
    const Millis outage(m_context.settings.limits.outageMs);
    const bool queryNow = now >= m_nextQueryAt;
    if (queryNow)
        m_nextQueryAt = now + kQueryInterval;
    for (auto& [writer, leader] : m_previousLeaders) {
        if (leader.stoppedAt)
            continue;
        const bool outageOver = bootNow() >= std::min(m_leaderSince, leader.leaseEndedBy) + outage;
        leader.isKnownStopped = hasWriterEnded(writer);
        if (outageOver || leader.isKnownStopped)
            leader.stoppedAt = bootNow();
        else if (queryNow)
            m_context.hub.send(writer.substr(0, writer.find('#')), announcement());
    }
}

LeaderAnnouncement RangeLeader::announcement() const
{
    return { m_service, m_context.settings.host, m_context.incarnation, m_lease.id(), m_claim, m_recordRevision };
}

Message RangeLeader::onLeaderAnnouncement(const LeaderAnnouncement& received)
{
    m_context.directory.recordLeader(
        received.service, { received.host, received.incarnation, received.lease, received.claim, received.revision });
    updateLeadership();
    // A record of an earlier era, which the directory does not take any more, still names a later leader than this
    // host.
    if (m_isLeader && m_recordRevision < received.revision)
        stepDown("another host was elected later");
    if (m_isLeader)
        return announcement();
    // A leader of an earlier era must not act on the end of one that may have led since: the revision of the reply
    // names no election of its.
    const bool isOutdated = eraOf(received.revision) < m_context.directory.storeEra();
    return LeaderSteppedDown { m_service, m_context.incarnation, isOutdated ? StoreRevision {} : received.revision };
}

void RangeLeader::onLeaderSteppedDown(const HostName& from, const LeaderSteppedDown& stopped)
{
    if (!m_isLeader || m_carriesOver || stopped.revision != m_recordRevision)
        return;
    const std::string writerPrefix = from + "#" + std::to_string(stopped.incarnation.value) + "/";
    for (auto& [writer, leader] : m_previousLeaders) {
        if (leader.stoppedAt || writer.compare(0, writerPrefix.size(), writerPrefix) != 0)
            continue;
        leader.stoppedAt = bootNow();
        leader.isKnownStopped = true;
        logEvent(EventKind::state, "predecessor_stopped", { { "service", m_service }, { "predecessor", writer } });
    }
}

void RangeLeader::tick()
{
    if (m_isLeader && !m_carriesOver && m_lease.era() == eraOf(m_recordRevision))
        m_leaseValidUntil = std::max(m_leaseValidUntil, m_lease.validUntil());
    updateLeadership();
    if (!mayRenew())
        return;
    const Millis now = monotonicNow();
    removeExpired(m_ledger, bootNow());
    checkPreviousLeaders();
    decay(m_plans.rates, now);
    probeUnreachable();
    stepDownIfCutOff();
    if (m_tableWritten)
        sendDueGrants();
    if (!m_writing && mayWriteTable() && now >= m_nextPlanAt) {
        m_nextPlanAt = now + kPlanInterval;
        plan();
    }
    announceRanges();
}

// Takes the latest table that this host knows of under new fencing tokens. If it was not written in this era, the store
// may have lost later ones, and then any upstream may hold any range.
void RangeLeader::writeFirstTable()
{
    const StoredTable* stored = m_context.directory.tableOf(m_service);
    m_tableRevision = stored ? stored->revision : StoreRevision {};
    loadPreviousLeaders(stored ? *stored : StoredTable {});
    m_announcedRanges = stored ? stored->table.ranges : std::vector<Range>();
    m_announcedRevision = m_tableRevision;
    std::vector<Range> ranges = stored ? stored->table.ranges : initialRanges();
    if (ranges.empty())
        return;
    const bool isLatest = stored ? eraOf(m_tableRevision) == m_era
                                 : m_context.settings.firstStart && !m_context.directory.hasEraRisen();
    m_unknownGrantsEnd = stored ? stored->receivedAt + stored->table.unknownGrantsFor : Millis(0);
    if (!isLatest) {
        m_unknownGrantsEnd = std::max(m_unknownGrantsEnd, unknownGrantsEnd());
        logEvent(EventKind::process, "table_of_earlier_era",
            { { "service", m_service }, { "era", m_era.value }, { "table_era", eraOf(m_tableRevision).value },
                { "wait_ms", (m_unknownGrantsEnd - bootNow()).count() } });
    }
    for (auto& it : ranges) {
        it.fence = kFenceOfThisWrite;
        if (!isLatest)
            addUnknownOwner(it);
    }
    writeTable(std::move(ranges));
}

// A write whose outcome is unknown is repeated with the same text. At most one of the two can take effect; if the first
// did, the second fails with a conflict that shows the same text.
void RangeLeader::writeTable(std::vector<Range> ranges)
{
    std::string text = m_unsettledText;
    if (text.empty()) {
        RangeTable table;
        table.writer = writerName() + "/" + std::to_string(++m_writeCount);
        table.era = eraOf(m_recordRevision);
        table.unknownGrantsFor = std::max(Millis(0), m_unknownGrantsEnd - bootNow());
        table.ranges = std::move(ranges);
        std::set<InstanceId> owners;
        for (const auto& it : table.ranges)
            owners.insert(it.owner);
        const std::size_t pacedRanges = std::min(table.ranges.size(), kMaxPacedRangesPerOwner * owners.size());
        table.grantTtl = std::max(
            { grantTtlFor(pacedRanges, m_context.settings.processorPercent), m_table.grantTtl, m_earlierGrantTtl });
        for (const auto& [writer, leader] : m_previousLeaders) {
            if (!leader.stoppedAt)
                table.previousWriters.push_back({ writer, bootNow() - leader.leaseEndedBy });
        }
        text = encode(table);
    }
    m_writing = true;
    // What an earlier era had at the table's key says nothing, although its revision may have been given out again. The
    // conflict then shows what is there.
    const bool isOfThisEra = eraOf(m_tableRevision) == eraOf(m_recordRevision);
    const StoreRevision expected = m_storedTable.value_or(isOfThisEra ? m_tableRevision : StoreRevision {});
    const ConditionalWrite write { { { claimKey(m_service, m_claim), m_recordRevision },
                                       { tableKey(m_service), expected } },
        { { tableKey(m_service), text, kNoLease } } };
    m_context.directory.store().write(
        write, [this, start = m_startCount, text](const WriteResult& result) { onTableWritten(start, text, result); });
}

// Ignores a table write that is in flight or has an unknown outcome from now on: its text was made before this start
// and does not name the leaders whose grants this start has to wait for. The store can still carry it out before the
// first write of this start, which then conflicts and begins from that table. Afterwards it cannot, because the claim
// is gone or the table has another revision.
void RangeLeader::abandonTableWrite()
{
    ++m_startCount;
    m_writing = false;
    m_unsettledText.clear();
}

void RangeLeader::onTableWritten(std::uint64_t start, const std::string& text, const WriteResult& result)
{
    if (start != m_startCount)
        return logEvent(EventKind::state, "table_write_outdated",
            { { "service", m_service }, { "leading", m_isLeader },
                { "written", std::holds_alternative<Written>(result) } });
    m_writing = false;
    if (!m_isLeader)
        return;
    if (const auto* written = std::get_if<Written>(&result)) {
        m_unsettledText.clear();
        // The store came back from an older copy before or since: the leader claims its office and writes again.
        const StoreEra era = eraOf(written->revision);
        if (era != eraOf(m_recordRevision) || era != m_context.directory.storeEra())
            return;
        if (auto table = decodeRangeTable(text, written->revision))
            adoptTable(std::move(*table), written->revision);
        return;
    }
    if (const auto* conflict = std::get_if<WriteConflict>(&result))
        return resolveConflict(text, *conflict);
    const auto& error = std::get<StoreError>(result);
    m_unsettledText = error.outcome == WriteOutcome::unknown ? text : "";
    logEvent(EventKind::state, "table_write_failed",
        { { "service", m_service }, { "status", error.httpStatus },
            { "outcome", error.outcome == WriteOutcome::unknown ? "unknown" : "not applied" } });
}

void RangeLeader::resolveConflict(const std::string& text, const WriteConflict& conflict)
{
    m_unsettledText.clear();
    if (eraOf(m_recordRevision) != m_context.directory.storeEra())
        return;
    const KeyChange* claim = nullptr;
    const KeyChange* tableRecord = nullptr;
    for (const auto& it : conflict.current) {
        claim = it.key == claimKey(m_service, m_claim) ? &it : claim;
        tableRecord = it.key == tableKey(m_service) ? &it : tableRecord;
    }
    if (!claim || claim->version != m_recordRevision || !claim->text)
        return stepDown("the leader record names another host");
    m_storedTable = tableRecord && tableRecord->text ? tableRecord->version : StoreRevision {};
    m_nextPlanAt = Millis(0);
    if (*m_storedTable == StoreRevision {})
        return;
    auto current = decodeRangeTable(*tableRecord->text, tableRecord->version);
    if (!current)
        return stepDown("the table cannot be read");
    if (*tableRecord->text == text)
        return adoptTable(std::move(*current), tableRecord->version);
    const StoreRevision revision = revisionOf(*current, tableRecord->version);
    // An older table, from the copy of the store or from this leader's write in an earlier era, is written over.
    const bool isOwn = m_tableWritten && current->writer.compare(0, writerName().size(), writerName()) == 0;
    if (isOwn || revision <= m_tableRevision)
        return;
    // A previous leader's write that this host had not seen: start over from that table.
    m_context.directory.recordTable(m_service, { std::move(*current), revision, {} });
    m_tableWritten = false;
}

// The state that a range starts with after a write, taken over from the range that contained its first slot before. At
// this leader's first write there is none; then grants of previous leaders may be valid if there was a table. A proof
// about them holds for the slots whose owner gave it, whoever owns them now.
RangeLeader::RangeState RangeLeader::carryOverState(const Range& range, bool isFirstWrite) const
{
    RangeState state;
    if (isFirstWrite) {
        state.hasEarlierGrants = m_tableRevision.value != 0;
        state.active = range.previous.empty() && m_tableRevision.value != 0;
        return state;
    }
    const Range* old = findRange(m_table, range.first);
    const auto found = old ? m_rangeStates.find(keyOf(*old)) : m_rangeStates.end();
    if (found == m_rangeStates.end())
        return state;
    const RangeState& known = found->second;
    if (old->owner == range.owner && old->fence == range.fence) {
        state = known;
        state.granting = false;
    }
    state.active = old->owner == range.owner && known.active && !hasUnknownOwner(range);
    state.hasEarlierGrants = false;
    const Range* end = m_table.ranges.data() + m_table.ranges.size();
    for (const Range* it = old; it != end && it->first <= range.last; ++it) {
        const auto before = m_rangeStates.find(keyOf(*it));
        state.hasEarlierGrants |= before == m_rangeStates.end() || before->second.hasEarlierGrants;
    }
    state.handover = known.handover;
    state.previousOwners.clear();
    for (const auto& instance : range.previous) {
        const auto previousOwner = known.previousOwners.find(instance);
        if (previousOwner == known.previousOwners.end())
            continue;
        state.previousOwners[instance] = previousOwner->second;
        state.previousOwners[instance].releasing = false;
    }
    return state;
}

// Makes a written table the current one.
void RangeLeader::adoptTable(RangeTable table, StoreRevision stored)
{
    const bool isFirstWrite = !m_tableWritten;
    std::map<RangeKey, RangeState> states;
    for (const auto& it : table.ranges)
        states[keyOf(it)] = carryOverState(it, isFirstWrite);
    m_table = std::move(table);
    m_tableRevision = revisionOf(m_table, stored);
    m_storedTable.reset();
    m_rangeStates = std::move(states);
    m_tableWritten = true;
    if (std::exchange(m_carriesOver, false))
        m_leaseValidUntil = m_lease.validUntil();
    m_context.directory.recordTable(m_service, { m_table, m_tableRevision, {} });
    logEvent(EventKind::state, "table",
        { { "service", m_service }, { "revision", textOf(m_tableRevision) }, { "ranges", m_table.ranges.size() },
            { "first_of_keeper", isFirstWrite } });
}

void RangeLeader::onLoadReport(const LoadReport& report)
{
    for (const auto& [slot, n] : report.counts)
        countRequests(m_plans.rates, slot, n);
    for (const auto& it : report.runs)
        noteRunTime(m_ownerSpeeds, it.instance, it.runMs);
}

void RangeLeader::publishMetrics()
{
    if (!m_isLeader)
        return;
    m_context.metrics.set(
        "pistachiospur_hot_slots", { { "service", m_service } }, static_cast<double>(m_plans.hot.size()));
    std::map<UpstreamName, double> owned;
    for (const auto& it : m_table.ranges)
        owned[it.owner.name] += it.last.value - it.first.value + 1;
    for (const auto& [name, slots] : owned)
        m_context.metrics.set("pistachiospur_owned_slots", { { "upstream", name } }, slots);
}

} // namespace pistachiospur
