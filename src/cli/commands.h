#pragma once

#include "client.h"

#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <vector>

// The commands of the operators' tool. A command prints its result and returns the exit status; a failure is returned
// as a typed error.
namespace pistachiospur {

// Exit statuses, as documented for operators.
enum class ExitStatus : int {
    ok = 0,
    refusedDocument = 1,
    usage = 2,
    conflict = 3,
    notApplied = 4,
    effectUnknown = 5,
    hostUnreachable = 6,
    notFound = 7,
};

enum class OutputFormat { text, json, html };

// An invalid command line.
struct UsageError {
    std::string command;
    std::string reason;
};

// An object, request or host that was not found.
struct NotFoundError {
    std::string kind;
    std::string name;
};

struct CommandContext {
    OperatorClient& client;
    OutputFormat output = OutputFormat::text;
    std::optional<Revision> basedOn; // from --based_on
    std::vector<std::string> arguments;
};

using CommandResult = boost::leaf::result<ExitStatus>;

struct CommandInfo {
    const char* name;
    const char* arguments;
    const char* purpose;
    std::size_t minArguments;
    std::size_t maxArguments;
    CommandResult (*run)(CommandContext&);
};

const std::vector<CommandInfo>& commandTable();
CommandResult runCommand(CommandContext&, const std::string& name);

} // namespace pistachiospur
