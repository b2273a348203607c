#include "gateway/crossing_dispatches.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

/// Period over which the rate of reports is averaged.
constexpr Duration RatePeriod = std::chrono::milliseconds(300);
/// Time from a dispatch until other hosts know of it: a report waits for its batch and crosses a
/// link between failure domains.
constexpr Duration ReportDelay = std::chrono::milliseconds(9);

} // namespace

void CrossingDispatches::onReported(TimePoint now)
{
    this->weight = this->weight * this->decayFactor(now) + 1.0;
    this->updatedAt = std::max(this->updatedAt, now);
}

double CrossingDispatches::expected(TimePoint now) const
{
    const double reportsPerSecond = this->weight * this->decayFactor(now) / toSeconds(RatePeriod);
    return reportsPerSecond * toSeconds(ReportDelay);
}

double CrossingDispatches::decayFactor(TimePoint now) const
{
    const Duration age = std::max(Duration::zero(), now - this->updatedAt);
    return std::exp(-toSeconds(age) / toSeconds(RatePeriod));
}

} // namespace dotterel
