#include "catch_up.h"

#include "observe/events.h"

#include <algorithm>

namespace pistachiospur {

namespace {

// A host asks another one when its copy has this age, in percent of the time within which a change must be in force;
// before it would read the store itself.
constexpr int kAskAgePercent = 45;
constexpr Millis kAskInterval { 200 };
constexpr Millis kMaxAskInterval { 1600 }; // while nobody has a newer copy
// A host waits for an answer on whose link bytes arrive, up to this time. A large configuration takes half a second on
// a small link, and several answers at once would take as many times longer.
constexpr Millis kMaxAnswerTime { 1000 };
// After this many attempts to fill a gap the host reads the store.
constexpr unsigned kGapAttempts = 3;
// A peer's clock is asked for again after this time, because clocks drift.
constexpr Millis kOffsetLifetime { 10000 };

} // namespace

std::optional<HostName> sourceAt(const CopySources& sources, unsigned attempt)
{
    if (sources.relay && attempt == 0)
        return sources.relay;
    const unsigned n = sources.relay ? attempt - 1 : attempt;
    const bool isRemoteTurn = n % 2 == 1;
    const auto& hosts
        = sources.near.empty() || (isRemoteTurn && !sources.remote.empty()) ? sources.remote : sources.near;
    if (hosts.empty())
        return std::nullopt;
    return hosts[n / 2 % hosts.size()];
}

CatchUp::CatchUp(GatewayContext& context)
    : m_context(context)
{
}

bool CatchUp::isOld() const
{
    const auto& limits = m_context.settings.limits;
    return m_context.directory.age()
        >= Millis(std::min({ limits.changeMs, limits.drainMs, limits.evacuateMs })) * kAskAgePercent / 100;
}

// Each host has an order of its own, so that the hosts of a data centre do not all ask the same one.
CopySources CatchUp::sources() const
{
    const Millis now = monotonicNow();
    const auto& self = m_context.settings;
    CopySources found { m_relay, {}, {} };
    for (const auto& host : rankedHosts(m_context, "copies/" + self.host, "")) {
        if (isSelf(m_context, host) || !canTakeWork(m_context, host, now))
            continue;
        const auto& entry = m_context.directory.hosts().at(host);
        (entry.dataCentre == self.dataCentre ? found.near : found.remote).push_back(host);
    }
    return found;
}

void CatchUp::tick()
{
    if (!m_relay && !isOld()) {
        m_attempts = 0;
        return;
    }
    const Millis now = monotonicNow();
    if (now < m_nextAskAt || isAnswerArriving(now) || m_context.directory.revision() == StoreRevision {})
        return;
    if (m_relay && m_attempts == kGapAttempts)
        m_context.directory.readAlone();
    const unsigned attempt = m_attempts++;
    m_nextAskAt = now + std::min(kMaxAskInterval, kAskInterval * (1 + attempt / 4));
    m_asked = sourceAt(sources(), attempt);
    m_askedAt = now;
    if (m_asked)
        ask(*m_asked);
}

bool CatchUp::isAnswerArriving(Millis now) const
{
    if (!m_asked || now - m_askedAt >= kMaxAnswerTime)
        return false;
    const auto received = m_context.hub.lastReceivedFrom(*m_asked);
    return received && *received > m_askedAt && now - *received < kAskInterval;
}

void CatchUp::ask(const HostName& host)
{
    m_context.hub.send(host, ReplicaRequest { m_context.directory.revision(), bootNow() });
    m_context.metrics.count("pistachiospur_copy_requests_total");
}

void CatchUp::onGap(const HostName& relay)
{
    if (!m_relay) {
        m_attempts = 0;
        m_nextAskAt = Millis(0);
    }
    m_relay = relay;
    tick();
}

// The answer is for the process that asked: it has a time of that process's boot clock, and another one might take it
// for the answer to a question of its own.
void CatchUp::onRequest(const HostLife& from, const ReplicaRequest& request)
{
    const Directory& directory = m_context.directory;
    const Millis now = bootNow();
    ReplicaBatch answer { {}, request.askedAt, now, now - directory.age(), directory.lapseGrace() };
    if (auto batch = directory.changesSince(request.since)) {
        answer.batch = std::move(*batch);
    } else {
        answer.isComplete = false;
        if (eraOf(request.since) <= eraOf(directory.revision())) {
            KeyList list = directory.keysSince(request.since);
            answer.batch = std::move(list.puts);
            answer.keys = std::move(list.keys);
        }
    }
    m_context.hub.sendToLife(from, answer);
}

void CatchUp::onBatch(const HostName& from, const ReplicaBatch& answer)
{
    const Millis now = bootNow();
    if (m_asked == from)
        m_asked.reset();
    // The answer was made at the time of the request or later.
    m_offsets[from] = { answer.askedAt - answer.answeredAt, now };
    const Millis ageBefore = m_context.directory.age();
    const Millis age = std::max(Millis(0), now - (answer.confirmedAt + m_offsets[from].least));
    if (!apply(answer, age)) {
        if (m_attempts < kGapAttempts)
            m_nextAskAt = Millis(0);
        return;
    }
    if (m_relay || ageBefore - m_context.directory.age() >= kAskInterval)
        logEvent(EventKind::process, "copy_caught_up",
            { { "peer", from }, { "revision", textOf(m_context.directory.revision()) },
                { "changes", answer.batch.changes.size() }, { "age_before_ms", ageBefore.count() },
                { "age_ms", m_context.directory.age().count() } });
    m_relay.reset();
}

bool CatchUp::apply(const ReplicaBatch& answer, Millis age)
{
    Directory& directory = m_context.directory;
    if (answer.isComplete)
        return directory.applyRelayedBatch(answer.batch, age, answer.lapseGrace);
    return !answer.keys.empty() && directory.applyRelayedKeys({ answer.keys, answer.batch }, age, answer.lapseGrace);
}

std::optional<Millis> CatchUp::ageOf(const HostName& from, const WatchUpdate& update)
{
    if (update.confirmedAt == Millis(0))
        return update.age; // an earlier build
    const Millis now = bootNow();
    auto known = m_offsets.find(from);
    // A copy cannot be complete to a time yet to come: the host's clock is another one than before.
    if (known != m_offsets.end() && now < update.confirmedAt + known->second.least) {
        m_offsets.erase(known);
        known = m_offsets.end();
    }
    if (known == m_offsets.end() || now - known->second.knownAt >= kOffsetLifetime) {
        Millis& askedAt = m_clockAskedAt[from];
        if (monotonicNow() >= askedAt + kAskInterval) {
            askedAt = monotonicNow();
            ask(from);
        }
    }
    return known == m_offsets.end() ? std::nullopt : std::optional(now - (update.confirmedAt + known->second.least));
}

void CatchUp::onLinkOpened(const HostName& host) { m_offsets.erase(host); }

} // namespace pistachiospur
