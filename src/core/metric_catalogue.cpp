#include "core/metric_catalogue.h"

#include "core/enum_names.h"

#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<MetricType>, 3> MetricTypeNames = {{
        {MetricType::Counter, "counter"},
        {MetricType::Gauge, "gauge"},
        {MetricType::Histogram, "histogram"},
}};

/// What a value of an enumeration means.
template <typename Enum>
struct Meaning
{
    Enum value;
    std::string_view text;
};

const std::vector<Meaning<Counter>> CounterMeanings = {
        {Counter::RequestsAdmitted, "Requests that passed every check."},
        {Counter::RequestsFinished, "Requests whose caller got a whole answer."},
        {Counter::ForeignBytesDropped, "Bytes dropped because they belong to another attempt."},
        {Counter::PeerFramesRejected, "Frames of other entry hosts that could not be read."},
        {Counter::PeerBytesSent, "Bytes sent to other entry hosts."},
        {Counter::PeerMessagesSent, "Messages sent to other entry hosts."},
        {Counter::PlatformReads, "Reads, lists and watches of the object API."},
        {Counter::PlatformWrites, "Writes and removals in the object API."},
        {Counter::PlatformErrors, "Calls to the platform without an answer."},
        {Counter::AllocationsSwept, "Engine allocations released because they had no owner."},
        {Counter::OrdersClaimed, "Orders that this host claimed."},
        {Counter::OrderClaimBatches, "Writes that recorded claims of orders."},
        {Counter::CrashSuspects, "Requests that were running on a server that died."},
        {Counter::RetriesWithheld, "Retries that the retry budget did not allow."},
};

const std::vector<Meaning<Gauge>> GaugeMeanings = {
        {Gauge::ConfigurationVersion, "Version of the configuration in force."},
        {Gauge::RequestsInFlight, "Requests that have not ended."},
        {Gauge::LiveMembers, "Entry hosts that are alive, this one among them."},
        {Gauge::BackendServersUsable, "Configured backend servers."},
        {Gauge::QueuedBytes, "Bytes of answers that callers have not taken yet."},
};

const std::vector<Meaning<RetryReason>> RetryReasonMeanings = {
        {RetryReason::ConnectFailed, "No connection to the backend server."},
        {RetryReason::Refused, "The backend server refused the attempt."},
        {RetryReason::ServerFailed, "The backend server failed during the attempt."},
        {RetryReason::AnswerCut, "The answer ended without its end mark."},
        {RetryReason::FirstTokenTimeout, "The first token did not come in time."},
        {RetryReason::TokenTimeout, "The stream stopped between tokens."},
        {RetryReason::MemoryUnavailable, "Engine memory could not be reserved."},
};

template <typename Enum>
std::string_view meaningOf(const std::vector<Meaning<Enum>> &meanings, Enum value)
{
    for (const Meaning<Enum> &meaning : meanings) {
        if (meaning.value == value)
            return meaning.text;
    }
    return {};
}

std::vector<MetricInfo> buildCatalogue()
{
    std::vector<MetricInfo> catalogue = {
            {RefusalsMetric, MetricType::Counter, "reason", "Final refusals by reason."},
            {RetriesMetric, MetricType::Counter, "reason", "Further attempts by reason."},
            {FirstTokenMetric, MetricType::Histogram, "prompt_tokens",
             "Time from a request's arrival to its first token, by prompt length."},
            {LatencyMetric, MetricType::Histogram, "span",
             "Time from a request's arrival to its whole answer or its refusal, and the longest "
             "pause of a stream."},
    };
    for (const Counter counter : allValues(counterName)) {
        catalogue.push_back(
                {counterMetricName(counter), MetricType::Counter, "", counterMeaning(counter)});
    }
    for (const Gauge gauge : allValues(gaugeName))
        catalogue.push_back({gaugeMetricName(gauge), MetricType::Gauge, "", gaugeMeaning(gauge)});
    return catalogue;
}

} // namespace

std::string_view metricTypeName(MetricType type)
{
    return enumName(MetricTypeNames, type);
}

const std::vector<MetricInfo> &metricCatalogue()
{
    static const std::vector<MetricInfo> catalogue = buildCatalogue();
    return catalogue;
}

std::string counterMetricName(Counter counter)
{
    return "dotterel_" + std::string(counterName(counter)) + "_total";
}

std::string gaugeMetricName(Gauge gauge)
{
    return "dotterel_" + std::string(gaugeName(gauge));
}

std::string_view counterMeaning(Counter counter)
{
    return meaningOf(CounterMeanings, counter);
}

std::string_view gaugeMeaning(Gauge gauge)
{
    return meaningOf(GaugeMeanings, gauge);
}

std::string_view retryReasonMeaning(RetryReason reason)
{
    return meaningOf(RetryReasonMeanings, reason);
}

} // namespace dotterel
