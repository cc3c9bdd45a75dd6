#pragma once

#include "pistachiospur/types.h"

#include <cstdint>
#include <string>
#include <vector>

// The grant protocol between a coordinator and an upstream. A grant lets an upstream serve a set of slots until it
// expires; a coordinator renews it. An upstream's implementer needs only this header, and the router relies on nothing
// else of an upstream.
namespace pistachiospur {

// One slot and the epoch under which the upstream owns it.
struct SlotGrant {
    SlotId slot;
    Epoch epoch;

    friend bool operator==(const SlotGrant& a, const SlotGrant& b) { return a.slot == b.slot && a.epoch == b.epoch; }
    friend bool operator!=(const SlotGrant& a, const SlotGrant& b) { return !(a == b); }
    friend bool operator<(const SlotGrant& a, const SlotGrant& b)
    {
        return std::tie(a.slot, a.epoch) < std::tie(b.slot, b.epoch);
    }
};

// A coordinator's request to renew a grant. If `hasSlots` is false, the renewal carries no slots, and `digest`
// identifies the slot set that the upstream already has.
struct Renewal {
    std::string holder; // identifies one start of a coordinator's process
    Term term;
    Challenge challenge; // issued by the upstream; zero: this message only requests one
    std::uint64_t digest = 0;
    bool hasSlots = false;
    std::vector<SlotGrant> slots; // sorted

    friend bool operator==(const Renewal& a, const Renewal& b)
    {
        return std::tie(a.holder, a.term, a.challenge, a.digest, a.hasSlots, a.slots)
            == std::tie(b.holder, b.term, b.challenge, b.digest, b.hasSlots, b.slots);
    }
};

enum class RenewalVerdict {
    accepted,
    staleChallenge, // the reply carries the challenge to use
    outdatedTerm, // another coordinator has this term or a higher one; no challenge is issued
    slotsNeeded, // the digest does not match the upstream's slot set
};

struct RenewalReply {
    RenewalVerdict verdict = RenewalVerdict::outdatedTerm;
    Term term; // highest seen by the upstream
    Challenge challenge; // for the next renewal; zero with outdatedTerm
    std::vector<SlotId> busy; // slots that are no longer granted but still have running requests

    friend bool operator==(const RenewalReply& a, const RenewalReply& b)
    {
        return std::tie(a.verdict, a.term, a.challenge, a.busy) == std::tie(b.verdict, b.term, b.challenge, b.busy);
    }
};

// An upstream's grant state. A restarted upstream begins with an empty one.
struct Grant {
    Term term;
    std::string holder; // of the term; see Renewal::holder
    Challenge challenge; // the only one that a renewal may echo
    Millis challengeIssuedAt {};
    Millis expiresAt {}; // from this time on, no request may run
    std::uint64_t digest = 0;
    std::vector<SlotGrant> slots; // sorted
};

enum class RunVerdict { run, expired, wrongTerm, notOwner };

// Digest of a slot set, which must be sorted.
std::uint64_t digestOf(const std::vector<SlotGrant>&);

// Answers a renewal and updates the grant. `nextChallenge` is a nonce that was never issued before; the reply carries
// it as the next challenge. `now` and `ttl` are measured on the upstream's clock.
RenewalReply answerRenewal(Grant&, const Renewal&, Challenge nextChallenge, Millis now, Millis ttl);

// Decides whether a request may run now that a coordinator sent under a term and under a slot's epoch.
RunVerdict mayRun(const Grant&, SlotGrant, Term, Millis now);

// True if the grant covers the slot, under any epoch, and has not expired.
bool ownsSlot(const Grant&, SlotId, Millis now);

} // namespace pistachiospur
