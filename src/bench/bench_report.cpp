#include "bench/bench_report.h"

#include "core/enum_names.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>

namespace dotterel::bench {

namespace {

using Figure = std::function<double(const RunSummary &)>;

constexpr double PerCent = 100;
constexpr double Thousand = 1'000;

constexpr std::array<EnumName<TableKind>, 4> TableKindNames = {{
        {TableKind::Policies, "policies"},
        {TableKind::Bands, "bands"},
        {TableKind::Faults, "faults"},
        {TableKind::Plot, "plot"},
}};

/// The mean of a figure over the seeds, and its spread.
struct Spread
{
    double mean = 0;
    double least = 0;
    double most = 0;
};

/// A column of a table.
struct Column
{
    std::string title;
    Figure figure;
    int digits = 2;
};

Spread spreadOf(const SeriesSummary &series, const Figure &figure)
{
    std::vector<double> values;
    for (const RunSummary &run : series.runs)
        values.push_back(figure(run));
    if (values.empty())
        return {};
    Spread spread;
    for (const double value : values)
        spread.mean += value / static_cast<double>(values.size());
    spread.least = *std::min_element(values.begin(), values.end());
    spread.most = *std::max_element(values.begin(), values.end());
    return spread;
}

std::string numberText(double value, int digits)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return text.data();
}

std::string spreadText(const SeriesSummary &series, const Column &column)
{
    const Spread spread = spreadOf(series, column.figure);
    const std::string mean = numberText(spread.mean, column.digits);
    const std::string least = numberText(spread.least, column.digits);
    const std::string most = numberText(spread.most, column.digits);
    return least == most ? mean : mean + " (" + least + "–" + most + ")";
}

double refusedShare(const RunSummary &run)
{
    double refused = 0;
    for (const auto &[reason, count] : run.refusals)
        refused += count;
    const double all = refused + run.admitted;
    return all > 0 ? refused / all * PerCent : 0;
}

const std::vector<Column> &policyColumns()
{
    static const std::vector<Column> columns = {
            {"short p50", [](const RunSummary &r) { return r.shortSlowdown.p50; }},
            {"short p95", [](const RunSummary &r) { return r.shortSlowdown.p95; }},
            {"short p99", [](const RunSummary &r) { return r.shortSlowdown.p99; }},
            {"long p95", [](const RunSummary &r) { return r.longSlowdown.p95; }},
            {"in 0.33 s, %", [](const RunSummary &r) { return r.promptShare * PerCent; }, 1},
            {"missed", [](const RunSummary &r) { return r.missed; }, 0},
            {"missed long", [](const RunSummary &r) { return r.missedLong; }, 0},
            {"refused, %", refusedShare, 1},
            {"goodput, ktok/s", [](const RunSummary &r) { return r.goodput / Thousand; }, 0},
            {"long goodput, ktok/s", [](const RunSummary &r) { return r.longGoodput / Thousand; },
             0},
            {"fairness", [](const RunSummary &r) { return r.fairness; }, 3},
            {"memory peak, ktok", [](const RunSummary &r) { return r.memoryPeak / Thousand; }, 0},
    };
    return columns;
}

const std::vector<Column> &faultColumns()
{
    static const std::vector<Column> columns = {
            {"p95 before", [](const RunSummary &r) { return r.shortSlowdownBefore.p95; }},
            {"p99 before", [](const RunSummary &r) { return r.shortSlowdownBefore.p99; }},
            {"p99 first 5 s", [](const RunSummary &r) { return r.shortSlowdownDuring.p99; }},
            {"p95 after 5 s", [](const RunSummary &r) { return r.shortSlowdownAfter.p95; }},
            {"p99 after 5 s", [](const RunSummary &r) { return r.shortSlowdownAfter.p99; }},
            {"p95 of other workspaces",
             [](const RunSummary &r) { return r.shortSlowdownOthers.p95; }},
            {"missed", [](const RunSummary &r) { return r.missed; }, 0},
            {"refused, %", refusedShare, 1},
            {"engine work over offered", [](const RunSummary &r) { return r.workRatio; }, 3},
            {"news, B/s a host", [](const RunSummary &r) { return r.newsBytes; }, 0},
    };
    return columns;
}

std::vector<Column> bandColumns(std::size_t band)
{
    return {
            {"idle p50, s", [band](const RunSummary &r) { return r.idleFirstToken[band].p50; }, 3},
            {"p50, s", [band](const RunSummary &r) { return r.firstToken[band].p50; }, 3},
            {"idle p95, s", [band](const RunSummary &r) { return r.idleFirstToken[band].p95; }, 3},
            {"p95, s", [band](const RunSummary &r) { return r.firstToken[band].p95; }, 3},
            {"p99, s", [band](const RunSummary &r) { return r.firstToken[band].p99; }, 3},
    };
}

std::string header(const std::vector<std::string> &leading, const std::vector<Column> &columns)
{
    std::string titles = "|";
    std::string line = "|";
    for (const std::string &title : leading) {
        titles += " " + title + " |";
        line += "---|";
    }
    for (const Column &column : columns) {
        titles += " " + column.title + " |";
        line += "--:|";
    }
    return titles + "\n" + line + "\n";
}

std::string row(const SeriesSummary &series, const std::vector<Column> &columns)
{
    std::string text;
    for (const Column &column : columns)
        text += " " + spreadText(series, column) + " |";
    return text + "\n";
}

std::string loadText(const RunSettings &settings)
{
    return numberText(settings.load * PerCent, 0) + "%";
}

std::string conditionText(const RunSettings &settings)
{
    if (!settings.label.empty())
        return settings.label;
    std::string text;
    if (settings.fault != Fault::None)
        text += std::string(faultName(settings.fault)) + " ";
    if (settings.greed > 1)
        text += "one workspace offers " + numberText(settings.greed, 0) + " times ";
    if (settings.retryStorm)
        text += "callers ask again at once ";
    return text.empty() ? "none" : text.substr(0, text.size() - 1);
}

std::string bandTable(const std::vector<SeriesSummary> &series)
{
    std::string text = header({"policy", "load", "tokens"}, bandColumns(0));
    for (const SeriesSummary &one : series) {
        for (std::size_t band = 0; band < 6; ++band)
            text += "| " + one.settings.policy + " | " + loadText(one.settings) + " | "
                    + std::string(lengthBandName(static_cast<LengthBand>(band))) + " |"
                    + row(one, bandColumns(band));
    }
    return text;
}

std::string plotTable(const std::vector<SeriesSummary> &series)
{
    std::string text = "# policy load short-p50 short-p95 short-p99 long-p95 in-0.33-s\n";
    for (const SeriesSummary &one : series) {
        text += one.settings.policy + " " + numberText(one.settings.load * PerCent, 0);
        for (std::size_t i = 0; i < 5; ++i)
            text += " " + numberText(spreadOf(one, policyColumns()[i].figure).mean, 3);
        text += "\n";
    }
    return text;
}

nlohmann::ordered_json percentilesJson(const Percentiles &p)
{
    return {{"p50", p.p50}, {"p95", p.p95}, {"p99", p.p99}};
}

nlohmann::ordered_json runJson(const RunSummary &run)
{
    nlohmann::ordered_json json;
    json["short_slowdown"] = percentilesJson(run.shortSlowdown);
    json["short_slowdown_other_workspaces"] = percentilesJson(run.shortSlowdownOthers);
    json["short_slowdown_before_fault"] = percentilesJson(run.shortSlowdownBefore);
    json["short_slowdown_first_5_s"] = percentilesJson(run.shortSlowdownDuring);
    json["short_slowdown_after_5_s"] = percentilesJson(run.shortSlowdownAfter);
    json["long_slowdown"] = percentilesJson(run.longSlowdown);
    for (std::size_t band = 0; band < run.firstToken.size(); ++band) {
        const std::string name(lengthBandName(static_cast<LengthBand>(band)));
        json["first_token_s"][name] = percentilesJson(run.firstToken[band]);
        json["idle_first_token_s"][name] = percentilesJson(run.idleFirstToken[band]);
    }
    json["within_0.33_s"] = run.promptShare;
    json["admitted"] = run.admitted;
    json["missed"] = run.missed;
    json["missed_long"] = run.missedLong;
    json["refusals"] = run.refusals;
    json["goodput_tokens_per_s"] = run.goodput;
    json["long_goodput_tokens_per_s"] = run.longGoodput;
    json["fairness"] = run.fairness;
    json["memory_peak_tokens"] = run.memoryPeak;
    json["engine_work_over_offered"] = run.workRatio;
    json["news_bytes_per_s_and_host"] = run.newsBytes;
    json["news_messages_per_s_and_host"] = run.newsMessages;
    return json;
}

} // namespace

std::string_view tableKindName(TableKind kind)
{
    return enumName(TableKindNames, kind);
}

std::optional<TableKind> tableKindFromName(std::string_view name)
{
    return enumValue(TableKindNames, name);
}

std::string reportJson(const Workload &workload, const std::vector<SeriesSummary> &series)
{
    nlohmann::ordered_json json;
    json["workload"] = workload.name;
    json["series"] = nlohmann::ordered_json::array();
    for (const SeriesSummary &one : series) {
        nlohmann::ordered_json entry;
        entry["policy"] = one.settings.policy;
        entry["load"] = one.settings.load;
        entry["condition"] = conditionText(one.settings);
        entry["runs"] = nlohmann::ordered_json::array();
        for (const RunSummary &run : one.runs)
            entry["runs"].push_back(runJson(run));
        json["series"].push_back(std::move(entry));
    }
    return json.dump(2) + "\n";
}

std::string reportTable(TableKind kind, const std::vector<SeriesSummary> &series)
{
    if (kind == TableKind::Bands)
        return bandTable(series);
    if (kind == TableKind::Plot)
        return plotTable(series);
    const bool faults = kind == TableKind::Faults;
    const std::vector<Column> &columns = faults ? faultColumns() : policyColumns();
    std::string text = header({"policy", "load", "condition"}, columns);
    for (const SeriesSummary &one : series)
        text += "| " + one.settings.policy + " | " + loadText(one.settings) + " | "
                + conditionText(one.settings) + " |" + row(one, columns);
    return text;
}

} // namespace dotterel::bench
