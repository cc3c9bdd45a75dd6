#pragma once

#include "pistachiospur/types.h"

#include <cstdint>
#include <string>
#include <vector>

// The rules by which an upstream holds its keys: a grant for a set of slots that a coordinator keeps renewing. An
// upstream's implementer needs this header alone; the router relies on nothing else of the upstream.
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

// A coordinator's order. Slots are sorted; when `hasSlots` is false, `digest` names the set that the upstream holds.
struct Renewal {
    std::string holder; // names one run of one coordinator's process
    Term term;
    Challenge challenge; // zero only asks for a challenge
    std::uint64_t digest = 0;
    bool hasSlots = false;
    std::vector<SlotGrant> slots;

    friend bool operator==(const Renewal& a, const Renewal& b)
    {
        return std::tie(a.holder, a.term, a.challenge, a.digest, a.hasSlots, a.slots)
            == std::tie(b.holder, b.term, b.challenge, b.digest, b.hasSlots, b.slots);
    }
};

enum class RenewalVerdict {
    accepted,
    staleChallenge, // the reply carries the one to use
    outdatedTerm, // another coordinator has this term or a higher one; no challenge is given
    slotsNeeded, // the digest does not name the set held
};

struct RenewalReply {
    RenewalVerdict verdict = RenewalVerdict::outdatedTerm;
    Term term; // highest seen by the upstream
    Challenge challenge; // for the next renewal; zero with outdatedTerm
    std::vector<SlotId> busy; // slots no longer granted whose requests still run

    friend bool operator==(const RenewalReply& a, const RenewalReply& b)
    {
        return std::tie(a.verdict, a.term, a.challenge, a.busy) == std::tie(b.verdict, b.term, b.challenge, b.busy);
    }
};

// What an upstream remembers. A restarted upstream begins with an empty one.
struct Grant {
    Term term;
    std::string holder; // whose term it is
    Challenge challenge; // the only one that a renewal may echo
    Millis challengeIssuedAt {};
    Millis expiresAt {}; // nothing runs from here on
    std::uint64_t digest = 0;
    std::vector<SlotGrant> slots; // sorted
};

enum class RunVerdict { run, expired, wrongTerm, notOwner };

// Digest of a sorted slot set.
std::uint64_t digestOf(const std::vector<SlotGrant>&);

// Answers a renewal and updates the grant. `fresh` is a nonce never issued before, for the reply; `now` and `ttl` are
// on the upstream's own clock.
RenewalReply answerRenewal(Grant&, const Renewal&, Challenge fresh, Millis now, Millis ttl);

// Decides whether a request for a slot, ordered under a term and epoch, may run now.
RunVerdict mayRun(const Grant&, SlotGrant, Term, Millis now);

// True while the grant is in force for the slot, under whichever epoch.
bool ownsSlot(const Grant&, SlotId, Millis now);

} // namespace pistachiospur
