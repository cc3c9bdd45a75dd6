#include "frontend.h"

#include "observe/events.h"
#include "peers/relay_id.h"
#include "quarantine_monitor.h"

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
// A host gets no new work for this long after its link was lost or it refused work because it was stopping.
constexpr Millis kHostAvoidTime { 1000 };
// Retry-After while no host reaches the upstreams of a service.
constexpr Millis kLostServiceRetryAfter { 1000 };
// Retry-After while this host has no configuration.
constexpr Millis kNoConfigurationRetryAfter { 500 };
// Retry-After for a route that this version cannot read; another configuration is needed.
constexpr Millis kUnreadableRouteRetryAfter { 2000 };
// Retry-After, and expected wait, while a slot has no owner that gets new work.
constexpr Millis kNoOwnerRetryAfter { 300 };
// Retry-After while a slot's owner is in a data centre that has been emptied and no other upstream can take the slot.
constexpr Millis kEvacuatedRetryAfter { 1000 };
// Min Retry-After for a range that has not reached its owner, even if the estimate for that has already passed.
constexpr Millis kMinRetryAfter { 100 };
// Deadline of a request whose caller states none.
constexpr Millis kDefaultDeadline { 10000 };
// Requests with larger bodies, and those to pooled services, are not forwarded: this host sends them to the upstream
// itself when it is their turn.
constexpr std::size_t kMaxForwardedBodyBytes = 4096;

std::uint64_t relayId(std::uint64_t request, unsigned attempt)
{
    return request << kAttemptBits | (attempt & kAttemptMask);
}

// Whether a refusal says that the whole group has no room, and not only the upstream that was tried.
bool isGroupFull(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::queueFull:
    case RefusalReason::upstreamPaused:
    case RefusalReason::noOwner:
    case RefusalReason::memoryFull:
    case RefusalReason::hostUnreachable:
    case RefusalReason::hostLost:
        return true;
    default:
        return false;
    }
}

const char* ranText(const Refusal& refusal) { return refusal.ran == Ran::no ? "no" : "unknown"; }

} // namespace

GatewayFrontend::GatewayFrontend(GatewayContext& context, Dispatcher& dispatcher)
    : m_context(context)
    , m_dispatcher(dispatcher)
    , m_random(context.incarnation.value)
    , m_nextId(firstRequestNumber(context.incarnation, kAttemptBits))
{
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
    if (!route->isUsable)
        return notRun(RefusalReason::unreadableRoute, kUnreadableRouteRetryAfter);
    const Millis now = monotonicNow();
    auto pending = std::make_unique<PendingRequest>(responder);
    pending->route = route->name;
    pending->configuration = routes->version;
    pending->maxAttempts = route->maxAttempts;
    pending->receivedAt = http.receivedAt;
    pending->rest = std::move(http.rest);
    pending->bodyCharge = std::move(http.bodyCharge);
    if (const auto length = http.headers.find("content-length"); length != http.headers.end() && pending->rest)
        pending->bodyBytes = std::strtoull(length->second.c_str(), nullptr, 10);
    Request& request = pending->request;
    request.id = caller.requestId;
    request.service = chooseService(m_splitState, *route);
    request.rank = route->name;
    request.order = route->order;
    request.idempotent = route->idempotent;
    request.targetLatency = route->targetLatency;
    request.slot = caller.slot.value_or(SlotId {});
    pending->callerDeadline = http.receivedAt + caller.timeLeft.value_or(kDefaultDeadline);
    request.deadline = std::min(pending->callerDeadline - kReturnMargin, http.receivedAt + route->timeout);
    request.method = std::move(http.method);
    request.target = std::move(http.target);
    request.headers = { http.headers.begin(), http.headers.end() };
    request.body = std::move(http.body);
    request.fingerprint
        = fingerprintOf(m_context, request, pending->rest ? pending->bodyBytes.value_or(0) : request.body.size());
    if (const Millis left = quarantineLeft(m_context, request, now); left > Millis(0))
        return notRun(RefusalReason::quarantined, left);
    if (request.deadline <= now)
        return notRun(RefusalReason::deadlinePassed);
    if (m_context.stopping && !mayPassOn(m_context.stop, request.deadline))
        return notRun(RefusalReason::stopping);
    return pending;
}

std::optional<HttpResponse> GatewayFrontend::checkHead(const HttpRequest& http, std::optional<std::uint64_t> bodyBytes)
{
    const CallerMetadata caller = m_context.adapter.readCallerMetadata(http);
    std::optional<Refusal> refusal;
    const auto& routes = m_context.directory.routes();
    if (!routes)
        refusal = notRun(RefusalReason::noOwner, kNoConfigurationRetryAfter);
    else if (bodyBytes.value_or(0) > routes->limits.bodyBytes)
        refusal = notRun(RefusalReason::tooLarge);
    else if (!matchRoute(*routes, caller.host, http.path))
        refusal = notRun(RefusalReason::noRoute);
    if (!refusal)
        return std::nullopt;
    return refuseAtOnce(caller, *refusal);
}

// Logs and counts a request that is refused on arrival, and returns the response.
HttpResponse GatewayFrontend::refuseAtOnce(const CallerMetadata& caller, const Refusal& refusal)
{
    m_context.metrics.count("pistachiospur_refusals_total", { { "reason", factsOf(refusal.reason).name } });
    logEvent(EventKind::request, "refused_at_frontend",
        { { "request", caller.requestId }, { "caller_host", caller.host }, { "reason", factsOf(refusal.reason).name },
            { "configuration", m_context.directory.routes() ? m_context.directory.routes()->version.value : 0 },
            { "age_ms", m_context.directory.age().count() } });
    return m_context.adapter.refusalResponse(refusal);
}

void GatewayFrontend::onCaller(HttpRequest http, const Responder& responder)
{
    const CallerMetadata caller = m_context.adapter.readCallerMetadata(http);
    auto admitted = admit(std::move(http), caller, responder);
    if (const auto* refusal = std::get_if<Refusal>(&admitted))
        return respond(responder, refuseAtOnce(caller, *refusal));
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
    if (const Millis left = quarantineLeft(m_context, request, monotonicNow()); left > Millis(0))
        return onReply(id, attemptNumber, notRun(RefusalReason::quarantined, left));
    if (!isKeyed(request.service)) {
        pending.group = chooseGroupFor(pending);
        const auto groups = m_context.groups.find(request.service);
        const bool known = groups != m_context.groups.end() && *pending.group < groups->second.size();
        return forward(id, groupName(*pending.group), known ? groups->second[*pending.group].dataCentre : "");
    }
    if (isLostByAll(m_context, request.service))
        return onReply(id, attemptNumber, notRun(RefusalReason::upstreamUnreachable, kLostServiceRetryAfter));
    const StoredTable* stored = m_context.directory.tableOf(request.service);
    const Range* range = stored ? findRange(stored->table, request.slot) : nullptr;
    if (!range)
        return onReply(id, attemptNumber, notRun(RefusalReason::noOwner, kNoOwnerRetryAfter));
    const Millis readyIn = timeUntilReady(m_context, request.service, request.slot, monotonicNow());
    if (readyIn > Millis(0))
        return waitForRange(id, readyIn);
    const InstanceEntry* owner = m_context.directory.findInstance(range->owner);
    if (owner && isHeldBack(m_context, owner->instance))
        return onReply(id, attemptNumber, notRun(RefusalReason::noOwner, kEvacuatedRetryAfter));
    if (!owner || !mayTakeWork(*owner, monotonicNow()))
        return waitForRange(id, kNoOwnerRetryAfter);
    request.tableRevision = stored->revision;
    forward(id, range->owner.name, owner->instance.dataCentre);
}

unsigned GatewayFrontend::chooseGroupFor(const PendingRequest& pending)
{
    const auto groups = m_context.groups.find(pending.request.service);
    if (groups == m_context.groups.end())
        return 0;
    auto& loads = m_groupLoads[pending.request.service];
    loads.resize(groups->second.size());
    const Millis now = monotonicNow();
    std::vector<GroupTarget> targets;
    for (unsigned n = 0; n < loads.size(); ++n) {
        const PoolGroup& group = groups->second[n];
        const bool isFar = !group.dataCentre.empty() && group.dataCentre != m_context.settings.dataCentre;
        targets.push_back({ group.slots, isFar, pending.refusedGroups.count(n) > 0, waitNow(loads[n], now) });
    }
    std::uniform_real_distribution<double> draws(0, 1);
    return static_cast<unsigned>(chooseGroup(targets, pending.request.targetLatency, draws(m_random)));
}

// Notes how long the next request would wait at the group that replied.
void GatewayFrontend::recordGroupLoad(PendingRequest& pending, const Reply& reply, Millis wait)
{
    const auto group = std::exchange(pending.group, std::nullopt);
    auto& loads = m_groupLoads[pending.request.service];
    if (!group || *group >= loads.size())
        return;
    const auto* refusal = std::get_if<Refusal>(&reply);
    const bool refused = refusal && isGroupFull(refusal->reason);
    loads[*group]
        = { refused ? std::max(kRefusedWaitMs, static_cast<double>(wait.count())) : static_cast<double>(wait.count()),
              monotonicNow() };
    if (refusal)
        pending.refusedGroups.insert(*group);
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

// What the request takes at its upstream. A body of unknown size may become as large as the callers' limit.
std::uint64_t GatewayFrontend::upstreamBytesOf(const PendingRequest& pending) const
{
    const auto& routes = m_context.directory.routes();
    const std::uint64_t most = routes ? routes->limits.bodyBytes : 0;
    return bytesOf(pending.request, pending.rest ? pending.bodyBytes.value_or(most) : pending.request.body.size());
}

void GatewayFrontend::forward(RequestId id, const UpstreamName& upstream, const DataCentreName& preferredDataCentre)
{
    PendingRequest& pending = *m_pending.at(id);
    const unsigned attemptNumber = pending.attempt;
    pending.state = State::forwarded;
    const auto& service = pending.request.service;
    if (isLostByAll(m_context, service, upstream))
        return onReply(id, attemptNumber, notRun(RefusalReason::upstreamUnreachable, kLostServiceRetryAfter));
    const HostName coordinator
        = coordinatorFor(m_context, service, upstream, preferredDataCentre, pending.failedCoordinators)
              .value_or(m_context.settings.host);
    pending.coordinator = coordinator;
    const bool mayComeBack = pending.refusedAttempts > 0 || !mayTryAnotherGroup(pending);
    const Millis sentAt = pending.receivedAt - kReturnMargin; // the way from the caller is as long as back
    if (!isSelf(m_context, coordinator)) {
        const bool hasLargeBody = pending.rest || pending.request.body.size() > kMaxForwardedBodyBytes;
        // A body that still arrives can only be sent by this host.
        const bool mayRelay = !pending.rest;
        const bool reachesUpstream
            = !pending.mustRelay && reaches(m_context, m_context.settings.host, service, upstream);
        const bool turnOnly = (hasLargeBody || pending.group) && (reachesUpstream || !mayRelay);
        const Millis now = monotonicNow();
        Relay relay { relayId(id, attemptNumber), upstream, pending.request, m_context.settings.dataCentre, turnOnly,
            hasLargeBody, now - sentAt, pending.callerDeadline - now, mayComeBack, upstreamBytesOf(pending) };
        relay.request.deadline -= now;
        if (relay.turnOnly)
            freeMemory(relay.request.body);
        const Lane lane = hasLargeBody && !relay.turnOnly ? Lane::bulk : Lane::control;
        const auto link = m_context.hub.send(coordinator, relay, lane);
        if (!link)
            return onReply(id, attemptNumber, notRun(RefusalReason::hostUnreachable));
        pending.link = *link;
        pending.state = relay.turnOnly ? State::waitingForTurn : State::forwarded;
        return;
    }
    const auto job = m_dispatcher.submit(upstream, pending.request,
        [this, id, attemptNumber, upstream, service, order = pending.request.order](Reply reply) {
            const Millis wait = m_dispatcher.expectedWait(service, upstream, order);
            onReply(id, attemptNumber, std::move(reply), wait);
        },
        { pending.rest, pending.bodyBytes },
        { m_context.settings.dataCentre, pending.rest || pending.request.body.size() > kMaxForwardedBodyBytes,
            m_context.settings.host, sentAt, pending.callerDeadline, mayComeBack, upstreamBytesOf(pending) });
    const auto found = m_pending.find(id);
    if (found != m_pending.end() && found->second->attempt == attemptNumber)
        found->second->job = job;
}

// Sends a request in its turn. A turn that comes too late, or for an upstream that gets no new work any more, is given
// back unused.
void GatewayFrontend::onTurn(const HostName& from, const RelayTurn& turn)
{
    const RequestId id = turn.id >> kAttemptBits;
    const auto it = m_pending.find(id);
    const bool wanted = it != m_pending.end() && it->second->state == State::waitingForTurn
        && turn.id == relayId(id, it->second->attempt);
    if (!wanted) {
        m_context.hub.send(from, RelayTurnOver { turn.id, notRun(RefusalReason::deadlinePassed), {} });
        return;
    }
    PendingRequest& pending = *it->second;
    const unsigned attempt = pending.attempt;
    const InstanceEntry* upstream = m_context.directory.findInstance(turn.instance);
    if (!upstream || !mayTakeWork(*upstream, monotonicNow())) {
        const Reply refused = notRun(RefusalReason::noOwner);
        m_context.hub.send(from, RelayTurnOver { turn.id, refused, {} });
        return onReply(id, attempt, refused);
    }
    if (isHeldBack(m_context, upstream->instance)) {
        m_context.hub.send(from, RelayTurnOver { turn.id, notRun(RefusalReason::noOwner), {} });
        // The coordinator did not know of the evacuation; it chooses again.
        return onReply(id, attempt, notRun(RefusalReason::notCoordinator));
    }
    if (const Millis pause = ownPauseLeft(m_context, turn.instance, monotonicNow()); pause > Millis(0)) {
        m_context.hub.send(from, RelayTurnOver { turn.id, notRun(RefusalReason::upstreamPaused, pause), {}, pause });
        // The coordinator did not know; it chooses again, or refuses if there is no other upstream.
        return onReply(id, attempt, notRun(RefusalReason::notCoordinator));
    }
    if (const Millis left = quarantineLeft(m_context, pending.request, monotonicNow()); left > Millis(0)) {
        const Reply refused = notRun(RefusalReason::quarantined, left);
        m_context.hub.send(from, RelayTurnOver { turn.id, refused, {} });
        return onReply(id, attempt, refused);
    }
    pending.state = State::sending;
    pending.link = kNoLink; // from here on the request does not depend on the coordinator
    pending.call = sendRequest(m_context, upstream->instance, pending.request, { pending.rest, pending.bodyBytes },
        [this, id, attempt, turn, from](Reply reply, const RateNotice& rate) {
            const Millis pause = ownPauseLeft(m_context, turn.instance, monotonicNow());
            const auto report = m_context.loads.extract(turn.instance);
            endTurn(from, turn.id, reply, rate, pause, report ? std::optional(report.mapped().load) : std::nullopt);
            const auto it = m_pending.find(id);
            const auto* refusal = std::get_if<Refusal>(&reply);
            // The one owner of a key takes nothing from this host any more, so another attempt would be refused.
            if (refusal && refusal->reason == RefusalReason::upstreamShed && pause > Millis(0) && it != m_pending.end()
                && isKeyed(it->second->request.service))
                reply = notRun(RefusalReason::upstreamPaused, pause);
            onReply(id, attempt, std::move(reply), turn.wait);
        });
}

// Tells the coordinator how the request ended, without headers and body.
void GatewayFrontend::endTurn(const HostName& coordinator, std::uint64_t relay, const Reply& reply,
    const RateNotice& rate, Millis pause, const std::optional<UpstreamLoad>& load)
{
    RelayTurnOver over { relay, reply, rate, pause, load };
    if (const auto* answer = std::get_if<Answer>(&reply))
        over.reply = Answer { answer->status, {}, {} };
    m_context.hub.send(coordinator, over);
}

void GatewayFrontend::onRelayReply(const HostName& from, RelayReply reply)
{
    const auto* refusal = std::get_if<Refusal>(&reply.reply);
    if (refusal && refusal->reason == RefusalReason::stopping)
        m_context.unreachableUntil[from] = monotonicNow() + kHostAvoidTime;
    onReply(
        reply.id >> kAttemptBits, static_cast<unsigned>(reply.id) & kAttemptMask, std::move(reply.reply), reply.wait);
}

void GatewayFrontend::onLinkLost(const LostLink& lost)
{
    m_context.unreachableUntil[lost.host] = monotonicNow() + kHostAvoidTime;
    std::vector<std::tuple<RequestId, unsigned, LinkLoss>> affected;
    for (const auto& [id, pending] : m_pending) {
        LinkLoss loss = lossOf(lost, pending->link);
        if (loss == LinkLoss::sent && pending->state == State::waitingForTurn)
            loss = LinkLoss::notSent;
        if (loss != LinkLoss::unaffected)
            affected.emplace_back(id, pending->attempt & kAttemptMask, loss);
    }
    logEvent(EventKind::state, "link_lost",
        { { "peer", lost.host }, { "opened", !lost.links.empty() }, { "requests", affected.size() } });
    for (const auto& [id, attempt, loss] : affected)
        onReply(id, attempt,
            loss == LinkLoss::sent ? maybeRun(RefusalReason::hostLost) : notRun(RefusalReason::hostUnreachable));
}

// Handles the reply to one attempt: answers the caller or schedules the next attempt. A reply to an earlier attempt is
// ignored.
void GatewayFrontend::onReply(RequestId id, unsigned attempt, Reply reply, Millis wait)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end() || (it->second->attempt & kAttemptMask) != (attempt & kAttemptMask)) {
        m_context.metrics.count("pistachiospur_late_replies_total");
        return;
    }
    PendingRequest& pending = *it->second;
    pending.link = kNoLink;
    pending.job = 0;
    recordGroupLoad(pending, reply, wait);
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (refusal && refusal->reason == RefusalReason::upstreamUnreachable)
        noteFailedConnection(pending);
    pending.coordinator.clear();
    if (!refusal)
        return complete(id, withoutFalsePromise(pending.request, std::move(reply)));
    pending.state = State::delayed;
    ++pending.refusedAttempts;
    if (refusal->ran == Ran::unknown)
        ++pending.possibleRuns;
    if (approveRetry(pending, *refusal)) {
        m_context.metrics.count("pistachiospur_retries_total", { { "reason", factsOf(refusal->reason).name } });
        return scheduleAttempt(id, retryDelay(pending, *refusal));
    }
    // If any attempt may have run the request, the final refusal must not state that it did not run.
    if (pending.possibleRuns > 0)
        reply = Refusal { refusal->reason, Ran::unknown, refusal->retryAfter };
    complete(id, std::move(reply));
}

// The host that sent the request to the upstream could not connect to it. The next attempt goes another way.
void GatewayFrontend::noteFailedConnection(PendingRequest& pending)
{
    if (pending.state == State::sending)
        pending.mustRelay = true;
    else if (!pending.coordinator.empty())
        pending.failedCoordinators.insert(pending.coordinator);
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
    abandon(id, RefusalReason::upstreamTimeout, RefusalReason::deadlinePassed);
}

void GatewayFrontend::endAll()
{
    std::vector<RequestId> open;
    for (const auto& [id, pending] : m_pending)
        open.push_back(id);
    if (!open.empty())
        logEvent(EventKind::state, "requests_cut", { { "requests", open.size() } });
    for (const auto id : open) {
        if (m_pending.count(id))
            abandon(id, RefusalReason::stopping, RefusalReason::stopping);
    }
}

// Ends a request without an answer. Its run at an upstream ends too if it may be repeated, or if its body has not
// arrived completely; otherwise it runs on, because it may have an effect.
void GatewayFrontend::abandon(RequestId id, RefusalReason ifSent, RefusalReason ifNotSent)
{
    PendingRequest& pending = *m_pending.at(id);
    const bool isOut = pending.state == State::forwarded || pending.state == State::sending;
    const LinkId link = pending.link;
    const auto job = pending.job;
    const std::uint64_t relay = relayId(id, pending.attempt);
    const Reply reply = isOut || pending.possibleRuns > 0 ? maybeRun(ifSent) : notRun(ifNotSent);
    const bool bodyArriving = pending.rest && !pending.rest->isAtEnd();
    if (pending.state == State::sending && (pending.request.idempotent || bodyArriving)) {
        m_context.http.cancel(pending.call);
        endTurn(pending.coordinator, relay, reply, {}, Millis(0), std::nullopt);
    }
    complete(id, reply);
    if (link != kNoLink)
        m_context.hub.sendVia(link, RelayCancel { relay });
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

// Replaces an upstream's answer that its caller would take for a promise that the request has not run. The upstream has
// not stated that, or a refusal would have arrived here, so the request may have run. Callers of idempotent requests
// get the answer as it is, since they lose nothing by sending the request again.
Reply GatewayFrontend::withoutFalsePromise(const Request& request, Reply reply) const
{
    const auto* answer = std::get_if<Answer>(&reply);
    if (!answer || request.idempotent || !m_context.adapter.promisesNotRun(answer->status))
        return reply;
    logEvent(EventKind::request, "answer_withheld", { { "request", request.id }, { "status", answer->status } });
    return maybeRun(RefusalReason::upstreamBroken);
}

void GatewayFrontend::complete(RequestId id, Reply reply)
{
    const auto pending = std::move(m_pending.at(id));
    m_pending.erase(id);
    const Request& request = pending->request;
    if (pending->rest)
        pending->rest->breakOff();
    const Millis took = monotonicNow() - pending->receivedAt;
    const auto* refusal = std::get_if<Refusal>(&reply);
    const char* outcome = refusal ? (refusal->ran == Ran::no ? "refused" : "unknown") : "answered";
    m_context.metrics.count("pistachiospur_requests_total",
        { { "service", request.service }, { "rank", request.rank }, { "outcome", outcome } });
    std::vector<EventField> fields = { { "request", request.id },
        { "fingerprint", fingerprintText(request.fingerprint) }, { "route", pending->route },
        { "service", request.service }, { "slot", request.slot.value }, { "ms", took.count() },
        { "tries", pending->refusedAttempts }, { "configuration", pending->configuration.value },
        { "revision", textOf(m_context.directory.revision()) }, { "age_ms", m_context.directory.age().count() } };
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
