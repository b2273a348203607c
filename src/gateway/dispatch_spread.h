#pragma once

#include "core/random_source.h"
#include "gateway/prompt_plan.h"

#include <cstddef>
#include <vector>

namespace dotterel {

/// A plan that DispatchSpread chooses from.
struct SpreadOption
{
    PromptPlan plan;
    std::size_t freeSlots = 0; ///< Of the engine that runs the prompt.
};

/// Spreads prompts that hosts place at the same time over engines with free slots. Answers load
/// that fills most slots of many engines: each host knows the dispatches of the others only some
/// milliseconds later, and hosts that all choose the best engine fill it beyond its slots while
/// others have free ones. Performs no I/O.
class DispatchSpread
{
public:
    /// \a crossings is the number of dispatches of other hosts that are not known yet.
    DispatchSpread(double crossings, const std::vector<PlacementCandidate> &candidates);

    /// Returns how many of the unknown dispatches are expected at an engine with \a freeSlots.
    double unseenPrompts(std::size_t freeSlots) const;

    /// Returns one of \a options, which is not empty: that with the lowest loss, or one whose loss
    /// exceeds it by at most \a tolerance, with a probability proportional to its free slots.
    const PromptPlan &choose(std::vector<SpreadOption> &options, double tolerance,
                             RandomSource &random) const;

private:
    double crossings;
    double choiceSlots = 0; ///< Free slots among which hosts choose.
};

} // namespace dotterel
