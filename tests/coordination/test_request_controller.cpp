#include "coordination/request_controller.h"

#include "support/controller_bench.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sstream>

using namespace dotterel;
using namespace dotterel::support;

namespace {

constexpr std::uint64_t AnswerTokens = 6;

std::string fullAnswer(const RequestId &request)
{
    std::string text;
    for (std::uint64_t index = 0; index < AnswerTokens; ++index)
        text += tokenText(request, index);
    return text;
}

/// Applies one random event to a random attempt of \a bench: the next token, a lost or duplicate
/// token, an event of another attempt on the same connection, a failure or a delay.
void applyRandomEvent(ControllerBench &bench, std::map<AttemptId, std::uint64_t> &nextTokens)
{
    const auto randomBelow = [](int bound) { return *rc::gen::inRange(0, bound); };
    const ControllerBench::Sent sent =
            bench.sent[static_cast<std::size_t>(randomBelow(static_cast<int>(bench.sent.size())))];
    const ControllerBench::Sent otherAttempt =
            bench.sent[static_cast<std::size_t>(randomBelow(static_cast<int>(bench.sent.size())))];
    std::uint64_t &next = nextTokens.emplace(sent.attempt, sent.resumeAt).first->second;
    const RequestId foreignRequest =
            otherAttempt.attempt.substr(0, otherAttempt.attempt.rfind('.'));
    switch (randomBelow(12)) {
    case 0: // A token of another attempt arrives on this connection.
        if (otherAttempt.attempt != sent.attempt)
            bench.controller.onToken(sent.attempt,
                                     {otherAttempt.attempt, next, tokenText(foreignRequest, next)},
                                     bench.now);
        return;
    case 1: // A duplicate token.
        if (next > 0)
            bench.token(sent.attempt, next - 1);
        return;
    case 2: // A lost token.
        next += next < AnswerTokens ? 1 : 0;
        return;
    case 3: // The end event of another attempt.
        if (otherAttempt.attempt != sent.attempt)
            bench.controller.onAnswerEnd(sent.attempt, {otherAttempt.attempt, next}, bench.now);
        return;
    case 4: // A truncated answer, whose end event carries the full token count.
        bench.end(sent.attempt, AnswerTokens);
        return;
    case 5:
        bench.fail(sent.attempt, Verdict::MayHaveRun, Reason::AnswerCut);
        return;
    case 6:
        bench.pass(std::chrono::milliseconds(randomBelow(800)));
        return;
    default:
        if (next < AnswerTokens)
            bench.token(sent.attempt, next++);
        else
            bench.end(sent.attempt, AnswerTokens);
    }
}

} // namespace

TEST_CASE("A caller receives the complete answer to its own request",
          "[Coordination][RequestController]")
{
    SECTION("a stream that fails at any index is resumed there on another server")
    {
        for (std::uint64_t failIndex = 0; failIndex <= AnswerTokens; ++failIndex) {
            ControllerBench bench(2);
            bench.submit("r");
            const ControllerBench::Sent first = bench.last("r");
            for (std::uint64_t index = 0; index < failIndex; ++index)
                bench.token(first.attempt, index);
            bench.fail(first.attempt, Verdict::MayHaveRun, Reason::AnswerCut);
            const ControllerBench::Sent second = bench.last("r");
            CHECK(second.attempt != first.attempt);
            CHECK(second.server != first.server);
            CHECK(second.resumeAt == failIndex);
            bench.token(first.attempt, failIndex); // Late token, which is discarded.
            for (std::uint64_t index = failIndex; index < AnswerTokens; ++index)
                bench.token(second.attempt, index);
            bench.end(second.attempt, AnswerTokens);
            CHECK(bench.callers["r"].whole);
            CHECK(bench.callers["r"].text == fullAnswer("r"));
        }
    }
    SECTION("with a single server the stream is resumed on the same server")
    {
        ControllerBench bench(1);
        bench.submit("r");
        bench.fail(bench.last("r").attempt, Verdict::MayHaveRun, Reason::AnswerCut);
        REQUIRE(bench.sent.size() == 2);
        CHECK(bench.callers["r"].ends == 0);
    }
    SECTION("bytes of an attempt that has ended are discarded and counted")
    {
        ControllerBench bench(2);
        bench.submit("r");
        const AttemptId endedAttempt = bench.last("r").attempt;
        bench.fail(endedAttempt, Verdict::MayHaveRun, Reason::AnswerCut);
        bench.token(endedAttempt, 0);
        CHECK(bench.callers["r"].text.empty());
        CHECK(bench.metrics.counters[Counter::ForeignBytesDropped] == tokenText("r", 0).size());
    }
    SECTION("a stalled caller pauses its engine and is refused after the stall timeout")
    {
        ControllerBench bench(2);
        bench.submit("r", "review");
        const AttemptId first = bench.last("r").attempt;
        bench.controller.onCallerBlocked("r", true, bench.now);
        CHECK(bench.paused[first]);
        // A new attempt starts paused, and does not time out while it is paused.
        bench.fail(first, Verdict::MayHaveRun, Reason::AnswerCut);
        const AttemptId second = bench.last("r").attempt;
        CHECK(bench.paused[second]);
        bench.pass(std::chrono::seconds(9));
        bench.controller.onCallerBlocked("r", false, bench.now);
        CHECK_FALSE(bench.paused[second]);
        CHECK(bench.callers["r"].ends == 0);
        bench.controller.onCallerBlocked("r", true, bench.now);
        bench.pass(std::chrono::seconds(10));
        REQUIRE(bench.callers["r"].failure);
        CHECK(bench.callers["r"].failure->reason == Reason::CallerTooSlow);
        CHECK(bench.cancelled.back() == second);
    }
    SECTION("no order of events delivers foreign bytes or completes a truncated answer")
    {
        rc::detail::TestParams parameters;
        parameters.seed = 20'261'203;
        parameters.maxSuccess = 300;
        const auto result = rc::detail::checkTestable(
                [] {
                    ControllerBench bench(3);
                    std::map<AttemptId, std::uint64_t> nextTokens;
                    for (const char *id : {"a", "b", "c"})
                        bench.submit(id);
                    const int events = *rc::gen::inRange(10, 150);
                    for (int event = 0; event < events; ++event)
                        applyRandomEvent(bench, nextTokens);
                    bench.pass(std::chrono::seconds(10));
                    for (const char *id : {"a", "b", "c"}) {
                        const CallerView &caller = bench.callers[id];
                        RC_ASSERT(caller.ends == 1);
                        RC_ASSERT(!caller.whole || caller.text == fullAnswer(id));
                        RC_ASSERT(fullAnswer(id).compare(0, caller.text.size(), caller.text) == 0);
                    }
                    RC_ASSERT(bench.controller.inFlight() == 0U);
                },
                rc::detail::TestMetadata(), parameters);
        std::ostringstream description;
        rc::detail::printResultMessage(result, description);
        INFO(description.str());
        CHECK(result.is<rc::detail::SuccessResult>());
    }
}
