// Measures the memory and CPU time per unit (slot, host, request...) from which docs/CAPACITY.md is computed. Each is
// the slope of a straight line fitted to measurements of the real structures and functions at several sizes. Prints the
// slopes with the errors of the fits, and the sizes of messages.
#include "config/check.h"
#include "daemon/view.h"
#include "membership/members.h"
#include "ownership/plan.h"
#include "ownership/renewer.h"
#include "peers/messages.h"
#include "requests/admit.h"
#include "requests/idempotency.h"
#include "requests/queue.h"
#include "upstream/upstream.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>

namespace {

using namespace pistachiospur;

// The value y measured at size n.
struct Point {
    double n;
    double y;
};

struct Fit {
    double slope;
    double offset;
    double maxRelativeError; // of the line, relative to the measured value
};

// Least-squares fit of a straight line.
Fit fitLine(const std::vector<Point>& points)
{
    double sn = 0, sy = 0, snn = 0, sny = 0;
    const auto count = static_cast<double>(points.size());
    for (const auto& it : points) {
        sn += it.n;
        sy += it.y;
        snn += it.n * it.n;
        sny += it.n * it.y;
    }
    Fit fit {};
    fit.slope = (count * sny - sn * sy) / (count * snn - sn * sn);
    fit.offset = (sy - fit.slope * sn) / count;
    for (const auto& it : points)
        fit.maxRelativeError
            = std::max(fit.maxRelativeError, std::abs(fit.slope * it.n + fit.offset - it.y) / std::max(1e-9, it.y));
    return fit;
}

// Prints one row. `scale` converts the slope to the unit.
void printSlope(const char* label, const char* unit, const std::vector<Point>& points, double scale = 1)
{
    const Fit fit = fitLine(points);
    std::printf("| %s | %.4g %s | ", label, fit.slope * scale, unit);
    for (const auto& it : points)
        std::printf("%.0f ", it.n);
    std::printf("| %.1f %% |\n", fit.maxRelativeError * 100);
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double cpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

// Measures the heap bytes that a structure of n parts takes.
template <typename Build> void measureHeap(const char* label, const std::vector<double>& sizes, Build build)
{
    std::vector<Point> points;
    for (const double n : sizes) {
        const double before = heapBytes();
        auto structure = build(static_cast<std::uint32_t>(n));
        points.push_back({ n, heapBytes() - before });
    }
    printSlope(label, "B", points);
}

// Measures the CPU time of n repetitions: the fastest of three rounds, after a warm-up.
void measureCpu(const char* label, const std::vector<double>& sizes, const std::function<void(std::uint32_t)>& run)
{
    run(static_cast<std::uint32_t>(sizes.front()));
    std::vector<Point> points;
    for (const double n : sizes) {
        double best = 1e9;
        for (int round = 0; round < 3; ++round) {
            const double before = cpuSeconds();
            run(static_cast<std::uint32_t>(n));
            best = std::min(best, cpuSeconds() - before);
        }
        points.push_back({ n, best });
    }
    printSlope(label, "us", points, 1e6);
}

std::vector<ListedHost> sampleHostList(std::uint32_t n)
{
    std::vector<ListedHost> list;
    for (std::uint32_t i = 0; i < n; ++i)
        list.push_back({ "entry-host-" + std::to_string(100000 + i), "dc" + std::to_string(i % 6),
            { "10.1.2.3", static_cast<std::uint16_t>(1 + i % 60000) }, false });
    return list;
}

Members sampleMembers(std::uint32_t n)
{
    Members members;
    const auto list = sampleHostList(n);
    members.self = list[0].host;
    members.own = list[0];
    applyHostList(members, list, Millis(0));
    return members;
}

Request sampleRequest(std::uint32_t n)
{
    Request request;
    request.service = "atelier";
    request.key = "job-" + std::to_string(n);
    request.rank = "urgent";
    request.method = "POST";
    request.target = "/atelier/job-" + std::to_string(n) + "/order";
    request.idempotencyKey
        = IdempotencyKey { "018f0000-0001-7abc-8def-" + std::to_string(100000000000 + n), Millis(1) };
    request.headers = { { "content-type", "application/json" }, { "accept", "*/*" } };
    request.body = std::string(512, 'x');
    return request;
}

OwnershipTable sampleTable(std::uint32_t slots, std::uint32_t upstreams)
{
    OwnershipTable table;
    auto& service = table.services["s"];
    service.slots.resize(slots);
    service.pageVersions.resize(pageCount(slots));
    for (std::uint32_t n = 0; n < slots; ++n)
        service.slots[n]
            = { table.names.indexOf("upstream-" + std::to_string(n % upstreams)), kNoUpstream, Epoch { 1 } };
    return table;
}

Json sampleUpstream(std::uint32_t n)
{
    return { { "kind", "upstream" }, { "name", "upstream-" + std::to_string(n) }, { "data_centre", "dc1" },
        { "endpoint", "10.0.0.1:8080" }, { "slots", 2 }, { "connections", 40 } };
}

// The change of a store record that adds the n-th upstream object.
KeyChange sampleChange(std::uint32_t n)
{
    const ObjectId id { "upstream", "upstream-" + std::to_string(n) };
    return { objectKey(id), sampleUpstream(n).dump(), StoreRevision { n + 1 } };
}

Configuration sampleConfiguration()
{
    Configuration configuration;
    configuration.ranks["urgent"] = { "urgent", 0, Millis(500), 0.999, 0.1 };
    configuration.services["atelier"] = { "atelier", ServiceMode::keyed, 4096, { { "POST", "/", "urgent", false } } };
    return configuration;
}

void measureMemory()
{
    measureHeap("memory per slot", { 65536, 262144, 1048576 }, [](std::uint32_t n) { return sampleTable(n, 1000); });
    measureHeap("memory per member", { 1000, 4000, 11000 }, sampleMembers);
    measureHeap(
        "memory per configuration object, with its text in the replica", { 1000, 4000, 11000 }, [](std::uint32_t n) {
            std::pair<StoreView, Replica> viewAndReplica;
            for (std::uint32_t i = 0; i < n; ++i) {
                const auto change = sampleChange(i);
                applyChange(viewAndReplica.first, change);
                viewAndReplica.second.values[change.key] = { *change.text, change.version };
            }
            return viewAndReplica;
        });
    measureHeap("memory per page text in the replica (256 slots)", { 256, 1024, 4096 }, [](std::uint32_t n) {
        const OwnershipTable table = sampleTable(256, 1000);
        Replica replica;
        for (std::uint32_t i = 0; i < n; ++i)
            replica.values[pageKey("s", i)] = { encodePage(table, "s", 0, {}), StoreRevision { i } };
        return replica;
    });
    measureHeap("memory per request in flight (512 B body)", { 1000, 4000, 16000 }, [](std::uint32_t n) {
        std::unordered_map<std::uint64_t, Request> requests;
        for (std::uint32_t i = 0; i < n; ++i)
            requests.emplace(i, sampleRequest(i));
        return requests;
    });
    measureHeap("memory per idempotency key in the cache (200 B answer)", { 1000, 10000, 100000 }, [](std::uint32_t n) {
        IdempotencyCache cache;
        const IdempotencyPolicy policy { Millis(600000), Millis(0), 1000000 };
        for (std::uint32_t i = 0; i < n; ++i) {
            const IdempotencyKey key { "018f0000-0001-7abc-8def-" + std::to_string(100000000000 + i), Millis(1000000) };
            beginRequest(cache, policy, key, i, Millis(0), Millis(1000000));
            recordOutcome(
                cache, key.text, Answer { 200, { { "content-type", "application/json" } }, std::string(200, 'y') });
        }
        return cache;
    });
}

void measureRequests()
{
    const Configuration configuration = sampleConfiguration();
    measureCpu("CPU to admit a request", { 10000, 20000, 40000 }, [&](std::uint32_t n) {
        for (std::uint32_t i = 0; i < n; ++i)
            admit(configuration, { Millis(1000) },
                { "POST", "/atelier/job-" + std::to_string(i) + "/order",
                    { { "idempotency-key", "018f0000-0001-7abc-8def-0123456789ab" }, { "accept", "*/*" } },
                    std::string(512, 'x'), false },
                Millis(1));
    });
    measureCpu("CPU to queue, start and finish a request", { 50000, 100000, 200000 }, [](std::uint32_t n) {
        UpstreamQueue queue;
        const QueuePolicy policy { 2, 256, { { 0, 0.1 }, { 1, 0.1 }, { 2, 0.1 } } };
        for (std::uint32_t i = 0; i < n; ++i) {
            enqueue(queue, policy, { i, static_cast<RankOrder>(i % 3), Millis(i + 10000) }, Millis(i));
            if (const auto next = startNext(queue, policy, Millis(i)))
                finishRun(queue, next->order, Millis(1));
        }
    });
    measureCpu("CPU to encode and decode a relayed request (512 B body)", { 8000, 16000, 32000 }, [](std::uint32_t n) {
        for (std::uint32_t i = 0; i < n; ++i)
            (void)decode(encode(Relay { i, "upstream-1", sampleRequest(i) }));
    });
}

void measureControl()
{
    measureCpu(
        "CPU per heartbeat encoded, decoded and processed, 11,000 members", { 500, 1000, 2000 }, [](std::uint32_t n) {
            static Members members = sampleMembers(11000);
            for (std::uint32_t i = 0; i < n; ++i) {
                const Heartbeat heartbeat { Incarnation { 1 }, false, true, true, StoreRevision { i }, 0,
                    nextRumours(members), {} };
                const auto received = decode(encode(heartbeat));
                onDirectMessage(
                    members, "entry-host-100001", std::get<Heartbeat>(*received).incarnation, false, Millis(i));
            }
        });
    measureCpu("CPU per 1,000 heartbeat rounds (neighbours, failure detection, targets), per member",
        { 1000, 4000, 11000 }, [](std::uint32_t n) {
            // Kept between rounds, so that the fastest round does not include building it.
            static std::map<std::uint32_t, Members> membersBySize;
            auto& members = membersBySize[n];
            if (members.hosts.empty())
                members = sampleMembers(n);
            for (int round = 0; round < 1000; ++round) {
                detectFailures(members, { Millis(1 << 30), Millis(1 << 30) }, Millis(1));
                (void)heartbeatTargets(members);
            }
        });
    measureCpu("CPU per renewal, both sides and their JSON", { 2000, 4000, 8000 }, [](std::uint32_t n) {
        const RenewerTiming timing { Millis(1000), Millis(250), Millis(250) };
        Renewer renewer;
        Grant grant;
        startCoordinating(renewer, Millis(0));
        setSlots(renewer, std::vector<SlotGrant>(105, SlotGrant { SlotId { 1 }, Epoch { 1 } }), Millis(0));
        for (std::uint32_t i = 0; i < n; ++i) {
            const Millis now(i * 250);
            const auto renewal = dueRenewal(renewer, timing, now);
            if (!renewal)
                continue;
            const auto received = decodeRenewal(encodeRenewal(*renewal));
            const auto reply = answerRenewal(grant, *received, Challenge { i + 1 }, now, timing.ttl);
            onRenewalReply(renewer, *renewal, *decodeRenewalReply(encodeRenewalReply(reply)), timing, now);
        }
    });
}

void measureOwnership()
{
    measureCpu("CPU per configuration change applied", { 1000, 4000, 11000 }, [](std::uint32_t n) {
        StoreView view;
        for (std::uint32_t i = 0; i < n; ++i)
            applyChange(view, sampleChange(i));
    });
    measureCpu("CPU per page applied (256 slots)", { 100, 200, 400 }, [](std::uint32_t n) {
        const OwnershipTable table = sampleTable(256, 1000);
        const std::string text = encodePage(table, "s", 0, {});
        OwnershipTable copy;
        for (std::uint32_t i = 0; i < n; ++i)
            applyRecord(copy, pageKey("s", i), text, StoreRevision { i });
    });
    measureCpu("CPU per slot of one plan, nothing to move", { 65536, 262144, 1048576 }, [](std::uint32_t n) {
        // Kept between rounds, so that the fastest round does not include building it.
        static std::map<std::uint32_t, OwnershipTable> tablesBySize;
        auto& table = tablesBySize[n];
        if (table.services.empty())
            table = sampleTable(n, 1000);
        std::vector<UpstreamName> targets;
        targets.reserve(1000);
        for (int i = 0; i < 1000; ++i)
            targets.push_back("upstream-" + std::to_string(i));
        (void)planMoves(table, "s", { n, targets });
    });
    measureCpu("CPU per upstream to find the slots to grant, 1,048,576 slots", { 2, 4, 8 }, [](std::uint32_t n) {
        static const OwnershipTable table = sampleTable(1048576, 1000);
        for (std::uint32_t i = 0; i < n; ++i)
            (void)slotsToGrant(table, "s", "upstream-" + std::to_string(i));
    });
}

void printSize(const char* label, std::size_t bytes) { std::printf("| %s | %zu B |\n", label, bytes); }

void measureMessages()
{
    std::printf("\n| message | size |\n|---|---|\n");
    printSize("heartbeat without rumours",
        encode(Heartbeat {
                   Incarnation { 1796376510693 }, false, true, false, StoreRevision { 1000000 }, 1ull << 63, {}, {} })
            .size());
    const std::vector<Rumour> rumours(
        kRumoursPerHeartbeat, { "entry-host-100001", Incarnation { 1796376510693 }, HostState::dead });
    printSize("heartbeat with the max number of rumours",
        encode(Heartbeat { Incarnation { 1796376510693 }, false, true, false, StoreRevision { 1000000 }, 1ull << 63,
                   rumours, {} })
            .size());
    printSize("relayed request with a body of 512 B", encode(Relay { 1, "upstream-1", sampleRequest(1) }).size());
    const Renewal renewal { "entry-host-100001#1796376510693", Term { 9 }, Challenge { 1ull << 63 }, 1ull << 63, false,
        {} };
    printSize("renewal, without HTTP headers", encodeRenewal(renewal).size());
    const auto change = sampleChange(1);
    const ConfigHead head { Revision { 1000 }, "1a24066c977-66b5614fcaaea918", "0123456789abcdef",
        Millis(1796376510693), {} };
    printSize("configuration change of one object, as sent between hosts",
        encode(ReplicaBatch {
                   { StoreRevision { 1 }, StoreRevision { 2 }, { change, { headKey(), encodeHead(head), {} } } } })
            .size());
    const OwnershipTable table = sampleTable(256, 1000);
    printSize("page of 256 slots, as sent between hosts",
        encode(ReplicaBatch { { StoreRevision { 1 }, StoreRevision { 2 },
                   { { pageKey("s", 0), encodePage(table, "s", 0, {}), {} } } } })
            .size());
}

} // namespace

int main()
{
    std::printf("| slope | measured | sizes | worst error of the fit |\n|---|---|---|---|\n");
    measureMemory();
    measureRequests();
    measureControl();
    measureOwnership();
    measureMessages();
}
