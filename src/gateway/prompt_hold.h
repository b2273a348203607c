#pragma once

#include "gateway/prompt_placement.h"

namespace dotterel {

/// Limits of a PromptHold.
struct PromptHoldSettings
{
    /// A plan that delays other prompts by at most this fraction of the prompt's value is not held.
    double tolerableLossFraction = 0.1;
    /// Fraction of the target time after which a held prompt has to get its first event.
    double usableTargetFraction = 0.5;
    /// Fraction of the time until the caller leaves that a prompt past its target may be held.
    double usableCallerTimeFraction = 0.35;
    /// How often the placement of a held prompt is repeated.
    Duration recheckInterval = std::chrono::milliseconds(40);
};

/// Decides whether a prompt waits at its host for a better place. Answers the onset of a phase in
/// which long prompts arrive while most engines still write answers: a prefill there would stall
/// those streams beyond their event gap, but they end within a second, and a long prompt has more
/// slack than that. Refused at once, its caller would come back before anything has changed.
/// Performs no I/O.
class PromptHold
{
public:
    explicit PromptHold(const PromptHoldSettings &settings);

    /// Returns after what time the placement of \a demand is to be repeated instead of acting on
    /// \a result, or nullopt if waiting would make the prompt late or cannot help.
    std::optional<Duration> recheckAfter(const PromptDemand &demand,
                                         const PromptPlacementResult &result) const;

private:
    PromptHoldSettings settings;
};

} // namespace dotterel
