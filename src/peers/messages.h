#pragma once

#include "membership/members.h"
#include "ownership/release.h"
#include "pistachiospur/request.h"
#include "ranges/table.h"
#include "requests/quarantine.h"
#include "store/store.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

// What hosts say to one another. Encoded in CBOR, one message a WebSocket frame.
namespace pistachiospur {

// First on each link, in both directions.
struct Hello {
    HostName host;
    Incarnation incarnation;
};

struct Heartbeat {
    Incarnation incarnation;
    bool leaving = false;
    bool ready = false; // may coordinate: has read the store itself
    bool isReply = false;
    StoreRevision revision; // of the sender's replica
    std::uint64_t listDigest = 0; // of the sender's copy of the host list
    std::vector<Rumour> rumours;
    std::vector<Suspicion> suspicions;
};

// Asks for everything after a revision.
struct ReplicaRequest {
    StoreRevision since;
};

struct ReplicaBatch {
    ChangeBatch batch;
};

struct ReplicaSnapshot {
    Snapshot snapshot;
};

// A coordinator tells the planner that an upstream answers no more, or again.
struct UpstreamReport {
    ServiceName service;
    UpstreamName upstream;
    bool lost = false;
};

// The planner asks a renewer to promise not to renew under a fence or an older one.
struct StopRenewing {
    UpstreamName upstream;
    Fence fence;
};

struct RenewalStopped {
    UpstreamName upstream;
    Fence fence;
    Millis remaining {}; // how long the sender's last grant can still be in force
};

// The planner asks a renewer how far it is with the marks of a planned move.
struct ReleaseQuery {
    UpstreamName upstream;
};

struct ReleaseReport {
    UpstreamName upstream;
    RenewerStanding standing;
};

// An entry host hands a request to the coordinator of the owner.
struct Relay {
    std::uint64_t id = 0; // of the sender
    UpstreamName upstream;
    Request request; // its deadline counts from the receipt
};

struct RelayReply {
    std::uint64_t id = 0;
    Reply reply;
};

// The caller has gone, or its deadline has passed.
struct RelayCancel {
    std::uint64_t id = 0;
};

// What the relay root found new in the platform's host list, passed on down the tree.
struct HostListNews {
    HostListChange change;
};

// An entry host tells a service's keeper which slots its callers asked for, and how long its upstreams ran them.
struct LoadReport {
    struct Run {
        LifeId life;
        double runMs = 0; // mean time of recent runs
    };
    ServiceName service;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> counts; // slot and requests
    std::vector<Run> runs;
};

// A keeper tells every host its table and which ranges their owners do not have yet.
struct RangeNews {
    struct Pending {
        SlotId first;
        SlotId last;
        Millis readyIn {}; // estimate
    };
    ServiceName service;
    StoreRevision revision;
    StoreRevision base; // of the table that the changes apply to; the revision itself when there are none
    RangeTable changes; // its changed ranges alone
    std::vector<Pending> pending;
};

// What the host of a data centre that watches the store for the others has seen. Without changes it only shows that the
// watch is alive. Tables of ranges are left out, since keepers tell them; their revisions show who missed one.
struct FeedBatch {
    ChangeBatch batch;
    std::vector<std::pair<ServiceName, StoreRevision>> tables;
    bool lost = false; // the sender's watch has failed, and there is nothing else in the message
};

// A host has become the keeper of a service's ranges.
struct KeeperNews {
    ServiceName service;
    HostName host;
    Incarnation incarnation;
    LeaseId lease;
    StoreRevision revision; // of its record
};

// The answer of a host that does not keep the ranges, or no longer does: it will not order anything under an older
// record.
struct KeeperStopped {
    ServiceName service;
    Incarnation incarnation; // of the sender
    StoreRevision revision; // of the record that it has heard of
};

// The sender stops: it takes no new work.
struct HostLeaving {
    Incarnation incarnation;
};

using Message = std::variant<Hello, Heartbeat, ReplicaRequest, ReplicaBatch, ReplicaSnapshot, UpstreamReport,
    StopRenewing, RenewalStopped, ReleaseQuery, ReleaseReport, Relay, RelayReply, RelayCancel, HostListNews, LoadReport,
    RangeNews, HostLeaving, KeeperNews, KeeperStopped, FeedBatch>;

std::string encode(const Message&);
// Nothing when the bytes are not one whole, well-formed message.
std::optional<Message> decode(const std::string& bytes);

} // namespace pistachiospur
