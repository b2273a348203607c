#include "gateway/dispatch_spread.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Free slots that hosts choose among for each dispatch that crosses. With fewer, prompts meet at
/// the last free slot of an engine; with more, short prompts spread over engines that long ones
/// could have for themselves.
constexpr double SlotsPerCrossing = 8.0;

/// An engine without a free slot counts as one with a single one, since those that are full are
/// chosen among as well once there are no others.
double weight(std::size_t freeSlots)
{
    return static_cast<double>(std::max<std::size_t>(1, freeSlots));
}

} // namespace

DispatchSpread::DispatchSpread(double crossings, const std::vector<PlacementCandidate> &candidates)
    : crossings(crossings)
{
    for (const PlacementCandidate &candidate : candidates)
        this->choiceSlots += weight(candidate.freeSlots);
    this->choiceSlots = std::min(this->choiceSlots, std::max(1.0, SlotsPerCrossing * crossings));
}

double DispatchSpread::unseenPrompts(std::size_t freeSlots) const
{
    return this->crossings * std::min(1.0, weight(freeSlots) / this->choiceSlots);
}

const PromptPlan &DispatchSpread::choose(std::vector<SpreadOption> &options, double tolerance,
                                         RandomSource &random) const
{
    std::sort(options.begin(), options.end(),
              [](const SpreadOption &left, const SpreadOption &right) {
                  return left.plan.expectedLoss < right.plan.expectedLoss;
              });
    const double highestLoss = options.front().plan.expectedLoss + tolerance;
    double totalWeight = 0;
    std::size_t count = 0;
    while (count < options.size() && totalWeight < SlotsPerCrossing * this->crossings
           && options[count].plan.expectedLoss <= highestLoss)
        totalWeight += weight(options[count++].freeSlots);
    double draw = random.nextDouble() * totalWeight;
    for (std::size_t index = 0; index < count; ++index) {
        draw -= weight(options[index].freeSlots);
        if (draw < 0)
            return options[index].plan;
    }
    return options.front().plan;
}

} // namespace dotterel
