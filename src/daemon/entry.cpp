#include "entry.h"

#include "config/fields.h"

#include <algorithm>

namespace pistachiospur {

namespace {

constexpr unsigned kAttemptBits = 16;

bool isCallersFault(RefusalReason reason)
{
    const int status = factsOf(reason).status;
    return status >= 400 && status < 500 && reason != RefusalReason::memoryTooYoung;
}

std::string outcomeName(const Reply& reply)
{
    if (const auto* refusal = std::get_if<Refusal>(&reply))
        return refusal->ran == Ran::no ? "refused" : "unknown";
    return std::get<Answer>(reply).status < 500 ? "answered" : "failed";
}

// The renewers that can coordinate at present, in order of preference.
std::vector<HostName> candidates(const Node& node, const UpstreamRecord& record)
{
    std::vector<HostName> hosts;
    for (const auto& it : record.renewers) {
        const bool self = it == node.members.self;
        if (self ? node.readFromStore && !node.stopping : canCoordinate(node.members, it))
            hosts.push_back(it);
    }
    return hosts;
}

} // namespace

HttpResponse problemResponse(const Refusal& refusal)
{
    const auto& facts = factsOf(refusal.reason);
    const Json problem = { { "type", std::string("urn:pistachiospur:refusal:") + facts.name }, { "title", facts.title },
        { "status", facts.status }, { "ran", refusal.ran == Ran::no ? "no" : "unknown" } };
    HttpResponse response { facts.status, { { "Content-Type", "application/problem+json" } }, problem.dump() };
    if (facts.status == 503) {
        const auto seconds = std::max<std::int64_t>(1, (refusal.retryAfter.count() + 999) / 1000);
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return response;
}

Entry::Entry(Node& node, Coordinators& coordinators)
    : m_node(node)
    , m_coordinators(coordinators)
{
}

void Entry::onCaller(HttpRequest http, const Responder& responder)
{
    const auto startedAt = std::chrono::steady_clock::now();
    const Millis now = monotonicNow();
    const AdmitPolicy policy { limit(m_node, &Limits::defaultDeadlineMs) };
    auto admitted = admit(m_node.view.configuration, policy,
        { std::move(http.method), std::move(http.target), std::move(http.headers), std::move(http.body),
            http.tooLarge },
        now);
    if (const auto* refusal = std::get_if<Refusal>(&admitted))
        return refuse({}, responder, *refusal);
    auto& request = std::get<Request>(admitted);
    if (m_node.stopping)
        return refuse(request, responder, notRun(RefusalReason::stopping));
    if (isQuarantined(m_node.quarantine, request.fingerprint, now))
        return refuse(request, responder, notRun(RefusalReason::quarantined));
    if (!spendBudget(m_budgets[{ request.service, request.rank }]))
        return refuse(request, responder, notRun(RefusalReason::rankOverBudget, Millis(1000)));
    earnRetry(m_retryBudget);
    const RequestId id = m_nextId++;
    const Millis life = request.deadline - now;
    auto pending = std::make_unique<Pending>(Pending { std::move(request), responder, {}, startedAt, {}, 0, 0, 0, false,
        std::make_unique<Timer>([this, id] { onDeadline(id); }), nullptr });
    pending->deadline->once(life);
    m_pending.emplace(id, std::move(pending));
    attempt(id);
}

void Entry::refuse(const Request& request, const Responder& responder, const Refusal& refusal)
{
    responder.respond(problemResponse(refusal));
    account(request, refusal, 0);
}

// Finds the owner and its coordinator as this host sees them now. Each try looks anew: the owner may have changed.
void Entry::attempt(RequestId id)
{
    Pending& pending = *m_pending.at(id);
    const unsigned number = ++pending.attempt;
    const auto& ownership = m_node.view.ownership;
    const auto service = ownership.services.find(pending.request.service);
    const bool known = service != ownership.services.end() && pending.request.slot.value < service->second.slots.size();
    const auto owner = known ? service->second.slots[pending.request.slot.value].owner : kNoUpstream;
    const UpstreamName& upstream = ownership.names.nameOf(owner);
    const auto record = ownership.upstreams.find(upstream);
    if (record == ownership.upstreams.end())
        return onReply(id, number, notRun(RefusalReason::noOwner));
    const auto hosts = candidates(m_node, record->second);
    if (hosts.empty())
        return onReply(id, number, notRun(RefusalReason::noOwner));
    const HostName& host = hosts[pending.retry.tries % hosts.size()];
    pending.host = host;
    pending.handedOver = true;
    if (host == m_node.members.self)
        handLocal(id, upstream);
    else
        handRemote(id, upstream, host);
}

void Entry::handLocal(RequestId id, const UpstreamName& upstream)
{
    Pending& pending = *m_pending.at(id);
    pending.link = 0;
    const unsigned number = pending.attempt;
    const auto job = m_coordinators.handle(
        upstream, pending.request, [this, id, number](Reply reply) { onReply(id, number, std::move(reply)); });
    const auto it = m_pending.find(id);
    if (job && it != m_pending.end() && it->second->attempt == number)
        it->second->job = job;
}

void Entry::handRemote(RequestId id, const UpstreamName& upstream, const HostName& host)
{
    Pending& pending = *m_pending.at(id);
    Relay relay { id << kAttemptBits | (pending.attempt & ((1u << kAttemptBits) - 1)), upstream, pending.request };
    relay.request.deadline = pending.request.deadline - monotonicNow();
    const auto link = m_node.hub.send(host, relay);
    if (!link)
        return onReply(id, pending.attempt, notRun(RefusalReason::hostUnreachable));
    pending.link = *link;
}

void Entry::onRelayReply(const HostName& from, RelayReply reply)
{
    const RequestId id = reply.id >> kAttemptBits;
    const unsigned attempt = reply.id & ((1u << kAttemptBits) - 1);
    const auto it = m_pending.find(id);
    if (it == m_pending.end() || it->second->host != from) {
        m_node.metrics.count("pistachiospur_late_replies_total");
        return;
    }
    onReply(id, attempt, std::move(reply.reply));
}

void Entry::onLinkLost(const LostLink& lost)
{
    std::vector<std::pair<RequestId, unsigned>> affected;
    for (const auto& [id, pending] : m_pending) {
        if (pending->link == lost.link && pending->host == lost.host)
            affected.emplace_back(id, pending->attempt);
    }
    for (const auto& [id, attempt] : affected)
        onReply(id, attempt, lost.opened ? maybeRun(RefusalReason::hostLost) : notRun(RefusalReason::hostUnreachable));
}

// Takes the reply of one try. A reply of an earlier try is late and changes nothing.
void Entry::onReply(RequestId id, unsigned attempt, Reply reply)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end() || (it->second->attempt & ((1u << kAttemptBits) - 1)) != attempt) {
        m_node.metrics.count("pistachiospur_late_replies_total");
        return;
    }
    Pending& pending = *it->second;
    settleBudget(m_budgets[{ pending.request.service, pending.request.rank }], reply);
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (!refusal)
        return complete(id, std::move(reply));
    pending.host.clear();
    pending.link = 0;
    pending.job = 0;
    pending.handedOver = false;
    const auto pause = decideRetry(m_retryBudget, pending.retry, pending.request, *refusal, monotonicNow());
    if (!pause) {
        // Once a try may have run, a later refusal does not make that untrue.
        if (pending.retry.runs > 0)
            reply = Refusal { refusal->reason, Ran::unknown, refusal->retryAfter };
        return complete(id, std::move(reply));
    }
    m_node.metrics.count("pistachiospur_retries_total", { { "reason", factsOf(refusal->reason).name } });
    pending.pause = std::make_unique<Timer>([this, id] { this->attempt(id); });
    pending.pause->once(*pause);
}

void Entry::onDeadline(RequestId id)
{
    Pending& pending = *m_pending.at(id);
    const bool mayHaveRun = pending.handedOver || pending.retry.runs > 0;
    if (pending.link)
        m_node.hub.send(
            pending.host, RelayCancel { id << kAttemptBits | (pending.attempt & ((1u << kAttemptBits) - 1)) });
    const auto job = pending.job;
    complete(id, mayHaveRun ? maybeRun(RefusalReason::deadlinePassed) : notRun(RefusalReason::deadlinePassed));
    if (job)
        m_coordinators.cancel(job);
}

void Entry::complete(RequestId id, Reply reply)
{
    const auto pending = std::move(m_pending.at(id));
    m_pending.erase(id);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - pending->startedAt;
    account(pending->request, reply, took.count());
    if (const auto* refusal = std::get_if<Refusal>(&reply)) {
        pending->responder.respond(problemResponse(*refusal));
        return;
    }
    auto& answer = std::get<Answer>(reply);
    pending->responder.respond({ answer.status, std::move(answer.headers), std::move(answer.body) });
}

void Entry::account(const Request& request, const Reply& reply, double seconds)
{
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (refusal)
        m_node.metrics.count("pistachiospur_refusals_total", { { "reason", factsOf(refusal->reason).name } });
    m_node.metrics.count("pistachiospur_requests_total",
        { { "service", request.service }, { "rank", request.rank }, { "outcome", outcomeName(reply) } });
    const auto rank = m_node.view.configuration.ranks.find(request.rank);
    if (rank == m_node.view.configuration.ranks.end() || (refusal && isCallersFault(refusal->reason)))
        return;
    const auto* answer = std::get_if<Answer>(&reply);
    const bool good
        = answer && answer->status < 500 && seconds * 1000 <= static_cast<double>(rank->second.target.count());
    countOutcome(m_node.burn[{ request.service, request.rank }], good, monotonicNow());
    if (answer)
        m_node.metrics.observeLatency(request.service, request.rank, seconds);
}

} // namespace pistachiospur
