#include "gateway/prompt_demand.h"

#include <algorithm>

namespace dotterel {

namespace {

/// A prediction below this share of a limit is kept nearly always, and one above the second share
/// hardly ever: passes of the engine and news on their way blur it.
constexpr double SafeShare = 0.80;
constexpr double HopelessShare = 1.10;
/// What of the value a wait as long as the goal costs by itself, so that of two servers in time the
/// faster one is chosen.
constexpr double WaitingCost = 0.02;

double missProbability(double predictedSeconds, double limitSeconds)
{
    if (limitSeconds <= 0)
        return 1.0;
    const double share = predictedSeconds / limitSeconds;
    return std::clamp((share - SafeShare) / (HopelessShare - SafeShare), 0.0, 1.0);
}

} // namespace

double promptValue(const PromptValues &values, std::uint64_t promptTokens,
                   std::uint64_t outputTokens, Duration pauseGoal)
{
    const double size = static_cast<double>(promptTokens)
                        + values.outputTokenWeight * static_cast<double>(outputTokens);
    return size * (pauseGoal >= values.documentPause ? values.perDocumentToken : values.perToken);
}

double latenessLoss(const PromptDemand &demand, Duration untilFirst, double lateShare)
{
    const double seconds = toSeconds(untilFirst);
    const double goal = toSeconds(demand.goal);
    const double late = missProbability(toSeconds(demand.waited) + seconds, goal);
    const double lost = missProbability(seconds, toSeconds(demand.patience));
    const double kept = (1.0 - lost) * (1.0 - late * (1.0 - lateShare));
    const double waiting = WaitingCost * std::min(1.0, seconds / std::max(goal, 1e-3));
    return demand.value * (1.0 - kept + waiting);
}

} // namespace dotterel
