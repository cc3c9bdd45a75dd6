#include "requests/admit.h"
#include "requests/idempotency.h"
#include "requests/quarantine.h"
#include "requests/queue.h"
#include "requests/retry.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <random>
#include <set>

using namespace pistachiospur;

namespace {

const IdempotencyPolicy kIdempotencyPolicy { Millis(60000), Millis(1000), 100 };

Configuration smallConfiguration()
{
    Configuration configuration;
    configuration.ranks["urgent"] = { "urgent", 0, Millis(500), 0.999, 0.1 };
    configuration.ranks["preview"] = { "preview", 2, Millis(300), 0.95, 0.1 };
    configuration.services["atelier"]
        = { "atelier", ServiceMode::keyed, 64, { { "GET", "/", "preview", true }, { "POST", "/", "urgent", false } } };
    configuration.services["push"] = { "push", ServiceMode::pooled, 64, { { "POST", "/", "urgent", false } } };
    return configuration;
}

Admitted admitRequest(CallerRequest caller)
{
    return admit(smallConfiguration(), { Millis(1000) }, std::move(caller), Millis(5));
}

RefusalReason reasonOf(const Admitted& admitted) { return std::get<Refusal>(admitted).reason; }

QueuePolicy threeRanks() { return { 2, 50, { { 0, 0.1 }, { 1, 0.1 }, { 2, 0.1 } }, 2, false }; }

} // namespace

BOOST_AUTO_TEST_SUITE(Requests)

BOOST_AUTO_TEST_CASE(admissionFindsServiceKeyRankAndDeadline)
{
    const auto result = admitRequest({ "POST", "/atelier/job%2F7/order?x=1",
        { { "idempotency-key", "k" }, { "idempotency-key-time", "77" }, { "connection", "close" } }, "body", false });
    const auto& request = std::get<Request>(result);
    BOOST_TEST(request.key == "job%2F7");
    BOOST_TEST(request.rank == "urgent");
    BOOST_TEST(!request.idempotent);
    BOOST_TEST(request.target == "/atelier/job%2F7/order?x=1");
    BOOST_TEST(request.deadline.count() == 1005);
    BOOST_TEST(request.headers.count("connection") == 0u);
    BOOST_TEST(request.idempotencyKey->sentAt.count() == 77);
}

BOOST_AUTO_TEST_CASE(badInputIsRefusedWithASpecificReasonAndAsNotRun)
{
    const std::vector<std::pair<CallerRequest, RefusalReason>> cases = {
        { { "GET", "/nothing/k", {}, "", false }, RefusalReason::unknownService },
        { { "DELETE", "/atelier/k", {}, "", false }, RefusalReason::noRoute },
        { { "GET", "/atelier", {}, "", false }, RefusalReason::malformed },
        { { "GET", "/atelier/", {}, "", false }, RefusalReason::malformed },
        { { "GET", "", {}, "", false }, RefusalReason::malformed },
        { { "GET", "/atelier/k", {}, "", true }, RefusalReason::tooLarge },
        { { "POST", "/atelier/k", {}, "", false }, RefusalReason::idempotencyKeyNeeded },
        { { "POST", "/atelier/k", { { "idempotency-key", "no-time" } }, "", false },
            RefusalReason::idempotencyKeyNeeded },
        { { "GET", "/atelier/k", { { "request-timeout", "soon" } }, "", false }, RefusalReason::malformed },
        { { "GET", "/atelier/k", { { "request-timeout", "0" } }, "", false }, RefusalReason::deadlinePassed },
    };
    for (const auto& [caller, reason] : cases) {
        const auto result = admitRequest(caller);
        BOOST_REQUIRE(std::holds_alternative<Refusal>(result));
        BOOST_CHECK(reasonOf(result) == reason);
        BOOST_CHECK(std::get<Refusal>(result).ran == Ran::no);
    }
}

BOOST_AUTO_TEST_CASE(pooledResendsAreRoutedToTheSameSlot)
{
    const CallerRequest caller { "POST", "/push/send", { { "idempotency-key", "k1" }, { "idempotency-key-time", "7" } },
        "b", false };
    const auto first = std::get<Request>(admit(smallConfiguration(), { Millis(9) }, caller, Millis(1)));
    const auto second = std::get<Request>(admit(smallConfiguration(), { Millis(9) }, caller, Millis(999)));
    BOOST_CHECK(first.slot == second.slot);
}

BOOST_AUTO_TEST_CASE(uuid7CarriesItsOwnTime)
{
    const auto key = parseIdempotencyKey("018f0000-0001-7abc-8def-0123456789ab", "");
    BOOST_REQUIRE(key);
    BOOST_TEST(key->sentAt.count() == 0x018f00000001);
    BOOST_TEST(!parseIdempotencyKey("018f0000-0001-4abc-8def-0123456789ab", "").has_value());
}

BOOST_AUTO_TEST_CASE(resendGetsTheRecordedAnswer)
{
    IdempotencyCache cache;
    const IdempotencyKey key { "k", Millis(100000) };
    BOOST_CHECK(
        beginRequest(cache, kIdempotencyPolicy, key, 1, Millis(0), Millis(100001)).verdict == IdempotencyVerdict::run);
    BOOST_CHECK(beginRequest(cache, kIdempotencyPolicy, key, 1, Millis(0), Millis(100002)).verdict
        == IdempotencyVerdict::inProgress);
    recordOutcome(cache, "k", Answer { 201, {}, "done" });
    const auto resend = beginRequest(cache, kIdempotencyPolicy, key, 1, Millis(0), Millis(100003));
    BOOST_CHECK(resend.verdict == IdempotencyVerdict::replay);
    BOOST_TEST(std::get<Answer>(resend.reply).body == "done");
    BOOST_CHECK(beginRequest(cache, kIdempotencyPolicy, key, 2, Millis(0), Millis(100004)).verdict
        == IdempotencyVerdict::reused);
}

BOOST_AUTO_TEST_CASE(refusalThatProvesNotRunLetsAResendRun)
{
    IdempotencyCache cache;
    const IdempotencyKey key { "k", Millis(100000) };
    beginRequest(cache, kIdempotencyPolicy, key, 1, Millis(0), Millis(100001));
    recordOutcome(cache, "k", notRun(RefusalReason::upstreamUnreachable));
    BOOST_CHECK(
        beginRequest(cache, kIdempotencyPolicy, key, 1, Millis(0), Millis(100002)).verdict == IdempotencyVerdict::run);
}

BOOST_AUTO_TEST_CASE(youngCacheNeverRunsAnOldKeyNorOneDatedInTheFuture)
{
    IdempotencyCache cache;
    const auto verdict = [&](std::int64_t sentAt, std::int64_t since) {
        return beginRequest(cache, kIdempotencyPolicy, { "k" + std::to_string(sentAt), Millis(sentAt) }, 1,
            Millis(since), Millis(200000))
            .verdict;
    };
    BOOST_CHECK(verdict(199000, 199500) == IdempotencyVerdict::cacheTooYoung);
    BOOST_CHECK(verdict(199600, 199500) == IdempotencyVerdict::cacheTooYoung); // within the allowed clock skew
    BOOST_CHECK(verdict(199900, 198000) == IdempotencyVerdict::run);
    BOOST_CHECK(verdict(201500, 198000) == IdempotencyVerdict::cacheTooYoung);
}

// No key runs twice under random resends, outcomes and losses of the idempotency cache.
RC_BOOST_PROP(noKeyRunsTwiceUnderResendsAndLostMemories, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const auto pick = [&](std::uint64_t n) { return static_cast<std::int64_t>(random() % n); };
    IdempotencyCache cache;
    const IdempotencyPolicy policy { Millis(20000), Millis(1000), 5 };
    Millis now(1000000), since = now - Millis(30000);
    cache.completeSince = since;
    std::vector<IdempotencyKey> keys;
    std::map<std::string, int> runs; // for each key: runs that may have had an effect
    std::vector<std::string> running;
    for (int n = 0; n < 400; ++n) {
        now += Millis(pick(300));
        if (pick(3) == 0)
            keys.push_back({ "k" + std::to_string(n), now + Millis(pick(1999) - 999) });
        if (pick(60) == 0) { // another coordinator takes over with an empty cache
            cache = {};
            cache.completeSince = since = now;
            running.clear();
        }
        if (!keys.empty() && pick(2)) {
            const auto& key = keys[static_cast<std::size_t>(pick(keys.size()))];
            if (beginRequest(cache, policy, key, 1, since, now).verdict == IdempotencyVerdict::run) {
                RC_ASSERT(++runs[key.text] == 1);
                running.push_back(key.text);
            }
        }
        if (!running.empty() && pick(2)) {
            const std::string key = running.back();
            running.pop_back();
            const bool provesNotRun = pick(4) == 0;
            if (provesNotRun)
                --runs[key];
            recordOutcome(cache, key,
                provesNotRun ? Reply(notRun(RefusalReason::upstreamShed))
                             : Reply(maybeRun(RefusalReason::upstreamBroken)));
        }
    }
}

BOOST_AUTO_TEST_CASE(onlyRequestsThatCannotTakeEffectTwiceAreRetried)
{
    RetryBudget budget;
    Request once, idempotent, keyed;
    for (Request* request : { &once, &idempotent, &keyed })
        request->deadline = Millis(10000);
    idempotent.idempotent = true;
    keyed.idempotencyKey = IdempotencyKey { "k", Millis(1) };
    const auto isRetried = [&](const Request& request, const Refusal& refusal) {
        RetryState state;
        return decideRetry(budget, state, request, refusal, Millis(0)).has_value();
    };
    BOOST_TEST(isRetried(once, notRun(RefusalReason::noOwner)));
    BOOST_TEST(!isRetried(once, maybeRun(RefusalReason::upstreamBroken)));
    BOOST_TEST(isRetried(idempotent, maybeRun(RefusalReason::upstreamBroken)));
    BOOST_TEST(!isRetried(keyed, maybeRun(RefusalReason::upstreamBroken)));
    BOOST_TEST(isRetried(keyed, maybeRun(RefusalReason::hostLost)));
    BOOST_TEST(!isRetried(idempotent, notRun(RefusalReason::queueFull)));
}

BOOST_AUTO_TEST_CASE(retriesOfRequestsThatMayHaveRunStayWithinTheBudget)
{
    RetryBudget budget;
    Request request;
    request.idempotent = true;
    request.deadline = Millis(10000);
    int retries = 0;
    for (int n = 0; n < 1000; ++n) {
        addRetryTokens(budget);
        RetryState state;
        retries += decideRetry(budget, state, request, maybeRun(RefusalReason::upstreamBroken), Millis(0)).has_value();
    }
    BOOST_TEST(retries <= kMaxRetryTokens + 1000 * kRetryTokensPerRequest);
}

BOOST_AUTO_TEST_CASE(requestIsQuarantinedAfterTwoBreaksButNotByOneReportedTwice)
{
    Quarantine quarantine;
    BOOST_TEST(recordBreak(quarantine, { 7, 1 }, Millis(0)));
    BOOST_TEST(!recordBreak(quarantine, { 7, 1 }, Millis(0)));
    BOOST_TEST(!isQuarantined(quarantine, 7, Millis(0)));
    BOOST_TEST(recordBreak(quarantine, { 7, 2 }, Millis(0)));
    BOOST_TEST(isQuarantined(quarantine, 7, Millis(0)));
    onAnswered(quarantine, 7);
    BOOST_TEST(isQuarantined(quarantine, 7, Millis(0)));
    BOOST_TEST(!isQuarantined(quarantine, 7, kQuarantineDuration));
}

BOOST_AUTO_TEST_CASE(suspectIsClearedByItsNextAnswer)
{
    Quarantine quarantine;
    recordBreak(quarantine, { 7, 1 }, Millis(0));
    onAnswered(quarantine, 7);
    recordBreak(quarantine, { 7, 2 }, Millis(0));
    BOOST_TEST(!isQuarantined(quarantine, 7, Millis(0)));
}

BOOST_AUTO_TEST_CASE(urgentRequestNeverWaitsBehindTwoOfTheLeastUrgent)
{
    UpstreamQueue queue;
    const QueuePolicy policy = threeRanks();
    BOOST_TEST(!enqueue(queue, policy, { 1, 0, Millis(9000) }, Millis(0)).has_value());
    startNext(queue, policy, Millis(0));
    finishRun(queue, 0, Millis(10));
    for (std::uint64_t n = 2; n < 8; ++n)
        enqueue(queue, policy, { n, 2, Millis(9000) }, Millis(20));
    startNext(queue, policy, Millis(20));
    BOOST_TEST(!startNext(queue, policy, Millis(20)).has_value());
    enqueue(queue, policy, { 9, 0, Millis(9000) }, Millis(30));
    const auto next = startNext(queue, policy, Millis(30));
    BOOST_REQUIRE(next);
    BOOST_TEST(next->id == 9u);
}

BOOST_AUTO_TEST_CASE(lowerRankKeepsItsShareUnderAFloodOfTheMostUrgent)
{
    UpstreamQueue queue;
    const QueuePolicy policy = threeRanks();
    std::map<RankOrder, int> started;
    std::uint64_t id = 0;
    for (int n = 0; n < 1000; ++n) {
        const Millis now(n * 10), deadline = now + Millis(100000);
        for (const RankOrder order : { 0, 0, 1, 2 })
            enqueue(queue, policy, { ++id, order, deadline }, now);
        while (const auto next = startNext(queue, policy, now)) {
            ++started[next->order];
            finishRun(queue, next->order, Millis(5));
            if (started[0] + started[1] + started[2] > n + 1)
                break;
        }
    }
    const double all = started[0] + started[1] + started[2];
    const double share = policy.shares.at(1), rounding = 2;
    BOOST_TEST(started[1] >= share * all - rounding);
    BOOST_TEST(started[2] >= share * all - rounding);
}

BOOST_AUTO_TEST_CASE(upstreamThatWasSlowIsTriedAgainWhenItIsIdle)
{
    UpstreamQueue queue;
    QueuePolicy policy = threeRanks();
    policy.acceptsLateWhenIdle = true;
    const Millis limit { 500 };
    for (std::uint64_t n = 0; n < 50; ++n) { // slow runs
        enqueue(queue, policy, { n, 1, Millis(100000) }, Millis(0));
        startNext(queue, policy, Millis(0));
        finishRun(queue, 1, Millis(2000));
    }
    std::uint64_t n = 100;
    int refused = 0;
    for (; n < 150; ++n) { // fast again: each run lowers the mean service time
        if (enqueue(queue, policy, { n, 1, limit }, Millis(0))) {
            ++refused;
            continue;
        }
        BOOST_REQUIRE(startNext(queue, policy, Millis(0)));
        finishRun(queue, 1, Millis(50));
    }
    BOOST_TEST(refused == 0);
    policy.acceptsLateWhenIdle = false;
    queue.lanes[1].meanServiceMs = 2000;
    BOOST_TEST((enqueue(queue, policy, { n, 1, limit }, Millis(0)) == RefusalReason::deadlinePassed));
}

RC_BOOST_PROP(queueKeepsItsInvariantsAndLosesNothing, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const auto pick = [&](std::uint64_t n) { return static_cast<std::uint64_t>(random() % n); };
    UpstreamQueue queue;
    const QueuePolicy policy = threeRanks();
    std::set<std::uint64_t> waiting;
    std::vector<WaitingRequest> running;
    Millis now(0);
    for (std::uint64_t n = 1; n < 500; ++n) {
        now += Millis(pick(20));
        const WaitingRequest request { n, static_cast<RankOrder>(pick(3)), now + Millis(pick(3000)) };
        if (!enqueue(queue, policy, request, now))
            waiting.insert(n);
        for (const auto& late : dropLate(queue, policy, now))
            RC_ASSERT(waiting.erase(late.id) == 1);
        if (const auto next = startNext(queue, policy, now)) {
            RC_ASSERT(waiting.erase(next->id) == 1);
            running.push_back(*next);
        }
        if (!running.empty() && pick(2)) {
            finishRun(queue, running.back().order, Millis(pick(50)));
            running.pop_back();
        }
        RC_ASSERT(holdsInvariants(queue, policy));
        RC_ASSERT(waitingCount(queue) == waiting.size());
    }
}

BOOST_AUTO_TEST_SUITE_END()
