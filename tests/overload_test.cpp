#include "peers/messages.h"
#include "requests/places.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

// One upstream and its callers in virtual time, with more requests than it has room for. Callers follow a Retry-After
// up to a third of the time that they have left, and try twice more; some repeat at once and more often.
using namespace pistachiospur;

namespace {

enum class Policy { firstCome, strictPriority, before, now };

struct Kind {
    double share; // of the arrivals
    RankOrder order;
    double runMs;
    Millis target, deadline, timeout; // the last one of the route
};

struct Crowd {
    const char* name;
    unsigned slots, crowdSlots;
    double load; // arrivals in the crowd, as a multiple of the usual room; 0.8 before and after
    double repeating = 0; // share of the callers that repeat at once
    bool isHot = false; // all requests are equal
    std::vector<Kind> kinds = { { 0.6, 0, 100, Millis(400), Millis(2500), Millis(1200) },
        { 0.4, 1, 100, Millis(600), Millis(3000), Millis(1500) } };
};

const std::vector<Kind> kReads = { { 1, 0, 190, Millis(600), Millis(4000), Millis(4000) } };
const std::vector<Crowd> kCrowds = { { "1.7 times the room", 8, 8, 1.7 }, { "3 times the room", 8, 8, 3 },
    { "one hot key", 2, 2, 8, 0, true, kReads }, { "small upstream", 2, 2, 1.7, 0, false, kReads },
    { "a third repeats at once", 8, 8, 1.4, 0.33 }, { "room halved", 8, 4, 0.8 }, { "all are back", 8, 8, 1.2 } };

struct Outcome {
    int owed = 0, inTime = 0, late = 0, failed = 0;
    std::map<RankOrder, std::pair<int, int>> served; // owed and served
    int lostPlaces = 0; // of callers that came back when told
    int idle = 0; // times at which the upstream was idle beside a waiting request
    std::size_t maxPlaces = 0;
};

constexpr Millis kCrowdFrom { 2000 }, kCrowdTo { 7000 }, kEnd { 9000 };

class Play {
public:
    Play(const Crowd& crowd, Policy policy, std::uint64_t seed)
        : m_crowd(crowd)
        , m_policy(policy)
        , m_arrivals(seed)
        , m_random(seed)
    {
        for (const auto& it : crowd.kinds)
            m_limits.shares[policy == Policy::firstCome ? 0 : it.order] = policy == Policy::strictPriority ? 0 : 0.1;
        m_limits.maxWaitingPerRank = policy == Policy::firstCome ? 128 : 64;
        m_limits.runMargin = 1.5;
        m_limits.acceptsLateWhenIdle = true;
    }

    Outcome run()
    {
        arrive();
        for (Millis t { 0 }; t < kEnd + Millis(5000); t += Millis(50))
            at(t, [this] { tick(); });
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            m_limits.maxConcurrent = isCrowd() ? m_crowd.crowdSlots : m_crowd.slots;
            event.act();
            start();
            m_outcome.maxPlaces = std::max(m_outcome.maxPlaces, m_places.list.size());
            m_outcome.idle += m_queue.running == 0 && waitingCount(m_queue) > 0;
        }
        return m_outcome;
    }

private:
    struct Event {
        Millis at;
        std::uint64_t n;
        std::function<void()> act;
        friend bool operator>(const Event& a, const Event& b) { return std::tie(a.at, a.n) > std::tie(b.at, b.n); }
    };
    struct Caller {
        const Kind* kind;
        Millis firstAt, deadline;
        CallerTrace trace;
        bool repeats;
        unsigned attempts = 0;
    };

    void at(Millis t, std::function<void()> act) { m_events.push({ t, m_nextEvent++, std::move(act) }); }
    bool isCrowd() const { return m_now >= kCrowdFrom && m_now < kCrowdTo; }
    static double draw(std::mt19937_64& random) { return std::uniform_real_distribution<double>(0, 1)(random); }
    static Millis millis(double ms) { return Millis(static_cast<std::int64_t>(ms)); }

    void arrive()
    {
        const double perMs = (isCrowd() ? m_crowd.load : 0.8) * m_crowd.slots / m_crowd.kinds[0].runMs;
        m_arriveAt += -std::log(1 - draw(m_arrivals)) / perMs;
        if (millis(m_arriveAt) >= kEnd)
            return;
        at(millis(m_arriveAt), [this] {
            const Kind& kind = m_crowd.kinds[draw(m_arrivals) < m_crowd.kinds[0].share ? 0 : 1];
            const Millis deadline = m_now + kind.deadline;
            const std::uint64_t fingerprint = m_crowd.isHot ? 7 : m_callers.size() + 1;
            m_callers.push_back({ &kind, m_now, deadline,
                { m_policy == Policy::now ? fingerprint : 0, std::to_string(kind.order), deadline, true },
                draw(m_arrivals) < m_crowd.repeating });
            ++m_outcome.owed;
            ++m_outcome.served[kind.order].first;
            send(m_callers.size() - 1);
            arrive();
        });
    }

    void send(std::size_t id)
    {
        Caller& caller = m_callers[id];
        ++caller.attempts;
        const RankOrder order = m_policy == Policy::firstCome ? 0 : caller.kind->order;
        WaitingRequest request { id, order, std::min(caller.deadline, m_now + caller.kind->timeout) };
        if (m_policy == Policy::now)
            request.target = LatencyTarget { caller.kind->target, m_now + caller.kind->target };
        const auto kept = m_places.counts[caller.trace.rank].kept;
        const auto away = enqueueOrGivePlace(m_queue, m_places, m_limits, request, caller.trace, m_now);
        m_outcome.lostPlaces += away && m_places.counts[caller.trace.rank].kept > kept;
        if (away)
            refuse(id, away->retryAfter);
    }

    void refuse(std::size_t id, Millis retryAfter)
    {
        const Caller& caller = m_callers[id];
        const Millis left = caller.deadline - m_now;
        if (caller.attempts > (caller.repeats ? 8 : 2) || left < Millis(100)) {
            ++m_outcome.failed;
            return;
        }
        const Millis told = m_policy == Policy::now ? retryAfter : Millis(250);
        const Millis wait = caller.repeats ? Millis(0) : std::min(told, left / 3);
        at(m_now + wait + millis(16 + 20 * draw(m_random)), [this, id] { send(id); });
    }

    void tick()
    {
        for (const auto& it : dropLate(m_queue, m_limits, m_now))
            refuse(it.id, givePlace(m_queue, m_places, m_limits, it, m_callers[it.id].trace, m_now));
    }

    void start()
    {
        while (const auto next = startNext(m_queue, m_limits, m_now)) {
            const Millis run = millis(m_callers[next->id].kind->runMs * (0.4 - 0.6 * std::log(1 - draw(m_random))));
            at(m_now + run, [this, next, run] { finish(*next, run); });
        }
    }

    void finish(const WaitingRequest& request, Millis run)
    {
        const Caller& caller = m_callers[request.id];
        finishRun(m_queue, request.order, run);
        if (m_now > caller.deadline) {
            ++m_outcome.failed;
            return;
        }
        ++(m_now <= caller.firstAt + caller.kind->target ? m_outcome.inTime : m_outcome.late);
        ++m_outcome.served[caller.kind->order].second;
    }

    const Crowd& m_crowd;
    Policy m_policy;
    std::mt19937_64 m_arrivals, m_random;
    QueuePolicy m_limits;
    UpstreamQueue m_queue;
    Places m_places;
    std::vector<Caller> m_callers;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_nextEvent = 0;
    double m_arriveAt = 0;
    Millis m_now {};
    Outcome m_outcome;
};

Outcome play(const Crowd& crowd, Policy policy)
{
    Outcome sum;
    for (std::uint64_t seed = 0; seed < 4; ++seed) {
        const Outcome one = Play(crowd, policy, seed).run();
        sum.owed += one.owed;
        sum.inTime += one.inTime;
        sum.late += one.late;
        sum.failed += one.failed;
        sum.lostPlaces += one.lostPlaces;
        sum.idle += one.idle;
        sum.maxPlaces = std::max(sum.maxPlaces, one.maxPlaces);
        for (const auto& [order, counts] : one.served) {
            sum.served[order].first += counts.first;
            sum.served[order].second += counts.second;
        }
    }
    return sum;
}

double share(const std::pair<int, int>& counts) { return double(counts.second) / counts.first; }

WaitingRequest withTarget(std::uint64_t id, Millis now, Millis target, Millis deadline)
{
    return { id, 0, now + deadline, LatencyTarget { target, now + target } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Overload)

// Guards against a queue that stands so long that everybody is served late.
BOOST_AUTO_TEST_CASE(moreAreServedInTimeThanByOtherPoliciesAndNoKindStarves)
{
    for (const auto& crowd : kCrowds) {
        const Outcome now = play(crowd, Policy::now);
        for (const Policy other : { Policy::firstCome, Policy::strictPriority, Policy::before }) {
            const Outcome then = play(crowd, other);
            BOOST_TEST_MESSAGE(crowd.name << " " << int(other) << ": of " << then.owed << " " << then.inTime
                                          << " in time, " << then.late << " late, " << then.failed << " not; now of "
                                          << now.owed << " " << now.inTime << ", " << now.late << ", " << now.failed);
            const double gain = other == Policy::strictPriority ? 1 : 1.1;
            BOOST_TEST(gain * then.inTime < now.inTime, crowd.name << " " << int(other));
            BOOST_TEST(now.inTime + now.late > 0.85 * (then.inTime + then.late), crowd.name << " " << int(other));
        }
        BOOST_TEST(now.idle == 0, crowd.name);
        BOOST_TEST(now.lostPlaces == 0, crowd.name);
        BOOST_TEST(now.maxPlaces <= kMaxPlaces, crowd.name);
        for (const auto& [order, counts] : now.served)
            BOOST_TEST(share(counts) > 0.25 * double(now.inTime + now.late) / now.owed, crowd.name);
        if (now.served.size() > 1)
            BOOST_TEST(share(now.served.at(0)) > share(now.served.at(1)), crowd.name);
    }
}

BOOST_AUTO_TEST_CASE(requestThatCanBeInTimeStartsBeforeAnEarlierOneThatIsLateAnyhow)
{
    UpstreamQueue queue;
    const QueuePolicy policy { 1, 50, { { 0, 0.1 } }, 1.5, true };
    queue.lanes[0].meanServiceMs = 100;
    for (std::uint64_t id = 1; id <= 3; ++id)
        BOOST_REQUIRE(!enqueue(queue, policy, withTarget(id, Millis(0), Millis(400), Millis(4000)), Millis(0)));
    BOOST_REQUIRE(startNext(queue, policy, Millis(0)));
    const Millis later(300); // by now the others are late
    BOOST_REQUIRE(!enqueue(queue, policy, withTarget(9, later, Millis(400), Millis(4000)), later));
    for (const std::uint64_t expected : { 9, 2, 3 }) {
        finishRun(queue, 0, Millis(100));
        const auto next = startNext(queue, policy, later);
        BOOST_REQUIRE(next);
        BOOST_TEST(next->id == expected);
    }
}

// Guards against callers that get nothing because newer ones always come in time.
BOOST_AUTO_TEST_CASE(lateRequestIsServedBesideSteadyArrivalsInTime)
{
    UpstreamQueue queue;
    const QueuePolicy policy { 1, 50, { { 0, 0.1 } }, 1.5, true };
    queue.lanes[0].meanServiceMs = 10;
    enqueue(queue, policy, withTarget(1, Millis(0), Millis(400), Millis(4000)), Millis(0));
    startNext(queue, policy, Millis(0));
    enqueue(queue, policy, withTarget(2, Millis(-400), Millis(400), Millis(4000)), Millis(0));
    std::uint64_t id = 3, started = 0;
    for (Millis now { 10 }; started != 2; now += Millis(10)) {
        BOOST_REQUIRE(now <= Millis(500));
        for (int n = 0; n < 2; ++n)
            enqueue(queue, policy, withTarget(id++, now, Millis(400), Millis(4000)), now);
        finishRun(queue, 0, Millis(10));
        started = startNext(queue, policy, now)->id;
    }
}

// Guards against a host that takes all requests after its start because it has measured no run yet.
BOOST_AUTO_TEST_CASE(hostWithoutAMeasuredRunDoesNotFillItsQueues)
{
    UpstreamQueue queue;
    const QueuePolicy policy { 1, 50, { { 0, 0.1 } }, 1.5, true };
    int accepted = 0;
    for (std::uint64_t id = 1; id <= 50; ++id)
        accepted += !enqueue(queue, policy, withTarget(id, Millis(0), Millis(400), Millis(1000)), Millis(0));
    BOOST_TEST(accepted >= 2);
    BOOST_TEST(accepted <= 8);
}

struct FullUpstream {
    QueuePolicy policy { 1, 50, { { 0, 0.1 } }, 1.5, true };
    UpstreamQueue queue;
    Places places;
    std::uint64_t nextId = 1;

    FullUpstream()
    {
        queue.lanes[0].meanServiceMs = 100;
        while (!send(nextId, Millis(0)))
            startNext(queue, policy, Millis(0));
    }

    // Refusal of an attempt at a time, of a caller whose first one was at `firstAt`.
    std::optional<TurnedAway> send(std::uint64_t fingerprint, Millis now, Millis firstAt = Millis(0))
    {
        return enqueueOrGivePlace(queue, places, policy,
            { nextId++, 0, firstAt + Millis(900), LatencyTarget { Millis(400), now + Millis(400) } },
            { fingerprint, "r", firstAt + Millis(2400), true }, now);
    }
};

BOOST_AUTO_TEST_CASE(callerThatComesBackWhenToldIsServedBeforeThoseThatAreNew)
{
    FullUpstream upstream;
    const auto away = upstream.send(77, Millis(0));
    BOOST_REQUIRE(away);
    const Millis back = away->retryAfter + Millis(20);
    BOOST_REQUIRE(back < Millis(800));
    upstream.send(78, back - Millis(10), back - Millis(10));
    const auto id = upstream.nextId;
    BOOST_REQUIRE(!upstream.send(77, back));
    BOOST_TEST(upstream.places.counts["r"].kept == 1u);
    finishRun(upstream.queue, 0, Millis(100));
    BOOST_TEST(startNext(upstream.queue, upstream.policy, back)->id == id);
}

BOOST_AUTO_TEST_CASE(callerThatComesEarlyGetsTheSameTimeAgainAndTakesNoOtherPlace)
{
    FullUpstream upstream;
    const auto away = upstream.send(77, Millis(0));
    BOOST_REQUIRE(away);
    const auto given = upstream.places.counts["r"].given;
    for (const Millis now : { Millis(130), Millis(160) }) {
        const auto again = upstream.send(77, now);
        BOOST_REQUIRE(again);
        BOOST_TEST((now + again->retryAfter == away->retryAfter));
    }
    BOOST_TEST(upstream.places.counts["r"].given == given);
}

// Guards against callers of a popular path that are taken for repeats of each other.
BOOST_AUTO_TEST_CASE(equalRequestOfAnotherCallerIsNew)
{
    FullUpstream upstream;
    BOOST_REQUIRE(upstream.send(77, Millis(0)));
    while (const auto next = startNext(upstream.queue, upstream.policy, Millis(150)))
        finishRun(upstream.queue, 0, Millis(100));
    while (upstream.queue.running > 0) {
        finishRun(upstream.queue, 0, Millis(100));
        startNext(upstream.queue, upstream.policy, Millis(150));
    }
    BOOST_TEST(!upstream.send(77, Millis(150), Millis(150)).has_value());
    BOOST_TEST(upstream.places.counts["r"].kept == 0u);
}

BOOST_AUTO_TEST_CASE(ofSeveralEqualRequestsNoneIsTakenForARepeat)
{
    FullUpstream upstream;
    const Millis now(130);
    BOOST_REQUIRE(upstream.send(77, Millis(0)));
    BOOST_REQUIRE(upstream.send(77, now, now));
    const auto given = upstream.places.counts["r"].given;
    BOOST_REQUIRE(upstream.send(77, now + Millis(20), now + Millis(20)));
    BOOST_TEST(upstream.places.counts["r"].given == given + 1);
}

BOOST_AUTO_TEST_CASE(relayCarriesWhatIsKnownOfTheCaller)
{
    Relay relay { 1, "u", {}, "z", true, false, Millis(7), Millis(900), true };
    const auto read = decode(encode(relay));
    BOOST_REQUIRE(read);
    const auto& got = std::get<Relay>(*read);
    BOOST_TEST((got.waited == Millis(7) && got.callerTimeLeft == Millis(900) && got.mayComeBack));
}

BOOST_AUTO_TEST_SUITE_END()
