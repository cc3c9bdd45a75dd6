#include "directory.h"

#include "observe/events.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

// The part of Directory that keeps the upstreams' entries.
namespace pistachiospur {

namespace leaf = boost::leaf;

namespace {

// Whether an entry that is read in a later era than the known one is older than that: it is of an earlier process, or
// its upstream has said since that it leaves, or has left. An upstream that lives writes its entry again, with a higher
// heartbeat count.
bool isFromOlderCopy(const InstanceEntry& known, const UpstreamInstance& read, StoreRevision version)
{
    if (eraOf(version) <= eraOf(known.version))
        return false;
    if (read.id != known.instance.id)
        return read.id.startTime < known.instance.id.startTime;
    return (known.instance.draining && !read.draining)
        || (known.entryGone && read.heartbeats <= known.instance.heartbeats);
}

} // namespace

void Directory::applyUpstream(const UpstreamName& name, const KeyChange& change)
{
    std::optional<UpstreamInstance> instance;
    std::vector<FieldError> faults;
    if (change.text) {
        const FieldError noObject { FieldFault::wrongType, name, "", "", "a JSON object" };
        instance = leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<UpstreamInstance>> {
                BOOST_LEAF_AUTO(decoded, m_adapter.decodeUpstream(name, *change.text));
                return std::optional(std::move(decoded));
            },
            [&](const DocumentError& error) -> std::optional<UpstreamInstance> {
                faults = error.faults.empty() ? std::vector { noObject } : error.faults;
                return std::nullopt;
            },
            [&]() -> std::optional<UpstreamInstance> {
                faults = { noObject };
                return std::nullopt;
            });
    }
    noteRefusal("upstream_entry_refused", { "upstream", name }, change, faults);
    if (!instance)
        return applyUpstreamGone(name, change);
    if (m_endedInstances.count(instance->id) || m_replaced.count({ instance->id, instance->endpoint }))
        return;
    const Millis now = monotonicNow();
    const auto known = m_instances.find(name);
    const bool isKnown = known != m_instances.end() && known->second.instance.id == instance->id;
    if (known != m_instances.end() && isFromOlderCopy(known->second, *instance, change.version)) {
        logEvent(EventKind::state, "upstream_entry_outdated",
            { { "upstream", name }, { "born", instance->id.startTime.value },
                { "known_born", known->second.instance.id.startTime.value }, { "draining", instance->draining } });
        return;
    }
    InstanceEntry entry { *instance, std::nullopt, false, change.version };
    if (isKnown)
        entry.answeredAt = known->second.answeredAt;
    if (instance->draining)
        entry.noNewWorkFrom = isKnown && known->second.noNewWorkFrom.value_or(now) <= now
            ? known->second.noNewWorkFrom.value_or(now)
            : now;
    if (const auto departure = m_departures.find(instance->id); departure != m_departures.end())
        entry.noNewWorkFrom = std::min(departure->second, entry.noNewWorkFrom.value_or(departure->second));
    if (isKnown && known->second.instance == *instance && !known->second.entryGone) {
        known->second = std::move(entry);
        return;
    }
    logEvent(EventKind::state, "upstream",
        { { "upstream", name }, { "born", instance->id.startTime.value }, { "service", instance->service },
            { "endpoint", instance->endpoint.text() }, { "data_centre", instance->dataCentre },
            { "draining", instance->draining }, { "revision", textOf(change.version) } });
    m_instances[name] = std::move(entry);
}

void Directory::applyUpstreamGone(const UpstreamName& name, const KeyChange& change)
{
    const auto known = m_instances.find(name);
    if (known == m_instances.end() || known->second.entryGone)
        return;
    const Millis now = monotonicNow();
    const bool mayHaveLapsed = !change.text && now < m_lapseGraceEnd;
    known->second.entryGone = true;
    known->second.version = change.version;
    m_nextRemovalAt = Millis(0);
    if (!known->second.noNewWorkFrom)
        known->second.noNewWorkFrom = mayHaveLapsed ? m_lapseGraceEnd : now;
    logEvent(EventKind::state, "upstream_entry_gone",
        { { "upstream", name }, { "revision", textOf(change.version) }, { "perhaps_lapsed", mayHaveLapsed } });
}

const InstanceEntry* Directory::findInstance(const InstanceId& id) const
{
    const auto it = m_instances.find(id.name);
    return it == m_instances.end() || it->second.instance.id != id ? nullptr : &it->second;
}

const InstanceEntry* Directory::findSameOrLaterInstance(const InstanceId& id) const
{
    const auto it = m_instances.find(id.name);
    return it == m_instances.end() || it->second.instance.id.startTime < id.startTime ? nullptr : &it->second;
}

void Directory::recordAnswer(const UpstreamInstance& instance)
{
    const auto it = m_instances.find(instance.id.name);
    if (it != m_instances.end() && it->second.instance.id == instance.id)
        it->second.answeredAt = instance.endpoint;
}

void Directory::recordReplaced(const UpstreamInstance& instance)
{
    const InstanceId& id = instance.id;
    const auto it = m_instances.find(id.name);
    const bool isKnown = it != m_instances.end() && it->second.instance.id == id;
    const bool isProof = isKnown && it->second.answeredAt == instance.endpoint;
    const bool isNew = m_replaced.insert({ id, instance.endpoint }).second;
    if (!isNew && (!isProof || m_endedInstances.count(id)))
        return;
    if (isProof)
        m_endedInstances.insert(id);
    logEvent(EventKind::state, isProof ? "upstream_ended" : "upstream_misaddressed",
        { { "upstream", id.name }, { "born", id.startTime.value }, { "endpoint", instance.endpoint.text() },
            { "reason", "another upstream answers at its address" } });
    if (!isKnown || (!isProof && it->second.instance.endpoint != instance.endpoint))
        return;
    it->second.entryGone = true;
    m_nextRemovalAt = Millis(0);
    it->second.noNewWorkFrom = std::min(monotonicNow(), it->second.noNewWorkFrom.value_or(monotonicNow()));
    m_onChange();
}

void Directory::recordReportedReplaced(const InstanceId& id)
{
    const Millis now = monotonicNow();
    const auto it = m_instances.find(id.name);
    if (it == m_instances.end() || it->second.instance.id != id
        || it->second.noNewWorkFrom.value_or(Millis::max()) <= now)
        return;
    it->second.noNewWorkFrom = now;
    logEvent(EventKind::state, "upstream_misaddressed",
        { { "upstream", id.name }, { "born", id.startTime.value },
            { "reason", "another upstream answered another host at its address" } });
    m_onChange();
}

bool Directory::recordDeparture(const InstanceId& id)
{
    const auto [departure, added] = m_departures.emplace(id, monotonicNow());
    const auto it = m_instances.find(id.name);
    if (!added || it == m_instances.end() || it->second.instance.id != id)
        return added;
    it->second.noNewWorkFrom = std::min(departure->second, it->second.noNewWorkFrom.value_or(departure->second));
    m_onChange();
    return true;
}

} // namespace pistachiospur
