#include "gateway/prompt_demand.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

/// A limit is almost always met if the predicted time is below the first fraction of it, and almost
/// never if it is above the second one. Engine passes and reports that have not arrived yet make
/// predictions in between uncertain.
constexpr double AlmostAlwaysMetFraction = 0.80;
constexpr double AlmostNeverMetFraction = 1.10;
/// Cost of a wait as long as the target time even if the answer is in time, as a fraction of the
/// value, so that the faster of two servers is chosen.
constexpr double WaitingCostFraction = 0.02;

double missProbability(double predictedSeconds, double limitSeconds)
{
    if (limitSeconds <= 0)
        return 1.0;
    const double ratio = predictedSeconds / limitSeconds;
    return std::clamp((ratio - AlmostAlwaysMetFraction)
                              / (AlmostNeverMetFraction - AlmostAlwaysMetFraction),
                      0.0, 1.0);
}

} // namespace

double promptValue(const PromptValueModel &model, std::uint64_t promptTokens,
                   std::uint64_t outputTokens, Duration maxEventGap, int rank)
{
    const double weightedTokens = static_cast<double>(promptTokens)
                                  + model.outputTokenWeight * static_cast<double>(outputTokens);
    const double valuePerToken = maxEventGap >= model.documentEventGap ? model.valuePerDocumentToken
                                                                       : model.valuePerPromptToken;
    const int ranksApart =
            std::clamp(rank - model.referenceRank, -model.mostRanksApart, model.mostRanksApart);
    return weightedTokens * valuePerToken * std::pow(model.valueFractionPerRank, ranksApart);
}

double latenessLoss(const PromptDemand &demand, Duration timeToFirstEvent, double lateValueFraction)
{
    const double timeToFirstEventSeconds = toSeconds(timeToFirstEvent);
    const double targetSeconds = toSeconds(demand.firstEventTarget);
    const double lateProbability =
            missProbability(toSeconds(demand.elapsed) + timeToFirstEventSeconds, targetSeconds);
    const double abandonProbability =
            missProbability(timeToFirstEventSeconds, toSeconds(demand.callerTimeLeft));
    const double keptFraction =
            (1.0 - abandonProbability) * (1.0 - lateProbability * (1.0 - lateValueFraction));
    const double waitingFraction =
            WaitingCostFraction
            * std::min(1.0, timeToFirstEventSeconds / std::max(targetSeconds, 1e-3));
    return demand.value * (1.0 - keptFraction + waitingFraction);
}

} // namespace dotterel
