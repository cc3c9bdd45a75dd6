#pragma once

#include "membership/members.h"
#include "membership/reach.h"
#include "ownership/release.h"
#include "pistachiospur/request.h"
#include "ranges/table.h"
#include "requests/load.h"
#include "requests/pace.h"
#include "requests/quarantine.h"
#include "store/store.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

// The messages between hosts. Each one is encoded in CBOR and sent as one WebSocket frame. Hosts of several builds run
// side by side: new kinds go to the end of Message, and new members to the end of their struct (kAddedMembers in
// codec.h).
namespace pistachiospur {

// Kinds that every build reads. A host that does not say more in its Hello gets no others.
constexpr std::size_t kBaselineKinds = 23;

// The first message on each link, in both directions.
struct Hello {
    HostName host;
    Incarnation incarnation;
    bool isBulk = false; // the link carries bodies; the sender has another one for short messages
    std::size_t kinds = kBaselineKinds; // of messages that the sender reads, from the first of Message on
};

// Sent at intervals to a few hosts, and once in reply to each such heartbeat. Carries gossip about hosts and about
// requests that break upstreams.
struct Heartbeat {
    Incarnation incarnation;
    bool leaving = false;
    bool ready = false; // the sender has read the store itself, so it may coordinate upstreams
    bool isReply = false;
    StoreRevision revision; // of the sender's replica
    std::uint64_t listDigest = 0; // of the sender's copy of the host list
    std::vector<Rumour> rumours;
    std::vector<Suspicion> suspicions;
};

// Asks a host for the store's changes after a revision. The answer is a ReplicaBatch; on our own protocol it is a
// ReplicaSnapshot if the host no longer keeps those changes.
struct ReplicaRequest {
    StoreRevision since;
    Millis askedAt {}; // on the sender's boot clock
};

// The members after the batch are not used on our own protocol. Times other than `askedAt` are on the boot clock of the
// host that answers.
struct ReplicaBatch {
    ChangeBatch batch;
    Millis askedAt {}; // of the request
    Millis answeredAt {};
    Millis confirmedAt {}; // the sender's copy, with this batch, held every change of the store
    Millis lapseGrace {}; // as in WatchUpdate
    // False: the sender does not know what was deleted since. The batch has only puts, and `keys` names all keys that
    // exist; none if the request came from a later era.
    bool isComplete = true;
    std::vector<std::string> keys {};
};

struct ReplicaSnapshot {
    Snapshot snapshot;
};

// A coordinator reports to the planner that an upstream no longer answers, or answers again.
struct UpstreamReport {
    ServiceName service;
    UpstreamName upstream;
    bool lost = false; // false: the upstream answers again
};

// The planner asks a renewer to stop renewing an upstream's grant under this fence or a lower one. The renewer promises
// it by RenewalStopped.
struct StopRenewing {
    UpstreamName upstream;
    Fence fence;
};

struct RenewalStopped {
    UpstreamName upstream;
    Fence fence;
    Millis remaining {}; // max time that the sender's last grant can still be in force
};

// The planner asks a renewer for its status with regard to the slots that are marked as moving away from an upstream.
struct ReleaseQuery {
    UpstreamName upstream;
};

struct ReleaseReport {
    UpstreamName upstream;
    RenewerStatus status;
};

// The host that received a caller's request forwards it to the host that coordinates the owner of its slot.
struct Relay {
    std::uint64_t id = 0; // chosen by the sender
    UpstreamName upstream;
    Request request; // its deadline is the time left, counted from receipt
    DataCentreName origin {}; // the sender's data centre
    // The sender keeps the body and sends the request to the upstream itself when it is its turn. Body and answer then
    // cross from one data centre to another once at most.
    bool turnOnly = false;
    bool hasLargeBody = false;
    Millis waited {}; // since the caller sent the request, as far as its first host can tell
    Millis callerTimeLeft {}; // until the caller gives up, counted from receipt; zero if unknown
    bool mayComeBack = false; // the sender passes a refusal on to the caller
    std::uint64_t bytes = 0; // that the request takes at its upstream; zero if the sender does not tell
};

struct RelayReply {
    std::uint64_t id = 0;
    Reply reply;
    Millis wait {}; // that the sender expects for the next request like this one
};

// The reply to a relay with `turnOnly`: the request has a slot of this upstream, and its sender may send it there now.
struct RelayTurn {
    std::uint64_t id = 0;
    InstanceId instance;
    Millis wait {}; // that the sender expects for the next request like this one
};

// The request that had the turn has ended, or was not sent. Frees the upstream's slot.
struct RelayTurnOver {
    std::uint64_t id = 0;
    Reply reply; // an answer without headers and body, or the refusal
    RateNotice rate {}; // what the upstream's answer says of its limit
    Millis pause {}; // how much longer the upstream wants nothing from the sender
    std::optional<UpstreamLoad> load {}; // that the upstream's answer states
};

// Cancels a relayed request, because the caller has disconnected or the deadline has passed.
struct RelayCancel {
    std::uint64_t id = 0;
};

// Changes of the platform's host list. The relay root of a data centre reads the list, and each host forwards its
// changes to its children in the relay tree.
struct HostListUpdate {
    HostListChange change;
};

// Sent to the leader of a service's ranges: the number of requests per slot that the sender received from callers, and
// the run times that it measured at upstreams.
struct LoadReport {
    struct Run {
        InstanceId instance;
        double runMs = 0; // EWMA of recent run times
    };
    ServiceName service;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> counts; // slot, number of requests
    std::vector<Run> runs;
};

// The leader sends every host the changes of its range table, and the ranges that are not yet granted to their new
// owners.
struct RangeUpdate {
    struct Pending {
        SlotId first;
        SlotId last;
        Millis readyIn {}; // estimated time until the owner has the range
    };
    ServiceName service;
    StoreRevision revision;
    StoreRevision base; // revision of the table that the changes apply to; equals `revision` if there are none
    RangeTable changes; // contains only the changed ranges
    std::vector<Pending> pending;
};

// The host that watches the store for its data centre sends the changes to the others there. Without changes the
// message only shows that the watch works. Range tables are left out, because the leaders send them (RangeUpdate);
// `tables` holds their revisions, so that a host notices one that it missed.
struct WatchUpdate {
    ChangeBatch batch;
    std::vector<std::pair<ServiceName, StoreRevision>> tables;
    bool lost = false; // the sender's watch has failed; the other members are empty
    Millis age {}; // since the sender's copy, with this batch, held every change of the store
    Millis lapseGrace {}; // how much longer an upstream stays in use whose entry the batch deletes; zero: not at all
    // On the sender's boot clock: its copy, with this batch, held every change of the store. Zero from earlier builds.
    Millis confirmedAt {};
};

// The sender has been elected leader of a service's ranges. It sends this at intervals to the hosts of previous leaders
// until they have stopped.
struct LeaderAnnouncement {
    ServiceName service;
    HostName host;
    Incarnation incarnation;
    LeaseId lease;
    std::string claim; // see LeaderEntry
    StoreRevision revision; // of the leader's record in the store
};

// The reply to LeaderAnnouncement from a host that does not lead, or has now stepped down: it sends no more orders
// under an older leader's record.
struct LeaderSteppedDown {
    ServiceName service;
    Incarnation incarnation; // of the sender
    StoreRevision revision; // of the leader's record that it replies to
};

// The sender is shutting down and accepts no new requests.
struct HostLeaving {
    Incarnation incarnation;
};

// An upstream has said in an answer to the sender that it leaves.
struct UpstreamDeparture {
    InstanceId instance;
};

using Message = std::variant<Hello, Heartbeat, ReplicaRequest, ReplicaBatch, ReplicaSnapshot, UpstreamReport,
    StopRenewing, RenewalStopped, ReleaseQuery, ReleaseReport, Relay, RelayReply, RelayCancel, HostListUpdate,
    LoadReport, RangeUpdate, HostLeaving, LeaderAnnouncement, LeaderSteppedDown, WatchUpdate, RelayTurn, RelayTurnOver,
    UpstreamDeparture, ReachReport>;

// The kinds of messages that this build reads.
constexpr std::size_t kMessageKinds = std::variant_size_v<Message>;
static_assert(std::is_same_v<std::variant_alternative_t<kBaselineKinds, Message>, ReachReport>);

// The name of a kind of message, by its index in Message, for metrics.
const char* messageKind(std::size_t index);

std::string encode(const Message&);
// Returns nothing if the bytes are not exactly one well-formed message.
std::optional<Message> decode(const std::string& bytes);
// The kind of a well-formed message that only later builds know; nothing for any other bytes.
std::optional<std::uint64_t> unknownKind(const std::string& bytes);

} // namespace pistachiospur
