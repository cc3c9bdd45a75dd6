#pragma once

#include "upstream/instance.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

// Which upstreams a host can connect to. A host learns it from the connections that it makes for requests and orders,
// confirms failures by connections of their own, and reports what it has lost to the other hosts. They let hosts that
// still reach an upstream coordinate it.
namespace pistachiospur {

// What a host has lost. Each report replaces the one before.
struct ReachReport {
    std::set<ServiceName> services; // connects to none of their upstreams
    std::set<InstanceId> upstreams; // single ones, of other services

    friend bool operator==(const ReachReport& a, const ReachReport& b)
    {
        return a.services == b.services && a.upstreams == b.upstreams;
    }
    friend bool operator!=(const ReachReport& a, const ReachReport& b) { return !(a == b); }
    bool empty() const { return services.empty() && upstreams.empty(); }
};

// An upstream to which the last connections have failed. Times are on the monotonic clock.
struct FailingUpstream {
    Millis since {}; // when the first of them was begun
    unsigned failures = 0;
    Millis nextProbeAt {};
};

// A host's connections to the upstreams of one service.
struct ServiceContacts {
    Millis connectedAt { -1 }; // when the last that was made was begun; negative if there was none
    std::map<InstanceId, FailingUpstream> failing;
};

struct Reach {
    std::map<ServiceName, ServiceContacts> services;
    ReachReport lost; // as of the last call of updateLost()
    bool isOutdated = false; // a contact has changed since in a way that may change `lost`
};

// A connection to the upstream was made. Since a host that loses its way to a service loses it to all upstreams at
// once, the first connection after that counts for all.
void noteConnected(Reach&, const ServiceName&, const InstanceId&, Millis begunAt);
// No connection was made: refused, reset or not answered in time.
void noteNotConnected(Reach&, const ServiceName&, const InstanceId&, Millis begunAt, Millis now);
// Forgets upstreams that do not exist any more.
template <typename Exists> void removeContacts(Reach&, const Exists&);
// Derives what is lost from the contacts. Returns true if that has changed.
bool updateLost(Reach&);
// What of it other hosts are told: services at once, single upstreams once they have failed since before
// `failingSince`. Until then they may have ended, and then every host loses them.
ReachReport reportOf(const Reach&, Millis failingSince);
// The upstreams to connect to now: those whose last connection failed, in the order in which they are due, at most `n`.
// Their next probe is put off.
std::vector<InstanceId> dueProbes(Reach&, std::size_t n, Millis now);
// Whether connections to other upstreams of a service would show if this host is cut off from it: some upstream fails,
// and it has neither connected to the service since nor failed to at several of its upstreams.
bool needsComparison(const Reach&, const ServiceName&);
// Whether this host may be cut off from a service: an upstream of it fails, and no connection to any other has been
// made since.
bool mayHaveLost(const Reach&, const ServiceName&);
// Whether the last connections to an upstream have failed.
bool isFailing(const Reach&, const ServiceName&, const InstanceId&);
// Whether a host with this report connects to the upstream.
bool reaches(const ReachReport&, const ServiceName&, const InstanceId&);

template <typename Exists> void removeContacts(Reach& reach, const Exists& exists)
{
    for (auto& [service, contacts] : reach.services) {
        for (auto it = contacts.failing.begin(); it != contacts.failing.end();)
            it = exists(it->first) ? std::next(it) : contacts.failing.erase(it);
    }
    reach.isOutdated = true;
}

} // namespace pistachiospur
