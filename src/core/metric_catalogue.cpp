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

/// Description of an enumerator for the generated pages and the `HELP` lines.
template <typename Enum>
struct Meaning
{
    Enum value;
    std::string_view text;
};

const std::vector<Meaning<Counter>> CounterMeanings = {
        {Counter::RequestsAdmitted, "Requests that passed admission."},
        {Counter::RequestsFinished, "Requests whose caller received a complete response."},
        {Counter::ForeignBytesDropped,
         "Response bytes discarded because they belong to another attempt."},
        {Counter::PeerFramesRejected, "Malformed or oversized frames from other entry hosts."},
        {Counter::PeerBytesSent, "Bytes sent to other entry hosts."},
        {Counter::PeerMessagesSent, "Messages sent to other entry hosts."},
        {Counter::PlatformReads, "Read, list and watch calls to the object API."},
        {Counter::PlatformWrites, "Write and delete calls to the object API."},
        {Counter::PlatformErrors, "Calls to the platform that got no response."},
        {Counter::PlatformWatchTimeouts,
         "Watches of platform collections that got no response within their time limit."},
        {Counter::OutdatedObjects,
         "Objects returned by the platform that are older than the known ones."},
        {Counter::ObjectsRejected,
         "Objects of the platform that could not be read and were left out."},
        {Counter::HandlingFailures,
         "Events of a connection, datagram or timer whose handling an exception ended."},
        {Counter::PeerBytesLost, "Bytes for peers that a link had not sent when it was closed."},
        {Counter::PlatformEraChanges,
         "Changes of the era of the platform, one per collection and change."},
        {Counter::WatchesRenewed,
         "Waiting watches repeated because their connection may be silent."},
        {Counter::ServerPauses, "Responses by which a backend server asked for a pause."},
        {Counter::ServerLimitChanges,
         "Limits of backend servers that were named, changed or lifted, as seen by this host."},
        {Counter::ServerLimitsInvalid, "Limits of backend servers that could not be read."},
        {Counter::AllocationsSwept, "Orphaned engine allocations that were released."},
        {Counter::OrdersClaimed, "Orders that this host claimed."},
        {Counter::OrderClaimBatches, "Batched writes that recorded claims of orders."},
        {Counter::CrashSuspects, "Requests that were running on a backend server that crashed."},
        {Counter::CrashSuspectsCleared,
         "Suspects of crashes that this host cleared since they ran to completion."},
        {Counter::CrashNoticesApplied,
         "Crash notices of other entry hosts that contained a new crash or clearance."},
        {Counter::CrashSuspectWrites,
         "Entries of crash suspects that this host wrote to the platform's store or removed."},
        {Counter::CrashDoubts,
         "Attempts that ended without showing whether their backend server crashed."},
        {Counter::CrashDoubtsConfirmed, "Doubted attempts whose backend server had crashed."},
        {Counter::RetriesAwaited, "Retries that waited for other hosts to lend retry budget."},
        {Counter::RetriesWithheld, "Retries suppressed by the retry budget."},
        {Counter::StreamsTorn,
         "Streams that ended inside an event, or with their connection before their first event."},
        {Counter::ResponsesTooLarge,
         "Responses cut off because more of them had to be held than the limits allow."},
        {Counter::RequestsRelayed,
         "Requests handed to another host since this one reaches no server of their pool."},
        {Counter::RelayedRequestsTaken, "Requests of other hosts that were taken over."},
        {Counter::PromptsHeld, "Prompts that waited at the entry host for a better place."},
};

const std::vector<Meaning<Gauge>> GaugeMeanings = {
        {Gauge::ConfigurationVersion, "Version of the active configuration."},
        {Gauge::PlatformRevision, "Revision of the platform's collections in its latest response."},
        {Gauge::PlatformEra, "Era of the platform; 0 if it states none."},
        {Gauge::RequestsInFlight, "Requests in progress."},
        {Gauge::LiveMembers, "Live entry hosts, including this one."},
        {Gauge::BackendServersUsable, "Configured backend servers."},
        {Gauge::BackendServersLimited, "Backend servers that name a limit of requests."},
        {Gauge::FailureDomainsOutOfService,
         "Failure domains to whose backend servers nothing new is sent."},
        {Gauge::BackendServersWarmingUp, "Backend servers that warm up."},
        {Gauge::BackendServersPaced,
         "Engines that started or recovered and get few prompts until they have answered some."},
        {Gauge::PoolsOutOfReach, "Pools of which this host reaches no server."},
        {Gauge::QueuedBytes, "Response bytes buffered for callers that have not read them yet."},
        {Gauge::CrashSuspectsKnown, "Requests that are suspected of crashing backend servers."},
        {Gauge::CrashSuspectsRefused,
         "Requests that are refused since they crash backend servers."},
        {Gauge::PromptPartsSuspected, "Parts of prompts suspected of crashing backend servers."},
        {Gauge::PromptPartsRefused, "Parts of prompts refused since they crash backend servers."},
};

const std::vector<Meaning<RetryReason>> RetryReasonMeanings = {
        {RetryReason::ConnectFailed, "The connection to the backend server failed."},
        {RetryReason::Refused, "The backend server refused the attempt."},
        {RetryReason::ServerFailed, "The backend server failed during the attempt."},
        {RetryReason::AnswerCut, "The response ended without its end marker."},
        {RetryReason::FirstTokenTimeout, "The first token did not arrive within its timeout."},
        {RetryReason::TokenTimeout, "The next token did not arrive within its timeout."},
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
            {RefusalsMetric, MetricType::Counter, "reason", "Refused requests by reason."},
            {RetriesMetric, MetricType::Counter, "reason", "Retries by reason."},
            {FirstTokenMetric, MetricType::Histogram, "prompt_tokens",
             "Time from the arrival of a request to its first token, by prompt length."},
            {FirstTokenDelayMetric, MetricType::Histogram, "prompt_tokens",
             "Time by which the first token of a prompt came later than predicted when it was sent "
             "to an engine, by prompt length; 0 if it came sooner."},
            {LatencyMetric, MetricType::Histogram, "span",
             "Time from the arrival of a request to its complete response or its refusal, and the "
             "longest pause within a stream."},
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
