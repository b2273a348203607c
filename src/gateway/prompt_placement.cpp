#include "gateway/prompt_placement.h"

#include "gateway/split_prefill_planner.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

/// Loss for each prompt ahead in the queue for a slot while other engines have free ones, as a
/// fraction of the prompt's value. It delays the prompts that come to that engine later.
constexpr double QueuePositionCost = 0.25;
/// Numbers of unseen prompts on an engine that are told apart.
constexpr std::size_t MaxUnseenPrompts = 4;
/// Engine time has a price once recent prompts fill this fraction of it.
constexpr double MinPricedUtilization = 0.5;
/// An engine is open if a prompt there would get its first event within this fraction of its
/// target.
constexpr double OpenTargetFraction = 0.8;
/// A caller that returns has to get its first event within this fraction of its target, if engines
/// were idle.
constexpr double ReturnTargetFraction = 0.5;
/// Fraction of the prompts that are served at any price, so that no class or size starves.
constexpr double UnpricedFraction = 0.12;
/// Bounds of the retry delay suggested to a refused caller.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration MaxRetryAfter = std::chrono::seconds(4);

/// Returns true if \a demand is served at any price: an answer that has begun, or one of a fraction
/// of all prompts that can be in time.
bool isUnpriced(const PromptDemand &demand)
{
    const bool isDrawn =
            demand.fairnessDraw < UnpricedFraction && demand.elapsed < demand.firstEventTarget;
    return demand.answerStarted || isDrawn;
}

/// Returns when a refused caller may retry: once the first engine has finished its outstanding
/// prefill.
Duration returnDelay(const std::vector<PlacementCandidate> &candidates)
{
    Duration earliest = MaxRetryAfter;
    for (const PlacementCandidate &candidate : candidates)
        earliest = std::min(earliest, candidate.load->queuedPrefillTime());
    return std::clamp(earliest, MinRetryAfter, MaxRetryAfter);
}

} // namespace

PromptPlacement::PromptPlacement(const PromptPlacementSettings &settings, std::string failureDomain,
                                 const ServerFleet &fleet, RandomSource &random)
    : settings(settings)
    , failureDomain(std::move(failureDomain))
    , fleet(fleet)
    , random(random)
{}

PromptPlacementResult PromptPlacement::place(const ServerPool &pool, const PromptDemand &requested,
                                             const std::set<ServerId> &excluded, TimePoint now)
{
    PromptDemand demand = requested;
    if (this->isLarge(*pool.engine, demand.promptTokens + demand.outputTokens))
        demand.callerTimeLeft = std::min(demand.callerTimeLeft, MaxUnusedMemoryTime);
    PromptPlacementResult result;
    const std::vector<PlacementCandidate> candidateList =
            this->candidates(pool, demand, excluded, now);
    result.hasUsableServer = !candidateList.empty();
    if (candidateList.empty())
        return result;
    const double crossings = this->crossingDispatches.expected(now);
    // Those that cross are spread in turn, so that an engine gets less than one on average.
    const double unseenPrompts = crossings / (1.0 + crossings);
    std::vector<PromptPlan> plans;
    plans.reserve(candidateList.size());
    for (const PlacementCandidate &candidate : candidateList)
        plans.push_back(this->planSingle(pool, demand, candidate, unseenPrompts, now));
    std::optional<PromptPlan> best = this->choose(plans, demand, crossings);
    const Duration prefill = prefillTime(*pool.engine, demand.promptTokens, 1);
    result.shortestTimeToFirstEvent = prefill;
    if (pool.engine->supportsSplitPrefill && prefill >= this->settings.minSharedPrefill) {
        const std::size_t maxEngines = std::min(
                this->maxPrefillEngines(*pool.engine, demand, *best), candidateList.size());
        this->considerShared(*pool.engine, demand, candidateList, maxEngines, *best, now);
        const std::size_t expectedEngines = std::max(
                best->helpers.size() + 1, std::min(this->settings.usualPrefillEngines, maxEngines));
        result.shortestTimeToFirstEvent =
                prefillTime(*pool.engine, demand.promptTokens, expectedEngines);
    }
    best->reservesMemory = this->isLarge(*pool.engine, best->memoryTokens);
    result.bestPlan = best;
    const double price = this->priceOf(*pool.engine, demand, *best, candidateList, now);
    // A prompt that was taken once is not turned away for its price after a failure.
    const bool paysPrice =
            !excluded.empty() || isUnpriced(demand) || demand.value - best->expectedLoss >= price;
    if (paysPrice && best->expectedLoss <= this->maxAcceptableLoss(demand)) {
        result.plan = best;
        return result;
    }
    result.retryAfter = returnDelay(candidateList);
    // While engine time has a price, a caller that would come back too late does so after the peak.
    const double backSeconds =
            toSeconds(demand.elapsed + result.retryAfter + result.shortestTimeToFirstEvent);
    if (price > 0 && backSeconds > toSeconds(demand.firstEventTarget) * ReturnTargetFraction)
        result.retryAfter = MaxRetryAfter;
    return result;
}

std::size_t PromptPlacement::maxPrefillEngines(const EngineProfile &engine,
                                               const PromptDemand &demand,
                                               const PromptPlan &single) const
{
    const bool exceedsOneEngine = single.expectedLoss >= InfeasibleLoss;
    const bool isGiant =
            prefillTime(engine, demand.promptTokens, this->settings.usualPrefillEngines)
            > demand.firstEventTarget / 2;
    return exceedsOneEngine || isGiant ? this->settings.maxPrefillEngines
                                       : this->settings.usualPrefillEngines;
}

void PromptPlacement::considerShared(const EngineProfile &engine, const PromptDemand &demand,
                                     const std::vector<PlacementCandidate> &candidateList,
                                     std::size_t maxEngines, PromptPlan &best, TimePoint now) const
{
    const SplitPrefillPlanner planner(this->settings, engine, this->slotQueue);
    for (std::size_t engineCount = 2; engineCount <= maxEngines; ++engineCount) {
        const auto plan = planner.plan(demand, candidateList, engineCount, now);
        if (plan && plan->expectedLoss < best.expectedLoss)
            best = *plan;
    }
}

bool PromptPlacement::hasBecomeCostly(const ServerPool &pool, const PromptDemand &demand,
                                      const PromptPlan &plan, TimePoint now)
{
    const EngineProfile &engine = *pool.engine;
    const Duration prefill = prefillTime(engine, demand.promptTokens, plan.helpers.size() + 1);
    double interference = 0;
    const auto addLoss = [&](const ServerId &server) {
        EngineLoad &load = this->loads[server];
        load.advance(engine, now);
        interference +=
                load.interferenceLoss(engine, prefill, demand.promptTokens, !plan.helpers.empty(),
                                      this->settings.valueModel.lateValueFraction, now);
    };
    addLoss(plan.server);
    for (const PrefillHelper &helper : plan.helpers)
        addLoss(helper.server);
    return interference - plan.interferenceLoss > this->settings.maxToleratedLoss * demand.value;
}

std::vector<PlacementCandidate> PromptPlacement::candidates(const ServerPool &pool,
                                                            const PromptDemand &demand,
                                                            const std::set<ServerId> &excluded,
                                                            TimePoint now)
{
    const bool isShort =
            prefillTime(*pool.engine, demand.promptTokens, 1) < this->settings.maxShortPrefill;
    const auto engineMemory = static_cast<double>(pool.engine->memoryTokens);
    const bool isLarge = this->isLarge(*pool.engine, demand.promptTokens + demand.outputTokens);
    std::vector<PlacementCandidate> result;
    std::vector<PlacementCandidate> excludedCandidates;
    const std::vector<const GatewayServer *> servers = this->fleet.usable(pool.name, now);
    double index = 0;
    for (const GatewayServer *server : servers) {
        PlacementCandidate candidate;
        candidate.server = server;
        candidate.load = &this->loads[server->id];
        candidate.load->advance(*pool.engine, now);
        const double position = index / static_cast<double>(servers.size());
        index += 1;
        candidate.positionCost =
                this->settings.positionWeight * (isShort ? position : 1.0 - position);
        if (server->failureDomain != this->failureDomain)
            candidate.positionCost +=
                    isShort ? this->settings.otherDomainCost
                            : this->settings.otherDomainLongPromptCost * demand.value;
        candidate.failureRate = this->fleet.failureRate(server->id, now);
        const double claimedTokens = static_cast<double>(
                candidate.load->memoryTokens() + demand.promptTokens + demand.outputTokens);
        candidate.fitsMemory =
                engineMemory <= 0
                || claimedTokens <= engineMemory * this->settings.usableMemoryFraction;
        const double freeTokens = engineMemory * this->settings.usableMemoryFraction
                                  - static_cast<double>(candidate.load->memoryTokens());
        if (candidate.load->isMemoryRefused(now))
            candidate.fitsMemory = candidate.fitsMemory && !isLarge;
        else
            candidate.reservableTokens = static_cast<std::uint64_t>(
                    std::max(0.0, freeTokens * this->settings.reservableFraction));
        (excluded.count(server->id) > 0 ? excludedCandidates : result).push_back(candidate);
    }
    if (result.empty())
        result = std::move(excludedCandidates);
    const std::size_t slots = pool.engine->slots;
    const auto hasFreeSlot = [slots](const PlacementCandidate &candidate) {
        return candidate.load->promptCount() < slots;
    };
    if (std::none_of(result.begin(), result.end(), hasFreeSlot))
        return result;
    for (PlacementCandidate &candidate : result) {
        if (!hasFreeSlot(candidate))
            candidate.overSlotsCost =
                    QueuePositionCost
                    * static_cast<double>(candidate.load->promptCount() + 1 - slots);
    }
    return result;
}

const PromptPlan &PromptPlacement::choose(std::vector<PromptPlan> &plans,
                                          const PromptDemand &demand, double crossings)
{
    std::sort(plans.begin(), plans.end(), [](const PromptPlan &left, const PromptPlan &right) {
        return left.expectedLoss < right.expectedLoss;
    });
    const double tolerance = demand.value
                             * std::min(this->settings.maxToleratedLoss,
                                        this->settings.toleratedLossPerCrossing * crossings);
    // Each host takes the best engine with the probability at which one dispatch of those that
    // cross is expected to go there.
    for (const PromptPlan &plan : plans) {
        if (plan.expectedLoss > plans.front().expectedLoss + tolerance)
            break;
        if (this->random.nextDouble() * (1.0 + crossings) < 1.0)
            return plan;
    }
    return plans.front();
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

double PromptPlacement::priceOf(const EngineProfile &engine, const PromptDemand &demand,
                                const PromptPlan &plan,
                                const std::vector<PlacementCandidate> &candidateList,
                                TimePoint now) const
{
    const auto engineCount = static_cast<double>(candidateList.size());
    if (this->engineTimePrice.busyEngines(now) < MinPricedUtilization * engineCount)
        return 0;
    const double engineSeconds = engineSecondsOf(engine, demand);
    const double earned = std::max(0.0, demand.value - plan.expectedLoss);
    const DenserPrompts denser = this->engineTimePrice.denserPrompts(earned / engineSeconds, now);
    const double limitSeconds = toSeconds(denser.firstEventTarget) * OpenTargetFraction;
    // Several engines share a prefill that takes one of them too long.
    const Duration prefill = std::min(denser.prefill, fromSeconds(limitSeconds / 2));
    const auto openEngines = static_cast<double>(std::count_if(
            candidateList.begin(), candidateList.end(), [&](const PlacementCandidate &candidate) {
                return candidate.load->promptCount() < engine.slots
                       && toSeconds(candidate.load->predictTimeToFirstEvent(engine, prefill, false))
                                  <= limitSeconds;
            }));
    return EngineTimePrice::price(denser, openEngines, engineCount, engineSeconds);
}

bool PromptPlacement::isLarge(const EngineProfile &engine, std::uint64_t tokens) const
{
    const double reservedFrom =
            static_cast<double>(engine.memoryTokens) * this->settings.reservedMemoryFraction;
    return engine.memoryTokens > 0 && static_cast<double>(tokens) > reservedFrom;
}

PromptPlan PromptPlacement::planSingle(const ServerPool &pool, const PromptDemand &demand,
                                       const PlacementCandidate &candidate, double unseenPrompts,
                                       TimePoint now) const
{
    const EngineProfile &engine = *pool.engine;
    const double lateValueFraction = this->settings.valueModel.lateValueFraction;
    const Duration prefill = prefillTime(engine, demand.promptTokens, 1);
    PromptPlan plan;
    plan.server = candidate.server->id;
    plan.memoryTokens = demand.promptTokens + demand.outputTokens;
    const Duration timeWithSlot = candidate.load->predictTimeToFirstEvent(engine, prefill, false);
    // The number of unseen prompts on the engine has a Poisson distribution.
    double probability = std::exp(-unseenPrompts);
    double remaining = 1.0;
    double meanWaitSeconds = 0;
    for (std::size_t unseen = 0; unseen <= MaxUnseenPrompts; ++unseen) {
        const double share = unseen == MaxUnseenPrompts ? remaining : probability;
        const Duration wait = this->slotQueue.wait(engine, demand.outputTokens,
                                                   candidate.load->promptCount() + unseen);
        plan.latenessLoss += share * latenessLoss(demand, timeWithSlot + wait, lateValueFraction);
        meanWaitSeconds += share * toSeconds(wait);
        remaining -= share;
        probability *= unseenPrompts / static_cast<double>(unseen + 1);
    }
    plan.slotWait = fromSeconds(meanWaitSeconds);
    plan.timeToFirstEvent = timeWithSlot + plan.slotWait;
    plan.interferenceLoss = candidate.load->interferenceLoss(engine, prefill, demand.promptTokens,
                                                             false, lateValueFraction, now);
    plan.expectedLoss = plan.latenessLoss + plan.interferenceLoss + candidate.cost(demand);
    if (!candidate.fitsMemory)
        plan.expectedLoss += InfeasibleLoss;
    return plan;
}

void PromptPlacement::onDispatched(const ServerId &server, const EngineProfile &engine,
                                   const EnginePrompt &prompt, TimePoint now)
{
    if (!prompt.isHelper && !prompt.prefillLeft)
        this->engineTimePrice.onDispatched(engine, prompt.demand, now);
    EnginePrompt added = prompt;
    added.reservesMemory =
            this->isLarge(engine, prompt.demand.promptTokens + prompt.demand.outputTokens);
    this->loads[server].add(engine, added, now);
    if (prompt.isReported && !prompt.isHelper)
        this->crossingDispatches.onReported(now);
}

void PromptPlacement::onFirstEvent(const PromptKey &key, TimePoint now)
{
    for (auto &[server, load] : this->loads)
        load.onFirstEvent(key, now);
}

void PromptPlacement::onEnded(const PromptKey &key, TimePoint now)
{
    for (auto &[server, load] : this->loads) {
        if (const std::optional<Duration> answerTime = load.remove(key, now))
            this->slotQueue.onAnswered(*answerTime);
    }
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
