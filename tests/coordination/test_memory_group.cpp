#include "coordination/memory_group.h"

#include "core/random_source.h"

#include <catch2/catch.hpp>
#include <map>

using namespace dotterel;

namespace {

constexpr std::uint64_t EngineMemoryTokens = 400'000;
constexpr std::uint64_t SeedCount = 200;

/// Simulates the memory accounting of engines, which does not check who sends a request.
class SimulatedEngines
{
public:
    bool reserve(const GroupPart &part)
    {
        std::uint64_t used = 0;
        for (const auto &[id, tokens] : this->held[part.server])
            used += tokens;
        if (used + part.tokens > EngineMemoryTokens)
            return false;
        this->held[part.server][part.allocation] = part.tokens;
        return true;
    }
    void release(const GroupPart &part) { this->held[part.server].erase(part.allocation); }
    std::size_t count() const
    {
        std::size_t total = 0;
        for (const auto &[server, allocations] : this->held)
            total += allocations.size();
        return total;
    }

private:
    std::map<ServerId, std::map<AllocationId, std::uint64_t>> held;
};

std::vector<GroupCandidate> makeCandidates(std::size_t count)
{
    std::vector<GroupCandidate> list;
    for (std::size_t i = 0; i < count; ++i)
        list.push_back({"engine-" + std::to_string(i), EngineMemoryTokens});
    return list;
}

enum class Fault {
    None,
    Refused,
    ResponseLost,
};

/// Executes the next action of \a group with \a fault injected.
void executeStep(MemoryGroup &group, SimulatedEngines &engines, Fault fault)
{
    const std::optional<GroupAction> action = group.nextAction();
    if (!action)
        return;
    const GroupPart &part = group.parts()[action->part];
    if (fault == Fault::Refused) {
        group.onActionFailed(true);
        return;
    }
    bool done = true;
    if (action->kind == GroupActionKind::Reserve)
        done = engines.reserve(part);
    else if (action->kind == GroupActionKind::Release)
        engines.release(part);
    if (fault == Fault::ResponseLost)
        group.onActionFailed(false);
    else if (done)
        group.onActionSucceeded();
    else
        group.onActionFailed(true);
}

} // namespace

TEST_CASE("A long prompt is split among the fewest engines that can hold it",
          "[Coordination][MemoryGroup]")
{
    const std::optional<MemoryGroup> group =
            MemoryGroup::create("r.1", 1'000'000, makeCandidates(5));
    REQUIRE(group);
    REQUIRE(group->parts().size() == 3);
    std::uint64_t next = 0;
    for (const GroupPart &part : group->parts()) {
        CHECK(part.firstToken == next);
        CHECK(part.tokens <= EngineMemoryTokens);
        next += part.tokens;
    }
    CHECK(next == 1'000'000);
    CHECK_FALSE(MemoryGroup::create("r.2", 1'000'000, makeCandidates(2)));
}

TEST_CASE("All memory is released, whichever step fails", "[Coordination][MemoryGroup]")
{
    constexpr std::size_t StepCount = 3 + 3 + 1;
    for (std::size_t failingStep = 0; failingStep <= StepCount; ++failingStep) {
        for (const Fault fault : {Fault::Refused, Fault::ResponseLost}) {
            INFO("step " << failingStep
                         << (fault == Fault::Refused ? " refused" : " response lost"));
            SimulatedEngines engines;
            MemoryGroup group = *MemoryGroup::create("r.1", 1'000'000, makeCandidates(3));
            for (std::size_t i = 0; i < failingStep; ++i)
                executeStep(group, engines, Fault::None);
            executeStep(group, engines, fault);
            for (int i = 0; i < 10 && !group.isFullyReleased(); ++i)
                executeStep(group, engines, i % 2 == 0 ? Fault::ResponseLost : Fault::None);
            CHECK(group.isFullyReleased());
            CHECK(engines.count() == 0);
            CHECK((group.outcome() == GroupOutcome::Finished) == (failingStep == StepCount));
        }
    }
}

TEST_CASE("Concurrent groups cannot deadlock", "[Coordination][MemoryGroup]")
{
    for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
        INFO("seed " << seed);
        SeededRandom random(seed);
        SimulatedEngines engines;
        std::vector<MemoryGroup> groups;
        groups.reserve(3);
        for (int i = 0; i < 3; ++i)
            groups.push_back(*MemoryGroup::create("r" + std::to_string(i) + ".1", 900'000,
                                                  makeCandidates(3 + random.nextBelow(2))));
        int steps = 0;
        const auto allReleased = [&groups] {
            return std::all_of(groups.begin(), groups.end(),
                               [](const MemoryGroup &group) { return group.isFullyReleased(); });
        };
        while (!allReleased() && steps++ < 1'000) {
            MemoryGroup &group = groups[random.nextBelow(groups.size())];
            if (random.nextBelow(40) == 0)
                group.cancel();
            else
                executeStep(group, engines,
                            random.nextBelow(20) == 0 ? Fault::ResponseLost : Fault::None);
        }
        CHECK(allReleased());
        CHECK(engines.count() == 0);
    }
}
