#include "gateway/prompt_placement.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Loss of an infeasible placement, larger than any real loss.
constexpr double InfeasibleLoss = 1e6;
/// Loss for each prompt ahead in the queue for a slot, as a fraction of the prompt's value.
constexpr double QueuePositionCost = 0.25;
/// Bounds of the retry delay suggested to a refused caller.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration MaxRetryAfter = std::chrono::seconds(4);

} // namespace

PromptPlacement::PromptPlacement(const PromptPlacementSettings &settings, std::string failureDomain,
                                 const ServerFleet &fleet)
    : settings(settings)
    , failureDomain(std::move(failureDomain))
    , fleet(fleet)
{}

PromptPlacementResult PromptPlacement::place(const ServerPool &pool, const PromptDemand &demand,
                                             const std::set<ServerId> &excluded, TimePoint now)
{
    PromptPlacementResult result;
    const std::vector<Candidate> candidateList = this->candidates(pool, demand, excluded, now);
    result.hasUsableServer = !candidateList.empty();
    if (candidateList.empty())
        return result;
    std::optional<PromptPlan> best;
    for (const Candidate &candidate : candidateList) {
        const PromptPlan plan = this->planSingle(pool, demand, candidate, now);
        if (!best || plan.expectedLoss < best->expectedLoss)
            best = plan;
    }
    const Duration prefill = prefillTime(*pool.engine, demand.promptTokens, 1);
    result.shortestTimeToFirstEvent = prefill;
    if (pool.engine->supportsSplitPrefill && prefill >= this->settings.minSharedPrefill) {
        const bool exceedsOneEngine = best->expectedLoss >= InfeasibleLoss;
        const std::size_t engineLimit = exceedsOneEngine ? this->settings.maxPrefillEnginesOversized
                                                         : this->settings.maxPrefillEngines;
        const std::size_t maxEngines = std::min(engineLimit, candidateList.size());
        result.shortestTimeToFirstEvent =
                prefillTime(*pool.engine, demand.promptTokens, maxEngines);
        for (std::size_t engineCount = 2; engineCount <= maxEngines; ++engineCount) {
            const auto plan = this->planShared(pool, demand, candidateList, engineCount, now);
            if (plan && plan->expectedLoss < best->expectedLoss)
                best = plan;
        }
    }
    result.bestPlan = best;
    if (best->expectedLoss <= this->maxAcceptableLoss(demand)) {
        result.plan = best;
        return result;
    }
    // The caller may retry once the first engine has finished its outstanding prefill.
    Duration earliest = MaxRetryAfter;
    for (const Candidate &candidate : candidateList)
        earliest = std::min(earliest, candidate.load->queuedPrefillTime());
    result.retryAfter = std::clamp(earliest, MinRetryAfter, MaxRetryAfter);
    return result;
}

std::vector<PromptPlacement::Candidate>
PromptPlacement::candidates(const ServerPool &pool, const PromptDemand &demand,
                            const std::set<ServerId> &excluded, TimePoint now)
{
    const bool isShort =
            prefillTime(*pool.engine, demand.promptTokens, 1) < this->settings.maxShortPrefill;
    const auto engineMemory = static_cast<double>(pool.engine->memoryTokens);
    std::vector<Candidate> result;
    std::vector<Candidate> excludedCandidates;
    const std::vector<const GatewayServer *> servers = this->fleet.usable(pool.name, now);
    double index = 0;
    for (const GatewayServer *server : servers) {
        Candidate candidate;
        candidate.server = server;
        candidate.load = &this->loads[server->id];
        candidate.load->advance(*pool.engine, now);
        const double position = index / static_cast<double>(servers.size());
        index += 1;
        candidate.positionCost =
                this->settings.positionWeight * (isShort ? position : 1.0 - position);
        if (server->failureDomain != this->failureDomain)
            candidate.positionCost += this->settings.otherDomainCost;
        candidate.failureRate = this->fleet.failureRate(server->id, now);
        const double claimedTokens = static_cast<double>(
                candidate.load->memoryTokens() + demand.promptTokens + demand.outputTokens);
        candidate.fitsMemory =
                engineMemory <= 0
                || claimedTokens <= engineMemory * this->settings.usableMemoryFraction;
        const double freeTokens = engineMemory * this->settings.usableMemoryFraction
                                  - static_cast<double>(candidate.load->memoryTokens());
        if (!candidate.load->isMemoryRefused(now))
            candidate.reservableTokens = static_cast<std::uint64_t>(
                    std::max(0.0, freeTokens * this->settings.reservableFraction));
        (excluded.count(server->id) > 0 ? excludedCandidates : result).push_back(candidate);
    }
    return result.empty() ? excludedCandidates : result;
}

double PromptPlacement::maxAcceptableLoss(const PromptDemand &demand) const
{
    // A partly delivered answer is continued on any feasible server.
    if (demand.answerStarted)
        return InfeasibleLoss / 2;
    // Value that is already lost, for example because a caller retries after its target time, is no
    // reason to refuse.
    const double unavoidableLoss =
            latenessLoss(demand, Duration::zero(), this->settings.valueModel.lateValueFraction);
    const double remainingValue = std::max(0.0, demand.value - unavoidableLoss);
    const double refusedBeforeAllowance =
            demand.refusedBefore ? this->settings.refusedBeforeLossFraction * demand.value : 0.0;
    return unavoidableLoss + this->settings.maxLossFraction * remainingValue
           + refusedBeforeAllowance;
}

double PromptPlacement::serverCost(const ServerPool &pool, const PromptDemand &demand,
                                   const Candidate &candidate) const
{
    const std::size_t slots = pool.engine->slots;
    const std::size_t spareSlots = std::min(this->settings.spareSlotsPerEngine, slots - 1);
    const std::size_t promptCount = candidate.load->promptCount();
    double cost = candidate.positionCost + candidate.failureRate * demand.value;
    if (promptCount + spareSlots >= slots)
        cost += demand.value * QueuePositionCost
                * static_cast<double>(promptCount + spareSlots + 1 - slots);
    return cost;
}

PromptPlan PromptPlacement::planSingle(const ServerPool &pool, const PromptDemand &demand,
                                       const Candidate &candidate, TimePoint now) const
{
    const EngineProfile &engine = *pool.engine;
    const double lateValueFraction = this->settings.valueModel.lateValueFraction;
    const Duration prefill = prefillTime(engine, demand.promptTokens, 1);
    PromptPlan plan;
    plan.server = candidate.server->id;
    plan.memoryTokens = demand.promptTokens + demand.outputTokens;
    plan.timeToFirstEvent = candidate.load->predictTimeToFirstEvent(engine, prefill, false);
    plan.latenessLoss = latenessLoss(demand, plan.timeToFirstEvent, lateValueFraction);
    plan.interferenceLoss = candidate.load->interferenceLoss(engine, prefill, demand.promptTokens,
                                                             false, lateValueFraction, now);
    plan.expectedLoss =
            plan.latenessLoss + plan.interferenceLoss + this->serverCost(pool, demand, candidate);
    if (!candidate.fitsMemory)
        plan.expectedLoss += InfeasibleLoss;
    return plan;
}

std::optional<PromptPlan> PromptPlacement::planShared(const ServerPool &pool,
                                                      const PromptDemand &demand,
                                                      const std::vector<Candidate> &candidates,
                                                      std::size_t engineCount, TimePoint now) const
{
    const EngineProfile &engine = *pool.engine;
    const double lateValueFraction = this->settings.valueModel.lateValueFraction;
    const Duration prefillShare = prefillTime(engine, demand.promptTokens, engineCount);
    struct HelperOption
    {
        const Candidate *candidate;
        Duration timeToFirst;
        double interference;
        double cost;
    };
    std::vector<HelperOption> helpers;
    const Candidate *primary = nullptr;
    double primaryCost = InfeasibleLoss;
    double primaryInterference = 0;
    Duration primaryTime = Duration::zero();
    for (const Candidate &candidate : candidates) {
        const Duration timeToFirst =
                candidate.load->predictTimeToFirstEvent(engine, prefillShare, false);
        const double interference = candidate.load->interferenceLoss(
                engine, prefillShare, demand.promptTokens, false, lateValueFraction, now);
        const double cost = latenessLoss(demand, timeToFirst, lateValueFraction) + interference
                            + this->serverCost(pool, demand, candidate);
        if (cost < primaryCost && (candidate.fitsMemory || candidate.reservableTokens > 0)) {
            primaryCost = cost;
            primary = &candidate;
            primaryTime = timeToFirst;
            primaryInterference = interference;
        }
        const double failureCost = candidate.failureRate * demand.value;
        const double helperInterference = candidate.load->interferenceLoss(
                engine, prefillShare, demand.promptTokens, true, lateValueFraction, now);
        helpers.push_back(
                {&candidate, candidate.load->predictTimeToFirstEvent(engine, prefillShare, true),
                 helperInterference, helperInterference + candidate.positionCost + failureCost});
    }
    if (primary == nullptr)
        return std::nullopt;
    // The outstanding prefill, in seconds, decides between helpers of similar cost.
    std::sort(helpers.begin(), helpers.end(),
              [](const HelperOption &left, const HelperOption &right) {
                  return left.cost + toSeconds(left.candidate->load->queuedPrefillTime())
                         < right.cost + toSeconds(right.candidate->load->queuedPrefillTime());
              });
    PromptPlan plan;
    plan.server = primary->server->id;
    plan.timeToFirstEvent = primaryTime;
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

bool PromptPlacement::distributeMemory(const PromptDemand &demand,
                                       const std::vector<Candidate> &candidates,
                                       PromptPlan &plan) const
{
    const auto candidateFor = [&candidates](const ServerId &server) -> const Candidate * {
        for (const Candidate &candidate : candidates) {
            if (candidate.server->id == server)
                return &candidate;
        }
        return nullptr;
    };
    const Candidate *primary = candidateFor(plan.server);
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
        const Candidate *candidate = candidateFor(helper.server);
        helper.memoryTokens =
                std::min(remainingTokens, candidate == nullptr ? 0 : candidate->reservableTokens);
        remainingTokens -= helper.memoryTokens;
    }
    return remainingTokens == 0;
}

void PromptPlacement::onDispatched(const ServerId &server, const EngineProfile &engine,
                                   const EnginePrompt &prompt, TimePoint now)
{
    this->loads[server].add(engine, prompt, now);
}

void PromptPlacement::onFirstEvent(const PromptKey &key, TimePoint now)
{
    for (auto &[server, load] : this->loads)
        load.onFirstEvent(key, now);
}

void PromptPlacement::onEnded(const PromptKey &key, TimePoint now)
{
    for (auto &[server, load] : this->loads)
        load.remove(key, now);
}

void PromptPlacement::onSilent(const PromptKey &key, TimePoint now)
{
    for (auto &[server, load] : this->loads)
        load.removeSilent(key, now);
}

void PromptPlacement::onMemoryRefused(const ServerId &server, TimePoint now)
{
    this->loads[server].onMemoryRefused(now);
}

void PromptPlacement::onSenderGone(std::uint32_t senderHash)
{
    for (auto &[server, load] : this->loads)
        load.removeBySender(senderHash);
}

void PromptPlacement::onServerReset(const ServerId &server)
{
    this->loads.erase(server);
}

std::optional<Duration> PromptPlacement::prefillLeft(const ServerId &server,
                                                     const PromptKey &key) const
{
    const auto found = this->loads.find(server);
    return found == this->loads.end() ? std::nullopt : found->second.prefillLeft(key);
}

std::size_t PromptPlacement::promptCountOn(const ServerId &server) const
{
    const auto found = this->loads.find(server);
    return found == this->loads.end() ? 0 : found->second.promptCount();
}

} // namespace dotterel
