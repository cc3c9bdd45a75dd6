#pragma once

#include "context.h"

#include <map>
#include <optional>

// Brings this host's copy of the store up to date from the copies of other hosts, when the relay of its data centre's
// watching host has a gap or the copy gets old. A copy is as good as the store if its age is known, so a host that the
// store turns away, or a whole data centre, follows the others.
namespace pistachiospur {

// The hosts that another host's copy may be asked for, each list in the order of asking.
struct CopySources {
    std::optional<HostName> relay; // whose batch showed that changes are missing
    std::vector<HostName> near; // in the same data centre
    std::vector<HostName> remote;
};

// The host to ask at the n-th attempt since the copy was last up to date: the relay first, then hosts of this data
// centre and of others in turn. Nothing if there are none.
std::optional<HostName> sourceAt(const CopySources&, unsigned attempt);

class CatchUp {
public:
    explicit CatchUp(GatewayContext&);

    void tick();
    // A batch from this host does not follow the copy's revision.
    void onGap(const HostName& relay);
    void onRequest(const HostLife& from, const ReplicaRequest&);
    void onBatch(const HostName& from, const ReplicaBatch&);
    // The age of a watching host's copy, as far as this host's own clock shows: what the update spent on its way
    // counts. Nothing while the sender's clock is not known; asks the sender for it.
    std::optional<Millis> ageOf(const HostName& from, const WatchUpdate&);
    // A link to a host has opened: it may have started again, with another clock.
    void onLinkOpened(const HostName&);

private:
    // The difference between this host's boot clock and a peer's, from a request and its answer.
    struct ClockOffset {
        Millis least {}; // of all that the request and the answer allow
        Millis knownAt {}; // this host's boot clock
    };

    CopySources sources() const;
    bool isOld() const;
    bool isAnswerArriving(Millis now) const;
    void ask(const HostName&);
    bool apply(const ReplicaBatch&, Millis age);

    GatewayContext& m_context;
    std::optional<HostName> m_relay; // whose batch showed a gap that is not filled yet
    unsigned m_attempts = 0; // since the copy was last up to date
    Millis m_nextAskAt {}; // monotonic clock
    std::optional<HostName> m_asked; // has not answered yet
    Millis m_askedAt {}; // monotonic clock
    std::map<HostName, ClockOffset> m_offsets;
    std::map<HostName, Millis> m_clockAskedAt; // monotonic clock
};

} // namespace pistachiospur
