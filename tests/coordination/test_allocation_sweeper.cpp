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

/// Begins a question on \a host and returns its call once an engine holds memory for it.
std::unique_ptr<HttpFetch> beginQuestion(Fleet &fleet, std::size_t host, bool &done)
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

TEST_CASE("Memory without an owner is found by age or by its host's end",
          "[Coordination][AllocationSweeper]")
{
    NullMetrics metrics;
    NullEventLog log;
    Membership membership({"a", 5, "centro-a"}, std::chrono::milliseconds(250), metrics, log);
    const MemberRecord other{{"b", 7, "centro-a"}, {}, 1, MemberState::Alive, false, 0};
    MemberRecord dead{{"c", 9, "centro-a"}, {}, 1, MemberState::Dead, false, 0};
    static_cast<void>(membership.onHeartbeat({other, 0, {dead}, {}}, TimePoint{}));
    const AllocationSweeper sweeper(membership);
    const Duration second = std::chrono::seconds(1);
    struct Case
    {
        const char *name;
        EngineAllocation allocation;
        bool released;
    };
    const std::vector<Case> cases = {
            {"own, in its time", {"x", "a", 5, "r", 1, second, 2 * second}, false},
            {"own, of an earlier life", {"x", "a", 4, "r", 1, second, 2 * second}, true},
            {"of a live member", {"x", "b", 7, "r", 1, second, 2 * second}, false},
            {"of a live member, past its time",
             {"x", "b", 7, "r", 1, 3 * second, 2 * second},
             true},
            {"of a member's earlier life", {"x", "b", 6, "r", 1, second, 2 * second}, true},
            {"of a member's later life, not heard yet",
             {"x", "b", 8, "r", 1, second, 2 * second},
             false},
            {"of a dead member", {"x", "c", 9, "r", 1, second, 2 * second}, true},
            {"of a host never heard", {"x", "d", 1, "r", 1, second, 2 * second}, false},
            {"of a host never heard, past its time",
             {"x", "d", 1, "r", 1, 3 * second, 2 * second},
             true},
    };
    for (const Case &row : cases) {
        INFO(row.name);
        CHECK(sweeper.ownerless({row.allocation}).size() == (row.released ? 1 : 0));
    }
}

TEST_CASE("Engines' memory returns to zero after faults", "[Coordination][AllocationSweeper]")
{
    Fleet fleet(FleetShape{});
    REQUIRE(fleet.runUntil([&fleet] {
        for (std::size_t host = 0; host < 3; ++host) {
            if (nlohmann::json::parse(fleet.status(host)).at("members").size() != 3)
                return false;
        }
        return true;
    }));
    fakes::EngineBehaviour slow;
    slow.tokenInterval = std::chrono::milliseconds(300);
    for (std::size_t i = 0; i < 3; ++i)
        fleet.engine(i).setBehaviour(slow);
    bool done = false;

    SECTION("when the host of a running request dies, and starts anew or not")
    {
        const bool again = GENERATE(false, true);
        const std::unique_ptr<HttpFetch> call = beginQuestion(fleet, 1, done);
        fleet.killHost(1);
        if (again)
            fleet.startHost(1);
        CHECK(memoryHeld(fleet) > 0);
        CHECK(fleet.runUntil([&fleet] { return memoryHeld(fleet) == 0; }, std::chrono::seconds(8)));
    }
    SECTION("when the engine's answer is lost, long before the deadline")
    {
        slow.cutAfterTokens = 1;
        for (std::size_t i = 0; i < 3; ++i)
            fleet.engine(i).setBehaviour(slow);
        const std::unique_ptr<HttpFetch> call = beginQuestion(fleet, 1, done);
        REQUIRE(fleet.runUntil([&done] { return done; }));
        CHECK(fleet.runUntil([&fleet] { return memoryHeld(fleet) == 0; }, std::chrono::seconds(1)));
    }
    SECTION("when the caller leaves")
    {
        std::unique_ptr<HttpFetch> call = beginQuestion(fleet, 1, done);
        call.reset();
        CHECK(fleet.runUntil([&fleet] { return memoryHeld(fleet) == 0; }, std::chrono::seconds(1)));
    }
}
