#include "gateway/directory.h"
#include "io/http_client.h"
#include "platform/adapter.h"

#include <boost/leaf/result.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace pistachiospur;

namespace {

// A store whose reads the test answers when and as it likes.
struct FakeStore : LeasedStore {
    std::vector<std::function<void(ReadResult)>> reads;
    std::vector<std::pair<ConditionalWrite, std::function<void(WriteResult)>>> writes;
    std::vector<std::function<void(LeaseOpenResult)>> leaseCalls;
    OnBatch onBatch;
    OnWatchEnd onWatchEnd;
    CallCounts counts;
    Millis confirmedAt {};
    StoreEra currentEra;

    void read(const std::string&, std::function<void(ReadResult)> callback) override { reads.push_back(callback); }
    void write(const ConditionalWrite& write, std::function<void(WriteResult)> callback) override
    {
        writes.emplace_back(write, std::move(callback));
    }
    void watch(StoreRevision, OnBatch batch, OnWatchEnd end) override
    {
        onBatch = std::move(batch);
        onWatchEnd = std::move(end);
    }
    void stopWatch() override { onBatch = nullptr; }
    bool isWatching() const override { return onBatch != nullptr; }
    std::uint64_t calls() const override { return reads.size(); }
    Millis watchConfirmedAt() const override { return confirmedAt; }
    const CallCounts& callCounts() const override { return counts; }
    StoreEra era() const override { return currentEra; }
    void openLease(Millis, std::function<void(LeaseOpenResult)> callback) override
    {
        leaseCalls.push_back(std::move(callback));
    }
    void renewLease(LeaseId, std::function<void(LeaseRenewalResult)>) override { }
    void revokeLease(LeaseId, std::function<void()>) override { }

    void answerLastRead(ReadResult result)
    {
        const auto callback = reads.back();
        callback(std::move(result));
    }
};

FakeStore* openedStore = nullptr;

// Entries of upstreams hold "draining" or any other word, then the start of the process and its heartbeats: "up 5 3".
PlatformAdapter fakeAdapter()
{
    PlatformAdapter adapter = platform::kvPlatformAdapter();
    adapter.openStore = [](HttpClient&, const Endpoint&, Millis) -> std::unique_ptr<LeasedStore> {
        auto store = std::make_unique<FakeStore>();
        openedStore = store.get();
        return store;
    };
    adapter.decodeUpstream
        = [](const UpstreamName& name, const std::string& text) -> boost::leaf::result<UpstreamInstance> {
        UpstreamInstance instance;
        instance.id.name = name;
        instance.service = "pool";
        std::istringstream words(text);
        std::string state;
        words >> state >> instance.id.startTime.value >> instance.heartbeats;
        instance.draining = state == "draining";
        return instance;
    };
    adapter.decodeConfiguration = [](const std::string& text) -> boost::leaf::result<RoutingTable> {
        RoutingTable table;
        table.version = { std::stoull(text) };
        return table;
    };
    return adapter;
}

GatewaySettings settingsOf(const HostName& host)
{
    GatewaySettings settings;
    settings.host = host;
    for (const auto& it : gatewayOptions())
        settings.limits.*it.field = it.defaultValue;
    return settings;
}

struct Fixture {
    GatewaySettings settings = settingsOf("h1");
    PlatformAdapter adapter = fakeAdapter();
    HttpClient http { 1u << 20 };
    Directory directory;
    FakeStore& store { *openedStore };
    std::string upstreamKey = adapter.upstreamPrefix + "u1";

    explicit Fixture(std::uint64_t incarnation = 1)
        : directory(settings, adapter, http, Incarnation { incarnation })
    {
        directory.start([] {});
    }

    Snapshot snapshot(std::uint64_t revision, std::map<std::string, StoredValue> values = {}) const
    {
        return { StoreRevision { revision }, std::move(values) };
    }

    // Applies one relayed change of a key; without text the key was deleted.
    void relay(std::uint64_t from, std::uint64_t to, const std::string& key, std::optional<std::string> text,
        Millis lapseGrace = Millis(0))
    {
        const ChangeBatch batch { { from }, { to }, { { key, std::move(text), { to } } } };
        directory.applyRelayedBatch(batch, Millis(0), lapseGrace);
    }

    bool isInUse(const UpstreamName& name) const
    {
        const auto it = directory.instances().find(name);
        return it != directory.instances().end()
            && (!it->second.noNewWorkFrom || monotonicNow() < *it->second.noNewWorkFrom);
    }
};

// The one key that the writes of several hosts are carried out on.
struct StoredKey {
    std::string text;
    std::uint64_t revision = 0; // zero: the key does not exist
    std::uint64_t lastRevision = 200;

    // Carries out a host's write, whenever it arrives.
    void carryOut(const FakeStore& store, std::size_t n)
    {
        const auto [write, callback] = store.writes.at(n);
        const auto& put = write.puts.at(0);
        for (const auto& it : write.expected) {
            if (it.version.value != revision) {
                WriteConflict conflict { { lastRevision }, {} };
                if (revision)
                    conflict.current.push_back({ put.key, text, { revision } });
                return callback(std::move(conflict));
            }
        }
        text = *put.text;
        revision = ++lastRevision;
        callback(Written { { revision } });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DirectoryOfTheStore)

// Guards against a leader that is taken for ended while it renews: the store carried out an unanswered write of the
// entry of its host's earlier process late, over the entry of the present one.
BOOST_AUTO_TEST_CASE(lateWriteOfAnEarlierProcessDoesNotReplaceTheHostsEntry)
{
    Fixture earlier(1), present(2);
    StoredKey entry;
    earlier.store.leaseCalls.at(0)(LeaseOpened { { 1 }, Millis(3000) });
    entry.carryOut(earlier.store, 0);
    earlier.directory.publishLeaving(); // the write that is late
    BOOST_REQUIRE(earlier.store.writes.size() == 2u);
    present.store.leaseCalls.at(0)(LeaseOpened { { 2 }, Millis(3000) });
    for (std::size_t n = 0; !present.directory.hasHostEntry() && n < present.store.writes.size(); ++n) {
        entry.carryOut(present.store, n);
        present.directory.tick();
    }
    BOOST_REQUIRE(present.directory.hasHostEntry());
    const std::string text = entry.text;
    const std::uint64_t revision = entry.revision;
    entry.carryOut(earlier.store, 1);
    BOOST_TEST(entry.text == text);
    BOOST_TEST(entry.revision == revision);
}

// Guards against a host whose "leaving" flag is taken back by an earlier write of its own.
BOOST_AUTO_TEST_CASE(hostEntrySaysLeavingInWhicheverOrderItsWritesArrive)
{
    Fixture host;
    StoredKey entry;
    host.store.leaseCalls.at(0)(LeaseOpened { { 1 }, Millis(3000) });
    host.directory.publishLeaving();
    BOOST_REQUIRE(host.store.writes.size() == 2u);
    entry.carryOut(host.store, 1);
    entry.carryOut(host.store, 0);
    for (std::size_t n = 2; n < 4; ++n) {
        host.directory.tick();
        if (n < host.store.writes.size())
            entry.carryOut(host.store, n);
    }
    BOOST_TEST(host.directory.hasHostEntry());
    BOOST_TEST(entry.text.find("\"leaving\":true") != std::string::npos);
}

// Guards against requests to an upstream that has left: a read that was overtaken by relayed changes brought it back.
BOOST_AUTO_TEST_CASE(lateReadDoesNotBringBackADeletedUpstream)
{
    Fixture host;
    host.store.answerLastRead(host.snapshot(100, { { host.upstreamKey, { "up", { 90 } } } }));
    BOOST_REQUIRE(host.isInUse("u1"));
    host.directory.setWatching(false);
    host.directory.readAlone();
    BOOST_REQUIRE(host.store.reads.size() == 3u);
    host.relay(100, 110, host.upstreamKey, "draining");
    host.relay(110, 120, host.upstreamKey, std::nullopt);
    host.store.answerLastRead(host.snapshot(100, { { host.upstreamKey, { "up", { 90 } } } }));
    BOOST_TEST(!host.isInUse("u1"));
    BOOST_TEST(host.directory.revision().value == 120u);
}

// Guards against requests to an upstream that has left without notice: one failed call of a host was taken for an
// outage in which the entries of living upstreams expire.
BOOST_AUTO_TEST_CASE(oneFailedCallIsNoOutage)
{
    Fixture host;
    host.store.answerLastRead(host.snapshot(100, { { host.upstreamKey, { "up", { 90 } } } }));
    host.directory.setWatching(false);
    host.directory.recordStoreFailure("lease", {});
    host.relay(100, 110, host.upstreamKey, std::nullopt);
    BOOST_TEST(!host.isInUse("u1"));
}

BOOST_AUTO_TEST_CASE(upstreamsWhoseEntriesExpiredInAnOutageStayInUseForAWhile)
{
    Fixture host;
    host.settings.limits.upstreamHeartbeatMs = 0; // so that any time counts as an outage
    host.store.answerLastRead(host.snapshot(100, { { host.upstreamKey, { "up", { 90 } } } }));
    host.directory.recordStoreFailure("watch", {});
    host.directory.setWatching(false);
    host.directory.setWatching(true);
    host.store.onBatch({ { 100 }, { 120 }, { { host.upstreamKey, std::nullopt, { 120 } } } });
    BOOST_TEST(host.isInUse("u1"));
    BOOST_TEST(host.directory.lapseGrace().count() > 0);
}

// Guards against requests to an upstream that said that it leaves: its entry says `ready`, or comes back from an older
// copy of the store.
BOOST_AUTO_TEST_CASE(departureOutlivesTheEntryAndEndsWithTheInstance)
{
    Fixture host;
    host.store.answerLastRead(host.snapshot(100));
    host.directory.setWatching(false);
    BOOST_TEST(host.directory.recordDeparture({ "u1", { 5 } })); // known before its entry
    BOOST_TEST(!host.directory.recordDeparture({ "u1", { 5 } }));
    host.relay(100, 110, host.upstreamKey, "up 5");
    BOOST_TEST(!host.isInUse("u1"));
    host.relay(110, 120, host.upstreamKey, std::nullopt, Millis(1000)); // perhaps lapsed
    BOOST_TEST(!host.isInUse("u1"));
    host.relay(120, 130, host.upstreamKey, "up 5");
    BOOST_TEST(!host.isInUse("u1"));
    host.relay(130, 140, host.upstreamKey, "up 6");
    BOOST_TEST(host.isInUse("u1"));
    BOOST_TEST(host.directory.recordDeparture({ "u1", { 6 } }));
    BOOST_TEST(!host.isInUse("u1"));
}

BOOST_AUTO_TEST_CASE(followerGivesTheGraceThatTheWatchingHostGrants)
{
    for (const Millis grace : { Millis(0), Millis(1000) }) {
        Fixture host;
        host.store.answerLastRead(host.snapshot(100, { { host.upstreamKey, { "up", { 90 } } } }));
        host.directory.setWatching(false);
        host.relay(100, 110, host.upstreamKey, std::nullopt, grace);
        BOOST_TEST(host.isInUse("u1") == (grace > Millis(0)));
    }
}

// Guards against a read of the whole store for each message that a host misses.
BOOST_AUTO_TEST_CASE(batchBehindAGapIsNotAppliedAndReadsNothing)
{
    Fixture host;
    host.store.answerLastRead(host.snapshot(100, { { host.upstreamKey, { "up", { 90 } } } }));
    host.directory.setWatching(false);
    const ChangeBatch batch { { 105 }, { 110 }, { { host.upstreamKey, std::nullopt, { 110 } } } };
    BOOST_TEST(!host.directory.applyRelayedBatch(batch, Millis(0), Millis(0)));
    BOOST_TEST(host.isInUse("u1"));
    BOOST_TEST(host.directory.revision().value == 100u);
    BOOST_TEST(host.store.reads.size() == 1u);
}

// Guards against a busy host that takes over the watch and never gets through a read of the whole store.
BOOST_AUTO_TEST_CASE(hostThatTakesOverTheWatchReadsOnlyWhatItLacks)
{
    Fixture host;
    host.store.answerLastRead(host.snapshot(100, { { host.upstreamKey, { "up", { 90 } } } }));
    host.directory.setWatching(false);
    host.directory.setWatching(true);
    BOOST_TEST(host.store.reads.size() == 1u);
    BOOST_REQUIRE(host.store.isWatching());
    host.store.onBatch({ { 100 }, { 120 }, { { host.upstreamKey, std::nullopt, { 120 } } } });
    BOOST_TEST(!host.isInUse("u1"));
    BOOST_TEST(host.directory.revision().value == 120u);
}

BOOST_AUTO_TEST_CASE(hostThatTakesOverTheWatchReadsTheStoreIfItsHistoryIsLost)
{
    Fixture host;
    host.store.answerLastRead(host.snapshot(100, { { host.upstreamKey, { "up", { 90 } } } }));
    host.directory.setWatching(false);
    host.directory.setWatching(true);
    StoreError lost;
    lost.historyLost = true;
    host.store.onWatchEnd(lost);
    BOOST_REQUIRE(host.store.reads.size() == 2u);
    host.store.answerLastRead(host.snapshot(120));
    BOOST_TEST(!host.isInUse("u1"));
}

BOOST_AUTO_TEST_CASE(hostHandsOnWhatAnotherCopyLacks)
{
    Fixture host, other;
    for (Fixture* it : { &host, &other }) {
        it->store.answerLastRead(it->snapshot(100, { { it->upstreamKey, { "up", { 90 } } } }));
        it->directory.setWatching(false);
    }
    host.relay(100, 110, host.adapter.configurationKey, "2");
    host.relay(110, 120, host.upstreamKey, std::nullopt);
    const auto batch = host.directory.changesSince(other.directory.revision());
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(other.directory.applyRelayedBatch(*batch, Millis(0), Millis(0)));
    BOOST_REQUIRE(other.directory.routes().has_value());
    BOOST_TEST(other.directory.routes()->version.value == 2u);
    BOOST_TEST(!other.isInUse("u1"));
    BOOST_TEST(!host.directory.changesSince({ 50 }).has_value()); // before its first read
}

// Guards against a configuration that comes too late on a busy host, whose reads of the whole store time out.
BOOST_AUTO_TEST_CASE(ownReadBringsTheConfigurationEvenIfTheWholeStoreIsNotRead)
{
    Fixture host;
    const std::string key = host.adapter.configurationKey;
    host.store.answerLastRead(host.snapshot(100, { { key, { "1", { 90 } } } }));
    host.directory.setWatching(false);
    host.directory.readAlone();
    BOOST_REQUIRE(host.store.reads.size() == 3u);
    host.store.answerLastRead(StoreError {}); // the whole store
    const auto configurationRead = host.store.reads[1];
    configurationRead(host.snapshot(130, { { key, { "2", { 120 } } } }));
    BOOST_REQUIRE(host.directory.routes().has_value());
    BOOST_TEST(host.directory.routes()->version.value == 2u);
    BOOST_TEST(host.directory.revision().value == 100u);
}

namespace {

constexpr StoreEra kFirstEra { 1 }, kSecondEra { 2 };

StoreRevision inFirst(std::uint64_t revision) { return inEra(kFirstEra, { revision }); }
StoreRevision inSecond(std::uint64_t revision) { return inEra(kSecondEra, { revision }); }

// A host whose store comes back from an older copy: its revisions are lower than the known ones.
struct RestoredFixture : Fixture {
    explicit RestoredFixture(const std::string& text)
    {
        store.currentEra = kFirstEra;
        store.answerLastRead(Snapshot { inFirst(100), { { upstreamKey, { text, inFirst(90) } } } });
        directory.setWatching(false);
    }

    void relayInFirst(std::uint64_t to, std::optional<std::string> text)
    {
        const ChangeBatch batch { inFirst(100), inFirst(to), { { upstreamKey, std::move(text), inFirst(to) } } };
        directory.applyRelayedBatch(batch, Millis(0), Millis(0));
    }

    void restore(std::map<std::string, StoredValue> values)
    {
        store.currentEra = kSecondEra;
        directory.setWatching(true);
        store.answerLastRead(Snapshot { inSecond(60), std::move(values) });
    }
};

} // namespace

// Guards against requests to an upstream that leaves: an older copy of the store names it as ready.
BOOST_AUTO_TEST_CASE(departureIsNotUnlearnedWhenTheStoreComesBackFromAnOlderCopy)
{
    RestoredFixture host("up 5 3");
    host.relayInFirst(110, "draining 5 3");
    host.restore({ { host.upstreamKey, { "up 5 3", inSecond(50) } } });
    BOOST_TEST(host.directory.revision() == inSecond(60));
    BOOST_TEST(!host.isInUse("u1"));
}

// Guards against requests to an upstream that has left: an older copy of the store still has its entry.
BOOST_AUTO_TEST_CASE(upstreamThatLeftStaysGoneUntilAHigherHeartbeatCountShowsThatItLives)
{
    for (const bool lives : { false, true }) {
        RestoredFixture host("up 5 3");
        host.relayInFirst(110, std::nullopt);
        host.restore({ { host.upstreamKey, { lives ? "up 5 9" : "up 5 3", inSecond(50) } } });
        BOOST_TEST(host.isInUse("u1") == lives);
    }
}

// Guards against an upstream whose process has ended and that is in use again in place of its next one.
BOOST_AUTO_TEST_CASE(earlierProcessOfAnUpstreamDoesNotComeBackWithAnOlderCopy)
{
    RestoredFixture host("up 7 1");
    host.restore({ { host.upstreamKey, { "up 5 3", inSecond(50) } } });
    BOOST_TEST(host.directory.instances().at("u1").instance.id.startTime.value == 7);
}

// Guards against living upstreams without work: the store has lost their entries for a moment.
BOOST_AUTO_TEST_CASE(upstreamWhoseEntryTheStoreLostStaysInUseForAWhile)
{
    RestoredFixture host("up 5 3");
    host.restore({});
    BOOST_TEST(host.isInUse("u1"));
    BOOST_TEST(host.directory.lapseGrace().count() > 0);
}

// Guards against a configuration that comes back older.
BOOST_AUTO_TEST_CASE(configurationInForceIsNotUnlearnedWhenTheStoreComesBackFromAnOlderCopy)
{
    Fixture host;
    const std::string key = host.adapter.configurationKey;
    host.store.answerLastRead(Snapshot { inFirst(100), { { key, { "7", inFirst(90) } } } });
    host.directory.setWatching(false);
    host.directory.setWatching(true);
    host.store.answerLastRead(Snapshot { inSecond(60), { { key, { "5", inSecond(50) } } } });
    BOOST_TEST(host.directory.routes()->version.value == 7u);
    host.store.onBatch(ChangeBatch { inSecond(60), inSecond(61), { { key, "8", inSecond(61) } } });
    BOOST_TEST(host.directory.routes()->version.value == 8u);
}

// Guards against values that are cut to the width of their field: a port of 70000 was taken for 4464.
BOOST_AUTO_TEST_CASE(entryOfAHostWithAPortOutOfRangeIsRefused)
{
    const auto entry = [](const std::string& port) {
        return R"({"data_centre":"z","address":"10.0.0.1","incarnation":1,"port":)" + port + "}";
    };
    for (const char* port : { "0", "-1", "65536", "70000", "1e400", "18446744073709551616", "\"80\"" }) {
        Fixture host;
        const std::string prefix = "pistachiospur/hosts/";
        host.store.answerLastRead(host.snapshot(100,
            { { prefix + "a", { entry("80"), { 90 } } }, { prefix + "odd", { entry(port), { 91 } } },
                { prefix + "z", { entry("80"), { 92 } } }, { host.upstreamKey, { "up", { 93 } } } }));
        BOOST_TEST(!host.directory.hosts().count("odd"), port);
        BOOST_TEST(host.directory.hosts().size() == 2u, port);
        BOOST_TEST(host.isInUse("u1"), port);
    }
}

// Guards against records that no later one replaces, because they name an era that the store has not come to.
BOOST_AUTO_TEST_CASE(recordOfAnEraYetToComeDoesNotOutrankLaterOnes)
{
    const std::string hostKey = "pistachiospur/hosts/a";
    const auto hostText = [](const std::string& era, const std::string& incarnation) {
        return R"({"data_centre":"z","address":"10.0.0.1","port":80,"incarnation":)" + incarnation + R"(,"era":)" + era
            + "}";
    };
    const auto leaderText = [](const std::string& era, const std::string& host) {
        return R"({"host":")" + host + R"(","incarnation":1,"lease":1,"claim":"c","era":)" + era + "}";
    };
    for (const char* era : { "-1", "7", "18446744073709551615" }) {
        Fixture host;
        host.store.answerLastRead(host.snapshot(100,
            { { hostKey, { hostText(era, "1"), { 90 } } }, { leaderKey("s"), { leaderText(era, "odd"), { 91 } } } }));
        host.directory.setWatching(false);
        host.relay(100, 110, hostKey, hostText("0", "2"));
        host.relay(110, 120, leaderKey("s"), leaderText("0", "b"));
        BOOST_REQUIRE(host.directory.hosts().count("a"));
        BOOST_TEST(host.directory.hosts().at("a").incarnation.value == 2u, era);
        BOOST_REQUIRE(host.directory.leaderOf("s"));
        BOOST_TEST(host.directory.leaderOf("s")->host == "b", era);
    }
}

// Hundreds of hosts that ask again for a large table, while the answer arrives, make it arrive ever later.
BOOST_AUTO_TEST_CASE(tableIsReadAgainOnlyOnceTheStoreHasAnswered)
{
    Fixture site;
    const std::size_t before = site.store.reads.size();
    site.directory.readTable("s");
    site.directory.readTable("s");
    BOOST_REQUIRE(site.store.reads.size() == before + 1);
    site.store.answerLastRead(StoreError {});
    site.directory.readTable("s");
    BOOST_TEST(site.store.reads.size() == before + 2);
}

BOOST_AUTO_TEST_SUITE_END()
