#include "gateway/watcher.h"

#include "store/versions.h"

#include <boost/test/unit_test.hpp>

using namespace pistachiospur;

namespace {

bool everyHost(const HostName&) { return true; }

} // namespace

BOOST_AUTO_TEST_SUITE(ChoiceOfWatchHost)

BOOST_AUTO_TEST_CASE(choosesFirstHostWhoseWatchHasNotFailed)
{
    const std::vector<HostName> order { "a", "b", "c" };
    const std::map<HostName, Millis> failed { { "a", Millis(5000) }, { "b", Millis(4000) } };
    BOOST_TEST(chooseWatchHost(order, everyHost, {}, Millis(0)) == "a");
    BOOST_TEST(chooseWatchHost(order, everyHost, failed, Millis(1000)) == "c");
    BOOST_TEST(chooseWatchHost(order, everyHost, failed, Millis(4000)) == "b");
    BOOST_TEST(chooseWatchHost(order, everyHost, failed, Millis(5000)) == "a");
}

BOOST_AUTO_TEST_CASE(choosesFirstHostWhenEveryWatchHasFailed)
{
    const std::map<HostName, Millis> failed { { "a", Millis(5000) }, { "b", Millis(6000) } };
    BOOST_TEST(chooseWatchHost({ "a", "b" }, everyHost, failed, Millis(1000)) == "a");
    BOOST_TEST(chooseWatchHost({}, everyHost, failed, Millis(1000)) == "");
}

BOOST_AUTO_TEST_CASE(passesOverHostsThatCannotTakeWork)
{
    const auto usable = [](const HostName& host) { return host != "a"; };
    BOOST_TEST(chooseWatchHost({ "a", "b" }, usable, {}, Millis(0)) == "b");
    BOOST_TEST(chooseWatchHost({ "a", "b" }, usable, { { "b", Millis(10) } }, Millis(0)) == "b");
    BOOST_TEST(chooseWatchHost({ "a" }, usable, {}, Millis(0)) == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OwnReadsOfFollowers)

namespace {

constexpr Millis kChangeTime { 2000 };
constexpr Millis kReadTimeout { 800 };
constexpr Millis kTick { 100 };

// The longest time that a change takes to reach a host whose last confirmation is at zero, if its reads take `readTime`
// and see the store as of their start.
Millis slowestChange(Millis readTime)
{
    OwnReadTimes times { Millis(0), Millis(-10000) };
    Millis slowest {};
    for (Millis now(0); now < Millis(60000); now += kTick) {
        if (!isOwnReadDue(times, kChangeTime, kReadTimeout, now))
            continue;
        // A change just after the last confirmation is in force when this read ends.
        slowest = std::max(slowest, now + readTime - times.confirmedAt);
        times.confirmedAt = now;
        now += readTime;
    }
    return slowest;
}

} // namespace

// Guards against a host that serves by an old configuration, or sends to an upstream that has left, because no watching
// host tells it of the change.
BOOST_AUTO_TEST_CASE(hostThatHearsNothingHasEachChangeInTime)
{
    for (Millis readTime(0); readTime < kReadTimeout; readTime += Millis(50))
        BOOST_TEST(slowestChange(readTime).count() <= kChangeTime.count());
}

BOOST_AUTO_TEST_CASE(hostThatIsToldInTimeReadsNothing)
{
    for (Millis age(0); age < Millis(900); age += kTick)
        BOOST_TEST(!isOwnReadDue({ Millis(5000), Millis(0) }, kChangeTime, kReadTimeout, Millis(5000) + age));
}

BOOST_AUTO_TEST_CASE(hostPausesAfterAReadThatFailed)
{
    const OwnReadTimes times { Millis(0), Millis(9500) };
    BOOST_TEST(!isOwnReadDue(times, kChangeTime, kReadTimeout, Millis(10000)));
    BOOST_TEST(isOwnReadDue(times, kChangeTime, kReadTimeout, Millis(10500)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnswersThatAreSentOn)

namespace {

constexpr StoreRevision kFrom { 100 }, kTo { 120 };
const std::vector<KeyChange> kChanges { { "servers/a", "new", StoreRevision { 110 } },
    { "servers/b", std::nullopt, kTo } };

} // namespace

// Guards against small hosts whose links are full for seconds, because each host that starts sends all others the copy
// that it has read.
BOOST_AUTO_TEST_CASE(readIsNotSentOnAndTellsEachCopyWhatItLacks)
{
    const ChangeBatch read { kFrom, kTo, kChanges, true };
    const ChangeBatch sent = relayedPart(read);
    BOOST_TEST(sent.changes.empty());
    for (const std::uint64_t revision : { 0, 90, 100, 110, 119, 120, 130 }) {
        KeyVersions known;
        known.completeTo = StoreRevision { revision };
        BOOST_TEST(hasGap(known, sent) == hasGap(known, read), "copy at " << revision);
        BOOST_TEST(hasGap(known, sent) == (revision < kTo.value), "copy at " << revision);
    }
}

BOOST_AUTO_TEST_CASE(watchedChangesAreSentOn)
{
    const ChangeBatch sent = relayedPart({ kFrom, kTo, kChanges });
    BOOST_TEST(sent.changes.size() == 2u);
    BOOST_TEST((sent.from == kFrom && sent.to == kTo && !sent.fromRead));
}

BOOST_AUTO_TEST_SUITE_END()
