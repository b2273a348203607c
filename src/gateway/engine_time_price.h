#pragma once

#include "core/time.h"
#include "gateway/gateway_configuration.h"
#include "gateway/prompt_demand.h"

#include <cstddef>
#include <map>

namespace dotterel {

/// Prompts that earn more for the time of an engine than another one does.
struct DenserPrompts
{
    double busyEngines = 0;                       ///< Engines that they keep busy, on average.
    double valuePerSecond = 0;                    ///< What an engine second is worth to them.
    Duration firstEventTarget = Duration::zero(); ///< Of the most urgent.
    Duration prefill = Duration::zero();          ///< Of the most urgent.
};

/// Price of engine time in the unit of prompt values: what the prefill and the slot of a prompt
/// take from prompts that arrive meanwhile and earn more for the time. Answers demand beyond the
/// engines' room, where long prefills that harm no prompt that is there leave no engine to the
/// short ones that come next, and late prompts hold the slots of those that could be in time. The
/// prompts to come are expected to be like those that all hosts dispatched lately. Performs no I/O.
class EngineTimePrice
{
public:
    /// Records a prompt that a host dispatched.
    void onDispatched(const EngineProfile &engine, const PromptDemand &demand, TimePoint now);

    /// Returns the engines that all recent prompts keep busy, on average.
    double busyEngines(TimePoint now) const;

    /// Returns the recent prompts that earn more than \a valuePerSecond.
    DenserPrompts denserPrompts(double valuePerSecond, TimePoint now) const;

    /// Returns what \a engineSeconds cost if \a openEngines of \a engineCount could serve one of
    /// \a denser in time.
    static double price(const DenserPrompts &denser, double openEngines, double engineCount,
                        double engineSeconds);

private:
    /// Recent prompts of similar value for the time; all sums decay.
    struct Bucket
    {
        double prompts = 0;
        double engineSeconds = 0;
        double value = 0;
        double targetSeconds = 0;
        double prefillSeconds = 0;
    };

    double decayFactor(TimePoint now) const;

    std::map<int, Bucket> buckets; ///< By the logarithm of the value for an engine second.
    TimePoint updatedAt;
};

/// Returns the part of an engine's time that \a demand takes: its prefill and its share of a batch.
double engineSecondsOf(const EngineProfile &engine, const PromptDemand &demand);

} // namespace dotterel
