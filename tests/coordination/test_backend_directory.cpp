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

/// Sends \a rounds requests to every host and returns how many of them engine \a index started.
/// Every prompt is different, so that no server is preferred because of a cached prefix.
std::uint64_t requestsStartedBy(Fleet &fleet, std::size_t index, int rounds)
{
    static int promptCount = 0;
    const std::uint64_t before = fleet.engine(index).started();
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t host = 0; host < fleet.hostCount(); ++host)
            CHECK(fleet.call(host, "POST", "/v1/completions",
                             {{"X-Workspace", "harinal"}, {"X-Request-Class", "question"}},
                             completionBody(1'000, std::to_string(++promptCount) + " "))
                          ->status
                  == 200);
    }
    return fleet.engine(index).started() - before;
}

bool allHostsReport(Fleet &fleet, const std::string &server, const std::string &state)
{
    for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
        const nlohmann::json status = nlohmann::json::parse(fleet.status(host));
        for (const nlohmann::json &serverStatus : status.at("backend_servers")) {
            if (serverStatus.at("id") == server && serverStatus.at("state") != state)
                return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("The latest notice determines whether a server is draining",
          "[Coordination][BackendDirectory]")
{
    NullMetrics metrics;
    NullEventLog log;
    BackendDirectory directory(log, metrics);
    directory.applyConfiguration(configurationWith({"e"}));
    TimePoint now{};
    const auto state = [&] { return directory.state("e", now); };

    SECTION("a server marked only by the host list is usable once the mark is removed")
    {
        directory.applyHostList({"e"}, now);
        CHECK(state() == ServerState::Draining);
        CHECK(directory.takePendingNotices().size() == 1);
        directory.applyHostList({}, now);
        CHECK(state() == ServerState::Up);
        CHECK(directory.takePendingNotices().at(0).sequence == 2);
    }
    SECTION("a host list without a mark does not override a draining report of the server")
    {
        directory.markDraining("e");
        directory.applyHostList({}, now + std::chrono::minutes(1));
        CHECK(state() == ServerState::Draining);
        CHECK(directory.selfReportedDraining() == std::vector<ServerId>{"e"});
        directory.clearDraining("e");
        CHECK(state() == ServerState::Up);
    }
    SECTION("a mark reported by a peer is kept until the local host list has lacked it for 5 s")
    {
        directory.applyServerNotice({"e", 1, true, true}, now);
        directory.applyHostList({}, now + std::chrono::seconds(1));
        CHECK(state() == ServerState::Draining);
        directory.applyHostList({}, now + std::chrono::seconds(6));
        CHECK(state() == ServerState::Up);
    }
    SECTION("notices apply in any order, and draining wins at equal sequence numbers")
    {
        directory.applyServerNotice({"e", 3, false, false}, now);
        directory.applyServerNotice({"e", 2, true, false}, now);
        CHECK(state() == ServerState::Up);
        directory.applyServerNotice({"e", 3, true, false}, now);
        directory.applyServerNotice({"e", 3, false, false}, now);
        CHECK(state() == ServerState::Draining);
    }
    SECTION("a server that is removed and added again is usable, and can drain again")
    {
        directory.applyServerNotice({"e", 7, true, false}, now);
        directory.applyConfiguration(configurationWith({}));
        directory.applyConfiguration(configurationWith({"e"}));
        CHECK(state() == ServerState::Up);
        directory.takePendingNotices();
        directory.markDraining("e");
        CHECK(directory.takePendingNotices().at(0).sequence == 9);
    }
}

TEST_CASE("A draining server gets no new requests from any host",
          "[Coordination][BackendDirectory]")
{
    Fleet fleet(FleetShape{});
    REQUIRE(fleet.runUntil([&fleet] {
        return nlohmann::json::parse(fleet.status(0)).at("members").size() == fleet.hostCount();
    }));
    // Drain the engine that receives requests while all engines are idle.
    std::size_t index = 0;
    while (requestsStartedBy(fleet, index, 5) == 0)
        index = (index + 1) % 3;
    const std::string serverName = "engine-" + std::to_string(index);
    fakes::EngineBehaviour drainingBehaviour;
    drainingBehaviour.draining = true;

    SECTION("reported by the server while the platform is unavailable, until the server reports "
            "otherwise")
    {
        fakes::PlatformFaults faults;
        faults.down = true;
        fleet.platform().setFaults(faults);
        fleet.engine(index).setBehaviour(drainingBehaviour);
        CHECK(fleet.ask(0, 100)->status == 200);
        REQUIRE(fleet.runUntil([&] { return allHostsReport(fleet, serverName, "draining"); },
                               std::chrono::seconds(3)));
        CHECK(requestsStartedBy(fleet, index, 10) == 0);
        fleet.engine(index).setBehaviour({});
    }
    SECTION("marked only by the platform's host list, until the mark is removed")
    {
        fleet.platform().setHosts(R"([{"id":")" + serverName
                                  + R"(","role":"backend","state":"leaving",
                                  "failure_domain":"centro-b","address":"127.0.0.1"}])");
        REQUIRE(fleet.runUntil([&] { return allHostsReport(fleet, serverName, "draining"); },
                               std::chrono::seconds(3)));
        CHECK(requestsStartedBy(fleet, index, 10) == 0);
        fleet.publishHosts();
    }
    CHECK(fleet.runUntil([&] { return allHostsReport(fleet, serverName, "up"); }));
    // With all other engines draining, this one serves every request again.
    for (std::size_t otherIndex = 0; otherIndex < 3; ++otherIndex) {
        if (otherIndex != index)
            fleet.engine(otherIndex).setBehaviour(drainingBehaviour);
    }
    CHECK(requestsStartedBy(fleet, index, 2) == 6);
}
