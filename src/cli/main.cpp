#include "commands.h"
#include "config/settings.h"
#include "observe/explain.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, store, "127.0.0.1:2379", "store endpoints, address:port, separated by commas");
ABSL_FLAG(std::string, hosts, "", "admin endpoints of hosts, address:port, separated by commas");
ABSL_FLAG(std::string, prefix, "/pistachiospur/", "prefix of the router's keys in the store");
ABSL_FLAG(std::string, output, "text", "text, json, or html for reports");
ABSL_FLAG(int64_t, based_on, -1, "publish only if this is the current revision");

namespace {

using namespace pistachiospur;
namespace leaf = boost::leaf;

int help(const std::vector<std::string>& arguments)
{
    for (const auto& it : commandTable()) {
        if (arguments.empty() || arguments[0] == it.name)
            std::cout << "pistachiospur " << it.name << " " << it.arguments << "\n    " << it.purpose << "\n";
    }
    if (arguments.empty() || arguments[0] == "explain")
        std::cout << "pistachiospur explain REQUEST FILE...\n    show the lines of hosts' logs that explain a "
                     "request's outcome\n";
    std::cout << "flags: --store=IP:PORT,... --hosts=IP:PORT,... --prefix=TEXT --output=text|json|html --based_on=N\n";
    return 0;
}

leaf::result<std::vector<Endpoint>> parseEndpoints(const std::string& flag, const std::string& list)
{
    std::vector<Endpoint> endpoints;
    for (const std::string& it : std::vector<std::string>(absl::StrSplit(list, ',', absl::SkipEmpty()))) {
        const auto endpoint = parseEndpoint(it);
        if (!endpoint)
            return leaf::new_error(UsageError { flag, it + " is not address:port with a numeric IP address" });
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

leaf::result<OutputFormat> parseOutput(const std::string& name)
{
    if (name == "text")
        return OutputFormat::text;
    if (name == "json")
        return OutputFormat::json;
    if (name == "html")
        return OutputFormat::html;
    return leaf::new_error(UsageError { "--output", "must be text, json or html" });
}

// Reads log files only, so it needs no store.
CommandResult explain(const std::vector<std::string>& arguments)
{
    if (arguments.size() < 2)
        return leaf::new_error(UsageError { "explain", "needs a request id and at least one log file" });
    std::vector<std::string> logs;
    for (auto path = arguments.begin() + 1; path != arguments.end(); ++path) {
        BOOST_LEAF_AUTO(text, readFile(*path));
        logs.push_back(std::move(text));
    }
    const auto lines = explainRequest(arguments[0], logs);
    if (lines.empty())
        return leaf::new_error(NotFoundError { "request", arguments[0] });
    for (const auto& it : lines)
        std::cout << it << "\n";
    return ExitStatus::ok;
}

CommandResult runTool(const std::string& name, std::vector<std::string> arguments)
{
    if (name == "explain")
        return explain(arguments);
    BOOST_LEAF_AUTO(output, parseOutput(absl::GetFlag(FLAGS_output)));
    BOOST_LEAF_AUTO(store, parseEndpoints("--store", absl::GetFlag(FLAGS_store)));
    BOOST_LEAF_AUTO(hosts, parseEndpoints("--hosts", absl::GetFlag(FLAGS_hosts)));
    if (store.empty())
        return leaf::new_error(UsageError { "--store", "needs at least one endpoint" });
    OperatorClient client(store, absl::GetFlag(FLAGS_prefix), hosts);
    CommandContext context { client, output, std::nullopt, std::move(arguments) };
    if (absl::GetFlag(FLAGS_based_on) >= 0)
        context.basedOn = Revision { static_cast<std::uint64_t>(absl::GetFlag(FLAGS_based_on)) };
    return runCommand(context, name);
}

// Prints a failure: as JSON on standard output with --output=json, else as text on standard error.
int fail(ExitStatus status, const char* kind, const std::string& text, const Json& facts = Json::object())
{
    if (absl::GetFlag(FLAGS_output) == "json")
        std::cout << Json { { "error", kind }, { "text", text }, { "facts", facts } }.dump(2) << "\n";
    else
        std::cerr << text << "\n";
    return static_cast<int>(status);
}

int failDocument(const DocumentError& error)
{
    Json facts = Json::array();
    std::string text;
    for (const auto& it : error.faults) {
        facts.push_back({ { "fault", faultName(it.fault) }, { "object", it.object }, { "field", it.field },
            { "value", it.value }, { "allowed", it.allowed } });
        text += (text.empty() ? "" : "\n") + describe(it);
    }
    return fail(ExitStatus::refusedDocument, "refused-document", text, facts);
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("pistachiospur COMMAND [ARGUMENTS]; pistachiospur help lists the commands");
    const auto positional = absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> arguments(positional.begin() + 1, positional.end());
    const std::string name = arguments.empty() ? "help" : arguments[0];
    if (!arguments.empty())
        arguments.erase(arguments.begin());
    if (name == "help")
        return help(arguments);
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(status, runTool(name, arguments));
            return static_cast<int>(status);
        },
        [](const DocumentError& error) { return failDocument(error); },
        [](const FileError& error) { return fail(ExitStatus::refusedDocument, "file", describe(error)); },
        [](const UsageError& error) { return fail(ExitStatus::usage, "usage", error.command + ": " + error.reason); },
        [](const RevisionConflict& error) {
            return fail(ExitStatus::conflict, "conflict",
                "based on revision " + std::to_string(error.basedOn.value) + ", but the current revision is "
                    + std::to_string(error.current.value) + "; nothing was published",
                { { "based_on", error.basedOn.value }, { "current", error.current.value } });
        },
        [](const StoreError& error) {
            const bool unknown = error.outcome == WriteOutcome::unknown;
            return fail(unknown ? ExitStatus::effectUnknown : ExitStatus::notApplied,
                unknown ? "effect-unknown" : "not-applied", describe(error));
        },
        [](const HostError& error) {
            return fail(ExitStatus::hostUnreachable, "host-unreachable",
                "no usable answer from host " + error.endpoint.text() + " (HTTP status "
                    + std::to_string(error.httpStatus) + "; 0: no answer)");
        },
        [](const NotFoundError& error) {
            return fail(ExitStatus::notFound, "not-found", "no " + error.kind + " " + error.name);
        },
        [] { return fail(ExitStatus::usage, "internal", "internal error: unexpected error type"); });
}
