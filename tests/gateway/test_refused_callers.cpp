#include "gateway/refused_callers.h"

#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Reports the same outstanding prefill of \a tokens on engine-1 to \a bench.
void occupy(ForwardBench &bench, std::uint64_t tokens)
{
    EnginePrompt prompt;
    prompt.key = {99, bench.random.nextBelow(1'000'000)};
    prompt.demand.promptTokens = tokens;
    prompt.demand.outputTokens = 400;
    prompt.demand.firstEventTarget = seconds(4);
    prompt.demand.callerTimeLeft = seconds(15);
    prompt.demand.value = 20;
    prompt.dispatchedAt = bench.now;
    bench.promptPlacement.onDispatched("engine-1", dataSheetEngine(), prompt, bench.now);
}

HttpCallId ask(ForwardBench &bench, long patienceMs, const std::string &body = "body")
{
    return bench.request("/questions/",
                         {{"Tokens", "5000,400"}, {"Patience-Ms", std::to_string(patienceMs)}},
                         body);
}

bool isReturnKnown(ForwardBench &bench)
{
    return bench.promptUpdates.back().demand.elapsed >= milliseconds(200);
}

} // namespace

TEST_CASE("A caller refused by one host is known at the next", "[Gateway][RefusedCallers]")
{
    ForwardBench first(1);
    ForwardBench second(2);
    first.addServer("engine-1", "engines");
    second.addServer("engine-1", "engines");
    occupy(first, 150'000);
    const HttpCallId call = ask(first, 14'800);
    REQUIRE(first.outcome(call).status == 503);
    REQUIRE(first.refusedPrompts.size() == 1);
    second.advanceTime(milliseconds(220));

    SECTION("which counts its wait from its first attempt")
    {
        second.controller.onPromptRefusedElsewhere(first.refusedPrompts[0],
                                                   second.now - milliseconds(220));
        ask(second, 14'580);
        REQUIRE(second.promptUpdates.size() == 1);
        CHECK(isReturnKnown(second));
        SECTION("once: the same text with the deadline of another caller is new")
        {
            ask(second, 14'580);
            CHECK_FALSE(isReturnKnown(second));
        }
    }
    SECTION("and another caller with the same text is not taken for it")
    {
        second.controller.onPromptRefusedElsewhere(first.refusedPrompts[0],
                                                   second.now - milliseconds(220));
        ask(second, 13'000);
        CHECK_FALSE(isReturnKnown(second));
        ask(second, 14'580, "another body");
        CHECK_FALSE(isReturnKnown(second));
    }
    SECTION("unless the notice was lost or the other host is too old to send it")
    {
        ask(second, 14'580);
        CHECK_FALSE(isReturnKnown(second));
    }
    SECTION("and not refused again while an engine can serve it before it leaves")
    {
        occupy(second, 40'000); // Nobody is harmed, but the answer is late.
        ask(second, 14'580);
        CHECK(second.sentAttempts.empty()); // A new caller can still be in time elsewhere.
        second.controller.onPromptRefusedElsewhere(first.refusedPrompts[0],
                                                   second.now - milliseconds(220));
        const HttpCallId returned = ask(second, 14'580);
        CHECK(second.sentAttempts.size() == 1);
        CHECK(second.outcome(returned).status == 0);
    }
    SECTION("but at once if no engine can, with a promise that it has not run")
    {
        occupy(second, 150'000);
        second.controller.onPromptRefusedElsewhere(first.refusedPrompts[0],
                                                   second.now - milliseconds(220));
        CHECK(second.outcome(ask(second, 14'580)).status == 503);
        CHECK(second.sentAttempts.empty());
    }
    SECTION("as the counts of both hosts tell")
    {
        second.controller.onPromptRefusedElsewhere(first.refusedPrompts[0],
                                                   second.now - milliseconds(220));
        ask(second, 14'580);
        second.respond(0, 200, {{"Signed", "s"}}, "id: 1\ndata: x\n\n");
        const std::string metrics = second.metrics.text();
        CHECK(metrics.find("callers_returned_total 1") != std::string::npos);
        CHECK(metrics.find("returns_served_total 1") != std::string::npos);
        CHECK(metrics.find("returns_refused_total 0") != std::string::npos);
    }
}

TEST_CASE("Refused callers are forgotten", "[Gateway][RefusedCallers]")
{
    RefusedCallers callers;
    const TimePoint start{seconds(100)};
    SECTION("after the time in which callers return")
    {
        callers.onRefused({1, milliseconds(300), seconds(20)}, start);
        CHECK(callers.takeWait(1, seconds(6), start + seconds(14)) == milliseconds(14'300));
        callers.onRefused({1, milliseconds(300), seconds(20)}, start);
        CHECK_FALSE(callers.takeWait(1, seconds(4), start + seconds(16)));
    }
    SECTION("when too many were refused, the oldest first")
    {
        for (std::uint64_t fingerprint = 0; fingerprint < 100'000; ++fingerprint)
            callers.onRefused({fingerprint, {}, seconds(10)}, start + Duration(fingerprint));
        CHECK(callers.size() <= 4'096);
        CHECK_FALSE(callers.takeWait(0, seconds(10), start + milliseconds(100)));
        CHECK(callers.takeWait(99'999, seconds(10), start + milliseconds(100)));
    }
    SECTION("not if the same prompt was refused again meanwhile")
    {
        callers.onRefused({7, {}, seconds(14)}, start);
        callers.onRefused({7, seconds(1), seconds(13)}, start + seconds(1));
        callers.onRefused({8, {}, seconds(14)}, start + seconds(15));
        CHECK(callers.takeWait(7, seconds(12), start + seconds(2)) == seconds(2));
    }
}
