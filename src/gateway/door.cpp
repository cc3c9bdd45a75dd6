#include "door.h"

#include "observe/events.h"

#include <algorithm>
#include <utility>

namespace pistachiospur {

namespace {

// Hand-over numbers travel in the low bits of a relay's id.
constexpr unsigned kAttemptBits = 12;
constexpr unsigned kAttemptMask = (1u << kAttemptBits) - 1;
// Of a request's time, what the way back to the caller is taken to need.
constexpr Millis kWayBack { 15 };
// A request whose range is about to reach its owner waits for it this part of its latency target; a longer wait is
// refused at once, with the time to come back.
constexpr double kRangeWaitShare = 0.5;
// Pauses before a next try, by what the last one showed.
constexpr Millis kOwnerPause { 50 };
constexpr Millis kConnectPause { 100 };
// Tries that provably did not run a request are made up to so many times.
constexpr unsigned kMostTries = 5;
// A host whose link was lost gets no work for so long.
constexpr Millis kHostAvoidance { 1000 };
constexpr Millis kNoConfigurationRetry { 500 };
constexpr Millis kNoOwnerRetry { 300 };
// An estimate that has run out is no reason to come back at once.
constexpr Millis kLeastRetry { 100 };
// Deadline of a request whose caller names none.
constexpr Millis kDefaultDeadline { 10000 };

const char* ranText(const Refusal& refusal) { return refusal.ran == Ran::no ? "no" : "unknown"; }

} // namespace

Door::Door(Site& site, Dispatcher& dispatcher)
    : m_site(site)
    , m_dispatcher(dispatcher)
    , m_random(site.incarnation.value)
{
}

RepeatPolicy Door::repeatPolicy() const
{
    // A part is left for hosts that start or count a moment later.
    constexpr double kSafety = 0.8;
    const auto& limits = m_site.settings.limits;
    return { kSafety * static_cast<double>(limits.retryRatioPercent) / 100,
        kSafety * static_cast<double>(limits.retrySlack) / static_cast<double>(hostCount(m_site)),
        Millis(limits.retryWindowMs) };
}

void Door::respond(const Responder& responder, HttpResponse response)
{
    if (m_site.stopping)
        response.headers.emplace_back("Connection", "close");
    responder.respond(std::move(response));
}

// Finds route, service, slot and deadline, or refuses.
std::variant<std::unique_ptr<Door::Pending>, Refusal> Door::admit(
    HttpRequest&& http, const CallerFacts& facts, const Responder& responder)
{
    const auto& routes = m_site.directory.routes();
    if (!routes)
        return notRun(RefusalReason::noOwner, kNoConfigurationRetry);
    if (http.tooLarge)
        return notRun(RefusalReason::tooLarge);
    const PrefixRoute* route = matchRoute(*routes, facts.host, http.path);
    if (!route)
        return notRun(RefusalReason::noRoute);
    const Millis now = monotonicNow();
    auto pending = std::make_unique<Pending>(Pending {
        {}, route->name, route->maxAttempts, responder, now, State::pausing, 0, 0, 0, {}, 0, 0, nullptr, nullptr });
    Request& request = pending->request;
    request.id = facts.requestId;
    request.service = chooseService(m_split, *route);
    request.rank = route->name;
    request.order = route->order;
    request.idempotent = route->idempotent;
    request.aim = route->target;
    request.slot = facts.slot.value_or(SlotId {});
    request.deadline = now + std::min(facts.timeLeft.value_or(kDefaultDeadline) - kWayBack, route->timeout);
    request.method = std::move(http.method);
    request.target = std::move(http.target);
    request.headers = { http.headers.begin(), http.headers.end() };
    request.body = std::move(http.body);
    if (request.deadline <= now)
        return notRun(RefusalReason::deadlinePassed);
    return pending;
}

void Door::onCaller(HttpRequest http, const Responder& responder)
{
    const CallerFacts facts = m_site.dialect.readCaller(http);
    auto admitted = admit(std::move(http), facts, responder);
    if (const auto* refusal = std::get_if<Refusal>(&admitted)) {
        m_site.metrics.count("pistachiospur_refusals_total", { { "reason", factsOf(refusal->reason).name } });
        logEvent(EventKind::request, "refused_at_door",
            { { "request", facts.requestId }, { "caller_host", facts.host },
                { "reason", factsOf(refusal->reason).name },
                { "configuration", m_site.directory.routes() ? m_site.directory.routes()->version.value : 0 } });
        return respond(responder, m_site.dialect.refusalResponse(*refusal));
    }
    auto& pending = std::get<std::unique_ptr<Pending>>(admitted);
    const Request& request = pending->request;
    countRequest(m_budgets[request.service], repeatPolicy(), monotonicNow());
    ++m_counts[request.service][request.slot.value];
    const RequestId id = m_nextId++;
    pending->deadline = std::make_unique<Timer>([this, id] { onDeadline(id); });
    pending->deadline->once(request.deadline - monotonicNow() + kWayBack / 2);
    m_pending.emplace(id, std::move(pending));
    responder.onGone([this, id] { onGone(id); });
    attempt(id);
}

bool Door::isKeyed(const ServiceName& name) const
{
    const auto& services = m_site.directory.routes()->services;
    const auto service = services.find(name);
    return service != services.end() && service->second.keyed;
}

// Finds the owner and its coordinator as this host sees them now; each try looks anew.
void Door::attempt(RequestId id)
{
    Pending& pending = *m_pending.at(id);
    Request& request = pending.request;
    const unsigned number = ++pending.attempt;
    if (!isKeyed(request.service))
        return handOver(id, drawGroup(request), "");
    const StoredTable* stored = m_site.directory.tableOf(request.service);
    const Range* range = stored ? findRange(stored->table, request.slot) : nullptr;
    if (!range)
        return onReply(id, number, notRun(RefusalReason::noOwner, kNoOwnerRetry));
    const Millis readyIn = pendingFor(m_site, request.service, request.slot, monotonicNow());
    if (readyIn > Millis(0))
        return waitForRange(id, readyIn);
    const LifeEntry* owner = m_site.directory.findLife(range->owner);
    if (!owner || !mayTakeWork(*owner, monotonicNow()))
        return waitForRange(id, kNoOwnerRetry);
    request.tableRevision = stored->revision;
    handOver(id, range->owner.name, owner->life.dataCentre);
}

// A group of a pooled service, as often as its slots are many; anew for each try.
UpstreamName Door::drawGroup(const Request& request)
{
    const auto groups = m_site.groups.find(request.service);
    if (groups == m_site.groups.end())
        return groupName(0);
    const auto& slots = groups->second.slots;
    std::discrete_distribution<unsigned> draw(slots.begin(), slots.end());
    return groupName(draw(m_random));
}

void Door::waitForRange(RequestId id, Millis readyIn)
{
    Pending& pending = *m_pending.at(id);
    const auto most
        = Millis(static_cast<std::int64_t>(kRangeWaitShare * static_cast<double>(pending.request.aim.count())));
    const Millis waited = monotonicNow() - pending.receivedAt;
    if (waited + readyIn > most)
        return onReply(id, pending.attempt, notRun(RefusalReason::noOwner, std::max(readyIn, kLeastRetry)));
    pending.state = State::waitingForRange;
    pauseFor(id, std::max(Millis(1), most - waited));
}

void Door::handOver(RequestId id, const UpstreamName& upstream, const DataCentreName& near)
{
    Pending& pending = *m_pending.at(id);
    const unsigned number = pending.attempt;
    pending.state = State::handedOver;
    const HostName host
        = firstHostFor(m_site, pending.request.service + "/" + upstream, near).value_or(m_site.settings.host);
    pending.host = host;
    if (!isSelf(m_site, host)) {
        Relay relay { id << kAttemptBits | (number & kAttemptMask), upstream, pending.request };
        relay.request.deadline -= monotonicNow();
        const auto link = m_site.hub.send(host, relay);
        if (!link)
            return onReply(id, number, notRun(RefusalReason::hostUnreachable));
        pending.link = *link;
        return;
    }
    const auto job = m_dispatcher.handle(
        upstream, pending.request, [this, id, number](Reply reply) { onReply(id, number, std::move(reply)); });
    const auto found = m_pending.find(id);
    if (found != m_pending.end() && found->second->attempt == number)
        found->second->job = job;
}

void Door::onRelayReply(const HostName& from, RelayReply reply)
{
    const auto* refusal = std::get_if<Refusal>(&reply.reply);
    if (refusal && refusal->reason == RefusalReason::stopping)
        m_site.unreachableUntil[from] = monotonicNow() + kHostAvoidance;
    onReply(reply.id >> kAttemptBits, static_cast<unsigned>(reply.id) & kAttemptMask, std::move(reply.reply));
}

void Door::onLinkLost(const LostLink& lost)
{
    m_site.unreachableUntil[lost.host] = monotonicNow() + kHostAvoidance;
    std::vector<std::pair<RequestId, unsigned>> affected;
    for (const auto& [id, pending] : m_pending) {
        if (pending->link == lost.link && pending->host == lost.host)
            affected.emplace_back(id, pending->attempt & kAttemptMask);
    }
    logEvent(EventKind::state, "link_lost",
        { { "peer", lost.host }, { "opened", lost.opened }, { "requests", affected.size() } });
    for (const auto& [id, attempt] : affected)
        onReply(id, attempt, lost.opened ? maybeRun(RefusalReason::hostLost) : notRun(RefusalReason::hostUnreachable));
}

// Takes the reply of one try. A reply to an earlier try is late and changes nothing.
void Door::onReply(RequestId id, unsigned attempt, Reply reply)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end() || (it->second->attempt & kAttemptMask) != (attempt & kAttemptMask)) {
        m_site.metrics.count("pistachiospur_late_replies_total");
        return;
    }
    Pending& pending = *it->second;
    pending.link = 0;
    pending.job = 0;
    pending.host.clear();
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (!refusal)
        return complete(id, std::move(reply));
    pending.state = State::pausing;
    ++pending.tries;
    if (refusal->ran == Ran::unknown)
        ++pending.runs;
    if (tryAgain(pending, *refusal)) {
        m_site.metrics.count("pistachiospur_retries_total", { { "reason", factsOf(refusal->reason).name } });
        const bool owner
            = refusal->reason == RefusalReason::upstreamDisowned || refusal->reason == RefusalReason::upstreamReplaced;
        const bool connect = refusal->reason == RefusalReason::upstreamUnreachable;
        // News of a move reaches hosts one after the other: sent back twice, a request waits for the rest.
        const bool behind = refusal->reason == RefusalReason::notCoordinator && pending.tries > 1;
        return pauseFor(id, owner || behind ? kOwnerPause : connect ? kConnectPause : Millis(0));
    }
    // Once a try may have run, a later refusal does not make that untrue.
    if (pending.runs > 0)
        reply = Refusal { refusal->reason, Ran::unknown, refusal->retryAfter };
    complete(id, std::move(reply));
}

bool Door::tryAgain(Pending& pending, const Refusal& refusal)
{
    const Request& request = pending.request;
    const Millis now = monotonicNow();
    if (now + kConnectPause >= request.deadline || pending.tries >= kMostTries)
        return false;
    if (refusal.ran == Ran::unknown) {
        return request.idempotent && refusal.reason != RefusalReason::upstreamTimeout
            && pending.runs < pending.maxAttempts && spendRepeat(m_budgets[request.service], repeatPolicy(), now);
    }
    switch (refusal.reason) {
    case RefusalReason::hostUnreachable:
    case RefusalReason::notCoordinator:
    case RefusalReason::stopping:
    case RefusalReason::upstreamUnreachable:
        return true;
    case RefusalReason::upstreamDisowned:
    case RefusalReason::upstreamReplaced:
    case RefusalReason::upstreamShed:
        return pending.tries < std::max(2u, pending.maxAttempts)
            && spendRepeat(m_budgets[request.service], repeatPolicy(), now);
    case RefusalReason::queueFull: {
        // Another group may have room.
        const auto groups = m_site.groups.find(request.service);
        return pending.tries < 2 && !isKeyed(request.service) && groups != m_site.groups.end()
            && groups->second.slots.size() > 1;
    }
    default:
        return false;
    }
}

void Door::pauseFor(RequestId id, Millis pause)
{
    Pending& pending = *m_pending.at(id);
    pending.pause = std::make_unique<Timer>([this, id] {
        const auto it = m_pending.find(id);
        if (it == m_pending.end())
            return;
        const std::unique_ptr<Timer> running = std::move(it->second->pause); // it must outlive its callback
        attempt(id);
    });
    pending.pause->once(pause);
}

void Door::refresh()
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
        it->second->pause.reset();
        attempt(id);
    }
}

void Door::onDeadline(RequestId id)
{
    Pending& pending = *m_pending.at(id);
    const bool mayHaveRun = pending.state == State::handedOver || pending.runs > 0;
    const LinkId link = pending.link;
    const HostName host = pending.host;
    const auto job = pending.job;
    const std::uint64_t relay = id << kAttemptBits | (pending.attempt & kAttemptMask);
    complete(id, mayHaveRun ? maybeRun(RefusalReason::upstreamTimeout) : notRun(RefusalReason::deadlinePassed));
    if (link)
        m_site.hub.send(host, RelayCancel { relay });
    if (job)
        m_dispatcher.cancel(job);
}

// The caller has closed its connection: nobody waits for the answer any more.
void Door::onGone(RequestId id)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    logEvent(EventKind::request, "caller_gone",
        { { "request", it->second->request.id }, { "ms", (monotonicNow() - it->second->receivedAt).count() } });
    onDeadline(id);
}

void Door::complete(RequestId id, Reply reply)
{
    const auto pending = std::move(m_pending.at(id));
    m_pending.erase(id);
    const Request& request = pending->request;
    const Millis took = monotonicNow() - pending->receivedAt;
    const auto* refusal = std::get_if<Refusal>(&reply);
    const char* outcome = refusal ? (refusal->ran == Ran::no ? "refused" : "unknown") : "answered";
    m_site.metrics.count("pistachiospur_requests_total",
        { { "service", request.service }, { "rank", request.rank }, { "outcome", outcome } });
    std::vector<EventField> line = { { "request", request.id }, { "route", pending->route },
        { "service", request.service }, { "slot", request.slot.value }, { "ms", took.count() },
        { "tries", pending->tries }, { "configuration", m_site.directory.routes()->version.value } };
    if (refusal) {
        m_site.metrics.count("pistachiospur_refusals_total", { { "reason", factsOf(refusal->reason).name } });
        line.push_back({ "outcome", factsOf(refusal->reason).name });
        line.push_back({ "ran", ranText(*refusal) });
        line.push_back({ "retry_after_ms", refusal->retryAfter.count() });
        logEvent(EventKind::request, "request", line);
        return respond(pending->responder, m_site.dialect.refusalResponse(*refusal));
    }
    auto& answer = std::get<Answer>(reply);
    m_site.metrics.observeLatency(request.service, request.rank, static_cast<double>(took.count()) / 1000);
    line.push_back({ "outcome", "answered" });
    line.push_back({ "status", answer.status });
    logEvent(EventKind::request, "request", line);
    respond(pending->responder, m_site.dialect.answerResponse(std::move(answer)));
}

std::map<ServiceName, std::map<std::uint32_t, std::uint32_t>> Door::takeCounts() { return std::exchange(m_counts, {}); }

} // namespace pistachiospur
