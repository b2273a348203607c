#include "support/limited_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::seconds;

namespace {

/// The users' rule: one and a half times the limit in 4 s, and 5 requests, from 3 s after the
/// server first named it.
constexpr Duration ContactTime = seconds(3);

std::size_t allowedIn4Seconds(double limit)
{
    return static_cast<std::size_t>(1.5 * limit * 4 + 5);
}

} // namespace

TEST_CASE("Requests to each server and share served, by fleet, limit and limited servers",
          "[Gateway][ServerLimits]")
{
    std::printf("%6s %8s %8s %14s %10s %8s\n", "hosts", "limited", "limit/s", "most in 4 s",
                "allowed", "served");
    for (const std::size_t hosts : {6, 18, 195}) {
        for (const std::size_t limited : {1, 12}) {
            for (const double limit : {0.2, 1.8, 50.0}) {
                constexpr std::size_t ServerCount = 12;
                LimitedFleet fleet(hosts, ServerCount);
                const double load = limited == 1 ? 100 : 2 * limit * ServerCount;
                for (std::size_t server = 0; server < limited; ++server)
                    fleet.setLimit(server, limit);
                fleet.play(ContactTime, load);
                const TimePoint begin = fleet.now;
                fleet.served = 0;
                constexpr Duration Measured = seconds(12);
                fleet.play(Measured, load);
                std::size_t most = 0;
                for (std::size_t server = 0; server < limited; ++server)
                    most = std::max(most, fleet.mostIn4Seconds(server, begin));
                const double servable = limited == 1 ? load : std::min(load, limit * ServerCount);
                CHECK(most <= allowedIn4Seconds(limit));
                std::printf("%6zu %8zu %8.1f %14zu %10zu %8.3f\n", hosts, limited, limit, most,
                            allowedIn4Seconds(limit),
                            static_cast<double>(fleet.served) / (servable * toSeconds(Measured)));
            }
        }
    }
}
