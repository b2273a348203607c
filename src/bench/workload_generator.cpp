#include "bench/workload_generator.h"

#include <algorithm>
#include <cmath>

namespace dotterel::bench {

namespace {

constexpr int LengthSteps = 1'000;
constexpr std::uint64_t BlockTokens = 1'024;
constexpr std::uint64_t MostPrefixBlocks = 64;
constexpr std::uint64_t PrefixMultiplier = 0x9E3779B97F4A7C15ULL;

} // namespace

WorkloadGenerator::WorkloadGenerator(const Workload &workload, double load, double greed,
                                     RandomSource &random)
    : workload(workload)
    , random(random)
{
    double sum = 0;
    for (const WorkspaceMix &mix : workload.workspaces)
        sum += mix.traffic;
    for (const WorkspaceMix &mix : workload.workspaces)
        this->traffic.push_back(mix.traffic / sum);
    const double extra = this->traffic.front() * (greed - 1);
    this->requestsPerSecond =
            load * (1 + extra) * static_cast<double>(workload.servers) / this->meanSeconds();
    this->traffic.front() *= greed;
    for (double &part : this->traffic)
        part /= 1 + extra;
}

Arrival WorkloadGenerator::next()
{
    this->at += this->drawGap();
    Arrival arrival;
    arrival.at = this->at;
    arrival.host = this->random.nextBelow(this->workload.hosts);
    arrival.workspace = this->drawWorkspace();
    arrival.promptTokens = this->drawLength();
    arrival.answerTokens =
            this->drawBetween(this->workload.leastAnswerTokens, this->workload.mostAnswerTokens);
    const bool shared = this->random.nextDouble() < this->workload.prefixShare;
    const std::uint64_t prefix = this->random.nextBelow(this->workload.prefixes);
    if (shared) {
        // A shared prefix makes up half of the prompt.
        const std::uint64_t blocks =
                std::min(arrival.promptTokens / BlockTokens / 2, MostPrefixBlocks);
        const std::uint64_t name =
                (arrival.workspace * this->workload.prefixes + prefix + 1) * PrefixMultiplier;
        for (std::uint64_t block = 0; block < blocks; ++block)
            arrival.prefixHashes.push_back(name + block);
    }
    return arrival;
}

std::uint64_t WorkloadGenerator::drawLength()
{
    double left = this->random.nextDouble();
    for (const LengthMix &mix : this->workload.lengths) {
        if (left < mix.share)
            return this->drawBetween(mix.least, mix.most);
        left -= mix.share;
    }
    return this->drawBetween(this->workload.lengths.back().least,
                             this->workload.lengths.back().most);
}

std::uint64_t WorkloadGenerator::drawBetween(std::uint64_t least, std::uint64_t most)
{
    const double ratio = static_cast<double>(most) / static_cast<double>(least);
    return static_cast<std::uint64_t>(static_cast<double>(least)
                                      * std::pow(ratio, this->random.nextDouble()));
}

std::size_t WorkloadGenerator::drawWorkspace()
{
    double left = this->random.nextDouble();
    for (std::size_t i = 0; i < this->traffic.size(); ++i) {
        if (left < this->traffic[i])
            return i;
        left -= this->traffic[i];
    }
    return this->traffic.size() - 1;
}

Duration WorkloadGenerator::drawGap()
{
    const double every = toSeconds(this->workload.burstEvery);
    const double length = std::min(toSeconds(this->workload.burstLength), every);
    const double inBurst = this->workload.burstFactor;
    // Outside bursts the rate is lower, so that the mean is as asked.
    const double outside = every > length ? (every - inBurst * length) / (every - length) : 1;
    const bool burst = std::fmod(toSeconds(this->at), every) < length;
    const double rate = this->requestsPerSecond * std::max(0.05, burst ? inBurst : outside);
    return std::max(Duration(1), fromSeconds(-std::log1p(-this->random.nextDouble()) / rate));
}

double WorkloadGenerator::meanSeconds() const
{
    double seconds = 0;
    for (const LengthMix &mix : this->workload.lengths) {
        const double ratio = static_cast<double>(mix.most) / static_cast<double>(mix.least);
        double sum = 0;
        for (int step = 0; step < LengthSteps; ++step) {
            const double place = (step + 0.5) / LengthSteps;
            sum += this->workload.engine.prefill.seconds(static_cast<double>(mix.least)
                                                         * std::pow(ratio, place));
        }
        seconds += mix.share * sum / LengthSteps;
    }
    return seconds;
}

} // namespace dotterel::bench
