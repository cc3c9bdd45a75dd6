#include "gateway_fixture.h"

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

    void sendCopy(std::size_t host) { start(m_poison, kSlot, host, true); }

    std::size_t lateSends() const
    {
        if (m_ends.size() < kEndsBeforeWindow)
            return 0;
        const Millis from = m_ends[kEndsBeforeWindow - 1] + kStableWindow;
        return static_cast<std::size_t>(
            std::count_if(m_ends.begin(), m_ends.end(), [&](Millis it) { return it > from; }));
    }

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

    void sendRound()
    {
        ++m_round;
        const char* other = m_poison.find("/pool/") == 0 ? "/pool/x" : "/get/x";
        for (std::size_t host = 0; host < gateways.size(); ++host)
            start(other, (m_round * 7919 + static_cast<unsigned>(host) * 104729) % kKeySlots, host, false);
        if (m_round % kRoundsPerCopy == 0)
            sendCopy(m_round / kRoundsPerCopy % gateways.size());
    }

    // Ends the upstreams that run a copy, and brings back those that have been down for long enough.
    void endUpstreams()
    {
        const Millis now = monotonicNow();
        for (auto it = upstreams.begin(); it != upstreams.end();) {
            const auto& received = (*it)->received;
            const bool ends = std::any_of(
                received.begin(), received.end(), [&](const ReceivedRequest& n) { return n.target == m_poison; });
            if (!ends) {
                ++it;
                continue;
            }
            m_ends.push_back(now);
            m_returns.push_back({ now + kDownTime, (*it)->name()[0] == 'k', (*it)->name() });
            it = upstreams.erase(it);
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
    HttpClient m_callers { 1u << 20 };
    std::vector<Millis> m_ends; // of upstreams, each by one copy
    std::vector<Return> m_returns;
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

BOOST_AUTO_TEST_SUITE_END()
