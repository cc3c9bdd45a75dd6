#pragma once

#include "pistachiospur/grant.h"

#include <optional>
#include <vector>

// A host's state for renewing one upstream's grant: when to send the next renewal, its term, challenge and slots, and
// how long a grant may stay in force after the host stops renewing.
namespace pistachiospur {

struct RenewerTiming {
    Millis ttl; // of a grant
    Millis interval; // between renewals
    Millis timeout; // after which a renewal counts as unanswered
};

// Number of consecutive unanswered renewals after which the upstream is reported lost.
constexpr unsigned kUnansweredRenewalsUntilLost = 2;
// Exponential backoff after a displacement by another coordinator, for two hosts that each consider themselves the
// coordinator.
constexpr Millis kInitialTermBackoff { 250 };
constexpr Millis kMaxTermBackoff { 1000 };
// Margin for clock drift between two hosts over one TTL.
constexpr Millis kClockRateMargin { 50 };

struct Renewer {
    std::string holder; // identifies this host and the current run of its process to the upstream
    bool coordinating = false; // this host sends renewals
    Term term;
    Challenge challenge; // to echo in the next renewal; zero if unknown
    Millis challengeReceivedAt {};
    Millis grantBound {}; // upper bound on the expiry of every grant issued by this host
    std::optional<Millis> sentAt; // send time of the renewal in flight; empty if there is none
    Renewal sent; // the last renewal sent
    Millis dueAt {}; // when to send the next renewal
    unsigned unanswered = 0; // consecutive unanswered renewals
    unsigned consecutiveDisplacements = 0; // consecutive replies that another coordinator has the term or a higher one
    std::vector<SlotGrant> wantedSlots; // slots to grant, sorted
    std::uint64_t wantedDigest = 0;
    std::optional<std::uint64_t> confirmedDigest; // of the slots accepted by the upstream; empty while unknown
    bool established = false; // the upstream has accepted a renewal of this host in its current term
    std::vector<SlotId> drainingSlots; // slots no longer granted for which the upstream still runs requests
};

// Whether a reply changed this host's role as the upstream's coordinator.
enum class RenewerChange { none, established, displaced };

// Starts renewing under a term above any term seen so far. Does nothing if the host already coordinates the upstream.
void startCoordinating(Renewer&, Millis now);
// Stops renewing at once. The last grant may stay in force for up to grantRemaining().
void stopCoordinating(Renewer&);
// Replaces the slots to grant. If they differ from the previous ones, a renewal is due at once.
void setSlots(Renewer&, std::vector<SlotGrant> sorted, Millis now);
// Returns the renewal to send at `now`, if one is due. A renewal in flight counts as unanswered after the timeout.
std::optional<Renewal> dueRenewal(Renewer&, const RenewerTiming&, Millis now);
// `sent` is the renewal that the reply answers. Replies to any but the renewal in flight are ignored.
RenewerChange onRenewalReply(Renewer&, const Renewal& sent, const RenewalReply&, const RenewerTiming&, Millis now);
// Counts the renewal in flight as unanswered and schedules the next one.
void onRenewalFailed(Renewer&, const Renewal& sent, const RenewerTiming&, Millis now);
// True if the upstream has left kUnansweredRenewalsUntilLost consecutive renewals unanswered.
bool looksLost(const Renewer&);
// True if the upstream has accepted exactly the wanted slots and runs no requests of other slots.
bool isSettled(const Renewer&);
// Upper bound on how long a grant issued by this host stays in force, on this host's clock plus a margin for drift.
Millis grantRemaining(const Renewer&, Millis now);

} // namespace pistachiospur
