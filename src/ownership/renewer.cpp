#include "renewer.h"

#include <algorithm>

namespace pistachiospur {

void startCoordinating(Renewer& renewer, Millis now)
{
    if (renewer.coordinating)
        return;
    renewer.coordinating = true;
    renewer.established = false;
    renewer.term = renewer.term.next();
    renewer.challenge = {};
    renewer.confirmedDigest.reset();
    renewer.unanswered = 0;
    renewer.sentAt.reset();
    renewer.dueAt = now;
}

void stopCoordinating(Renewer& renewer)
{
    renewer.coordinating = false;
    renewer.established = false;
    renewer.sentAt.reset();
    renewer.unanswered = 0;
    renewer.consecutiveDisplacements = 0;
}

void setSlots(Renewer& renewer, std::vector<SlotGrant> sorted, Millis now)
{
    const std::uint64_t digest = digestOf(sorted);
    if (digest == renewer.wantedDigest && sorted == renewer.wantedSlots)
        return;
    renewer.wantedSlots = std::move(sorted);
    renewer.wantedDigest = digest;
    renewer.dueAt = now;
}

std::optional<Renewal> dueRenewal(Renewer& renewer, const RenewerTiming& timing, Millis now)
{
    if (!renewer.coordinating)
        return std::nullopt;
    if (renewer.sentAt) {
        if (now < *renewer.sentAt + timing.timeout)
            return std::nullopt;
        onRenewalFailed(renewer, renewer.sent, timing, now);
    }
    if (now < renewer.dueAt)
        return std::nullopt;
    Renewal renewal { renewer.holder, renewer.term, renewer.challenge, renewer.wantedDigest, false, {} };
    if (renewer.challenge.value != 0) {
        renewal.hasSlots = renewer.confirmedDigest != renewer.wantedDigest;
        if (renewal.hasSlots)
            renewal.slots = renewer.wantedSlots;
        // The TTL counts from the issue of the challenge, which precedes its receipt here, so this is an upper bound.
        renewer.grantBound = std::max(renewer.grantBound, renewer.challengeReceivedAt + timing.ttl);
    }
    renewer.sentAt = now;
    renewer.sent = renewal;
    return renewal;
}

namespace {

Millis backoff(unsigned consecutiveDisplacements)
{
    return std::min(kMaxTermBackoff, kInitialTermBackoff * (1 << std::min(consecutiveDisplacements, 6u)));
}

RenewerChange onDisplaced(Renewer& renewer, const RenewalReply& reply, Millis now)
{
    const bool wasEstablished = renewer.established;
    renewer.established = false;
    renewer.challenge = {};
    renewer.confirmedDigest.reset();
    renewer.term = reply.term.next();
    renewer.dueAt = now + backoff(renewer.consecutiveDisplacements++);
    return wasEstablished ? RenewerChange::displaced : RenewerChange::none;
}

} // namespace

RenewerChange onRenewalReply(
    Renewer& renewer, const Renewal& sent, const RenewalReply& reply, const RenewerTiming& timing, Millis now)
{
    if (!renewer.coordinating || !renewer.sentAt || !(sent == renewer.sent))
        return RenewerChange::none;
    const Millis sentAt = *renewer.sentAt;
    renewer.sentAt.reset();
    renewer.unanswered = 0;
    if (reply.verdict == RenewalVerdict::outdatedTerm)
        return onDisplaced(renewer, reply, now);
    renewer.challenge = reply.challenge;
    renewer.challengeReceivedAt = now;
    renewer.drainingSlots = reply.busy;
    if (reply.verdict != RenewalVerdict::accepted) {
        renewer.confirmedDigest.reset();
        renewer.dueAt = now;
        return RenewerChange::none;
    }
    renewer.consecutiveDisplacements = 0;
    renewer.confirmedDigest = sent.digest;
    renewer.dueAt = renewer.confirmedDigest == renewer.wantedDigest ? sentAt + timing.interval : now;
    if (renewer.established)
        return RenewerChange::none;
    renewer.established = true;
    return RenewerChange::established;
}

void onRenewalFailed(Renewer& renewer, const Renewal& sent, const RenewerTiming& timing, Millis now)
{
    if (!renewer.sentAt || !(sent == renewer.sent))
        return;
    const Millis sentAt = *renewer.sentAt;
    renewer.sentAt.reset();
    renewer.challenge = {}; // the upstream may have issued a newer one
    renewer.confirmedDigest.reset(); // the upstream may have restarted and lost its grant
    ++renewer.unanswered;
    const Millis pause = looksLost(renewer) ? timing.interval : timing.interval / 4;
    renewer.dueAt = std::max(now, sentAt + pause);
}

bool looksLost(const Renewer& renewer) { return renewer.unanswered >= kUnansweredRenewalsUntilLost; }

bool isSettled(const Renewer& renewer)
{
    return renewer.established && renewer.confirmedDigest == renewer.wantedDigest && renewer.drainingSlots.empty();
}

Millis grantRemaining(const Renewer& renewer, Millis now)
{
    return std::max(Millis(0), renewer.grantBound + kClockRateMargin - now);
}

} // namespace pistachiospur
