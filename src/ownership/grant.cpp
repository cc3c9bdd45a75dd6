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

Challenge issue(Grant& grant, Challenge fresh, Millis now)
{
    grant.challenge = fresh;
    grant.challengeIssuedAt = now;
    return fresh;
}

} // namespace

// A term belongs to the first holder that brings it, since two coordinators may count up to the same number. A higher
// term is adopted even by a renewal that extends nothing: from then on the older coordinator is powerless.
// The TTL counts from the challenge's issue, so a renewal that was delayed on its way extends nothing.
RenewalReply answerRenewal(Grant& grant, const Renewal& renewal, Challenge fresh, Millis now, Millis ttl)
{
    const bool taken = renewal.term == grant.term && renewal.holder != grant.holder && !grant.holder.empty();
    if (renewal.term < grant.term || taken)
        return { RenewalVerdict::outdatedTerm, grant.term, {}, {} };
    grant.term = renewal.term;
    grant.holder = renewal.holder;
    if (renewal.challenge.value == 0 || renewal.challenge != grant.challenge)
        return { RenewalVerdict::staleChallenge, grant.term, issue(grant, fresh, now), {} };
    if (!renewal.hasSlots && renewal.digest != grant.digest)
        return { RenewalVerdict::slotsNeeded, grant.term, issue(grant, fresh, now), {} };
    if (renewal.hasSlots) {
        grant.slots = renewal.slots;
        grant.digest = digestOf(renewal.slots);
    }
    grant.expiresAt = std::max(grant.expiresAt, grant.challengeIssuedAt + ttl);
    return { RenewalVerdict::accepted, grant.term, issue(grant, fresh, now), {} };
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
