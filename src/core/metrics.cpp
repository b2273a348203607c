#include "core/metrics.h"

#include "core/enum_names.h"

#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<RetryReason>, 7> RetryReasonNames = {{
        {RetryReason::ConnectFailed, "connect_failed"},
        {RetryReason::Refused, "refused"},
        {RetryReason::ServerFailed, "server_failed"},
        {RetryReason::AnswerCut, "answer_cut"},
        {RetryReason::FirstTokenTimeout, "first_token_timeout"},
        {RetryReason::TokenTimeout, "token_timeout"},
        {RetryReason::MemoryUnavailable, "memory_unavailable"},
}};

constexpr std::array<EnumName<LengthBand>, 6> LengthBandNames = {{
        {LengthBand::UpTo4k, "1k-4k"},
        {LengthBand::UpTo16k, "4k-16k"},
        {LengthBand::UpTo64k, "16k-64k"},
        {LengthBand::UpTo100k, "64k-100k"},
        {LengthBand::UpTo256k, "100k-256k"},
        {LengthBand::UpTo1M, "256k-1M"},
}};

constexpr std::array<EnumName<Counter>, 35> CounterNames = {{
        {Counter::RequestsAdmitted, "requests_admitted"},
        {Counter::RequestsFinished, "requests_finished"},
        {Counter::ForeignBytesDropped, "foreign_bytes_dropped"},
        {Counter::PeerFramesRejected, "peer_frames_rejected"},
        {Counter::PeerBytesSent, "peer_bytes_sent"},
        {Counter::PeerMessagesSent, "peer_messages_sent"},
        {Counter::PlatformReads, "platform_reads"},
        {Counter::PlatformWrites, "platform_writes"},
        {Counter::PlatformErrors, "platform_errors"},
        {Counter::PlatformWatchTimeouts, "platform_watch_timeouts"},
        {Counter::OutdatedObjects, "outdated_objects"},
        {Counter::ObjectsRejected, "objects_rejected"},
        {Counter::HandlingFailures, "handling_failures"},
        {Counter::PeerBytesLost, "peer_bytes_lost"},
        {Counter::PlatformEraChanges, "platform_era_changes"},
        {Counter::WatchesRenewed, "watches_renewed"},
        {Counter::ServerPauses, "server_pauses"},
        {Counter::ServerLimitChanges, "server_limit_changes"},
        {Counter::ServerLimitsInvalid, "server_limits_invalid"},
        {Counter::AllocationsSwept, "allocations_swept"},
        {Counter::OrdersClaimed, "orders_claimed"},
        {Counter::OrderClaimBatches, "order_claim_batches"},
        {Counter::CrashSuspects, "crash_suspects"},
        {Counter::CrashSuspectsCleared, "crash_suspects_cleared"},
        {Counter::CrashNoticesApplied, "crash_notices_applied"},
        {Counter::CrashSuspectWrites, "crash_suspect_writes"},
        {Counter::CrashDoubts, "crash_doubts"},
        {Counter::CrashDoubtsConfirmed, "crash_doubts_confirmed"},
        {Counter::RetriesAwaited, "retries_awaited"},
        {Counter::RetriesWithheld, "retries_withheld"},
        {Counter::StreamsTorn, "streams_torn"},
        {Counter::ResponsesTooLarge, "responses_too_large"},
        {Counter::RequestsRelayed, "requests_relayed"},
        {Counter::RelayedRequestsTaken, "relayed_requests_taken"},
        {Counter::PromptsHeld, "prompts_held"},
}};

constexpr std::array<EnumName<Gauge>, 16> GaugeNames = {{
        {Gauge::ConfigurationVersion, "configuration_version"},
        {Gauge::PlatformRevision, "platform_revision"},
        {Gauge::PlatformEra, "platform_era"},
        {Gauge::RequestsInFlight, "requests_in_flight"},
        {Gauge::LiveMembers, "live_members"},
        {Gauge::BackendServersUsable, "backend_servers_usable"},
        {Gauge::BackendServersLimited, "backend_servers_limited"},
        {Gauge::FailureDomainsOutOfService, "failure_domains_out_of_service"},
        {Gauge::BackendServersWarmingUp, "backend_servers_warming_up"},
        {Gauge::BackendServersPaced, "backend_servers_paced"},
        {Gauge::PoolsOutOfReach, "pools_out_of_reach"},
        {Gauge::QueuedBytes, "queued_bytes"},
        {Gauge::CrashSuspectsKnown, "crash_suspects_known"},
        {Gauge::CrashSuspectsRefused, "crash_suspects_refused"},
        {Gauge::PromptPartsSuspected, "prompt_parts_suspected"},
        {Gauge::PromptPartsRefused, "prompt_parts_refused"},
}};

constexpr std::array<EnumName<LatencySpan>, 3> LatencySpanNames = {{
        {LatencySpan::Answer, "answer"},
        {LatencySpan::Refusal, "refusal"},
        {LatencySpan::LongestPause, "longest_pause"},
}};

} // namespace

std::string_view latencySpanName(LatencySpan span)
{
    return enumName(LatencySpanNames, span);
}

std::string_view retryReasonName(RetryReason reason)
{
    return enumName(RetryReasonNames, reason);
}

LengthBand lengthBand(std::uint64_t tokens)
{
    if (tokens <= 4'000)
        return LengthBand::UpTo4k;
    if (tokens <= 16'000)
        return LengthBand::UpTo16k;
    if (tokens <= 64'000)
        return LengthBand::UpTo64k;
    if (tokens <= 100'000)
        return LengthBand::UpTo100k;
    if (tokens <= 256'000)
        return LengthBand::UpTo256k;
    return LengthBand::UpTo1M;
}

std::string_view lengthBandName(LengthBand band)
{
    return enumName(LengthBandNames, band);
}

std::string_view counterName(Counter counter)
{
    return enumName(CounterNames, counter);
}

std::string_view gaugeName(Gauge gauge)
{
    return enumName(GaugeNames, gauge);
}

} // namespace dotterel
