#include "entry_host/daemon_command_line.h"

#include "entry_host/process_end_report.h"
#include "state/text_file.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <optional>
#include <popt.h>
#include <random>
#include <sys/stat.h>
#include <unistd.h>

namespace dotterel {

namespace {

constexpr const char *ExitCodeHelp = "Exit codes: 0 success, 2 invalid command line, 3 invalid "
                                     "settings, 4 startup or runtime error\n";

/// Parses the command line into \a options. Returns an exit code if the process has to exit.
std::optional<int> parseOptions(const char *name, int argc, const char **argv,
                                const std::string &additionalHelp, DaemonOptions &options)
{
    char *settingsPath = nullptr;
    int checkOnly = 0;
    const poptOption table[] = {
            {"settings", 's', POPT_ARG_STRING, &settingsPath, 0, "YAML settings of this host",
             "FILE"},
            {"check", 'c', POPT_ARG_NONE, &checkOnly, 0, "check the settings and exit", nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(name, argc, argv, table, 0);
    const std::string help = "[OPTION...]\n" + additionalHelp + ExitCodeHelp;
    poptSetOtherOptionHelp(context, help.c_str());
    const int result = poptGetNextOpt(context);
    const char *unexpectedArgument = poptGetArg(context);
    if (result < -1 || unexpectedArgument != nullptr || settingsPath == nullptr) {
        const char *problem = result < -1                     ? poptStrerror(result)
                              : unexpectedArgument != nullptr ? "unexpected argument"
                                                              : "--settings FILE is required";
        std::cerr << name << ": " << problem << "; see --help\n";
        poptFreeContext(context);
        return ExitInvalidUsage;
    }
    options.settingsPath = settingsPath;
    options.checkOnly = checkOnly != 0;
    std::free(settingsPath);
    poptFreeContext(context);
    return std::nullopt;
}

/// Signals of operators wait until the daemon handles them, so that they cannot end a start.
/// Signals that say nothing to a daemon, and whose usual effect is to end it, are ignored.
void prepareSignals()
{
    constexpr std::array<int, 3> OperatorSignals = {SIGHUP, SIGINT, SIGTERM};
    constexpr std::array<int, 4> IgnoredSignals = {SIGPIPE, SIGUSR1, SIGUSR2, SIGXFSZ};
    sigset_t waiting{};
    sigemptyset(&waiting);
    for (const int number : OperatorSignals)
        sigaddset(&waiting, number);
    pthread_sigmask(SIG_BLOCK, &waiting, nullptr);
    for (const int number : IgnoredSignals)
        std::signal(number, SIG_IGN);
}

/// Makes standard output non-blocking if it is a pipe, so that a full log pipe cannot block the
/// event loop.
void makePipedStdoutNonBlocking()
{
    struct stat status
    {};
    if (fstat(STDOUT_FILENO, &status) == 0 && S_ISFIFO(status.st_mode))
        fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

} // namespace

tl::expected<Settings, std::vector<YamlError>> loadSettings(const std::string &path)
{
    const auto text = readTextFile(path, MaxSettingsBytes);
    if (!text)
        return tl::unexpected(std::vector<YamlError>{{path, 0, "", text.error()}});
    return settingsFromYaml(*text, path);
}

Incarnation generateIncarnation(const Clock &clock)
{
    std::random_device device;
    constexpr unsigned RandomBits = 12;
    return (static_cast<Incarnation>(clock.wallTime()) << RandomBits)
           | (device() & ((1U << RandomBits) - 1));
}

int runDaemon(const char *name, int argc, const char **argv,
              const std::function<int(const DaemonOptions &, const Settings &)> &run,
              const std::string &additionalHelp)
{
    DaemonOptions options;
    if (const std::optional<int> exitCode = parseOptions(name, argc, argv, additionalHelp, options))
        return *exitCode;
    prepareSignals();
    const auto settings = loadSettings(options.settingsPath);
    if (!settings) {
        for (const YamlError &fault : settings.error())
            std::cerr << fault.text() << '\n';
        return ExitInvalidSettings;
    }
    if (options.checkOnly) {
        std::cout << options.settingsPath << ": ok\n";
        return ExitOk;
    }
    makePipedStdoutNonBlocking();
    installProcessEndReport(settings->host);
    try {
        const int exitCode = run(options, *settings);
        reportProcessEnd(exitCode == ExitOk ? ProcessEndReason::Shutdown
                                            : ProcessEndReason::InvalidSettings,
                         exitCode);
        return exitCode;
    } catch (const std::exception &error) {
        std::cerr << name << ": " << error.what() << '\n';
        reportProcessEnd(ProcessEndReason::Exception, ExitRuntimeError, error.what());
        return ExitRuntimeError;
    }
}

} // namespace dotterel
