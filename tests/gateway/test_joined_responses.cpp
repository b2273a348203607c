// Responses of two runs must never reach a caller as one.

#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

const HttpHeaders Signed = {{"Signed", "s"}};
/// More than the gateway holds back until a response is complete.
const std::string LongPart(300'000, 'x');

/// A bench with two engines, and a stream whose response the first of them has begun.
struct StreamBench : ForwardBench
{
    StreamBench()
    {
        this->addServer("engine-1", "engines");
        this->addServer("engine-2", "engines");
        this->call = this->request("/questions/", {{"Tokens", "5000,1300"}});
        this->first = this->sentAttempts[0].id;
        this->controller.onAttemptHead(this->first, 200, Signed, this->now);
    }

    HttpCallId call = 0;
    ForwardAttemptId first = 0;
};

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

} // namespace

TEST_CASE("A plain answer that has begun is not followed by another run",
          "[Gateway][JoinedResponses]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    bench.addServer("app-2", "app");
    const HttpCallId call = bench.request("/lookups/");
    const ForwardAttemptId first = bench.sentAttempts[0].id;
    bench.controller.onAttemptHead(first, 200, Signed, bench.now);
    bench.controller.onAttemptData(first, LongPart, bench.now);
    REQUIRE(bench.outcome(call).body == LongPart);

    SECTION("its server resets the connection")
    {
        bench.failAttempt(0, HttpFailureKind::ResponseTruncated, Verdict::MayHaveRun);
        CHECK(bench.sentAttempts.size() == 1);
        CHECK(bench.outcome(call).aborted);
    }
    SECTION("its server falls silent until the deadline")
    {
        bench.advanceTime(std::chrono::seconds(3));
        CHECK(bench.sentAttempts.size() == 1);
        CHECK(bench.outcome(call).aborted);
    }
    CHECK_FALSE(bench.outcome(call).ended);
    CHECK(bench.outcome(call).body == LongPart);
}

TEST_CASE("A stream whose events have no ids is not begun again", "[Gateway][JoinedResponses]")
{
    StreamBench bench;
    bench.controller.onAttemptData(bench.first, "data: x\n\n", bench.now);
    bench.failAttempt(0, HttpFailureKind::ResponseTruncated, Verdict::MayHaveRun);
    CHECK(bench.sentAttempts.size() == 1);
    CHECK(bench.outcome(bench.call).aborted);
    CHECK(bench.outcome(bench.call).body == "data: x\n\n");
}

TEST_CASE("An error answer to a resumed stream does not complete it", "[Gateway][JoinedResponses]")
{
    for (const int status : {302, 400, 404, 413, 500, 503}) {
        StreamBench bench;
        bench.controller.onAttemptData(bench.first, eventText(1), bench.now);
        bench.failAttempt(0, HttpFailureKind::ResponseTruncated, Verdict::MayHaveRun);
        CAPTURE(status);
        REQUIRE(bench.sentAttempts.size() == 2);
        bench.respond(1, status, Signed, "no");
        CHECK_FALSE(bench.outcome(bench.call).ended);
        CHECK(bench.outcome(bench.call).aborted);
        CHECK(bench.outcome(bench.call).body == eventText(1));
    }
}

TEST_CASE("A response without a body completed a stream that had broken off",
          "[Gateway][JoinedResponses]")
{
    StreamBench bench;
    bench.controller.onAttemptData(bench.first, eventText(1), bench.now);
    bench.failAttempt(0, HttpFailureKind::ResponseTruncated, Verdict::MayHaveRun);
    REQUIRE(bench.sentAttempts.size() == 2);

    SECTION("204 is no event stream")
    {
        bench.respond(1, 204, Signed, "");
        CHECK_FALSE(bench.outcome(bench.call).ended);
        CHECK(bench.outcome(bench.call).aborted);
    }
    SECTION("a last chunk without an event ends a stream that broke off after its last event")
    {
        bench.respond(1, 200, {{"Signed", "s"}, {"Transfer-Encoding", "chunked"}}, "");
        CHECK(bench.outcome(bench.call).ended);
    }
    CHECK(bench.outcome(bench.call).body == eventText(1));
}

TEST_CASE("A server whose response waits for a slow caller is not silent",
          "[Gateway][JoinedResponses]")
{
    StreamBench bench;
    bench.queuedBytes = 1'000'000;
    bench.controller.onAttemptData(bench.first, eventText(1), bench.now);
    REQUIRE(bench.pauseCalls == std::vector<bool>{true});

    SECTION("it keeps the stream while the caller does not read")
    {
        bench.advanceTime(std::chrono::seconds(6));
        CHECK(bench.sentAttempts.size() == 1);
        CHECK_FALSE(bench.outcome(bench.call).aborted);
        SECTION("and its time to send the next event begins when the caller has read")
        {
            bench.queuedBytes = 0;
            bench.controller.onCallerDrained(bench.call, bench.now);
            bench.advanceTime(milliseconds(500));
            CHECK(bench.sentAttempts.size() == 1);
            bench.advanceTime(std::chrono::seconds(3));
            CHECK(bench.sentAttempts.size() == 2);
        }
    }
    SECTION("a server that takes over the stream is paused as well")
    {
        bench.failAttempt(0, HttpFailureKind::ResponseTruncated, Verdict::MayHaveRun);
        REQUIRE(bench.sentAttempts.size() == 2);
        const ForwardAttemptId second = bench.sentAttempts[1].id;
        bench.controller.onAttemptHead(second, 200, Signed, bench.now);
        bench.controller.onAttemptData(second, eventText(2), bench.now);
        CHECK(bench.pauseCalls == std::vector<bool>{true, true});
    }
}
