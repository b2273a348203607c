#include "platform/soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <popt.h>

namespace {

constexpr int ExitViolation = 1;
constexpr int ExitUsage = 2;

/// Measures the streams and the memory of one host next to \a floods responses without end.
bool measureFloods(const dotterel::soak::SoakOptions &options, std::size_t floods)
{
    dotterel::soak::SoakRun run(options);
    std::vector<dotterel::Duration> times = run.executeFloods(floods);
    std::sort(times.begin(), times.end());
    const auto quantileMs = [&times](double quantile) {
        if (times.empty())
            return -1.0;
        const auto index =
                static_cast<std::size_t>(static_cast<double>(times.size() - 1) * quantile);
        return dotterel::toSeconds(times[index]) * 1'000;
    };
    std::cout << floods << " floods: " << times.size() << " whole streams, median "
              << quantileMs(0.5) << " ms, 95% " << quantileMs(0.95) << " ms; peak "
              << run.peakMemoryMb() << " MB; " << run.results().violations().size()
              << " guarantees violated\n";
    return run.results().violations().empty();
}

/// Executes one run, prints a summary and returns true if no guarantee was violated.
bool executeRun(dotterel::soak::SoakOptions options, int floods)
{
    std::string directory =
            (std::filesystem::temp_directory_path() / "dotterelsoak-XXXXXX").string();
    if (mkdtemp(directory.data()) == nullptr) {
        std::cerr << "dotterelsoak: cannot create a directory for logs\n";
        return false;
    }
    options.directory = directory;
    if (floods >= 0)
        return measureFloods(options, static_cast<std::size_t>(floods));
    dotterel::soak::SoakRun run(options);
    run.execute();
    const dotterel::soak::SoakChecker &results = run.results();
    std::cout << "seed " << options.seed << ": " << results.requestCount() << " requests, "
              << results.countWithStatus(200) << " succeeded, " << results.countWithStatus(503)
              << " refused, " << results.countWithStatus(502) + results.countWithStatus(504)
              << " failed, " << results.countWithStatus(0) << " without a response; "
              << run.faultCount() << " faults; " << run.deadlyLoad().crashCount() << " crashes, "
              << run.deadlyLoad().lateArrivals() << " late; " << run.peakMemoryMb() << " MB; "
              << results.violations().size() << " guarantees violated\n";
    for (const std::string &violation : results.violations())
        std::cout << "  " << violation << "\n";
    if (results.violations().empty())
        std::filesystem::remove_all(directory);
    else
        std::cout << "  logs in " << directory << "\n";
    return results.violations().empty();
}

} // namespace

int main(int argc, const char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    dotterel::soak::SoakOptions options;
    const char *gatewayPath = nullptr;
    int firstSeed = 1;
    int runCount = 1;
    int faultSeconds = 20;
    int hostCount = 4;
    int floods = -1;
    int deadlyPercent = -1;
    int oddValues = 0;
    const poptOption optionTable[] = {
            {"program", 'p', POPT_ARG_STRING, &gatewayPath, 0, "Gateway executable", "PATH"},
            {"seed", 's', POPT_ARG_INT, &firstSeed, 0, "First seed", "N"},
            {"runs", 'n', POPT_ARG_INT, &runCount, 0, "Number of runs, with consecutive seeds",
             "N"},
            {"seconds", 't', POPT_ARG_INT, &faultSeconds, 0, "Duration of fault injection per run",
             "N"},
            {"hosts", 0, POPT_ARG_INT, &hostCount, 0, "Number of gateway hosts", "N"},
            {"deadly", 0, POPT_ARG_INT, &deadlyPercent, 0,
             "Play requests that crash servers; N percent of them are parts of prompts", "N"},
            {"odd", 0, POPT_ARG_NONE, &oddValues, 0,
             "Play odd values from store, servers, callers and peers", nullptr},
            {"floods", 0, POPT_ARG_INT, &floods, 0,
             "Instead of a run, measure one host next to N responses without end", "N"},
            POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("dotterelsoak", argc, argv, optionTable, 0);
    const int parseResult = poptGetNextOpt(context);
    if (parseResult < -1 || gatewayPath == nullptr || runCount < 1 || faultSeconds < 1
        || hostCount < 1) {
        std::cerr << "dotterelsoak: --program PATH is required; numbers must be 1 or more\n";
        poptFreeContext(context);
        return ExitUsage;
    }
    poptFreeContext(context);
    options.gatewayPath = gatewayPath;
    options.faultDuration = std::chrono::seconds(faultSeconds);
    options.hostCount = static_cast<std::size_t>(hostCount);
    options.deadlyLoad = deadlyPercent >= 0;
    options.oddValues = oddValues != 0;
    options.deadlyPartShare = deadlyPercent / 100.0;
    bool allPassed = true;
    for (int run = 0; run < runCount; ++run) {
        options.seed = static_cast<std::uint64_t>(firstSeed) + static_cast<std::uint64_t>(run);
        allPassed = executeRun(options, floods) && allPassed;
    }
    return allPassed ? EXIT_SUCCESS : ExitViolation;
}
