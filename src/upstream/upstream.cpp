#include "upstream.h"

#include "io/json.h"

#include <algorithm>

namespace pistachiospur {

using Json = nlohmann::json;

namespace {

constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
// Retry-After for callers whose request was shed by the upstream.
constexpr Millis kShedRetryAfter { 100 };
// Indexed by RenewalVerdict.
constexpr const char* kVerdicts[] = { "accepted", "stale-challenge", "outdated-term", "slots-needed" };

std::string urlOf(const Upstream& upstream, const std::string& target)
{
    return "http://" + upstream.endpoint.text() + target;
}

} // namespace

std::string encodeRenewal(const Renewal& renewal)
{
    Json object = { { "holder", renewal.holder }, { "term", renewal.term.value },
        { "challenge", renewal.challenge.value }, { "digest", renewal.digest } };
    if (renewal.hasSlots) {
        Json slots = Json::array();
        for (const auto& grant : renewal.slots)
            slots.push_back({ grant.slot.value, grant.epoch.value });
        object["slots"] = slots;
    }
    return object.dump();
}

// The JSON library throws on malformed documents and wrong types; the exception is turned into an empty result here.
std::optional<Renewal> decodeRenewal(const std::string& text)
{
    try {
        const Json object = parseJson(text);
        Renewal renewal;
        renewal.holder = object.at("holder");
        renewal.term = Term { object.at("term").get<std::uint64_t>() };
        renewal.challenge = Challenge { object.at("challenge").get<std::uint64_t>() };
        renewal.digest = object.at("digest");
        renewal.hasSlots = object.contains("slots");
        if (renewal.hasSlots) {
            for (const auto& pair : object["slots"])
                renewal.slots.push_back(
                    { SlotId { pair.at(0).get<std::uint32_t>() }, Epoch { pair.at(1).get<std::uint64_t>() } });
        }
        return renewal;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string encodeRenewalReply(const RenewalReply& reply)
{
    Json busy = Json::array();
    for (const auto& slot : reply.busy)
        busy.push_back(slot.value);
    return Json {
        { "verdict", kVerdicts[static_cast<int>(reply.verdict)] }, { "term", reply.term.value },
        { "challenge", reply.challenge.value }, { "busy", busy }
    }.dump();
}

std::optional<RenewalReply> decodeRenewalReply(const std::string& text)
{
    try {
        const Json object = parseJson(text);
        const std::string verdict = object.at("verdict");
        const auto it = std::find(std::begin(kVerdicts), std::end(kVerdicts), verdict);
        if (it == std::end(kVerdicts))
            return std::nullopt;
        RenewalReply reply;
        reply.verdict = static_cast<RenewalVerdict>(it - std::begin(kVerdicts));
        reply.term = Term { object.at("term").get<std::uint64_t>() };
        reply.challenge = Challenge { object.at("challenge").get<std::uint64_t>() };
        for (const auto& slot : object.at("busy"))
            reply.busy.push_back(SlotId { slot.get<std::uint32_t>() });
        return reply;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

HttpCall renewalCall(const Upstream& upstream, const Renewal& renewal, Millis timeout)
{
    HttpCall call;
    call.method = "POST";
    call.url = urlOf(upstream, kGrantPath);
    call.headers = { { "Content-Type", "application/json" } };
    call.body = encodeRenewal(renewal);
    call.timeout = timeout;
    return call;
}

HttpCall requestCall(const Upstream& upstream, const Request& request, SlotGrant slot, Term term, Millis now)
{
    HttpCall call;
    call.method = request.method;
    call.url = urlOf(upstream, request.target);
    call.headers.assign(request.headers.begin(), request.headers.end());
    call.headers.emplace_back(kSlotHeader, std::to_string(slot.slot.value));
    call.headers.emplace_back(kEpochHeader, std::to_string(slot.epoch.value));
    call.headers.emplace_back(kTermHeader, std::to_string(term.value));
    call.timeout = std::max(Millis(1), request.deadline - now);
    call.headers.emplace_back(kDeadlineHeader, std::to_string(call.timeout.count()));
    call.body = request.body;
    call.freshConnection = !request.idempotent;
    return call;
}

namespace {

// True when a truncated body would have been detected: its length is declared, it is chunked, or there is none.
bool hasDeclaredLength(const HttpAnswer& answer)
{
    return answer.headers.count("content-length") || answer.headers.count("transfer-encoding") || answer.status == 204
        || answer.status == 304;
}

// Headers that belong to one connection, or that the HTTP server writes itself.
bool isHopByHopHeader(const std::string& name)
{
    return name == "connection" || name == "keep-alive" || name == "transfer-encoding" || name == "content-length"
        || name == "date";
}

} // namespace

Refusal refusalFor(HttpFault fault)
{
    switch (fault) {
    case HttpFault::notSent:
        return notRun(RefusalReason::upstreamUnreachable);
    case HttpFault::timeout:
        return maybeRun(RefusalReason::upstreamTimeout);
    case HttpFault::broken:
    case HttpFault::tooLarge:
        break;
    }
    return maybeRun(RefusalReason::upstreamBroken);
}

Reply replyFor(HttpOutcome outcome)
{
    if (const auto* failure = std::get_if<HttpFailure>(&outcome))
        return refusalFor(failure->fault);
    auto& answer = std::get<HttpAnswer>(outcome);
    const auto ran = answer.headers.find(kRanHeader);
    const bool notExecuted = ran != answer.headers.end() && ran->second == "no";
    if (notExecuted && answer.status == kMisdirected)
        return notRun(RefusalReason::upstreamNotOwner);
    if (notExecuted && answer.status == kUnavailable)
        return notRun(RefusalReason::upstreamShed, kShedRetryAfter);
    if (!hasDeclaredLength(answer))
        return maybeRun(RefusalReason::upstreamBroken);
    Answer forwarded { answer.status, {}, std::move(answer.body) };
    for (auto& [name, value] : answer.headers) {
        if (!isHopByHopHeader(name))
            forwarded.headers.emplace_back(name, value);
    }
    return forwarded;
}

} // namespace pistachiospur
