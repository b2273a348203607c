#include "gateway/retry_budget.h"
#include "gateway/service_placement.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

GatewayServer server(const ServerId &id, std::uint64_t incarnation = 1)
{
    GatewayServer result;
    result.id = id;
    result.pool = "app";
    result.failureDomain = "centro-a";
    result.slots = 6;
    result.incarnation = incarnation;
    return result;
}

} // namespace

TEST_CASE("Servers are usable while they are registered, reachable and not draining",
          "[Gateway][ServerFleet]")
{
    NullEventLog log;
    ServerFleet fleet(ServerFleetTimings{}, log);
    TimePoint now{seconds(100)};
    fleet.put(server("s1"), now);
    fleet.put(server("s2"), now);
    REQUIRE(fleet.usable("app", now).size() == 2);

    SECTION("not when their entry is marked as draining")
    {
        GatewayServer draining = server("s1");
        draining.draining = true;
        fleet.put(draining, now);
        CHECK(fleet.usable("app", now).size() == 1);
    }
    SECTION("not when a restored store shows an earlier entry of a leaving server")
    {
        GatewayServer draining = server("s1");
        draining.draining = true;
        fleet.put(draining, now);
        fleet.put(server("s1"), now);
        CHECK(fleet.usable("app", now).size() == 1);
        SECTION("even after its entry had been removed")
        {
            fleet.remove("s1", false, now);
            fleet.put(server("s1"), now + seconds(5));
            CHECK(fleet.usable("app", now + seconds(5)).size() == 1);
        }
        SECTION("until it has another incarnation")
        {
            fleet.remove("s1", false, now);
            fleet.put(server("s1", 2), now + seconds(5));
            CHECK(fleet.usable("app", now + seconds(5)).size() == 2);
        }
    }
    SECTION("only if there is no other, when a restored store shows a departed server again")
    {
        fleet.remove("s1", false, now);
        now += seconds(5);
        fleet.doubtIfDeparted(server("s1"), now);
        fleet.put(server("s1"), now);
        CHECK(fleet.usable("app", now).size() == 1);
        SECTION("until its entry has outlasted those of servers that are gone")
        {
            CHECK(fleet.usable("app", now + seconds(6)).size() == 2);
        }
        SECTION("until it answers")
        {
            fleet.onAttemptOutcome("s1", AttemptOutcome::Answered, now);
            CHECK(fleet.usable("app", now).size() == 2);
        }
        SECTION("and it is used if it is the only one")
        {
            fleet.remove("s2", false, now);
            CHECK(fleet.usable("app", now).size() == 1);
        }
    }
    SECTION("at once, when an expired entry returns without a change of the era")
    {
        fleet.remove("s1", true, now);
        fleet.put(server("s1"), now + seconds(5));
        CHECK(fleet.usable("app", now + seconds(5)).size() == 2);
    }
    SECTION("not when they announced in an answer that they leave, whatever the entry says")
    {
        fleet.onAttemptOutcome("s1", AttemptOutcome::Leaving, now);
        fleet.put(server("s1"), now);
        CHECK(fleet.usable("app", now).size() == 1);
        SECTION("until they restart")
        {
            CHECK(fleet.put(server("s1", 2), now));
            CHECK(fleet.usable("app", now).size() == 2);
        }
    }
    SECTION("not for a while when they are unreachable, longer after each failure")
    {
        fleet.onAttemptOutcome("s1", AttemptOutcome::Unreachable, now);
        CHECK(fleet.usable("app", now).size() == 1);
        now += milliseconds(450);
        CHECK(fleet.usable("app", now).size() == 2);
        fleet.onAttemptOutcome("s1", AttemptOutcome::Unreachable, now);
        now += milliseconds(450);
        CHECK(fleet.usable("app", now).size() == 1);
        SECTION("but suspected servers are used if there is no other")
        {
            fleet.onAttemptOutcome("s2", AttemptOutcome::Unreachable, now);
            CHECK(fleet.usable("app", now).size() == 2);
        }
    }
    SECTION("not when their entry is removed")
    {
        fleet.remove("s1", false, now);
        CHECK(fleet.usable("app", now).size() == 1);
    }
    SECTION("for a grace period when the entry may have expired in a store outage")
    {
        fleet.remove("s1", true, now);
        CHECK(fleet.usable("app", now).size() == 2);
        SECTION("and afterwards if the entry is written again")
        {
            fleet.put(server("s1"), now + seconds(1));
            CHECK(fleet.usable("app", now + seconds(9)).size() == 2);
        }
        SECTION("but not after the grace period if it is not")
        {
            CHECK(fleet.usable("app", now + milliseconds(2'001)).size() == 1);
        }
    }
    SECTION("for a grace period when most entries of the pool are removed together")
    {
        // The watch of a host was pending all through an outage of the store; its response then
        // removes every entry that expired, and the servers write them again one by one.
        fleet.put(server("s3"), now);
        fleet.remove("s1", false, now);
        CHECK(fleet.usable("app", now).size() == 2);
        CHECK(fleet.all(now).size() == 2);
        now += milliseconds(300);
        fleet.remove("s2", false, now);
        fleet.remove("s3", false, now);
        CHECK(fleet.usable("app", now).size() == 3);
        CHECK(fleet.all(now).size() == 3);
        fleet.put(server("s2"), now + milliseconds(500));
        CHECK(fleet.usable("app", now + milliseconds(500)).size() == 3);
        SECTION("but not if they are not written again")
        {
            CHECK(fleet.usable("app", now + milliseconds(2'001)).size() == 1);
            fleet.remove("s4", false, now + milliseconds(2'001));
            CHECK(fleet.find("s1") == nullptr);
        }
    }
    SECTION("not when the entries of a pool are removed one after the other")
    {
        fleet.remove("s1", false, now);
        fleet.remove("s2", false, now + seconds(3));
        CHECK(fleet.usable("app", now + seconds(3)).empty());
    }
    SECTION("a draining server gets no grace period when its entry is removed")
    {
        GatewayServer draining = server("s1");
        draining.draining = true;
        fleet.put(draining, now);
        fleet.remove("s1", true, now);
        CHECK(fleet.find("s1") == nullptr);
    }
}

TEST_CASE(
        "A server whose entry may have expired gets no request that arrives after the drain limit",
        "[Gateway][ServerFleet]")
{
    constexpr Duration DrainLimit = milliseconds(2'000); // Of the users' sheet.
    constexpr Duration TransitTime = milliseconds(50);
    NullEventLog log;
    ServerFleet fleet(ServerFleetTimings{}, log);
    const TimePoint removedAt{seconds(100)};
    for (const char *id : {"s1", "s2", "s3"})
        fleet.put(server(id), removedAt);

    SECTION("when the store was away before")
    {
        fleet.remove("s1", true, removedAt);
        CHECK(fleet.usable("app", removedAt + DrainLimit - TransitTime).size() == 2);
    }
    SECTION("when most of its pool was removed with it")
    {
        fleet.remove("s1", false, removedAt);
        fleet.remove("s2", false, removedAt);
        CHECK(fleet.usable("app", removedAt + DrainLimit - TransitTime).size() == 1);
    }
}

TEST_CASE("A server that fails requests gets fewer requests although its health checks pass",
          "[Gateway][ServicePlacement]")
{
    NullEventLog log;
    ServerFleet fleet(ServerFleetTimings{}, log);
    SeededRandom random(3);
    ServicePlacement placement("centro-a", fleet, random);
    TimePoint now{seconds(100)};
    for (const char *id : {"s1", "s2", "s3"})
        fleet.put(server(id), now);

    // One of three servers fails 40 % of its requests.
    std::size_t callsToFailing = 0;
    for (int call = 0; call < 300; ++call) {
        const ServerId chosen = *placement.place("app", {}, now);
        const bool fails = chosen == "s1" && random.nextDouble() < 0.4;
        callsToFailing += chosen == "s1" && call >= 100 ? 1 : 0;
        fleet.onAttemptOutcome(chosen, fails ? AttemptOutcome::Failed : AttemptOutcome::Answered,
                               now);
        now += milliseconds(30);
    }
    CHECK(callsToFailing < 40);

    SECTION("a server that reports no free slot is not chosen")
    {
        placement.onLoadReported("s2", {6, 4, 6}, now);
        for (int call = 0; call < 20; ++call)
            CHECK(*placement.place("app", {"s1"}, now) == "s3");
    }
    SECTION("a server that was tried is chosen only if there is no other")
    {
        CHECK(*placement.place("app", {"s1", "s2"}, now) == "s3");
        CHECK(placement.place("app", {"s1", "s2", "s3"}, now));
        CHECK_FALSE(placement.place("none", {}, now));
    }
}

TEST_CASE("The retries of all hosts together stay within the limit", "[Gateway][RetryBudget]")
{
    const RetryBudgetLimits limits{0.2, 106, seconds(10)};
    constexpr std::size_t Hosts = 9;
    std::vector<RetryBudget> hosts(Hosts, RetryBudget(limits));
    for (RetryBudget &host : hosts)
        host.setHostCount(Hosts);
    // Every attempt fails: each of 30 requests per second asks for one retry.
    std::size_t requests = 0;
    std::size_t retries = 0;
    std::vector<std::pair<TimePoint, bool>> arrivals;
    TimePoint now{seconds(100)};
    for (int step = 0; step < 1'200; ++step) {
        RetryBudget &host = hosts[static_cast<std::size_t>(step) % Hosts];
        host.onRequest("app", now);
        ++requests;
        const bool retried = host.tryConsume("app", now);
        retries += retried ? 1 : 0;
        arrivals.emplace_back(now, retried);
        now += milliseconds(33);
    }
    CHECK(retries > 50);
    for (std::size_t begin = 0; begin + 303 < arrivals.size(); begin += 10) {
        std::size_t retriesInWindow = 0;
        for (std::size_t index = begin; index < begin + 303; ++index)
            retriesInWindow += arrivals[index].second ? 1 : 0;
        CHECK(static_cast<double>(retriesInWindow) <= 0.2 * 303 + 106);
    }
}

TEST_CASE("Silence of many servers is taken for a wrong load estimate, not for their failure",
          "[Gateway][ServerFleet]")
{
    // Replays the seconds after the loss of all hosts: the engines work, but hosts without state
    // expect first events far too early, give attempts up and tell each other.
    NullEventLog log;
    ServerFleet fleet(ServerFleetTimings{}, log);
    TimePoint now{seconds(100)};
    constexpr std::size_t ServerCount = 12;
    for (std::size_t index = 0; index < ServerCount; ++index)
        fleet.put(server("s" + std::to_string(index)), now);

    SECTION("a third of the pool at most is left for silence, whoever reports it")
    {
        for (std::uint32_t host = 0; host < 7; ++host) {
            for (std::size_t index = 0; index < ServerCount; ++index)
                fleet.onSilenceReported("s" + std::to_string((index + host) % ServerCount), host,
                                        now);
        }
        CHECK(fleet.usable("app", now).size() == ServerCount * 2 / 3);
    }
    SECTION("one host can report only few servers, as it may be cut off itself")
    {
        for (std::size_t index = 0; index < ServerCount; ++index)
            fleet.onSilenceReported("s" + std::to_string(index), 1, now);
        CHECK(fleet.usable("app", now).size() == ServerCount - 2);
    }
    SECTION("a server that sends events to any caller is not left for silence")
    {
        fleet.onSignOfLife("s1", now);
        fleet.onAttemptOutcome("s1", AttemptOutcome::Silent, now + milliseconds(200));
        CHECK(fleet.usable("app", now + milliseconds(200)).size() == ServerCount);
    }
    SECTION("reports are taken back when a host tells that the server sends to it")
    {
        fleet.onSilenceReported("s1", 1, now);
        REQUIRE(fleet.usable("app", now).size() == ServerCount - 1);
        fleet.onSilenceContradicted("s1", now + milliseconds(20));
        CHECK(fleet.usable("app", now + milliseconds(20)).size() == ServerCount);

        SECTION("but not what this host has seen itself, which may be its own path")
        {
            const TimePoint later = now + seconds(1);
            fleet.onAttemptOutcome("s1", AttemptOutcome::Silent, later);
            fleet.onSilenceContradicted("s1", later + milliseconds(20));
            CHECK(fleet.usable("app", later + milliseconds(20)).size() == ServerCount - 1);
        }
    }
    SECTION("servers that are really dark are left at the first sign")
    {
        for (const char *id : {"s1", "s2", "s3"})
            fleet.onAttemptOutcome(id, AttemptOutcome::Silent, now);
        CHECK(fleet.usable("app", now).size() == ServerCount - 3);
    }
    SECTION("unreachable servers are left, however many")
    {
        for (std::size_t index = 0; index + 1 < ServerCount; ++index)
            fleet.onAttemptOutcome("s" + std::to_string(index), AttemptOutcome::Unreachable, now);
        CHECK(fleet.usable("app", now).size() == 1);
    }
}
