#pragma once

#include "core/time.h"

#include <cstdint>

namespace dotterel {

/// What a prompt asks of an engine, and what its caller expects.
struct PromptDemand
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    Duration goal = Duration::zero();      ///< To the first event, from the caller's first attempt.
    Duration pauseGoal = Duration::zero(); ///< Between two events.
    Duration waited = Duration::zero();    ///< What of the goal has passed.
    Duration patience = Duration::zero();  ///< From now until the caller leaves without an event.
    bool begun = false;   ///< The caller has part of the answer; not told to other hosts.
    bool returns = false; ///< The caller was refused before; not told to other hosts.
    double value = 1.0;   ///< Of an answer in time, against other prompts.
};

/// What prompts are worth, and which share of it is left when they are late.
struct PromptValues
{
    /// By token of a prompt, from the users' sheets: 1.3 for 18,000 and 3.9 for 53,000 tokens,
    /// where a token of the answer counts as much as ten of the prompt.
    double perToken = 7.3e-5;
    /// For long documents: 24 for 188,000 tokens.
    double perDocumentToken = 1.27e-4;
    /// Streams that allow pauses this long are documents.
    Duration documentPause = std::chrono::seconds(1);
    double outputTokenWeight = 10.0;
    double lateShare = 0.25;
};

/// Returns the value of an answer to a prompt with these sizes.
double promptValue(const PromptValues &values, std::uint64_t promptTokens,
                   std::uint64_t outputTokens, Duration pauseGoal);

/// Returns what of the value of \a demand is lost if its first event comes \a untilFirst from now.
double latenessLoss(const PromptDemand &demand, Duration untilFirst, double lateShare);

} // namespace dotterel
