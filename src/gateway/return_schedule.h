#pragma once

#include "core/time.h"

#include <map>
#include <string>

namespace dotterel {

/// Spreads the callers of a pool that were refused for lack of capacity over the time that the pool
/// needs for them.
class ReturnSchedule
{
public:
    /// Returns when a caller refused at \a now should come back to \a pool, which can take
    /// \a ratePerSecond more requests of this host. The place is only kept for a caller that can
    /// wait \a patience.
    Duration book(const std::string &pool, double ratePerSecond, Duration patience, TimePoint now);

private:
    std::map<std::string, TimePoint> lastPlaces; ///< Latest place given away, by pool.
};

} // namespace dotterel
