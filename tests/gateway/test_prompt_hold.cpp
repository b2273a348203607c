#include "gateway/prompt_hold.h"

#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

PromptDemand longPrompt()
{
    PromptDemand demand;
    demand.firstEventTarget = milliseconds(4'000);
    demand.callerTimeLeft = milliseconds(15'000);
    demand.value = 20;
    return demand;
}

/// A result whose plan stalls streams of value \a stalled.
PromptPlacementResult resultWithLoss(double stalled)
{
    PromptPlacementResult result;
    result.hasUsableServer = true;
    result.bestPlan = PromptPlan();
    result.bestPlan->interferenceLoss = stalled;
    result.bestPlan->expectedLoss = stalled;
    result.shortestTimeToFirstEvent = milliseconds(600);
    return result;
}

} // namespace

TEST_CASE("A prompt waits for a better place while it has slack", "[Gateway][PromptHold]")
{
    const PromptHold hold{PromptHoldSettings{}};
    PromptDemand demand = longPrompt();

    SECTION("not if the place that there is costs little")
    {
        CHECK_FALSE(hold.recheckAfter(demand, resultWithLoss(1.0)));
    }
    SECTION("if placing it now would stall valuable streams")
    {
        CHECK(hold.recheckAfter(demand, resultWithLoss(15.0)));
        SECTION("but not until it is late itself")
        {
            demand.elapsed = milliseconds(1'500);
            CHECK_FALSE(hold.recheckAfter(demand, resultWithLoss(15.0)));
        }
        SECTION("nor if it is already partly answered or no server is usable")
        {
            demand.answerStarted = true;
            CHECK_FALSE(hold.recheckAfter(demand, resultWithLoss(15.0)));
            demand.answerStarted = false;
            CHECK_FALSE(hold.recheckAfter(demand, PromptPlacementResult()));
        }
    }
    SECTION("not for losses that waiting does not reduce, such as a queue for slots")
    {
        PromptPlacementResult result = resultWithLoss(0);
        result.bestPlan->expectedLoss = 15;
        CHECK_FALSE(hold.recheckAfter(demand, result));
    }
    SECTION("a prompt that is late already waits for a place that costs others nothing")
    {
        demand.elapsed = milliseconds(5'000);
        CHECK(hold.recheckAfter(demand, resultWithLoss(15)));
        demand.callerTimeLeft = milliseconds(1'000);
        CHECK_FALSE(hold.recheckAfter(demand, resultWithLoss(15)));
    }
}

TEST_CASE("Long prompts that arrive while engines write answers are served in time",
          "[Gateway][PromptHold]")
{
    // Replays the onset of a phase: every engine writes an answer whose event gap a long prefill
    // would exceed. The answers end within a second, and the prompt has a target of 4 s.
    ForwardBench bench;
    bench.grantsMemory = true;
    const std::string event = "id: 1\ndata: x\n\n";
    for (const char *id : {"engine-1", "engine-2"})
        bench.addServer(id, "engines");
    for (int count = 0; count < 2; ++count) {
        bench.request("/archives/", {{"Tokens", "100000,700"}});
        bench.advanceTime(milliseconds(10));
    }
    REQUIRE(bench.sentAttempts.size() == 2);
    REQUIRE(bench.sentAttempts[0].header("Server") != bench.sentAttempts[1].header("Server"));
    bench.advanceTime(milliseconds(1'500));
    for (std::size_t index = 0; index < 2; ++index) {
        bench.controller.onAttemptHead(bench.sentAttempts[index].id, 200, {{"Signed", "s"}},
                                       bench.now);
        bench.controller.onAttemptData(bench.sentAttempts[index].id, event, bench.now);
    }
    const HttpCallId waiting = bench.request("/archives/", {{"Tokens", "140000,700"}});

    SECTION("the prompt is neither refused nor sent while both engines write")
    {
        CHECK(bench.sentAttempts.size() == 2);
        CHECK(bench.outcome(waiting).status == 0);
        SECTION("and is sent once one has finished")
        {
            bench.advanceTime(milliseconds(500));
            CHECK(bench.sentAttempts.size() == 2);
            bench.controller.onAttemptComplete(bench.sentAttempts[0].id, bench.now);
            bench.controller.onAttemptComplete(bench.sentAttempts[1].id, bench.now);
            bench.advanceTime(milliseconds(50));
            CHECK(bench.sentAttempts.size() == 3);
        }
        SECTION("its caller may leave meanwhile")
        {
            bench.controller.onCallerDisconnected(waiting, bench.now);
            bench.advanceTime(milliseconds(3'000));
            CHECK(bench.sentAttempts.size() == 2);
        }
    }
    SECTION("it gets its final response in time if no place becomes free")
    {
        bench.advanceTime(milliseconds(2'100));
        const bool sent = bench.sentAttempts.size() > 2;
        CHECK((sent || bench.outcome(waiting).status == 503));
    }
}
