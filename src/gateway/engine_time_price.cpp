#include "gateway/engine_time_price.h"

#include "gateway/engine_load.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

/// Period over which dispatches are averaged. Phases of load change within a few seconds.
constexpr Duration RatePeriod = std::chrono::seconds(2);
constexpr double BucketsPerOctave = 4.0;
/// Engines kept open, in standard deviations of the number that random arrivals keep busy.
constexpr double OpenDeviations = 2.0;
constexpr double MaxOpenFraction = 0.2; ///< Of all engines.
/// Part of all engine time that prompts need for their target to count as the most urgent one.
constexpr double MinUrgentShare = 0.03;
/// Prompts count as denser if they earn this many times as much for the time.
constexpr double MinDensityRatio = 1.02;
constexpr double MinEngineSeconds = 1e-3;

} // namespace

double engineSecondsOf(const EngineProfile &engine, const PromptDemand &demand)
{
    constexpr double MsPerSecond = 1'000.0;
    const double slotSeconds =
            static_cast<double>(demand.outputTokens) * engine.baseStepMs / MsPerSecond;
    return std::max(
            MinEngineSeconds,
            toSeconds(prefillTime(engine, demand.promptTokens, 1))
                    + slotSeconds / static_cast<double>(std::max<std::size_t>(1, engine.slots)));
}

void EngineTimePrice::onDispatched(const EngineProfile &engine, const PromptDemand &demand,
                                   TimePoint now)
{
    const double factor = this->decayFactor(now);
    for (auto &[density, bucket] : this->buckets) {
        bucket.prompts *= factor;
        bucket.engineSeconds *= factor;
        bucket.value *= factor;
        bucket.targetSeconds *= factor;
        bucket.prefillSeconds *= factor;
    }
    this->updatedAt = std::max(this->updatedAt, now);
    // A prompt that is late already yields to others, so that it keeps no engine open.
    if (demand.elapsed >= demand.firstEventTarget || demand.value <= 0)
        return;
    const double seconds = engineSecondsOf(engine, demand);
    const double octave = std::log2(demand.value / seconds);
    Bucket &bucket = this->buckets[static_cast<int>(std::floor(octave * BucketsPerOctave))];
    bucket.prompts += 1;
    bucket.engineSeconds += seconds;
    bucket.value += demand.value;
    bucket.targetSeconds += toSeconds(demand.firstEventTarget);
    bucket.prefillSeconds += toSeconds(prefillTime(engine, demand.promptTokens, 1));
}

double EngineTimePrice::busyEngines(TimePoint now) const
{
    double seconds = 0;
    for (const auto &[density, bucket] : this->buckets)
        seconds += bucket.engineSeconds;
    return seconds * this->decayFactor(now) / toSeconds(RatePeriod);
}

DenserPrompts EngineTimePrice::denserPrompts(double valuePerSecond, TimePoint now) const
{
    Bucket sum;
    const Bucket *mostUrgent = nullptr;
    const double minSeconds =
            MinUrgentShare * this->busyEngines(this->updatedAt) * toSeconds(RatePeriod);
    for (const auto &[density, bucket] : this->buckets) {
        if (bucket.value <= valuePerSecond * bucket.engineSeconds * MinDensityRatio)
            continue;
        sum.engineSeconds += bucket.engineSeconds;
        sum.value += bucket.value;
        if (bucket.engineSeconds >= minSeconds
            && (mostUrgent == nullptr
                || bucket.targetSeconds * mostUrgent->prompts
                           < mostUrgent->targetSeconds * bucket.prompts))
            mostUrgent = &bucket;
    }
    DenserPrompts result;
    if (mostUrgent == nullptr)
        return result;
    result.busyEngines = sum.engineSeconds * this->decayFactor(now) / toSeconds(RatePeriod);
    result.valuePerSecond = sum.value / sum.engineSeconds;
    result.firstEventTarget = fromSeconds(mostUrgent->targetSeconds / mostUrgent->prompts);
    result.prefill = fromSeconds(mostUrgent->prefillSeconds / mostUrgent->prompts);
    return result;
}

double EngineTimePrice::price(const DenserPrompts &denser, double openEngines, double engineCount,
                              double engineSeconds)
{
    // The number of engines that random arrivals keep busy varies by the root of its mean. A small
    // pool cannot keep as many open.
    const double neededOpen =
            std::min(OpenDeviations * std::sqrt(denser.busyEngines), MaxOpenFraction * engineCount);
    if (neededOpen <= openEngines)
        return 0;
    // Few prompts that earn more do not fill the time.
    const double filled = std::min(1.0, denser.busyEngines);
    const double shortage = 1.0 - openEngines / neededOpen;
    return shortage * filled * denser.valuePerSecond * engineSeconds;
}

double EngineTimePrice::decayFactor(TimePoint now) const
{
    const Duration age = std::max(Duration::zero(), now - this->updatedAt);
    return std::exp(-toSeconds(age) / toSeconds(RatePeriod));
}

} // namespace dotterel
