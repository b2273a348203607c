#include "bench/bench_policies.h"

#include "coordination/credit_placement.h"
#include "coordination/least_loaded_placement.h"
#include "coordination/round_robin_placement.h"
#include "coordination/two_choices_placement.h"
#include "coordination/work_ahead_placement.h"

namespace dotterel::bench {

namespace {

PlacementSettings settingsFor(const Workload &workload)
{
    PlacementSettings settings;
    settings.prefill = workload.engine.prefill;
    settings.chunkTokens = workload.engine.chunkTokens;
    settings.tokenInterval = workload.engine.tokenInterval;
    settings.memoryTokens = workload.engine.memoryTokens;
    settings.longMemoryShare = workload.engine.longMemoryShare;
    settings.partMemoryShare = workload.engine.partMemoryShare;
    settings.crossDomainLatency = workload.oneWayLatency;
    settings.maxCandidates = 4;
    settings.weights = workload.weights;
    return settings;
}

/// Returns the settings of the policy's variant called \a name, if there is one.
std::optional<PlacementSettings> variantOf(const std::string &name, const Workload &workload)
{
    PlacementSettings settings = settingsFor(workload);
    if (name == "work-ahead")
        return settings;
    if (name == "no-news")
        settings.shareDispatches = false;
    else if (name == "all-candidates")
        settings.maxCandidates = 0;
    else if (name == "two-candidates")
        settings.maxCandidates = 2;
    else if (name == "all-work")
        settings.countLowerPriorityWork = true;
    else if (name == "no-admission")
        settings.refuseUnreachableDeadlines = false;
    else if (name == "no-shares")
        settings.enforceWorkspaceShares = false;
    else if (name == "no-affinity")
        settings.prefixAffinity = false;
    else
        return std::nullopt;
    return settings;
}

} // namespace

const std::vector<BenchPolicy> &benchPolicies()
{
    static const std::vector<BenchPolicy> policies = {
            {"round-robin", "in turn, first come first served"},
            {"least-loaded", "least queued tokens by lagged report, first come first served"},
            {"two-choices-fifo", "the less loaded of two, first come first served"},
            {"two-choices", "the less loaded of two, engines prefer shorter prompts"},
            {"credits", "two choices with priorities, within credits by AIMD on queueing delay"},
            {"work-ahead", "the policy"},
            {"no-news", "the policy without peers' dispatches"},
            {"two-candidates", "the policy with two candidates"},
            {"all-candidates", "the policy with every server as candidate"},
            {"all-work", "the policy, counting work of lower priority as ahead, too"},
            {"no-admission", "the policy without refusals of unreachable deadlines"},
            {"no-shares", "the policy without workspace shares"},
            {"no-affinity", "the policy without prefix affinity"},
    };
    return policies;
}

std::unique_ptr<Placement> makePlacement(const std::string &policy, const Workload &workload,
                                         const BackendDirectory &directory, RandomSource &random,
                                         const HostIdentity &self, std::size_t host)
{
    if (policy == "round-robin")
        return std::make_unique<RoundRobinPlacement>(directory, host);
    if (policy == "least-loaded")
        return std::make_unique<LeastLoadedPlacement>(directory, random);
    if (policy == "two-choices-fifo")
        return std::make_unique<TwoChoicesPlacement>(directory, random, EnginePriority::None);
    if (policy == "two-choices")
        return std::make_unique<TwoChoicesPlacement>(directory, random, EnginePriority::ByLength);
    if (policy == "credits")
        return std::make_unique<CreditPlacement>(directory, random, settingsFor(workload));
    const std::optional<PlacementSettings> variant = variantOf(policy, workload);
    if (!variant)
        return nullptr;
    return std::make_unique<WorkAheadPlacement>(directory, random, *variant, self, 0);
}

} // namespace dotterel::bench
