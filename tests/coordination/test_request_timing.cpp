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
    const auto endsByDeadline = [&](const RequestId &id, Verdict verdict) {
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

    SECTION("while an order waits for the platform; a claim that comes later is given back")
    {
        bench.submit("r", "order");
        endsByDeadline("r", Verdict::NotRun);
        bench.controller.onClaimSettled("r", {ClaimResult::Claimed, {}}, bench.now);
        CHECK(bench.sent.empty());
        REQUIRE(bench.released.size() == 1);
        CHECK(bench.released.front().request == "r");
    }
    SECTION("while an order runs, which is never sent twice")
    {
        bench.submit("r", "order");
        bench.controller.onClaimSettled("r", {ClaimResult::Claimed, {}}, bench.now);
        endsByDeadline("r", Verdict::MayHaveRun);
        CHECK(bench.sent.size() == 1);
        CHECK(bench.released.empty());
    }
    SECTION("while no server sends a first token")
    {
        bench.submit("r");
        endsByDeadline("r", Verdict::MayHaveRun);
        CHECK(bench.cancelled.size() == bench.sent.size());
    }
    SECTION("in mid-stream, with a token every second")
    {
        bench.submit("r");
        for (std::uint64_t index = 0; index < 9; ++index) {
            bench.token(bench.last("r").attempt, index);
            bench.pass(1s);
        }
        endsByDeadline("r", Verdict::MayHaveRun);
        CHECK(bench.sent.size() == 1);
    }
    SECTION("while its caller does not read")
    {
        bench.submit("r");
        bench.pass(1s);
        bench.controller.onCallerBlocked("r", true, bench.now);
        endsByDeadline("r", Verdict::MayHaveRun);
    }
}

TEST_CASE("A silent server does not eat the deadline", "[Coordination][RequestController]")
{
    SECTION("a late first token sends an idempotent request elsewhere")
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
    SECTION("silence between tokens resumes the stream elsewhere, also after a long first wait")
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
    SECTION("a slow server that still answers others is not marked down")
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
    SECTION("with no other server, or too little time for another try, the attempt goes on")
    {
        ControllerBench alone(1);
        alone.submit("r");
        alone.pass(9s);
        CHECK(alone.sent.size() == 1);
        ControllerBench late(2);
        late.placement.predicted = 5s;
        late.submit("r");
        late.pass(9s);
        CHECK(late.sent.size() == 1);
        CHECK(late.cancelled.empty());
    }
}

TEST_CASE("Retries never raise the work above their budget", "[Coordination][RequestController]")
{
    RequestLimits limits;
    limits.retryReserve = 5'000;
    ControllerBench bench(3, limits);
    constexpr std::size_t Requests = 1'000;

    SECTION("a storm of broken answers is refused by the budget, and counted")
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
    SECTION("silent servers are waited for once the budget is spent")
    {
        for (std::size_t i = 0; i < Requests; ++i)
            bench.submit("r" + std::to_string(i));
        bench.pass(10s);
        CHECK(bench.sent.size() <= Requests + Requests / 10 + 5);
        CHECK(bench.metrics.counters[Counter::RetriesWithheld] > 0);
        CHECK(bench.controller.inFlight() == 0);
    }
    SECTION("attempts that did not run cost nothing")
    {
        for (std::size_t i = 0; i < Requests; ++i) {
            const RequestId id = "r" + std::to_string(i);
            bench.submit(id);
            bench.fail(bench.last(id).attempt, Verdict::NotRun, Reason::BackendRefused);
        }
        CHECK(bench.sent.size() == 2 * Requests);
    }
}

TEST_CASE("A frozen engine is left in time", "[EntryHost][EntryHost]")
{
    FleetShape shape;
    shape.hosts = 1;
    Fleet fleet(shape);
    fakes::EngineBehaviour frozen;
    SECTION("before its first token")
    {
        frozen.prefillTokensPerSecond = 1;
    }
    SECTION("between tokens")
    {
        frozen.tokenInterval = 1h;
    }
    fleet.engine(0).setBehaviour(frozen);
    std::size_t asked = 0;
    while (fleet.engine(0).started() == 0 && ++asked < 50) {
        const TimePoint sent = fleet.eventLoop().now();
        const std::optional<HttpResponse> answer = fleet.ask(0, 1'000);
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(answer->body.find("data: [DONE]") != std::string::npos);
        CHECK(fleet.eventLoop().now() - sent < 8s);
    }
    CHECK(fleet.engine(0).started() == 1);
}
