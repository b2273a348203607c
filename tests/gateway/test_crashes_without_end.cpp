#include "support/forward_bench.h"

#include <catch2/catch.hpp>
#include <set>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t ServerCount = 3;

/// A host before three servers, on each of which it runs the same request.
struct CutBench : ForwardBench
{
    CutBench()
    {
        for (std::size_t server = 0; server < ServerCount; ++server)
            this->addServer("app-" + std::to_string(server), "app");
        this->advanceTime(seconds(1));
    }

    /// Sends the request and returns whether it reached a server.
    bool isSent()
    {
        const std::size_t before = this->sentAttempts.size();
        this->request("/orders/same");
        return this->sentAttempts.size() > before;
    }

    /// Loses all connections to servers at once while each runs the request.
    void loseAll()
    {
        while (this->sentAttempts.size() < ServerCount)
            REQUIRE(this->isSent());
        this->advanceTime(milliseconds(20));
        for (std::size_t index = 0; index < ServerCount; ++index)
            this->failAttempt(index, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
    }
};

} // namespace

TEST_CASE("A fleet refused a sound request for good since a cut looked like crashes",
          "[Gateway][CrashSuspects]")
{
    CutBench bench;
    bench.loseAll();
    REQUIRE_FALSE(bench.isSent());
    bench.advanceTime(seconds(1));

    SECTION("servers that answer others have not crashed")
    {
        for (std::size_t server = 0; server < ServerCount; ++server)
            bench.fleet.onSignOfLife("app-" + std::to_string(server), bench.now);
        CHECK(bench.isSent());

        SECTION("also once they have left")
        {
            bench.respond(bench.sentAttempts.size() - 1, 500, {{"Signed", "s"}}, "error");
            for (std::size_t server = 0; server < ServerCount; ++server)
                bench.fleet.remove("app-" + std::to_string(server), false, bench.now);
            bench.addServer("app-9", "app");
            CHECK(bench.isSent());
        }
        SECTION("a later crash of one of them counts")
        {
            const std::size_t last = bench.sentAttempts.size() - 1;
            bench.advanceTime(milliseconds(1'500));
            bench.failAttempt(last, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
            CHECK(bench.crashNotices.back().crashes.size() == 1);
        }
    }
    SECTION("servers that restarted have crashed, even if they answer under the same name")
    {
        for (std::size_t server = 0; server < ServerCount; ++server) {
            GatewayServer restarted = *bench.fleet.find("app-" + std::to_string(server));
            ++restarted.incarnation;
            bench.fleet.put(restarted, bench.now);
            bench.fleet.onSignOfLife(restarted.id, bench.now + milliseconds(10));
        }
        bench.advanceTime(seconds(1));
        CHECK_FALSE(bench.isSent());
    }
    SECTION("servers of which nothing is heard may have crashed")
    {
        bench.advanceTime(seconds(3));
        CHECK_FALSE(bench.isSent());
    }
    SECTION("servers that nobody else asks are probed before the request is refused again")
    {
        REQUIRE_FALSE(bench.isSent());
        CHECK(std::set<ServerId>(bench.probedServers.begin(), bench.probedServers.end()).size()
              == ServerCount);
        SECTION("those that answer have lived on")
        {
            for (std::size_t server = 0; server < ServerCount; ++server)
                bench.controller.onServerAlive("app-" + std::to_string(server), 0, bench.now);
            CHECK(bench.isSent());
        }
        SECTION("those that restarted have not")
        {
            for (std::size_t server = 0; server < ServerCount; ++server)
                bench.controller.onServerAlive("app-" + std::to_string(server), 1, bench.now);
            CHECK_FALSE(bench.isSent());
        }
        SECTION("and few are sent if none answers")
        {
            const std::size_t before = bench.probedServers.size();
            for (int second = 0; second < 60; ++second) {
                bench.advanceTime(seconds(1));
                CHECK_FALSE(bench.isSent());
            }
            CHECK(bench.probedServers.size() - before <= ServerCount * 18);
        }
    }
}

TEST_CASE("The refusal of the next server at an address took a crash back",
          "[Gateway][CrashSuspects]")
{
    CutBench bench;
    bench.loseAll();
    REQUIRE_FALSE(bench.isSent());
    bench.advanceTime(seconds(2));
    for (std::size_t server = 0; server < ServerCount; ++server) {
        bench.request("/orders/other" + std::to_string(server));
        const ForwardAttemptId attempt = bench.sentAttempts.back().id;
        // The body arrives before the end of the response is known.
        bench.controller.onAttemptHead(attempt, 421, {}, bench.now);
        bench.controller.onAttemptData(attempt, "another server", bench.now);
        bench.advanceTime(milliseconds(10));
        bench.controller.onAttemptComplete(attempt, bench.now);
    }
    bench.addServer("app-next", "app");
    CHECK_FALSE(bench.isSent());
}
