#include "codec.h"

#include <array>

namespace pistachiospur {

using Json = nlohmann::json;

// Defines to_json and from_json for a struct. The list names the members as members of `it`, in wire order.
#define PISTACHIOSPUR_WIRE(Type, ...)                                                                                  \
    static void to_json(Json& j, const Type& it)                                                                       \
    {                                                                                                                  \
        j = std::apply([](const auto&... m) { return pack(m...); }, __VA_ARGS__);                                      \
    }                                                                                                                  \
    static void from_json(const Json& j, Type& it)                                                                     \
    {                                                                                                                  \
        std::apply([&j](auto&... m) { unpack<kAddedMembers<Type>>(j, m...); }, __VA_ARGS__);                           \
    }

PISTACHIOSPUR_WIRE(Rumour, std::tie(it.host, it.incarnation, it.state))
PISTACHIOSPUR_WIRE(Suspicion, std::tie(it.fingerprint, it.breakId))
PISTACHIOSPUR_WIRE(StoredValue, std::tie(it.text, it.version))
PISTACHIOSPUR_WIRE(KeyChange, std::tie(it.key, it.text, it.version))
PISTACHIOSPUR_WIRE(ChangeBatch, std::tie(it.from, it.to, it.changes, it.fromRead))
PISTACHIOSPUR_WIRE(Snapshot, std::tie(it.revision, it.values))
PISTACHIOSPUR_WIRE(IdempotencyKey, std::tie(it.text, it.sentAt))
PISTACHIOSPUR_WIRE(Refusal, std::tie(it.reason, it.ran, it.retryAfter))

namespace {

Json toBinary(const std::string& bytes) { return Json::binary({ bytes.begin(), bytes.end() }); }

std::string fromBinary(const Json& j)
{
    const auto& bytes = j.get_binary();
    return { bytes.begin(), bytes.end() };
}

} // namespace

// The body is the last element of the array, at index 15.
static void to_json(Json& j, const Request& it)
{
    j = pack(it.id, it.service, it.key, it.slot, it.rank, it.order, it.idempotent, it.idempotencyKey, it.deadline,
        it.targetLatency, it.method, it.target, it.headers, it.fingerprint, it.tableRevision);
    j.push_back(toBinary(it.body));
}

static void from_json(const Json& j, Request& it)
{
    unpack(j, it.id, it.service, it.key, it.slot, it.rank, it.order, it.idempotent, it.idempotencyKey, it.deadline,
        it.targetLatency, it.method, it.target, it.headers, it.fingerprint, it.tableRevision);
    it.body = fromBinary(j.at(15));
}

// An answer and a refusal are both arrays of three elements. Only an answer's third one, the body, is binary.
static void to_json(Json& j, const Reply& it)
{
    if (const auto* refusal = std::get_if<Refusal>(&it)) {
        j = *refusal;
        return;
    }
    const auto& answer = std::get<Answer>(it);
    j = pack(answer.status, answer.headers);
    j.push_back(toBinary(answer.body));
}

static void from_json(const Json& j, Reply& it)
{
    if (!j.at(2).is_binary()) {
        it = j.get<Refusal>();
        return;
    }
    Answer answer;
    unpack(j, answer.status, answer.headers);
    answer.body = fromBinary(j.at(2));
    it = std::move(answer);
}

PISTACHIOSPUR_WIRE(Hello, std::tie(it.host, it.incarnation, it.isBulk, it.kinds))
PISTACHIOSPUR_WIRE(Heartbeat,
    std::tie(it.incarnation, it.leaving, it.ready, it.isReply, it.revision, it.listDigest, it.rumours, it.suspicions))
PISTACHIOSPUR_WIRE(ReplicaRequest, std::tie(it.since, it.askedAt))
PISTACHIOSPUR_WIRE(
    ReplicaBatch, std::tie(it.batch, it.askedAt, it.answeredAt, it.confirmedAt, it.lapseGrace, it.isComplete, it.keys))
PISTACHIOSPUR_WIRE(ReplicaSnapshot, std::tie(it.snapshot))
PISTACHIOSPUR_WIRE(UpstreamReport, std::tie(it.service, it.upstream, it.lost))
PISTACHIOSPUR_WIRE(StopRenewing, std::tie(it.upstream, it.fence))
PISTACHIOSPUR_WIRE(RenewalStopped, std::tie(it.upstream, it.fence, it.remaining))
PISTACHIOSPUR_WIRE(ReleaseQuery, std::tie(it.upstream))
PISTACHIOSPUR_WIRE(RenewerStatus, std::tie(it.applied, it.coordinating, it.settled, it.remaining))
PISTACHIOSPUR_WIRE(ReleaseReport, std::tie(it.upstream, it.status))
PISTACHIOSPUR_WIRE(Relay,
    std::tie(it.id, it.upstream, it.request, it.origin, it.turnOnly, it.hasLargeBody, it.waited, it.callerTimeLeft,
        it.mayComeBack, it.bytes))
PISTACHIOSPUR_WIRE(RelayReply, std::tie(it.id, it.reply, it.wait))
PISTACHIOSPUR_WIRE(RelayCancel, std::tie(it.id))
PISTACHIOSPUR_WIRE(Endpoint, std::tie(it.address, it.port))
PISTACHIOSPUR_WIRE(ListedHost, std::tie(it.host, it.dataCentre, it.peers, it.leaving))
PISTACHIOSPUR_WIRE(HostListChange, std::tie(it.addedOrChanged, it.removed))
PISTACHIOSPUR_WIRE(HostListUpdate, std::tie(it.change))
PISTACHIOSPUR_WIRE(InstanceId, std::tie(it.name, it.startTime))
PISTACHIOSPUR_WIRE(RelayTurn, std::tie(it.id, it.instance, it.wait))
PISTACHIOSPUR_WIRE(UpstreamDeparture, std::tie(it.instance))
PISTACHIOSPUR_WIRE(ReachReport, std::tie(it.services, it.upstreams))
PISTACHIOSPUR_WIRE(RateNotice, std::tie(it.kind, it.perSecond))
PISTACHIOSPUR_WIRE(UpstreamLoad, std::tie(it.running, it.waiting, it.slots, it.workFactor))
PISTACHIOSPUR_WIRE(RelayTurnOver, std::tie(it.id, it.reply, it.rate, it.pause, it.load))
PISTACHIOSPUR_WIRE(LoadReport::Run, std::tie(it.instance, it.runMs))
PISTACHIOSPUR_WIRE(LoadReport, std::tie(it.service, it.counts, it.runs))
PISTACHIOSPUR_WIRE(RangeUpdate::Pending, std::tie(it.first, it.last, it.readyIn))
PISTACHIOSPUR_WIRE(HostLeaving, std::tie(it.incarnation))
PISTACHIOSPUR_WIRE(LeaderAnnouncement, std::tie(it.service, it.host, it.incarnation, it.lease, it.claim, it.revision))
PISTACHIOSPUR_WIRE(LeaderSteppedDown, std::tie(it.service, it.incarnation, it.revision))
PISTACHIOSPUR_WIRE(Range, std::tie(it.first, it.last, it.owner, it.fence, it.previous))
PISTACHIOSPUR_WIRE(PreviousWriter, std::tie(it.writer, it.leaseEndedFor))
PISTACHIOSPUR_WIRE(
    RangeTable, std::tie(it.writer, it.grantTtl, it.previousWriters, it.ranges, it.era, it.unknownGrantsFor))
PISTACHIOSPUR_WIRE(RangeUpdate, std::tie(it.service, it.revision, it.base, it.changes, it.pending))
PISTACHIOSPUR_WIRE(WatchUpdate, std::tie(it.batch, it.tables, it.lost, it.age, it.lapseGrace, it.confirmedAt))

namespace {

template <std::size_t Index = 0> Message decodeAs(std::size_t kind, const Json& body)
{
    if constexpr (Index < std::variant_size_v<Message>) {
        if (kind == Index)
            return body.get<std::variant_alternative_t<Index, Message>>();
        return decodeAs<Index + 1>(kind, body);
    } else {
        throw std::out_of_range("unknown message kind");
    }
}

} // namespace

const char* messageKind(std::size_t index)
{
    static constexpr std::array<const char*, std::variant_size_v<Message>> kNames = { "hello", "heartbeat",
        "replica_request", "replica_batch", "replica_snapshot", "upstream_report", "stop_renewing", "renewal_stopped",
        "release_query", "release_report", "relay", "relay_reply", "relay_cancel", "host_list_update", "load_report",
        "range_update", "host_leaving", "leader_announcement", "leader_stepped_down", "watch_update", "relay_turn",
        "relay_turn_over", "upstream_departure", "reach_report" };
    return kNames.at(index);
}

std::string encode(const Message& message)
{
    const Json envelope = std::visit([&](const auto& body) { return pack(message.index(), body); }, message);
    std::string bytes;
    Json::to_cbor(envelope, bytes);
    return bytes;
}

// The CBOR library throws on malformed input; the exception is turned into an empty result here.
std::optional<Message> decode(const std::string& bytes)
{
    try {
        const Json envelope = parseCbor(bytes);
        return decodeAs(numberIn<std::size_t>(envelope.at(0)), envelope.at(1));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<std::uint64_t> unknownKind(const std::string& bytes)
{
    const Json envelope = parseCbor(bytes);
    if (!envelope.is_array() || envelope.size() < 2)
        return std::nullopt;
    const auto kind = integerIn<std::uint64_t>(envelope[0]);
    return kind && *kind >= kMessageKinds ? kind : std::nullopt;
}

} // namespace pistachiospur
