#include "membership/members.h"
#include "observe/burn.h"
#include "ownership/plan.h"
#include "peers/messages.h"
#include "store/replica.h"
#include "upstream/upstream.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <random>

using namespace pistachiospur;

namespace {

std::vector<ListedHost> hostList(int n, const char* dataCentre = "laval")
{
    std::vector<ListedHost> list;
    list.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
        list.push_back({ "h" + std::to_string(i), dataCentre,
            { "10.0.0.1", static_cast<std::uint16_t>(1000 + i % 60000) }, false });
    return list;
}

Members membersOf(int n)
{
    Members members;
    members.self = "h0";
    members.own = hostList(1)[0];
    applyHostList(members, hostList(n), Millis(0));
    return members;
}

const MemberTiming kTiming { Millis(500), Millis(700) };

} // namespace

BOOST_AUTO_TEST_SUITE(Platform)

RC_BOOST_PROP(replicaNeverGoesBackAndEndsEqualToTheStore, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    std::vector<ChangeBatch> log;
    Replica store, replica;
    applySnapshot(store, { StoreRevision { 1 }, {} });
    applySnapshot(replica, { StoreRevision { 1 }, {} });
    for (std::uint64_t n = 1; n < 60; ++n) {
        ChangeBatch batch { StoreRevision { n }, StoreRevision { n + 1 }, {} };
        const std::string key = "k" + std::to_string(random() % 5);
        batch.changes.push_back(
            { key, random() % 5 ? std::optional("v" + std::to_string(n)) : std::nullopt, batch.to });
        applyBatch(store, batch);
        log.push_back(batch);
        const StoreRevision before = replica.revision;
        if (random() % 8 == 0)
            applySnapshot(replica, snapshotOf(store));
        else if (const auto missing = changesSince(store, replica.revision); missing && random() % 8 == 0)
            applyBatch(replica, *missing);
        else
            applyBatch(replica, log[random() % log.size()]);
        RC_ASSERT(replica.revision >= before);
    }
    if (const auto rest = changesSince(store, replica.revision))
        applyBatch(replica, *rest);
    RC_ASSERT(replica.revision == store.revision);
    RC_ASSERT(replica.values.size() == store.values.size());
    for (const auto& [key, value] : store.values)
        RC_ASSERT(replica.values.at(key).text == value.text);
}

BOOST_AUTO_TEST_CASE(batchWithAGapBeforeItIsNotApplied)
{
    Replica replica;
    applySnapshot(replica, { StoreRevision { 5 }, {} });
    BOOST_CHECK(applyBatch(replica, { StoreRevision { 7 }, StoreRevision { 8 }, {} }) == BatchResult::gap);
    BOOST_CHECK(replica.revision == StoreRevision { 5 });
}

// Guards against a replica that keeps a deleted record: a batch made from a read does not name a key that was put and
// deleted before the read.
BOOST_AUTO_TEST_CASE(batchMadeFromAReadIsNotAppliedInsideIt)
{
    Replica sender, receiver;
    applySnapshot(sender, { { 1 }, {} });
    applySnapshot(receiver, { { 1 }, {} });
    applyBatch(receiver, { { 1 }, { 3 }, { { "key", "text", { 3 } } } });
    applySnapshot(sender, { { 9 }, {} }); // the key was deleted at 5
    BOOST_TEST(!changesSince(sender, receiver.revision).has_value());
    const auto fromStart = changesSince(sender, { 1 });
    BOOST_REQUIRE(fromStart.has_value());
    BOOST_CHECK(applyBatch(receiver, *fromStart) == BatchResult::gap);
    applySnapshot(receiver, snapshotOf(sender));
    BOOST_TEST(receiver.values.empty());
}

BOOST_AUTO_TEST_CASE(heartbeatTargetsDoNotGrowWithTheNumberOfHosts)
{
    for (const int n : { 10, 1000, 11000 }) {
        Members members = membersOf(n);
        BOOST_TEST(heartbeatTargets(members).size() <= 2 * kRingNeighbours + 1);
        BOOST_TEST(relayChildren(members).size() <= kRelayFanOut);
    }
}

BOOST_AUTO_TEST_CASE(silentNeighbourIsSuspectedThenDeadAndAliveAgainWhenHeard)
{
    Members members = membersOf(3);
    detectFailures(members, kTiming, Millis(600));
    BOOST_CHECK(members.hosts.at("h1").state == HostState::suspect);
    BOOST_TEST(isAlive(members, "h1"));
    detectFailures(members, kTiming, Millis(700));
    BOOST_TEST(!isAlive(members, "h1"));
    onDirectMessage(members, "h1", Incarnation { 1 }, false, Millis(710));
    BOOST_TEST(isAlive(members, "h1"));
}

BOOST_AUTO_TEST_CASE(hostRefutesARumourOfItsDeathByAHigherIncarnation)
{
    Members members = membersOf(3);
    members.incarnation = Incarnation { 5 };
    onRumour(members, { "h0", Incarnation { 5 }, HostState::dead }, Millis(0));
    BOOST_TEST(members.incarnation.value == 6u);
    onRumour(members, { "h1", Incarnation { 4 }, HostState::dead }, Millis(0));
    BOOST_TEST(!isAlive(members, "h1"));
    onRumour(members, { "h1", Incarnation { 4 }, HostState::alive }, Millis(0));
    BOOST_TEST(!isAlive(members, "h1"));
    onRumour(members, { "h1", Incarnation { 5 }, HostState::alive }, Millis(0));
    BOOST_TEST(isAlive(members, "h1"));
}

BOOST_AUTO_TEST_CASE(hostCountsAsUnlistedOnlySinceTheHostListDroppedIt)
{
    Members members = membersOf(3);
    BOOST_TEST(unlistedFor(members, "h1", Millis(9000)).count() == 0);
    applyHostList(members, hostList(1), Millis(9000));
    BOOST_TEST(unlistedFor(members, "h1", Millis(9400)).count() == 400);
}

// The relay root reads the host list and forwards only its changes. A host that gets only the changes, here each of
// them twice, must end with the same list.
RC_BOOST_PROP(hostListPassedOnAsChangesEqualsTheListRead, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    Members root, other;
    root.self = "h0";
    other.self = "h99";
    std::vector<ListedHost> list;
    for (int n = 1; n < 40; ++n) {
        list = hostList(1 + static_cast<int>(random() % 12));
        for (auto& it : list)
            it.leaving = random() % 4 == 0;
        if (random() % 3 == 0)
            list.erase(list.begin() + static_cast<long>(random() % list.size()));
        const auto change = applyHostList(root, list, Millis(n));
        const auto applied = applyHostListChange(other, change, Millis(n));
        applyHostListChange(other, change, Millis(n));
        RC_ASSERT(applied.isEmpty() || !change.isEmpty());
        RC_ASSERT(root.listDigest == other.listDigest);
    }
    RC_ASSERT(root.hosts.size() + root.ownListed.has_value() == list.size());
    RC_ASSERT(other.hosts.size() == list.size());
    RC_ASSERT(applyHostList(root, list, Millis(99)).isEmpty());
}

// Guards against a site that never converges: hosts with equally stale host lists confirmed each other's copies, so
// none of them read the list again.
BOOST_AUTO_TEST_CASE(hostReadsTheListAgainAlthoughOtherHostsAreEquallyStale)
{
    ListDifferences differences;
    bool reads = false;
    for (Millis now(0); now <= kMaxListDisagreement; now += Millis(200)) {
        reads = onListDigest(differences, "equally-stale", true, now) || reads;
        reads = onListDigest(differences, "newer", false, now) || reads;
    }
    BOOST_TEST(reads);
    BOOST_TEST(!onListDigest(differences, "newer", false, kMaxListDisagreement));
}

BOOST_AUTO_TEST_CASE(lossOfOneUpstreamMovesOnlyItsSlots)
{
    OwnershipTable table;
    std::vector<UpstreamName> targets;
    targets.reserve(31);
    for (int n = 0; n < 30; ++n)
        targets.push_back("u" + std::to_string(100 + n));
    // Applies the planned moves to the table and returns their number.
    const auto applyPlan = [&] {
        const auto moves = planMoves(table, "s", { 4096, targets });
        table.services["s"].slots.resize(4096);
        for (const auto& it : moves)
            table.services["s"].slots[it.slot.value].owner = table.names.indexOf(it.to);
        return moves.size();
    };
    BOOST_TEST(applyPlan() == 4096u);
    const auto owned = ownedCounts(table, "s").at(targets[4]);
    targets.erase(targets.begin() + 4);
    BOOST_TEST(applyPlan() == owned);
    targets.emplace_back("u200");
    BOOST_TEST(applyPlan() <= 4096u / 30 + 1);
    for (const auto& [name, n] : ownedCounts(table, "s"))
        BOOST_TEST(static_cast<double>(n) <= 1.10 * 4096 / 30);
}

BOOST_AUTO_TEST_CASE(messagesSurviveTheCodecAndBrokenOnesAreRefused)
{
    Request request;
    request.service = "atelier";
    request.key = "k";
    request.idempotencyKey = IdempotencyKey { "id", Millis(77) };
    request.headers["a"] = "b";
    request.body = std::string("\0\xff\x80 bytes", 9);
    const std::string frame = encode(Relay { 9, "u1", request });
    const auto decoded = decode(frame);
    BOOST_REQUIRE(decoded);
    const auto& relay = std::get<Relay>(*decoded);
    BOOST_TEST(relay.request.body == request.body);
    BOOST_CHECK(relay.request.idempotencyKey == request.idempotencyKey);
    const Reply reply = Answer { 200, { { "x", "y" } }, std::string("\0\x01", 2) };
    BOOST_CHECK(std::get<RelayReply>(*decode(encode(RelayReply { 3, reply }))).reply == reply);
    for (std::size_t n = 0; n < frame.size(); ++n)
        BOOST_TEST(!decode(frame.substr(0, n)).has_value());
    BOOST_TEST(!decode("nonsense").has_value());
}

BOOST_AUTO_TEST_CASE(answerThatIsNotProvablyWholeIsNotDelivered)
{
    const auto refusal = std::get<Refusal>(replyFor(HttpAnswer { 200, {}, "half" }));
    BOOST_CHECK(refusal.reason == RefusalReason::upstreamBroken);
    BOOST_CHECK(refusal.ran == Ran::unknown);
    BOOST_CHECK(std::get<Refusal>(replyFor(HttpFailure { HttpFault::notSent })).ran == Ran::no);
    BOOST_CHECK(std::get<Refusal>(replyFor(HttpFailure { HttpFault::timeout })).ran == Ran::unknown);
    BOOST_CHECK(std::holds_alternative<Answer>(replyFor(HttpAnswer { 503, { { "content-length", "0" } }, "" })));
    const HttpAnswer shed { 503, { { "content-length", "0" }, { "pistachiospur-ran", "no" } }, "" };
    BOOST_CHECK(std::get<Refusal>(replyFor(shed)).reason == RefusalReason::upstreamShed);
}

BOOST_AUTO_TEST_CASE(burnRateComparesBadOutcomesWithTheErrorBudget)
{
    BurnSeries series;
    for (int n = 0; n < 1000; ++n)
        countOutcome(series, n % 100 != 0, Millis(n * 100));
    const auto counts = countsWithin(series, Millis(300000), Millis(100000));
    BOOST_TEST(counts.good + counts.bad == 1000u);
    BOOST_TEST(burnRate(counts, 0.99) == 1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(countsWithin(series, Millis(300000), Millis(1000000)).bad == 0u);
    countOutcome(series, false, Millis(30000000));
    BOOST_TEST(countsWithin(series, Millis(21600000), Millis(30000000)).good == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
