#include "heartbeats.h"

#include "config/fields.h"
#include "observe/log.h"

namespace pistachiospur {

namespace {

// Interval at which a host that is not the relay root reads the host list even if no copy differs.
constexpr Millis kFallbackListReadInterval { 300000 };

} // namespace

Heartbeats::Heartbeats(HostContext& context, std::function<void()> onChange,
    std::function<void(const HostName&, StoreRevision)> onRevision)
    : m_context(context)
    , m_onChange(std::move(onChange))
    , m_onRevision(std::move(onRevision))
    , m_heartbeatTimer([this] { tick(); })
    , m_listTimer([this] { readHostListIfDue(); })
{
}

void Heartbeats::start()
{
    readHostList();
    m_heartbeatTimer.every(limit(m_context, &Limits::heartbeatIntervalMs));
    m_listTimer.every(limit(m_context, &Limits::hostListIntervalMs));
}

void Heartbeats::tick()
{
    const MemberTiming timing { limit(m_context, &Limits::suspectAfterMs), limit(m_context, &Limits::deadAfterMs) };
    detectFailures(m_context.members, timing, monotonicNow());
    sendHeartbeats();
    logAndNotifyChanges();
}

void Heartbeats::sendHeartbeats()
{
    for (const auto& it : heartbeatTargets(m_context.members))
        m_context.send(it, makeHeartbeat(false));
}

Heartbeat Heartbeats::makeHeartbeat(bool isReply)
{
    return { m_context.members.incarnation, m_context.stopping, m_context.hasReadStore, isReply,
        m_context.replica.revision, m_context.members.listDigest, nextRumours(m_context.members),
        nextSuspicions(m_context.quarantine) };
}

void Heartbeats::onHeartbeat(const HostName& from, const Heartbeat& heartbeat)
{
    const Millis now = monotonicNow();
    onDirectMessage(m_context.members, from, heartbeat.incarnation, heartbeat.leaving, now);
    if (onListDigest(m_differences, from, heartbeat.listDigest == m_context.members.listDigest, now))
        readHostList();
    onReadiness(m_context.members, from, heartbeat.ready);
    for (const auto& it : heartbeat.rumours)
        onRumour(m_context.members, it, now);
    for (const auto& it : heartbeat.suspicions)
        recordBreak(m_context.quarantine, it, now);
    if (!heartbeat.isReply)
        m_context.send(from, makeHeartbeat(true));
    m_onRevision(from, heartbeat.revision);
    logAndNotifyChanges();
}

// The relay root of each data centre reads the list at every interval and forwards changes. Any other host reads it at
// its start, at kFallbackListReadInterval, and when another host's copy has differed from its own for a while.
void Heartbeats::readHostListIfDue()
{
    const Millis now = monotonicNow();
    const bool root = relayRoot(m_context.members) == m_context.members.self;
    if (root || !m_context.members.listRead || now - m_listReadAt >= kFallbackListReadInterval)
        readHostList();
}

void Heartbeats::onHostListUpdate(const HostListChange& change)
{
    const auto applied = applyHostListChange(m_context.members, change, monotonicNow());
    m_context.members.own.leaving = m_context.members.own.leaving || m_context.stopping;
    if (applied.isEmpty())
        return;
    forwardToChildren(applied);
    logAndNotifyChanges();
}

void Heartbeats::forwardToChildren(const HostListChange& change)
{
    for (const auto& child : relayChildren(m_context.members))
        m_context.send(child, HostListUpdate { change });
}

void Heartbeats::readHostList()
{
    m_listReadAt = monotonicNow();
    HttpCall call;
    call.method = "GET";
    call.url = "http://" + m_context.settings.hostList.text() + "/hosts";
    call.timeout = limit(m_context, &Limits::storeTimeoutMs);
    m_context.http.start(call, [this](const HttpOutcome& outcome) {
        const auto* answer = std::get_if<HttpAnswer>(&outcome);
        if (answer && answer->status == 200)
            onHostListRead(answer->body);
    });
}

void Heartbeats::onHostListRead(const std::string& body)
{
    std::vector<FieldError> errors;
    const auto document = parseDocument(body, "host list", errors);
    if (!document)
        return;
    FieldReader reader(*document, "host list", errors);
    std::vector<ListedHost> list;
    for (const auto& object : reader.objects("hosts", 0)) {
        FieldReader host(object, "host list", errors);
        ListedHost listed { host.text("host"), host.text("data_centre"), host.endpoint("peers"), false };
        listed.leaving = host.oneOf("state", { "live", "leaving" }, "live") == "leaving";
        list.push_back(listed);
    }
    if (!errors.empty())
        return;
    const auto applied = applyHostList(m_context.members, list, monotonicNow());
    m_context.members.own.leaving = m_context.members.own.leaving || m_context.stopping;
    if (!applied.isEmpty())
        forwardToChildren(applied);
    logAndNotifyChanges();
}

void Heartbeats::logAndNotifyChanges()
{
    std::map<HostName, LoggedState> current;
    for (const auto& [name, member] : m_context.members.hosts)
        current[name] = { member.state, member.leaving, member.ready };
    current[m_context.members.self] = { HostState::alive, m_context.members.own.leaving, m_context.hasReadStore };
    if (current == m_loggedStates)
        return;
    static const char* const names[] = { "alive", "suspect", "dead" };
    for (const auto& [name, state] : current) {
        const auto it = m_loggedStates.find(name);
        if (it == m_loggedStates.end() || it->second != state)
            logInfo("host " + name + " is " + names[static_cast<int>(state.state)] + (state.leaving ? ", leaving" : "")
                + (state.ready ? "" : ", not ready to coordinate"));
    }
    for (const auto& [name, state] : m_loggedStates) {
        if (!current.count(name))
            logInfo("host " + name + " is no longer in the platform's host list");
    }
    m_loggedStates = std::move(current);
    m_context.metrics.set("pistachiospur_hosts_alive", {}, static_cast<double>(liveHosts(m_context.members).size()));
    m_onChange();
}

} // namespace pistachiospur
