#include "core/structured_log.h"
#include "entry_host/daemon_command_line.h"
#include "entry_host/entry_host.h"
#include "operator_tools/reference_pages.h"

#include <csignal>
#include <iostream>

namespace {

constexpr const char *PageHelp =
        "  --print-events|--print-metrics|--print-settings|--print-sheet|--print-commands\n"
        "                          print the tables of a page in docs/ and exit\n";

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

int runHost(const dotterel::DaemonOptions & /*options*/, const dotterel::Settings &settings)
{
    dotterel::EventLoop loop;
    dotterel::StructuredLog log(settings.host, settings.logThreshold);
    dotterel::EntryHost host(loop, settings, dotterel::generateIncarnation(loop), log,
                             [&loop] { loop.stop(); });
    const auto shutDown = [&host, &loop] { host.beginShutdown([&loop] { loop.stop(); }); };
    const dotterel::EventLoop::TimerHandle onTerminate = loop.onSignal(SIGTERM, shutDown);
    const dotterel::EventLoop::TimerHandle onInterrupt = loop.onSignal(SIGINT, shutDown);
    loop.run();
    return dotterel::ExitOk;
}

} // namespace

int main(int argc, const char **argv)
{
    if (argc == 2 && printPage(argv[1]))
        return dotterel::ExitOk;
    return dotterel::runDaemon("dotterelfieldd", argc, argv, runHost, PageHelp);
}
