#pragma once

#include "core/time.h"
#include "core/verdict.h"

#include <cstdint>
#include <string_view>

namespace dotterel {

/// Why a request was retried on another attempt.
enum class RetryReason {
    ConnectFailed,
    Refused,
    ServerFailed,
    AnswerCut,
    FirstTokenTimeout,
    TokenTimeout,
    MemoryUnavailable,
};

/// Returns the external name of \a reason.
std::string_view retryReasonName(RetryReason reason);

/// Ranges of prompt length, in tokens, by which first-token times are reported.
enum class LengthBand {
    UpTo4k,
    UpTo16k,
    UpTo64k,
    UpTo100k,
    UpTo256k,
    UpTo1M,
};

/// Returns the band of a prompt of \a tokens tokens.
LengthBand lengthBand(std::uint64_t tokens);

/// Returns the external name of \a band.
std::string_view lengthBandName(LengthBand band);

/// Counters without labels.
enum class Counter {
    RequestsAdmitted,
    RequestsFinished,
    ForeignBytesDropped,
    PeerFramesRejected,
    PeerBytesSent,
    PeerMessagesSent,
    PlatformReads,
    PlatformWrites,
    PlatformErrors,
    PlatformWatchTimeouts,
    OutdatedObjects,
    ObjectsRejected,
    HandlingFailures,
    PeerBytesLost,
    PlatformEraChanges,
    WatchesRenewed,
    ServerPauses,
    ServerLimitChanges,
    ServerLimitsInvalid,
    AllocationsSwept,
    OrdersClaimed,
    OrderClaimBatches,
    CrashSuspects,
    CrashSuspectsCleared,
    CrashNoticesApplied,
    CrashSuspectWrites,
    CrashDoubts,          ///< Attempts whose end does not show whether their server crashed.
    CrashDoubtsConfirmed, ///< Those whose server turned out to have crashed.
    RetriesAwaited,       ///< Retries that waited for parts of other hosts' retry budgets.
    RetriesWithheld,      ///< Retries that the retry budget did not allow.
    StreamsTorn,          ///< Streams whose framing was whole and whose events were not.
    ResponsesTooLarge,
    RequestsRelayed,
    RelayedRequestsTaken,
    PromptsHeld, ///< Prompts that waited at the host for a better place.
};

/// Returns the external name of \a counter.
std::string_view counterName(Counter counter);

/// Gauges without labels.
enum class Gauge {
    ConfigurationVersion,
    PlatformRevision,
    PlatformEra,
    RequestsInFlight,
    LiveMembers,
    BackendServersUsable,
    BackendServersLimited,
    FailureDomainsOutOfService,
    BackendServersWarmingUp,
    PoolsOutOfReach,
    QueuedBytes,
    CrashSuspectsKnown,
    CrashSuspectsRefused,
    PromptPartsSuspected,
    PromptPartsRefused,
    BackendServersPaced,
};

/// Returns the external name of \a gauge.
std::string_view gaugeName(Gauge gauge);

/// Durations within the processing of a request that are recorded in histograms.
enum class LatencySpan {
    Answer,       ///< From the arrival to the end of a complete response.
    Refusal,      ///< From the arrival to the refusal.
    LongestPause, ///< Longest time between two events of a complete stream.
};

/// Returns the external name of \a span.
std::string_view latencySpanName(LatencySpan span);

/// Interface through which components record metrics.
class Metrics
{
public:
    virtual ~Metrics() = default;

    /// Counts a request refused with \a reason.
    virtual void countRefusal(Reason reason) = 0;

    /// Counts a retry caused by \a reason.
    virtual void countRetry(RetryReason reason) = 0;

    /// Adds \a amount to \a counter.
    virtual void count(Counter counter, std::uint64_t amount) = 0;

    /// Sets \a gauge to \a value.
    virtual void set(Gauge gauge, double value) = 0;

    /// Records the time from the arrival of a request to its first token.
    virtual void observeFirstToken(LengthBand band, Duration time) = 0;

    /// Records by how much the first token came later than predicted at dispatch.
    virtual void observeFirstTokenDelay(LengthBand band, Duration delay) = 0;

    /// Adds \a time to the histogram of \a span.
    virtual void observe(LatencySpan span, Duration time) = 0;
};

/// Discards all values.
class NullMetrics : public Metrics
{
public:
    void countRefusal(Reason /*reason*/) override {}
    void countRetry(RetryReason /*reason*/) override {}
    void count(Counter /*counter*/, std::uint64_t /*amount*/) override {}
    void set(Gauge /*gauge*/, double /*value*/) override {}
    void observeFirstToken(LengthBand /*band*/, Duration /*time*/) override {}
    void observeFirstTokenDelay(LengthBand /*band*/, Duration /*delay*/) override {}
    void observe(LatencySpan /*span*/, Duration /*time*/) override {}
};

} // namespace dotterel
