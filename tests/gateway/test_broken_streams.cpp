// Responses that a backend server breaks off in the middle of an event, while their framing or the
// end of the connection does not show it.

#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

const HttpHeaders EndsWithConnection = {{"Signed", "s"}};
const HttpHeaders Chunked = {{"Signed", "s"}, {"Transfer-Encoding", "chunked"}};
/// The controller sees no more than that there is a length: the transport has checked it.
const HttpHeaders WithLength = {{"Signed", "s"}, {"Content-Length", "1"}};

const std::vector<HttpHeaders> AllFramings = {EndsWithConnection, Chunked, WithLength};
const std::vector<std::string> AllLineEnds = {"\n", "\r\n", "\r"};

std::string eventText(int id, const std::string &lineEnd)
{
    return "id: " + std::to_string(id) + lineEnd + "data: x" + lineEnd + lineEnd;
}

/// A bench with two engines and a stream that was sent to the first of them.
struct StreamBench : ForwardBench
{
    explicit StreamBench(bool resumable)
    {
        for (Route &route : this->configuration.routes)
            route.resumable = resumable;
        this->applyConfiguration();
        this->addServer("engine-1", "engines");
        this->addServer("engine-2", "engines");
        this->call = this->request("/questions/", {{"Tokens", "5000,1300"}});
    }

    CallerOutcome &result() { return this->outcome(this->call); }

    HttpCallId call = 0;
};

} // namespace

TEST_CASE("A stream that ends inside an event is not passed on as complete",
          "[Gateway][BrokenStreams]")
{
    SECTION("a stream that may be resumed goes on at another server after its last whole event")
    {
        for (const HttpHeaders &framing : AllFramings) {
            for (const std::string &lineEnd : AllLineEnds) {
                const std::string first = eventText(1, lineEnd);
                const std::string second = eventText(2, lineEnd);
                for (std::size_t length = 1; length < second.size(); ++length) {
                    StreamBench bench(true);
                    bench.respond(0, 200, framing, first + second.substr(0, length));
                    CAPTURE(framing.back().first, lineEnd.size(), length);
                    REQUIRE(bench.sentAttempts.size() == 2);
                    CHECK(bench.sentAttempts[1].header("After") == "1");
                    CHECK_FALSE(bench.result().ended);
                    CHECK(bench.result().body == first);
                    bench.respond(1, 200, framing, second);
                    CHECK(bench.result().ended);
                    CHECK(bench.result().body == first + second);
                }
            }
        }
    }
    SECTION("the connection of the caller breaks if the stream may not be resumed")
    {
        for (const HttpHeaders &framing : AllFramings) {
            StreamBench bench(false);
            bench.respond(0, 200, framing, eventText(1, "\n") + "id: 2\nda");
            CHECK(bench.sentAttempts.size() == 1);
            CHECK(bench.result().aborted);
            CHECK_FALSE(bench.result().ended);
            CHECK(bench.result().body == eventText(1, "\n"));
        }
    }
    SECTION("the same before the first event")
    {
        StreamBench bench(true);
        bench.respond(0, 200, EndsWithConnection, "id: 1\nda");
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(bench.sentAttempts[1].header("After").empty());
        bench.respond(1, 200, EndsWithConnection, eventText(1, "\n"));
        CHECK(bench.result().ended);
        CHECK(bench.result().body == eventText(1, "\n"));
    }
    SECTION("the same in a comment")
    {
        StreamBench bench(true);
        bench.respond(0, 200, EndsWithConnection, eventText(1, "\n") + ": still he");
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(bench.result().body == eventText(1, "\n"));
    }
    SECTION("the same after a resume, until the attempts are used up")
    {
        StreamBench bench(true);
        bench.respond(0, 200, EndsWithConnection, eventText(1, "\n") + "id: 2\nda");
        REQUIRE(bench.sentAttempts.size() == 2);
        bench.respond(1, 200, EndsWithConnection, eventText(2, "\n") + "id: 3\n");
        CHECK(bench.sentAttempts.size() == 2);
        CHECK(bench.result().aborted);
        CHECK_FALSE(bench.result().ended);
        CHECK(bench.result().body == eventText(1, "\n") + eventText(2, "\n"));
    }
}

TEST_CASE("A stream that ends with its connection before its first event is not complete",
          "[Gateway][BrokenStreams]")
{
    SECTION("it is sent to another server")
    {
        StreamBench bench(true);
        bench.respond(0, 200, EndsWithConnection, "");
        REQUIRE(bench.sentAttempts.size() == 2);
        bench.respond(1, 200, EndsWithConnection, eventText(1, "\n"));
        CHECK(bench.result().ended);
        CHECK(bench.result().body == eventText(1, "\n"));
    }
    SECTION("the connection of the caller breaks if it has a comment already")
    {
        StreamBench bench(true);
        bench.respond(0, 200, EndsWithConnection, ": hello\n\n");
        CHECK(bench.result().aborted);
        CHECK_FALSE(bench.result().ended);
    }
}

// Guards against a resumed stream that ends as complete where the next server crashed as well.
TEST_CASE("A resumed stream ended as complete when its next server crashed before its first event",
          "[Gateway][BrokenStreams]")
{
    SECTION("the answer breaks if no attempt is left")
    {
        for (const char *sent : {"", "\n", ": hello\n\n"}) {
            CAPTURE(sent);
            StreamBench bench(true);
            bench.respond(0, 200, EndsWithConnection, eventText(1, "\n") + "id: 2\nda");
            REQUIRE(bench.sentAttempts.size() == 2);
            bench.respond(1, 200, EndsWithConnection, sent);
            CHECK(bench.result().aborted);
            CHECK_FALSE(bench.result().ended);
        }
    }
    SECTION("it goes on at another server if one is left")
    {
        StreamBench bench(true);
        for (Route &route : bench.configuration.routes)
            route.maxAttempts = 3;
        bench.applyConfiguration();
        bench.addServer("engine-3", "engines");
        const HttpCallId call = bench.request("/questions/", {{"Tokens", "5000,1300"}});
        bench.respond(1, 200, EndsWithConnection, eventText(1, "\n") + "id: 2\nda");
        bench.respond(2, 200, EndsWithConnection, "");
        REQUIRE(bench.sentAttempts.size() == 4);
        CHECK(bench.sentAttempts[3].header("After") == "1");
        bench.respond(3, 200, EndsWithConnection, eventText(2, "\n"));
        CHECK(bench.outcome(call).ended);
        CHECK(bench.outcome(call).body == eventText(1, "\n") + eventText(2, "\n"));
    }
    SECTION("the same if the caller resumes")
    {
        StreamBench bench(true);
        const HttpCallId call =
                bench.request("/questions/", {{"Tokens", "5000,1300"}, {"After", "1"}});
        bench.respond(1, 200, EndsWithConnection, "");
        REQUIRE(bench.sentAttempts.size() == 3);
        CHECK(bench.sentAttempts[2].header("After") == "1");
        bench.respond(2, 200, EndsWithConnection, "");
        CHECK(bench.outcome(call).status == 502);
    }
    SECTION("the same if the server began anew and sent only what the caller has")
    {
        for (const HttpHeaders &framing : AllFramings) {
            CAPTURE(framing.back().first);
            StreamBench bench(true);
            bench.respond(0, 200, framing, eventText(1, "\n") + eventText(2, "\n") + "id: 3\nda");
            REQUIRE(bench.sentAttempts.size() == 2);
            bench.respond(1, 200, framing, eventText(1, "\n"));
            CHECK(bench.result().aborted);
            CHECK_FALSE(bench.result().ended);
        }
    }
    SECTION("a server that says itself that nothing is left ends the stream")
    {
        for (const HttpHeaders &framing : {Chunked, WithLength}) {
            CAPTURE(framing.back().first);
            StreamBench bench(true);
            bench.respond(0, 200, framing, eventText(1, "\n") + "id: 2\nda");
            REQUIRE(bench.sentAttempts.size() == 2);
            bench.respond(1, 200, framing, "");
            CHECK(bench.result().ended);
            CHECK(bench.result().body == eventText(1, "\n"));
        }
    }
}

TEST_CASE("A whole stream is passed on byte for byte, whatever its framing and line ends",
          "[Gateway][BrokenStreams]")
{
    for (const HttpHeaders &framing : AllFramings) {
        for (const std::string &lineEnd : AllLineEnds) {
            std::string body = ": hello";
            for (const std::string &part :
                 {lineEnd, lineEnd, eventText(1, lineEnd), lineEnd, eventText(2, lineEnd), lineEnd})
                body += part;
            for (std::size_t split = 0; split <= body.size(); ++split) {
                StreamBench bench(false);
                const ForwardAttemptId id = bench.sentAttempts[0].id;
                bench.controller.onAttemptHead(id, 200, framing, bench.now);
                bench.controller.onAttemptData(id, body.substr(0, split), bench.now);
                bench.controller.onAttemptData(id, body.substr(split), bench.now);
                bench.controller.onAttemptComplete(id, bench.now);
                CAPTURE(framing.back().first, lineEnd.size(), split);
                CHECK(bench.result().ended);
                CHECK(bench.result().body == body);
            }
        }
    }
}
