#include "daemon.h"
#include "gateway/gateway.h"
#include "observe/log.h"
#include "platform/adapter.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <system_error>

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file; default: the value of PISTACHIOSPUR_SETTINGS");
ABSL_FLAG(bool, check_settings, false, "check the settings and exit");
ABSL_FLAG(bool, help_settings, false, "list every limit with its unit, default and bounds, and exit");

namespace {

using namespace pistachiospur;
namespace leaf = boost::leaf;

// Exit statuses, as documented for operators.
constexpr int kOk = 0;
constexpr int kBadSettings = 2;
constexpr int kCannotListen = 3;
// Memory blocks of this size or more, those of bodies, go back to the system when they are freed.
constexpr int kReturnedBlockBytes = 128 << 10;

int listSettings()
{
    for (const auto& option : limitOptions())
        std::cout << "limits." << option.name << " (" << option.unit << "): default " << option.defaultValue
                  << ", from " << option.min << " to " << option.max << (option.reloadable ? ", reread on SIGHUP" : "")
                  << ": " << option.purpose << "\n";
    return kOk;
}

// Constructs a server, runs it until it stops, and exits the process.
template <typename Server, typename... Arguments> int serve(Arguments&&... arguments)
{
    try {
        static Server server(std::forward<Arguments>(arguments)...);
        const int status = server.run();
        std::cout.flush();
        std::_Exit(status); // skips destructors: all exchanges have ended and nothing is unsaved
    } catch (const std::system_error& error) {
        logError(std::string("cannot listen: ") + error.what());
        return kCannotListen;
    }
}

// Starts a gateway if the settings name a platform, and otherwise a daemon, whose upstreams implement the grant
// protocol in pistachiospur/grant.h.
leaf::result<int> start(const std::string& path, bool checkOnly)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    if (isGatewayDocument(text)) {
        BOOST_LEAF_AUTO(settings, parseGatewaySettings(text, path));
        return checkOnly ? kOk : serve<Gateway>(settings, path, platform::kvPlatformAdapter());
    }
    BOOST_LEAF_AUTO(settings, parseSettings(text, path));
    startLog(settings.logFormat == "json" ? LogFormat::json : LogFormat::human, settings.host);
    return checkOnly ? kOk : serve<Daemon>(settings, path);
}

// The path from the command line, or else from the environment variable.
std::string settingsPath()
{
    const std::string given = absl::GetFlag(FLAGS_settings);
    const char* fromEnvironment = std::getenv("PISTACHIOSPUR_SETTINGS");
    return given.empty() && fromEnvironment ? fromEnvironment : given;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("pistachiospurd --settings FILE [--check_settings]");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_help_settings))
        return listSettings();
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
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
