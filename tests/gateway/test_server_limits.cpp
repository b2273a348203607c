#include "support/limited_fleet.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;
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

TEST_CASE("All servers of a pool name a limit", "[Gateway][ServerLimits]")
{
    const std::size_t hosts = GENERATE(6, 18, 60);
    const double limit = GENERATE(0.2, 1.8, 20.0);
    CAPTURE(hosts, limit);
    constexpr std::size_t ServerCount = 6;
    LimitedFleet fleet(hosts, ServerCount);
    fleet.play(seconds(2), 60);
    for (std::size_t server = 0; server < ServerCount; ++server)
        fleet.setLimit(server, limit);
    fleet.play(ContactTime, 3 * limit * ServerCount);
    const TimePoint begin = fleet.now;
    fleet.served = 0;
    constexpr Duration Measured = seconds(30);
    fleet.play(Measured, 3 * limit * ServerCount);

    SECTION("each gets what it takes and no more, and callers are told when to return")
    {
        for (std::size_t server = 0; server < ServerCount; ++server)
            CHECK(fleet.mostIn4Seconds(server, begin) <= allowedIn4Seconds(limit));
        const double capacity = limit * ServerCount * toSeconds(Measured);
        CHECK(static_cast<double>(fleet.served) >= 0.9 * capacity);
        CHECK(fleet.refused > 0);
        CHECK(fleet.retryDelaysMs().size() == fleet.refused);
    }
    SECTION("each has its share again within 2 s after the limit was lifted")
    {
        for (std::size_t server = 0; server < ServerCount; ++server)
            fleet.setLimit(server, std::nullopt);
        // The next request shows that the limit was lifted.
        fleet.play(fromSeconds(2 / limit) + seconds(2), 3 * limit * ServerCount);
        fleet.refused = 0;
        fleet.play(seconds(4), 60);
        CHECK(fleet.refused == 0);
    }
}

TEST_CASE("Limits hold for prompts, whose engines take the rest of the load",
          "[Gateway][ServerLimits]")
{
    const double limit = GENERATE(0.5, 1.8);
    const bool all = GENERATE(false, true);
    CAPTURE(limit, all);
    constexpr std::size_t EngineCount = 8;
    LimitedFleet fleet(9, EngineCount, LimitedLoad::Prompts);
    fleet.play(seconds(2), 40);
    for (std::size_t engine = 0; engine < (all ? EngineCount : 2); ++engine)
        fleet.setLimit(engine, limit);
    fleet.play(ContactTime, 40);
    const TimePoint begin = fleet.now;
    fleet.served = 0;
    fleet.refused = 0;
    constexpr Duration Measured = seconds(20);
    fleet.play(Measured, 40);
    for (std::size_t engine = 0; engine < (all ? EngineCount : 2); ++engine)
        CHECK(fleet.mostIn4Seconds(engine, begin) <= allowedIn4Seconds(limit));
    if (all)
        CHECK(static_cast<double>(fleet.served) >= 0.9 * limit * EngineCount * toSeconds(Measured));
    else
        CHECK(fleet.refused == 0);
}

TEST_CASE("The limit holds while hosts are restarted, cut off or lose news",
          "[Gateway][ServerLimits]")
{
    const double limit = GENERATE(0.5, 1.8, 12.0);
    CAPTURE(limit);
    constexpr std::size_t HostCount = 9;
    LimitedFleet fleet(HostCount, 3);
    for (std::size_t server = 0; server < 3; ++server)
        fleet.setLimit(server, limit);
    fleet.play(seconds(6), 100);
    const TimePoint begin = fleet.now;

    SECTION("every host in turn is killed")
    {
        for (std::size_t host = 0; host < HostCount; ++host) {
            fleet.restart(host);
            fleet.play(seconds(1), 100);
        }
    }
    SECTION("a third of the hosts is cut off from the others")
    {
        fleet.cut(3, false);
        fleet.play(milliseconds(800), 100);
        fleet.cut(3, true);
        fleet.play(seconds(10), 100);
        fleet.cut(0, true);
        fleet.play(seconds(6), 100);
    }
    SECTION("a fifth of the news is lost")
    {
        fleet.lossRate = 0.2;
        fleet.play(seconds(15), 100);
    }
    for (std::size_t server = 0; server < 3; ++server)
        CHECK(fleet.mostIn4Seconds(server, begin) <= allowedIn4Seconds(limit));
}

TEST_CASE("What a server says of its limit is judged by incarnation and order",
          "[Gateway][ServerLimits]")
{
    NullEventLog log;
    ServerLimits limits(ServerLimitSettings{}, 1, log);
    const TimePoint start{seconds(100)};
    REQUIRE(limits.onAnswer("app-1", 1, 2.0, start, start));

    SECTION("the same limit again is no news")
    {
        CHECK_FALSE(limits.onAnswer("app-1", 1, 2.0, start, start + seconds(1)));
    }
    SECTION("an answer without it lifts it, but not one to an earlier request")
    {
        CHECK_FALSE(limits.onAnswer("app-1", 1, std::nullopt, start - milliseconds(50),
                                    start + milliseconds(10)));
        CHECK(limits.limitedServers() == 1);
        CHECK(limits.onAnswer("app-1", 1, std::nullopt, start + milliseconds(20),
                              start + milliseconds(50)));
        CHECK(limits.limitedServers() == 0);

        SECTION("without a rush")
        {
            const TimePoint lifted = start + milliseconds(50);
            std::size_t sent = 0;
            for (int ms = 0; ms < 500; ++ms) {
                const TimePoint now = lifted + milliseconds(ms);
                if (limits.mayReceive("app-1", now)) {
                    limits.onSent("app-1", now);
                    ++sent;
                }
            }
            CHECK(sent <= 8);
            CHECK(limits.mayReceive("app-1", lifted + seconds(2)));
            CHECK_FALSE(limits.rate("app-1", lifted + seconds(2)));
        }
    }
    SECTION("another incarnation has said nothing")
    {
        CHECK_FALSE(
                limits.onAnswer("app-1", 2, std::nullopt, start + seconds(1), start + seconds(1)));
        CHECK(limits.limitedServers() == 0);
    }
    SECTION("a later word of another host counts, an earlier one does not and is corrected")
    {
        const std::uint64_t revision = limits.notice("app-1")->revision;
        CHECK_FALSE(limits.onNotice("app-1", 2, {0, 1, revision + 1, 0.5, 0}, start));
        CHECK(limits.rate("app-1", start) == 0.5);
        CHECK(limits.onNotice("app-1", 3, {0, 1, revision, std::nullopt, 0}, start));
        CHECK(limits.rate("app-1", start) == 0.5);
        CHECK_FALSE(limits.onNotice("app-1", 3, {0, 1, revision, std::nullopt, 0}, start));
    }
    SECTION("of two words of the same order the lower limit counts")
    {
        const std::uint64_t revision = limits.notice("app-1")->revision;
        limits.onNotice("app-1", 2, {0, 1, revision, 9.0, 0}, start);
        CHECK(limits.rate("app-1", start) == 2.0);
        limits.onNotice("app-1", 2, {0, 1, revision, 1.0, 0}, start);
        CHECK(limits.rate("app-1", start) == 1.0);
    }
    SECTION("an absurd count of another host does not close the server for good")
    {
        limits.onNotice("app-1", 2, {0, 1, 1, 2.0, 1}, start);
        limits.onNotice("app-1", 2, {0, 1, 1, 2.0, 1'000'000'000}, start);
        CHECK_FALSE(limits.mayReceive("app-1", start));
        CHECK(limits.mayReceive("app-1", start + seconds(8)));
    }
    SECTION("a limit of zero leaves a trial every ten seconds")
    {
        limits.onAnswer("app-1", 1, 0.0, start + seconds(1), start + seconds(1));
        CHECK(limits.mayReceive("app-1", start + seconds(30)));
        limits.onSent("app-1", start + seconds(30));
        limits.onSent("app-1", start + seconds(30));
        CHECK_FALSE(limits.mayReceive("app-1", start + seconds(39)));
    }
}

TEST_CASE("Callers were refused while an idle pool had lifted its limits",
          "[Gateway][ServerLimits]")
{
    constexpr std::size_t ServerCount = 3;
    LimitedFleet fleet(4, ServerCount);
    for (std::size_t server = 0; server < ServerCount; ++server)
        fleet.setLimit(server, 0.4);
    fleet.play(seconds(3), 20);
    for (std::size_t server = 0; server < ServerCount; ++server)
        fleet.setLimit(server, std::nullopt);
    // Nobody hears of it before the next request.
    fleet.play(seconds(4), 0);
    fleet.refused = 0;
    fleet.play(seconds(2), 33);
    CHECK(fleet.refused == 0);
}
