#pragma once

#include "core/time.h"
#include "state/configuration.h"

#include <cstdint>

namespace dotterel {

/// How prefill time follows from prompt length on an engine that runs nothing else.
struct PrefillCost
{
    double tokensPerSecond = 40'000;
    double doublingContext = 400'000; ///< Tokens of context at which a token costs twice as much.

    /// Returns the seconds that \a tokens take after \a context tokens are already there.
    double seconds(double tokens, double context = 0) const
    {
        const double growth = (context + tokens / 2) / this->doublingContext;
        return tokens / this->tokensPerSecond * (1 + growth);
    }
};

/// Settings of WorkAheadPlacement and Admission.
struct PlacementSettings
{
    PrefillCost prefill;
    std::uint64_t chunkTokens = 512; ///< Prefill that an engine does not preempt.
    Duration tokenInterval = std::chrono::milliseconds(20);
    std::uint64_t memoryTokens = 400'000; ///< KV cache of one engine.
    double longMemoryShare = 0.9;         ///< Of the memory, for prompts above LongPromptTokens.
    std::uint64_t prefixBlockTokens = 1'024;
    std::size_t prefixBlocks = 65'536; ///< Kept in the index of prefixes.
    Duration crossDomainLatency = std::chrono::microseconds(500); ///< One way.
    double partMemoryShare = 0.5; ///< Of the memory, for a part of a prompt over several engines.
    std::size_t candidates = 0;   ///< Servers compared for each request; 0 compares all.
    bool shareNews = true;        ///< Whether peers' dispatches are told and counted.
    bool countAllWork = false;    ///< Counts work of lower priority as ahead, too.
    bool admission = true;        ///< Whether unreachable deadlines are refused.
    bool prefixAffinity = true;
    bool workspaceShares = true;
    double shareCapacity = 0.85; ///< Part of the fleet that is divided by share.
    PolicyWeights weights;
};

/// Returns how many engines of \a memoryTokens a prompt of \a tokens needs: one up to \a longShare
/// of the memory, else parts of up to \a partShare each, so that parts of two prompts fit.
std::size_t groupSize(std::uint64_t tokens, std::uint64_t memoryTokens, double longShare,
                      double partShare);

/// Prompts up to this length are short.
constexpr std::uint64_t ShortPromptTokens = 16'000;

/// Prompts above this length are long.
constexpr std::uint64_t LongPromptTokens = 100'000;

} // namespace dotterel
