// A stand-in for a server that owns keys: it obeys grants, runs at most `slots` requests at once, each for a while, and
// writes a journal of what it ran under which epoch. An effect counts only if the grant still holds when the run ends.
#include "upstream/upstream.h"
#include "io/http_server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <list>
#include <random>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(int, port, 0, "port to listen on; 0 takes a free one, which is printed");
ABSL_FLAG(std::string, name, "upstream", "name in answers and in the journal");
ABSL_FLAG(int, slots, 2, "requests that run at once");
ABSL_FLAG(int, connections, 40, "connections that are open at once; more are closed at once");
ABSL_FLAG(int, run_ms, 5, "how long each request runs");
ABSL_FLAG(int, ttl_ms, 1000, "life of a grant after its challenge was issued");
ABSL_FLAG(std::string, journal, "", "file to append the journal to");

namespace {

using namespace pistachiospur;
using Json = nlohmann::json;

// A request with this header ends the process as soon as it runs.
constexpr const char* kCrashHeader = "x-crash";
// A request with this header runs for so many milliseconds.
constexpr const char* kRunHeader = "x-run-ms";

std::uint64_t headerNumber(const HttpRequest& request, const char* name)
{
    const auto it = request.headers.find(name);
    return it == request.headers.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
}

class UpstreamStandin {
public:
    UpstreamStandin()
        : m_journal(absl::GetFlag(FLAGS_journal), std::ios::app)
        , m_server(
              { absl::GetFlag(FLAGS_address), static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)) }, 64u << 20,
              [this](const HttpRequest& request, const Responder& responder) { onRequest(request, responder); },
              static_cast<unsigned>(absl::GetFlag(FLAGS_connections)))
    {
    }

    std::uint16_t port() const { return m_server.port(); }

private:
    struct Run {
        SlotGrant slot;
        Term term;
        HttpRequest request;
        Responder responder;
        std::unique_ptr<Timer> timer;
    };

    void onRequest(const HttpRequest& request, const Responder& responder)
    {
        if (request.path == "/control")
            return control(request, responder);
        if (m_silent) {
            m_held.push_back(responder);
            return;
        }
        if (request.path == kGrantPath)
            return renew(request, responder);
        begin(request, responder);
    }

    void renew(const HttpRequest& request, const Responder& responder)
    {
        const auto renewal = decodeRenewal(request.body);
        if (!renewal)
            return responder.respond({ 400, {}, "{}" });
        auto reply = answerRenewal(
            m_grant, *renewal, Challenge { m_random() | 1 }, monotonicNow(), Millis(absl::GetFlag(FLAGS_ttl_ms)));
        for (const auto& it : m_runs) {
            if (!std::binary_search(m_grant.slots.begin(), m_grant.slots.end(), it.slot))
                reply.busy.push_back(it.slot.slot);
        }
        responder.respond({ 200, { { "Content-Type", "application/json" } }, encodeRenewalReply(reply) });
    }

    void begin(const HttpRequest& request, const Responder& responder)
    {
        const SlotGrant slot { SlotId { static_cast<std::uint32_t>(headerNumber(request, kSlotHeader)) },
            Epoch { headerNumber(request, kEpochHeader) } };
        const Term term { headerNumber(request, kTermHeader) };
        if (mayRun(m_grant, slot, term, monotonicNow()) != RunVerdict::run)
            return responder.respond({ 421, { { kRanHeader, "no" } }, "" });
        if (m_shed || m_runs.size() >= static_cast<std::size_t>(absl::GetFlag(FLAGS_slots)))
            return responder.respond({ 503, { { kRanHeader, "no" } }, "" });
        note("began", slot, request);
        if (request.headers.count(kCrashHeader))
            std::_Exit(70);
        const auto asked = headerNumber(request, kRunHeader);
        m_runs.push_back({ slot, term, request, responder, nullptr });
        const auto run = std::prev(m_runs.end());
        run->timer = std::make_unique<Timer>([this, run] { end(run); });
        run->timer->once(Millis(asked ? static_cast<std::int64_t>(asked) : absl::GetFlag(FLAGS_run_ms)));
    }

    // The grant may have ended while the request ran, as when the process was frozen: then its effect is dropped. The
    // term may have changed meanwhile without harm, since the slot and epoch are the same.
    void end(std::list<Run>::iterator run)
    {
        const bool owned = mayRun(m_grant, run->slot, m_grant.term, monotonicNow()) == RunVerdict::run;
        note(owned ? "done" : "dropped", run->slot, run->request);
        if (owned) {
            const Json body = { { "ran_by", absl::GetFlag(FLAGS_name) }, { "slot", run->slot.slot.value },
                { "epoch", run->slot.epoch.value }, { "target", run->request.target }, { "echo", run->request.body } };
            run->responder.respond(
                { 200, { { "Content-Type", "application/json" }, { "ran-by", absl::GetFlag(FLAGS_name) } },
                    body.dump(-1, ' ', false, Json::error_handler_t::replace) });
        } else {
            run->responder.respond({ 421, { { kRanHeader, "no" } }, "" });
        }
        auto done = std::make_shared<std::list<Run>>();
        done->splice(done->end(), m_runs, run);
        m_sweep = std::make_unique<Timer>([done] {});
        m_sweep->once(Millis(0));
    }

    void note(const char* what, SlotGrant slot, const HttpRequest& request)
    {
        const auto key = request.headers.find("idempotency-key");
        const Json line = { { "what", what }, { "upstream", absl::GetFlag(FLAGS_name) }, { "slot", slot.slot.value },
            { "epoch", slot.epoch.value }, { "method", request.method }, { "target", request.target },
            { "key", key == request.headers.end() ? "" : key->second }, { "at_ms", wallNow().count() } };
        m_journal << line.dump() + "\n" << std::flush;
        ++m_counts[what];
    }

    void control(const HttpRequest& request, const Responder& responder)
    {
        const Json body = Json::parse(request.body, nullptr, false);
        if (body.is_object()) {
            m_shed = body.value("shed", m_shed);
            m_silent = body.value("silent", m_silent);
        }
        responder.respond({ 200, {},
            Json { { "name", absl::GetFlag(FLAGS_name) }, { "running", m_runs.size() },
                { "slots", m_grant.slots.size() }, { "term", m_grant.term.value }, { "counts", m_counts } }
                    .dump()
                + "\n" });
    }

    Grant m_grant;
    std::mt19937_64 m_random { std::random_device {}() };
    std::list<Run> m_runs;
    std::unique_ptr<Timer> m_sweep;
    std::list<Responder> m_held;
    std::map<std::string, std::uint64_t> m_counts;
    bool m_shed = false;
    bool m_silent = false;
    std::ofstream m_journal;
    HttpServer m_server;
};

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    static UpstreamStandin standin;
    std::cout << standin.port() << std::endl;
    static SignalWatcher terminate(SIGTERM, breakLoop);
    runLoop();
    std::_Exit(0);
}
