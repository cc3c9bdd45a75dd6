#define BOOST_TEST_NO_MAIN
#define BOOST_TEST_ALTERNATIVE_INIT_API
#include "io/socket.h"
#include "standins/kv.h"
#include "standins/raw_upstream.h"
#include "standins/site.h"

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <list>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

// Crowds of callers that misbehave, against a real process of the gateway on loopback with lowered limits. Each test
// checks that the process lives, that its memory and descriptors stay under a bound, and that ordinary requests are
// answered while the crowd stays; nothing here depends on the speed of the machine. One test runs at a time.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif

// The process's limits, and the bounds that are checked: all of its memory, and three quarters of its descriptors, so
// that the others remain for upstreams, hosts and the store.
constexpr int kMemoryMb = 40;
constexpr int kDescriptors = 400;
constexpr int kMaxOpenDescriptors = kDescriptors * 3 / 4;
// Limits that the callers are told.
constexpr std::size_t kMaxHeaderBytes = 16384;
constexpr std::size_t kMaxBodyBytes = 4000000;
constexpr int kHeaderTimeoutMs = 3000;
constexpr int kIdleTimeoutMs = 15000;

constexpr std::size_t kCrowd = 300; // connections at once
constexpr std::size_t kSilentCrowd = 700;
constexpr std::size_t kReplacements = 300; // connections that replace closed ones
constexpr Millis kCrowdTime { 1500 };
constexpr Millis kWaitTimeout { 20000 };
constexpr std::size_t kLargeAnswerBytes = 300000;

bool runLoopUntil(const std::function<bool()>& condition, Millis timeout)
{
    Timer wake([] {});
    wake.every(Millis(5));
    const Millis end = monotonicNow() + timeout;
    while (!condition() && monotonicNow() < end)
        ev_run(defaultLoop(), EVRUN_ONCE);
    return condition();
}

// --- The crowd ---

// What each connection of a crowd does: it sends `opening` once and then `repeated` so many times, and stays open.
struct Script {
    std::string opening;
    std::string repeated {};
    std::size_t repeats = 0;
    std::size_t piece = 65536; // bytes of one write
    Millis pace {}; // between two writes
    bool reads = true;
    bool leaves = false; // closes when all is sent
    std::size_t readBytes = 65536; // of one read; with a pace one read per pace
};

class CrowdMember {
public:
    CrowdMember(const Endpoint& endpoint, const Script& script)
        : m_script(script)
        , m_fd(connectTo(endpoint))
        , m_watcher([this](int events) { onEvents(events); })
        , m_timer([this] { onEvents(EV_WRITE | (m_script.reads ? EV_READ : 0)); })
    {
        if (m_fd < 0)
            return;
        if (!script.reads || script.readBytes < 4096) {
            const int small = 4096;
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
        }
        watch();
    }
    ~CrowdMember() { close(); }
    CrowdMember(const CrowdMember&) = delete;
    CrowdMember& operator=(const CrowdMember&) = delete;

    bool hasEnded() const { return m_fd < 0; }

private:
    void close()
    {
        m_watcher.stop();
        m_timer.stop();
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }

    // The next bytes to send, up to one piece.
    std::string_view next() const
    {
        if (m_sent < m_script.opening.size())
            return std::string_view(m_script.opening).substr(m_sent, m_script.piece);
        const std::size_t n = m_sent - m_script.opening.size(), size = m_script.repeated.size();
        if (size == 0 || n / size >= m_script.repeats)
            return {};
        return std::string_view(m_script.repeated).substr(n % size, m_script.piece);
    }

    void onEvents(int events)
    {
        static thread_local std::string buf(65536, '\0');
        if (events & EV_READ) {
            const ssize_t n = recv(m_fd, buf.data(), m_script.readBytes, 0);
            if (n == 0 || (n < 0 && errno != EAGAIN))
                return close();
        }
        if (events & EV_WRITE) {
            const auto bytes = next();
            const ssize_t n = bytes.empty() ? 0 : send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n < 0 && errno != EAGAIN)
                return close();
            m_sent += static_cast<std::size_t>(std::max<ssize_t>(n, 0));
            if (m_script.leaves && next().empty())
                return close();
        }
        watch();
    }

    void watch()
    {
        const bool paced = m_script.pace > Millis(0) && m_sent > 0;
        if (paced)
            m_timer.once(m_script.pace);
        const int events = paced ? 0 : (m_script.reads ? EV_READ : 0) | (next().empty() ? 0 : EV_WRITE);
        m_watcher.stop();
        if (events)
            m_watcher.watch(m_fd, events);
    }

    const Script& m_script;
    int m_fd;
    std::size_t m_sent = 0;
    SocketWatcher m_watcher;
    Timer m_timer;
};

// --- Where it goes ---

enum class Door { route, nowhere, ready, admin };

const char* targetOf(Door door, bool safe)
{
    switch (door) {
    case Door::route:
        return safe ? "/safe/x" : "/pool/x";
    case Door::nowhere:
        return "/nowhere";
    case Door::ready:
        return "/ready";
    case Door::admin:
        return "/metrics";
    }
    return "";
}

std::string headTo(Door door, const std::string& method, const std::string& more = "", const std::string& query = "")
{
    return method + " " + targetOf(door, method == "GET") + query
        + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 2500\r\n" + more;
}

// As many fields with names of their own as fit into `bytes`.
std::string shortFields(std::size_t bytes)
{
    std::string fields;
    for (int n = 0; fields.size() + 8 < bytes; ++n)
        fields += "x" + std::to_string(n) + ":\r\n";
    return fields;
}

std::string shortParameters(std::size_t bytes)
{
    std::string query = "?";
    for (int n = 0; query.size() + 8 < bytes; ++n)
        query += std::to_string(n) + "&";
    return query;
}

constexpr std::size_t kFieldBytes = kMaxHeaderBytes - 400;

std::string longFields(std::size_t bytes)
{
    std::string fields;
    for (int n = 0; fields.size() + 4100 < bytes; ++n)
        fields += "long" + std::to_string(n) + ": " + std::string(4000, 'v') + "\r\n";
    return fields;
}

std::string chunk(std::size_t n)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", n);
    return size + std::string(n, 'c') + "\r\n";
}

std::string declared(std::size_t n) { return "Content-Length: " + std::to_string(n) + "\r\n\r\n"; }

const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

// --- What it sends ---

constexpr std::size_t kHeldBytes = 240000; // of a body that is complete before its request is passed on

struct Misdeed {
    const char* name;
    Script (*script)(Door);
    std::size_t crowd = kCrowd;
};

const Misdeed kMisdeeds[] = {
    { "bodiesInOnePiece",
        [](Door it) -> Script {
            return { headTo(it, "POST", declared(kHeldBytes)) + std::string(kHeldBytes - 1, 'b') };
        } },
    { "bodiesInSmallPieces",
        [](Door it) -> Script {
            return { headTo(it, "POST", declared(kHeldBytes)), std::string(1000, 'b'), kHeldBytes / 1000 - 1, 1000 };
        } },
    { "bodiesInChunks",
        [](Door it) -> Script {
            return { headTo(it, "POST", kChunked), chunk(100), kHeldBytes / 100 };
        } },
    { "bodiesOfTheLargestSize",
        [](Door it) -> Script {
            return { headTo(it, "POST", declared(kMaxBodyBytes)), std::string(10000, 'b'), kMaxBodyBytes / 10000 - 1 };
        },
        100 },
    { "bodiesOverTheLimit",
        [](Door it) -> Script {
            return { headTo(it, "POST", declared(100 * kMaxBodyBytes)), std::string(100000, 'b'), 100 };
        },
        100 },
    { "chunksOverTheLimit",
        [](Door it) -> Script {
            return { headTo(it, "POST", kChunked), chunk(100000), 100 };
        },
        100 },
    { "chunkExtensions",
        [](Door it) -> Script {
            return { headTo(it, "POST", kChunked) + "5;", "extension=", 50000 };
        } },
    { "trailers",
        [](Door it) -> Script {
            return { headTo(it, "POST", kChunked) + chunk(5) + "0\r\n" + shortFields(kFieldBytes) };
        } },
    { "trailersWithoutEnd",
        [](Door it) -> Script {
            return { headTo(it, "POST", kChunked) + chunk(5) + "0\r\n", "x: y\r\n", 50000 };
        } },
    { "shortFieldsThatStop", [](Door it) -> Script { return { headTo(it, "GET", shortFields(kFieldBytes)) }; } },
    { "shortFields", [](Door it) -> Script { return { headTo(it, "GET", shortFields(kFieldBytes) + "\r\n") }; } },
    { "shortFieldsAhead",
        [](Door it) -> Script {
            return { "", headTo(it, "GET", shortFields(kFieldBytes) + "\r\n"), 40, 65536, Millis(0), false };
        },
        100 },
    { "shortParametersThatStop",
        [](Door it) -> Script { return { headTo(it, "GET", "", shortParameters(kFieldBytes)) }; } },
    { "longFieldsThatStop", [](Door it) -> Script { return { headTo(it, "GET", longFields(kFieldBytes)) }; } },
    { "headsOverTheLimit",
        [](Door it) -> Script {
            return { headTo(it, "GET"), "x: " + std::string(1000, 'v') + "\r\n", 2000 };
        } },
    { "lineWithoutEnd",
        [](Door) -> Script {
            return { "GET /", std::string(1000, 'a'), 2000 };
        } },
    { "emptyLinesWithoutEnd",
        [](Door) -> Script {
            return { "", "\r\n", 1000000 };
        },
        50 },
    { "requestsAhead",
        [](Door it) -> Script {
            return { "", headTo(it, "GET", "\r\n"), 2000, 65536, Millis(0), false };
        } },
    { "largeAnswersNotRead",
        [](Door it) -> Script {
            return { "", headTo(it, "GET", "Answer: large\r\n\r\n"), 20, 65536, Millis(0), false };
        } },
    { "largeAnswersReadSlowly",
        [](Door it) -> Script {
            return { "", headTo(it, "GET", "Answer: large\r\n\r\n"), 20, 65536, Millis(100), true, false, 1 };
        } },
    { "slowSenders",
        [](Door it) -> Script {
            return { headTo(it, "POST", declared(kHeldBytes)), "b", kHeldBytes - 1, 1, Millis(20) };
        } },
    { "halfRequests", [](Door) -> Script { return { "GET /sa" }; } },
    { "halfRequestsThatLeave",
        [](Door it) -> Script {
            return { headTo(it, "POST", declared(kHeldBytes)) + "b", {}, 0, 65536, Millis(0), true, true };
        } },
    { "nothing", [](Door) -> Script { return { "" }; }, kSilentCrowd },
};

// --- The site ---

std::string configuration()
{
    const auto route = [](const char* name, const char* at, const char* kind) {
        return Json { { "name", name }, { "path-prefix", at }, { "route-type", kind }, { "timeout-ms", 3000 },
            { "target-latency-ms", 2000 }, { "priority", 1 }, { "max-attempts", 2 }, { "service", "pool" } };
    };
    return Json {
        { "version", "00000001" }, { "services", { { { "name", "pool" } } } },
        { "limits",
            { { "max-header-bytes", kMaxHeaderBytes }, { "max-body-bytes", kMaxBodyBytes },
                { "header-timeout-ms", kHeaderTimeoutMs }, { "idle-timeout-ms", kIdleTimeoutMs } } },
        { "virtual-hosts",
            { { { "hostname", "a.example" },
                { "path-matches", { route("post", "/pool/", "unsafe"), route("get", "/safe/", "safe") } } } } }
    }.dump();
}

// Answers ordinary requests at once. Those of the crowd get a large answer if they ask for one, and otherwise none, so
// that they stay in the process.
std::vector<RawPart> answerOf(const RawRequest& request)
{
    if (request.http.headers.count("answer"))
        return { { sealedAnswer(request.id, std::string(kLargeAnswerBytes, 'a')) } };
    if (request.id == "crowd")
        return {};
    return { { sealedAnswer(request.id, "served") } };
}

class CrowdSite {
public:
    explicit CrowdSite(const std::string& name)
        : m_directory("build/test-crowd/" + name)
        , m_upstream("pool", "p0", answerOf)
    {
        std::filesystem::remove_all(m_directory);
        std::filesystem::create_directories(m_directory);
        m_store.put("op/config", configuration());
        m_store.put("servers/p0", m_upstream.entry(50));
        for (auto* it : { &m_callers, &m_ready, &m_peers, &m_admin }) {
            const int fd = listenOn({ "127.0.0.1", 0 });
            *it = { "127.0.0.1", boundPort(fd) };
            ::close(fd);
        }
        std::ofstream(m_directory + "/settings.json") << Json {
            { "platform", "kv" }, { "host", "h0" }, { "data_centre", "z1" }, { "callers", m_callers.text() },
            { "ready", m_ready.text() }, { "peers", m_peers.text() }, { "admin", m_admin.text() },
            { "store", m_store.endpoint().text() },
            { "limits", { { "memory_mb", kMemoryMb }, { "descriptors", kDescriptors } } }
        }.dump();
        m_process = std::make_unique<Process>(
            std::vector<std::string> { "build/pistachiospurd", "--settings=" + m_directory + "/settings.json" },
            m_directory + "/log", false);
        const rlimit descriptors { kDescriptors, kDescriptors };
        BOOST_REQUIRE(prlimit(m_process->pid(), RLIMIT_NOFILE, &descriptors, nullptr) == 0);
    }

    const Endpoint& endpointOf(Door door) const
    {
        return door == Door::ready ? m_ready : door == Door::admin ? m_admin : m_callers;
    }

    // Whether an ordinary request is answered by the upstream; tried again while it is refused.
    bool isServed()
    {
        const Millis end = monotonicNow() + kWaitTimeout;
        while (monotonicNow() < end && isRunning()) {
            if (statusOf(m_callers, "/safe/ordinary") == 200)
                return true;
            runLoopUntil([] { return false; }, Millis(50));
        }
        return false;
    }
    int statusOf(const Endpoint& endpoint, const std::string& target)
    {
        HttpCall call;
        call.method = "GET";
        call.endpoint = endpoint;
        call.target = target;
        call.headers = { { "Host", "a.example" }, { "Request-Id", "ordinary" }, { "Deadline-Ms", "2500" } };
        call.timeout = Millis(5000);
        call.freshConnection = true;
        std::optional<HttpOutcome> outcome;
        m_client.start(std::move(call), [&](HttpOutcome it) { outcome = std::move(it); });
        runLoopUntil([&] { return outcome.has_value(); }, kWaitTimeout);
        const auto* answer = outcome ? std::get_if<HttpAnswer>(&*outcome) : nullptr;
        return answer ? answer->status : 0;
    }
    bool isRunning() { return !m_process->waitForExit(Millis(0)); }
    int readyStatus() { return statusOf(m_ready, "/ready"); }
    int adminStatus() { return statusOf(m_admin, "/metrics"); }

    // The most memory that the process has had resident, in KB.
    long peakMemoryKb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_process->pid()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.compare(0, 6, "VmHWM:") == 0)
                return std::stol(line.substr(6));
        }
        return 0;
    }
    int openDescriptors() const
    {
        std::error_code ec;
        const std::filesystem::directory_iterator all("/proc/" + std::to_string(m_process->pid()) + "/fd", ec);
        return static_cast<int>(std::distance(begin(all), end(all)));
    }

private:
    std::string m_directory;
    KvStandin m_store;
    RawUpstream m_upstream;
    HttpClient m_client { 8u << 20 };
    Endpoint m_callers, m_ready, m_peers, m_admin;
    std::unique_ptr<Process> m_process;
};

void run(const Misdeed& misdeed, Door door, const std::string& name)
{
    CrowdSite site(name);
    BOOST_REQUIRE(site.isServed());
    const Script script = misdeed.script(door);
    std::list<CrowdMember> crowd;
    std::size_t joined = 0;
    int mostDescriptors = 0;
    const auto fill = [&] {
        crowd.remove_if([](const CrowdMember& it) { return it.hasEnded(); });
        for (; crowd.size() < misdeed.crowd && joined < misdeed.crowd + kReplacements; ++joined)
            crowd.emplace_back(site.endpointOf(door), script);
        mostDescriptors = std::max(mostDescriptors, site.openDescriptors());
        return !site.isRunning();
    };
    runLoopUntil(fill, kCrowdTime);
    const bool served = site.isServed(); // beside the crowd
    const int ready = site.readyStatus(), admin = site.adminStatus();
    fill();
    const bool lives = site.isRunning();
    const long peakKb = lives ? site.peakMemoryKb() : 0;
    BOOST_TEST_MESSAGE(name << ": memory " << peakKb << " KB, descriptors " << mostDescriptors << ", open "
                            << crowd.size() << " of " << joined);
    BOOST_TEST(lives);
    BOOST_TEST(served);
    BOOST_TEST(ready == 200);
    BOOST_TEST(admin == 200);
    if (kMeasuresMemory)
        BOOST_TEST(peakKb < kMemoryMb * 1024);
    BOOST_TEST(mostDescriptors <= kMaxOpenDescriptors);
}

bool addTests()
{
    namespace ut = boost::unit_test;
    const std::pair<const char*, Door> doors[] = { { "AtRoute", Door::route }, { "Nowhere", Door::nowhere },
        { "AtReady", Door::ready }, { "AtAdmin", Door::admin } };
    for (const auto& [doorName, door] : doors) {
        auto* suite = BOOST_TEST_SUITE(doorName);
        for (const Misdeed& it : kMisdeeds) {
            const std::string name = std::string(doorName) + "-" + it.name;
            suite->add(
                ut::make_test_case([&it, door = door, name] { run(it, door, name); }, it.name, __FILE__, __LINE__));
        }
        ut::framework::master_test_suite().add(suite);
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    rlimit descriptors {};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptors);
    return boost::unit_test::unit_test_main(addTests, argc, argv);
}
