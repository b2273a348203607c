#include "core/hashing.h"
#include "support/forward_bench.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const HttpHeaders Signed = {{"Signed", "s"}};

HttpHeaders pauseHeaders(const std::string &milliseconds)
{
    return {{"Not-Run", "1"}, {"Pause-Ms", milliseconds}};
}

/// Returns the retry delay of a refusal in milliseconds.
long long retryAfterMs(const CallerOutcome &outcome)
{
    const std::string *value = findHeader(outcome.headers, "Retry-After-Ms");
    return value == nullptr ? -1 : std::stoll(*value);
}

} // namespace

TEST_CASE("A server that announces in an answer that it leaves gets nothing new",
          "[Gateway][ServerAnnouncements]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    const HttpHeaders leaving = {{"Signed", "s"}, {"Leaving", "1"}};
    const HttpCallId first = bench.request("/lookups/1");
    const HttpCallId inFlight = bench.request("/lookups/2");
    REQUIRE(bench.sentAttempts.size() == 2);
    bench.respond(0, 200, leaving, "done");
    CHECK(bench.outcome(first).status == 200);

    SECTION("the other hosts are told once, with its incarnation")
    {
        REQUIRE(bench.leavingNotices.size() == 1);
        CHECK(bench.leavingNotices[0].serverHash == hash32("app-1"));
        bench.respond(1, 200, leaving, "done");
        CHECK(bench.leavingNotices.size() == 1);
    }
    SECTION("its requests in flight end in peace")
    {
        bench.respond(1, 200, leaving, "done");
        CHECK(bench.outcome(inFlight).status == 200);
    }
    SECTION("callers are refused at once with a retry delay if it was the last one")
    {
        const HttpCallId call = bench.request("/lookups/3");
        CHECK(bench.sentAttempts.size() == 2);
        CHECK(bench.outcome(call).status == 503);
        CHECK(retryAfterMs(bench.outcome(call)) >= 500);
    }
    SECTION("another server is used instead")
    {
        bench.addServer("app-2", "app");
        bench.request("/lookups/3");
        CHECK(bench.sentAttempts.back().header("Server") == "app-2");
    }
    SECTION("an answer to a message about memory counts too")
    {
        bench.addServer("engine-1", "engines");
        bench.controller.onServerHeaders("engine-1", 200, {{"Leaving", "1"}}, bench.now, bench.now);
        const HttpCallId call = bench.request("/questions/1", {{"Tokens", "100,10"}});
        CHECK(bench.outcome(call).status == 503);
    }
}

TEST_CASE("A server that asks for a pause gets nothing until it is over",
          "[Gateway][ServerAnnouncements]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    bench.addServer("app-2", "app");
    bench.request("/lookups/1");
    const std::string pausedServer = bench.sentAttempts[0].header("Server");
    const std::string otherServer = pausedServer == "app-1" ? "app-2" : "app-1";
    bench.respond(0, 503, pauseHeaders("4000"), "");

    SECTION("its request and the next ones go to another server")
    {
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(bench.sentAttempts[1].header("Server") == otherServer);
        for (int count = 0; count < 50; ++count)
            bench.request("/lookups/2");
        const bool reached = std::any_of(
                bench.sentAttempts.begin() + 1, bench.sentAttempts.end(),
                [&](const SentAttempt &sent) { return sent.header("Server") == pausedServer; });
        CHECK_FALSE(reached);
    }
    SECTION("if all servers are in pause, callers are refused at once, spread over their return")
    {
        bench.respond(1, 503, pauseHeaders("2000"), "");
        CHECK(bench.sentAttempts.size() == 2);
        std::set<long long> delays;
        for (int count = 0; count < 100; ++count) {
            const HttpCallId call = bench.request(count % 2 == 0 ? "/lookups/3" : "/orders/3");
            CHECK(bench.outcome(call).status == 503);
            delays.insert(retryAfterMs(bench.outcome(call)));
        }
        CHECK(bench.sentAttempts.size() == 2);
        CHECK(*delays.begin() >= 2'000);
        CHECK(*delays.rbegin() <= 2'500);
        CHECK(delays.size() > 20);
        SECTION("and the first one that is back is used")
        {
            bench.advanceTime(milliseconds(2'001));
            bench.request("/lookups/4");
            REQUIRE(bench.sentAttempts.size() == 3);
            CHECK(bench.sentAttempts[2].header("Server") == otherServer);
        }
    }
    SECTION("a shorter pause does not end a longer one")
    {
        bench.fleet.onPauseRequested(pausedServer, milliseconds(100), bench.now);
        bench.advanceTime(milliseconds(3'900));
        CHECK(bench.fleet.usable("app", bench.now).size() == 1);
        bench.advanceTime(milliseconds(200));
        CHECK(bench.fleet.usable("app", bench.now).size() == 2);
    }
    SECTION("a restart ends it")
    {
        GatewayServer restarted = *bench.fleet.find(pausedServer);
        restarted.incarnation += 1;
        bench.fleet.put(restarted, bench.now);
        CHECK(bench.fleet.usable("app", bench.now).size() == 2);
    }
    SECTION("an absurdly long pause is bounded")
    {
        bench.fleet.onPauseRequested(pausedServer, std::chrono::hours(24), bench.now);
        CHECK(bench.fleet.usable("app", bench.now + minutes(10)).size() == 2);
    }
    SECTION("messages about work in progress are limited to two")
    {
        CHECK(bench.fleet.tryContact(pausedServer, bench.now));
        CHECK(bench.fleet.tryContact(pausedServer, bench.now));
        CHECK_FALSE(bench.fleet.tryContact(pausedServer, bench.now));
        CHECK(bench.fleet.tryContact(otherServer, bench.now));
        CHECK(bench.fleet.tryContact(pausedServer, bench.now + seconds(5)));
    }
}

TEST_CASE("A paused engine gets no prompts, also as a helper", "[Gateway][ServerAnnouncements]")
{
    ForwardBench bench;
    bench.addServer("engine-1", "engines");
    bench.addServer("engine-2", "engines");
    bench.controller.onServerHeaders("engine-1", 503, pauseHeaders("3000"), bench.now, bench.now);
    for (int count = 0; count < 4; ++count)
        bench.request("/archives/1", {{"Tokens", "100000,10"}});
    REQUIRE_FALSE(bench.sentAttempts.empty());
    for (const SentAttempt &sent : bench.sentAttempts) {
        CHECK(sent.header("Server") == "engine-2");
        CHECK(sent.header("Helper").empty());
    }
    for (const MemoryReservationRequest &reservation : bench.reservationRequests)
        CHECK(reservation.server == "engine-2");
}
