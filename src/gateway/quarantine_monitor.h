#pragma once

#include "context.h"

#include <nlohmann/json_fwd.hpp>

// Finds requests that end the upstreams that run them, so that every host refuses them. A request is suspected if the
// connection of its run broke and its upstream is then found to have ended; src/requests/quarantine decides what
// follows. Hosts tell each other through the store, where what they know outlasts them all.
namespace pistachiospur {

// How much longer all hosts refuse the request; zero if it may be sent.
Millis quarantineLeft(const GatewayContext&, const Request&, Millis now);
// Takes note of how a run of a request at an upstream has ended: with a reply, or because its connection broke.
void noteRun(
    GatewayContext&, const UpstreamInstance&, const Request&, const Reply&, bool connectionBroke, Millis startedAt);

class QuarantineMonitor {
public:
    explicit QuarantineMonitor(GatewayContext&);

    // Settles what noteRun() has noted, and writes what has changed to the store.
    void tick();
    // Lets a request run again at every host. Returns false if it is neither suspected nor quarantined.
    bool clear(std::uint64_t fingerprint);
    // What is known of each suspect, for operators.
    nlohmann::json report() const;

private:
    void forgetRuns(std::uint64_t fingerprint);
    void forget(std::uint64_t fingerprint);
    void settleAnswers();
    void settleBrokenRuns(Millis now);
    void probe(BrokenRun&, Millis now);
    void onProbed(const InstanceId&, const HttpOutcome&);
    bool hasEnded(const BrokenRun&) const;
    void confirm(const BrokenRun&, Millis now);
    void onRecord(std::uint64_t fingerprint, const std::optional<QuarantineRecord>&, StoreRevision);
    void publish(Millis now);
    void openLease();
    void write();
    void onWritten(const std::vector<std::uint64_t>& fingerprints, const WriteResult&);
    void resolveConflict(const KeyChange&);

    // What this host knows of a fingerprint beside its breaks.
    struct Details {
        std::string request; // method and target of one copy
        StoreRevision version; // of its record in the store; zero if there is none
        bool cleared = false;
    };

    GatewayContext& m_context;
    std::map<std::uint64_t, Details> m_details;
    std::set<InstanceId> m_probing; // connections under way
    std::set<std::uint64_t> m_unpublished;
    LeaseId m_lease;
    StoreEra m_leaseEra;
    Millis m_leaseOpenedAt {}; // monotonic clock, as the other times
    bool m_callPending = false; // to the store
    Millis m_nextCallAt {};
    Millis m_nextExpiryAt {};
};

} // namespace pistachiospur
