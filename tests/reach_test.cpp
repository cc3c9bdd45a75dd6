#include "cut_fixture.h"

#include <cmath>

// Tests of hosts that are cut off from upstreams, over real sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

// From this time after a cut on, requests are served as before it.
constexpr Millis kRecovery { 3000 };
constexpr Millis kObserved { 2500 };
constexpr Millis kRoundInterval { 50 };
// Within this time a request that no host can serve is refused.
constexpr Millis kMaxRefusalTime { 1000 };
constexpr double kMinServedShare = 0.95;
constexpr double kMaxGap = 0.02;

struct SentRequest {
    std::size_t host = 0;
    std::string target;
    std::uint32_t slot = 0;
    Millis sentAt {};
    std::optional<Millis> took; // nothing before the end
    int status = 0; // 0 without an answer
    bool hasRetryAfter = false;
};

// Callers that send each host a request every 50 ms and repeat none: safe and unsafe ones for the slots of the keyed
// service, and pooled ones. Each request is sent on time, whatever became of those before it.
class Traffic {
public:
    explicit Traffic(CutSite& site)
        : m_site(site)
    {
        m_timer.every(kRoundInterval);
    }

    void stop() { m_timer.stop(); }

    bool isOver() const
    {
        return std::all_of(
            m_requests.begin(), m_requests.end(), [](const auto& it) { return it.second.took.has_value(); });
    }

    const std::map<std::string, SentRequest>& requests() const { return m_requests; }
    std::size_t hostCount() const { return m_site.gateways.size(); }

    // Sends requests for so long.
    void run(Millis duration)
    {
        m_site.runLoopUntil([] { return false; }, duration);
    }

private:
    void sendRound()
    {
        static constexpr std::array kTargets { "/get/x", "/unsafe/x", "/pool/x" };
        ++m_round;
        for (std::size_t host = 0; host < m_site.gateways.size(); ++host) {
            const std::string target = kTargets.at((m_round + host) % kTargets.size());
            const std::string id = "t" + std::to_string(m_round) + "-" + std::to_string(host);
            HttpCall call = m_site.call(target, id, host);
            SentRequest& sent = m_requests[id];
            sent.slot = static_cast<std::uint32_t>((m_round * 5 + host) * 9973 % kKeySlots);
            call.headers.back().second = std::to_string(sent.slot);
            sent.host = host;
            sent.target = target;
            sent.sentAt = monotonicNow();
            m_client.start(std::move(call), [&sent](HttpOutcome outcome) {
                sent.took = monotonicNow() - sent.sentAt;
                if (const auto* answer = std::get_if<HttpAnswer>(&outcome)) {
                    sent.status = answer->status;
                    sent.hasRetryAfter = answer->headers.count("retry-after") > 0;
                }
            });
        }
    }

    CutSite& m_site;
    std::size_t m_round = 0;
    std::map<std::string, SentRequest> m_requests; // by id
    HttpClient m_client { 1u << 20 };
    Timer m_timer { [this] { sendRound(); } };
};

struct Share {
    unsigned sent = 0;
    unsigned served = 0;

    double value() const { return sent ? static_cast<double>(served) / sent : 0; }
};

// The requests sent within a time to some hosts, or to all others.
Share shareOf(const Traffic& traffic, const std::set<std::size_t>& hosts, bool others, Millis from, Millis to)
{
    Share share;
    for (const auto& [id, it] : traffic.requests()) {
        if ((hosts.count(it.host) > 0) == others || it.sentAt < from || to <= it.sentAt)
            continue;
        ++share.sent;
        share.served += it.status == 200;
    }
    return share;
}

void checkServedAlike(const Traffic& traffic, const std::set<std::size_t>& cut, Millis from, Millis to)
{
    const std::size_t hostCount = traffic.hostCount();
    const Share atCut = shareOf(traffic, cut, false, from, to);
    const Share atOthers = shareOf(traffic, cut, true, from, to);
    BOOST_TEST_MESSAGE("served " << atCut.served << " of " << atCut.sent << " at cut hosts, " << atOthers.served
                                 << " of " << atOthers.sent << " at others");
    BOOST_TEST(atCut.value() >= kMinServedShare);
    if (cut.size() == hostCount)
        return;
    BOOST_TEST(atOthers.value() >= kMinServedShare);
    BOOST_TEST(std::abs(atCut.value() - atOthers.value()) <= kMaxGap);
}

// Requests that may not be repeated ran once at most, answered ones did run, and those refused with 503 did not.
void checkRuns(const CutSite& site, const Traffic& traffic)
{
    std::map<std::string, unsigned> runs;
    for (const auto& upstream : site.upstreams) {
        for (const auto& it : upstream->received)
            ++runs[it.id];
    }
    unsigned repeated = 0, unserved = 0, deniedRuns = 0;
    for (const auto& [id, it] : traffic.requests()) {
        const bool mayRepeat = it.target == "/get/x";
        repeated += !mayRepeat && runs[id] > 1;
        unserved += it.status == 200 && runs[id] == 0;
        deniedRuns += !mayRepeat && it.status == 503 && runs[id] > 0;
    }
    BOOST_TEST(repeated == 0u);
    BOOST_TEST(unserved == 0u);
    BOOST_TEST(deniedRuns == 0u);
}

// Waits until each host serves slots of each keyed upstream, and the pooled service.
bool isServedEverywhere(CutSite& site)
{
    for (std::size_t host = 0; host < site.gateways.size(); ++host) {
        if (!site.waitUntilServed(host))
            return false;
    }
    const auto isServed = [&site](std::uint32_t slot) { return site.holderCount(slot) == 1; };
    return site.runLoopUntil([&] {
        return isServed(0) && isServed(kKeySlots / 2) && isServed(kKeySlots - 1)
            && site.send("/pool/x", "warm").status == 200;
    });
}

// All hosts but one, which is the range leader or not.
std::set<std::size_t> allButOne(const CutSite& site, bool sparesLeader)
{
    std::set<std::size_t> hosts;
    const auto leader = site.leader();
    BOOST_REQUIRE(leader);
    const std::size_t spared = sparesLeader ? *leader : (*leader + 1) % site.gateways.size();
    for (std::size_t n = 0; n < site.gateways.size(); ++n) {
        if (n != spared)
            hosts.insert(n);
    }
    return hosts;
}

// From 3 s after a cut was healed on, everything is served and each host sends its pooled requests itself, as before.
void checkHealed(CutSite& site, Traffic& traffic, const std::set<std::size_t>& hosts)
{
    traffic.run(kRecovery);
    const Millis from = monotonicNow();
    std::vector<unsigned> connections;
    for (std::size_t host = 0; host < site.gateways.size(); ++host)
        connections.push_back(site.connections(host, *site.upstreams.back()));
    traffic.run(Millis(700));
    traffic.stop();
    BOOST_TEST(site.runLoopUntil([&] { return traffic.isOver(); }));
    checkServedAlike(traffic, hosts, from, Millis::max());
    for (std::size_t host = 0; host < site.gateways.size(); ++host) {
        const auto pooled = std::count_if(traffic.requests().begin(), traffic.requests().end(), [&](const auto& it) {
            return it.second.host == host && from <= it.second.sentAt && it.second.target == "/pool/x";
        });
        BOOST_TEST(site.connections(host, *site.upstreams.back()) - connections[host] >= pooled);
    }
}

// Cuts hosts off for some seconds: they and the others serve alike during the cut and after it.
void checkCut(bool sparesLeader, Cut cut)
{
    CutSite site;
    BOOST_REQUIRE(isServedEverywhere(site));
    Traffic traffic(site);
    traffic.run(Millis(700));
    const std::set<std::size_t> hosts = allButOne(site, sparesLeader);
    const Millis cutAt = monotonicNow();
    site.cut(hosts, cut);
    traffic.run(kRecovery + kObserved);
    const Millis healedAt = monotonicNow();
    site.cut(hosts, Cut::none);
    checkHealed(site, traffic, hosts);
    checkServedAlike(traffic, hosts, cutAt + kRecovery, healedAt);
    checkServedAlike(traffic, hosts, Millis(0), cutAt - Millis(300));
    checkRuns(site, traffic);
}

// Cuts all hosts off for some seconds: requests are refused at once, with the time to come back, and served after it.
void checkCutOfAll(Cut cut)
{
    CutSite site;
    BOOST_REQUIRE(isServedEverywhere(site));
    Traffic traffic(site);
    traffic.run(Millis(500));
    const std::set<std::size_t> hosts { 0, 1, 2, 3, 4 };
    const Millis cutAt = monotonicNow();
    site.cut(hosts, cut);
    traffic.run(kRecovery + Millis(2000));
    const Millis healedAt = monotonicNow();
    site.cut(hosts, Cut::none);
    checkHealed(site, traffic, hosts);
    unsigned sent = 0, late = 0, other = 0;
    for (const auto& [id, it] : traffic.requests()) {
        // Requests under way when the cut was healed may be served.
        if (it.sentAt < cutAt + kRecovery || healedAt < it.sentAt + kMaxRefusalTime)
            continue;
        ++sent;
        late += *it.took > kMaxRefusalTime;
        other += it.status != 503 || !it.hasRetryAfter;
    }
    BOOST_TEST_MESSAGE(
        late << " of " << sent << " answered late, " << other << " not refused with the time to come back");
    BOOST_TEST(sent > 0u);
    BOOST_TEST(late == 0u);
    BOOST_TEST(other == 0u);
    checkRuns(site, traffic);
}

// One upstream is lost to all hosts, while no host is cut off: requests for the others' slots are served meanwhile.
void checkLossOfOneUpstream(Cut cut)
{
    CutSite site;
    BOOST_REQUIRE(isServedEverywhere(site));
    Traffic traffic(site);
    traffic.run(Millis(500));
    RangeUpstream* lost = site.holder(kSlot);
    BOOST_REQUIRE(lost);
    std::set<std::uint32_t> lostSlots;
    for (std::uint32_t slot = 0; slot < kKeySlots; ++slot) {
        if (lost->holds(slot))
            lostSlots.insert(slot);
    }
    const Millis lostAt = monotonicNow();
    site.cutUpstream(*lost, cut);
    traffic.run(Millis(3500));
    traffic.stop();
    BOOST_TEST(site.runLoopUntil([&] { return traffic.isOver(); }));
    Share others, pooled;
    for (const auto& [id, it] : traffic.requests()) {
        if (it.sentAt < lostAt)
            continue;
        Share& share = it.target == "/pool/x" ? pooled : others;
        if (it.target != "/pool/x" && lostSlots.count(it.slot))
            continue;
        ++share.sent;
        share.served += it.status == 200;
    }
    BOOST_TEST_MESSAGE("served " << others.served << " of " << others.sent << " for others' slots, " << pooled.served
                                 << " of " << pooled.sent << " pooled");
    BOOST_TEST(others.value() >= kMinServedShare);
    BOOST_TEST(pooled.value() >= kMinServedShare);
    checkRuns(site, traffic);
}

// Bodies of 100 KB that are sent to hosts that are cut off arrive whole and run once.
void checkBodies(Cut cut)
{
    CutSite site;
    BOOST_REQUIRE(isServedEverywhere(site));
    Traffic traffic(site);
    const std::set<std::size_t> hosts = allButOne(site, true);
    site.cut(hosts, cut);
    traffic.run(kRecovery);
    traffic.stop();
    std::string body(100000, 'x');
    for (std::size_t n = 0; n < body.size(); ++n)
        body[n] = static_cast<char>('a' + n % 23);
    std::map<std::string, int> statuses;
    for (const std::string target : { "/up/x", "/unsafe/x" }) {
        for (const auto host : hosts) {
            const std::string id = target + std::to_string(host);
            HttpCall call = site.call(target, id, host);
            call.body = body;
            site.client.start(std::move(call), [&statuses, id](HttpOutcome outcome) {
                const auto* answer = std::get_if<HttpAnswer>(&outcome);
                statuses[id] = answer ? answer->status : 0;
            });
        }
    }
    BOOST_TEST(site.runLoopUntil([&] { return statuses.size() == 2 * hosts.size() && traffic.isOver(); }));
    for (const auto& [id, status] : statuses) {
        BOOST_TEST(status == 200, id << " was answered " << status);
        BOOST_TEST(site.runCount(id) == 1u);
    }
    for (const auto& upstream : site.upstreams) {
        for (const auto& it : upstream->received)
            BOOST_TEST((!statuses.count(it.id) || it.body == body));
    }
    checkRuns(site, traffic);
}

// What became of a connection within a fifth of a second.
enum class Connected { yes, refused, hangs };

Connected tryToConnect(const Endpoint& endpoint)
{
    const int fd = connectTo(endpoint);
    pollfd state { fd, POLLOUT, 0 };
    const int n = fd < 0 ? 1 : poll(&state, 1, 200);
    int error = 0;
    socklen_t bytes = sizeof error;
    if (fd < 0 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &bytes) != 0)
        error = errno;
    if (fd >= 0)
        ::close(fd);
    return n == 0 ? Connected::hangs : error ? Connected::refused : Connected::yes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Reach)

// Guards against cuts of the fixture that cut nothing off.
BOOST_AUTO_TEST_CASE(cutsOfTheFixtureRefuseOrHang)
{
    CutSite site(1);
    BOOST_REQUIRE(isServedEverywhere(site));
    const Endpoint way = site.forwarders.begin()->second.endpoint();
    const auto becomes = [&](Cut cut) {
        site.cut({ 0 }, cut);
        return tryToConnect(way);
    };
    BOOST_TEST((becomes(Cut::none) == Connected::yes));
    BOOST_TEST((becomes(Cut::refused) == Connected::refused));
    BOOST_TEST((becomes(Cut::none) == Connected::yes));
    BOOST_TEST((becomes(Cut::silent) == Connected::hangs));
    BOOST_TEST((becomes(Cut::none) == Connected::yes));
    BOOST_TEST((becomes(Cut::keptLive) == Connected::refused));
    site.cut({ 0 }, Cut::none);
    BOOST_TEST(site.waitUntilServed());
}

// Guards against requests that wait at hosts whose connections to all upstreams hang, while another host reaches them.
BOOST_AUTO_TEST_CASE(requestsAreServedWhileConnectionsOfMostHostsHang) { checkCut(true, Cut::silent); }

// Guards against requests that are refused because most hosts are refused by all upstreams, while another host reaches
// them.
BOOST_AUTO_TEST_CASE(requestsAreServedWhileMostHostsAreRefused) { checkCut(true, Cut::refused); }

// Guards against ranges without an owner because the range leader is among the hosts whose connections hang.
BOOST_AUTO_TEST_CASE(requestsAreServedWhileConnectionsOfTheRangeLeaderHang) { checkCut(false, Cut::silent); }

// Guards against a range leader that keeps its office, since its kept connections live on, while its host and most
// others cannot open new ones.
BOOST_AUTO_TEST_CASE(requestsAreServedWhileOnlyKeptConnectionsOfMostHostsLive) { checkCut(false, Cut::keptLive); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReachOfOthers)

// Guards against large bodies that only the host that received them sends, although its connections hang.
BOOST_AUTO_TEST_CASE(bodiesSentToHostsWhoseConnectionsHangArriveWhole) { checkBodies(Cut::silent); }

// Guards against large bodies that only the host that received them sends, although all upstreams refuse it.
BOOST_AUTO_TEST_CASE(bodiesSentToRefusedHostsArriveWhole) { checkBodies(Cut::refused); }

// Guards against hosts that take the loss of one upstream for a cut of their own.
BOOST_AUTO_TEST_CASE(slotsOfOtherUpstreamsAreServedWhileOneRefusesAllHosts) { checkLossOfOneUpstream(Cut::refused); }

// Guards against hosts that take one upstream that hangs for a cut of their own.
BOOST_AUTO_TEST_CASE(slotsOfOtherUpstreamsAreServedWhileOneHangs) { checkLossOfOneUpstream(Cut::silent); }

// Guards against slots without an owner because they go to an upstream that takes no connections. Nothing shows that
// before the first one, since the upstream is new.
BOOST_AUTO_TEST_CASE(slotsAreServedWhileAnUpstreamThatIsToGetSomeHangs)
{
    CutSite site;
    BOOST_REQUIRE(isServedEverywhere(site));
    Traffic traffic(site);
    traffic.run(Millis(500));
    bool isNamedOwner = false;
    Timer watch(
        [&] { isNamedOwner |= site.store.value("pistachiospur/ranges/keyed").find("k9") != std::string::npos; });
    watch.every(Millis(5));
    const Millis addedAt = monotonicNow();
    const RangeUpstream& added = site.add("keyed", "k9");
    BOOST_REQUIRE(site.runLoopUntil([&] { return site.forwardersTo(added) > 0; }));
    site.cutUpstream(added, Cut::silent);
    BOOST_REQUIRE(site.runLoopUntil([&] { return site.forwardersTo(added) == site.gateways.size(); }));
    site.cutUpstream(added, Cut::silent);
    traffic.run(Millis(3500));
    traffic.stop();
    BOOST_TEST(site.runLoopUntil([&] { return traffic.isOver(); }));
    const Share served = shareOf(traffic, {}, true, addedAt, Millis::max());
    BOOST_TEST_MESSAGE("served " << served.served << " of " << served.sent);
    BOOST_TEST(served.value() >= kMinServedShare);
    BOOST_TEST(!isNamedOwner);
    checkRuns(site, traffic);
}

// Guards against callers who wait for their deadline, or do not learn when to come back, while connections of all hosts
// hang.
BOOST_AUTO_TEST_CASE(requestsAreRefusedAtOnceWhileConnectionsOfAllHostsHang) { checkCutOfAll(Cut::silent); }

// Guards against callers who do not learn when to come back while all hosts are refused.
BOOST_AUTO_TEST_CASE(requestsAreRefusedAtOnceWhileAllHostsAreRefused) { checkCutOfAll(Cut::refused); }

// Guards against hosts that start during a cut and do not learn which hosts reach the upstreams.
BOOST_AUTO_TEST_CASE(hostsThatStartDuringACutServeLikeTheOthers)
{
    CutSite site(4);
    BOOST_REQUIRE(isServedEverywhere(site));
    Traffic traffic(site);
    traffic.run(Millis(500));
    std::set<std::size_t> cut = allButOne(site, true);
    site.cut(cut, Cut::refused);
    traffic.run(Millis(300));
    cut.insert(4);
    site.cut({ 4 }, Cut::refused);
    site.addHost(4);
    site.addHost(5);
    const Millis startedAt = monotonicNow();
    traffic.run(kRecovery + kObserved);
    traffic.stop();
    BOOST_TEST(site.runLoopUntil([&] { return traffic.isOver(); }));
    checkServedAlike(traffic, cut, startedAt + kRecovery, Millis::max());
    checkRuns(site, traffic);
}

// Guards against upstreams that only hosts of their own data centre coordinate, all of which are cut off.
BOOST_AUTO_TEST_CASE(requestsAreServedWhileAllHostsOfTheUpstreamsDataCentreAreCutOff)
{
    CutSite site(3);
    site.addHost(3, "z2");
    site.addHost(4, "z2");
    BOOST_REQUIRE(isServedEverywhere(site));
    Traffic traffic(site);
    traffic.run(Millis(500));
    const Millis cutAt = monotonicNow();
    site.cut({ 0, 1, 2 }, Cut::silent);
    traffic.run(kRecovery + kObserved);
    traffic.stop();
    BOOST_TEST(site.runLoopUntil([&] { return traffic.isOver(); }));
    checkServedAlike(traffic, { 0, 1, 2 }, cutAt + kRecovery, Millis::max());
    checkRuns(site, traffic);
}

BOOST_AUTO_TEST_SUITE_END()
