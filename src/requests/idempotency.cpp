#include "idempotency.h"

#include <algorithm>
#include <cctype>

namespace pistachiospur {

namespace {

constexpr std::size_t kMaxIdempotencyKeyLength = 255;
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionPosition = 14;

bool isUuid7(const std::string& text)
{
    if (text.size() != kUuidLength || text[kUuidVersionPosition] != '7')
        return false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool dash = n == 8 || n == 13 || n == 18 || n == 23;
        if (dash ? text[n] != '-' : !std::isxdigit(static_cast<unsigned char>(text[n])))
            return false;
    }
    return true;
}

std::optional<Millis> parseMillis(const std::string& text)
{
    const bool digits = !text.empty() && text.size() <= 15
        && std::all_of(text.begin(), text.end(), [](unsigned char n) { return std::isdigit(n); });
    return digits ? std::optional(Millis(std::stoll(text))) : std::nullopt;
}

} // namespace

std::optional<IdempotencyKey> parseIdempotencyKey(const std::string& header, const std::string& sentAt)
{
    std::string text = header;
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    if (text.empty() || text.size() > kMaxIdempotencyKeyLength)
        return std::nullopt;
    if (isUuid7(text))
        return IdempotencyKey { text, Millis(std::stoll(text.substr(0, 8) + text.substr(9, 4), nullptr, 16)) };
    const auto time = parseMillis(sentAt);
    return time ? std::optional(IdempotencyKey { text, *time }) : std::nullopt;
}

void expire(IdempotencyCache& cache, const IdempotencyPolicy& policy, Millis now)
{
    while (!cache.order.empty()) {
        const auto& [startedAt, key] = cache.order.front();
        if (startedAt + policy.window >= now && cache.order.size() <= policy.entries)
            break;
        const auto it = cache.requests.find(key);
        if (it != cache.requests.end() && it->second.startedAt == startedAt) {
            if (!it->second.done && startedAt + policy.window >= now)
                break;
            cache.requests.erase(it);
        }
        cache.completeSince = std::max(cache.completeSince, startedAt);
        cache.order.pop_front();
    }
}

IdempotencyDecision beginRequest(IdempotencyCache& cache, const IdempotencyPolicy& policy, const IdempotencyKey& key,
    std::uint64_t fingerprint, Millis since, Millis now)
{
    expire(cache, policy, now);
    const auto it = cache.requests.find(key.text);
    if (it != cache.requests.end()) {
        if (it->second.fingerprint != fingerprint)
            return { IdempotencyVerdict::reused, {} };
        if (!it->second.done)
            return { IdempotencyVerdict::inProgress, {} };
        return { IdempotencyVerdict::replay, it->second.reply };
    }
    const Millis earliestDecidable = std::max(since, cache.completeSince) + policy.clockSkew;
    // A key dated in the future could be mistaken for a new one after this cache is lost.
    if (key.sentAt < earliestDecidable || key.sentAt + policy.window < now || key.sentAt > now + policy.clockSkew)
        return { IdempotencyVerdict::cacheTooYoung, {} };
    cache.requests[key.text] = { fingerprint, false, {}, now };
    cache.order.emplace_back(now, key.text);
    return { IdempotencyVerdict::run, {} };
}

void recordOutcome(IdempotencyCache& cache, const std::string& key, const Reply& reply)
{
    const auto it = cache.requests.find(key);
    if (it == cache.requests.end())
        return;
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (refusal && refusal->ran == Ran::no) {
        cache.requests.erase(it);
        return;
    }
    it->second.done = true;
    it->second.reply = reply;
}

} // namespace pistachiospur
