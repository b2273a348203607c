#pragma once

#include "core/random_source.h"
#include "gateway/engine_load.h"
#include "gateway/server_fleet.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

/// Weights and limits of a PromptPlacement.
struct PromptPlacementSettings
{
    PromptValues values;
    /// A prompt is refused if serving it loses more than this share of its value, counted over all
    /// prompts: the time of an engine is then worth more to others.
    double mostLoss = 0.6;
    /// Added for a caller that returns: turned away once more it is most often lost, and so is the
    /// time that it waited.
    double returningLoss = 0.3;
    /// Engines that read one prompt together, at the most.
    std::size_t mostParts = 4;
    /// The same for prompts that are larger than the memory of one engine.
    std::size_t mostPartsOfGiant = 8;
    /// Of the memory that seems free on an engine, what may be reserved for a giant.
    double reservableShare = 0.9;
    /// Reading shorter than this is not divided: another engine's pass costs as much.
    Duration leastDividedReading = std::chrono::milliseconds(600);
    /// Weight of the place in the shared order, by which short prompts gather at one end of it and
    /// long ones at the other. Small against any loss.
    double orderWeight = 0.05;
    /// Prompts whose reading is shorter than this gather with the short ones.
    Duration shortReading = std::chrono::milliseconds(150);
    /// Cost of each further engine of a divided prompt, as a share of its value.
    double partCost = 0.004;
    /// Cost of a server in another failure domain, as a share of the value of a short prompt.
    double otherDomainCost = 0.003;
    /// Share of an engine's memory that prompts may claim; answers grow while they are written.
    double memoryShare = 0.95;
    /// Places of an engine left free for prompts of other hosts that were not heard of yet.
    std::size_t sparePlaces = 2;
};

/// An engine that reads a part of a prompt for another one.
struct PromptHelper
{
    ServerId server;
    std::uint64_t memoryTokens = 0; ///< To be reserved there, for a prompt larger than one memory.
};

/// Where a prompt goes.
struct PromptPlan
{
    ServerId server;
    std::uint64_t memoryTokens = 0; ///< That it holds there; the helpers hold the rest.
    std::vector<PromptHelper> helpers;
    Duration untilFirst = Duration::zero();
    double loss = 0; ///< Expected, of this prompt and of those on the engines.
};

/// Answer of PromptPlacement::place().
struct PromptDecision
{
    std::optional<PromptPlan> plan;
    bool anyServer = false;                 ///< The pool has a server that may get work.
    Duration retryAfter = Duration::zero(); ///< When there may be room, if there is no plan.
    double bestLoss = 0;                    ///< Of the best plan, taken or not.
};

/// Places prompts of very unlike lengths so that the least value is lost: the prompt's own, if its
/// first event is late, and that of the streams which its reading would interrupt. The load it
/// answers: phases of many short prompts and of many huge ones that turn into each other within a
/// second. Pure.
class PromptPlacement
{
public:
    PromptPlacement(const PromptPlacementSettings &settings, std::string failureDomain,
                    const ServerFleet &fleet);

    /// Chooses servers of \a pool for \a demand; those in \a excluded only if there is no other.
    PromptDecision place(const ServerPool &pool, const PromptDemand &demand,
                         const std::set<ServerId> &excluded, TimePoint now);

    /// A prompt was sent to \a server, by this host or another one.
    void onDispatched(const ServerId &server, const EngineProfile &engine,
                      const EnginePrompt &prompt, TimePoint now);

    /// The first event of a prompt came.
    void onFirstEvent(const PromptKey &key, TimePoint now);

    /// A prompt ended.
    void onEnded(const PromptKey &key, TimePoint now);

    /// The host \a sender is gone.
    void onSenderGone(std::uint32_t sender);

    /// \a server started again, or is gone.
    void onServerReset(const ServerId &server);

    /// Prompts that are known to be on \a server.
    std::size_t promptsOn(const ServerId &server) const;

    /// The weights in force.
    const PromptPlacementSettings &weights() const { return this->settings; }

private:
    struct Candidate
    {
        const GatewayServer *server = nullptr;
        EngineLoad *load = nullptr;
        double tieCost = 0;
        double failureRate = 0;
        bool fits = true;
        std::uint64_t freeTokens = 0;
    };

    std::vector<Candidate> candidates(const ServerPool &pool, const PromptDemand &demand,
                                      const std::set<ServerId> &excluded, TimePoint now);
    PromptPlan alone(const ServerPool &pool, const PromptDemand &demand, const Candidate &candidate,
                     TimePoint now) const;
    std::optional<PromptPlan> divided(const ServerPool &pool, const PromptDemand &demand,
                                      const std::vector<Candidate> &candidates, std::size_t parts,
                                      TimePoint now) const;
    bool spreadMemory(const PromptDemand &demand, const std::vector<Candidate> &candidates,
                      PromptPlan &plan) const;
    double acceptableLoss(const PromptDemand &demand) const;
    double placeCost(const ServerPool &pool, const PromptDemand &demand,
                     const Candidate &candidate) const;

    PromptPlacementSettings settings;
    std::string failureDomain;
    const ServerFleet &fleet;
    std::map<ServerId, EngineLoad> loads;
};

} // namespace dotterel
