#include "coordination/memory_group.h"

#include "core/random_source.h"

#include <catch2/catch.hpp>
#include <map>

using namespace dotterel;

namespace {

constexpr std::uint64_t EngineTokens = 400'000;
constexpr std::uint64_t Seeds = 200;

/// Engines' own accounting, which ignores who asks.
class Engines
{
public:
    bool reserve(const GroupPart &part)
    {
        std::uint64_t used = 0;
        for (const auto &[id, tokens] : this->held[part.server])
            used += tokens;
        if (used + part.tokens > EngineTokens)
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

std::vector<GroupCandidate> candidates(std::size_t count)
{
    std::vector<GroupCandidate> list;
    for (std::size_t i = 0; i < count; ++i)
        list.push_back({"engine-" + std::to_string(i), EngineTokens});
    return list;
}

enum class Fault {
    None,
    Refused,
    AnswerLost,
};

/// Carries out the next action of \a group with \a fault.
void step(MemoryGroup &group, Engines &engines, Fault fault)
{
    const std::optional<GroupAction> action = group.next();
    if (!action)
        return;
    const GroupPart &part = group.parts()[action->part];
    if (fault == Fault::Refused) {
        group.onFailed(true);
        return;
    }
    bool done = true;
    if (action->kind == GroupActionKind::Reserve)
        done = engines.reserve(part);
    else if (action->kind == GroupActionKind::Release)
        engines.release(part);
    if (fault == Fault::AnswerLost)
        group.onFailed(false);
    else if (done)
        group.onDone();
    else
        group.onFailed(true);
}

} // namespace

TEST_CASE("A long prompt is divided among as few engines as hold it", "[Coordination][MemoryGroup]")
{
    const std::optional<MemoryGroup> group = MemoryGroup::form("r.1", 1'000'000, candidates(5));
    REQUIRE(group);
    REQUIRE(group->parts().size() == 3);
    std::uint64_t next = 0;
    for (const GroupPart &part : group->parts()) {
        CHECK(part.firstToken == next);
        CHECK(part.tokens <= EngineTokens);
        next += part.tokens;
    }
    CHECK(next == 1'000'000);
    CHECK_FALSE(MemoryGroup::form("r.2", 1'000'000, candidates(2)));
}

TEST_CASE("Whatever step fails, all memory comes back", "[Coordination][MemoryGroup]")
{
    constexpr std::size_t Steps = 3 + 3 + 1;
    for (std::size_t failing = 0; failing <= Steps; ++failing) {
        for (const Fault fault : {Fault::Refused, Fault::AnswerLost}) {
            INFO("step " << failing << (fault == Fault::Refused ? " refused" : " answer lost"));
            Engines engines;
            MemoryGroup group = *MemoryGroup::form("r.1", 1'000'000, candidates(3));
            for (std::size_t i = 0; i < failing; ++i)
                step(group, engines, Fault::None);
            step(group, engines, fault);
            for (int i = 0; i < 10 && !group.settled(); ++i)
                step(group, engines, i % 2 == 0 ? Fault::AnswerLost : Fault::None);
            CHECK(group.settled());
            CHECK(engines.count() == 0);
            CHECK((group.outcome() == GroupOutcome::Finished) == (failing == Steps));
        }
    }
}

TEST_CASE("Groups that form at once never wait for each other", "[Coordination][MemoryGroup]")
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        SeededRandom random(seed);
        Engines engines;
        std::vector<MemoryGroup> groups;
        groups.reserve(3);
        for (int i = 0; i < 3; ++i)
            groups.push_back(*MemoryGroup::form("r" + std::to_string(i) + ".1", 900'000,
                                                candidates(3 + random.below(2))));
        int steps = 0;
        const auto settled = [&groups] {
            return std::all_of(groups.begin(), groups.end(),
                               [](const MemoryGroup &group) { return group.settled(); });
        };
        while (!settled() && steps++ < 1'000) {
            MemoryGroup &group = groups[random.below(groups.size())];
            if (random.below(40) == 0)
                group.abandon();
            else
                step(group, engines, random.below(20) == 0 ? Fault::AnswerLost : Fault::None);
        }
        CHECK(settled());
        CHECK(engines.count() == 0);
    }
}
