#pragma once

#include "core/random_source.h"
#include "gateway/crossing_dispatches.h"
#include "gateway/engine_time_price.h"
#include "gateway/prompt_plan.h"
#include "gateway/slot_queue.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

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

    /// Chooses servers of \a pool for \a requested; those in \a excluded only if no other is
    /// usable.
    PromptPlacementResult place(const ServerPool &pool, const PromptDemand &requested,
                                const std::set<ServerId> &excluded, TimePoint now);

    /// Returns true if carrying \a plan out now would cost the prompts on its engines much more
    /// than when it was made: another host sent a prompt there meanwhile, which \a plan would
    /// overtake.
    bool hasBecomeCostly(const ServerPool &pool, const PromptDemand &demand, const PromptPlan &plan,
                         TimePoint now);

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
    std::vector<PlacementCandidate> candidates(const ServerPool &pool, const PromptDemand &demand,
                                               const std::set<ServerId> &excluded, TimePoint now);
    PromptPlan planSingle(const ServerPool &pool, const PromptDemand &demand,
                          const PlacementCandidate &candidate, double unseenPrompts,
                          TimePoint now) const;
    /// Returns one of \a plans, which is not empty: that with the lowest loss or one nearly as
    /// good.
    const PromptPlan &choose(std::vector<PromptPlan> &plans, const PromptDemand &demand,
                             double crossings);
    /// Returns the number of engines that may share the prefill of \a demand, whose best plan on
    /// one engine is \a single.
    std::size_t maxPrefillEngines(const EngineProfile &engine, const PromptDemand &demand,
                                  const PromptPlan &single) const;
    /// Replaces \a best by the plan with the lowest loss on up to \a maxEngines that share the
    /// prefill, if that is lower.
    void considerShared(const EngineProfile &engine, const PromptDemand &demand,
                        const std::vector<PlacementCandidate> &candidateList,
                        std::size_t maxEngines, PromptPlan &best, TimePoint now) const;
    /// Returns true if a prompt that takes \a tokens of an engine's memory reserves them.
    bool isLarge(const EngineProfile &engine, std::uint64_t tokens) const;
    double maxAcceptableLoss(const PromptDemand &demand) const;
    /// Returns what the engine time of \a plan earns with prompts that arrive meanwhile.
    double priceOf(const EngineProfile &engine, const PromptDemand &demand, const PromptPlan &plan,
                   const std::vector<PlacementCandidate> &candidateList, TimePoint now) const;

    PromptPlacementSettings settings;
    std::string failureDomain;
    const ServerFleet &fleet;
    RandomSource &random;
    std::map<ServerId, EngineLoad> loads;
    SlotQueue slotQueue;
    CrossingDispatches crossingDispatches;
    EngineTimePrice engineTimePrice;
};

} // namespace dotterel
