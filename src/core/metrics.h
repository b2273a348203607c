#pragma once

#include "core/time.h"
#include "core/verdict.h"

#include <cstdint>
#include <string_view>

namespace dotterel {

/// Why an attempt was followed by another one.
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

/// Bands of prompt length, in tokens, by which first-token times are reported.
enum class LengthBand {
    UpTo4k,
    UpTo16k,
    UpTo64k,
    UpTo100k,
    UpTo256k,
    UpTo1M,
};

/// Returns the band of a prompt of \a tokens.
LengthBand lengthBand(std::uint64_t tokens);

/// Returns the external name of \a band.
std::string_view lengthBandName(LengthBand band);

/// Plain counters without labels.
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
    AllocationsSwept,
    OrdersClaimed,
    OrderClaimBatches,
    CrashSuspects,
    RetriesWithheld, ///< Silent attempts that the retry budget did not let go elsewhere.
};

/// Returns the external name of \a counter.
std::string_view counterName(Counter counter);

/// Values that rise and fall.
enum class Gauge {
    ConfigurationVersion,
    RequestsInFlight,
    LiveMembers,
    BackendServersUsable,
    QueuedBytes,
};

/// Returns the external name of \a gauge.
std::string_view gaugeName(Gauge gauge);

/// Spans of a request's life that are recorded as histograms.
enum class LatencySpan {
    Answer,       ///< From the arrival to the end of a whole answer.
    Refusal,      ///< From the arrival to a refusal.
    LongestPause, ///< Of a whole stream, between two events.
};

/// Returns the external name of \a span.
std::string_view latencySpanName(LatencySpan span);

/// Where the parts of the system report what they do.
class Metrics
{
public:
    virtual ~Metrics() = default;

    /// Counts one refusal with \a reason.
    virtual void countRefusal(Reason reason) = 0;

    /// Counts one further attempt because of \a reason.
    virtual void countRetry(RetryReason reason) = 0;

    /// Adds \a amount to \a counter.
    virtual void count(Counter counter, std::uint64_t amount) = 0;

    /// Sets \a gauge to \a value.
    virtual void set(Gauge gauge, double value) = 0;

    /// Records the time from the arrival of a request to its first token.
    virtual void observeFirstToken(LengthBand band, Duration time) = 0;

    /// Records that \a span took \a time.
    virtual void observe(LatencySpan span, Duration time) = 0;
};

/// Drops every value.
class NullMetrics : public Metrics
{
public:
    void countRefusal(Reason /*reason*/) override {}
    void countRetry(RetryReason /*reason*/) override {}
    void count(Counter /*counter*/, std::uint64_t /*amount*/) override {}
    void set(Gauge /*gauge*/, double /*value*/) override {}
    void observeFirstToken(LengthBand /*band*/, Duration /*time*/) override {}
    void observe(LatencySpan /*span*/, Duration /*time*/) override {}
};

} // namespace dotterel
