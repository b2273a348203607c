#include "bench/bench_report.h"
#include "coordination/placement_settings.h"

#include <algorithm>
#include <cmath>

namespace dotterel::bench {

namespace {

constexpr double FirstTokenTarget = 0.33; // Seconds.
constexpr Duration FaultWindow = std::chrono::seconds(5);

double percentile(const std::vector<double> &sorted, double part)
{
    if (sorted.empty())
        return 0;
    const auto rank =
            static_cast<std::size_t>(std::ceil(part * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

template <typename Filter>
Percentiles slowdowns(const RunRecord &record, const Filter &filter)
{
    std::vector<double> values;
    for (const RequestRecord &request : record.requests) {
        if (request.firstTokenSeconds && filter(request))
            values.push_back(request.slowdown());
    }
    return percentilesOf(std::move(values));
}

bool isShort(const RequestRecord &request)
{
    return request.promptTokens <= ShortPromptTokens;
}

bool isLong(const RequestRecord &request)
{
    return request.promptTokens > LongPromptTokens;
}

void summariseSlowdowns(const RunRecord &record, RunSummary &summary)
{
    const TimePoint fault = record.faultAt;
    summary.shortSlowdown = slowdowns(record, isShort);
    summary.longSlowdown = slowdowns(record, isLong);
    summary.shortSlowdownOthers = slowdowns(record, [](const RequestRecord &request) {
        return isShort(request) && request.workspace != 0;
    });
    summary.shortSlowdownBefore = slowdowns(record, [fault](const RequestRecord &request) {
        return isShort(request) && request.arrival < fault;
    });
    summary.shortSlowdownDuring = slowdowns(record, [fault](const RequestRecord &request) {
        return isShort(request) && request.arrival >= fault
               && request.arrival < fault + FaultWindow;
    });
    summary.shortSlowdownAfter = slowdowns(record, [fault](const RequestRecord &request) {
        return isShort(request) && request.arrival >= fault + FaultWindow;
    });
}

void summariseBands(const RunRecord &record, RunSummary &summary)
{
    std::array<std::vector<double>, 6> seen;
    std::array<std::vector<double>, 6> idle;
    double prompt = 0;
    double possible = 0;
    for (const RequestRecord &request : record.requests) {
        const auto band = static_cast<std::size_t>(lengthBand(request.promptTokens));
        idle[band].push_back(request.idleSeconds);
        if (request.firstTokenSeconds)
            seen[band].push_back(*request.firstTokenSeconds);
        if (request.idleSeconds > FirstTokenTarget)
            continue;
        ++possible;
        prompt += request.firstTokenSeconds.value_or(1) <= FirstTokenTarget ? 1 : 0;
    }
    summary.promptShare = possible > 0 ? prompt / possible : 0;
    for (std::size_t band = 0; band < seen.size(); ++band) {
        summary.firstToken[band] = percentilesOf(seen[band]);
        summary.idleFirstToken[band] = percentilesOf(idle[band]);
    }
}

double jainIndex(const std::map<std::size_t, std::pair<double, double>> &workspaces)
{
    double sum = 0;
    double squares = 0;
    for (const auto &[workspace, tokens] : workspaces) {
        const double served = tokens.first / tokens.second;
        sum += served;
        squares += served * served;
    }
    return squares > 0 ? sum * sum / (squares * static_cast<double>(workspaces.size())) : 0;
}

void summariseOutcomes(const RunRecord &record, RunSummary &summary)
{
    std::map<std::size_t, std::pair<double, double>> workspaces; // Finished and offered tokens.
    for (const RequestRecord &request : record.requests) {
        const auto tokens = static_cast<double>(request.promptTokens);
        std::pair<double, double> &workspace = workspaces[request.workspace];
        workspace.second += tokens;
        if (!request.admitted && request.refusal)
            ++summary.refusals[std::string(reasonInfo(*request.refusal).name)];
        if (!request.admitted)
            continue;
        ++summary.admitted;
        if (!request.finished) {
            ++summary.missed;
            summary.missedLong += isLong(request) ? 1 : 0;
            continue;
        }
        workspace.first += tokens;
        summary.goodput += tokens / record.measuredSeconds;
        summary.longGoodput += isLong(request) ? tokens / record.measuredSeconds : 0;
    }
    summary.fairness = jainIndex(workspaces);
}

} // namespace

Percentiles percentilesOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {percentile(values, 0.5), percentile(values, 0.95), percentile(values, 0.99)};
}

RunSummary summarise(const RunRecord &record)
{
    RunSummary summary;
    summariseSlowdowns(record, summary);
    summariseBands(record, summary);
    summariseOutcomes(record, summary);
    summary.memoryPeak = static_cast<double>(record.memoryPeakTokens);
    summary.workRatio = record.workRatio;
    summary.newsBytes = record.newsBytesPerHost;
    summary.newsMessages = record.newsMessagesPerHost;
    return summary;
}

} // namespace dotterel::bench
