#pragma once

#include "upstream/instance.h"

#include <deque>
#include <map>
#include <optional>

// Keeps the requests to a cold upstream within what it takes. An upstream may turn cold at any moment, and its entry
// says so later: a host therefore starts only so many requests beyond the last proof that the upstream was warm, and
// asks it for its health before they are used up.
namespace pistachiospur {

// What a cold upstream gets from one host. Two hosts may send to an upstream while its coordinator changes, so each
// keeps to half of what the upstream takes from all.
struct ColdBound {
    double perSecond = 0; // requests a second to an upstream that is known to be cold
    unsigned maxStarts = 1; // requests within kColdWindow to an upstream without a proof that it was warm

    friend bool operator==(const ColdBound& a, const ColdBound& b)
    {
        return a.perSecond == b.perSecond && a.maxStarts == b.maxStarts;
    }
};

// The bound within which no second has more than `perSecond` times `over` plus `slack` requests from two hosts.
ColdBound coldBound(double perSecond, double over, double slack);

// One second, and the time by which requests may come closer to each other on their way to the upstream.
constexpr Millis kColdWindow { 1250 };
enum class ColdSource : std::uint8_t { entry, health };

struct UpstreamColdness {
    std::optional<Millis> knownSince; // when this host first had to do with it
    Millis coldUntil {}; // as far as the upstream has said; in the past if it is not known to be cold
    Millis coldSince {}; // when this host learned of it
    ColdSource source = ColdSource::entry;
    StoreRevision entryVersion; // of its entry when it was last read
    Millis answeredAt {}; // when it was sent the last question for its health that it answered; zero: none
    std::optional<Millis> warmAt; // the last time at which it is proven to have been warm
    std::deque<Millis> starts; // within kColdWindow
    Millis beganAt {}; // the first start after a pause; another host may have sent until then
    std::optional<Millis> lastStartAt;
    Millis pacedUntil {}; // the time up to which the rate of a cold upstream is used
    std::optional<Millis> heldSince; // a request has waited since then, for this bound alone
    bool isAsked = false; // a question for its health is under way
    Millis nextQuestionAt {};
};

struct Coldness {
    // An upstream's entry tells of its state within this time. What it told before says nothing against a later answer.
    Millis entryDelay { 2000 };
    std::map<InstanceId, UpstreamColdness> upstreams; // to which this host sends, or that are cold
    Millis anyColdUntil {};
};

bool isCold(const Coldness&, const InstanceId&, Millis now);
// The time until a request may start at an upstream; zero if one may now.
Millis timeToStart(const Coldness&, const InstanceId&, const ColdBound&, Millis now);
// The part of an upstream's slots that its rate keeps busy while it is known to be cold, rounded up; else all.
unsigned usableSlots(
    const Coldness&, const InstanceId&, unsigned slots, double meanRunMs, const ColdBound&, Millis now);
void noteStart(Coldness&, const InstanceId&, const ColdBound&, Millis now);
// Reads an upstream's entry, which says how much longer it is cold; zero: it is warm. An entry that has been read
// before says nothing new.
void noteEntry(Coldness&, const InstanceId&, StoreRevision version, Millis coldLeft, Millis now);
// The same for the answer to the question that was sent at `askedAt`; nothing: there was none, or it was not the
// upstream's.
void noteHealth(Coldness&, const InstanceId&, std::optional<Millis> coldLeft, Millis askedAt, Millis now);
// A request has to wait, and the upstream has a free slot but for this bound. Returns whether that is new.
bool noteHeld(Coldness&, const InstanceId&, Millis now);
// Whether to ask an upstream for its health: most of the requests that may start without a proof have started. It is
// not due again until noteHealth().
bool takeQuestion(Coldness&, const InstanceId&, const ColdBound&, Millis now);
// Forgets upstreams that have got no requests for so long that nothing known of them is of use.
void forgetIdle(Coldness&, Millis now);

} // namespace pistachiospur
