#include "gateway/prompt_placement.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Loss of an infeasible placement, larger than any real loss.
constexpr double Impossible = 1e6;
/// Loss for each prompt ahead in the queue for a slot, as a fraction of the prompt's value.
constexpr double QueuedPlaceCost = 0.25;
/// Bounds of the retry delay suggested to a refused caller.
constexpr Duration ShortestReturn = std::chrono::milliseconds(200);
constexpr Duration LongestReturn = std::chrono::seconds(4);

} // namespace

PromptPlacement::PromptPlacement(const PromptPlacementSettings &settings, std::string failureDomain,
                                 const ServerFleet &fleet)
    : settings(settings)
    , failureDomain(std::move(failureDomain))
    , fleet(fleet)
{}

PromptDecision PromptPlacement::place(const ServerPool &pool, const PromptDemand &demand,
                                      const std::set<ServerId> &excluded, TimePoint now)
{
    PromptDecision decision;
    const std::vector<Candidate> places = this->candidates(pool, demand, excluded, now);
    decision.anyServer = !places.empty();
    if (places.empty())
        return decision;
    std::optional<PromptPlan> best;
    for (const Candidate &candidate : places) {
        const PromptPlan plan = this->alone(pool, demand, candidate, now);
        if (!best || plan.loss < best->loss)
            best = plan;
    }
    const Duration reading = readingTime(*pool.engine, demand.promptTokens, 1);
    if (pool.engine->canShareReading && reading >= this->settings.leastDividedReading) {
        const bool giant = best->loss >= Impossible;
        const std::size_t limit =
                giant ? this->settings.mostPartsOfGiant : this->settings.mostParts;
        const std::size_t most = std::min(limit, places.size());
        for (std::size_t parts = 2; parts <= most; ++parts) {
            const auto plan = this->divided(pool, demand, places, parts, now);
            if (plan && plan->loss < best->loss)
                best = plan;
        }
    }
    decision.bestLoss = best->loss;
    if (best->loss <= this->acceptableLoss(demand)) {
        decision.plan = best;
        return decision;
    }
    // The caller may retry once the first engine has finished its outstanding prefill.
    Duration soonest = LongestReturn;
    for (const Candidate &candidate : places)
        soonest = std::min(soonest, candidate.load->readingAhead());
    decision.retryAfter = std::clamp(soonest, ShortestReturn, LongestReturn);
    return decision;
}

std::vector<PromptPlacement::Candidate>
PromptPlacement::candidates(const ServerPool &pool, const PromptDemand &demand,
                            const std::set<ServerId> &excluded, TimePoint now)
{
    const bool isShort =
            readingTime(*pool.engine, demand.promptTokens, 1) < this->settings.shortReading;
    const auto memory = static_cast<double>(pool.engine->memoryTokens);
    std::vector<Candidate> result;
    std::vector<Candidate> tried;
    const std::vector<const GatewayServer *> servers = this->fleet.usable(pool.name, now);
    double index = 0;
    for (const GatewayServer *server : servers) {
        Candidate candidate;
        candidate.server = server;
        candidate.load = &this->loads[server->id];
        candidate.load->advance(*pool.engine, now);
        const double place = index / static_cast<double>(servers.size());
        index += 1;
        candidate.tieCost = this->settings.orderWeight * (isShort ? place : 1.0 - place);
        if (server->failureDomain != this->failureDomain)
            candidate.tieCost += this->settings.otherDomainCost;
        candidate.failureRate = this->fleet.failureRate(server->id, now);
        const double claimed = static_cast<double>(candidate.load->memoryTokens()
                                                   + demand.promptTokens + demand.outputTokens);
        candidate.fits = memory <= 0 || claimed <= memory * this->settings.memoryShare;
        const double left = memory * this->settings.memoryShare
                            - static_cast<double>(candidate.load->memoryTokens());
        candidate.freeTokens =
                static_cast<std::uint64_t>(std::max(0.0, left * this->settings.reservableShare));
        (excluded.count(server->id) > 0 ? tried : result).push_back(candidate);
    }
    return result.empty() ? tried : result;
}

double PromptPlacement::acceptableLoss(const PromptDemand &demand) const
{
    // A partly delivered answer is continued on any feasible server.
    if (demand.begun)
        return Impossible / 2;
    // Value that is already lost, for example because a caller retries after its target time, is no
    // reason to refuse.
    const double unavoidable =
            latenessLoss(demand, Duration::zero(), this->settings.values.lateShare);
    const double left = std::max(0.0, demand.value - unavoidable);
    const double returning = demand.returns ? this->settings.returningLoss * demand.value : 0.0;
    return unavoidable + this->settings.mostLoss * left + returning;
}

double PromptPlacement::placeCost(const ServerPool &pool, const PromptDemand &demand,
                                  const Candidate &candidate) const
{
    const std::size_t slots = pool.engine->slots;
    const std::size_t spare = std::min(this->settings.sparePlaces, slots - 1);
    const std::size_t prompts = candidate.load->prompts();
    double cost = candidate.tieCost + candidate.failureRate * demand.value;
    if (prompts + spare >= slots)
        cost += demand.value * QueuedPlaceCost * static_cast<double>(prompts + spare + 1 - slots);
    return cost;
}

PromptPlan PromptPlacement::alone(const ServerPool &pool, const PromptDemand &demand,
                                  const Candidate &candidate, TimePoint now) const
{
    const EngineProfile &engine = *pool.engine;
    const double lateShare = this->settings.values.lateShare;
    const Duration reading = readingTime(engine, demand.promptTokens, 1);
    PromptPlan plan;
    plan.server = candidate.server->id;
    plan.memoryTokens = demand.promptTokens + demand.outputTokens;
    plan.untilFirst = candidate.load->untilFirstEvent(engine, reading, false);
    plan.loss = latenessLoss(demand, plan.untilFirst, lateShare)
                + candidate.load->interference(engine, reading, demand.promptTokens, false,
                                               lateShare, now)
                + this->placeCost(pool, demand, candidate);
    if (!candidate.fits)
        plan.loss += Impossible;
    return plan;
}

std::optional<PromptPlan> PromptPlacement::divided(const ServerPool &pool,
                                                   const PromptDemand &demand,
                                                   const std::vector<Candidate> &candidates,
                                                   std::size_t parts, TimePoint now) const
{
    const EngineProfile &engine = *pool.engine;
    const double lateShare = this->settings.values.lateShare;
    const Duration part = readingTime(engine, demand.promptTokens, parts);
    struct Option
    {
        const Candidate *candidate;
        Duration until;
        double cost;
    };
    std::vector<Option> helpers;
    const Candidate *first = nullptr;
    double firstCost = Impossible;
    Duration firstUntil = Duration::zero();
    for (const Candidate &candidate : candidates) {
        const Duration until = candidate.load->untilFirstEvent(engine, part, false);
        const double cost = latenessLoss(demand, until, lateShare)
                            + candidate.load->interference(engine, part, demand.promptTokens, false,
                                                           lateShare, now)
                            + this->placeCost(pool, demand, candidate);
        if (cost < firstCost && (candidate.fits || candidate.freeTokens > 0)) {
            firstCost = cost;
            first = &candidate;
            firstUntil = until;
        }
        const double failing = candidate.failureRate * demand.value;
        helpers.push_back({&candidate, candidate.load->untilFirstEvent(engine, part, true),
                           candidate.load->interference(engine, part, demand.promptTokens, true,
                                                        lateShare, now)
                                   + candidate.tieCost + failing});
    }
    if (first == nullptr)
        return std::nullopt;
    // The outstanding prefill, in seconds, decides between helpers of similar cost.
    std::sort(helpers.begin(), helpers.end(), [](const Option &left, const Option &right) {
        return left.cost + toSeconds(left.candidate->load->readingAhead())
               < right.cost + toSeconds(right.candidate->load->readingAhead());
    });
    PromptPlan plan;
    plan.server = first->server->id;
    plan.untilFirst = firstUntil;
    double cost = firstCost - latenessLoss(demand, firstUntil, lateShare);
    for (const Option &option : helpers) {
        if (plan.helpers.size() + 1 == parts)
            break;
        if (option.candidate == first)
            continue;
        plan.helpers.push_back({option.candidate->server->id, 0});
        plan.untilFirst = std::max(plan.untilFirst, option.until);
        cost += option.cost + this->settings.partCost * demand.value;
    }
    if (plan.helpers.size() + 1 < parts || !this->spreadMemory(demand, candidates, plan))
        return std::nullopt;
    plan.loss = cost + latenessLoss(demand, plan.untilFirst, lateShare);
    return plan;
}

bool PromptPlacement::spreadMemory(const PromptDemand &demand,
                                   const std::vector<Candidate> &candidates, PromptPlan &plan) const
{
    const auto freeOf = [&candidates](const ServerId &server) -> const Candidate * {
        for (const Candidate &candidate : candidates) {
            if (candidate.server->id == server)
                return &candidate;
        }
        return nullptr;
    };
    const Candidate *first = freeOf(plan.server);
    const std::uint64_t needed = demand.promptTokens + demand.outputTokens;
    if (first == nullptr)
        return false;
    if (first->fits) {
        plan.memoryTokens = needed;
        return true;
    }
    plan.memoryTokens = std::min(needed, first->freeTokens);
    std::uint64_t rest = needed - plan.memoryTokens;
    for (PromptHelper &helper : plan.helpers) {
        const Candidate *candidate = freeOf(helper.server);
        helper.memoryTokens = std::min(rest, candidate == nullptr ? 0 : candidate->freeTokens);
        rest -= helper.memoryTokens;
    }
    return rest == 0;
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

void PromptPlacement::onSenderGone(std::uint32_t sender)
{
    for (auto &[server, load] : this->loads)
        load.removeSender(sender);
}

void PromptPlacement::onServerReset(const ServerId &server)
{
    this->loads.erase(server);
}

std::size_t PromptPlacement::promptsOn(const ServerId &server) const
{
    const auto found = this->loads.find(server);
    return found == this->loads.end() ? 0 : found->second.prompts();
}

} // namespace dotterel
