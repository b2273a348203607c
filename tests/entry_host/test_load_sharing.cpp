#include "support/fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dotterel;
using namespace dotterel::support;

TEST_CASE("Entry hosts share load information", "[EntryHost][LoadSharing]")
{
    Fleet fleet(FleetShape{});

    SECTION("hosts avoid an engine that is busy with a request of another host")
    {
        fakes::EngineBehaviour slow;
        slow.prefillTokensPerSecond = 40'000;
        for (std::size_t i = 0; i < 3; ++i)
            fleet.engine(i).setBehaviour(slow);
        const auto allHostsLinked = [&fleet] {
            for (std::size_t i = 0; i < fleet.hostCount(); ++i) {
                if (nlohmann::json::parse(fleet.status(i)).at("peer_links") == 0)
                    return false;
            }
            return true;
        };
        REQUIRE(fleet.runUntil(allHostsLinked));
        // Host 0 forwards a long prompt while the other hosts forward short ones.
        bool longPromptEnded = false;
        HttpRequest request;
        request.endpoint = fleet.host(0).callers();
        request.method = "POST";
        request.target = "/v1/completions";
        request.headers = {{"X-Workspace", "harinal"}, {"X-Request-Class", "review"}};
        request.body = std::make_shared<const std::string>(completionBody(80'000));
        const HttpFetch fetch(fleet.httpClient(), request,
                              [&longPromptEnded](const std::optional<HttpResponse> &,
                                                 const HttpFailure &) { longPromptEnded = true; });
        const auto busyEngine = [&fleet] {
            for (std::size_t i = 0; i < 3; ++i) {
                if (fleet.engine(i).running() > 0)
                    return i;
            }
            return std::size_t{3};
        };
        REQUIRE(fleet.runUntil([&busyEngine] { return busyEngine() < 3; }));
        fleet.runFor(std::chrono::milliseconds(50));
        const std::size_t busyIndex = busyEngine();
        const std::uint64_t startedBefore = fleet.engine(busyIndex).started();
        for (std::size_t i = 0; i < 6; ++i)
            REQUIRE(fleet.ask(1 + i % 2, 1'000)->status == 200);
        CHECK_FALSE(longPromptEnded);
        CHECK(fleet.engine(busyIndex).started() == startedBefore);
        CHECK(fleet.runUntil([&longPromptEnded] { return longPromptEnded; }));
    }
    SECTION("a server whose load report says draining is shown as draining by all hosts")
    {
        fakes::EngineBehaviour draining;
        draining.draining = true;
        fleet.engine(1).setBehaviour(draining);
        const auto allHostsKnowDraining = [&fleet] {
            for (std::size_t i = 0; i < fleet.hostCount(); ++i) {
                if (fleet.status(i).find("draining") == std::string::npos)
                    return false;
            }
            return true;
        };
        CHECK(fleet.runUntil(allHostsKnowDraining));
    }
}
