#include "support/fleet.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;

TEST_CASE("A fleet of entry hosts serves callers", "[EntryHost][EntryHost]")
{
    Fleet fleet(FleetShape{});

    SECTION("a question through each host gets a complete response")
    {
        for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
            const std::optional<HttpResponse> answer = fleet.ask(host, 1'000);
            REQUIRE(answer);
            CHECK(answer->status == 200);
            CHECK(answer->body.find("data: [DONE]") != std::string::npos);
        }
    }
    SECTION("an order sent to two hosts with the same key runs once")
    {
        const std::optional<HttpResponse> first = fleet.order(0, "topper-1");
        REQUIRE(first);
        CHECK(first->status == 200);
        CHECK(fleet.runUntil([&fleet] {
            const std::optional<HttpResponse> again = fleet.order(1, "topper-1");
            return again && again->status == 200;
        }));
        CHECK(fleet.orderCount("topper-1") == 1);
    }
    SECTION("an unknown workspace is refused as not run")
    {
        const std::optional<HttpResponse> answer =
                fleet.call(0, "POST", "/v1/completions",
                           {{"X-Workspace", "nobody"}, {"X-Request-Class", "question"}},
                           completionBody(1'000));
        REQUIRE(answer);
        CHECK(answer->status == 403);
        CHECK(answer->body.find("\"verdict\":\"not_run\"") != std::string::npos);
    }
}
