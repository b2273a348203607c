#include "platform/soak/soak_run.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <popt.h>

namespace {

constexpr int ExitBroken = 1;
constexpr int ExitUsage = 2;

/// Plays one run, prints what it saw and returns true if every promise was kept.
bool playOne(dotterel::soak::SoakOptions options)
{
    std::string directory =
            (std::filesystem::temp_directory_path() / "dotterelsoak-XXXXXX").string();
    if (mkdtemp(directory.data()) == nullptr) {
        std::cerr << "dotterelsoak: cannot make a directory for logs\n";
        return false;
    }
    options.directory = directory;
    dotterel::soak::SoakRun run(options);
    run.play();
    const dotterel::soak::SoakRecord &record = run.record();
    std::cout << "seed " << options.seed << ": " << record.requests() << " requests, "
              << record.ended(200) << " served, " << record.ended(503) << " refused, "
              << record.ended(502) + record.ended(504) << " failed, " << record.ended(0)
              << " without an answer; " << run.faults() << " faults; " << record.findings().size()
              << " promises broken\n";
    for (const std::string &finding : record.findings())
        std::cout << "  " << finding << "\n";
    if (record.findings().empty())
        std::filesystem::remove_all(directory);
    else
        std::cout << "  logs in " << directory << "\n";
    return record.findings().empty();
}

} // namespace

int main(int argc, const char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    dotterel::soak::SoakOptions options;
    const char *program = nullptr;
    int firstSeed = 1;
    int runs = 1;
    int length = 20;
    int hosts = 4;
    const poptOption table[] = {
            {"program", 'p', POPT_ARG_STRING, &program, 0, "Gateway to run", "PATH"},
            {"seed", 's', POPT_ARG_INT, &firstSeed, 0, "First seed", "N"},
            {"runs", 'n', POPT_ARG_INT, &runs, 0, "Runs, each with the next seed", "N"},
            {"seconds", 't', POPT_ARG_INT, &length, 0, "Length of the faults of a run", "N"},
            {"hosts", 0, POPT_ARG_INT, &hosts, 0, "Entry hosts", "N"},
            POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("dotterelsoak", argc, argv, table, 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1 || program == nullptr || runs < 1 || length < 1 || hosts < 1) {
        std::cerr << "dotterelsoak: --program PATH is needed, and counts of 1 or more\n";
        poptFreeContext(context);
        return ExitUsage;
    }
    poptFreeContext(context);
    options.program = program;
    options.length = std::chrono::seconds(length);
    options.hosts = static_cast<std::size_t>(hosts);
    bool allKept = true;
    for (int run = 0; run < runs; ++run) {
        options.seed = static_cast<std::uint64_t>(firstSeed) + static_cast<std::uint64_t>(run);
        allKept = playOne(options) && allKept;
    }
    return allKept ? EXIT_SUCCESS : ExitBroken;
}
