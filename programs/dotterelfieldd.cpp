#include "core/structured_log.h"
#include "entry_host/entry_host.h"
#include "operator_tools/reference_pages.h"
#include "state/text_file.h"

#include <csignal>
#include <iostream>
#include <popt.h>
#include <random>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitBadUsage = 2;
constexpr int ExitBadSettings = 3;
constexpr int ExitCannotRun = 4;

constexpr const char *OtherHelp =
        "[OPTION...]\n  --print-events|--print-metrics|--print-settings|--print-sheet|"
        "--print-commands\n                          print the tables of a page in docs/ and exit\n"
        "Exit codes: 0 ended as asked, 2 bad command line, 3 bad settings, 4 cannot run\n";

struct Options
{
    std::string settingsPath;
    bool checkOnly = false;
};

/// Prints the generated part of a page if \a argument names one.
bool printPage(const std::string &argument)
{
    for (const dotterel::ReferencePage &page : dotterel::referencePages()) {
        if (argument != "--" + std::string(page.option))
            continue;
        std::cout << page.text();
        return true;
    }
    return false;
}

/// Reads the command line; returns an exit code if the process should end.
std::optional<int> parseOptions(int argc, const char **argv, Options &options)
{
    char *settingsPath = nullptr;
    int checkOnly = 0;
    const poptOption table[] = {
            {"settings", 's', POPT_ARG_STRING, &settingsPath, 0, "YAML settings of this host",
             "FILE"},
            {"check", 'c', POPT_ARG_NONE, &checkOnly, 0, "check the settings and exit", nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("dotterelfieldd", argc, argv, table, 0);
    poptSetOtherOptionHelp(context, OtherHelp);
    const int result = poptGetNextOpt(context);
    const char *surplus = poptGetArg(context);
    if (result < -1 || surplus != nullptr || settingsPath == nullptr) {
        const char *what = result < -1          ? poptStrerror(result)
                           : surplus != nullptr ? "takes no arguments"
                                                : "--settings FILE is required";
        std::cerr << "dotterelfieldd: " << what << "; see --help\n";
        poptFreeContext(context);
        return ExitBadUsage;
    }
    options.settingsPath = settingsPath;
    options.checkOnly = checkOnly != 0;
    std::free(settingsPath);
    poptFreeContext(context);
    return std::nullopt;
}

tl::expected<dotterel::Settings, std::vector<dotterel::YamlFault>>
loadSettings(const std::string &path)
{
    const auto text = dotterel::readTextFile(path, dotterel::MostSettingsBytes);
    if (!text)
        return tl::unexpected(std::vector<dotterel::YamlFault>{{path, 0, "", text.error()}});
    return dotterel::settingsFromYaml(*text, path);
}

/// A later start of the same host draws a higher number; the low bits part two starts at once.
dotterel::Incarnation drawIncarnation(const dotterel::Clock &clock)
{
    std::random_device device;
    constexpr unsigned RandomBits = 12;
    return (static_cast<dotterel::Incarnation>(clock.wallTime()) << RandomBits)
           | (device() & ((1U << RandomBits) - 1));
}

int runHost(const dotterel::Settings &settings)
{
    dotterel::EventLoop loop;
    dotterel::StructuredLog log(settings.host, settings.logThreshold);
    dotterel::EntryHost host(loop, settings, drawIncarnation(loop), log, [&loop] { loop.stop(); });
    const auto shutDown = [&host, &loop] { host.beginShutdown([&loop] { loop.stop(); }); };
    const dotterel::EventLoop::TimerHandle onTerminate = loop.onSignal(SIGTERM, shutDown);
    const dotterel::EventLoop::TimerHandle onInterrupt = loop.onSignal(SIGINT, shutDown);
    loop.run();
    return ExitOk;
}

} // namespace

int main(int argc, const char **argv)
{
    if (argc == 2 && printPage(argv[1]))
        return ExitOk;
    Options options;
    const std::optional<int> early = parseOptions(argc, argv, options);
    if (early)
        return *early;
    const auto settings = loadSettings(options.settingsPath);
    if (!settings) {
        for (const dotterel::YamlFault &fault : settings.error())
            std::cerr << fault.text() << '\n';
        return ExitBadSettings;
    }
    if (options.checkOnly) {
        std::cout << options.settingsPath << ": ok\n";
        return ExitOk;
    }
    try {
        return runHost(*settings);
    } catch (const std::exception &error) {
        std::cerr << "dotterelfieldd: " << error.what() << '\n';
        return ExitCannotRun;
    }
}
