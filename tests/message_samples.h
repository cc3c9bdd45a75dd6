#pragma once

#include "peers/messages.h"

// A message of each kind that all landed builds have sent, with values that set every member. tests/corpus has their
// bytes as those builds wrote them.
namespace pistachiospur {

inline std::vector<Message> sampleMessages()
{
    Request request;
    request.id = "r1";
    request.service = "s";
    request.key = "k";
    request.slot = { 40000 };
    request.rank = "urgent";
    request.order = 1;
    request.idempotent = true;
    request.deadline = Millis(2500);
    request.targetLatency = Millis(500);
    request.method = "POST";
    request.target = "/x?y=1";
    request.headers = { { "host", "a.example" } };
    request.fingerprint = 77;
    request.tableRevision = { 9 };
    request.body = "body";
    const RangeTable table { "h#1/2", Millis(2500), { { "g#1/1", Millis(5) } },
        { { { 0 }, { 65535 }, { "u", { 1 } }, { 7 }, { { "v", { 2 } } } } } };
    const ChangeBatch batch { { 1 }, { 2 }, { { "key", "text", { 2 } } } };
    Heartbeat heartbeat;
    heartbeat.incarnation = { 3 };
    heartbeat.ready = true;
    heartbeat.suspicions = { { 7, 8 } };
    ReplicaBatch replica;
    replica.batch = batch;
    HostListUpdate list;
    list.change.removed = { "gone" };
    ReleaseReport release;
    release.upstream = "u";
    release.status.remaining = Millis(9);
    return { Hello { "h", { 3 }, true }, heartbeat, ReplicaRequest { { 5 } }, replica,
        ReplicaSnapshot { { { 4 }, { { "key", { "text", { 2 } } } } } }, UpstreamReport { "s", "u", true },
        StopRenewing { "u", { 4 } }, RenewalStopped { "u", { 4 }, Millis(6) }, ReleaseQuery { "u" }, release,
        Relay { 1, "u", request, "z", true, true },
        RelayReply { 1, Answer { 200, { { "a", "b" } }, "body" }, Millis(3) }, RelayCancel { 1 }, list,
        LoadReport { "s", { { 1, 2 } }, { { { "u", { 1 } }, 3.5 } } },
        RangeUpdate { "s", { 4 }, { 3 }, table, { { { 0 }, { 9 }, Millis(5) } } }, HostLeaving { { 3 } },
        LeaderAnnouncement { "s", "h", { 3 }, { 5 }, "claim", { 6 } }, LeaderSteppedDown { "s", { 3 }, { 6 } },
        WatchUpdate { batch, { { "s", { 4 } } }, false, Millis(300), Millis(20) },
        RelayTurn { 4, { "u", { 1 } }, Millis(1) },
        RelayTurnOver { 4, maybeRun(RefusalReason::upstreamBroken), { RateNotice::Kind::limited, 2.5 }, Millis(1500) },
        UpstreamDeparture { { "u", { 7 } } } };
}

} // namespace pistachiospur
