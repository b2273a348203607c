#include "gateway/return_schedule.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr Duration MaxDelay = std::chrono::seconds(30);

} // namespace

Duration ReturnSchedule::book(const std::string &pool, double ratePerSecond, Duration patience,
                              TimePoint now)
{
    const Duration step =
            ratePerSecond > 0 ? std::min(MaxDelay, fromSeconds(1.0 / ratePerSecond)) : MaxDelay;
    TimePoint &last = this->lastPlaces[pool];
    const TimePoint place = std::max(last, now) + step;
    const Duration delay = std::min(MaxDelay, place - now);
    if (delay <= patience)
        last = place;
    return delay;
}

} // namespace dotterel
