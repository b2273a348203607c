#include "operator_tools/command_line.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <popt.h>

namespace dotterel {

namespace {

constexpr int LargestPort = 65'535;
constexpr int LongestTimeoutMilliseconds = 600'000;

/// Where popt puts the values of options.
struct RawOptions
{
    char *address = nullptr;
    int port = 0;
    int timeoutMilliseconds = 5'000;
    int help = 0;
    int dryRun = 0;
    int prune = 0;
    int keepNewer = 0;
    int json = 0;
    char *exported = nullptr;

    RawOptions() = default;
    RawOptions(const RawOptions &) = delete;
    RawOptions &operator=(const RawOptions &) = delete;
    ~RawOptions()
    {
        std::free(this->address);
        std::free(this->exported);
    }
};

poptOption flag(const char *name, int &value, const char *help)
{
    return {name, '\0', POPT_ARG_NONE, &value, 0, help, nullptr};
}

std::vector<poptOption> globalOptions(RawOptions &raw)
{
    return {{"platform-address", 'a', POPT_ARG_STRING, &raw.address, 0,
             "IP number of the platform (127.0.0.1)", "IP"},
            {"platform-port", 'p', POPT_ARG_INT, &raw.port, 0, "port of the platform", "PORT"},
            {"timeout-ms", 't', POPT_ARG_INT, &raw.timeoutMilliseconds, 0,
             "longest wait for one answer (5000)", "MS"},
            {"help", 'h', POPT_ARG_NONE, &raw.help, 0, "show this help and exit", nullptr}};
}

std::vector<poptOption> optionsOf(Command command, RawOptions &raw)
{
    std::vector<poptOption> options = globalOptions(raw);
    const auto add = [&options](const poptOption &option) { options.push_back(option); };
    if (command == Command::Apply || command == Command::Sheet) {
        add(flag("dry-run", raw.dryRun, "show what would change and write nothing"));
        add(flag("prune", raw.prune, "remove stored objects that the file does not name"));
    }
    if (command == Command::Diff)
        add(flag("prune", raw.prune, "count stored objects that the file does not name"));
    if (command == Command::Sheet) {
        add(flag("keep-newer", raw.keepNewer, "keep objects that were changed after the export"));
        add({"exported", '\0', POPT_ARG_STRING, &raw.exported, 0,
             "export time of a sheet that does not carry one, such as 2026-12-03T06:00:00-03:00",
             "TIME"});
    }
    if (command == Command::Get || command == Command::Status)
        add(flag("json", raw.json, "write JSON in place of a table"));
    return options;
}

/// One pass of popt over some arguments; owns what popt points to.
class OptionParser
{
public:
    OptionParser(std::string title, std::vector<std::string> arguments,
                 std::vector<poptOption> table, unsigned flags)
        : title(std::move(title))
        , arguments(std::move(arguments))
        , table(std::move(table))
    {
        this->table.push_back(POPT_TABLEEND);
        this->pointers.push_back(this->title.c_str());
        for (const std::string &argument : this->arguments)
            this->pointers.push_back(argument.c_str());
        // popt reads argv up to a null pointer.
        const int count = static_cast<int>(this->pointers.size());
        this->pointers.push_back(nullptr);
        this->context.reset(poptGetContext(this->title.c_str(), count, this->pointers.data(),
                                           this->table.data(), flags));
    }

    /// Reads all options; returns the fault, or an empty text.
    std::string parse()
    {
        const int result = poptGetNextOpt(this->context.get());
        if (result >= -1)
            return {};
        return std::string(poptBadOption(this->context.get(), POPT_BADOPTION_NOALIAS)) + ": "
               + poptStrerror(result);
    }

    /// Returns the arguments that are not options.
    std::vector<std::string> rest()
    {
        std::vector<std::string> texts;
        while (const char *argument = poptGetArg(this->context.get()))
            texts.emplace_back(argument);
        return texts;
    }

    /// Returns the help that popt writes, with \a usage after the title.
    std::string help(const std::string &usage)
    {
        poptSetOtherOptionHelp(this->context.get(), usage.c_str());
        char *buffer = nullptr;
        std::size_t size = 0;
        std::FILE *file = open_memstream(&buffer, &size);
        poptPrintHelp(this->context.get(), file, 0);
        std::fclose(file);
        const std::unique_ptr<char, decltype(&std::free)> owner(buffer, &std::free);
        return {buffer, size};
    }

private:
    struct ContextDeleter
    {
        void operator()(poptContext context) const { poptFreeContext(context); }
    };

    std::string title;
    std::vector<std::string> arguments;
    std::vector<poptOption> table;
    std::vector<const char *> pointers;
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter> context;
};

std::string padded(std::string_view text, std::size_t width)
{
    std::string result(text);
    result.resize(std::max(width, result.size()), ' ');
    return result;
}

std::string exitCodeHelp()
{
    std::string text = "\nExit codes:\n";
    for (const ExitCodeInfo &info : exitCodeTable()) {
        text += "  " + std::to_string(static_cast<int>(info.code)) + "  "
                + std::string(info.meaning) + "\n";
    }
    return text;
}

std::string commandHelp()
{
    constexpr std::size_t NameWidth = 10;
    constexpr std::size_t ArgumentsWidth = 16;
    std::string text = "\nCommands:\n";
    for (const CommandInfo &info : commandTable()) {
        text += "  " + padded(info.name, NameWidth) + padded(info.arguments, ArgumentsWidth)
                + std::string(info.summary) + "\n";
    }
    return text + "\n`dotterelctl COMMAND --help` shows the options of one command.\n";
}

std::string commandNames()
{
    std::string names;
    for (const CommandInfo &info : commandTable())
        names += (names.empty() ? "" : ", ") + std::string(info.name);
    return names;
}

tl::unexpected<CommandLineEnd> end(ExitCode code, const std::string &text)
{
    return tl::unexpected(CommandLineEnd{code, text});
}

tl::unexpected<CommandLineEnd> badUsage(const std::string &title, const std::string &message)
{
    return end(ExitCode::BadUsage, title + ": " + message + "; see " + title + " --help\n");
}

const CommandInfo *commandNamed(const std::string &name)
{
    for (const CommandInfo &info : commandTable()) {
        if (info.name == name)
            return &info;
    }
    return nullptr;
}

/// Returns what is wrong with the values of options, or an empty text.
std::string valueFault(const RawOptions &raw)
{
    if (raw.address != nullptr && !isIpAddress(raw.address))
        return "--platform-address must be an IP number, not \"" + std::string(raw.address) + "\"";
    if (raw.port < 1 || raw.port > LargestPort)
        return "--platform-port must be given, from 1 to " + std::to_string(LargestPort);
    if (raw.timeoutMilliseconds < 1 || raw.timeoutMilliseconds > LongestTimeoutMilliseconds)
        return "--timeout-ms must be from 1 to " + std::to_string(LongestTimeoutMilliseconds);
    return {};
}

std::string countFault(const CommandInfo &info, std::size_t count)
{
    if (count < info.leastArguments)
        return std::string(info.arguments) + " is missing";
    if (count > info.mostArguments)
        return "too many arguments; it takes "
               + (info.mostArguments == 0 ? "none" : std::string(info.arguments));
    return {};
}

CommandLine commandLineOf(const CommandInfo &info, const RawOptions &raw,
                          std::vector<std::string> arguments)
{
    CommandLine line;
    line.command = info.command;
    line.arguments = std::move(arguments);
    if (raw.address != nullptr)
        line.platform.address = raw.address;
    line.platform.port = static_cast<std::uint16_t>(raw.port);
    line.timeout = std::chrono::milliseconds(raw.timeoutMilliseconds);
    line.dryRun = raw.dryRun != 0;
    line.prune = raw.prune != 0;
    line.keepNewer = raw.keepNewer != 0;
    line.json = raw.json != 0;
    line.exported = raw.exported == nullptr ? "" : raw.exported;
    return line;
}

tl::expected<CommandLine, CommandLineEnd> parseCommand(const CommandInfo &info, RawOptions &raw,
                                                       const std::vector<std::string> &arguments)
{
    const std::string title = "dotterelctl " + std::string(info.name);
    OptionParser parser(title, arguments, optionsOf(info.command, raw), 0);
    const std::string fault = parser.parse();
    if (!fault.empty())
        return badUsage(title, fault);
    if (raw.help != 0) {
        const std::string summary = "  " + std::string(info.summary) + ".\n";
        return end(ExitCode::Done, parser.help("[OPTION...] " + std::string(info.arguments)) + "\n"
                                           + summary + exitCodeHelp());
    }
    std::vector<std::string> rest = parser.rest();
    const std::string wrongCount = countFault(info, rest.size());
    if (!wrongCount.empty())
        return badUsage(title, wrongCount);
    const std::string wrongValue = valueFault(raw);
    if (!wrongValue.empty())
        return badUsage(title, wrongValue);
    return commandLineOf(info, raw, std::move(rest));
}

} // namespace

const std::vector<CommandInfo> &commandTable()
{
    static const std::vector<CommandInfo> table = {
            {Command::Apply, "apply", "FILE", "store the objects of a YAML file", 1, 1},
            {Command::Diff, "diff", "FILE", "show what apply would change", 1, 1},
            {Command::Sheet, "sheet", "FILE", "store the objects of the planners' sheet", 1, 1},
            {Command::Get, "get", "[KIND]",
             "show stored workspaces, classes, pools, servers or policy", 0, 1},
            {Command::Status, "status", "", "show entry hosts and backend servers", 0, 0},
            {Command::Drain, "drain", "SERVER|HOST",
             "give a backend server no new work, or shut an entry host down gracefully", 1, 1},
            {Command::Undrain, "undrain", "SERVER", "give a backend server new work again", 1, 1},
    };
    return table;
}

const CommandInfo &commandInfo(Command command)
{
    return commandTable().at(static_cast<std::size_t>(command));
}

tl::expected<CommandLine, CommandLineEnd>
parseCommandLine(const std::vector<std::string> &arguments)
{
    const std::string title = "dotterelctl";
    RawOptions raw;
    OptionParser parser(title, arguments, globalOptions(raw), POPT_CONTEXT_POSIXMEHARDER);
    const std::string fault = parser.parse();
    if (!fault.empty())
        return badUsage(title, fault);
    if (raw.help != 0)
        return end(ExitCode::Done, parser.help("[OPTION...] COMMAND [ARGUMENT...]") + commandHelp()
                                           + exitCodeHelp());
    std::vector<std::string> rest = parser.rest();
    if (rest.empty())
        return badUsage(title, "a command is missing; it is one of " + commandNames());
    const CommandInfo *info = commandNamed(rest.front());
    if (info == nullptr)
        return badUsage(title,
                        "unknown command \"" + rest.front() + "\"; it is one of " + commandNames());
    rest.erase(rest.begin());
    return parseCommand(*info, raw, rest);
}

} // namespace dotterel
