/// Measures how memberships of a fleet find each other and what that costs.

#include "bench/fleet_bench.h"
#include "bench/fleet_on_loop.h"
#include "bench/fleet_simulation.h"

#include <cstdio>
#include <iostream>
#include <popt.h>

using namespace dotterel;

namespace {

constexpr int ExitUsage = 2;

struct Arguments
{
    int hosts = 9;
    int domains = 3;
    int tickMilliseconds = 250;
    int latencyMicroseconds = 1'000;
    int seed = 1;
    int real = 0;
    int json = 0;
};

bool parse(int argc, const char **argv, Arguments &arguments)
{
    const poptOption table[] = {
            {"hosts", 0, POPT_ARG_INT, &arguments.hosts, 0, "entry hosts", "N"},
            {"domains", 0, POPT_ARG_INT, &arguments.domains, 0, "failure domains", "N"},
            {"tick-ms", 0, POPT_ARG_INT, &arguments.tickMilliseconds, 0, "heartbeat interval",
             "MS"},
            {"latency-us", 0, POPT_ARG_INT, &arguments.latencyMicroseconds, 0,
             "one-way latency in virtual time", "US"},
            {"seed", 0, POPT_ARG_INT, &arguments.seed, 0, "seed of the run", "N"},
            {"real", 0, POPT_ARG_NONE, &arguments.real, 0, "real links on loopback, real time",
             nullptr},
            {"json", 0, POPT_ARG_NONE, &arguments.json, 0, "print one JSON object", nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("dotterelfleet", argc, argv, table, 0);
    const int end = poptGetNextOpt(context);
    const bool valid = end == -1 && poptPeekArg(context) == nullptr && arguments.hosts > 0
                       && arguments.domains > 0 && arguments.tickMilliseconds > 0;
    poptFreeContext(context);
    return valid;
}

void print(const FleetFigures &figures)
{
    const auto row = [](const char *name, const SpreadTimes &times) {
        std::printf("%-26s p50 %6.2f s  max %6.2f s  missed %zu\n", name, times.median,
                    times.maximum, times.missed);
    };
    std::printf("%zu hosts\n", figures.hosts);
    row("all know all", figures.allJoined);
    row("join", figures.join);
    row("configuration in force", figures.configuration);
    row("leave", figures.leave);
    row("death", figures.death);
    std::printf("at rest, per host: %.0f bytes/s, %.1f messages/s; in the 5 s of a death: %.0f "
                "bytes/s\nreads of the host list, all hosts: %.1f/s; processor time per message: "
                "%.1f us\n",
                figures.bytesPerSecond, figures.messagesPerSecond, figures.churnBytesPerSecond,
                figures.listReadsPerSecond, figures.cpuMicrosecondsPerMessage);
}

} // namespace

int main(int argc, const char **argv)
{
    Arguments arguments;
    if (!parse(argc, argv, arguments)) {
        std::cerr << "dotterelfleet: bad arguments; see --help\n";
        return ExitUsage;
    }
    FleetOptions options;
    options.hosts = static_cast<std::size_t>(arguments.hosts);
    options.failureDomains = static_cast<std::size_t>(arguments.domains);
    options.tick = std::chrono::milliseconds(arguments.tickMilliseconds);
    options.latency = Duration(arguments.latencyMicroseconds);
    options.seed = static_cast<std::uint64_t>(arguments.seed);
    std::unique_ptr<BenchFleet> fleet;
    if (arguments.real != 0)
        fleet = std::make_unique<FleetOnLoop>(options);
    else
        fleet = std::make_unique<FleetSimulation>(options);
    const FleetFigures figures = measureFleet(*fleet, options);
    if (arguments.json != 0)
        std::cout << fleetFiguresToJson(figures) << '\n';
    else
        print(figures);
    return 0;
}
