#pragma once

#include "bench/bench_run.h"
#include "core/metrics.h"

#include <array>
#include <string>
#include <vector>

namespace dotterel::bench {

/// Three points of a distribution.
struct Percentiles
{
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// Returns the points of \a values; zeros if there are none.
Percentiles percentilesOf(std::vector<double> values);

/// What one run showed.
struct RunSummary
{
    Percentiles shortSlowdown;                 ///< Prompts up to 16,000 tokens.
    Percentiles shortSlowdownOthers;           ///< The same, without workspace 0.
    Percentiles longSlowdown;                  ///< Prompts above 100,000 tokens.
    Percentiles shortSlowdownBefore;           ///< Arrivals before the fault.
    Percentiles shortSlowdownDuring;           ///< Arrivals in the first 5 s after the fault.
    Percentiles shortSlowdownAfter;            ///< Arrivals later than that.
    std::array<Percentiles, 6> firstToken;     ///< Seconds, by length band.
    std::array<Percentiles, 6> idleFirstToken; ///< Seconds on an idle fleet, by length band.
    double promptShare = 0; ///< Of those an idle fleet serves within 0.33 s, served so.
    double admitted = 0;
    double missed = 0; ///< Admitted, and not finished in the deadline.
    double missedLong = 0;
    std::map<std::string, double> refusals; ///< Of requests never admitted, by reason.
    double goodput = 0;                     ///< Prompt tokens of finished requests a second.
    double longGoodput = 0;                 ///< Those of prompts above 100,000 tokens.
    double fairness = 0;   ///< Jain's index of finished over offered tokens by workspace.
    double memoryPeak = 0; ///< Tokens.
    double workRatio = 0;
    double newsBytes = 0;    ///< A second, by one host.
    double newsMessages = 0; ///< A second, by one host.
};

/// Returns what \a record shows.
RunSummary summarise(const RunRecord &record);

/// The summaries of runs that differ in their seeds only.
struct SeriesSummary
{
    RunSettings settings;
    std::vector<RunSummary> runs;
};

/// Returns one JSON document with every figure of every series.
std::string reportJson(const Workload &workload, const std::vector<SeriesSummary> &series);

/// What a table shows.
enum class TableKind {
    Policies, ///< A row a series: slowdowns, misses, refusals, goodput.
    Bands,    ///< A row a series and length band: time to first token.
    Faults,   ///< A row a series: short slowdown around a fault.
    Plot,     ///< Plain columns for gnuplot.
};

/// Returns the external name of \a kind.
std::string_view tableKindName(TableKind kind);

/// Returns the kind called \a name, if there is one.
std::optional<TableKind> tableKindFromName(std::string_view name);

/// Returns a Markdown table; each figure is the mean over the seeds, with the least and the most.
std::string reportTable(TableKind kind, const std::vector<SeriesSummary> &series);

} // namespace dotterel::bench
