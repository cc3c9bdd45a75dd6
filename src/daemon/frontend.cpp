#include "frontend.h"

#include "config/fields.h"
#include "peers/relay_id.h"

#include <algorithm>

namespace pistachiospur {

namespace {

// A relay's id is the request's id followed by this many low bits of the attempt's number.
constexpr unsigned kAttemptBits = 16;

// True if the caller caused the refusal, which then does not count against the service's error budget.
bool isCallerError(RefusalReason reason)
{
    const int status = factsOf(reason).status;
    return status >= 400 && status < 500 && reason != RefusalReason::idempotencyCacheTooYoung;
}

std::string outcomeName(const Reply& reply)
{
    if (const auto* refusal = std::get_if<Refusal>(&reply))
        return refusal->ran == Ran::no ? "refused" : "unknown";
    return std::get<Answer>(reply).status < 500 ? "answered" : "failed";
}

// The upstream's renewers that are currently able to coordinate, in order of preference.
std::vector<HostName> availableRenewers(const HostContext& context, const UpstreamRecord& record)
{
    std::vector<HostName> hosts;
    for (const auto& host : record.renewers) {
        const bool isSelf = host == context.members.self;
        if (isSelf ? context.hasReadStore && !context.stopping : canCoordinate(context.members, host))
            hosts.push_back(host);
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

Frontend::Frontend(HostContext& context, Coordinators& coordinators)
    : m_context(context)
    , m_coordinators(coordinators)
    , m_nextId(firstRequestNumber(context.self.incarnation, kAttemptBits))
{
}

void Frontend::onCallerRequest(HttpRequest http, const Responder& responder)
{
    const auto startedAt = std::chrono::steady_clock::now();
    const Millis now = monotonicNow();
    const AdmitPolicy policy { limit(m_context, &Limits::defaultDeadlineMs) };
    auto admitted = admit(m_context.view.configuration, policy,
        { std::move(http.method), std::move(http.target), std::move(http.headers), std::move(http.body),
            http.tooLarge },
        now);
    if (const auto* refusal = std::get_if<Refusal>(&admitted))
        return refuse({}, responder, *refusal);
    auto& request = std::get<Request>(admitted);
    if (m_context.stopping)
        return refuse(request, responder, notRun(RefusalReason::stopping));
    if (isQuarantined(m_context.quarantine, request.fingerprint, now))
        return refuse(request, responder, notRun(RefusalReason::quarantined));
    if (!spendBudget(m_budgets[{ request.service, request.rank }]))
        return refuse(request, responder, notRun(RefusalReason::rankOverBudget, Millis(1000)));
    addRetryTokens(m_retryBudget);
    const RequestId id = m_nextId++;
    const Millis timeLeft = request.deadline - now;
    auto pending = std::make_unique<Pending>(Pending { std::move(request), responder, {}, startedAt, {}, 0, 0, 0, false,
        std::make_unique<Timer>([this, id] { onDeadline(id); }), nullptr });
    pending->deadlineTimer->once(timeLeft);
    m_pending.emplace(id, std::move(pending));
    startAttempt(id);
}

void Frontend::refuse(const Request& request, const Responder& responder, const Refusal& refusal)
{
    responder.respond(problemResponse(refusal));
    recordOutcome(request, refusal, 0);
}

// Finds the slot's owner and the owner's coordinator in this host's current copy of the records, and sends the request
// to the coordinator. Each attempt looks them up again, because they may have changed.
void Frontend::startAttempt(RequestId id)
{
    Pending& pending = *m_pending.at(id);
    const unsigned number = ++pending.attempt;
    const auto& ownership = m_context.view.ownership;
    const auto service = ownership.services.find(pending.request.service);
    const bool known = service != ownership.services.end() && pending.request.slot.value < service->second.slots.size();
    const auto owner = known ? service->second.slots[pending.request.slot.value].owner : kNoUpstream;
    const UpstreamName& upstream = ownership.names.nameOf(owner);
    const auto record = ownership.upstreams.find(upstream);
    if (record == ownership.upstreams.end())
        return onReply(id, number, notRun(RefusalReason::noOwner));
    const auto hosts = availableRenewers(m_context, record->second);
    if (hosts.empty())
        return onReply(id, number, notRun(RefusalReason::noOwner));
    const HostName& host = hosts[pending.retry.tries % hosts.size()];
    pending.host = host;
    pending.dispatched = true;
    if (host == m_context.members.self)
        submitLocally(id, upstream);
    else
        relayTo(id, upstream, host);
}

void Frontend::submitLocally(RequestId id, const UpstreamName& upstream)
{
    Pending& pending = *m_pending.at(id);
    pending.link = 0;
    const unsigned number = pending.attempt;
    const auto job = m_coordinators.submit(
        upstream, pending.request, [this, id, number](Reply reply) { onReply(id, number, std::move(reply)); });
    const auto it = m_pending.find(id);
    if (job && it != m_pending.end() && it->second->attempt == number)
        it->second->job = job;
}

void Frontend::relayTo(RequestId id, const UpstreamName& upstream, const HostName& host)
{
    Pending& pending = *m_pending.at(id);
    Relay relay { id << kAttemptBits | (pending.attempt & ((1u << kAttemptBits) - 1)), upstream, pending.request };
    relay.request.deadline = pending.request.deadline - monotonicNow();
    const auto link = m_context.hub.send(host, relay);
    if (!link)
        return onReply(id, pending.attempt, notRun(RefusalReason::hostUnreachable));
    pending.link = *link;
}

void Frontend::onRelayReply(const HostName& from, RelayReply reply)
{
    const RequestId id = reply.id >> kAttemptBits;
    const unsigned attempt = reply.id & ((1u << kAttemptBits) - 1);
    const auto it = m_pending.find(id);
    if (it == m_pending.end() || it->second->host != from) {
        m_context.metrics.count("pistachiospur_late_replies_total");
        return;
    }
    onReply(id, attempt, std::move(reply.reply));
}

void Frontend::onLinkLost(const LostLink& lost)
{
    std::vector<std::pair<RequestId, unsigned>> affected;
    for (const auto& [id, pending] : m_pending) {
        if (lossOf(lost, pending->link) != LinkLoss::unaffected)
            affected.emplace_back(id, pending->attempt);
    }
    for (const auto& [id, attempt] : affected) {
        const auto it = m_pending.find(id);
        if (it == m_pending.end())
            continue;
        const bool sent = lossOf(lost, it->second->link) == LinkLoss::sent;
        onReply(id, attempt, sent ? maybeRun(RefusalReason::hostLost) : notRun(RefusalReason::hostUnreachable));
    }
}

// Handles the reply to an attempt. A reply to an earlier attempt is late and ignored.
void Frontend::onReply(RequestId id, unsigned attempt, Reply reply)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end() || (it->second->attempt & ((1u << kAttemptBits) - 1)) != attempt) {
        m_context.metrics.count("pistachiospur_late_replies_total");
        return;
    }
    Pending& pending = *it->second;
    adjustBudget(m_budgets[{ pending.request.service, pending.request.rank }], reply);
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (!refusal)
        return complete(id, std::move(reply));
    pending.host.clear();
    pending.link = 0;
    pending.job = 0;
    pending.dispatched = false;
    const auto delay = decideRetry(m_retryBudget, pending.retry, pending.request, *refusal, monotonicNow());
    if (!delay) {
        // If an earlier attempt may have been executed, the final refusal must say so.
        if (pending.retry.runs > 0)
            reply = Refusal { refusal->reason, Ran::unknown, refusal->retryAfter };
        return complete(id, std::move(reply));
    }
    m_context.metrics.count("pistachiospur_retries_total", { { "reason", factsOf(refusal->reason).name } });
    pending.retryTimer = std::make_unique<Timer>([this, id] { startAttempt(id); });
    pending.retryTimer->once(*delay);
}

void Frontend::onDeadline(RequestId id)
{
    Pending& pending = *m_pending.at(id);
    const bool mayHaveRun = pending.dispatched || pending.retry.runs > 0;
    if (pending.link)
        m_context.hub.send(
            pending.host, RelayCancel { id << kAttemptBits | (pending.attempt & ((1u << kAttemptBits) - 1)) });
    const auto job = pending.job;
    complete(id, mayHaveRun ? maybeRun(RefusalReason::deadlinePassed) : notRun(RefusalReason::deadlinePassed));
    if (job)
        m_coordinators.cancel(job);
}

void Frontend::complete(RequestId id, Reply reply)
{
    const auto pending = std::move(m_pending.at(id));
    m_pending.erase(id);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - pending->startedAt;
    recordOutcome(pending->request, reply, took.count());
    if (const auto* refusal = std::get_if<Refusal>(&reply)) {
        pending->responder.respond(problemResponse(*refusal));
        return;
    }
    auto& answer = std::get<Answer>(reply);
    pending->responder.respond({ answer.status, std::move(answer.headers), std::move(answer.body) });
}

void Frontend::recordOutcome(const Request& request, const Reply& reply, double seconds)
{
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (refusal)
        m_context.metrics.count("pistachiospur_refusals_total", { { "reason", factsOf(refusal->reason).name } });
    m_context.metrics.count("pistachiospur_requests_total",
        { { "service", request.service }, { "rank", request.rank }, { "outcome", outcomeName(reply) } });
    const auto rank = m_context.view.configuration.ranks.find(request.rank);
    if (rank == m_context.view.configuration.ranks.end() || (refusal && isCallerError(refusal->reason)))
        return;
    const auto* answer = std::get_if<Answer>(&reply);
    const bool good
        = answer && answer->status < 500 && seconds * 1000 <= static_cast<double>(rank->second.target.count());
    countOutcome(m_context.burn[{ request.service, request.rank }], good, monotonicNow());
    if (answer)
        m_context.metrics.observeLatency(request.service, request.rank, seconds);
}

} // namespace pistachiospur
