#include "gateway/prompt_demand.h"

#include <algorithm>

namespace dotterel {

namespace {

/// A limit is almost always met if the predicted time is below the first fraction of it, and almost
/// never if it is above the second one. Engine passes and reports that are still on their way make
/// predictions in between uncertain.
constexpr double SafeShare = 0.80;
constexpr double HopelessShare = 1.10;
/// Fraction of the value that a wait as long as the target costs even if the answer is in time, so
/// that the faster of two servers is chosen.
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
