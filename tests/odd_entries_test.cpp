#include "gateway_fixture.h"

#include <cstdio>
#include <set>
#include <unistd.h>

// One entry among others in the store that no sound writer makes, in a host's read of the store and in its watch: it
// costs itself alone, and the hosts go on and follow the store.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

struct OddEntry {
    std::string key;
    std::string text;
};

// A record, which misses its closing brace, with one more field of any text.
std::string withField(std::string record, const std::string& field, const std::string& value)
{
    record.append(",\"").append(field).append("\":").append(value).append("}");
    return record;
}

// An upstream's entry with one field replaced, or added, by any text.
std::string upstreamEntryWith(const std::string& field, const std::string& value)
{
    Json entry = { { "service", "keyed" }, { "address", "127.0.0.1:9" }, { "zone", "z1" }, { "version", "v1" },
        { "slots", 2 }, { "state", "ready" }, { "warmup-left-ms", 0 }, { "sequence", 4 }, { "born", 1000 } };
    entry.erase(field);
    std::string text = entry.dump();
    text.pop_back();
    return withField(text, field, value);
}

std::vector<OddEntry> oddEntries()
{
    constexpr std::size_t kDepth = 500000; // near the longest value that the store takes
    const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    std::vector<OddEntry> entries;
    const auto addUpstream = [&](const std::string& text) {
        entries.push_back({ "servers/odd" + std::to_string(entries.size()), text });
    };
    for (const char* field : { "service", "address", "zone", "slots", "state", "sequence", "born" })
        addUpstream(upstreamEntryWith(field, nested));
    addUpstream(nested);
    for (const char* port : { "0", "-1", "65536", "70000", "99999999999999999999" })
        addUpstream(upstreamEntryWith("address", "\"127.0.0.1:" + std::string(port) + "\""));
    for (const char* number : { "1e400", "-1e400", "99999999999999999999999", "-1", "1e300", "0.1e-400" })
        addUpstream(upstreamEntryWith("slots", number));
    addUpstream("");
    addUpstream("{\"service\":\"keyed");
    // Hosts and leaders of a service that there is not.
    const std::string host = R"({"data_centre":"z9","address":"127.0.0.1","port":9,"incarnation":1)";
    const std::string leader = R"({"host":"h7","incarnation":1,"lease":1)";
    for (const std::string& value : { nested, std::string("5"), std::string("null"), std::string("-1"),
             std::string("1e400"), std::string("\"x\"") }) {
        for (const char* field : { "data_centre", "address", "port", "incarnation", "weight", "leaving", "era" })
            entries.push_back(
                { "pistachiospur/hosts/odd" + std::to_string(entries.size()), withField(host, field, value) });
        for (const char* field : { "host", "incarnation", "lease", "claim", "era" })
            entries.push_back(
                { "pistachiospur/keepers/odd" + std::to_string(entries.size()), withField(leader, field, value) });
        entries.push_back({ "pistachiospur/ranges/odd" + std::to_string(entries.size()), value });
    }
    return entries;
}

// The lines that are logged meanwhile; standard output gets them, and the test's own, at the end.
class LogCapture {
public:
    LogCapture()
        : m_file(std::tmpfile())
        , m_output(dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        dup2(fileno(m_file), STDOUT_FILENO);
    }
    LogCapture(const LogCapture&) = delete;
    LogCapture& operator=(const LogCapture&) = delete;
    ~LogCapture()
    {
        dup2(m_output, STDOUT_FILENO);
        close(m_output);
        std::rewind(m_file);
        for (int c = std::fgetc(m_file); c != EOF; c = std::fgetc(m_file))
            std::putchar(c);
        std::fclose(m_file);
    }

    std::vector<Json> linesOf(const std::string& event) const
    {
        std::vector<Json> lines;
        char buf[8192];
        std::rewind(m_file);
        while (std::fgets(buf, sizeof buf, m_file)) {
            const Json line = Json::parse(buf, nullptr, false);
            if (line.is_object() && line.value("event", "") == event)
                lines.push_back(line);
        }
        return lines;
    }

private:
    std::FILE* m_file;
    int m_output;
};

struct OddSite : Fixture {
    OddSite()
        : Fixture(0)
    {
    }

    Json status(std::size_t host)
    {
        HttpCall request;
        request.method = "GET";
        request.endpoint = adminEndpoints[host];
        request.target = "/status";
        const Json page = Json::parse(sendCall(request).body, nullptr, false);
        return page.is_object() ? page : Json::object();
    }

    // Whether a host has the configuration's version and the sound upstreams, and none of the odd ones in use.
    bool isUpToDate(std::size_t host, unsigned version)
    {
        const Json page = status(host);
        std::set<std::string> names;
        for (const auto& it : page.value("upstreams", Json::array())) {
            if (!it.value("entry_gone", false))
                names.insert(it.value("upstream", ""));
        }
        std::set<std::string> expected;
        for (const auto& it : upstreams)
            expected.insert(it->name());
        return page.value("configuration", 0u) == version && names == expected;
    }

    bool areUpToDate(unsigned version)
    {
        return runLoopUntil([&] {
            for (std::size_t n = 0; n < gateways.size(); ++n) {
                if (!isUpToDate(n, version))
                    return false;
            }
            return true;
        });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(OddEntries)

BOOST_AUTO_TEST_CASE(oddEntryInAReadCostsItselfAlone)
{
    OddSite site;
    for (const auto& it : oddEntries())
        site.store.put(it.key, it.text);
    site.addHost(0);
    site.addHost(1);
    BOOST_TEST(site.areUpToDate(1));
    BOOST_TEST(site.waitUntilServed(0));
    BOOST_TEST(site.waitUntilServed(1));
    site.store.put("op/config", configuration(2, "/get/"));
    BOOST_TEST(site.areUpToDate(2));
}

BOOST_AUTO_TEST_CASE(oddEntryInAWatchCostsItselfAlone)
{
    OddSite site;
    site.addHost(0);
    site.addHost(1);
    BOOST_REQUIRE(site.waitUntilServed(0));
    BOOST_REQUIRE(site.waitUntilServed(1));
    // The configuration is last in each group, and in one batch with it most of the time.
    constexpr std::size_t kGroup = 7;
    const auto entries = oddEntries();
    unsigned version = 1;
    for (std::size_t first = 0; first < entries.size(); first += kGroup) {
        for (std::size_t n = first; n < std::min(first + kGroup, entries.size()); ++n)
            site.store.put(entries[n].key, entries[n].text);
        site.store.put("op/config", configuration(++version, "/get/"));
        BOOST_REQUIRE_MESSAGE(site.areUpToDate(version), "a group from " << entries[first].key);
    }
    site.add("keyed", "k9");
    BOOST_TEST(site.areUpToDate(version));
    BOOST_TEST(site.waitUntilServed(0));
    BOOST_TEST(site.waitUntilServed(1));
}

// An upstream writes its entry every second, and a value may be longer than a line of the log.
BOOST_AUTO_TEST_CASE(oddEntryIsLoggedOnceForEachReason)
{
    const std::string longText = '"' + std::string(100000, 'a') + '"';
    OddSite site;
    LogCapture log;
    site.addHost(0);
    unsigned version = 1;
    const auto putAndWait = [&](const std::string& text) {
        site.store.put("servers/odd", text);
        site.store.put("op/config", configuration(++version, "/get/"));
        BOOST_REQUIRE(site.areUpToDate(version));
    };
    BOOST_REQUIRE(site.areUpToDate(version));
    for (int n = 0; n < 3; ++n)
        putAndWait(upstreamEntryWith("slots", longText));
    BOOST_TEST(log.linesOf("upstream_entry_refused").size() == 1u);
    putAndWait(upstreamEntryWith("address", longText));
    BOOST_TEST(log.linesOf("upstream_entry_refused").size() == 2u);
    putAndWait(upstreamEntryWith("slots", "1e400"));
    const auto lines = log.linesOf("upstream_entry_refused");
    BOOST_REQUIRE(lines.size() == 3u);
    for (const auto& it : lines)
        BOOST_TEST(it.value("upstream", "") == "odd");
}

// Guards against two holders of a slot: an entry of another writer named another upstream's address under the name of
// one that lives, and the refusal from there was taken for proof that it had ended.
BOOST_AUTO_TEST_CASE(slotsOfAnUpstreamWhoseEntryNamesAnothersAddressHaveOneHolder)
{
    Fixture site;
    BOOST_REQUIRE(site.waitUntilServed());
    RangeUpstream* owner = site.holder(kSlot);
    BOOST_REQUIRE(owner);
    const RangeUpstream& other = *site.upstreams[owner == site.upstreams[0].get() ? 1 : 0];
    int most = 0;
    const auto watchFor = [&](Millis time) {
        const Millis end = monotonicNow() + time;
        site.runLoopUntil([&] {
            most = std::max(most, site.holderCount(kSlot));
            return monotonicNow() >= end;
        });
    };
    Json entry = Json::parse(owner->entry());
    entry["address"] = Json::parse(other.entry())["address"];
    site.store.put("servers/" + owner->name(), entry.dump());
    watchFor(Millis(900)); // until the upstream's next heartbeat, and longer than the leader takes to renew
    site.store.put("servers/" + owner->name(), owner->entry());
    watchFor(Millis(4000)); // longer than any grant
    BOOST_TEST(most == 1);
    BOOST_TEST(site.runLoopUntil([&] {
        bool holdsAny = false;
        for (std::uint32_t slot = 0; slot < kKeySlots; slot += 256)
            holdsAny |= owner->holds(slot);
        return holdsAny;
    }));
}

BOOST_AUTO_TEST_SUITE_END()
