#include "gateway_fixture.h"
#include "raw_site.h"

#include <map>

// Requests that end each upstream that runs them and come again, as the upstreams and callers of a site see them. Real
// sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

// The target: once a request has ended three upstreams, at most three more sends of it reach upstreams later than this
// after the third end.
constexpr Millis kStableWindow { 3000 };
constexpr std::size_t kEndsBeforeWindow = 3;
constexpr std::size_t kMaxLateSends = 3;
constexpr Millis kObserved { 25000 };
constexpr Millis kDownTime { 2000 };
constexpr Millis kRunTime { 60 };
constexpr Millis kRoundInterval { 50 };
constexpr unsigned kRoundsPerCopy = 10;

const std::string kBody = "the body of the request that ends upstreams";

// A site whose upstreams end when they run one request, which comes every half second at one host after the other.
// Each comes back after kDownTime under another name and address. Requests that are sound run all the while.
class CrashSite : public Fixture {
public:
    explicit CrashSite(std::string poison)
        : Fixture(3)
        , m_poison(std::move(poison))
    {
        for (int n = 3; n < 8; ++n)
            add("keyed", "k" + std::to_string(n));
        for (int n = 1; n < 8; ++n)
            add("pool", "p" + std::to_string(n));
        for (auto& it : upstreams)
            it->runTime = kRunTime;
        m_watch.every(Millis(2));
    }

    // Sends copies and sound requests for so long, and waits for the last answers.
    void play(Millis duration)
    {
        m_traffic.every(kRoundInterval);
        runLoopUntil([] { return false; }, duration);
        m_traffic.stop();
        BOOST_TEST(runLoopUntil([&] { return m_open == 0; }));
    }

    void sendSoundRequests() { m_soundTraffic.every(kRoundInterval); }

    void sendCopy(std::size_t host) { start(m_poison, kSlot, host, true); }

    HttpAnswer answerToCopy(std::size_t host)
    {
        HttpCall copy = call(m_poison, "a" + std::to_string(++m_number), host);
        if (copy.method == "POST")
            copy.body = kBody;
        return sendCall(std::move(copy));
    }

    std::size_t lateSends() const
    {
        if (m_ends.size() < kEndsBeforeWindow)
            return 0;
        const Millis from = m_ends[kEndsBeforeWindow - 1] + kStableWindow;
        return static_cast<std::size_t>(
            std::count_if(m_ends.begin(), m_ends.end(), [&](Millis it) { return it > from; }));
    }

    // What a host knows of the copies as suspects; null if it does not suspect them.
    Json suspicion(std::size_t host)
    {
        HttpCall status;
        status.endpoint = adminEndpoints[host];
        status.method = "GET";
        status.target = "/status";
        const Json listed = Json::parse(sendCall(status).body).at("quarantine");
        for (const auto& it : listed) {
            if (it.at("request") == "POST " + m_poison)
                return it;
        }
        return nullptr;
    }

    // How many upstreams a host knows to have ended by the copies.
    std::size_t knownEnds(std::size_t host)
    {
        const Json known = suspicion(host);
        return known.is_null() ? 0 : known.at("upstreams_ended").get<std::size_t>();
    }

    // Sends copies until so many upstreams have ended.
    bool endUpstreamsOneByOne(std::size_t n)
    {
        const Millis limit = monotonicNow() + kTestTimeout;
        while (m_ends.size() < n && monotonicNow() < limit) {
            sendCopy(0);
            const std::size_t known = m_ends.size();
            runLoopUntil([&] { return m_ends.size() > known; }, Millis(300));
        }
        return m_ends.size() >= n;
    }

    // While this is false, upstreams answer the copies as any other request.
    bool isHarmful = true;

    std::size_t ends() const { return m_ends.size(); }
    const std::map<int, unsigned>& copyStatuses() const { return m_copyStatuses; }

    std::string report() const
    {
        std::string text = m_poison + ": " + std::to_string(m_ends.size()) + " upstreams ended, "
            + std::to_string(lateSends()) + " late; others answered " + std::to_string(m_answered) + " of "
            + std::to_string(m_sent) + "; statuses";
        for (const auto& [status, n] : m_copyStatuses)
            text += " " + std::to_string(status) + "x" + std::to_string(n);
        return text;
    }

private:
    struct Return {
        Millis at {};
        bool keyed = false;
        std::string endedName;
    };

    void start(const std::string& target, std::uint32_t slot, std::size_t host, bool isCopy)
    {
        HttpCall request = call(target, "r" + std::to_string(++m_number), host);
        request.headers.back().second = std::to_string(slot);
        if (isCopy && request.method == "POST")
            request.body = kBody;
        m_sent += !isCopy;
        ++m_open;
        m_callers.start(std::move(request), [this, isCopy](HttpOutcome outcome) {
            const auto* answer = std::get_if<HttpAnswer>(&outcome);
            const int status = answer ? answer->status : 0;
            --m_open;
            if (isCopy)
                ++m_copyStatuses[status];
            else
                m_answered += status == 200;
        });
    }

    void sendSound()
    {
        ++m_round;
        const char* other = m_poison.find("/pool/") == 0 ? "/pool/x" : "/get/x";
        for (std::size_t host = 0; host < gateways.size(); ++host)
            start(other, (m_round * 7919 + static_cast<unsigned>(host) * 104729) % kKeySlots, host, false);
    }

    void sendRound()
    {
        sendSound();
        if (m_round % kRoundsPerCopy == 0)
            sendCopy(m_round / kRoundsPerCopy % gateways.size());
    }

    // Ends the upstreams that run a copy, and brings back those that have been down for long enough.
    void endUpstreams()
    {
        const Millis now = monotonicNow();
        for (auto it = upstreams.begin(); it != upstreams.end();) {
            const auto& received = (*it)->received;
            std::size_t& seen = m_seenRuns[(*it)->name()];
            const bool ends = isHarmful
                && std::any_of(received.begin() + static_cast<std::ptrdiff_t>(seen), received.end(),
                    [&](const ReceivedRequest& n) { return n.target == m_poison; });
            seen = received.size();
            if (!ends) {
                ++it;
                continue;
            }
            m_ends.push_back(now);
            m_returns.push_back({ now + kDownTime, (*it)->name()[0] == 'k', (*it)->name() });
            // A host of another test could listen there otherwise, and its answer would reach a caller.
            const std::uint16_t port = (*it)->endpoint().port;
            it = upstreams.erase(it);
            ports.reserve(port);
        }
        while (!m_returns.empty() && m_returns.front().at <= now) {
            const Return due = m_returns.front();
            m_returns.erase(m_returns.begin());
            store.remove("servers/" + due.endedName);
            const std::string name = (due.keyed ? "k" : "p") + std::to_string(++m_lastUpstream);
            add(due.keyed ? "keyed" : "pool", name, 1000 + m_lastUpstream).runTime = kRunTime;
        }
    }

    std::string m_poison;
    Timer m_watch { [this] { endUpstreams(); } };
    Timer m_traffic { [this] { sendRound(); } };
    Timer m_soundTraffic { [this] { sendSound(); } };
    HttpClient m_callers { 1u << 20 };
    std::vector<Millis> m_ends; // of upstreams, each by one copy
    std::vector<Return> m_returns;
    std::map<std::string, std::size_t> m_seenRuns; // of each upstream
    std::map<int, unsigned> m_copyStatuses;
    unsigned m_sent = 0, m_answered = 0, m_open = 0, m_number = 0, m_round = 0;
    int m_lastUpstream = 100;
};

void checkIsStopped(const std::string& poison)
{
    CrashSite site(poison);
    for (std::size_t n = 0; n < 3; ++n)
        BOOST_REQUIRE(site.waitUntilServed(n));
    site.play(kObserved);
    BOOST_TEST_MESSAGE(site.report());
    BOOST_TEST(site.ends() > 0u);
    BOOST_TEST(site.lateSends() <= kMaxLateSends);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingRequests)

// Guards against a safe request that ends the owners of its slot one after the other without an end.
BOOST_AUTO_TEST_CASE(safeKeyedRequestThatEndsUpstreamsIsStopped) { checkIsStopped("/get/poison"); }

// Guards against the same by an unsafe request, which its caller sends again.
BOOST_AUTO_TEST_CASE(unsafeKeyedRequestThatEndsUpstreamsIsStopped) { checkIsStopped("/unsafe/poison"); }

// Guards against the same at the upstreams of a pooled service, which need no grant before they run the next copy.
BOOST_AUTO_TEST_CASE(pooledRequestThatEndsUpstreamsIsStopped) { checkIsStopped("/pool/poison"); }

// Guards against a quarantine that is forgotten when all hosts start again at once, and that hosts do not know which
// start later. They refuse copies at once, as not run.
BOOST_AUTO_TEST_CASE(quarantineOutlastsARestartOfAllHosts)
{
    CrashSite site("/unsafe/poison");
    BOOST_REQUIRE(site.waitUntilServed());
    BOOST_REQUIRE(site.endUpstreamsOneByOne(2));
    BOOST_TEST(site.runLoopUntil([&] { return site.store.hasKeyWith("pistachiospur/quarantine/"); }));
    site.runLoopUntil([] { return false; }, Millis(1000));
    const std::size_t ends = site.ends();
    site.gateways.clear();
    for (int n = 3; n < 5; ++n)
        site.addHost(n);
    for (std::size_t n = 3; n < 5; ++n) {
        BOOST_REQUIRE(site.waitUntilServed(n));
        const HttpAnswer answer = site.answerToCopy(n);
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(answer.body == "quarantined");
    }
    BOOST_TEST(site.ends() == ends);
}

// Guards against an end that other hosts never hear of because it was found while the record of the one before was
// being written.
BOOST_AUTO_TEST_CASE(endThatIsFoundDuringAWriteReachesTheOtherHosts)
{
    CrashSite site("/pool/poison");
    for (std::size_t n = 0; n < 3; ++n)
        BOOST_REQUIRE(site.waitUntilServed(n));
    site.sendSoundRequests();
    std::string heldWrite;
    site.store.holds = [&](const HttpRequest& call) {
        const bool isHeld = call.path == "/kv-txn" && call.body.find("pistachiospur/quarantine/") != std::string::npos;
        heldWrite = isHeld ? call.body : heldWrite;
        return isHeld;
    };
    BOOST_REQUIRE(site.endUpstreamsOneByOne(1));
    // Sound requests that ran beside the copy become suspects too, maybe sooner; writes without the copy are let pass.
    BOOST_REQUIRE(site.runLoopUntil([&] {
        const Json known = site.suspicion(0);
        if (known.is_null() || site.store.heldCalls() == 0)
            return false;
        const bool isOfCopy = heldWrite.find(known.at("fingerprint").get<std::string>()) != std::string::npos;
        if (!isOfCopy)
            site.store.releaseHeld();
        return isOfCopy;
    }));
    BOOST_REQUIRE(site.endUpstreamsOneByOne(2));
    BOOST_TEST(site.runLoopUntil([&] { return site.knownEnds(0) == 2; }));
    site.store.holds = nullptr;
    site.store.releaseHeld();
    site.runLoopUntil([] { return false; }, Millis(1500));
    BOOST_TEST(site.answerToCopy(2).body == "quarantined");
}

// Guards against a quarantine that an operator cannot end, or ends at one host only.
BOOST_AUTO_TEST_CASE(quarantineThatAnOperatorClearsEndsAtAllHosts)
{
    CrashSite site("/pool/mended");
    BOOST_REQUIRE(site.waitUntilServed());
    BOOST_REQUIRE(site.endUpstreamsOneByOne(2));
    BOOST_TEST(site.runLoopUntil([&] {
        site.runLoopUntil([] { return false; }, Millis(700));
        return site.answerToCopy(2).body == "quarantined";
    }));
    site.isHarmful = false;
    HttpCall status;
    status.endpoint = site.adminEndpoints[1];
    status.method = "GET";
    status.target = "/status";
    const Json listed = Json::parse(site.sendCall(status).body).at("quarantine");
    BOOST_REQUIRE(listed.size() == 1u);
    HttpCall clear = status;
    clear.method = "DELETE";
    for (const auto& [target, expected] : std::map<std::string, int> { { "/quarantine/odd", 400 },
             { "/quarantine/1", 404 }, { "/quarantine/" + listed[0].at("fingerprint").get<std::string>(), 204 } }) {
        clear.target = target;
        BOOST_TEST(site.sendCall(clear).status == expected);
    }
    for (std::size_t host = 0; host < 3; ++host)
        BOOST_TEST(site.runLoopUntil([&] {
            site.runLoopUntil([] { return false; }, Millis(100));
            return site.answerToCopy(host).status == 200;
        }));
}

// Guards against a sound request that is refused because it ran beside the one that ended its upstream, or at upstreams
// that ended for another reason: its next answer clears it.
BOOST_AUTO_TEST_CASE(requestThatIsAnsweredBetweenTwoEndsIsServed)
{
    CrashSite site("/pool/unlucky");
    BOOST_REQUIRE(site.waitUntilServed());
    for (std::size_t n = 1; n <= 3; ++n) {
        site.isHarmful = true;
        BOOST_REQUIRE(site.endUpstreamsOneByOne(n));
        site.isHarmful = false;
        site.runLoopUntil([] { return false; }, Millis(700));
        for (std::size_t host = 0; host < 3; ++host)
            BOOST_TEST(site.answerToCopy(host).status == 200);
    }
}

// Guards against a request that is refused because connections broke at upstreams that go on.
BOOST_AUTO_TEST_CASE(brokenConnectionsOfUpstreamsThatGoOnAreNoEvidence)
{
    bool isBroken = true;
    const RawUpstream::Handler handler = [&](const RawRequest& request) -> std::vector<RawPart> {
        if (isBroken && request.http.path == "/pool/broken")
            return { { "", RawEnding::reset, Millis(40) } };
        return { { sealedAnswer(request.id, "{}") } };
    };
    RawSite site(2, handler);
    RawUpstream second("pool", "second", handler);
    site.store.put("servers/second", second.entry(1));
    site.store.put("servers/" + site.pooled.name(), site.pooled.entry(1));
    BOOST_REQUIRE(site.waitUntilServed());
    const auto broken = [](const RawUpstream& it) {
        return std::count_if(
            it.received.begin(), it.received.end(), [](const RawRequest& n) { return n.http.path == "/pool/broken"; });
    };
    // More requests at a time than one upstream runs, so that both run some.
    unsigned number = 0;
    for (unsigned round = 0; round < 6; ++round) {
        unsigned answered = 0;
        for (unsigned n = 0; n < 4; ++n) {
            ++number;
            site.client.start(site.call("/pool/broken", "b" + std::to_string(number), number % 2),
                [&](const HttpOutcome&) { ++answered; });
        }
        BOOST_TEST(site.runLoopUntil([&] { return answered == 4; }));
        site.runLoopFor(Millis(150));
    }
    BOOST_TEST(broken(site.pooled) >= 3);
    BOOST_TEST(broken(second) >= 3);
    const auto send = [&] { return site.send("/pool/broken", "after" + std::to_string(++number), 0).status; };
    isBroken = false;
    BOOST_TEST(send() == 200);
    BOOST_TEST(send() == 200);
}

BOOST_AUTO_TEST_SUITE_END()
