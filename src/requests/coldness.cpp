#include "coldness.h"

#include <algorithm>
#include <cmath>

namespace pistachiospur {

namespace {

// A host that begins to send to an upstream keeps to half its bound for this long, unless it has proof before.
constexpr Millis kBeginTime { 1500 };
// A host that has come to know an upstream within this time sends it one request until it has proof: when upstreams
// come back together, several hosts take them over from each other within a second, and each would send the part of
// one.
constexpr Millis kFirstTime { 1500 };
// After a pause of this length in its requests, a host begins anew.
constexpr Millis kPause { 3000 };
// The part of the requests that may start without a proof after which the upstream is asked.
constexpr double kQuestionShare = 0.6;
constexpr Millis kQuestionInterval { 50 };
// The same after a question without an answer.
constexpr Millis kSilentInterval { 500 };
// A request may reach the upstream after another that starts so much later.
constexpr Millis kOvertaking { 50 };
constexpr Millis kForgetTime { 10000 };

const UpstreamColdness* find(const Coldness& coldness, const InstanceId& id)
{
    const auto it = coldness.upstreams.find(id);
    return it == coldness.upstreams.end() ? nullptr : &it->second;
}

Millis intervalOf(const ColdBound& bound)
{
    return Millis(static_cast<std::int64_t>(std::ceil(1000 / std::max(bound.perSecond, 0.001))));
}

bool hasProofSince(const UpstreamColdness& upstream, Millis time)
{
    return upstream.warmAt && *upstream.warmAt >= time;
}

bool isNew(const UpstreamColdness& upstream, Millis now)
{
    return upstream.knownSince && now < *upstream.knownSince + kFirstTime
        && !hasProofSince(upstream, *upstream.knownSince);
}

UpstreamColdness& stateOf(Coldness& coldness, const InstanceId& id, Millis now)
{
    UpstreamColdness& upstream = coldness.upstreams[id];
    upstream.knownSince = upstream.knownSince.value_or(now);
    return upstream;
}

unsigned maxStartsNow(const UpstreamColdness& upstream, const ColdBound& bound, Millis now)
{
    if (isNew(upstream, now))
        return 1;
    const bool begins = !upstream.lastStartAt || now >= *upstream.lastStartAt + kPause
        || (now < upstream.beganAt + kBeginTime && !hasProofSince(upstream, upstream.beganAt));
    return begins ? std::max(1u, bound.maxStarts / 2) : bound.maxStarts;
}

std::deque<Millis>::const_iterator firstSinceProof(const UpstreamColdness& upstream, Millis now)
{
    return std::find_if(upstream.starts.begin(), upstream.starts.end(),
        [&](Millis at) { return at + kColdWindow > now && (!upstream.warmAt || at > *upstream.warmAt - kOvertaking); });
}

// The time until fewer starts than allowed follow the last proof within the window.
Millis timeInWindow(const UpstreamColdness& upstream, const ColdBound& bound, Millis now)
{
    const auto count = static_cast<std::size_t>(upstream.starts.end() - firstSinceProof(upstream, now));
    const std::size_t max = maxStartsNow(upstream, bound, now);
    return count < max ? Millis(0) : *(upstream.starts.end() - static_cast<std::ptrdiff_t>(max)) + kColdWindow - now;
}

void setCold(Coldness& coldness, UpstreamColdness& upstream, Millis coldLeft, ColdSource source, Millis now)
{
    const bool wasCold = now < upstream.coldUntil;
    upstream.coldUntil = coldLeft > Millis(0) ? now + coldLeft : std::min(upstream.coldUntil, now);
    coldness.anyColdUntil = std::max(coldness.anyColdUntil, upstream.coldUntil);
    const bool isCold = now < upstream.coldUntil;
    if (isCold) {
        upstream.source = source;
        upstream.heldSince.reset();
    }
    if (isCold && !wasCold)
        upstream.coldSince = now;
}

} // namespace

ColdBound coldBound(double perSecond, double over, double slack)
{
    const double perHost = std::floor((perSecond * over + slack) / 2);
    return { std::min(perSecond, std::max(1.0, perHost - 1)), static_cast<unsigned>(std::max(1.0, perHost)) };
}

bool isCold(const Coldness& coldness, const InstanceId& id, Millis now)
{
    const auto* upstream = now < coldness.anyColdUntil ? find(coldness, id) : nullptr;
    return upstream && now < upstream->coldUntil;
}

Millis timeToStart(const Coldness& coldness, const InstanceId& id, const ColdBound& bound, Millis now)
{
    const auto* upstream = find(coldness, id);
    if (!upstream)
        return Millis(0);
    const Millis paced = now < upstream->coldUntil ? upstream->pacedUntil - now : Millis(0);
    return std::max({ Millis(0), paced, timeInWindow(*upstream, bound, now) });
}

unsigned usableSlots(const Coldness& coldness, const InstanceId& id, unsigned slots, double meanRunMs,
    const ColdBound& bound, Millis now)
{
    if (meanRunMs <= 0 || !isCold(coldness, id, now))
        return slots;
    return static_cast<unsigned>(std::clamp(std::ceil(bound.perSecond * meanRunMs / 1000), 1.0, double(slots)));
}

void noteStart(Coldness& coldness, const InstanceId& id, const ColdBound& bound, Millis now)
{
    UpstreamColdness& upstream = stateOf(coldness, id, now);
    if (!upstream.lastStartAt || now >= *upstream.lastStartAt + kPause)
        upstream.beganAt = now;
    while (!upstream.starts.empty() && upstream.starts.front() + kColdWindow <= now)
        upstream.starts.pop_front();
    upstream.starts.push_back(now);
    upstream.lastStartAt = now;
    upstream.heldSince.reset();
    const Millis interval = intervalOf(bound);
    const Millis unused
        = now < upstream.coldUntil ? std::min(interval, std::max(Millis(0), now - upstream.pacedUntil)) : Millis(0);
    upstream.pacedUntil = now - unused + interval;
}

void noteEntry(Coldness& coldness, const InstanceId& id, StoreRevision version, Millis coldLeft, Millis now)
{
    UpstreamColdness& upstream = stateOf(coldness, id, now);
    if (upstream.entryVersion == version)
        return;
    upstream.entryVersion = version;
    const bool isOlder = upstream.answeredAt > Millis(0) && now < upstream.answeredAt + coldness.entryDelay;
    if (coldLeft > Millis(0) || !isOlder)
        setCold(coldness, upstream, coldLeft, ColdSource::entry, now);
}

void noteHealth(Coldness& coldness, const InstanceId& id, std::optional<Millis> coldLeft, Millis askedAt, Millis now)
{
    UpstreamColdness& upstream = coldness.upstreams[id];
    upstream.isAsked = false;
    upstream.nextQuestionAt = now + (coldLeft ? kQuestionInterval : kSilentInterval);
    if (!coldLeft)
        return;
    upstream.answeredAt = std::max(upstream.answeredAt, askedAt);
    if (*coldLeft <= Millis(0))
        upstream.warmAt = std::max(upstream.warmAt.value_or(askedAt), askedAt);
    setCold(coldness, upstream, *coldLeft, ColdSource::health, now);
}

bool noteHeld(Coldness& coldness, const InstanceId& id, Millis now)
{
    UpstreamColdness& upstream = coldness.upstreams[id];
    const bool isNew = !upstream.heldSince;
    if (isNew)
        upstream.heldSince = now;
    return isNew;
}

bool takeQuestion(Coldness& coldness, const InstanceId& id, const ColdBound& bound, Millis now)
{
    UpstreamColdness& upstream = coldness.upstreams[id];
    if (upstream.isAsked || now < upstream.nextQuestionAt || now < upstream.coldUntil)
        return false;
    const auto count = static_cast<double>(upstream.starts.end() - firstSinceProof(upstream, now));
    // One that has got a single request is asked only if another one waits.
    upstream.isAsked = isNew(upstream, now) ? count > 0 && upstream.heldSince.has_value()
                                            : count >= std::ceil(kQuestionShare * maxStartsNow(upstream, bound, now));
    return upstream.isAsked;
}

void forgetIdle(Coldness& coldness, Millis now)
{
    for (auto it = coldness.upstreams.begin(); it != coldness.upstreams.end();) {
        const UpstreamColdness& upstream = it->second;
        const Millis usedAt = std::max(upstream.lastStartAt.value_or(Millis(0)), upstream.coldUntil);
        it = upstream.isAsked || now < usedAt + kForgetTime ? std::next(it) : coldness.upstreams.erase(it);
    }
}

} // namespace pistachiospur
