#pragma once

#include "core/time.h"

#include <cstdint>

namespace dotterel {

/// Resources that a prompt needs on an engine, and the latency that its caller expects.
struct PromptDemand
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    Duration firstEventTarget = Duration::zero(); ///< From the caller's first attempt.
    Duration maxEventGap = Duration::zero();      ///< Between two events of the stream.
    Duration elapsed = Duration::zero();          ///< Since the caller's first attempt.
    Duration callerTimeLeft = Duration::zero(); ///< Until a caller that gets no event disconnects.
    bool answerStarted = false; ///< The caller has part of the answer; not sent to other hosts.
    bool refusedBefore = false; ///< The caller was refused before; not sent to other hosts.
    double fairnessDraw = 1.0;  ///< Even in [0, 1), drawn per request; not sent to other hosts.
    double value = 1.0;         ///< Value of an answer in time, relative to other prompts.
};

/// Value of prompts, and the fraction of it that remains when an answer is late.
struct PromptValueModel
{
    /// Value per prompt token, taken from the users' value tables: 1.3 for 18,000 and 3.9 for
    /// 53,000 tokens, where an output token counts as much as ten prompt tokens.
    double valuePerPromptToken = 7.3e-5;
    /// Value per prompt token of long documents, from the same tables: 24 for 188,000 tokens.
    double valuePerDocumentToken = 1.27e-4;
    /// Streams whose allowed event gap is at least this long are documents.
    Duration documentEventGap = std::chrono::seconds(1);
    /// A prompt of the rank after this one is worth this fraction of one of the same size, and so
    /// on for each further rank.
    double valueFractionPerRank = 0.5;
    int referenceRank = 1;  ///< At this rank the values above hold.
    int mostRanksApart = 2; ///< Ranks further from the reference count as this far.
    double outputTokenWeight = 10.0;
    double lateValueFraction = 0.25; ///< Fraction of the value that a late answer keeps.
};

/// Returns the value of an answer in time to a prompt of the given size. \a rank is the operators'
/// priority, where lower is more urgent. It decides which prompts wait or are refused when demand
/// exceeds the engines that are left; the fraction is bounded, so that no rank starves.
double promptValue(const PromptValueModel &model, std::uint64_t promptTokens,
                   std::uint64_t outputTokens, Duration maxEventGap, int rank);

/// Returns the expected loss of value if the first event of \a demand arrives \a timeToFirstEvent
/// from now.
double latenessLoss(const PromptDemand &demand, Duration timeToFirstEvent,
                    double lateValueFraction);

} // namespace dotterel
