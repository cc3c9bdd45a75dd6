#pragma once

#include "pistachiospur/grant.h"

#include <optional>
#include <vector>

// A host's side of one upstream's grant: when to renew, with which term, challenge and slots, and how long a grant can
// outlive the host's decision to stop.
namespace pistachiospur {

struct RenewerTiming {
    Millis ttl;
    Millis interval;
    Millis timeout;
};

// After so many unanswered renewals in a row the upstream is reported lost.
constexpr unsigned kUnansweredUntilLost = 2;
// Two coordinators that each take themselves for the right one back off from one another by doubling this.
constexpr Millis kTermBackoff { 250 };
constexpr Millis kTermBackoffGreatest { 1000 };
// Allowance for the difference between two hosts' clock rates over one TTL.
constexpr Millis kClockRateMargin { 50 };

struct Renewer {
    std::string holder; // names this run of this process to the upstream
    bool coordinating = false;
    Term term;
    Challenge challenge; // to echo next; zero when unknown
    Millis challengeReceivedAt {};
    Millis grantBound {}; // no grant made by this host lives past it
    std::optional<Millis> sentAt; // of the renewal in flight
    Renewal sent; // the renewal in flight
    Millis dueAt {};
    unsigned unanswered = 0;
    unsigned lostTerms = 0; // times in a row that another coordinator had a higher term
    std::vector<SlotGrant> wanted; // slots to grant, sorted
    std::uint64_t wantedDigest = 0;
    std::optional<std::uint64_t> confirmedDigest; // of the set that the upstream has accepted; nothing while unknown
    bool established = false; // the upstream obeys this term
    std::vector<SlotId> busy; // still running there though no longer granted
};

// What the adapter tells others after a reply.
enum class RenewerChange { none, established, displaced };

// Begins to coordinate, above any term seen so far. Idempotent.
void startCoordinating(Renewer&, Millis now);
// Ends renewing at once. The grant may live on until grantRemaining.
void stopCoordinating(Renewer&);
// Replaces the slots to grant; a renewal is due at once when they differ.
void setSlots(Renewer&, std::vector<SlotGrant> sorted, Millis now);
// The renewal to send now, if one is due. A renewal in flight counts as unanswered after the timeout.
std::optional<Renewal> dueRenewal(Renewer&, const RenewerTiming&, Millis now);
// `sent` is the renewal that the reply belongs to; a reply to an older one is ignored.
RenewerChange onRenewalReply(Renewer&, const Renewal& sent, const RenewalReply&, const RenewerTiming&, Millis now);
void onRenewalFailed(Renewer&, const Renewal& sent, const RenewerTiming&, Millis now);
// True once the upstream has left enough renewals unanswered.
bool looksLost(const Renewer&);
// True when the upstream has accepted exactly the wanted slots and runs nothing for others.
bool isSettled(const Renewer&);
// How long a grant by this host can still be in force, counted on this host's clock with a margin for drift.
Millis grantRemaining(const Renewer&, Millis now);

} // namespace pistachiospur
