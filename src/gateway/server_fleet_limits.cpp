// The part of ServerFleet that looks at the limits of whole pools.

#include "gateway/server_fleet.h"

#include <algorithm>

namespace dotterel {

std::optional<TimePoint> ServerFleet::limitOpening(const std::string &pool, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto &[id, record] : this->records) {
        if (record.server.pool != pool || !this->isSchedulable(record, now)
            || record.suspectedUntil > now)
            continue;
        if (this->serverLimits.mayReceive(id, now))
            return std::nullopt;
        const TimePoint opening = this->serverLimits.opensAt(id, now);
        first = std::min(first.value_or(opening), opening);
    }
    return first;
}

double ServerFleet::limitedRate(const std::string &pool, TimePoint now) const
{
    double rate = 0;
    for (const auto &[id, record] : this->records) {
        if (record.server.pool == pool && this->isSchedulable(record, now))
            rate += this->serverLimits.rate(id, now).value_or(0);
    }
    return rate;
}

} // namespace dotterel
