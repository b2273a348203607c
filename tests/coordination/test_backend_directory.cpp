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

/// Asks every host often for \a time and returns what engine \a index started meanwhile.
std::uint64_t startedDuring(Fleet &fleet, std::size_t index, int rounds)
{
    const std::uint64_t before = fleet.engine(index).started();
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t host = 0; host < fleet.hostCount(); ++host)
            CHECK(fleet.ask(host, 100)->status == 200);
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
    fakes::EngineBehaviour leaving;
    leaving.draining = true;

    SECTION("when it says so itself to one host, with the platform down; and it returns")
    {
        fleet.platform().setFaults({true});
        fleet.engine(0).setBehaviour(leaving);
        while (!allHostsSee(fleet, "engine-0", "draining")) {
            CHECK(fleet.ask(0, 100)->status == 200);
            REQUIRE(fleet.engine(0).started() < 1'000);
        }
        CHECK(startedDuring(fleet, 0, 10) == 0);
        fleet.engine(0).setBehaviour({});
        CHECK(fleet.runUntil([&fleet] { return allHostsSee(fleet, "engine-0", "up"); }));
        CHECK(startedDuring(fleet, 0, 20) > 0);
    }
    SECTION("when only the platform's list says so; and the mark goes away")
    {
        fleet.platform().setHosts(R"([{"id":"engine-1","role":"backend","state":"leaving",
                                         "failure_domain":"centro-b","address":"127.0.0.1"}])");
        REQUIRE(fleet.runUntil([&fleet] { return allHostsSee(fleet, "engine-1", "draining"); },
                               std::chrono::seconds(3)));
        CHECK(startedDuring(fleet, 1, 10) == 0);
        fleet.publishHosts();
        CHECK(fleet.runUntil([&fleet] { return allHostsSee(fleet, "engine-1", "up"); }));
        CHECK(startedDuring(fleet, 1, 20) > 0);
    }
}
