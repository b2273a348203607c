#include "coordination/request_controller.h"

#include "support/controller_bench.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sstream>

using namespace dotterel;
using namespace dotterel::support;

namespace {

constexpr std::uint64_t AnswerTokens = 6;

std::string wholeText(const RequestId &request)
{
    std::string text;
    for (std::uint64_t index = 0; index < AnswerTokens; ++index)
        text += tokenText(request, index);
    return text;
}

/// Plays one random event on \a attempt of \a bench, or a foreign one on its connection.
void playEvent(ControllerBench &bench, std::map<AttemptId, std::uint64_t> &sentTokens)
{
    const auto pick = [](int bound) { return *rc::gen::inRange(0, bound); };
    const ControllerBench::Sent sent =
            bench.sent[static_cast<std::size_t>(pick(static_cast<int>(bench.sent.size())))];
    const ControllerBench::Sent other =
            bench.sent[static_cast<std::size_t>(pick(static_cast<int>(bench.sent.size())))];
    std::uint64_t &next = sentTokens.emplace(sent.attempt, sent.resumeAt).first->second;
    const RequestId foreign = other.attempt.substr(0, other.attempt.rfind('.'));
    switch (pick(12)) {
    case 0: // A token of another attempt crossed onto this connection.
        if (other.attempt != sent.attempt)
            bench.controller.onToken(sent.attempt, {other.attempt, next, tokenText(foreign, next)},
                                     bench.now);
        return;
    case 1: // A duplicate.
        if (next > 0)
            bench.token(sent.attempt, next - 1);
        return;
    case 2: // A token is lost.
        next += next < AnswerTokens ? 1 : 0;
        return;
    case 3: // The end mark of another attempt.
        if (other.attempt != sent.attempt)
            bench.controller.onAnswerEnd(sent.attempt, {other.attempt, next}, bench.now);
        return;
    case 4: // A truncated answer whose end mark says how long it was.
        bench.end(sent.attempt, AnswerTokens);
        return;
    case 5:
        bench.fail(sent.attempt, Verdict::MayHaveRun, Reason::AnswerCut);
        return;
    case 6:
        bench.pass(std::chrono::milliseconds(pick(800)));
        return;
    default:
        if (next < AnswerTokens)
            bench.token(sent.attempt, next++);
        else
            bench.end(sent.attempt, AnswerTokens);
    }
}

} // namespace

TEST_CASE("A caller gets the whole answer to its own request", "[Coordination][RequestController]")
{
    SECTION("a stream that breaks at any index is resumed there on another server")
    {
        for (std::uint64_t broken = 0; broken <= AnswerTokens; ++broken) {
            ControllerBench bench(2);
            bench.submit("r");
            const ControllerBench::Sent first = bench.last("r");
            for (std::uint64_t index = 0; index < broken; ++index)
                bench.token(first.attempt, index);
            bench.fail(first.attempt, Verdict::MayHaveRun, Reason::AnswerCut);
            const ControllerBench::Sent second = bench.last("r");
            CHECK(second.attempt != first.attempt);
            CHECK(second.server != first.server);
            CHECK(second.resumeAt == broken);
            bench.token(first.attempt, broken); // Late, and dropped.
            for (std::uint64_t index = broken; index < AnswerTokens; ++index)
                bench.token(second.attempt, index);
            bench.end(second.attempt, AnswerTokens);
            CHECK(bench.callers["r"].whole);
            CHECK(bench.callers["r"].text == wholeText("r"));
        }
    }
    SECTION("with one server the stream is resumed there")
    {
        ControllerBench bench(1);
        bench.submit("r");
        bench.fail(bench.last("r").attempt, Verdict::MayHaveRun, Reason::AnswerCut);
        REQUIRE(bench.sent.size() == 2);
        CHECK(bench.callers["r"].ends == 0);
    }
    SECTION("bytes of an ended attempt are dropped and counted")
    {
        ControllerBench bench(2);
        bench.submit("r");
        const AttemptId ended = bench.last("r").attempt;
        bench.fail(ended, Verdict::MayHaveRun, Reason::AnswerCut);
        bench.token(ended, 0);
        CHECK(bench.callers["r"].text.empty());
        CHECK(bench.metrics.counters[Counter::ForeignBytesDropped] == tokenText("r", 0).size());
    }
    SECTION("a caller that does not read holds its engine back and is given up in the end")
    {
        ControllerBench bench(2);
        bench.submit("r", "review");
        const AttemptId first = bench.last("r").attempt;
        bench.controller.onCallerBlocked("r", true, bench.now);
        CHECK(bench.paused[first]);
        // A new attempt starts held back, and silence while it is held back is no fault.
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
    SECTION("in any order of events no byte is foreign and no cut answer counts as whole")
    {
        rc::detail::TestParams parameters;
        parameters.seed = 20'261'203;
        parameters.maxSuccess = 300;
        const auto result = rc::detail::checkTestable(
                [] {
                    ControllerBench bench(3);
                    std::map<AttemptId, std::uint64_t> sentTokens;
                    for (const char *id : {"a", "b", "c"})
                        bench.submit(id);
                    const int events = *rc::gen::inRange(10, 150);
                    for (int event = 0; event < events; ++event)
                        playEvent(bench, sentTokens);
                    bench.pass(std::chrono::seconds(10));
                    for (const char *id : {"a", "b", "c"}) {
                        const CallerView &caller = bench.callers[id];
                        RC_ASSERT(caller.ends == 1);
                        RC_ASSERT(!caller.whole || caller.text == wholeText(id));
                        RC_ASSERT(wholeText(id).compare(0, caller.text.size(), caller.text) == 0);
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
