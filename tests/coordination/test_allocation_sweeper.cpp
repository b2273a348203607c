#include "coordination/allocation_sweeper.h"

#include "support/fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

std::uint64_t memoryHeld(Fleet &fleet)
{
    std::uint64_t held = 0;
    for (std::size_t i = 0; i < 3; ++i)
        held += fleet.engine(i).memoryHeld();
    return held;
}

/// Sends a request of class "question" to \a host and returns the call once an engine has allocated
/// memory for it.
std::unique_ptr<HttpFetch> startRequest(Fleet &fleet, std::size_t host, bool &done)
{
    HttpRequest request;
    request.endpoint = fleet.host(host).callers();
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers = {{"X-Workspace", "harinal"}, {"X-Request-Class", "question"}};
    request.body = std::make_shared<const std::string>(completionBody(1'000));
    auto call = std::make_unique<HttpFetch>(
            fleet.httpClient(), request,
            [&done](const std::optional<HttpResponse> &, const HttpFailure &) { done = true; });
    REQUIRE(fleet.runUntil([&fleet] { return memoryHeld(fleet) > 0; }));
    return call;
}

} // namespace

TEST_CASE("Allocations are released when they expire or their host has ended",
          "[Coordination][AllocationSweeper]")
{
    NullMetrics metrics;
    NullEventLog log;
    Membership membership({"a", 5, "centro-a"}, std::chrono::milliseconds(250), metrics, log);
    const MemberRecord liveMember{{"b", 7, "centro-a"}, {}, 1, MemberState::Alive, false, 0};
    MemberRecord deadMember{{"c", 9, "centro-a"}, {}, 1, MemberState::Dead, false, 0};
    static_cast<void>(membership.onHeartbeat({liveMember, 0, {deadMember}, {}}, TimePoint{}));
    const AllocationSweeper sweeper(membership);
    const Duration second = std::chrono::seconds(1);
    struct Case
    {
        const char *name;
        EngineAllocation allocation;
        bool released;
    };
    const std::vector<Case> cases = {
            {"own, not expired", {"x", "a", 5, "r", 1, second, 2 * second}, false},
            {"own, of an earlier incarnation", {"x", "a", 4, "r", 1, second, 2 * second}, true},
            {"of a live member, not expired", {"x", "b", 7, "r", 1, second, 2 * second}, false},
            {"of a live member, expired", {"x", "b", 7, "r", 1, 3 * second, 2 * second}, true},
            {"of an earlier incarnation of a member",
             {"x", "b", 6, "r", 1, second, 2 * second},
             true},
            {"of a later incarnation of a member that was not announced yet",
             {"x", "b", 8, "r", 1, second, 2 * second},
             false},
            {"of a dead member", {"x", "c", 9, "r", 1, second, 2 * second}, true},
            {"of an unknown host, not expired", {"x", "d", 1, "r", 1, second, 2 * second}, false},
            {"of an unknown host, expired", {"x", "d", 1, "r", 1, 3 * second, 2 * second}, true},
    };
    for (const Case &testCase : cases) {
        INFO(testCase.name);
        CHECK(sweeper.orphanedAllocations({testCase.allocation}).size()
              == (testCase.released ? 1 : 0));
    }
}

TEST_CASE("Engine memory is fully released after faults", "[Coordination][AllocationSweeper]")
{
    Fleet fleet(FleetShape{});
    REQUIRE(fleet.runUntil([&fleet] {
        for (std::size_t host = 0; host < 3; ++host) {
            if (nlohmann::json::parse(fleet.status(host)).at("members").size() != 3)
                return false;
        }
        return true;
    }));
    fakes::EngineBehaviour behaviour;
    behaviour.tokenInterval = std::chrono::milliseconds(300);
    for (std::size_t i = 0; i < 3; ++i)
        fleet.engine(i).setBehaviour(behaviour);
    bool done = false;

    SECTION("when the host of a running request is killed and optionally restarted")
    {
        const bool restart = GENERATE(false, true);
        const std::unique_ptr<HttpFetch> call = startRequest(fleet, 1, done);
        fleet.killHost(1);
        if (restart)
            fleet.startHost(1);
        CHECK(memoryHeld(fleet) > 0);
        CHECK(fleet.runUntil([&fleet] { return memoryHeld(fleet) == 0; }, std::chrono::seconds(8)));
    }
    SECTION("before the deadline when the engine's response is cut off")
    {
        behaviour.cutAfterTokens = 1;
        for (std::size_t i = 0; i < 3; ++i)
            fleet.engine(i).setBehaviour(behaviour);
        const std::unique_ptr<HttpFetch> call = startRequest(fleet, 1, done);
        REQUIRE(fleet.runUntil([&done] { return done; }));
        CHECK(fleet.runUntil([&fleet] { return memoryHeld(fleet) == 0; }, std::chrono::seconds(1)));
    }
    SECTION("when the caller disconnects")
    {
        std::unique_ptr<HttpFetch> call = startRequest(fleet, 1, done);
        call.reset();
        CHECK(fleet.runUntil([&fleet] { return memoryHeld(fleet) == 0; }, std::chrono::seconds(1)));
    }
}
