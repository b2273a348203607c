#include "gateway/prompt_hold.h"

#include <algorithm>

namespace dotterel {

PromptHold::PromptHold(const PromptHoldSettings &settings)
    : settings(settings)
{}

std::optional<Duration> PromptHold::recheckAfter(const PromptDemand &demand,
                                                 const PromptPlacementResult &result) const
{
    if (demand.answerStarted || !result.bestPlan)
        return std::nullopt;
    const double tolerableLoss = this->settings.tolerableLossFraction * demand.value;
    const bool isLate = demand.elapsed >= demand.firstEventTarget;
    // Streams that would be stalled end soon. Other losses, such as queues for slots, do not get
    // smaller by waiting.
    if (result.bestPlan->interferenceLoss <= tolerableLoss)
        return std::nullopt;
    const Duration usableTime = isLate ? fromSeconds(toSeconds(demand.callerTimeLeft)
                                                     * this->settings.usableCallerTimeFraction)
                                       : fromSeconds(toSeconds(demand.firstEventTarget)
                                                     * this->settings.usableTargetFraction)
                                                 - demand.elapsed;
    const Duration slack = usableTime - result.shortestTimeToFirstEvent;
    if (slack <= Duration::zero())
        return std::nullopt;
    return std::min(slack, this->settings.recheckInterval);
}

} // namespace dotterel
