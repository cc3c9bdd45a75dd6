#include "admit.h"

#include "idempotency.h"
#include "ownership/table.h"

#include <algorithm>
#include <xxhash.h>

namespace pistachiospur {

namespace {

constexpr std::size_t kMaxKeyLength = 512;
constexpr std::int64_t kMaxTimeoutMs = 600000;

// False for hop-by-hop headers and for headers that the router sets itself.
bool isForwarded(const std::string& name)
{
    static const char* const notForwarded[] = { "connection", "keep-alive", "transfer-encoding", "te", "trailer",
        "upgrade", "host", "content-length", "expect", "proxy-authorization", "proxy-connection", "request-timeout" };
    return std::none_of(std::begin(notForwarded), std::end(notForwarded), [&](const char* it) { return name == it; })
        && name.compare(0, 14, "pistachiospur-") != 0;
}

// Removes the first path segment from `rest`, which starts with a slash, and returns it.
std::string takeSegment(std::string& rest)
{
    const auto end = rest.find_first_of("/?", 1);
    std::string segment = rest.substr(1, end == std::string::npos ? end : end - 1);
    rest = end == std::string::npos ? "" : rest.substr(end);
    return segment;
}

std::string headerOf(const CallerRequest& caller, const char* name)
{
    const auto it = caller.headers.find(name);
    return it == caller.headers.end() ? "" : it->second;
}

std::uint64_t fingerprintOf(const Request& request)
{
    XXH64_hash_t hash = 0;
    for (const std::string* it : { &request.service, &request.key, &request.method, &request.target, &request.body })
        hash = XXH64(it->data(), it->size(), hash + it->size());
    return hash;
}

// The time allowed from now on: the Request-Timeout header or the default. Returns nothing if the header is not a whole
// number of milliseconds up to kMaxTimeoutMs.
std::optional<Millis> timeoutOf(const CallerRequest& caller, const AdmitPolicy& policy)
{
    const std::string text = headerOf(caller, "request-timeout");
    if (text.empty())
        return policy.defaultDeadline;
    const bool digits
        = text.size() <= 9 && std::all_of(text.begin(), text.end(), [](unsigned char n) { return std::isdigit(n); });
    if (!digits || std::stoll(text) > kMaxTimeoutMs)
        return std::nullopt;
    return Millis(std::stoll(text));
}

// A pooled request that must not run twice is routed by its idempotency key, so that a resend reaches the coordinator
// whose idempotency cache has the first run. Any other pooled request may run on any upstream; including the time in
// its key distributes such requests.
std::string pooledKey(const Request& request, Millis now)
{
    if (!request.idempotent && request.idempotencyKey)
        return request.idempotencyKey->text;
    return std::to_string(request.fingerprint) + "/" + std::to_string(now.count());
}

} // namespace

Admitted admit(const Configuration& configuration, const AdmitPolicy& policy, CallerRequest caller, Millis now)
{
    if (caller.tooLarge)
        return notRun(RefusalReason::tooLarge);
    if (caller.target.empty() || caller.target[0] != '/')
        return notRun(RefusalReason::malformed);
    std::string rest = caller.target;
    const auto service = configuration.services.find(takeSegment(rest));
    if (service == configuration.services.end())
        return notRun(RefusalReason::unknownService);
    const bool keyed = service->second.mode == ServiceMode::keyed;
    Request request;
    request.service = service->first;
    if (keyed) {
        request.key = rest.empty() || rest[0] != '/' ? "" : takeSegment(rest);
        if (request.key.empty() || request.key.size() > kMaxKeyLength)
            return notRun(RefusalReason::malformed);
    }
    const Route* route = findRoute(service->second, caller.method, rest.empty() ? "/" : rest);
    if (!route)
        return notRun(RefusalReason::noRoute);
    const Rank& rank = configuration.ranks.at(route->rank);
    request.rank = rank.name;
    request.order = rank.order;
    request.idempotent = route->idempotent;
    const auto timeout = timeoutOf(caller, policy);
    if (!timeout)
        return notRun(RefusalReason::malformed);
    if (timeout->count() == 0)
        return notRun(RefusalReason::deadlinePassed);
    request.deadline = now + *timeout;
    request.idempotencyKey
        = parseIdempotencyKey(headerOf(caller, "idempotency-key"), headerOf(caller, "idempotency-key-time"));
    if (!request.idempotent && !request.idempotencyKey)
        return notRun(RefusalReason::idempotencyKeyNeeded);
    request.method = std::move(caller.method);
    request.target = std::move(caller.target);
    request.body = std::move(caller.body);
    for (auto& [name, value] : caller.headers) {
        if (isForwarded(name))
            request.headers.emplace(name, std::move(value));
    }
    request.fingerprint = fingerprintOf(request);
    if (!keyed)
        request.key = pooledKey(request, now);
    request.slot = slotOf(request.key, service->second.slots);
    return request;
}

bool spendBudget(RankBudget& budget)
{
    budget.credit += budget.fraction;
    if (budget.credit < 1)
        return false;
    budget.credit -= 1;
    return true;
}

void adjustBudget(RankBudget& budget, const Reply& reply)
{
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (!refusal)
        budget.fraction = std::min(1.0, budget.fraction + kBudgetIncrease);
    else if (refusal->reason == RefusalReason::queueFull || refusal->reason == RefusalReason::upstreamShed)
        budget.fraction = std::max(kMinBudgetFraction, budget.fraction * kBudgetDecreaseFactor);
}

} // namespace pistachiospur
