// A stand-in for the platform's host list, which lags. GET /hosts returns the list as it was `lag_ms` ago. POST
// /control with {"host", "data_centre", "peers", "state": live | leaving | gone} changes it.
#include "io/http_server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <deque>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 0, "port to listen on; 0: any free port. The port is printed on standard output");
ABSL_FLAG(int, lag_ms, 0, "age in milliseconds of the list that GET /hosts returns");

namespace {

using namespace pistachiospur;
using Json = nlohmann::json;

class HostListStandin {
public:
    HostListStandin()
        : m_server({ absl::GetFlag(FLAGS_address), static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)) }, 1u << 20,
            [this](const HttpRequest& request, const Responder& responder) { onRequest(request, responder); })
    {
        recordList();
    }

    std::uint16_t port() const { return m_server.port(); }

private:
    void onRequest(const HttpRequest& request, const Responder& responder)
    {
        if (request.path == "/hosts")
            return responder.respond({ 200, { { "Content-Type", "application/json" } }, laggingList() });
        const Json body = Json::parse(request.body, nullptr, false);
        if (request.path != "/control" || !body.is_object() || !body.contains("host"))
            return responder.respond({ 400, {}, "{}" });
        const std::string host = body["host"];
        if (body.value("state", "live") == "gone")
            m_hosts.erase(host);
        else
            m_hosts[host].update(body);
        recordList();
        responder.respond({ 200, {}, "{}\n" });
    }

    // Adds the current list to the history.
    void recordList()
    {
        Json hosts = Json::array();
        for (const auto& [name, it] : m_hosts)
            hosts.push_back(it);
        m_lists.emplace_back(monotonicNow(), Json { { "hosts", hosts } }.dump());
    }

    std::string laggingList()
    {
        const Millis shownAt = monotonicNow() - Millis(absl::GetFlag(FLAGS_lag_ms));
        while (m_lists.size() > 1 && m_lists[1].first <= shownAt)
            m_lists.pop_front();
        return m_lists.front().second;
    }

    std::map<std::string, Json> m_hosts;
    std::deque<std::pair<Millis, std::string>> m_lists; // history: time and text, oldest first
    HttpServer m_server;
};

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    static HostListStandin standin;
    std::cout << standin.port() << std::endl;
    static SignalWatcher terminate(SIGTERM, breakLoop);
    runLoop();
    std::_Exit(0);
}
