#include "idempotency.h"

#include <algorithm>
#include <cctype>

namespace pistachiospur {

namespace {

constexpr std::size_t kGreatestKeyLength = 255;
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionAt = 14;

bool isUuid7(const std::string& text)
{
    if (text.size() != kUuidLength || text[kUuidVersionAt] != '7')
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
    if (text.empty() || text.size() > kGreatestKeyLength)
        return std::nullopt;
    if (isUuid7(text))
        return IdempotencyKey { text, Millis(std::stoll(text.substr(0, 8) + text.substr(9, 4), nullptr, 16)) };
    const auto at = parseMillis(sentAt);
    return at ? std::optional(IdempotencyKey { text, *at }) : std::nullopt;
}

void expire(IdempotencyMemory& memory, const MemoryPolicy& policy, Millis now)
{
    while (!memory.order.empty()) {
        const auto& [at, key] = memory.order.front();
        if (at + policy.window >= now && memory.order.size() <= policy.entries)
            break;
        const auto it = memory.requests.find(key);
        if (it != memory.requests.end() && it->second.at == at) {
            if (!it->second.done && at + policy.window >= now)
                break;
            memory.requests.erase(it);
        }
        memory.completeSince = std::max(memory.completeSince, at);
        memory.order.pop_front();
    }
}

MemoryAnswer beginOnce(IdempotencyMemory& memory, const MemoryPolicy& policy, const IdempotencyKey& key,
    std::uint64_t fingerprint, Millis since, Millis now)
{
    expire(memory, policy, now);
    const auto it = memory.requests.find(key.text);
    if (it != memory.requests.end()) {
        if (it->second.fingerprint != fingerprint)
            return { MemoryVerdict::reused, {} };
        if (!it->second.done)
            return { MemoryVerdict::inProgress, {} };
        return { MemoryVerdict::replay, it->second.reply };
    }
    const Millis known = std::max(since, memory.completeSince) + policy.clockSkew;
    // A key from the future could pass for a new one after this memory is lost.
    if (key.sentAt < known || key.sentAt + policy.window < now || key.sentAt > now + policy.clockSkew)
        return { MemoryVerdict::tooYoung, {} };
    memory.requests[key.text] = { fingerprint, false, {}, now };
    memory.order.emplace_back(now, key.text);
    return { MemoryVerdict::run, {} };
}

void endOnce(IdempotencyMemory& memory, const std::string& key, const Reply& reply)
{
    const auto it = memory.requests.find(key);
    if (it == memory.requests.end())
        return;
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (refusal && refusal->ran == Ran::no) {
        memory.requests.erase(it);
        return;
    }
    it->second.done = true;
    it->second.reply = reply;
}

} // namespace pistachiospur
