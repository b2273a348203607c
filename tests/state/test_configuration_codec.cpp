#include "state/configuration_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace dotterel;

TEST_CASE("Configurations are encoded and decoded completely", "[State][ConfigurationCodec]")
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

    SECTION("JSON round trip")
    {
        const auto decoded = configurationFromJson(text);
        REQUIRE(decoded);
        CHECK(configurationToJson(*decoded).dump() == text);
        CHECK(decoded->servers.at("orders-1").draining);
        CHECK(decoded->workspaces.at("ana").changedAt == 1'000);
    }
    SECTION("pools and weights that the YAML omits come from the base configuration")
    {
        const auto read = configurationFromYaml(
                "backend-servers:\n  - {id: s, pool: orders, address: 127.0.0.1, port: 1, "
                "failure-domain: a}\n",
                "file", configuration);
        REQUIRE(read);
        CHECK(read->policy.shortSlowdown == 0.7);
    }
}

TEST_CASE("Errors in a configuration file are reported with line and key",
          "[State][ConfigurationCodec]")
{
    struct ErrorCase
    {
        std::string text;
        std::string expectedError;
    };
    const std::string server = "pools:\n  - {name: p, kind: model}\nbackend-servers:\n"
                               "  - {id: s, pool: p, failure-domain: a, port: 1, address: ";
    const std::vector<ErrorCase> errorCases = {
            {"workspace:\n  - {name: a}\n", "f:1: workspace: unknown key; known keys are work"},
            {"workspaces: {name: a}\n", "f:1: workspaces: must be a list"},
            {"workspaces:\n  - a\n", "f:2: workspaces: must be a map of keys and values"},
            {"workspaces:\n  - {share: 1}\n", "f:2: workspaces.name: is missing"},
            {"workspaces:\n  - {name: a, share: -1}\n", "must be a number from 0 to 1000000"},
            {"workspaces:\n  - {name: a, share: nan}\n", "must be a number from 0 to 1000000"},
            {"workspaces:\n  - {name: a}\n  - {name: a}\n", "f:3: workspaces.name: \"a\" is given"},
            {"workspaces:\n  - {name: a, name: b}\n", "workspaces.name: the key is given twice"},
            {"request-classes:\n  - {name: a}\n", "deadline-s: is missing; it must be a number"},
            {"request-classes:\n  - {name: a, deadline-s: 0}\n", "from 0.1 to 86400"},
            {"request-classes:\n  - {name: a, deadline-s: 1, idempotent: maybe}\n",
             "must be true or false, not \"maybe\""},
            {"pools:\n  - {name: a, kind: gpu}\n", "must be one of model, service, not \"gpu\""},
            {server + "localhost}\n", "address: must be an IP address, not \"localhost\""},
            {server + "127.0.0.1, draining: 1}\n", "draining: must be true or false"},
            {"backend-servers:\n  - {id: s, pool: q, failure-domain: a, port: 1, address: ::1}\n",
             "pool: pool \"q\" is not defined"},
            {"policy: {first-token: 2}\n", "f:1: policy.first-token: must be a number from 0 to 1"},
            {"policy: [1]\n", "f:1: policy: must be a map"},
    };
    for (const ErrorCase &errorCase : errorCases) {
        const auto read = configurationFromYaml(errorCase.text, "f");
        REQUIRE_FALSE(read);
        std::string messages;
        for (const YamlError &error : read.error())
            messages += error.text() + "\n";
        CHECK_THAT(messages, Catch::Contains(errorCase.expectedError));
    }
}

TEST_CASE("The configuration readers handle damaged input", "[State][ConfigurationCodec][Fuzz]")
{
    Configuration configuration;
    configuration.workspaces["ana"] = {"ana", 2.5, 1'000};
    configuration.pools["orders"] = {"orders", PoolKind::Service};
    const std::string json = configurationToJson(configuration).dump();
    const std::string yaml = "workspaces:\n  - {name: ana, share: 2.5}\n"
                             "request-classes:\n  - {name: order, deadline-s: 20}\n"
                             "policy: {first-token: 0.5}\n";
    for (std::uint32_t seed = 1; seed <= 1'500; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto damaged = [&random](std::string text) {
            constexpr std::string_view SyntaxCharacters = "{}[]:,-&*!|>'\"%@#? \n\t\\0~\xFF";
            for (int i = 0; i < 3; ++i)
                text.replace(random() % text.size(), random() % 3, 1,
                             SyntaxCharacters[random() % SyntaxCharacters.size()]);
            return text;
        };
        const auto read = configurationFromYaml(damaged(yaml), "f");
        REQUIRE((read || !read.error().empty()));
        const auto parsed = configurationFromJson(damaged(json));
        REQUIRE((parsed || !parsed.error().empty()));
    }
}
