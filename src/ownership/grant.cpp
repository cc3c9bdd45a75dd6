#include "pistachiospur/grant.h"

#include <algorithm>
#include <xxhash.h>

namespace pistachiospur {

std::uint64_t digestOf(const std::vector<SlotGrant>& slots)
{
    XXH64_hash_t digest = slots.size();
    for (const auto& it : slots) {
        const std::uint64_t buf[2] = { it.slot.value, it.epoch.value };
        digest = XXH64(buf, sizeof buf, digest);
    }
    return digest;
}

namespace {

Challenge issueChallenge(Grant& grant, Challenge nextChallenge, Millis now)
{
    grant.challenge = nextChallenge;
    grant.challengeIssuedAt = now;
    return nextChallenge;
}

} // namespace

// A term belongs to the first holder that presents it, because two coordinators may reach the same term number
// independently. The upstream adopts a higher term even from a renewal that does not extend the grant. From then on it
// rejects the older coordinator. The TTL counts from the time at which the challenge was issued, so a renewal that was
// delayed in the network does not extend the grant.
RenewalReply answerRenewal(Grant& grant, const Renewal& renewal, Challenge nextChallenge, Millis now, Millis ttl)
{
    const bool termBelongsToOther
        = renewal.term == grant.term && renewal.holder != grant.holder && !grant.holder.empty();
    if (renewal.term < grant.term || termBelongsToOther)
        return { RenewalVerdict::outdatedTerm, grant.term, {}, {} };
    grant.term = renewal.term;
    grant.holder = renewal.holder;
    if (renewal.challenge.value == 0 || renewal.challenge != grant.challenge)
        return { RenewalVerdict::staleChallenge, grant.term, issueChallenge(grant, nextChallenge, now), {} };
    if (!renewal.hasSlots && renewal.digest != grant.digest)
        return { RenewalVerdict::slotsNeeded, grant.term, issueChallenge(grant, nextChallenge, now), {} };
    if (renewal.hasSlots) {
        grant.slots = renewal.slots;
        grant.digest = digestOf(renewal.slots);
    }
    grant.expiresAt = std::max(grant.expiresAt, grant.challengeIssuedAt + ttl);
    return { RenewalVerdict::accepted, grant.term, issueChallenge(grant, nextChallenge, now), {} };
}

RunVerdict mayRun(const Grant& grant, SlotGrant slot, Term term, Millis now)
{
    if (now >= grant.expiresAt)
        return RunVerdict::expired;
    if (term != grant.term)
        return RunVerdict::wrongTerm;
    return std::binary_search(grant.slots.begin(), grant.slots.end(), slot) ? RunVerdict::run : RunVerdict::notOwner;
}

bool ownsSlot(const Grant& grant, SlotId slot, Millis now)
{
    if (now >= grant.expiresAt)
        return false;
    const auto it = std::lower_bound(grant.slots.begin(), grant.slots.end(), SlotGrant { slot, {} });
    return it != grant.slots.end() && it->slot == slot;
}

} // namespace pistachiospur
