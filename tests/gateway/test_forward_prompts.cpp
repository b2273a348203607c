#include "support/forward_bench.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A prompt stays at a busy engine and leaves a dark one", "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("engine-1", "engines");
    bench.request("/questions/", {{"Tokens", "5000,1300"}});
    bench.addServer("engine-2", "engines");
    bench.request("/questions/", {{"Tokens", "5000,1300"}});
    REQUIRE(bench.sentAttempts.size() == 2);
    const ForwardAttemptId first = bench.sentAttempts[0].id;
    const std::string server = bench.sentAttempts[0].header("Server");

    SECTION("an engine that sends nothing to anybody is left after the inactivity limit")
    {
        bench.advanceTime(milliseconds(590));
        CHECK(bench.sentAttempts.size() == 2);
        bench.advanceTime(milliseconds(20));
        CHECK(bench.sentAttempts.size() > 2);
    }
    SECTION("one that sends events of another stream is busy, and the prompt keeps its place")
    {
        bench.fleet.onSignOfLife(server, bench.now);
        for (int step = 0; step < 10; ++step) {
            bench.advanceTime(milliseconds(100));
            bench.fleet.onSignOfLife(server, bench.now);
        }
        CHECK_FALSE(bench.sentAttempts[0].cancelled);
        SECTION("but not until the caller leaves")
        {
            bench.advanceTime(milliseconds(300));
            CHECK(bench.sentAttempts[0].cancelled);
        }
        SECTION("nor once the engine falls silent")
        {
            bench.controller.onAttemptHead(first, 200, {}, bench.now);
            bench.advanceTime(milliseconds(650));
            CHECK(bench.sentAttempts[0].cancelled);
        }
    }
}

TEST_CASE("A prompt larger than the memory of one engine reserves memory before dispatch",
          "[Gateway][ForwardController]")
{
    ForwardBench bench;
    for (const char *id : {"e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8"})
        bench.addServer(id, "engines");
    const HttpCallId call = bench.request("/archives/", {{"Tokens", "450000,700"}});
    REQUIRE_FALSE(bench.reservationRequests.empty());
    CHECK(bench.sentAttempts.empty());
    const std::vector<MemoryReservationRequest> requests = bench.reservationRequests;

    SECTION("it is sent when all reservations are granted")
    {
        for (const MemoryReservationRequest &request : requests) {
            CHECK(bench.sentAttempts.empty());
            bench.controller.onReservationResult(request.reservationId, true, bench.now);
        }
        REQUIRE(bench.sentAttempts.size() == 1);
        std::size_t helpersWithReservation = 0;
        for (const auto &[name, value] : bench.sentAttempts[0].request.headers)
            helpersWithReservation += name == "Helper" && value.back() != '/' ? 1 : 0;
        CHECK(helpersWithReservation == requests.size());
        SECTION("the reservations are renewed while it runs")
        {
            bench.advanceTime(milliseconds(1'600));
            CHECK(bench.reservationRequests.size() == 2 * requests.size());
            CHECK(bench.reservationRequests.back().tokens > 0);
        }
        SECTION("the reservations are released when it ends")
        {
            bench.controller.onCallerDisconnected(call, bench.now);
            CHECK(bench.reservationRequests.size() == 2 * requests.size());
            CHECK(bench.reservationRequests.back().tokens == 0);
        }
    }
    SECTION("if an engine rejects one, all are released, and other engines are asked")
    {
        bench.controller.onReservationResult(requests[0].reservationId, false, bench.now);
        std::set<std::string> released;
        std::set<ServerId> askedNext;
        for (std::size_t index = requests.size(); index < bench.reservationRequests.size();
             ++index) {
            const MemoryReservationRequest &request = bench.reservationRequests[index];
            if (request.tokens == 0)
                released.insert(request.reservationId);
            else
                askedNext.insert(request.server);
        }
        for (const MemoryReservationRequest &request : requests)
            CHECK(released.count(request.reservationId) == 1);
        REQUIRE_FALSE(askedNext.empty());
        CHECK(askedNext.count(requests[0].server) == 0);
        CHECK(bench.outcome(call).status == 0);

        SECTION("until every plan failed; then it is refused as not run, and all are released")
        {
            std::map<std::string, std::uint64_t> heldTokens;
            for (int round = 0; round < 10 && bench.outcome(call).status == 0; ++round) {
                const MemoryReservationRequest latest = bench.reservationRequests.back();
                REQUIRE(latest.tokens > 0);
                bench.controller.onReservationResult(latest.reservationId, false, bench.now);
            }
            CHECK(bench.outcome(call).status == 503);
            CHECK(bench.sentAttempts.empty());
            for (const MemoryReservationRequest &request : bench.reservationRequests)
                heldTokens[request.reservationId] = request.tokens;
            for (const auto &[id, tokens] : heldTokens)
                CHECK(tokens == 0);
        }
    }
    SECTION("if engines do not respond, it is refused after the grant timeouts")
    {
        bench.advanceTime(milliseconds(410));
        CHECK(bench.reservationRequests.size() > 2 * requests.size());
        for (int round = 0; round < 3; ++round)
            bench.advanceTime(milliseconds(500));
        CHECK(bench.outcome(call).status == 503);
        CHECK(bench.sentAttempts.empty());
        CHECK(bench.reservationRequests.back().tokens == 0);
    }
}

TEST_CASE("Engines that do not answer a request for memory", "[Gateway][ForwardController]")
{
    // Replays a failure domain that is cut off while a large prompt arrives.
    constexpr int EngineCount = 20;
    ForwardBench bench;
    for (int index = 0; index < EngineCount; ++index) {
        const ServerId id = "e-" + std::to_string(index);
        bench.addServer(id, "engines");
        GatewayServer server = *bench.fleet.find(id);
        server.failureDomain = index % 2 == 0 ? "centro-b" : "centro-c";
        bench.fleet.put(server, bench.now);
    }
    const HttpCallId running = bench.request("/questions/", {{"Tokens", "500,100"}});
    REQUIRE(bench.sentAttempts.size() == 1);
    const HttpCallId call = bench.request("/archives/", {{"Tokens", "450000,700"}});
    const std::vector<MemoryReservationRequest> first = bench.reservationRequests;
    REQUIRE(first.size() >= 2);
    const std::string silent = bench.fleet.find(first[0].server)->failureDomain;
    const auto hearFrom = [&bench](const auto &includes) {
        for (int index = 0; index < EngineCount; ++index) {
            const ServerId id = "e-" + std::to_string(index);
            if (!includes(id))
                continue;
            bench.fleet.onSignOfLife(id, bench.now);
            bench.reach.onContact("engines", id, bench.now);
        }
    };

    SECTION("are left alone with their whole domain if nothing there sends anything")
    {
        bench.advanceTime(milliseconds(100));
        hearFrom([&](const ServerId &id) { return bench.fleet.find(id)->failureDomain != silent; });
        bench.advanceTime(milliseconds(310));
        std::size_t asked = 0;
        for (std::size_t index = first.size(); index < bench.reservationRequests.size(); ++index) {
            const MemoryReservationRequest &request = bench.reservationRequests[index];
            if (request.tokens == 0)
                continue;
            ++asked;
            CHECK(bench.fleet.find(request.server)->failureDomain != silent);
        }
        CHECK(asked >= 2);
        CHECK(bench.outcome(call).status == 0);
    }
    SECTION("are not suspected if they send events meanwhile")
    {
        bench.advanceTime(milliseconds(100));
        hearFrom([](const ServerId & /*id*/) { return true; });
        bench.advanceTime(milliseconds(310));
        CHECK(bench.fleet.usable("engines", bench.now).size() == std::size_t{EngineCount});
    }
    SECTION("are not suspected if this host was paused")
    {
        bench.now += seconds(1);
        bench.controller.onTimer(bench.now);
        std::set<ServerId> usable;
        for (const GatewayServer *server : bench.fleet.usable("engines", bench.now))
            usable.insert(server->id);
        for (const MemoryReservationRequest &request : first)
            CHECK(usable.count(request.server) == 1);
    }
    SECTION("and pause for a second keep the work that runs there")
    {
        bench.controller.onAttemptHead(bench.sentAttempts[0].id, 200, {{"Signed", "s"}}, bench.now);
        bench.controller.onAttemptData(bench.sentAttempts[0].id, "id: 1\ndata: x\n\n", bench.now);
        bench.advanceTime(seconds(1));
        CHECK_FALSE(bench.sentAttempts[0].cancelled);
        CHECK_FALSE(bench.outcome(running).aborted);
    }
}

TEST_CASE("A pause of this host for a second changes nothing for running work",
          "[Gateway][ForwardController]")
{
    // Its timers fire before it has read what the engine sent meanwhile.
    ForwardBench bench;
    bench.addServer("e-1", "engines");
    bench.addServer("e-2", "engines");
    bench.request("/questions/", {{"Tokens", "500,100"}});
    REQUIRE(bench.sentAttempts.size() == 1);
    bench.now += seconds(1);
    bench.controller.onTimer(bench.now);
    CHECK_FALSE(bench.sentAttempts[0].cancelled);
    CHECK(bench.fleet.usable("engines", bench.now).size() == 2);
}

TEST_CASE("A shared prompt that is refused is not sent to the same helper again",
          "[Gateway][ForwardController]")
{
    // Replays a helper that is full: the engine that runs the prompt refuses on its behalf.
    ForwardBench bench;
    for (const char *id : {"e-1", "e-2", "e-3", "e-4", "e-5", "e-6"})
        bench.addServer(id, "engines");
    for (std::size_t index = 0; index < 6; ++index)
        bench.fleet.put(
                [&] {
                    GatewayServer server = *bench.fleet.find("e-" + std::to_string(index + 1));
                    server.endpoint.port = static_cast<std::uint16_t>(8'000 + index);
                    return server;
                }(),
                bench.now);
    bench.grantsMemory = true;
    bench.request("/archives/", {{"Tokens", "180000,700"}});
    REQUIRE(bench.sentAttempts.size() == 1);
    const auto helpersOf = [&](std::size_t index) {
        std::set<std::string> helpers;
        for (const auto &[name, value] : bench.sentAttempts.at(index).request.headers) {
            const std::string helper = value.substr(0, value.find('/'));
            const bool isOwnMemory =
                    helper
                    == bench.fleet.find(bench.sentAttempts.at(index).header("Server"))
                               ->endpoint.text();
            if (name == "Helper" && !isOwnMemory)
                helpers.insert(helper);
        }
        return helpers;
    };
    const std::set<std::string> firstHelpers = helpersOf(0);
    REQUIRE_FALSE(firstHelpers.empty());
    const std::string faulty = *firstHelpers.begin();

    SECTION("if the refusal names it")
    {
        bench.respond(0, 503, {{"Not-Run", "1"}, {"Faulty", faulty}}, "");
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(helpersOf(1).count(faulty) == 0);
        CHECK(bench.sentAttempts[1].request.endpoint.text() != faulty);
    }
    SECTION("nor to any of its helpers if the refusal names none")
    {
        bench.respond(0, 503, {{"Not-Run", "1"}}, "");
        REQUIRE(bench.sentAttempts.size() == 2);
        for (const std::string &helper : firstHelpers)
            CHECK(helpersOf(1).count(helper) == 0);
    }
}
