#include "state/configuration_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dotterel;

TEST_CASE("What operators decide is kept whole", "[State][ConfigurationCodec]")
{
    Configuration configuration;
    configuration.version = 4;
    configuration.workspaces["ana"] = {"ana", 2.5, 1'000};
    configuration.requestClasses["order"] = {"order", fromSeconds(20), false, 2'000};
    configuration.pools["orders"] = {"orders", PoolKind::Service};
    BackendServer server;
    server.id = "orders-1";
    server.pool = "orders";
    server.draining = true;
    configuration.servers[server.id] = server;
    configuration.policy = {0.7, 0.2};
    configuration.sheetExportedAt = 3'000;
    const std::string text = configurationToJson(configuration).dump();

    SECTION("through the stored text")
    {
        const auto back = configurationFromJson(text);
        REQUIRE(back);
        CHECK(configurationToJson(*back).dump() == text);
        CHECK(back->servers.at("orders-1").draining);
        CHECK(back->workspaces.at("ana").changedAt == 1'000);
    }
    SECTION("with what a file leaves out taken from its base")
    {
        const auto read = configurationFromYaml(
                "backend-servers:\n  - {id: s, pool: orders, address: 127.0.0.1, port: 1, "
                "failure-domain: a}\n",
                "file", configuration);
        REQUIRE(read);
        CHECK(read->policy.shortSlowdown == 0.7);
    }
}
