#pragma once

#include "coordination/placement_settings.h"
#include "state/yaml_reader.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel::bench {

/// How the engine model works.
struct EngineSettings
{
    PrefillCost prefill;
    std::uint64_t chunkTokens = 512;
    Duration tokenInterval = std::chrono::milliseconds(20); ///< Shared by all running streams.
    std::uint64_t memoryTokens = 400'000;
    double longMemoryShare = 0.9; ///< Prompts above LongPromptTokens reserve no more than this.
    double partMemoryShare = 0.5; ///< For a part of a prompt that is longer than that.
    std::uint64_t prefixCacheTokens = 100'000;
};

/// A part of the prompts, whose lengths are spread evenly over the logarithm.
struct LengthMix
{
    double share = 1;
    std::uint64_t least = 1'000; ///< Tokens.
    std::uint64_t most = 16'000; ///< Tokens.
};

/// A workspace and what it sends.
struct WorkspaceMix
{
    std::string name;
    double share = 1;   ///< Configured weight.
    double traffic = 1; ///< Part of the requests, relative to the other workspaces.
};

/// One workload and the fleet before which it is put.
struct Workload
{
    std::string name;
    std::uint64_t servers = 15;
    std::uint64_t hosts = 9;
    std::uint64_t failureDomains = 3;
    Duration oneWayLatency = std::chrono::microseconds(500);
    Duration reportInterval = std::chrono::milliseconds(250);
    Duration newsInterval = std::chrono::milliseconds(10); ///< Between batches to a peer.
    std::uint64_t newsPeers = 0; ///< Peers that hear a host's news; 0 means all.
    Duration measured = std::chrono::seconds(240);
    Duration warmUp = std::chrono::seconds(20);
    std::vector<LengthMix> lengths;
    std::vector<WorkspaceMix> workspaces;
    double prefixShare = 0.2;   ///< Of the requests that begin with a shared prefix.
    std::uint64_t prefixes = 8; ///< Shared prefixes of a workspace.
    double burstFactor = 1.5;   ///< Arrival rate in a burst, relative to the mean rate.
    Duration burstLength = std::chrono::seconds(2);
    Duration burstEvery = std::chrono::seconds(20);
    std::uint64_t leastAnswerTokens = 32;
    std::uint64_t mostAnswerTokens = 256;
    Duration questionDeadline = std::chrono::seconds(10); ///< Prompts up to ShortPromptTokens.
    Duration reviewDeadline = std::chrono::seconds(60);   ///< Prompts up to 100,000 tokens.
    Duration archiveDeadline = std::chrono::seconds(180); ///< Longer prompts.
    EngineSettings engine;
    PolicyWeights weights;
};

/// Reads a workload file; all faults are reported at once.
tl::expected<Workload, std::vector<YamlError>> workloadFromYaml(const std::string &text,
                                                                const std::string &file);

} // namespace dotterel::bench
