#pragma once

#include "gateway/prompt_plan.h"
#include "gateway/slot_queue.h"

#include <optional>
#include <vector>

namespace dotterel {

/// Plans a prompt whose prefill several engines share, and whose memory they share if it exceeds
/// that of one. Answers prompts whose prefill on one engine takes longer than their target.
/// Performs no I/O.
class SplitPrefillPlanner
{
public:
    SplitPrefillPlanner(const PromptPlacementSettings &settings, const EngineProfile &engine,
                        const SlotQueue &slotQueue)
        : settings(settings)
        , engine(engine)
        , slotQueue(slotQueue)
    {}

    /// Returns the plan with the lowest expected loss on \a engineCount of \a candidates; nullopt
    /// if their memory is too small.
    std::optional<PromptPlan> plan(const PromptDemand &demand,
                                   const std::vector<PlacementCandidate> &candidates,
                                   std::size_t engineCount, TimePoint now) const;

private:
    bool distributeMemory(const PromptDemand &demand,
                          const std::vector<PlacementCandidate> &candidates,
                          PromptPlan &plan) const;

    const PromptPlacementSettings &settings;
    const EngineProfile &engine;
    const SlotQueue &slotQueue;
};

} // namespace dotterel
