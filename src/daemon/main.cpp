#include "daemon.h"
#include "observe/log.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <iostream>
#include <system_error>

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file");
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

int serve(const Settings& settings, const std::string& path)
{
    startLog(settings.logFormat == "json" ? LogFormat::json : LogFormat::human, settings.host);
    try {
        static Daemon daemon(settings, path);
        const int status = daemon.run();
        std::cout.flush();
        std::_Exit(status); // open exchanges are over; nothing is left to save
    } catch (const std::system_error& error) {
        logError(std::string("cannot listen: ") + error.what());
        return kCannotListen;
    }
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("pistachiospurd --settings FILE [--check_settings]");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_help_settings))
        return listSettings();
    std::signal(SIGPIPE, SIG_IGN);
    const std::string path = absl::GetFlag(FLAGS_settings);
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(settings, loadSettings(path));
            return absl::GetFlag(FLAGS_check_settings) ? kOk : serve(settings, path);
        },
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
