#include "review/standins-3/key_holder.h"
#include "review/standins-3/small_site.h"

#include <map>
#include <sstream>
#include <utility>

// The backends of a partitioned service are replaced one after the other. One of them hands out one wrong byte, in the
// Handover of its answer to a release. The rule is broken if requests for keys are hardly served any more, though
// everything is calm.
using namespace review;
using namespace pistachiospur;

namespace {

constexpr int kBackends = 2;
constexpr Millis kStep { 100 }; // between two pairs of requests
constexpr Millis kCalmBefore { 8000 };
constexpr Millis kReplaceGap { 1000 };
constexpr Millis kDrains { 5000 };
constexpr Millis kCalmAfter { 75000 };
constexpr unsigned kKeys = 65536;
const std::string kHandover = "5c0e7a21d94b36f8";

struct Share {
    int asked = 0, served = 0;
    double value() const { return asked == 0 ? 0 : static_cast<double>(served) / asked; }
};

std::string headerOf(const standin::RawRequest& request, const char* name)
{
    const auto it = request.http.headers.find(name);
    return it == request.http.headers.end() ? std::string() : it->second;
}

// One caller's request; the answer counts whenever it comes.
struct OpenRequest {
    std::unique_ptr<CallerSocket> caller;
    std::string kind;
    std::string id;
    unsigned key = 0;
    Millis until {};
};

class Script {
public:
    explicit Script(Record& record)
        : m_trouble(hasTrouble())
        , m_record(record)
        , m_site(record)
    {
    }

    int run()
    {
        m_record.line(m_trouble ? "with trouble" : "without trouble");
        for (int n = 0; n < kBackends; ++n)
            addLedger("old" + std::to_string(n));
        for (int n = 0; n < 2; ++n)
            m_site.addUpstream(
                "checkout", "checkout" + std::to_string(n), 4, [this](const standin::RawRequest& request) {
                    return answer(standin::sealedAnswer(request.id, "checkout"));
                });
        m_site.store.put("op/config",
            configuration(1, Json { route("/ledger/", "safe", "ledger"), route("/pay/", "safe", "checkout") },
                { { { "name", "ledger" }, { "sharded", true } }, { { "name", "checkout" } } }));
        m_site.addHost("edge-1", "z1");
        m_site.addHost("edge-2", "z1");
        const auto isServed = [&] {
            for (const unsigned key : { 1000u, 64000u }) {
                if (m_site.ask(m_site.hosts[0]->callers, text("ledger", "w" + std::to_string(m_sent++), key)) != 200)
                    return false;
            }
            return true;
        };
        if (!runLoopUntil([&] { return m_site.isReady(*m_site.hosts[1]) && isServed(); }, Millis(15000)))
            return kCannotRun;

        m_record.line("the service is served");
        callFor(kCalmBefore);
        for (int n = 0; n < kBackends; ++n) {
            addLedger("new" + std::to_string(n));
            m_record.line("new" + std::to_string(n) + " has started");
            callFor(kReplaceGap / 2);
            m_site.drainUpstream("old" + std::to_string(n));
            m_record.line("old" + std::to_string(n) + " leaves");
            callFor(kReplaceGap / 2);
        }
        callFor(kDrains);
        for (int n = 0; n < kBackends; ++n)
            m_site.endUpstream("old" + std::to_string(n));
        m_record.line("the old backends have ended");
        callFor(kCalmAfter);
        return judge();
    }

private:
    std::vector<standin::RawPart> answer(const std::string& bytes, Millis after = Millis(15))
    {
        return { { bytes, standin::RawEnding::keepOpen, after } };
    }

    void addLedger(const std::string& name)
    {
        m_keys[name] = {};
        m_site.addUpstream("ledger", name, 4, [this, name](const standin::RawRequest& request) {
            KeyHolder& keys = m_keys[name];
            const std::string idLine = request.id.empty() ? "" : "Request-Id: " + request.id + "\r\n";
            ++m_answers[name];
            if (headerOf(request, "target-instance") != name)
                return answer(standin::notExecuted(421, request.id, "Instance-Id: " + name + "\r\n"));
            if (request.http.path == "/grant")
                return answer("HTTP/1.1 " + std::to_string(keys.grant(request.http.body)) + " Answer\r\n" + idLine
                        + "Content-Length: 0\r\n\r\n",
                    Millis(1));
            if (request.http.path == "/release") {
                keys.release(request.http.body);
                std::string handover = kHandover;
                const bool isSpoilt = m_trouble && name == "old0" && !std::exchange(m_isSpoilt, true);
                if (isSpoilt)
                    handover[0] = static_cast<char>(handover[0] | 0x80);
                m_record.line(name + " releases " + request.http.body
                    + (isSpoilt ? ", and spoils the first byte of the Handover" : ""));
                return answer(
                    "HTTP/1.1 200 OK\r\n" + idLine + "Handover: " + handover + "\r\nContent-Length: 0\r\n\r\n",
                    Millis(30));
            }
            const unsigned key = static_cast<unsigned>(std::atoi(headerOf(request, "shard-key").c_str()));
            return answer(
                keys.holds(key) ? standin::sealedAnswer(request.id, name) : standin::notExecuted(421, request.id));
        });
    }

    std::string text(const std::string& kind, const std::string& id, unsigned key)
    {
        return kind == "ledger"
            ? requestText("GET", "/ledger/x", id, "Shard-Key: " + std::to_string(key) + "\r\nConnection: close\r\n")
            : requestText("GET", "/pay/x", id, "Connection: close\r\n");
    }

    // Both kinds of request at a steady rate, at both hosts in turn.
    void callFor(Millis time)
    {
        const Millis end = monotonicNow() + time;
        while (monotonicNow() < end) {
            for (const char* kind : { "ledger", "pay" }) {
                const unsigned key = static_cast<unsigned>(m_sent) * 7919u % kKeys;
                OpenRequest request { std::make_unique<CallerSocket>(m_site.hosts[m_sent % 4 / 2]->callers), kind,
                    "r" + std::to_string(m_sent), key, monotonicNow() + Millis(3200) };
                request.caller->write(text(kind, request.id, key));
                ++m_sent;
                m_open.push_back(std::move(request));
            }
            runLoopFor(kStep);
            takeAnswers();
        }
    }

    void takeAnswers()
    {
        for (auto& it : m_open) {
            int status = 0;
            std::string head, body;
            const bool isAnswered = it.caller->takeAnswer(status, head, body);
            if (!isAnswered && !it.caller->ended && monotonicNow() < it.until)
                continue;
            it.until = Millis(-1);
            Share& share = m_shares[it.kind];
            ++share.asked;
            share.served += status == 200;
            m_record.line(it.id + " " + it.kind + (it.kind == "ledger" ? " key " + std::to_string(it.key) : "") + ": "
                + std::to_string(status) + " " + body);
        }
        m_open.erase(std::remove_if(m_open.begin(), m_open.end(), [](const auto& it) { return it.until < Millis(0); }),
            m_open.end());
    }

    int judge()
    {
        const Share keyed = m_shares["ledger"], plain = m_shares["pay"];
        const Share all { keyed.asked + plain.asked, keyed.served + plain.served };
        for (const auto& [name, count] : m_answers)
            m_record.line(name + " has given " + std::to_string(count) + " answers");
        m_record.line("ledger " + std::to_string(keyed.served) + " of " + std::to_string(keyed.asked) + ", pay "
            + std::to_string(plain.served) + " of " + std::to_string(plain.asked) + " served");
        for (const auto& host : m_site.hosts) {
            std::istringstream log(m_site.logOf(*host));
            for (std::string line; std::getline(log, line);) {
                if (line.find("exception") != std::string::npos && ++m_exceptions <= 3)
                    m_record.line(host->name + " logs: " + line);
            }
            if (m_site.hasEnded(*host))
                m_record.line(host->name + " has ended by itself");
        }
        return keyed.value() < all.value() / 4 ? kBroken : kHeld;
    }

    bool m_trouble;
    Record& m_record;
    std::map<std::string, KeyHolder> m_keys;
    std::map<std::string, int> m_answers;
    bool m_isSpoilt = false;
    std::map<std::string, Share> m_shares;
    std::vector<OpenRequest> m_open;
    int m_sent = 0, m_exceptions = 0;
    SmallSite m_site;
};

} // namespace

int main()
{
    Record record(std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt");
    return Script(record).run();
}
