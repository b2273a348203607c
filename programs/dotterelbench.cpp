#include "bench/bench_report.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <popt.h>
#include <sstream>

namespace {

using namespace dotterel::bench;

constexpr int ExitOk = 0;
constexpr int ExitBadUsage = 2;
constexpr int ExitBadInput = 3;
constexpr double PerCent = 100;

struct Options
{
    std::string workload;
    std::string label;
    std::vector<std::string> policies;
    std::vector<double> loads; ///< Fractions.
    std::uint64_t seeds = 1;
    std::uint64_t firstSeed = 1;
    std::uint64_t newsPeers = 0; ///< 0 keeps that of the workload.
    std::vector<dotterel::bench::Fault> faults;
    double greed = 1;
    double reportSeconds = 0; ///< 0 keeps that of the workload.
    double chunkTokens = 0;   ///< 0 keeps that of the workload.
    double measuredSeconds = 0;
    double shortWeight = -1; ///< Negative keeps the weights of the workload.
    bool retryStorm = false;
    bool json = false;
    TableKind table = TableKind::Policies;
};

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

std::string taken(char *text)
{
    std::string copy = text == nullptr ? "" : text;
    std::free(text);
    return copy;
}

std::optional<std::string> readLists(const std::string &policies, const std::string &loads,
                                     const std::string &faults, const std::string &table,
                                     Options &options)
{
    for (const std::string &policy : split(policies)) {
        const auto known = [&policy](const BenchPolicy &row) { return row.name == policy; };
        if (std::none_of(benchPolicies().begin(), benchPolicies().end(), known))
            return "unknown policy \"" + policy + "\"; see --help";
        options.policies.push_back(policy);
    }
    for (const std::string &load : split(loads))
        options.loads.push_back(std::strtod(load.c_str(), nullptr) / PerCent);
    for (const double load : options.loads) {
        if (load <= 0)
            return "a load must be a positive number of percent";
    }
    for (const std::string &name : split(faults)) {
        const auto fault = faultFromName(name);
        if (!fault)
            return "unknown fault \"" + name + "\"; known are none, death, freeze and slowness";
        options.faults.push_back(*fault);
    }
    const auto kind = tableKindFromName(table);
    if (!kind)
        return "unknown table \"" + table + "\"; known are policies, bands, faults and plot";
    options.table = *kind;
    return std::nullopt;
}

std::string policyHelp()
{
    std::string text = "WORKLOAD.yaml\n\nPolicies:\n";
    for (const BenchPolicy &policy : benchPolicies())
        text += "  " + policy.name + ": " + policy.description + "\n";
    return text;
}

std::optional<Options> parseOptions(int argc, const char **argv)
{
    Options options;
    char *policies = nullptr;
    char *loads = nullptr;
    char *faults = nullptr;
    char *table = nullptr;
    char *label = nullptr;
    int seeds = 1;
    int firstSeed = 1;
    int json = 0;
    int newsPeers = 0;
    int retryStorm = 0;
    const poptOption rows[] = {
            {"policies", 'p', POPT_ARG_STRING, &policies, 0, "policies to compare", "NAMES"},
            {"loads", 'l', POPT_ARG_STRING, &loads, 0, "offered loads in percent", "LIST"},
            {"seeds", 's', POPT_ARG_INT, &seeds, 0, "number of seeds", "N"},
            {"first-seed", 0, POPT_ARG_INT, &firstSeed, 0, "the first seed", "N"},
            {"faults", 'f', POPT_ARG_STRING, &faults, 0, "faults of one server", "NAMES"},
            {"greed", 'g', POPT_ARG_DOUBLE, &options.greed, 0,
             "times its part that the first workspace offers", "FACTOR"},
            {"report-interval", 0, POPT_ARG_DOUBLE, &options.reportSeconds, 0,
             "seconds between load reports", "S"},
            {"chunk", 0, POPT_ARG_DOUBLE, &options.chunkTokens, 0, "tokens of a prefill chunk",
             "N"},
            {"measured", 0, POPT_ARG_DOUBLE, &options.measuredSeconds, 0,
             "seconds of virtual time that are measured", "S"},
            {"short-weight", 0, POPT_ARG_DOUBLE, &options.shortWeight, 0,
             "weight of the short slowdown, 0 to 1; the first token gets the rest", "W"},
            {"news-peers", 0, POPT_ARG_INT, &newsPeers, 0,
             "peers that hear a host's news; 0 means all", "N"},
            {"label", 0, POPT_ARG_STRING, &label, 0, "text of the column \"condition\"", "TEXT"},
            {"retry-storm", 0, POPT_ARG_NONE, &retryStorm, 0, "refused callers ask again at once",
             nullptr},
            {"json", 'j', POPT_ARG_NONE, &json, 0, "write JSON instead of a table", nullptr},
            {"table", 't', POPT_ARG_STRING, &table, 0, "policies, bands, faults or plot", "KIND"},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("dotterelbench", argc, argv, rows, 0);
    const std::string help = policyHelp();
    poptSetOtherOptionHelp(context, help.c_str());
    const int result = poptGetNextOpt(context);
    std::string error;
    if (result < -1)
        error = std::string(poptBadOption(context, 0)) + ": " + poptStrerror(result);
    while (const char *argument = poptGetArg(context))
        options.workload = argument;
    poptFreeContext(context);
    options.seeds = static_cast<std::uint64_t>(std::max(1, seeds));
    options.firstSeed = static_cast<std::uint64_t>(std::max(0, firstSeed));
    options.json = json != 0;
    options.newsPeers = static_cast<std::uint64_t>(std::max(0, newsPeers));
    options.label = taken(label);
    options.retryStorm = retryStorm != 0;
    const auto orElse = [](const std::string &text, const char *fallback) {
        return text.empty() ? std::string(fallback) : text;
    };
    const std::string policyList = orElse(taken(policies), "two-choices,work-ahead");
    const std::string loadList = orElse(taken(loads), "85");
    const std::string faultList = orElse(taken(faults), "none");
    const std::string tableName = orElse(taken(table), "policies");
    if (error.empty())
        error = readLists(policyList, loadList, faultList, tableName, options).value_or("");
    if (error.empty() && options.workload.empty())
        error = "a workload file is missing";
    if (error.empty())
        return options;
    std::cerr << "dotterelbench: " << error << '\n';
    return std::nullopt;
}

void applyOptions(const Options &options, Workload &workload)
{
    if (options.reportSeconds > 0)
        workload.reportInterval = dotterel::fromSeconds(options.reportSeconds);
    if (options.chunkTokens > 0)
        workload.engine.chunkTokens = static_cast<std::uint64_t>(options.chunkTokens);
    if (options.measuredSeconds > 0)
        workload.measured = dotterel::fromSeconds(options.measuredSeconds);
    if (options.newsPeers > 0)
        workload.newsPeers = options.newsPeers;
    if (options.shortWeight >= 0)
        workload.weights = {options.shortWeight, 1 - options.shortWeight};
}

std::vector<SeriesSummary> runAll(const Options &options, const Workload &workload)
{
    std::vector<SeriesSummary> all;
    for (const double load : options.loads) {
        for (const dotterel::bench::Fault fault : options.faults) {
            for (const std::string &policy : options.policies) {
                SeriesSummary series;
                series.settings = {policy, load, options.greed, options.retryStorm,
                                   fault,  0,    options.label};
                for (std::uint64_t i = 0; i < options.seeds; ++i) {
                    series.settings.seed = options.firstSeed + i;
                    series.runs.push_back(summarise(runBench(workload, series.settings)));
                }
                all.push_back(std::move(series));
            }
        }
    }
    return all;
}

} // namespace

int main(int argc, const char **argv)
{
    const std::optional<Options> options = parseOptions(argc, argv);
    if (!options)
        return ExitBadUsage;
    std::ifstream file(options->workload);
    if (!file) {
        std::cerr << options->workload << ": cannot be opened\n";
        return ExitBadInput;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto workload = workloadFromYaml(text.str(), options->workload);
    if (!workload) {
        for (const dotterel::YamlError &fault : workload.error())
            std::cerr << fault.text() << '\n';
        return ExitBadInput;
    }
    applyOptions(*options, *workload);
    const std::vector<SeriesSummary> series = runAll(*options, *workload);
    std::cout << (options->json ? reportJson(*workload, series)
                                : reportTable(options->table, series));
    return ExitOk;
}
