#include "requests/coldness.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace pistachiospur;

namespace {

constexpr double kPerSecond = 5.6, kOver = 1.5, kSlack = 8;
constexpr unsigned kSlots = 4;
constexpr Millis kStep { 5 };
const InstanceId kUpstream { "a", StartTime { 1 } };

// An upstream in virtual time that is cold in some intervals, and the hosts that send to it. Its entry and its health
// answers tell of it as the platform's do: the entry late.
struct ColdSite {
    struct Run {
        std::size_t host;
        Millis startedAt, endsAt;
    };
    std::mt19937 random;
    double baseMs = 91;
    std::vector<std::pair<Millis, Millis>> coldTimes;
    std::vector<Coldness> hosts;
    ColdBound bound = coldBound(kPerSecond, kOver, kSlack);
    std::vector<Run> running;
    std::vector<Millis> starts; // as they arrive, in order
    struct Question {
        std::size_t host;
        Millis askedAt, answeredAt, arrivesAt;
    };
    std::vector<Question> questions;
    std::map<Millis, Millis> entries; // what the entry that arrives at a time says
    std::uint64_t version = 0;

    explicit ColdSite(unsigned seed, std::size_t hostCount)
        : random(seed)
        , hosts(hostCount)
    {
    }

    Millis draw(int least, int most) { return Millis(std::uniform_int_distribution<int>(least, most)(random)); }
    Millis coldLeft(Millis now) const
    {
        for (const auto& [from, to] : coldTimes) {
            if (now >= from && now < to)
                return to - now;
        }
        return Millis(0);
    }
    unsigned runningOf(std::size_t host) const
    {
        return static_cast<unsigned>(
            std::count_if(running.begin(), running.end(), [&](const Run& it) { return it.host == host; }));
    }

    void endRuns(Millis now)
    {
        running.erase(std::remove_if(running.begin(), running.end(), [&](const Run& it) { return it.endsAt <= now; }),
            running.end());
    }

    void ask(std::size_t host, Millis now)
    {
        if (!takeQuestion(hosts[host], kUpstream, bound, now))
            return;
        const Millis answeredAt = now + draw(1, 40);
        questions.push_back({ host, now, answeredAt, answeredAt + draw(1, 40) });
    }

    void passAnswers(Millis now)
    {
        for (std::size_t n = 0; n < questions.size();) {
            if (questions[n].arrivesAt > now) {
                ++n;
                continue;
            }
            const Question& it = questions[n];
            const Millis left = coldLeft(it.answeredAt);
            noteHealth(hosts[it.host], kUpstream, std::max(Millis(0), left), it.askedAt, now);
            questions.erase(questions.begin() + static_cast<std::ptrdiff_t>(n));
        }
    }

    // Starts as many requests as `host` may, if more wait than it can start.
    void startAll(std::size_t host, Millis now)
    {
        Coldness& coldness = hosts[host];
        while (runningOf(host) < kSlots && timeToStart(coldness, kUpstream, bound, now) == Millis(0)) {
            noteStart(coldness, kUpstream, bound, now);
            ask(host, now);
            const Millis arrivesAt = now + draw(0, 50);
            starts.insert(std::upper_bound(starts.begin(), starts.end(), arrivesAt), arrivesAt);
            // Some of the time the upstream's machine is slower, and work differs.
            const double busy = draw(0, 9).count() < 2 ? 3 : 1;
            const double factor = static_cast<double>(draw(85, 115).count()) / 100 * busy;
            const double ms = baseMs * factor * (coldLeft(arrivesAt) > Millis(0) ? 2 : 1);
            running.push_back({ host, now, arrivesAt + Millis(static_cast<std::int64_t>(ms)) });
        }
        if (runningOf(host) < kSlots)
            noteHeld(coldness, kUpstream, now);
        ask(host, now);
    }

    void passEntries(Millis now)
    {
        if (now.count() % 900 == 0)
            entries[now + draw(50, 800)] = coldLeft(now);
        const auto due = entries.find(now);
        if (due == entries.end())
            return;
        ++version;
        for (auto& it : hosts)
            noteEntry(it, kUpstream, StoreRevision { version }, due->second, now);
    }

    // `coordinates` tells whether a host sends to the upstream at a time.
    template <typename Coordinates> void run(Millis length, const Coordinates& coordinates)
    {
        for (Millis now(0); now < length; now += kStep) {
            passEntries(now);
            passAnswers(now);
            endRuns(now);
            for (std::size_t host = 0; host < hosts.size(); ++host) {
                if (coordinates(host, now))
                    startAll(host, now);
            }
        }
    }

    // The most requests that the upstream got in any second in which it was cold.
    std::size_t mostWhileCold() const
    {
        std::size_t most = 0;
        for (auto it = starts.begin(); it != starts.end(); ++it) {
            const Millis left = coldLeft(*it);
            const auto end = std::lower_bound(it, starts.end(), *it + std::min(left, Millis(1000)));
            most = std::max(most, static_cast<std::size_t>(end - it) * (left > Millis(0) ? 1 : 0));
        }
        return most;
    }
    std::size_t startsBetween(Millis from, Millis to) const
    {
        return static_cast<std::size_t>(
            std::lower_bound(starts.begin(), starts.end(), to) - std::lower_bound(starts.begin(), starts.end(), from));
    }
};

constexpr double kAllowed = kPerSecond * kOver + kSlack;

} // namespace

BOOST_AUTO_TEST_SUITE(ColdUpstreams)

// Guards against more requests to an upstream that turns cold unannounced than it takes, whoever coordinates it.
RC_BOOST_PROP(noSecondHasMoreStartsThanAColdUpstreamTakes, ())
{
    const auto seed = *rc::gen::inRange(0u, 1000000u);
    ColdSite site(seed, 3);
    site.baseMs = *rc::gen::elementOf(std::vector<double> { 60, 91, 130, 208, 400 });
    for (Millis at = site.draw(3000, 6000); at < Millis(30000); at += site.draw(3500, 9000))
        site.coldTimes.emplace_back(at, at + site.draw(500, 3000));
    // Each host coordinates for a while; the next one begins before or after it ends, so that two may do at a time.
    std::vector<std::pair<Millis, Millis>> terms;
    for (Millis at(0); at < Millis(30000);) {
        const Millis end = at + site.draw(500, 7000);
        terms.emplace_back(at, end);
        // At most two hosts send to the upstream within a second.
        const Millis next = end - site.draw(-500, 1500);
        at = terms.size() < 2 ? std::max(next, at) : std::max(next, terms[terms.size() - 2].second + Millis(1000));
    }
    site.run(Millis(30000), [&](std::size_t host, Millis now) {
        for (std::size_t n = host; n < terms.size(); n += 3) {
            if (now >= terms[n].first && now < terms[n].second)
                return true;
        }
        return false;
    });
    RC_ASSERT(static_cast<double>(site.mostWhileCold()) <= kAllowed);
}

// Guards against hosts that each send their part to an upstream that comes back, while they take it over from each
// other.
BOOST_AUTO_TEST_CASE(manyHostsThatComeToKnowAColdUpstreamKeepToItsBoundTogether)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        ColdSite site(seed, 8);
        site.coldTimes = { { Millis(0), Millis(4000) } };
        site.run(Millis(1500), [](std::size_t host, Millis now) {
            return now >= Millis(15) * static_cast<int>(host) && now < Millis(1200);
        });
        BOOST_TEST(static_cast<double>(site.mostWhileCold()) <= kAllowed, "seed " << seed);
    }
}

// Guards against an upstream that is warm and gets fewer requests than it can run.
BOOST_AUTO_TEST_CASE(warmUpstreamGetsWhatItsSlotsTake)
{
    std::size_t got = 0, possible = 0;
    for (unsigned seed = 1; seed <= 5; ++seed) {
        ColdSite site(seed, 1), unbounded(seed, 1);
        unbounded.bound.maxStarts = 1000;
        const auto always = [](std::size_t, Millis) { return true; };
        site.run(Millis(20000), always);
        unbounded.run(Millis(20000), always);
        got += site.startsBetween(Millis(4000), Millis(20000));
        possible += unbounded.startsBetween(Millis(4000), Millis(20000));
    }
    BOOST_TEST(got * 100 >= possible * 95, got << " of " << possible);
}

// Guards against a cold upstream that is left without the requests that it takes, and against one that is not found
// warm again.
BOOST_AUTO_TEST_CASE(coldUpstreamGetsItsRateAndIsFoundWarmAgain)
{
    ColdSite site(1, 1);
    site.coldTimes = { { Millis(6000), Millis(10000) } };
    site.run(Millis(16000), [](std::size_t, Millis) { return true; });
    const auto whileCold = static_cast<double>(site.startsBetween(Millis(7000), Millis(10000)));
    BOOST_TEST(whileCold >= 0.9 * 3 * kPerSecond);
    BOOST_TEST(
        site.startsBetween(Millis(12000), Millis(16000)) * 10 >= site.startsBetween(Millis(2000), Millis(6000)) * 9);
}

BOOST_AUTO_TEST_CASE(entryOlderThanAnAnswerDoesNotEndColdness)
{
    Coldness coldness;
    noteHealth(coldness, kUpstream, Millis(3000), Millis(990), Millis(1000));
    noteEntry(coldness, kUpstream, StoreRevision { 7 }, Millis(0), Millis(1500));
    BOOST_TEST(isCold(coldness, kUpstream, Millis(1500)));
    noteEntry(coldness, kUpstream, StoreRevision { 8 }, Millis(0), Millis(3200));
    BOOST_TEST(!isCold(coldness, kUpstream, Millis(3200)));
    // What has been read before says nothing new.
    noteHealth(coldness, kUpstream, Millis(3000), Millis(9990), Millis(10000));
    noteEntry(coldness, kUpstream, StoreRevision { 8 }, Millis(0), Millis(12500));
    BOOST_TEST(isCold(coldness, kUpstream, Millis(12500)));
}

// Guards against questions that are not needed, which are priced.
BOOST_AUTO_TEST_CASE(upstreamWithFewRequestsOrKnownToBeColdIsNotAsked)
{
    Coldness coldness;
    const ColdBound bound = coldBound(kPerSecond, kOver, kSlack);
    for (Millis now(0); now < Millis(20000); now += Millis(700)) {
        noteStart(coldness, kUpstream, bound, now);
        BOOST_TEST(!takeQuestion(coldness, kUpstream, bound, now));
    }
    for (unsigned n = 0; n < bound.maxStarts; ++n)
        noteStart(coldness, kUpstream, bound, Millis(20000));
    BOOST_TEST(takeQuestion(coldness, kUpstream, bound, Millis(20000)));
    BOOST_TEST(!takeQuestion(coldness, kUpstream, bound, Millis(20100))); // one is under way
    noteHealth(coldness, kUpstream, std::nullopt, Millis(20000), Millis(20100));
    BOOST_TEST(!takeQuestion(coldness, kUpstream, bound, Millis(20300)));
    BOOST_TEST(takeQuestion(coldness, kUpstream, bound, Millis(20600)));
    noteHealth(coldness, kUpstream, Millis(3000), Millis(20600), Millis(20700));
    BOOST_TEST(!takeQuestion(coldness, kUpstream, bound, Millis(21200)));
}

BOOST_AUTO_TEST_CASE(coldUpstreamCountsForTheSlotsThatItsRateFills)
{
    Coldness coldness;
    const ColdBound bound = coldBound(kPerSecond, kOver, kSlack);
    BOOST_TEST(usableSlots(coldness, kUpstream, 4, 260, bound, Millis(0)) == 4u);
    noteHealth(coldness, kUpstream, Millis(3000), Millis(0), Millis(0));
    BOOST_TEST(usableSlots(coldness, kUpstream, 4, 260, bound, Millis(10)) == 2u);
    BOOST_TEST(usableSlots(coldness, kUpstream, 4, 5000, bound, Millis(10)) == 4u);
    BOOST_TEST(usableSlots(coldness, kUpstream, 4, 260, bound, Millis(3000)) == 4u);
}

BOOST_AUTO_TEST_SUITE_END()
