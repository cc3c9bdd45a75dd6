#include "quarantine_monitor.h"

#include "observe/events.h"
#include "reach_monitor.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace pistachiospur {

using Json = nlohmann::json;

namespace {

// An upstream that has not been found to have ended within this time of a broken run goes on: its entry in the store
// lapses within it.
constexpr Millis kConfirmTime { 5000 };
constexpr std::size_t kMaxBrokenRuns = 1024;
constexpr Millis kProbeTimeout { 400 };
constexpr Millis kProbeInterval { 250 };
constexpr std::size_t kMaxProbesInFlight = 8;
// The records of one lease end together. A lease that is older than this takes no further ones.
constexpr Millis kMaxLeaseAge { 60000 };
constexpr Millis kStoreRetryDelay { 1000 };
constexpr Millis kConflictDelay { 100 };
constexpr std::size_t kMaxRecordsPerWrite = 16; // the platform takes 32 entries, expectations included
constexpr Millis kExpiryInterval { 1000 };
constexpr std::size_t kMaxRequestText = 200; // bytes
constexpr int kFirstServerError = 500;

std::uint64_t breakIdOf(const InstanceId& instance)
{
    const std::int64_t start = instance.startTime.value;
    return XXH64(instance.name.data(), instance.name.size(), XXH64(&start, sizeof start, 0));
}

} // namespace

Millis quarantineLeft(const GatewayContext& context, const Request& request, Millis now)
{
    return quarantineLeft(context.quarantine, request.fingerprint, now);
}

void noteRun(GatewayContext& context, const UpstreamInstance& upstream, const Request& request, const Reply& reply,
    bool connectionBroke, Millis startedAt)
{
    if (request.fingerprint == 0)
        return;
    if (const auto* answer = std::get_if<Answer>(&reply)) {
        const bool isNoted = std::any_of(context.brokenRuns.begin(), context.brokenRuns.end(),
            [&](const BrokenRun& it) { return it.fingerprint == request.fingerprint; });
        if (answer->status < kFirstServerError && (isNoted || isSuspect(context.quarantine, request.fingerprint)))
            context.answeredSuspects.insert(request.fingerprint);
        return;
    }
    const Millis now = monotonicNow();
    const InstanceEntry* entry = context.directory.findInstance(upstream.id);
    // An upstream that drains ends as planned.
    const bool isPlanned = entry && !entry->entryGone && !mayTakeWork(*entry, now);
    if (!connectionBroke || isPlanned || context.brokenRuns.size() >= kMaxBrokenRuns)
        return;
    const std::string text = request.method + " " + request.target;
    context.brokenRuns.push_back({ request.fingerprint, request.id, text.substr(0, kMaxRequestText), upstream,
        startedAt, now, Millis(0), false });
}

QuarantineMonitor::QuarantineMonitor(GatewayContext& context)
    : m_context(context)
{
    m_context.directory.onQuarantineChange(
        [this](std::uint64_t fingerprint, const std::optional<QuarantineRecord>& record, StoreRevision version) {
            onRecord(fingerprint, record, version);
        });
}

void QuarantineMonitor::tick()
{
    const Millis now = monotonicNow();
    settleAnswers();
    settleBrokenRuns(now);
    publish(now);
    if (now < m_nextExpiryAt)
        return;
    m_nextExpiryAt = now + kExpiryInterval;
    expire(m_context.quarantine, now);
    for (auto it = m_details.begin(); it != m_details.end();) {
        const bool isKept = isSuspect(m_context.quarantine, it->first) || m_unpublished.count(it->first);
        it = isKept ? std::next(it) : m_details.erase(it);
    }
}

void QuarantineMonitor::forgetRuns(std::uint64_t fingerprint)
{
    auto& runs = m_context.brokenRuns;
    const auto isOf = [&](const BrokenRun& it) { return it.fingerprint == fingerprint; };
    runs.erase(std::remove_if(runs.begin(), runs.end(), isOf), runs.end());
}

void QuarantineMonitor::forget(std::uint64_t fingerprint)
{
    forgetRuns(fingerprint);
    m_context.quarantine.suspects.erase(fingerprint);
}

// An answer shows that the request does not end every upstream that runs it.
void QuarantineMonitor::settleAnswers()
{
    for (const auto fingerprint : std::exchange(m_context.answeredSuspects, {})) {
        forgetRuns(fingerprint);
        onAnswered(m_context.quarantine, fingerprint);
        if (isSuspect(m_context.quarantine, fingerprint) || !m_details.count(fingerprint))
            continue;
        logEvent(EventKind::state, "suspicion_ended",
            { { "fingerprint", fingerprintText(fingerprint) }, { "by", "answer" } });
        m_unpublished.insert(fingerprint);
    }
}

// Whether a run's upstream has ended: its entry or a later start shows it, or its address takes no connections while
// others of its service do.
bool QuarantineMonitor::hasEnded(const BrokenRun& run) const
{
    const InstanceEntry* entry = m_context.directory.findInstance(run.upstream.id);
    return !entry || entry->entryGone || m_context.directory.isProvenEnded(run.upstream.id)
        || (run.isUnreachable && !mayHaveLost(m_context.reach, run.upstream.service));
}

void QuarantineMonitor::settleBrokenRuns(Millis now)
{
    auto& runs = m_context.brokenRuns;
    std::vector<BrokenRun> left;
    for (auto& run : std::exchange(runs, {})) {
        if (hasEnded(run)) {
            confirm(run, now);
        } else if (now < run.brokenAt + kConfirmTime) {
            probe(run, now);
            left.push_back(std::move(run));
        }
    }
    runs = std::move(left);
}

void QuarantineMonitor::probe(BrokenRun& run, Millis now)
{
    const InstanceId& instance = run.upstream.id;
    const bool isDue = run.probedAt == Millis(0) || now >= run.probedAt + kProbeInterval;
    if (!isDue || m_probing.count(instance) || m_probing.size() >= kMaxProbesInFlight)
        return;
    run.probedAt = now;
    m_probing.insert(instance);
    HttpCall call;
    call.method = "GET";
    call.endpoint = run.upstream.endpoint;
    call.timeout = kProbeTimeout;
    call.freshConnection = true;
    call.connectOnly = true;
    m_context.http.start(std::move(call), [this, upstream = run.upstream, now](const HttpOutcome& outcome) {
        noteContact(m_context, upstream, outcome, now, kProbeTimeout);
        onProbed(upstream.id, outcome);
    });
}

// An upstream that takes a connection after a broken run goes on: the connection alone was lost.
void QuarantineMonitor::onProbed(const InstanceId& instance, const HttpOutcome& outcome)
{
    m_probing.erase(instance);
    const bool isConnected = std::holds_alternative<HttpAnswer>(outcome);
    auto& runs = m_context.brokenRuns;
    for (auto& it : runs)
        it.isUnreachable |= it.upstream.id == instance && !isConnected;
    if (!isConnected)
        return;
    const auto goesOn = [&](const BrokenRun& it) { return it.upstream.id == instance; };
    runs.erase(std::remove_if(runs.begin(), runs.end(), goesOn), runs.end());
}

void QuarantineMonitor::confirm(const BrokenRun& run, Millis now)
{
    const std::uint64_t fingerprint = run.fingerprint;
    const bool counts = addsEvidence(m_context.quarantine, fingerprint, run.startedAt)
        && addBreak(m_context.quarantine, { fingerprint, breakIdOf(run.upstream.id) }, now);
    const bool isRefused = isQuarantined(m_context.quarantine, fingerprint, now);
    logEvent(EventKind::state, isRefused ? "request_quarantined" : "request_suspected",
        { { "fingerprint", fingerprintText(fingerprint) }, { "request", run.requestId }, { "target", run.target },
            { "upstream", run.upstream.id.name }, { "born", run.upstream.id.startTime.value }, { "counts", counts },
            { "ran_ms", (run.brokenAt - run.startedAt).count() }, { "found_ms", (now - run.brokenAt).count() } });
    m_context.metrics.count("pistachiospur_upstream_ends_total", { { "counts", counts ? "yes" : "no" } });
    if (!counts)
        return;
    Details& details = m_details[fingerprint];
    details.request = run.target;
    details.cleared = false;
    m_unpublished.insert(fingerprint);
    m_context.quarantineChanged = true;
}

void QuarantineMonitor::onRecord(
    std::uint64_t fingerprint, const std::optional<QuarantineRecord>& record, StoreRevision version)
{
    Quarantine& quarantine = m_context.quarantine;
    const Millis now = monotonicNow();
    const bool wasRefused = isQuarantined(quarantine, fingerprint, now);
    Details& details = m_details[fingerprint];
    details.version = version;
    if (details.cleared && m_unpublished.count(fingerprint))
        return; // an operator has cleared it here, and that is still to be written
    if (!record || record->cleared) {
        // The record of a quarantined request may also go with its lease, in an outage of the store.
        if (record)
            forget(fingerprint);
        else
            onAnswered(quarantine, fingerprint);
        if (wasRefused && record)
            logEvent(EventKind::state, "quarantine_ended",
                { { "fingerprint", fingerprintText(fingerprint) }, { "by", "operator" } });
        return;
    }
    for (const auto it : record->breakIds)
        addBreak(quarantine, { fingerprint, it }, now);
    details.request = record->request;
    details.cleared = false;
    if (!wasRefused && isQuarantined(quarantine, fingerprint, now)) {
        logEvent(EventKind::state, "request_quarantined",
            { { "fingerprint", fingerprintText(fingerprint) }, { "target", record->request },
                { "revision", textOf(version) } });
        m_context.quarantineChanged = true;
    }
}

bool QuarantineMonitor::clear(std::uint64_t fingerprint)
{
    if (!isSuspect(m_context.quarantine, fingerprint))
        return false;
    forget(fingerprint);
    m_details[fingerprint].cleared = true;
    m_unpublished.insert(fingerprint);
    logEvent(EventKind::state, "quarantine_ended",
        { { "fingerprint", fingerprintText(fingerprint) }, { "by", "operator" } });
    return true;
}

void QuarantineMonitor::publish(Millis now)
{
    if (m_unpublished.empty() || m_callPending || now < m_nextCallAt)
        return;
    const bool hasLease
        = m_lease != kNoLease && m_leaseEra == m_context.directory.storeEra() && now < m_leaseOpenedAt + kMaxLeaseAge;
    m_callPending = true;
    if (hasLease)
        write();
    else
        openLease();
}

void QuarantineMonitor::openLease()
{
    m_context.directory.store().openLease(kQuarantineDuration, [this](const LeaseOpenResult& result) {
        m_callPending = false;
        const auto* opened = std::get_if<LeaseOpened>(&result);
        if (!opened) {
            m_nextCallAt = monotonicNow() + kStoreRetryDelay;
            return m_context.directory.recordStoreFailure("quarantine", std::get<StoreError>(result));
        }
        m_lease = opened->lease;
        m_leaseEra = opened->era;
        m_leaseOpenedAt = monotonicNow();
        publish(m_leaseOpenedAt);
    });
}

void QuarantineMonitor::write()
{
    ConditionalWrite write;
    std::vector<std::uint64_t> written;
    for (const auto fingerprint : m_unpublished) {
        if (written.size() >= kMaxRecordsPerWrite)
            break;
        const Details& details = m_details[fingerprint];
        const auto suspect = m_context.quarantine.suspects.find(fingerprint);
        const bool isKnown = suspect != m_context.quarantine.suspects.end();
        const QuarantineRecord record { isKnown ? suspect->second.breakIds : std::set<std::uint64_t>(), details.request,
            details.cleared && !isKnown };
        written.push_back(fingerprint);
        if (!isKnown && !details.cleared && details.version == StoreRevision {})
            continue;
        const std::string key = quarantineKey(fingerprint);
        const auto text = isKnown || details.cleared ? std::optional(encode(record)) : std::nullopt;
        write.expected.push_back({ key, details.version });
        write.puts.push_back({ key, text, text ? m_lease : kNoLease });
    }
    // What is found from here on is written next.
    for (const auto fingerprint : written)
        m_unpublished.erase(fingerprint);
    const auto onResult = [this, written](const WriteResult& result) { onWritten(written, result); };
    if (write.puts.empty())
        return onResult(Written {});
    m_context.directory.store().write(write, onResult);
}

void QuarantineMonitor::onWritten(const std::vector<std::uint64_t>& fingerprints, const WriteResult& result)
{
    m_callPending = false;
    if (!std::holds_alternative<Written>(result))
        m_unpublished.insert(fingerprints.begin(), fingerprints.end());
    if (const auto* conflict = std::get_if<WriteConflict>(&result)) {
        m_nextCallAt = monotonicNow() + kConflictDelay;
        for (const auto& it : conflict->current)
            resolveConflict(it);
        return;
    }
    if (const auto* error = std::get_if<StoreError>(&result)) {
        m_lease = kNoLease;
        m_nextCallAt = monotonicNow() + kStoreRetryDelay;
        return m_context.directory.recordStoreFailure("quarantine", *error);
    }
    for (const auto it : fingerprints) {
        m_details[it].version = isSuspect(m_context.quarantine, it) || m_details[it].cleared
            ? std::get<Written>(result).revision
            : StoreRevision {};
    }
}

// Another host has written the record since this host last knew it. An end that was found without knowing of the other
// one adds nothing to it; two that followed each other here do.
void QuarantineMonitor::resolveConflict(const KeyChange& current)
{
    const auto fingerprint = quarantinedFingerprint(current.key);
    if (!fingerprint)
        return;
    std::vector<FieldError> faults;
    const auto record = current.text ? decodeQuarantineRecord(*current.text, faults) : std::nullopt;
    Details& details = m_details[*fingerprint];
    details.version = current.text ? current.version : StoreRevision {};
    if (!record || record->cleared || details.cleared)
        return;
    if (!isQuarantined(m_context.quarantine, *fingerprint, monotonicNow())) {
        m_context.quarantine.suspects.erase(*fingerprint);
        m_unpublished.erase(*fingerprint);
    }
    onRecord(*fingerprint, record, current.version);
}

nlohmann::json QuarantineMonitor::report() const
{
    Json suspects = Json::array();
    const Millis now = monotonicNow();
    for (const auto& [fingerprint, suspect] : m_context.quarantine.suspects) {
        const auto details = m_details.find(fingerprint);
        suspects.push_back({ { "fingerprint", fingerprintText(fingerprint) },
            { "request", details == m_details.end() ? "" : details->second.request },
            { "upstreams_ended", suspect.breakIds.size() },
            { "refused_for_ms", quarantineLeft(m_context.quarantine, fingerprint, now).count() } });
    }
    return suspects;
}

} // namespace pistachiospur
