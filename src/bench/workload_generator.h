#pragma once

#include "bench/bench_settings.h"
#include "core/random_source.h"

namespace dotterel::bench {

/// One request that a caller makes.
struct Arrival
{
    Duration at = Duration::zero();
    std::size_t host = 0;
    std::size_t workspace = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t answerTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
};

/// Draws the requests of a workload.
class WorkloadGenerator
{
public:
    /// Offers \a load times what the servers can prefill; the traffic of workspace 0 is then
    /// multiplied by \a greed, on top.
    WorkloadGenerator(const Workload &workload, double load, double greed, RandomSource &random);

    /// Returns the next request; each is later than the one before.
    Arrival next();

    /// Returns how many requests a second are offered.
    double rate() const { return this->requestsPerSecond; }

private:
    std::uint64_t drawLength();
    std::uint64_t drawBetween(std::uint64_t least, std::uint64_t most);
    std::size_t drawWorkspace();
    Duration drawGap();
    double meanSeconds() const;

    const Workload &workload;
    RandomSource &random;
    std::vector<double> traffic; ///< Of each workspace; sums to 1.
    double requestsPerSecond = 0;
    Duration at = Duration::zero();
};

} // namespace dotterel::bench
