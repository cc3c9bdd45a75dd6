#include "peer_life.h"
#include "raw_site.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

// Requests that hosts forward to each other while one of them is killed and starts again. A host of an earlier build
// numbers its requests from 1 in each life and states no more than its Hello does. Real sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

constexpr const char* kPeer = "peer";
constexpr std::uint64_t kNumber = (1u << 12) | 1; // of the first request of a life, by an earlier build
constexpr Millis kRunTime { 300 };

// A sound upstream that takes kRunTime for each request that isn't warm-up.
std::vector<RawPart> answerSlowly(const RawRequest& request)
{
    const bool isWarmUp = request.id.find("warm") == 0 || request.id.empty();
    return { { sealedAnswer(request.id, "{}"), RawEnding::keepOpen, isWarmUp ? Millis(0) : kRunTime } };
}

Relay orderOf(const std::string& id, std::uint64_t number = kNumber, bool turnOnly = false)
{
    Relay it;
    it.id = number;
    it.upstream = "k0";
    it.turnOnly = turnOnly;
    it.request.id = id;
    it.request.service = "keyed";
    it.request.slot = SlotId { 40000 };
    it.request.deadline = Millis(4000);
    it.request.targetLatency = Millis(2000);
    it.request.method = "POST";
    it.request.target = "/unsafe/x";
    it.request.headers = { { "host", "a.example" }, { "request-id", id }, { "shard-key", "40000" } };
    return it;
}

// The id of the request that an answer belongs to; empty for a refusal.
std::string idOf(const RelayReply& reply)
{
    const auto* answer = std::get_if<Answer>(&reply.reply);
    if (!answer)
        return "";
    const auto& headers = answer->headers;
    const auto found
        = std::find_if(headers.begin(), headers.end(), [](const auto& it) { return it.first == "request-id"; });
    return found == headers.end() ? "" : found->second;
}

// A host that coordinates an upstream with `slots` slots, and two lives of a host of an earlier build. The second one
// is linked before the end of the first one's link is noticed, as when the host under test stands still meanwhile.
struct CoordinatorSite {
    RawSite site;
    std::unique_ptr<PeerLife> first;
    std::unique_ptr<PeerLife> second;

    explicit CoordinatorSite(unsigned slots)
        : site(1, answerSlowly, 6000, slots)
    {
        BOOST_REQUIRE(site.waitUntilServed());
        first = connect(1);
    }

    std::unique_ptr<PeerLife> connect(std::uint64_t incarnation)
    {
        auto life = std::make_unique<PeerLife>(site.peerEndpoints[0], kPeer, Incarnation { incarnation });
        BOOST_REQUIRE(RawSite::runLoopUntil([&] { return life->isOpen() && !life->all<Hello>().empty(); }));
        return life;
    }

    // The second life gets one reply, to the request with this id, and no other while both requests would end.
    void checkOnlyReplyIsTo(const std::string& id) const
    {
        BOOST_REQUIRE(RawSite::runLoopUntil([&] { return !second->all<RelayReply>().empty(); }));
        RawSite::runLoopFor(2 * kRunTime);
        const auto replies = second->all<RelayReply>();
        BOOST_TEST(replies.size() == 1u);
        BOOST_TEST(idOf(replies[0]) == id);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(HostLives)

// Guards against the answer to a stranger's request (MIXED): it belongs to a request of its host's life before.
BOOST_AUTO_TEST_CASE(newLifeOfAnEarlierBuildGetsNoAnswerToTheLifeBefore)
{
    CoordinatorSite it(500);
    it.first->send(orderOf("first"));
    BOOST_REQUIRE(RawSite::runLoopUntil([&] { return it.site.runCount("first") == 1; }));
    it.first->end();
    it.second = it.connect(2);
    it.second->send(orderOf("second"));
    it.checkOnlyReplyIsTo("second");
    BOOST_TEST(it.site.runCount("first") == 1u);
    BOOST_TEST(it.site.runCount("second") == 1u);
}

// Guards against a promise of "not run" for a request that runs (REFUSED): it was made for a request of the life
// before, which waited when that life ended.
BOOST_AUTO_TEST_CASE(newLifeOfAnEarlierBuildGetsNoRefusalOfTheLifeBefore)
{
    CoordinatorSite it(1);
    it.first->send(orderOf("running", kNumber));
    it.first->send(orderOf("waiting", kNumber + 1));
    BOOST_REQUIRE(RawSite::runLoopUntil([&] { return it.site.runCount("running") == 1; }));
    it.second = it.connect(2);
    it.second->send(orderOf("second", kNumber + 1));
    RawSite::runLoopFor(Millis(50));
    it.first->end();
    it.checkOnlyReplyIsTo("second");
    BOOST_TEST(it.site.runCount("waiting") == 0u);
    BOOST_TEST(it.site.runCount("second") == 1u);
}

// Guards against a turn that is given to a request of the new life for one of the life before, and against one that its
// end doesn't free.
BOOST_AUTO_TEST_CASE(turnsOfTwoLivesOfAnEarlierBuildAreKeptApart)
{
    CoordinatorSite it(1);
    it.first->send(orderOf("first", kNumber, true));
    BOOST_REQUIRE(RawSite::runLoopUntil([&] { return it.first->all<RelayTurn>().size() == 1; }));
    it.second = it.connect(2);
    it.second->send(orderOf("second", kNumber, true));
    RawSite::runLoopFor(Millis(50));
    // The life before has the only slot, and only its own message frees it.
    it.second->send(RelayTurnOver { kNumber, Answer { 200, {}, {} } });
    RawSite::runLoopFor(Millis(100));
    BOOST_TEST(it.second->all<RelayTurn>().empty());
    it.first->send(RelayTurnOver { kNumber, Answer { 200, {}, {} } });
    BOOST_TEST(RawSite::runLoopUntil([&] { return it.second->all<RelayTurn>().size() == 1; }, Millis(1000)));
    BOOST_TEST(it.second->all<RelayReply>().empty());
}

// Guards against a cancellation that ends another life's request of the same number.
BOOST_AUTO_TEST_CASE(cancellationConcernsItsOwnLife)
{
    CoordinatorSite it(1);
    it.first->send(orderOf("running", kNumber));
    it.first->send(orderOf("waiting", kNumber + 1));
    BOOST_REQUIRE(RawSite::runLoopUntil([&] { return it.site.runCount("running") == 1; }));
    it.second = it.connect(2);
    it.second->send(orderOf("second", kNumber + 1));
    RawSite::runLoopFor(Millis(50));
    it.first->send(RelayCancel { kNumber + 1 });
    BOOST_TEST(RawSite::runLoopUntil([&] { return it.site.runCount("second") == 1; }));
    RawSite::runLoopFor(2 * kRunTime);
    BOOST_TEST(it.site.runCount("waiting") == 0u);
    BOOST_TEST(it.second->all<RelayReply>().size() == 1u);
}

// Guards against a copy of the store that counts as fresher than it is: it comes with a time of the boot clock of the
// life that asked for it, which the next life may not share.
BOOST_AUTO_TEST_CASE(newLifeGetsNoCopyThatTheLifeBeforeAskedFor)
{
    CoordinatorSite it(1);
    it.second = it.connect(2);
    RawSite::runLoopFor(Millis(50));
    it.first->send(ReplicaRequest { {}, Millis(77) });
    BOOST_TEST(RawSite::runLoopUntil([&] { return it.first->all<ReplicaBatch>().size() == 1; }, Millis(2000)));
    BOOST_TEST(it.second->all<ReplicaBatch>().empty());
}

// Guards against a host that is avoided for good, because a report of its life before was read after the Hello of the
// next one.
BOOST_AUTO_TEST_CASE(reportOfTheLifeBeforeSaysNothingOfTheNext)
{
    RawSite site(1, answerSlowly);
    std::size_t relayed = 0;
    PeerHub coordinator({ "127.0.0.1", 0 }, Hello { kPeer, { 2 }, false },
        { [&](const auto&, LinkId, const Message& message) { relayed += std::holds_alternative<Relay>(message); },
            nullptr, [&](const HostName&) { return std::optional(site.peerEndpoints[0]); } });
    PeerLife before(site.peerEndpoints[0], kPeer, Incarnation { 1 });
    BOOST_REQUIRE(RawSite::runLoopUntil([&] { return !before.all<Hello>().empty(); }));
    coordinator.send("h0", ReachReport {});
    RawSite::runLoopFor(Millis(50));
    site.store.put("pistachiospur/hosts/peer",
        nlohmann::json { { "data_centre", "z1" }, { "address", "127.0.0.1" }, { "port", coordinator.port() },
            { "incarnation", 2 }, { "weight", 4096 }, { "leaving", false } }
            .dump());
    const auto isRelayed = [&](const std::string& id) {
        const auto count = [&] { return relayed + before.all<Relay>().size(); };
        const std::size_t n = count();
        site.client.start(site.call("/unsafe/x", id, 0), [](const HttpOutcome&) {});
        return RawSite::runLoopUntil([&] { return count() > n; }, Millis(300));
    };
    BOOST_REQUIRE(RawSite::runLoopUntil([&] { return isRelayed("warm"); }));
    before.send(ReachReport { { "keyed" }, {} });
    RawSite::runLoopFor(Millis(50));
    BOOST_TEST(isRelayed("after"));
}

// Guards against the answer to a stranger's request (MIXED) from a coordinator of an earlier build, which sends it to
// the host's name: the host has started again, and its requests must have numbers that no life before has used.
BOOST_AUTO_TEST_CASE(restartedHostTakesNoReplyToItsLifeBefore)
{
    RawSite site(1, answerSlowly);
    std::vector<Relay> relays; // that the coordinator was asked to run
    PeerHub coordinator({ "127.0.0.1", 0 }, Hello { kPeer, { 1 }, false },
        { [&](const auto&, LinkId, Message message) {
             if (auto* it = std::get_if<Relay>(&message))
                 relays.push_back(std::move(*it));
         },
            nullptr, [](const HostName&) { return std::nullopt; } });
    const auto reply = [&](std::uint64_t id, Reply text) {
        coordinator.send("h0", RelayReply { id, std::move(text), Millis(0) });
    };
    const auto answerTo = [](const Relay& relay) {
        return Answer { 200, { { "request-id", relay.request.id }, { "server-seal", "seal-" + relay.request.id } },
            "of " + relay.request.id };
    };
    site.store.put("pistachiospur/hosts/peer",
        nlohmann::json { { "data_centre", "z1" }, { "address", "127.0.0.1" }, { "port", coordinator.port() },
            { "incarnation", 1 }, { "weight", 4096 }, { "leaving", false } }
            .dump());
    std::optional<HttpOutcome> outcome;
    const auto sendUntilRelayed = [&](const std::string& id) {
        const std::size_t n = relays.size();
        BOOST_REQUIRE(RawSite::runLoopUntil([&] {
            outcome.reset();
            site.client.start(site.call("/unsafe/x", id, 0), [&](HttpOutcome it) { outcome = std::move(it); });
            return RawSite::runLoopUntil([&] { return relays.size() > n; }, Millis(300));
        }));
    };
    sendUntilRelayed("first");
    const Relay first = relays.back();
    site.restart(0);
    sendUntilRelayed("second");
    const Relay second = relays.back();
    // To each request that the life before may have numbered around the one that
    // was relayed.
    for (std::uint64_t n = 0; n < 100; ++n) {
        for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
            const std::uint64_t number = (first.id >> 12) + n - 50;
            reply(number << 12 | attempt, answerTo(first));
            reply(number << 12 | attempt, notRun(RefusalReason::deadlinePassed));
        }
    }
    RawSite::runLoopFor(Millis(100));
    BOOST_TEST(!outcome.has_value());
    reply(second.id, answerTo(second));
    BOOST_REQUIRE(RawSite::runLoopUntil([&] { return outcome.has_value(); }));
    const auto* answer = std::get_if<HttpAnswer>(&*outcome);
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(answer->body == "of second");
}

BOOST_AUTO_TEST_SUITE_END()
