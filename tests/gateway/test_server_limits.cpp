#include "support/limited_fleet.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::seconds;

namespace {

/// The users' rule: one and a half times the limit in 4 s, and 5 requests.
std::size_t allowedIn4Seconds(double limit)
{
    return static_cast<std::size_t>(1.5 * limit * 4 + 5);
}

/// The rule holds from this time after the server first named its limit.
constexpr Duration ContactTime = seconds(3);

} // namespace

TEST_CASE("A server that names a limit got more requests than that", "[Gateway][ServerLimits]")
{
    const std::size_t hosts = GENERATE(1, 6, 18);
    const double limit = GENERATE(0.5, 1.8, 12.0);
    CAPTURE(hosts, limit);
    LimitedFleet fleet(hosts, 6);
    fleet.play(seconds(2), 40 + 6 * limit);
    fleet.setLimit(0, limit);
    const TimePoint named = fleet.now;
    fleet.play(seconds(12), 40 + 6 * limit);
    CHECK(fleet.mostIn4Seconds(0, named + ContactTime) <= allowedIn4Seconds(limit));
    CHECK(fleet.refused == 0);
}
