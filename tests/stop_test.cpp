#include "raw_site.h"

#include "requests/stop.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

// A planned stop of one host while callers go on sending. Real sockets; the time from the request to stop until the
// process would be killed is shortened.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

constexpr std::int64_t kGraceMs = 4000;
constexpr std::int64_t kShortGraceMs = 1800;
constexpr Millis kInterval { 100 };
// From the opening of a connection until its request is sent.
constexpr Millis kDelay { 600 };
constexpr const char* kTargets[] = { "/get/x", "/unsafe/x", "/pool/x", "/safe/x" };

// A sound upstream that answers requests whose id begins with "slow" after 1.5 s.
std::vector<RawPart> answerSoundly(const RawRequest& request)
{
    const bool isSlow = request.id.find("slow") == 0;
    return { { sealedAnswer(request.id, "{}"), RawEnding::keepOpen, isSlow ? Millis(1500) : Millis(0) } };
}

// A request on a connection of its own.
struct SentRequest {
    std::string id;
    std::string text; // not sent yet
    bool runsOnce = false;
    bool sent = false;
    Millis sendAt {}; // since the stop was requested
    std::unique_ptr<CallerConnection> caller;
};

// The status of the first answer, which must be complete; 0 if there is none.
int statusOf(const std::string& text)
{
    const auto end = text.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    const auto length = text.find("Content-Length: ");
    const bool isWhole = length < end && text.size() >= end + 4 + std::stoul(text.substr(length + 16));
    return isWhole ? std::stoi(text.substr(9, 3)) : 0;
}

bool isPromise(int status) { return status == 503 || status == 429 || status == 421 || status == 408; }

} // namespace

BOOST_AUTO_TEST_SUITE(PlannedStops)

BOOST_AUTO_TEST_CASE(onlyARequestThatEndsBeforeTheStopIsPassedOn)
{
    const PlannedStop stop = planStop(Millis(10000), Millis(6000));
    BOOST_TEST((stop.endsAt > stop.requestedAt && stop.endsAt < Millis(16000)));
    BOOST_TEST(mayPassOn(stop, Millis(12000)));
    BOOST_TEST(!mayPassOn(stop, stop.endsAt));
    BOOST_TEST(!mayPassOn(stop, Millis(16000)));
}

// Guards against requests that a stopping host takes, passes on and cuts off without an answer when it ends. They
// arrive at every moment of the stop, by each kind of route: on connections kept since before, on new ones, and on ones
// that had sent a part of the request already.
BOOST_AUTO_TEST_CASE(requestsAreAnsweredOrRefusedAtEveryMomentOfAStop)
{
    RawSite site(2, answerSoundly, kGraceMs);
    BOOST_REQUIRE(site.waitUntilServed());
    std::vector<SentRequest> requests;
    const auto open = [&](const char* target) -> SentRequest& {
        SentRequest it;
        it.id = "slow" + std::to_string(requests.size());
        it.text = RawSite::text(target, it.id);
        it.runsOnce = target[1] == 'u' || target[1] == 'p';
        it.caller = std::make_unique<CallerConnection>(site.callerEndpoints[0]);
        requests.push_back(std::move(it));
        return requests.back();
    };
    for (Millis at {}; at < Millis(kGraceMs); at += kInterval) {
        for (const char* target : kTargets)
            open(target).sendAt = at;
    }
    Gateway& host = *site.gateways[0];
    const Millis stopAt = monotonicNow();
    host.beginStop();
    for (Millis at {}; !host.hasStopped() && at < Millis(kGraceMs); at += kInterval) {
        for (const char* target : kTargets) {
            open(target).sendAt = at + kDelay;
            SentRequest& begun = open(target);
            begun.sendAt = at + kDelay;
            begun.caller->write(begun.text.substr(0, 20));
            begun.text.erase(0, 20);
        }
        for (auto& it : requests) {
            if (!it.sent && it.sendAt <= at) {
                it.caller->write(it.text);
                it.sent = true;
            }
        }
        RawSite::runLoopUntil([&] { return host.hasStopped() || monotonicNow() >= stopAt + at + kInterval; });
    }
    RawSite::runLoopUntil([&] { return host.hasStopped(); }, stopAt + Millis(kGraceMs) - monotonicNow());
    BOOST_REQUIRE(host.hasStopped());
    site.gateways[0].reset();
    RawSite::runLoopFor(Millis(300));
    int answered = 0, refused = 0;
    for (const SentRequest& it : requests) {
        const std::string& text = it.caller->read();
        const int status = statusOf(text);
        const std::size_t runs = site.runCount(it.id);
        BOOST_TEST((status != 0 || runs == 0), it.id << " sent at " << it.sendAt.count() << " ms ran and was cut off");
        BOOST_TEST((status == 200 || isPromise(status) || (status == 0 && text.empty())),
            it.id << " sent at " << it.sendAt.count() << " ms got " << status);
        if (isPromise(status))
            BOOST_TEST((!it.runsOnce || runs == 0), it.id << " was refused and ran " << runs << " times");
        if (status != 0)
            BOOST_TEST(text.find("Connection: close") != std::string::npos, it.id << ": " << text);
        answered += status == 200;
        refused += isPromise(status);
    }
    // The host serves what can end before it does, and refuses the rest.
    BOOST_TEST(answered > 0);
    BOOST_TEST(refused > 0);
}

// Guards against open requests that end with the process: those sent long before and still at work get an answer too.
BOOST_AUTO_TEST_CASE(openRequestsAreAnsweredBeforeTheHostEnds)
{
    RawSite site(
        2,
        [](const RawRequest& request) -> std::vector<RawPart> {
            if (request.id.find("stuck") == 0)
                return {};
            return { { sealedAnswer(request.id, "{}") } };
        },
        kShortGraceMs);
    BOOST_REQUIRE(site.waitUntilServed());
    std::vector<std::unique_ptr<CallerConnection>> callers;
    for (const char* target : kTargets) {
        callers.push_back(std::make_unique<CallerConnection>(site.callerEndpoints[0]));
        callers.back()->write(RawSite::text(target, std::string("stuck") + target));
        BOOST_REQUIRE(RawSite::runLoopUntil([&] { return site.runCount(std::string("stuck") + target) == 1; }));
    }
    Gateway& host = *site.gateways[0];
    host.beginStop();
    BOOST_REQUIRE(RawSite::runLoopUntil([&] { return host.hasStopped(); }, Millis(1500)));
    site.gateways[0].reset();
    RawSite::runLoopFor(Millis(100));
    for (const auto& it : callers)
        BOOST_TEST(statusOf(it->read()) == 502, it->read());
}

// Guards against a request that another host passes on to a stopping one before it has heard of the stop, and that is
// cut off when that one ends.
BOOST_AUTO_TEST_CASE(requestThatCrossesTheNewsOfAStopIsServedOrRefusedAtOnce)
{
    RawSite site(1, answerSoundly, kShortGraceMs);
    BOOST_REQUIRE(site.waitUntilServed());
    std::map<std::uint64_t, Reply> replies;
    PeerHub peer({ "127.0.0.1", 0 }, Hello { "peer", { 1 }, false },
        { [&](const HostLife&, LinkId, Message message) {
             if (auto* it = std::get_if<RelayReply>(&message))
                 replies[it->id] = std::move(it->reply);
         },
            [](const LostLink&) {},
            [&](const HostName& host) { return host == "h0" ? std::optional(site.peerEndpoints[0]) : std::nullopt; } });
    const auto relay = [&](std::uint64_t id, const std::string& requestId, Millis timeLeft) {
        Relay it;
        it.id = id;
        it.upstream = "k0";
        it.request.service = "keyed";
        it.request.slot = SlotId { 40000 };
        it.request.deadline = timeLeft;
        it.request.method = "POST";
        it.request.target = "/unsafe/x";
        it.request.headers = { { "host", "a.example" }, { "request-id", requestId }, { "shard-key", "40000" } };
        peer.send("h0", it);
    };
    relay(1, "before", Millis(500));
    BOOST_REQUIRE(RawSite::runLoopUntil([&] { return replies.count(1) > 0; }));
    site.gateways[0]->beginStop();
    relay(2, "slow", Millis(2500));
    relay(3, "quick", Millis(500));
    BOOST_TEST(RawSite::runLoopUntil([&] { return replies.count(2) && replies.count(3); }, Millis(500)));
    const auto* refusal = std::get_if<Refusal>(&replies[2]);
    BOOST_TEST((refusal && refusal->ran == Ran::no && refusal->reason == RefusalReason::stopping));
    BOOST_TEST(site.runCount("slow") == 0u);
    BOOST_TEST(std::holds_alternative<Answer>(replies[3]));
    RawSite::runLoopUntil([&] { return site.gateways[0]->hasStopped(); }, Millis(kShortGraceMs));
}

// Guards against requests that another host goes on passing on to a stopping one.
BOOST_AUTO_TEST_CASE(requestsThatAnotherHostTakesAreServedWhileOneStops)
{
    for (std::size_t stopping = 0; stopping < 2; ++stopping) {
        RawSite site(2, answerSoundly, kShortGraceMs);
        BOOST_REQUIRE(site.waitUntilServed());
        Gateway& host = *site.gateways[stopping];
        std::vector<SentRequest> requests;
        const auto send = [&](const char* target, Millis at) {
            SentRequest it;
            it.id = "r" + std::to_string(requests.size());
            it.sendAt = at;
            it.caller = std::make_unique<CallerConnection>(site.callerEndpoints[1 - stopping]);
            it.caller->write(RawSite::text(target, it.id));
            requests.push_back(std::move(it));
        };
        for (const char* target : kTargets)
            send(target, Millis(0));
        const Millis stopAt = monotonicNow();
        host.beginStop();
        while (!host.hasStopped() && monotonicNow() < stopAt + Millis(kShortGraceMs)) {
            for (const char* target : kTargets)
                send(target, monotonicNow() - stopAt);
            RawSite::runLoopUntil([&] { return host.hasStopped(); }, kInterval);
        }
        BOOST_REQUIRE(host.hasStopped());
        site.gateways[stopping].reset();
        BOOST_TEST(RawSite::runLoopUntil(
            [&] {
                return std::all_of(requests.begin(), requests.end(),
                    [](const SentRequest& it) { return statusOf(it.caller->read()) != 0; });
            },
            Millis(3000)));
        for (const auto& it : requests)
            BOOST_TEST(statusOf(it.caller->read()) == 200,
                it.id << " sent at " << it.sendAt.count() << " ms got " << it.caller->read());
    }
}

// Guards against an answer that a stopping host has sent only in part when it ends, because its caller reads slowly.
BOOST_AUTO_TEST_CASE(largeAnswerToASlowCallerIsWholeWhenTheHostEnds)
{
    const std::string body(12u << 20, 'x');
    RawSite site(
        2,
        [&](const RawRequest& request) -> std::vector<RawPart> {
            return { { sealedAnswer(request.id, request.id == "large" ? body : "{}") } };
        },
        kGraceMs);
    BOOST_REQUIRE(site.waitUntilServed());
    CallerConnection caller(site.callerEndpoints[0]);
    Gateway& host = *site.gateways[0];
    host.beginStop();
    caller.write(RawSite::text("/safe/x", "large"));
    // The caller reads nothing until the host would have ended without it.
    RawSite::runLoopUntil([&] { return host.hasStopped(); }, Millis(3100));
    if (host.hasStopped())
        site.gateways[0].reset();
    RawSite::runLoopUntil([&] { return statusOf(caller.read()) == 200 || caller.hasEnded(); }, Millis(1000));
    BOOST_TEST(statusOf(caller.read()) == 200, caller.read().size() << " bytes");
}

BOOST_AUTO_TEST_SUITE_END()
