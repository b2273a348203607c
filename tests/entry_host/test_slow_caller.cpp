#include "support/fleet.h"
#include "support/raw_client.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;

TEST_CASE("The host buffers a bounded amount for a caller that reads slowly",
          "[EntryHost][CallerApi]")
{
    FleetShape shape;
    shape.hosts = 1;
    shape.engines = 1;
    shape.services = 1;
    Fleet fleet(shape);
    constexpr Duration TimeLimit = std::chrono::seconds(25);
    constexpr std::uint64_t AnswerTokens = 2'000;
    fakes::EngineBehaviour behaviour;
    behaviour.answerTokens = AnswerTokens;
    behaviour.tokenInterval = Duration::zero();
    behaviour.tokenPadding = 4'000;
    fleet.engine(0).setBehaviour(behaviour);
    const std::string body = completionBody(1'000);
    RawClient caller(fleet.eventLoop(), fleet.host(0).callers());
    caller.send("POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: harinal\r\n"
                "X-Request-Class: review\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body);
    REQUIRE(fleet.runUntil([&] { return !caller.received().empty(); }));
    caller.pause();

    // The engine produces about 8 MB of events, far more than socket buffers and the watermark
    // hold.
    REQUIRE(fleet.runUntil([&] { return fleet.engine(0).running() == 0; }, TimeLimit));
    fleet.runFor(std::chrono::milliseconds(300));
    const std::size_t unsent = fleet.host(0).unsentCallerBytes();
    CAPTURE(unsent);
    CHECK(unsent > 0);
    CHECK(unsent < 512UL * 1024);

    caller.resume();
    const std::string lastBytes = "data: [DONE]\n\n\r\n0\r\n\r\n";
    REQUIRE(fleet.runUntil(
            [&] {
                const std::string &received = caller.received();
                return received.size() > lastBytes.size()
                       && received.compare(received.size() - lastBytes.size(), lastBytes.size(),
                                           lastBytes)
                                  == 0;
            },
            TimeLimit));
    CHECK(caller.received().find("t" + std::to_string(AnswerTokens - 1) + " ")
          != std::string::npos);
}
