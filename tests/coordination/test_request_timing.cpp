#include "support/controller_bench.h"
#include "support/fleet.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using namespace std::chrono_literals;

TEST_CASE("Every admitted request ends by its deadline", "[Coordination][RequestController]")
{
    ControllerBench bench(3);
    const TimePoint deadline = bench.now + 10s;
    const auto checkEndsAtDeadline = [&](const RequestId &id, Verdict verdict) {
        bench.pass(deadline - bench.now - 1us);
        CHECK(bench.callers[id].ends == 0);
        bench.pass(1us);
        REQUIRE(bench.callers[id].ends == 1);
        CHECK(bench.callers[id].failure->reason == Reason::DeadlineExceeded);
        CHECK(bench.callers[id].failure->verdict == verdict);
        CHECK(bench.callers[id].failure->retryAfter);
        CHECK(bench.controller.inFlight() == 0);
        CHECK_FALSE(bench.controller.nextTimer());
    };

    SECTION("while the claim of an order is pending; a claim granted later is released")
    {
        bench.submit("r", "order");
        checkEndsAtDeadline("r", Verdict::NotRun);
        bench.controller.onClaimSettled("r", {ClaimResult::Claimed, {}}, bench.now);
        CHECK(bench.sent.empty());
        REQUIRE(bench.released.size() == 1);
        CHECK(bench.released.front().request == "r");
    }
    SECTION("while an order runs; it is not sent again")
    {
        bench.submit("r", "order");
        bench.controller.onClaimSettled("r", {ClaimResult::Claimed, {}}, bench.now);
        checkEndsAtDeadline("r", Verdict::MayHaveRun);
        CHECK(bench.sent.size() == 1);
        CHECK(bench.released.empty());
    }
    SECTION("while no server sends a first token")
    {
        bench.submit("r");
        checkEndsAtDeadline("r", Verdict::MayHaveRun);
        CHECK(bench.cancelled.size() == bench.sent.size());
    }
    SECTION("in the middle of a stream with one token per second")
    {
        bench.submit("r");
        for (std::uint64_t index = 0; index < 9; ++index) {
            bench.token(bench.last("r").attempt, index);
            bench.pass(1s);
        }
        checkEndsAtDeadline("r", Verdict::MayHaveRun);
        CHECK(bench.sent.size() == 1);
    }
    SECTION("while its caller is stalled")
    {
        bench.submit("r");
        bench.pass(1s);
        bench.controller.onCallerBlocked("r", true, bench.now);
        checkEndsAtDeadline("r", Verdict::MayHaveRun);
    }
}

TEST_CASE("A silent server does not use up the deadline", "[Coordination][RequestController]")
{
    SECTION("a first-token timeout moves an idempotent request to another server")
    {
        ControllerBench bench(3);
        bench.submit("r");
        const ControllerBench::Sent first = bench.last("r");
        bench.pass(3s);
        const ControllerBench::Sent second = bench.last("r");
        REQUIRE(second.attempt != first.attempt);
        CHECK(second.server != first.server);
        CHECK(bench.cancelled == std::vector<AttemptId>{first.attempt});
        CHECK(bench.metrics.retries[RetryReason::FirstTokenTimeout] == 1);
        CHECK(bench.directory.state(first.server, bench.now - 1s) == ServerState::Down);
    }
    SECTION("a token timeout resumes the stream on another server, even after a slow first token")
    {
        ControllerBench bench(3);
        bench.placement.predicted = 20s;
        bench.submit("r", "review", 800'000);
        bench.pass(1s);
        const ControllerBench::Sent first = bench.last("r");
        bench.token(first.attempt, 0);
        bench.pass(5s);
        CHECK(bench.last("r").attempt != first.attempt);
        CHECK(bench.last("r").resumeAt == 1);
        CHECK(bench.metrics.retries[RetryReason::TokenTimeout] == 1);
    }
    SECTION("a server that still sends tokens to other requests is not marked down")
    {
        ControllerBench bench(2);
        bench.submit("r");
        bench.submit("other");
        const ServerId server = bench.last("r").server;
        bench.pass(1s);
        bench.token(bench.last("other").attempt, 0);
        bench.pass(1500ms);
        CHECK(bench.last("r").server != server);
        CHECK(bench.directory.state(server, bench.now) == ServerState::Up);
    }
    SECTION("without another server or enough time for a retry, the attempt continues")
    {
        ControllerBench singleServer(1);
        singleServer.submit("r");
        singleServer.pass(9s);
        CHECK(singleServer.sent.size() == 1);
        ControllerBench shortOfTime(2);
        shortOfTime.placement.predicted = 5s;
        shortOfTime.submit("r");
        shortOfTime.pass(9s);
        CHECK(shortOfTime.sent.size() == 1);
        CHECK(shortOfTime.cancelled.empty());
    }
}

TEST_CASE("Retries stay within the retry budget", "[Coordination][RequestController]")
{
    RequestLimits limits;
    limits.retryReserveTokens = 5'000;
    ControllerBench bench(3, limits);
    constexpr std::size_t Requests = 1'000;

    SECTION("mass failures exhaust the budget and are refused and counted")
    {
        for (std::size_t i = 0; i < Requests; ++i) {
            const RequestId id = "r" + std::to_string(i);
            bench.submit(id);
            while (bench.callers[id].ends == 0)
                bench.fail(bench.last(id).attempt, Verdict::MayHaveRun, Reason::AnswerCut);
        }
        // The reserve is worth 5 requests of 1,000 tokens.
        CHECK(bench.sent.size() <= Requests + Requests / 10 + 5);
        CHECK(bench.sent.size() > Requests + Requests / 20);
        CHECK(bench.metrics.refusals[Reason::RetryBudgetExhausted] > 0);
        CHECK(bench.callers["r999"].failure->retryAfter);
    }
    SECTION("silent attempts are not retried once the budget is exhausted")
    {
        for (std::size_t i = 0; i < Requests; ++i)
            bench.submit("r" + std::to_string(i));
        bench.pass(10s);
        CHECK(bench.sent.size() <= Requests + Requests / 10 + 5);
        CHECK(bench.metrics.counters[Counter::RetriesWithheld] > 0);
        CHECK(bench.controller.inFlight() == 0);
    }
    SECTION("attempts that did not run consume no budget")
    {
        for (std::size_t i = 0; i < Requests; ++i) {
            const RequestId id = "r" + std::to_string(i);
            bench.submit(id);
            bench.fail(bench.last(id).attempt, Verdict::NotRun, Reason::BackendRefused);
        }
        CHECK(bench.sent.size() == 2 * Requests);
    }
}

TEST_CASE("A request is moved from a frozen engine in time", "[EntryHost][EntryHost]")
{
    FleetShape shape;
    shape.hosts = 1;
    Fleet fleet(shape);
    fakes::EngineBehaviour frozenBehaviour;
    SECTION("before its first token")
    {
        frozenBehaviour.prefillTokensPerSecond = 1;
    }
    SECTION("between tokens")
    {
        frozenBehaviour.tokenInterval = 1h;
    }
    fleet.engine(0).setBehaviour(frozenBehaviour);
    std::size_t requestCount = 0;
    while (fleet.engine(0).started() == 0 && ++requestCount < 50) {
        const TimePoint sentAt = fleet.eventLoop().now();
        const std::optional<HttpResponse> answer = fleet.ask(0, 1'000);
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(answer->body.find("data: [DONE]") != std::string::npos);
        CHECK(fleet.eventLoop().now() - sentAt < 8s);
    }
    CHECK(fleet.engine(0).started() == 1);
}
