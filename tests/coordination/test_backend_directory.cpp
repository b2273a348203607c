#include "coordination/backend_directory.h"

#include "support/fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

Configuration configurationWith(const std::vector<ServerId> &servers)
{
    Configuration configuration;
    configuration.version = 1;
    configuration.pools["cake-model"] = {"cake-model", PoolKind::Model};
    for (const ServerId &id : servers) {
        configuration.servers[id].id = id;
        configuration.servers[id].pool = "cake-model";
    }
    return configuration;
}

/// Asks every host \a rounds times and returns what engine \a index started meanwhile. Each prompt
/// is another, so that no server is preferred for a prefix that it has cached.
std::uint64_t startedDuring(Fleet &fleet, std::size_t index, int rounds)
{
    static int prompts = 0;
    const std::uint64_t before = fleet.engine(index).started();
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t host = 0; host < fleet.hostCount(); ++host)
            CHECK(fleet.call(host, "POST", "/v1/completions",
                             {{"X-Workspace", "harinal"}, {"X-Request-Class", "question"}},
                             completionBody(1'000, std::to_string(++prompts) + " "))
                          ->status
                  == 200);
    }
    return fleet.engine(index).started() - before;
}

bool allHostsSee(Fleet &fleet, const std::string &server, const std::string &state)
{
    for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
        const nlohmann::json status = nlohmann::json::parse(fleet.status(host));
        for (const nlohmann::json &row : status.at("backend_servers")) {
            if (row.at("id") == server && row.at("state") != state)
                return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("A leaving server is known by its latest notice", "[Coordination][BackendDirectory]")
{
    NullMetrics metrics;
    NullEventLog log;
    BackendDirectory directory(log, metrics);
    directory.applyConfiguration(configurationWith({"e"}));
    TimePoint now{};
    const auto state = [&] { return directory.state("e", now); };

    SECTION("marked by the list, it is back once the mark is gone")
    {
        directory.applyList({"e"}, now);
        CHECK(state() == ServerState::Draining);
        CHECK(directory.takeNotices().size() == 1);
        directory.applyList({}, now);
        CHECK(state() == ServerState::Up);
        CHECK(directory.takeNotices().at(0).sequence == 2);
    }
    SECTION("by its own word, a list without a mark does not bring it back")
    {
        directory.markDraining("e");
        directory.applyList({}, now + std::chrono::minutes(1));
        CHECK(state() == ServerState::Draining);
        CHECK(directory.drainingByOwnWord() == std::vector<ServerId>{"e"});
        directory.markReturned("e");
        CHECK(state() == ServerState::Up);
    }
    SECTION("marked on another reader's list, ours has to lack the mark for long enough")
    {
        directory.applyNotice({"e", 1, true, true}, now);
        directory.applyList({}, now + std::chrono::seconds(1));
        CHECK(state() == ServerState::Draining);
        directory.applyList({}, now + std::chrono::seconds(6));
        CHECK(state() == ServerState::Up);
    }
    SECTION("notices count in any order, and draining wins at the same sequence")
    {
        directory.applyNotice({"e", 3, false, false}, now);
        directory.applyNotice({"e", 2, true, false}, now);
        CHECK(state() == ServerState::Up);
        directory.applyNotice({"e", 3, true, false}, now);
        directory.applyNotice({"e", 3, false, false}, now);
        CHECK(state() == ServerState::Draining);
    }
    SECTION("removed from the configuration and added again, it is used, and may leave again")
    {
        directory.applyNotice({"e", 7, true, false}, now);
        directory.applyConfiguration(configurationWith({}));
        directory.applyConfiguration(configurationWith({"e"}));
        CHECK(state() == ServerState::Up);
        directory.takeNotices();
        directory.markDraining("e");
        CHECK(directory.takeNotices().at(0).sequence == 9);
    }
}

TEST_CASE("A leaving server gets no new work on any host", "[Coordination][BackendDirectory]")
{
    Fleet fleet(FleetShape{});
    REQUIRE(fleet.runUntil([&fleet] {
        return nlohmann::json::parse(fleet.status(0)).at("members").size() == fleet.hostCount();
    }));
    // The engine that gets the questions while all are idle is the one that leaves.
    std::size_t index = 0;
    while (startedDuring(fleet, index, 5) == 0)
        index = (index + 1) % 3;
    const std::string name = "engine-" + std::to_string(index);
    fakes::EngineBehaviour leaving;
    leaving.draining = true;

    SECTION("when it says so itself, with the platform down; and it returns")
    {
        fakes::PlatformFaults faults;
        faults.down = true;
        fleet.platform().setFaults(faults);
        fleet.engine(index).setBehaviour(leaving);
        CHECK(fleet.ask(0, 100)->status == 200);
        REQUIRE(fleet.runUntil([&] { return allHostsSee(fleet, name, "draining"); },
                               std::chrono::seconds(3)));
        CHECK(startedDuring(fleet, index, 10) == 0);
        fleet.engine(index).setBehaviour({});
    }
    SECTION("when only the platform's list says so; and the mark goes away")
    {
        fleet.platform().setHosts(R"([{"id":")" + name + R"(","role":"backend","state":"leaving",
                                  "failure_domain":"centro-b","address":"127.0.0.1"}])");
        REQUIRE(fleet.runUntil([&] { return allHostsSee(fleet, name, "draining"); },
                               std::chrono::seconds(3)));
        CHECK(startedDuring(fleet, index, 10) == 0);
        fleet.publishHosts();
    }
    CHECK(fleet.runUntil([&] { return allHostsSee(fleet, name, "up"); }));
    // It serves when nobody else does.
    for (std::size_t other = 0; other < 3; ++other) {
        if (other != index)
            fleet.engine(other).setBehaviour(leaving);
    }
    CHECK(startedDuring(fleet, index, 2) == 6);
}
