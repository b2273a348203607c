#pragma once

#include "core/time.h"

namespace dotterel {

/// Estimates how many dispatches of other hosts are under way unseen: every dispatch is reported to
/// all hosts, which takes a few milliseconds, and hosts that place a prompt meanwhile do not know
/// of it. Derived from the rate of the reports that arrive. Performs no I/O.
class CrossingDispatches
{
public:
    /// Records that another host reported a dispatch.
    void onReported(TimePoint now);

    /// Returns the expected number of dispatches that were not reported yet.
    double expected(TimePoint now) const;

private:
    double decayFactor(TimePoint now) const;

    double weight = 0; ///< Reports, each of which decays exponentially.
    TimePoint updatedAt;
};

} // namespace dotterel
