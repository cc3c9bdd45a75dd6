#include "daemon.h"
#include "gateway/gateway.h"
#include "observe/log.h"
#include "platform/dialect.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <system_error>

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file; else PISTACHIOSPUR_SETTINGS");
ABSL_FLAG(bool, check_settings, false, "check the settings and exit");
ABSL_FLAG(bool, help_settings, false, "list every limit with its unit, default and bounds, and exit");

namespace {

using namespace pistachiospur;
namespace leaf = boost::leaf;

// Exit statuses, as in the operators' page.
constexpr int kOk = 0;
constexpr int kBadSettings = 2;
constexpr int kCannotListen = 3;

int listSettings()
{
    for (const auto& it : limitOptions())
        std::cout << "limits." << it.name << " (" << it.unit << "): default " << it.fallback << ", from " << it.least
                  << " to " << it.greatest << (it.reloadable ? ", reread on SIGHUP" : "") << ": " << it.purpose << "\n";
    return kOk;
}

// Runs a part that owns the whole process until it stops.
template <typename Part, typename... Arguments> int serve(Arguments&&... arguments)
{
    try {
        static Part part(std::forward<Arguments>(arguments)...);
        const int status = part.run();
        std::cout.flush();
        std::_Exit(status); // open exchanges are over; nothing is left to save
    } catch (const std::system_error& error) {
        logError(std::string("cannot listen: ") + error.what());
        return kCannotListen;
    }
}

// Settings that name a platform run a gateway on it; all others run against the project's own protocol.
leaf::result<int> start(const std::string& path, bool checkOnly)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    if (isGatewayDocument(text)) {
        BOOST_LEAF_AUTO(settings, parseGatewaySettings(text, path));
        return checkOnly ? kOk : serve<Gateway>(settings, path, platform::kvDialect());
    }
    BOOST_LEAF_AUTO(settings, parseSettings(text, path));
    startLog(settings.logFormat == "json" ? LogFormat::json : LogFormat::human, settings.host);
    return checkOnly ? kOk : serve<Daemon>(settings, path);
}

// The path given, or the one that the platform sets.
std::string settingsPath()
{
    const std::string given = absl::GetFlag(FLAGS_settings);
    const char* set = std::getenv("PISTACHIOSPUR_SETTINGS");
    return given.empty() && set ? set : given;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("pistachiospurd --settings FILE [--check_settings]");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_help_settings))
        return listSettings();
    std::signal(SIGPIPE, SIG_IGN);
    return leaf::try_handle_all([] { return start(settingsPath(), absl::GetFlag(FLAGS_check_settings)); },
        [](const DocumentError& error) {
            for (const auto& it : error.faults)
                std::cerr << describe(it) << "\n";
            return kBadSettings;
        },
        [](const FileError& error) {
            std::cerr << describe(error) << "\n";
            return kBadSettings;
        },
        [] { return kBadSettings; });
}
