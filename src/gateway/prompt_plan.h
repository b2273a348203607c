#pragma once

#include "gateway/engine_load.h"
#include "gateway/server_fleet.h"

#include <cstdint>
#include <vector>

namespace dotterel {

/// Weights and limits of a PromptPlacement.
struct PromptPlacementSettings
{
    PromptValueModel valueModel;
    /// A prompt is refused if serving it is expected to lose more than this fraction of its value,
    /// summed over all prompts: the engine time is then worth more to other prompts.
    double maxLossFraction = 0.6;
    /// The same for a caller that was refused before, of the value that it still has. Most of that
    /// is gone once it is late, while the place that it would take can serve a new one in time.
    double maxLossFractionAfterRefusal = 0.3;
    /// Maximum number of engines that share the prefill of one prompt.
    std::size_t maxPrefillEngines = 4;
    /// Like maxPrefillEngines, for prompts that exceed the memory of one engine.
    std::size_t maxPrefillEnginesOversized = 8;
    /// Fraction of the estimated free memory of an engine that may be reserved for such a prompt.
    double reservableFraction = 0.9;
    /// A prompt that needs more than this fraction of an engine's memory reserves it before it is
    /// sent.
    double reservedMemoryFraction = 0.25;
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
    /// The same for each engine that a long prompt uses in another failure domain, as a fraction of
    /// the prompt's value: a prompt that engines of several domains share is lost with any of them.
    double otherDomainLongPromptCost = 0.02;
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
    bool reservesMemory = false;    ///< memoryTokens are reserved on the server before dispatch.
    std::vector<PrefillHelper> helpers;
    Duration timeToFirstEvent = Duration::zero(); ///< Includes slotWait.
    Duration slotWait = Duration::zero();         ///< Expected wait for a slot of the server.
    double expectedLoss = 0; ///< Loss of value of this prompt and of others on the engines.
    double latenessLoss = 0; ///< Part of expectedLoss: this prompt's first event is late.
    double interferenceLoss =
            0; ///< Part of expectedLoss: other prompts on the engines are delayed.
};

/// An engine that a PromptPlacement may choose.
struct PlacementCandidate
{
    const GatewayServer *server = nullptr;
    EngineLoad *load = nullptr;
    double positionCost = 0;
    double failureRate = 0;
    double overSlotsCost = 0; ///< As a fraction of the prompt's value.
    bool fitsMemory = true;
    std::uint64_t reservableTokens = 0;

    /// Returns the cost of the engine for \a demand apart from its load, in the unit of prompt
    /// values.
    double cost(const PromptDemand &demand) const
    {
        return this->positionCost + (this->failureRate + this->overSlotsCost) * demand.value;
    }
};

/// Loss of an infeasible placement, larger than any real loss.
inline constexpr double InfeasibleLoss = 1e6;

} // namespace dotterel
