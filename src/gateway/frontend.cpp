#include "frontend.h"

#include "observe/events.h"

#include <algorithm>
#include <utility>

namespace pistachiospur {

namespace {

// Bits of a relay's id that carry the attempt number; the higher bits carry the request's id.
constexpr unsigned kAttemptBits = 12;
constexpr unsigned kAttemptMask = (1u << kAttemptBits) - 1;
// Time reserved within a request's deadline for the answer's way back to the caller.
constexpr Millis kReturnMargin { 15 };
// Max wait for a range to reach its owner, as a fraction of the request's latency target. If the expected wait is
// longer, the request is refused at once with a Retry-After.
constexpr double kMaxRangeWaitShare = 0.5;
// Delay before the next attempt after the upstream did not own the slot, another upstream had its address, or the
// hosts' range tables differed.
constexpr Millis kOwnerChangeDelay { 50 };
// Delay before the next attempt after an upstream accepted no connection.
constexpr Millis kConnectRetryDelay { 100 };
// Max attempts of one request, including those that provably did not run it.
constexpr unsigned kMaxTotalAttempts = 5;
// A host gets no new work for this long after its link was lost or it refused work because it was stopping.
constexpr Millis kHostAvoidTime { 1000 };
// Retry-After while this host has no configuration.
constexpr Millis kNoConfigurationRetryAfter { 500 };
// Retry-After, and expected wait, while a slot has no owner that gets new work.
constexpr Millis kNoOwnerRetryAfter { 300 };
// Min Retry-After for a range that has not reached its owner, even if the estimate for that has already passed.
constexpr Millis kMinRetryAfter { 100 };
// Deadline of a request whose caller states none.
constexpr Millis kDefaultDeadline { 10000 };

const char* ranText(const Refusal& refusal) { return refusal.ran == Ran::no ? "no" : "unknown"; }

} // namespace

GatewayFrontend::GatewayFrontend(GatewayContext& context, Dispatcher& dispatcher)
    : m_context(context)
    , m_dispatcher(dispatcher)
    , m_random(context.incarnation.value)
{
}

RetryWindowPolicy GatewayFrontend::retryWindowPolicy() const
{
    // Part of the platform's limits that is used. The rest covers hosts that have just started or count slightly later.
    constexpr double kUsedShare = 0.8;
    const auto& limits = m_context.settings.limits;
    return { kUsedShare * static_cast<double>(limits.retryRatioPercent) / 100,
        kUsedShare * static_cast<double>(limits.retrySlack) / static_cast<double>(hostCount(m_context)),
        Millis(limits.retryWindowMs) };
}

void GatewayFrontend::respond(const Responder& responder, HttpResponse response)
{
    if (m_context.stopping)
        response.headers.emplace_back("Connection", "close");
    responder.respond(std::move(response));
}

// Determines a request's route, service, slot and deadline, or refuses it.
std::variant<std::unique_ptr<GatewayFrontend::PendingRequest>, Refusal> GatewayFrontend::admit(
    HttpRequest&& http, const CallerMetadata& caller, const Responder& responder)
{
    const auto& routes = m_context.directory.routes();
    if (!routes)
        return notRun(RefusalReason::noOwner, kNoConfigurationRetryAfter);
    if (http.tooLarge)
        return notRun(RefusalReason::tooLarge);
    const PrefixRoute* route = matchRoute(*routes, caller.host, http.path);
    if (!route)
        return notRun(RefusalReason::noRoute);
    const Millis now = monotonicNow();
    auto pending = std::make_unique<PendingRequest>(PendingRequest {
        {}, route->name, route->maxAttempts, responder, now, State::delayed, 0, 0, 0, {}, 0, 0, nullptr, nullptr });
    Request& request = pending->request;
    request.id = caller.requestId;
    request.service = chooseService(m_splitState, *route);
    request.rank = route->name;
    request.order = route->order;
    request.idempotent = route->idempotent;
    request.targetLatency = route->targetLatency;
    request.slot = caller.slot.value_or(SlotId {});
    request.deadline = now + std::min(caller.timeLeft.value_or(kDefaultDeadline) - kReturnMargin, route->timeout);
    request.method = std::move(http.method);
    request.target = std::move(http.target);
    request.headers = { http.headers.begin(), http.headers.end() };
    request.body = std::move(http.body);
    if (request.deadline <= now)
        return notRun(RefusalReason::deadlinePassed);
    return pending;
}

void GatewayFrontend::onCaller(HttpRequest http, const Responder& responder)
{
    const CallerMetadata caller = m_context.adapter.readCallerMetadata(http);
    auto admitted = admit(std::move(http), caller, responder);
    if (const auto* refusal = std::get_if<Refusal>(&admitted)) {
        m_context.metrics.count("pistachiospur_refusals_total", { { "reason", factsOf(refusal->reason).name } });
        logEvent(EventKind::request, "refused_at_frontend",
            { { "request", caller.requestId }, { "caller_host", caller.host },
                { "reason", factsOf(refusal->reason).name },
                { "configuration", m_context.directory.routes() ? m_context.directory.routes()->version.value : 0 } });
        return respond(responder, m_context.adapter.refusalResponse(*refusal));
    }
    auto& pending = std::get<std::unique_ptr<PendingRequest>>(admitted);
    const Request& request = pending->request;
    countRequest(m_retryWindowBudgets[request.service], retryWindowPolicy(), monotonicNow());
    ++m_slotCounts[request.service][request.slot.value];
    const RequestId id = m_nextId++;
    pending->deadlineTimer = std::make_unique<Timer>([this, id] { onDeadline(id); });
    pending->deadlineTimer->once(request.deadline - monotonicNow() + kReturnMargin / 2);
    m_pending.emplace(id, std::move(pending));
    responder.onDisconnect([this, id] { onCallerGone(id); });
    startAttempt(id);
}

bool GatewayFrontend::isKeyed(const ServiceName& name) const
{
    const auto& services = m_context.directory.routes()->services;
    const auto service = services.find(name);
    return service != services.end() && service->second.keyed;
}

// Starts the next attempt: forwards the request to the coordinator of its slot's owner or of a group, as this host
// knows them now, or waits until the owner has the range.
void GatewayFrontend::startAttempt(RequestId id)
{
    PendingRequest& pending = *m_pending.at(id);
    Request& request = pending.request;
    const unsigned attemptNumber = ++pending.attempt;
    if (!isKeyed(request.service))
        return forward(id, chooseGroup(request), "");
    const StoredTable* stored = m_context.directory.tableOf(request.service);
    const Range* range = stored ? findRange(stored->table, request.slot) : nullptr;
    if (!range)
        return onReply(id, attemptNumber, notRun(RefusalReason::noOwner, kNoOwnerRetryAfter));
    const Millis readyIn = timeUntilReady(m_context, request.service, request.slot, monotonicNow());
    if (readyIn > Millis(0))
        return waitForRange(id, readyIn);
    const InstanceEntry* owner = m_context.directory.findInstance(range->owner);
    if (!owner || !mayTakeWork(*owner, monotonicNow()))
        return waitForRange(id, kNoOwnerRetryAfter);
    request.tableRevision = stored->revision;
    forward(id, range->owner.name, owner->instance.dataCentre);
}

// Draws a group of a pooled service at random, weighted by the groups' slots.
UpstreamName GatewayFrontend::chooseGroup(const Request& request)
{
    const auto groups = m_context.groups.find(request.service);
    if (groups == m_context.groups.end())
        return groupName(0);
    const auto& slots = groups->second.slots;
    std::discrete_distribution<unsigned> distribution(slots.begin(), slots.end());
    return groupName(distribution(m_random));
}

void GatewayFrontend::waitForRange(RequestId id, Millis readyIn)
{
    PendingRequest& pending = *m_pending.at(id);
    const auto maxWait = Millis(
        static_cast<std::int64_t>(kMaxRangeWaitShare * static_cast<double>(pending.request.targetLatency.count())));
    const Millis waited = monotonicNow() - pending.receivedAt;
    if (waited + readyIn > maxWait)
        return onReply(id, pending.attempt, notRun(RefusalReason::noOwner, std::max(readyIn, kMinRetryAfter)));
    pending.state = State::waitingForRange;
    scheduleAttempt(id, std::max(Millis(1), maxWait - waited));
}

void GatewayFrontend::forward(RequestId id, const UpstreamName& upstream, const DataCentreName& preferredDataCentre)
{
    PendingRequest& pending = *m_pending.at(id);
    const unsigned attemptNumber = pending.attempt;
    pending.state = State::forwarded;
    const HostName coordinator = firstHostFor(m_context, pending.request.service + "/" + upstream, preferredDataCentre)
                                     .value_or(m_context.settings.host);
    pending.coordinator = coordinator;
    if (!isSelf(m_context, coordinator)) {
        Relay relay { id << kAttemptBits | (attemptNumber & kAttemptMask), upstream, pending.request };
        relay.request.deadline -= monotonicNow();
        const auto link = m_context.hub.send(coordinator, relay);
        if (!link)
            return onReply(id, attemptNumber, notRun(RefusalReason::hostUnreachable));
        pending.link = *link;
        return;
    }
    const auto job = m_dispatcher.submit(upstream, pending.request,
        [this, id, attemptNumber](Reply reply) { onReply(id, attemptNumber, std::move(reply)); });
    const auto found = m_pending.find(id);
    if (found != m_pending.end() && found->second->attempt == attemptNumber)
        found->second->job = job;
}

void GatewayFrontend::onRelayReply(const HostName& from, RelayReply reply)
{
    const auto* refusal = std::get_if<Refusal>(&reply.reply);
    if (refusal && refusal->reason == RefusalReason::stopping)
        m_context.unreachableUntil[from] = monotonicNow() + kHostAvoidTime;
    onReply(reply.id >> kAttemptBits, static_cast<unsigned>(reply.id) & kAttemptMask, std::move(reply.reply));
}

void GatewayFrontend::onLinkLost(const LostLink& lost)
{
    m_context.unreachableUntil[lost.host] = monotonicNow() + kHostAvoidTime;
    std::vector<std::pair<RequestId, unsigned>> affected;
    for (const auto& [id, pending] : m_pending) {
        if (pending->link == lost.link && pending->coordinator == lost.host)
            affected.emplace_back(id, pending->attempt & kAttemptMask);
    }
    logEvent(EventKind::state, "link_lost",
        { { "peer", lost.host }, { "opened", lost.opened }, { "requests", affected.size() } });
    for (const auto& [id, attempt] : affected)
        onReply(id, attempt, lost.opened ? maybeRun(RefusalReason::hostLost) : notRun(RefusalReason::hostUnreachable));
}

// Handles the reply to one attempt: answers the caller or schedules the next attempt. A reply to an earlier attempt is
// ignored.
void GatewayFrontend::onReply(RequestId id, unsigned attempt, Reply reply)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end() || (it->second->attempt & kAttemptMask) != (attempt & kAttemptMask)) {
        m_context.metrics.count("pistachiospur_late_replies_total");
        return;
    }
    PendingRequest& pending = *it->second;
    pending.link = 0;
    pending.job = 0;
    pending.coordinator.clear();
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (!refusal)
        return complete(id, std::move(reply));
    pending.state = State::delayed;
    ++pending.refusedAttempts;
    if (refusal->ran == Ran::unknown)
        ++pending.possibleRuns;
    if (approveRetry(pending, *refusal)) {
        m_context.metrics.count("pistachiospur_retries_total", { { "reason", factsOf(refusal->reason).name } });
        const bool ownerChanged
            = refusal->reason == RefusalReason::upstreamNotOwner || refusal->reason == RefusalReason::upstreamReplaced;
        const bool noConnection = refusal->reason == RefusalReason::upstreamUnreachable;
        // Hosts learn of a range's move one after the other. After the second refusal, the delay gives the remaining
        // hosts time to learn of it.
        const bool tablesDiffer = refusal->reason == RefusalReason::notCoordinator && pending.refusedAttempts > 1;
        return scheduleAttempt(id,
            ownerChanged || tablesDiffer ? kOwnerChangeDelay
                : noConnection           ? kConnectRetryDelay
                                         : Millis(0));
    }
    // If any attempt may have run the request, the final refusal must not state that it did not run.
    if (pending.possibleRuns > 0)
        reply = Refusal { refusal->reason, Ran::unknown, refusal->retryAfter };
    complete(id, std::move(reply));
}

// Decides whether a refused request gets another attempt, and spends a retry from the service's retry window budget if
// one is needed. A request that may have run is retried only if it is idempotent.
bool GatewayFrontend::approveRetry(PendingRequest& pending, const Refusal& refusal)
{
    const Request& request = pending.request;
    const Millis now = monotonicNow();
    if (now + kConnectRetryDelay >= request.deadline || pending.refusedAttempts >= kMaxTotalAttempts)
        return false;
    if (refusal.ran == Ran::unknown) {
        return request.idempotent && refusal.reason != RefusalReason::upstreamTimeout
            && pending.possibleRuns < pending.maxAttempts
            && spendRetry(m_retryWindowBudgets[request.service], retryWindowPolicy(), now);
    }
    switch (refusal.reason) {
    case RefusalReason::hostUnreachable:
    case RefusalReason::notCoordinator:
    case RefusalReason::stopping:
    case RefusalReason::upstreamUnreachable:
        return true;
    case RefusalReason::upstreamNotOwner:
    case RefusalReason::upstreamReplaced:
    case RefusalReason::upstreamShed:
        return pending.refusedAttempts < std::max(2u, pending.maxAttempts)
            && spendRetry(m_retryWindowBudgets[request.service], retryWindowPolicy(), now);
    case RefusalReason::queueFull: {
        // Another group may have a free place in its queue.
        const auto groups = m_context.groups.find(request.service);
        return pending.refusedAttempts < 2 && !isKeyed(request.service) && groups != m_context.groups.end()
            && groups->second.slots.size() > 1;
    }
    default:
        return false;
    }
}

void GatewayFrontend::scheduleAttempt(RequestId id, Millis delay)
{
    PendingRequest& pending = *m_pending.at(id);
    pending.delayTimer = std::make_unique<Timer>([this, id] {
        const auto it = m_pending.find(id);
        if (it == m_pending.end())
            return;
        const std::unique_ptr<Timer> running = std::move(it->second->delayTimer); // must outlive this callback
        startAttempt(id);
    });
    pending.delayTimer->once(delay);
}

void GatewayFrontend::refresh()
{
    std::vector<RequestId> waiting;
    for (const auto& [id, pending] : m_pending) {
        if (pending->state == State::waitingForRange)
            waiting.push_back(id);
    }
    for (const auto id : waiting) {
        const auto it = m_pending.find(id);
        if (it == m_pending.end())
            continue;
        it->second->delayTimer.reset();
        startAttempt(id);
    }
}

void GatewayFrontend::onDeadline(RequestId id)
{
    PendingRequest& pending = *m_pending.at(id);
    const bool mayHaveRun = pending.state == State::forwarded || pending.possibleRuns > 0;
    const LinkId link = pending.link;
    const HostName coordinator = pending.coordinator;
    const auto job = pending.job;
    const std::uint64_t relay = id << kAttemptBits | (pending.attempt & kAttemptMask);
    complete(id, mayHaveRun ? maybeRun(RefusalReason::upstreamTimeout) : notRun(RefusalReason::deadlinePassed));
    if (link)
        m_context.hub.send(coordinator, RelayCancel { relay });
    if (job)
        m_dispatcher.cancel(job);
}

// The caller closed its connection, so the request ends as if its deadline had passed.
void GatewayFrontend::onCallerGone(RequestId id)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    logEvent(EventKind::request, "caller_gone",
        { { "request", it->second->request.id }, { "ms", (monotonicNow() - it->second->receivedAt).count() } });
    onDeadline(id);
}

void GatewayFrontend::complete(RequestId id, Reply reply)
{
    const auto pending = std::move(m_pending.at(id));
    m_pending.erase(id);
    const Request& request = pending->request;
    const Millis took = monotonicNow() - pending->receivedAt;
    const auto* refusal = std::get_if<Refusal>(&reply);
    const char* outcome = refusal ? (refusal->ran == Ran::no ? "refused" : "unknown") : "answered";
    m_context.metrics.count("pistachiospur_requests_total",
        { { "service", request.service }, { "rank", request.rank }, { "outcome", outcome } });
    std::vector<EventField> fields = { { "request", request.id }, { "route", pending->route },
        { "service", request.service }, { "slot", request.slot.value }, { "ms", took.count() },
        { "tries", pending->refusedAttempts }, { "configuration", m_context.directory.routes()->version.value } };
    if (refusal) {
        m_context.metrics.count("pistachiospur_refusals_total", { { "reason", factsOf(refusal->reason).name } });
        fields.push_back({ "outcome", factsOf(refusal->reason).name });
        fields.push_back({ "ran", ranText(*refusal) });
        fields.push_back({ "retry_after_ms", refusal->retryAfter.count() });
        logEvent(EventKind::request, "request", fields);
        return respond(pending->responder, m_context.adapter.refusalResponse(*refusal));
    }
    auto& answer = std::get<Answer>(reply);
    m_context.metrics.observeLatency(request.service, request.rank, static_cast<double>(took.count()) / 1000);
    fields.push_back({ "outcome", "answered" });
    fields.push_back({ "status", answer.status });
    logEvent(EventKind::request, "request", fields);
    respond(pending->responder, m_context.adapter.answerResponse(std::move(answer)));
}

std::map<ServiceName, std::map<std::uint32_t, std::uint32_t>> GatewayFrontend::takeSlotCounts()
{
    return std::exchange(m_slotCounts, {});
}

} // namespace pistachiospur
