#pragma once

#include "core/time.h"
#include "state/configuration.h"

#include <cstdint>

namespace dotterel {

/// Prefill time as a function of prompt length, on an engine without other work.
struct PrefillCost
{
    double tokensPerSecond = 40'000;
    double costDoublingContextTokens = 400'000; ///< Context at which the cost per token doubles.

    /// Returns the prefill seconds of \a tokens that follow \a context processed tokens.
    double seconds(double tokens, double context = 0) const
    {
        const double growth = (context + tokens / 2) / this->costDoublingContextTokens;
        return tokens / this->tokensPerSecond * (1 + growth);
    }
};

/// Settings of WorkAheadPlacement and Admission.
struct PlacementSettings
{
    PrefillCost prefill;
    std::uint64_t chunkTokens = 512; ///< Unit of prefill that an engine does not preempt.
    Duration tokenInterval = std::chrono::milliseconds(20);
    std::uint64_t memoryTokens = 400'000; ///< KV cache capacity of one engine.
    double longMemoryShare = 0.9;         ///< Of memoryTokens, for prompts above LongPromptTokens.
    std::uint64_t prefixBlockTokens = 1'024;
    std::size_t maxPrefixBlocks = 65'536;                         ///< Capacity of the PrefixIndex.
    Duration crossDomainLatency = std::chrono::microseconds(500); ///< One way.
    double partMemoryShare = 0.5;           ///< Of memoryTokens, for one part of a split prompt.
    std::size_t maxCandidates = 0;          ///< Servers sampled for each request; 0 compares all.
    bool shareDispatches = true;            ///< Sends dispatch events to peers and counts theirs.
    bool countLowerPriorityWork = false;    ///< Also counts lower-priority work as queued ahead.
    bool refuseUnreachableDeadlines = true; ///< Refuses requests that cannot meet their deadline.
    bool prefixAffinity = true;
    bool enforceWorkspaceShares = true;
    /// Fraction of the fleet's capacity that is divided by share.
    double sharedCapacityFraction = 0.85;
    PolicyWeights weights;
};

/// Returns the number of engines with \a memoryTokens that a prompt of \a tokens needs. A prompt
/// that fits in \a longShare of the memory needs one. A longer one is split into parts of at most
/// \a partShare of the memory, so that parts of two prompts fit on one engine.
std::size_t requiredEngineCount(std::uint64_t tokens, std::uint64_t memoryTokens, double longShare,
                                double partShare);

/// Maximum length of a short prompt.
constexpr std::uint64_t ShortPromptTokens = 16'000;

/// Prompts above this length count as long.
constexpr std::uint64_t LongPromptTokens = 100'000;

} // namespace dotterel
