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

TEST_CASE("Requests to each server that warms up, by fleet and servers that return at once",
          "[Gateway][ServerWarmUp]")
{
    /// The users' rule: one and a half times the rate, and 5 requests, in one second.
    const auto allowedIn1Second = [](double rate) {
        return static_cast<std::size_t>(1.5 * rate + 5);
    };
    constexpr Duration WarmUpTime = seconds(3);
    constexpr std::size_t ServerCount = 54;
    std::printf("%6s %8s %8s %14s %10s %8s %8s\n", "hosts", "warming", "rate/s", "most in 1 s",
                "allowed", "served", "refused");
    for (const std::size_t hosts : {6, 18, 82, 195}) {
        for (const std::size_t returning : {1, 18}) {
            for (const double rate : {3.0, 14.0}) {
                CAPTURE(hosts, returning, rate);
                LimitedFleet fleet(hosts, ServerCount, LimitedLoad::Prompts);
                fleet.setWarmUp(WarmUpTime, rate);
                fleet.play(seconds(1), 150);
                // Prompts prefer some engines to others while there is room.
                const std::size_t first = fleet.busiest(fleet.now - seconds(1));
                for (std::size_t index = 0; index < returning; ++index)
                    fleet.restartServer((first + index) % ServerCount);
                fleet.served = 0;
                fleet.refused = 0;
                fleet.play(WarmUpTime, 150);
                std::size_t most = 0;
                for (std::size_t server = 0; server < ServerCount; ++server)
                    most = std::max(most, fleet.mostIn1SecondOfWarmUps(server));
                CHECK(most <= allowedIn1Second(rate));
                CHECK(fleet.refused == 0);
                std::printf("%6zu %8zu %8.1f %14zu %10zu %8zu %8zu\n", hosts, returning, rate, most,
                            allowedIn1Second(rate), fleet.served, fleet.refused);
            }
        }
    }
}
