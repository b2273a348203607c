#pragma once

#include "core/random_source.h"
#include "gateway/crossing_dispatches.h"
#include "gateway/engine_load.h"
#include "gateway/server_fleet.h"
#include "gateway/slot_queue.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

/// Weights and limits of a PromptPlacement.
struct PromptPlacementSettings
{
    PromptValueModel valueModel;
    /// A prompt is refused if serving it is expected to lose more than this fraction of its value,
    /// summed over all prompts: the engine time is then worth more to other prompts.
    double maxLossFraction = 0.6;
    /// Added to maxLossFraction for a caller that was refused before: if it is refused again, it
    /// usually does not retry, and the time that it has waited is wasted.
    double refusedBeforeLossFraction = 0.3;
    /// Maximum number of engines that share the prefill of one prompt.
    std::size_t maxPrefillEngines = 4;
    /// Like maxPrefillEngines, for prompts that exceed the memory of one engine.
    std::size_t maxPrefillEnginesOversized = 8;
    /// Fraction of the estimated free memory of an engine that may be reserved for such a prompt.
    double reservableFraction = 0.9;
    /// Prefill shorter than this is not shared, since the pass on a further engine takes as long.
    Duration minSharedPrefill = std::chrono::milliseconds(600);
    /// Weight of the cost of a server's position in the order that all hosts share. It concentrates
    /// short prompts at one end of the order and long ones at the other. It is small compared with
    /// the loss of any prompt.
    double positionWeight = 0.05;
    /// Prompts whose prefill is shorter than this are placed as short ones.
    Duration maxShortPrefill = std::chrono::milliseconds(150);
    /// Cost of each further engine that shares the prefill, as a fraction of the prompt's value.
    double extraEngineCost = 0.004;
    /// Cost of a server in another failure domain, in the unit of prompt values; a short prompt is
    /// worth about 1.
    double otherDomainCost = 0.003;
    /// Fraction of an engine's memory that prompts may claim, since answers grow while they are
    /// decoded.
    double usableMemoryFraction = 0.95;
    /// Hosts that place at the same time choose among engines whose loss exceeds the lowest one by
    /// at most this fraction of the prompt's value for each dispatch that is expected to cross.
    double toleratedLossPerCrossing = 0.05;
    /// Bound of the tolerated loss, as a fraction of the prompt's value.
    double maxToleratedLoss = 0.2;
};

/// An engine that does a share of the prefill for another one.
struct PrefillHelper
{
    ServerId server;
    std::uint64_t memoryTokens = 0; ///< To reserve there if one engine's memory is too small.
};

/// Placement of a prompt.
struct PromptPlan
{
    ServerId server;
    std::uint64_t memoryTokens = 0; ///< Held on the server; the helpers hold the rest.
    std::vector<PrefillHelper> helpers;
    Duration timeToFirstEvent = Duration::zero(); ///< Includes slotWait.
    Duration slotWait = Duration::zero();         ///< Expected wait for a slot of the server.
    double expectedLoss = 0; ///< Loss of value of this prompt and of others on the engines.
    double latenessLoss = 0; ///< Part of expectedLoss: this prompt's first event is late.
    double interferenceLoss =
            0; ///< Part of expectedLoss: other prompts on the engines are delayed.
};

/// Result of PromptPlacement::place().
struct PromptPlacementResult
{
    std::optional<PromptPlan> plan;
    bool hasUsableServer = false;           ///< The pool has a server that accepts work.
    Duration retryAfter = Duration::zero(); ///< Suggested retry delay if there is no plan.
    std::optional<PromptPlan> bestPlan;     ///< Plan with the lowest loss, even if it was rejected.
    /// Time to the first event if the engines were idle.
    Duration shortestTimeToFirstEvent = Duration::zero();
};

/// Places prompts of very different lengths so that the expected loss of value is minimal: the
/// value of the prompt itself if its first event is late, and that of the streams that its prefill
/// would stall. Designed for load that changes within a second between many short prompts and many
/// very long ones. All hosts see nearly the same load, so that those that place at the same time
/// would choose the same engine; they choose at random among nearly equal ones, the more the more
/// dispatches cross. Performs no I/O.
class PromptPlacement
{
public:
    PromptPlacement(const PromptPlacementSettings &settings, std::string failureDomain,
                    const ServerFleet &fleet, RandomSource &random);

    /// Chooses servers of \a pool for \a demand; those in \a excluded only if no other is usable.
    PromptPlacementResult place(const ServerPool &pool, const PromptDemand &demand,
                                const std::set<ServerId> &excluded, TimePoint now);

    /// Records a prompt that this host or another one dispatched to \a server.
    void onDispatched(const ServerId &server, const EngineProfile &engine,
                      const EnginePrompt &prompt, TimePoint now);

    /// Records the first event of a prompt.
    void onFirstEvent(const PromptKey &key, TimePoint now);

    /// Removes a prompt that ended.
    void onEnded(const PromptKey &key, TimePoint now);

    /// Removes a prompt that got no event, so that its host gave it up.
    void onSilent(const PromptKey &key, TimePoint now);

    /// Records that \a server refused to reserve memory; no memory is reserved there for a while.
    void onMemoryRefused(const ServerId &server, TimePoint now);

    /// Removes the prompts of the host \a senderHash, which is gone.
    void onSenderGone(std::uint32_t senderHash);

    /// Removes the prompts on \a server, which restarted or is gone.
    void onServerReset(const ServerId &server);

    /// Returns the prefill that remains of the prompt \a key on \a server, or nullopt.
    std::optional<Duration> prefillLeft(const ServerId &server, const PromptKey &key) const;

    /// Returns the number of prompts known to be on \a server.
    std::size_t promptCountOn(const ServerId &server) const;

    /// Returns the settings in use.
    const PromptPlacementSettings &activeSettings() const { return this->settings; }

private:
    struct Candidate
    {
        const GatewayServer *server = nullptr;
        EngineLoad *load = nullptr;
        double positionCost = 0;
        double failureRate = 0;
        double overSlotsCost = 0; ///< As a fraction of the prompt's value.
        bool fitsMemory = true;
        std::uint64_t reservableTokens = 0;
    };

    std::vector<Candidate> candidates(const ServerPool &pool, const PromptDemand &demand,
                                      const std::set<ServerId> &excluded, TimePoint now);
    PromptPlan planSingle(const ServerPool &pool, const PromptDemand &demand,
                          const Candidate &candidate, double unseenPrompts, TimePoint now) const;
    /// Returns one of \a plans, which is not empty: that with the lowest loss or one nearly as
    /// good.
    const PromptPlan &choose(std::vector<PromptPlan> &plans, const PromptDemand &demand,
                             double crossings);
    std::optional<PromptPlan> planShared(const ServerPool &pool, const PromptDemand &demand,
                                         const std::vector<Candidate> &candidates,
                                         std::size_t engineCount, TimePoint now) const;
    bool distributeMemory(const PromptDemand &demand, const std::vector<Candidate> &candidates,
                          PromptPlan &plan) const;
    double maxAcceptableLoss(const PromptDemand &demand) const;
    double serverCost(const PromptDemand &demand, const Candidate &candidate) const;

    PromptPlacementSettings settings;
    std::string failureDomain;
    const ServerFleet &fleet;
    RandomSource &random;
    std::map<ServerId, EngineLoad> loads;
    SlotQueue slotQueue;
    CrossingDispatches crossingDispatches;
};

} // namespace dotterel
