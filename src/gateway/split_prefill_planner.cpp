#include "gateway/split_prefill_planner.h"

#include <algorithm>

namespace dotterel {

std::optional<PromptPlan>
SplitPrefillPlanner::plan(const PromptDemand &demand,
                          const std::vector<PlacementCandidate> &candidates,
                          std::size_t engineCount, TimePoint now) const
{
    const EngineProfile &engine = this->engine;
    const double lateValueFraction = this->settings.valueModel.lateValueFraction;
    const Duration prefillShare = prefillTime(engine, demand.promptTokens, engineCount);
    struct HelperOption
    {
        const PlacementCandidate *candidate;
        Duration timeToFirst;
        double interference;
        double cost;
        double order;
    };
    std::vector<HelperOption> helpers;
    helpers.reserve(candidates.size());
    const PlacementCandidate *primary = nullptr;
    double primaryCost = InfeasibleLoss;
    double primaryInterference = 0;
    Duration primaryTime = Duration::zero();
    Duration primarySlotWait = Duration::zero();
    for (const PlacementCandidate &candidate : candidates) {
        const Duration slotWait =
                this->slotQueue.wait(engine, demand.outputTokens, candidate.load->promptCount());
        const Duration shareTime =
                candidate.load->predictTimeToFirstEvent(engine, prefillShare, true);
        const double interference = candidate.load->interferenceLoss(
                engine, prefillShare, demand.promptTokens, true, lateValueFraction, now);
        const Duration timeToFirst = shareTime + slotWait;
        const double cost = latenessLoss(demand, timeToFirst, lateValueFraction) + interference
                            + candidate.cost(demand);
        if (cost < primaryCost && (candidate.fitsMemory || candidate.reservableTokens > 0)) {
            primaryCost = cost;
            primary = &candidate;
            primaryTime = timeToFirst;
            primarySlotWait = slotWait;
            primaryInterference = interference;
        }
        const double helperCost =
                interference + candidate.positionCost + candidate.failureRate * demand.value;
        // The outstanding prefill, in seconds, decides between helpers of similar cost.
        helpers.push_back({&candidate, shareTime, interference, helperCost,
                           helperCost + toSeconds(candidate.load->queuedPrefillTime())});
    }
    if (primary == nullptr)
        return std::nullopt;
    std::sort(helpers.begin(), helpers.end(),
              [](const HelperOption &left, const HelperOption &right) {
                  return left.order < right.order;
              });
    PromptPlan plan;
    plan.server = primary->server->id;
    plan.timeToFirstEvent = primaryTime;
    plan.slotWait = primarySlotWait;
    plan.interferenceLoss = primaryInterference;
    double cost = primaryCost - latenessLoss(demand, primaryTime, lateValueFraction);
    for (const HelperOption &option : helpers) {
        if (plan.helpers.size() + 1 == engineCount)
            break;
        if (option.candidate == primary)
            continue;
        plan.helpers.push_back({option.candidate->server->id, 0});
        plan.timeToFirstEvent = std::max(plan.timeToFirstEvent, option.timeToFirst);
        plan.interferenceLoss += option.interference;
        cost += option.cost + this->settings.extraEngineCost * demand.value;
    }
    if (plan.helpers.size() + 1 < engineCount || !this->distributeMemory(demand, candidates, plan))
        return std::nullopt;
    plan.latenessLoss = latenessLoss(demand, plan.timeToFirstEvent, lateValueFraction);
    plan.expectedLoss = cost + plan.latenessLoss;
    return plan;
}

bool SplitPrefillPlanner::distributeMemory(const PromptDemand &demand,
                                           const std::vector<PlacementCandidate> &candidates,
                                           PromptPlan &plan) const
{
    const auto candidateFor = [&candidates](const ServerId &server) -> const PlacementCandidate * {
        for (const PlacementCandidate &candidate : candidates) {
            if (candidate.server->id == server)
                return &candidate;
        }
        return nullptr;
    };
    const PlacementCandidate *primary = candidateFor(plan.server);
    const std::uint64_t neededTokens = demand.promptTokens + demand.outputTokens;
    if (primary == nullptr)
        return false;
    if (primary->fitsMemory) {
        plan.memoryTokens = neededTokens;
        return true;
    }
    plan.memoryTokens = std::min(neededTokens, primary->reservableTokens);
    std::uint64_t remainingTokens = neededTokens - plan.memoryTokens;
    for (PrefillHelper &helper : plan.helpers) {
        const PlacementCandidate *candidate = candidateFor(helper.server);
        helper.memoryTokens =
                std::min(remainingTokens, candidate == nullptr ? 0 : candidate->reservableTokens);
        remainingTokens -= helper.memoryTokens;
    }
    return remainingTokens == 0;
}

} // namespace dotterel
