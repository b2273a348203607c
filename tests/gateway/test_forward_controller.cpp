#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

const HttpHeaders Signed = {{"Signed", "s"}};
const HttpHeaders NotRun = {{"Not-Run", "1"}};

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

} // namespace

TEST_CASE("A request is forwarded according to its route and API key",
          "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");

    SECTION("the request is unchanged except for the headers of the gateway")
    {
        const HttpCallId call = bench.request("/orders/7?x=%20", {{"Patience-Ms", "900"}});
        REQUIRE(bench.sentAttempts.size() == 1);
        const SentAttempt &attempt = bench.sentAttempts[0];
        CHECK(attempt.request.target == "/orders/7?x=%20");
        CHECK(*attempt.request.body == "body");
        CHECK(attempt.header("Workspace") == "cakes");
        CHECK(attempt.header("Server") == "app-1");
        CHECK(attempt.header("Left-Ms") == "900");
        CHECK(attempt.header("Key").empty());
        bench.respond(0, 200, Signed, "done");
        CHECK(bench.outcome(call).status == 200);
        CHECK(bench.outcome(call).body == "done");
        CHECK(bench.controller.inFlight() == 0);
    }
    SECTION("unknown routes and keys are refused without an attempt")
    {
        CHECK(bench.outcome(bench.request("/nothing/")).status == 404);
        CHECK(bench.outcome(bench.request("/orders/", {{"Key", "stolen"}})).status == 401);
        CHECK(bench.sentAttempts.empty());
    }
    SECTION("an open route needs no API key")
    {
        bench.configuration.routes[0].allowsAnonymous = true;
        bench.applyConfiguration();
        bench.request("/orders/", {{"Key", "unknown"}});
        REQUIRE(bench.sentAttempts.size() == 1);
        CHECK(bench.sentAttempts[0].header("Workspace").empty());
    }
    SECTION("requests are refused with a retry delay until there is a configuration")
    {
        bench.controller.setRouteTable(std::make_shared<RouteTable>());
        const HttpCallId call = bench.request("/orders/");
        CHECK(bench.outcome(call).status == 503);
        CHECK(findHeader(bench.outcome(call).headers, "Retry-After-Ms") != nullptr);
    }
}

TEST_CASE("A request of an at-most-once route is not retried after it may have run",
          "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    bench.addServer("app-2", "app");
    const HttpCallId call = bench.request("/orders/");
    REQUIRE(bench.sentAttempts.size() == 1);
    CHECK(bench.sentAttempts[0].request.requireNewConnection);

    SECTION("a lost response gives 502 without a retry delay")
    {
        bench.failAttempt(0, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
        CHECK(bench.outcome(call).status == 502);
        CHECK(findHeader(bench.outcome(call).headers, "Retry-After-Ms") == nullptr);
        CHECK(bench.sentAttempts.size() == 1);
    }
    SECTION("a refusal that guarantees that the request has not run gives 503")
    {
        bench.respond(0, 503, NotRun, "");
        CHECK(bench.outcome(call).status == 503);
        CHECK(findHeader(bench.outcome(call).headers, "Retry-After-Ms") != nullptr);
        CHECK(bench.sentAttempts.size() == 1);
    }
    SECTION("a failed connect is retried at another server, as nothing was sent")
    {
        bench.failAttempt(0, HttpFailureKind::ConnectFailed, Verdict::NotRun);
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(bench.sentAttempts[1].header("Server") != bench.sentAttempts[0].header("Server"));
        bench.respond(1, 200, Signed, "done");
        CHECK(bench.outcome(call).status == 200);
    }
    SECTION("an error response of the server is forwarded unchanged")
    {
        bench.respond(0, 500, Signed, "broken");
        CHECK(bench.outcome(call).status == 500);
        CHECK(bench.outcome(call).body == "broken");
    }
    SECTION("a 503 without the not-run header is replaced by 502")
    {
        bench.respond(0, 503, Signed, "");
        CHECK(bench.outcome(call).status == 502);
    }
    SECTION("an unsigned response is replaced by 502")
    {
        bench.respond(0, 200, {}, "forged");
        CHECK(bench.outcome(call).status == 502);
        CHECK(bench.outcome(call).body.empty());
    }
    SECTION("it ends with 504 exactly at its deadline, and the attempt is cancelled")
    {
        bench.advanceTime(milliseconds(1'999));
        CHECK(bench.outcome(call).status == 0);
        bench.advanceTime(milliseconds(1));
        CHECK(bench.outcome(call).status == 504);
        CHECK(bench.sentAttempts[0].cancelled);
    }
    SECTION("the attempt is cancelled when the caller disconnects")
    {
        bench.controller.onCallerDisconnected(call, bench.now);
        CHECK(bench.sentAttempts[0].cancelled);
        CHECK(bench.controller.inFlight() == 0);
    }
}

TEST_CASE("A request of an idempotent route is retried at another server",
          "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    bench.addServer("app-2", "app");
    const HttpCallId call = bench.request("/lookups/");

    SECTION("after a failed, invalid or lost response")
    {
        SECTION("error status")
        {
            bench.respond(0, 500, Signed, "");
        }
        SECTION("missing signature")
        {
            bench.respond(0, 200, {}, "forged");
        }
        SECTION("unexpected content encoding")
        {
            bench.respond(0, 200, {{"Signed", "s"}, {"Content-Encoding", "br"}}, "x");
        }
        SECTION("connection lost in the middle of the response")
        {
            bench.failAttempt(0, HttpFailureKind::ResponseTruncated, Verdict::MayHaveRun);
        }
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(bench.sentAttempts[1].header("Server") != bench.sentAttempts[0].header("Server"));
        bench.respond(1, 200, Signed, "whole");
        CHECK(bench.outcome(call).body == "whole");
    }
    SECTION("a stale idle connection does not count as an attempt")
    {
        bench.failAttempt(0, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun, true);
        REQUIRE(bench.sentAttempts.size() == 2);
        bench.failAttempt(1, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
        CHECK(bench.sentAttempts.size() == 3);
    }
    SECTION("after the inactivity limit, if a retry is allowed")
    {
        bench.advanceTime(milliseconds(700));
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(bench.sentAttempts[0].cancelled);
        SECTION("the last attempt may stay inactive until the deadline without the timer firing in "
                "a loop")
        {
            bench.advanceTime(milliseconds(1'200));
            CHECK(bench.sentAttempts.size() == 2);
            CHECK(bench.controller.inFlight() == 1);
            bench.advanceTime(milliseconds(200));
            CHECK(bench.outcome(call).status == 504);
        }
    }
    SECTION("up to the maximum of the route, then the last error is forwarded")
    {
        bench.respond(0, 500, Signed, "first");
        bench.respond(1, 500, Signed, "second");
        CHECK(bench.sentAttempts.size() == 2);
        CHECK(bench.outcome(call).status == 500);
        CHECK(bench.outcome(call).body == "second");
    }
    SECTION("only within the retry budget shared by all hosts")
    {
        bench.retryBudget.setLimits({0.0, 2.0, std::chrono::seconds(10)});
        bench.retryBudget.setHostCount(9);
        std::size_t retries = 0;
        for (int requestNumber = 0; requestNumber < 20; ++requestNumber) {
            const std::size_t index = bench.sentAttempts.size();
            bench.request("/lookups/");
            bench.respond(index, 500, Signed, "");
            if (bench.sentAttempts.size() > index + 1) {
                ++retries;
                bench.respond(index + 1, 200, Signed, "");
            }
        }
        CHECK(retries <= 5);
    }
}

TEST_CASE("A stream is forwarded event by event", "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("engine-1", "engines");
    bench.addServer("engine-2", "engines");
    const HttpCallId call = bench.request("/questions/", {{"Tokens", "5000,1300"}});
    REQUIRE(bench.sentAttempts.size() == 1);
    const ForwardAttemptId first = bench.sentAttempts[0].id;
    bench.controller.onAttemptHead(first, 200, Signed, bench.now);

    SECTION("each event is forwarded as soon as it is complete")
    {
        bench.controller.onAttemptData(first, eventText(1) + "id: 2\nda", bench.now);
        CHECK(bench.outcome(call).body == eventText(1));
        bench.controller.onAttemptData(first, "ta: x\n\n", bench.now);
        bench.controller.onAttemptComplete(first, bench.now);
        CHECK(bench.outcome(call).body == eventText(1) + eventText(2));
        CHECK(bench.outcome(call).ended);
    }
    SECTION("an interrupted stream resumes at another server after the last complete event")
    {
        bench.controller.onAttemptData(first, eventText(1) + eventText(2) + "id: 3\nda", bench.now);
        bench.failAttempt(0, HttpFailureKind::ResponseTruncated, Verdict::MayHaveRun);
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(bench.sentAttempts[1].header("After") == "2");
        bench.respond(1, 200, Signed, eventText(2) + eventText(3));
        CHECK(bench.outcome(call).body == eventText(1) + eventText(2) + eventText(3));
        CHECK(bench.outcome(call).ended);
        CHECK_FALSE(bench.outcome(call).aborted);
    }
    SECTION("an attempt that becomes inactive between two events")
    {
        bench.controller.onAttemptData(first, eventText(1), bench.now);
        SECTION("is kept while the retry budget is exhausted")
        {
            bench.retryBudget.setLimits({0.0, 0.0, std::chrono::seconds(10)});
            bench.retryBudget.tryConsume("engines", bench.now);
            bench.advanceTime(std::chrono::seconds(5));
            CHECK(bench.sentAttempts.size() == 1);
            CHECK_FALSE(bench.outcome(call).aborted);
        }
        SECTION("is replaced before the caller gives up, even if the other server is busy")
        {
            bench.grantsMemory = true;
            bench.request("/archives/", {{"Tokens", "300000,700"}});
            bench.request("/archives/", {{"Tokens", "300000,700"}});
            const std::size_t sentBefore = bench.sentAttempts.size();
            bench.advanceTime(milliseconds(1'500));
            CHECK(bench.sentAttempts.size() == sentBefore);
            bench.advanceTime(milliseconds(200));
            CHECK(bench.sentAttempts.size() == sentBefore + 1);
            CHECK_FALSE(bench.outcome(call).aborted);
            CHECK(bench.sentAttempts.back().header("After") == "1");
        }
    }
    SECTION("the response is aborted, not ended, if no retry is left")
    {
        bench.controller.onAttemptData(first, eventText(1), bench.now);
        bench.failAttempt(0, HttpFailureKind::ResponseTruncated, Verdict::MayHaveRun);
        bench.failAttempt(1, HttpFailureKind::ResponseTruncated, Verdict::MayHaveRun);
        CHECK(bench.outcome(call).aborted);
        CHECK_FALSE(bench.outcome(call).ended);
    }
    SECTION("reading from the server pauses while the caller does not read")
    {
        bench.queuedBytes = 1'000'000;
        bench.controller.onAttemptData(first, eventText(1), bench.now);
        CHECK(bench.pauseCalls == std::vector<bool>{true});
        bench.controller.onCallerDrained(call, bench.now);
        CHECK(bench.pauseCalls == std::vector<bool>{true, false});
    }
    SECTION("a host that joins is told of it with its age, until it ends")
    {
        bench.advanceTime(milliseconds(20));
        std::vector<RunningPrompt> running = bench.controller.runningPrompts(bench.now);
        REQUIRE(running.size() == 1);
        CHECK(running[0].age == milliseconds(20));
        CHECK(running[0].prefillLeft > Duration::zero());
        CHECK(running[0].dispatch.sequence == bench.promptUpdates[0].sequence);
        bench.controller.onAttemptData(first, eventText(1), bench.now);
        running = bench.controller.runningPrompts(bench.now);
        REQUIRE(running.size() == 1);
        CHECK(running[0].prefillLeft == Duration::zero());
        bench.controller.onAttemptComplete(first, bench.now);
        CHECK(bench.controller.runningPrompts(bench.now).empty());
    }
    SECTION("the other hosts are informed of its dispatch, first event and end")
    {
        bench.controller.onAttemptData(first, eventText(1), bench.now);
        bench.controller.onAttemptComplete(first, bench.now);
        REQUIRE(bench.promptUpdates.size() == 3);
        CHECK(bench.promptUpdates[0].kind == PromptUpdateKind::Dispatched);
        CHECK(bench.promptUpdates[0].demand.promptTokens == 5'000);
        CHECK(bench.promptUpdates[1].kind == PromptUpdateKind::FirstEvent);
        CHECK(bench.promptUpdates[2].kind == PromptUpdateKind::Ended);
    }
}

TEST_CASE("A request that crashes servers is refused after three crashes",
          "[Gateway][ForwardController]")
{
    ForwardBench bench;
    for (const char *id : {"app-1", "app-2", "app-3", "app-4"})
        bench.addServer(id, "app");
    for (int requestNumber = 0; requestNumber < 4; ++requestNumber) {
        const std::size_t index = bench.sentAttempts.size();
        bench.request("/lookups/", {}, "poison");
        if (bench.sentAttempts.size() > index)
            bench.failAttempt(index, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
        if (bench.sentAttempts.size() > index + 1)
            bench.failAttempt(index + 1, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
    }
    CHECK(bench.sentAttempts.size() == 3);
    CHECK(bench.crashNotices.size() == 3);
    SECTION("with 503, since the refused request has not run")
    {
        const HttpCallId call = bench.request("/lookups/", {}, "poison");
        CHECK(bench.outcome(call).status == 503);
    }
    SECTION("other requests are still forwarded")
    {
        bench.request("/lookups/", {}, "harmless");
        CHECK(bench.sentAttempts.size() == 4);
    }
}

TEST_CASE("Latency metrics cover responses, refusals and streams", "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    bench.addServer("engine-1", "engines");
    const auto hasMetric = [&bench](const std::string &line) {
        return bench.metrics.text().find(line) != std::string::npos;
    };

    SECTION("time to the complete response")
    {
        bench.request("/orders/");
        bench.advanceTime(milliseconds(300));
        bench.respond(0, 200, Signed, "done");
        CHECK(hasMetric("dotterel_request_seconds_count{span=\"answer\"} 1"));
        CHECK(hasMetric("dotterel_request_seconds_sum{span=\"answer\"} 0.3"));
        CHECK(hasMetric("dotterel_request_seconds_count{span=\"refusal\"} 0"));
    }
    SECTION("time to the refusal")
    {
        bench.request("/nothing/");
        CHECK(hasMetric("dotterel_request_seconds_count{span=\"refusal\"} 1"));
    }
    SECTION("time to the first event and longest gap between two events")
    {
        bench.request("/questions/", {{"Tokens", "5000,100"}});
        REQUIRE(bench.sentAttempts.size() == 1);
        bench.advanceTime(milliseconds(200));
        bench.controller.onAttemptHead(bench.sentAttempts[0].id, 200, Signed, bench.now);
        bench.controller.onAttemptData(bench.sentAttempts[0].id, eventText(1), bench.now);
        bench.advanceTime(milliseconds(100));
        bench.controller.onAttemptData(bench.sentAttempts[0].id, eventText(2), bench.now);
        bench.controller.onAttemptComplete(bench.sentAttempts[0].id, bench.now);
        CHECK(hasMetric("dotterel_first_token_seconds_sum{prompt_tokens=\"4k-16k\"} 0.2"));
        CHECK(hasMetric("dotterel_request_seconds_sum{span=\"longest_pause\"} 0.1"));
    }
}

TEST_CASE("Requests that outlive the grace period of their host end with a verdict",
          "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    const HttpCallId call = bench.request("/orders/1");
    REQUIRE(bench.sentAttempts.size() == 1);
    bench.controller.endAll(bench.now);
    CHECK(bench.outcome(call).ended);
    CHECK(bench.outcome(call).status == 504);
    CHECK(bench.sentAttempts[0].cancelled);
    CHECK(bench.controller.inFlight() == 0);
}
