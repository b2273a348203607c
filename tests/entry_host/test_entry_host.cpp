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
            const std::optional<HttpResponse> response = fleet.ask(host, 1'000);
            REQUIRE(response);
            CHECK(response->status == 200);
            CHECK(response->body.find("data: [DONE]") != std::string::npos);
        }
    }
    SECTION("an order sent to two hosts with the same key runs once")
    {
        const std::optional<HttpResponse> first = fleet.order(0, "topper-1");
        REQUIRE(first);
        CHECK(first->status == 200);
        CHECK(fleet.runUntil([&fleet] {
            const std::optional<HttpResponse> retried = fleet.order(1, "topper-1");
            return retried && retried->status == 200;
        }));
        CHECK(fleet.orderCount("topper-1") == 1);
    }
    SECTION("an unknown workspace is refused as not run")
    {
        const std::optional<HttpResponse> response =
                fleet.call(0, "POST", "/v1/completions",
                           {{"X-Workspace", "nobody"}, {"X-Request-Class", "question"}},
                           completionBody(1'000));
        REQUIRE(response);
        CHECK(response->status == 403);
        CHECK(response->body.find("\"verdict\":\"not_run\"") != std::string::npos);
    }
}
