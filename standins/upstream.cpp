// A stand-in for an upstream that owns keys: it accepts grants, runs at most `slots` requests at once, and writes a
// journal of the slot and epoch under which it ran each request. A request takes effect only if this upstream still
// owns the slot under the same epoch when the run ends.
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

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 0, "port to listen on; 0: any free port. The port is printed on standard output");
ABSL_FLAG(std::string, name, "upstream", "name of this upstream in answers and in the journal");
ABSL_FLAG(int, slots, 2, "max requests that run at once; further ones are answered with 503");
ABSL_FLAG(int, connections, 40, "max open connections; further ones are closed");
ABSL_FLAG(int, run_ms, 5, "run time of each request, in milliseconds");
ABSL_FLAG(int, ttl_ms, 1000, "TTL of a grant in milliseconds, counted from when its challenge was issued");
ABSL_FLAG(std::string, journal, "", "file to append the journal to");

namespace {

using namespace pistachiospur;
using Json = nlohmann::json;

// A request with this header makes the process exit as soon as the request starts to run.
constexpr const char* kCrashHeader = "x-crash";
// Run time of a request in milliseconds, in place of --run_ms.
constexpr const char* kRunTimeHeader = "x-run-ms";

// The number in a header; 0 without the header.
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
            return onControl(request, responder);
        if (m_silent) {
            m_unanswered.push_back(responder);
            return;
        }
        if (request.path == kGrantPath)
            return onRenewal(request, responder);
        startRun(request, responder);
    }

    void onRenewal(const HttpRequest& request, const Responder& responder)
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

    void startRun(const HttpRequest& request, const Responder& responder)
    {
        const SlotGrant slot { SlotId { static_cast<std::uint32_t>(headerNumber(request, kSlotHeader)) },
            Epoch { headerNumber(request, kEpochHeader) } };
        const Term term { headerNumber(request, kTermHeader) };
        if (mayRun(m_grant, slot, term, monotonicNow()) != RunVerdict::run)
            return responder.respond({ 421, { { kRanHeader, "no" } }, "" });
        if (m_shed || m_runs.size() >= static_cast<std::size_t>(absl::GetFlag(FLAGS_slots)))
            return responder.respond({ 503, { { kRanHeader, "no" } }, "" });
        writeJournal("began", slot, request);
        if (request.headers.count(kCrashHeader))
            std::_Exit(70);
        const auto requestedMs = headerNumber(request, kRunTimeHeader);
        m_runs.push_back({ slot, term, request, responder, nullptr });
        const auto run = std::prev(m_runs.end());
        run->timer = std::make_unique<Timer>([this, run] { finishRun(run); });
        run->timer->once(Millis(requestedMs ? static_cast<std::int64_t>(requestedMs) : absl::GetFlag(FLAGS_run_ms)));
    }

    // Answers a request whose run time is over. The grant may have expired or lost the slot since the run began, for
    // example because the process was frozen; then the effect is dropped. A newer term does not matter, since the slot
    // is still owned under the same epoch.
    void finishRun(std::list<Run>::iterator run)
    {
        const bool owned = mayRun(m_grant, run->slot, m_grant.term, monotonicNow()) == RunVerdict::run;
        writeJournal(owned ? "done" : "dropped", run->slot, run->request);
        if (owned) {
            const Json body = { { "ran_by", absl::GetFlag(FLAGS_name) }, { "slot", run->slot.slot.value },
                { "epoch", run->slot.epoch.value }, { "target", run->request.target }, { "echo", run->request.body } };
            run->responder.respond(
                { 200, { { "Content-Type", "application/json" }, { "ran-by", absl::GetFlag(FLAGS_name) } },
                    body.dump(-1, ' ', false, Json::error_handler_t::replace) });
        } else {
            run->responder.respond({ 421, { { kRanHeader, "no" } }, "" });
        }
        // This function is the callback of the run's timer, so the run is destroyed later, by another timer.
        auto finished = std::make_shared<std::list<Run>>();
        finished->splice(finished->end(), m_runs, run);
        m_cleanUp = std::make_unique<Timer>([finished] {});
        m_cleanUp->once(Millis(0));
    }

    void writeJournal(const char* what, SlotGrant slot, const HttpRequest& request)
    {
        const auto key = request.headers.find("idempotency-key");
        const Json line = { { "what", what }, { "upstream", absl::GetFlag(FLAGS_name) }, { "slot", slot.slot.value },
            { "epoch", slot.epoch.value }, { "method", request.method }, { "target", request.target },
            { "key", key == request.headers.end() ? "" : key->second }, { "at_ms", wallNow().count() } };
        m_journal << line.dump() + "\n" << std::flush;
        ++m_counts[what];
    }

    void onControl(const HttpRequest& request, const Responder& responder)
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
    std::unique_ptr<Timer> m_cleanUp; // holds a finished run
    std::list<Responder> m_unanswered; // while silent; kept, so that their connections stay open
    std::map<std::string, std::uint64_t> m_counts; // journal lines by their "what"
    bool m_shed = false; // answers every request with 503
    bool m_silent = false; // answers neither requests nor renewals
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
