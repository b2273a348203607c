#pragma once

#include "core/time.h"
#include "operator_tools/exit_code.h"
#include "transport/endpoint.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// What dotterelctl can be told to do.
enum class Command {
    Apply,
    Diff,
    Sheet,
    Get,
    Status,
    Drain,
    Undrain,
};

/// Static properties of a Command.
struct CommandInfo
{
    Command command;
    std::string_view name;
    std::string_view arguments; ///< As the help shows them.
    std::string_view summary;
    std::size_t leastArguments;
    std::size_t mostArguments;
};

/// Returns all rows of the table of commands, in the order of the enum.
const std::vector<CommandInfo> &commandTable();

/// Returns the properties of \a command.
const CommandInfo &commandInfo(Command command);

/// A command line that was read without a fault.
struct CommandLine
{
    Command command = Command::Status;
    std::vector<std::string> arguments;
    Endpoint platform;
    Duration timeout = std::chrono::seconds(5);
    bool dryRun = false;
    bool prune = false;
    bool keepNewer = false; ///< Sheet: keep what was changed after the export.
    bool json = false;
    std::string exported; ///< Sheet: export time, for a sheet that does not carry one.
};

/// A command line that ends the process at once: help that was asked for, or a fault.
struct CommandLineEnd
{
    ExitCode code = ExitCode::Done;
    std::string text; ///< For standard output if the code is Done, else for standard error.
};

/// Reads \a arguments, the program's name not among them.
tl::expected<CommandLine, CommandLineEnd>
parseCommandLine(const std::vector<std::string> &arguments);

} // namespace dotterel
