#include "state/settings.h"

#include <catch2/catch.hpp>
#include <random>

using namespace dotterel;

namespace {

const std::string ValidSettings = "host: centro-a-1\n"
                                  "failure-domain: centro-a\n"
                                  "callers: {address: 127.0.0.1, port: 8080}\n"
                                  "operators: {address: 127.0.0.1, port: 8081}\n"
                                  "peers: {address: 127.0.0.1, port: 0}\n"
                                  "platform: {address: 10.0.0.9, port: 7000}\n";

std::string errorMessages(const std::string &text)
{
    const auto settings = settingsFromYaml(text, "host.yaml");
    std::string messages;
    if (!settings) {
        for (const YamlError &error : settings.error())
            messages += error.text() + "\n";
    }
    return messages;
}

} // namespace

TEST_CASE("Settings are parsed and validated", "[State][Settings]")
{
    SECTION("a valid file is accepted; omitted settings have their defaults")
    {
        const auto settings =
                settingsFromYaml(ValidSettings + "shutdown-grace-ms: 50\n", "host.yaml");
        REQUIRE(settings);
        CHECK(settings->callers == Endpoint{"127.0.0.1", 8080});
        CHECK(settings->shutdownGrace == std::chrono::milliseconds(50));
        CHECK(settings->heartbeatInterval == Settings().heartbeatInterval);
        CHECK(settings->logThreshold == Severity::Info);
    }
    SECTION("an error contains file, line, key and the allowed values")
    {
        struct ErrorCase
        {
            std::string appendedText;
            std::string expectedError;
        };
        const std::vector<ErrorCase> errorCases = {
                {"colour: red\n", "host.yaml:7: colour: unknown key; known keys are host, "},
                {"host: other\n", "host.yaml:7: host: the key is given twice"},
                {"max-body-bytes: many\n",
                 "host.yaml:7: max-body-bytes: must be a whole number from 1024 to 268435456, not "
                 "\"many\""},
                {"max-body-bytes: 12\n", "must be a whole number from 1024"},
                {"max-body-bytes: -1\n", "must be a whole number from 1024"},
                {"max-body-bytes: 99999999999999999999999\n", "must be a whole number from 1024"},
                {"max-body-bytes: [1]\n", "must be a whole number from 1024"},
                {"log-threshold: loud\n",
                 "must be one of debug, info, warning, error, not \"loud\""},
                {"? [a]\n: 1\n", "host.yaml:7: ?: unknown key"},
                {"...\n---\nhost: a\n", "host.yaml: must be one YAML document only"},
                {"a: [\n", "host.yaml:8: "},
                {"a: \xFF\n", "host.yaml: is not UTF-8"},
                {"#" + std::string(MaxSettingsBytes, 'a'), "at most 65536 are allowed"},
        };
        for (const ErrorCase &errorCase : errorCases)
            CHECK_THAT(errorMessages(ValidSettings + errorCase.appendedText),
                       Catch::Contains(errorCase.expectedError));
    }
    SECTION("a document that is not a map is rejected")
    {
        for (const char *text : {"", "# nothing\n", "just text", "[1, 2]", "3"}) {
            INFO(text);
            CHECK_THAT(errorMessages(text), Catch::Contains("must be a map of keys and values"));
        }
    }
    SECTION("endpoints are validated")
    {
        struct ErrorCase
        {
            std::string line; ///< Replaces the line of `operators`.
            std::string expectedError;
        };
        const std::vector<ErrorCase> errorCases = {
                {"", "operators: is missing; it must be a map of `address`"},
                {"operators: 8081", "host.yaml:4: operators: must be a map of keys and values"},
                {"operators: {address: localhost, port: 1}",
                 "host.yaml:4: operators.address: must be an IP address, not \"localhost\""},
                {"operators: {address: 127.0.0.1}", "operators.port: is missing"},
                {"operators: {address: 127.0.0.1, port: 65536}", "from 0 to 65535"},
                {"operators: {address: 127.0.0.1, port: 1, tls: yes}", "operators.tls: unknown"},
                {"operators: {address: 127.0.0.1, port: 8080}",
                 "operators: must differ from callers, which is 127.0.0.1:8080 too"},
                {"operators: {address: 0.0.0.0, port: 8080}",
                 "operators: must differ from callers"},
        };
        const std::string line = "operators: {address: 127.0.0.1, port: 8081}";
        for (const ErrorCase &errorCase : errorCases) {
            std::string text = ValidSettings;
            text.replace(text.find(line), line.size(), errorCase.line);
            CHECK_THAT(errorMessages(text), Catch::Contains(errorCase.expectedError));
        }
    }
    SECTION("a name with a space is rejected, because it would be ambiguous in logs")
    {
        CHECK_THAT(errorMessages("host: a b\n"), Catch::Contains("host: must be letters, digits"));
    }
    SECTION("all errors are reported at once")
    {
        CHECK(settingsFromYaml("colour: red\n", "f").error().size() == 7);
    }
}

TEST_CASE("The settings reader handles damaged input", "[State][Settings][Fuzz]")
{
    for (std::uint32_t seed = 1; seed <= 2'000; ++seed) {
        std::mt19937 random(seed);
        std::string text = ValidSettings;
        for (int i = 0; i < 3; ++i) {
            constexpr std::string_view YamlCharacters = "{}[]:,-&*!|>'\"%@`#? \n\t\\0~";
            const std::size_t position = random() % text.size();
            if (random() % 3 == 0)
                text.erase(position, random() % 8);
            else
                text.insert(position, 1, YamlCharacters[random() % YamlCharacters.size()]);
        }
        INFO("seed " << seed << "\n" << text);
        const auto settings = settingsFromYaml(text, "host.yaml");
        REQUIRE((settings || !settings.error().empty()));
    }
    const std::string deeplyNested(20'000, '[');
    CHECK_FALSE(errorMessages(deeplyNested).empty());
}

TEST_CASE("A gateway listens for requests of other hosts next to its peers", "[Settings]")
{
    Settings settings;
    settings.peers = {"10.1.0.4", 7'480};
    CHECK(relayEndpoint(settings) == Endpoint{"10.1.0.4", 7'481});
    settings.peers.port = 0;
    CHECK(relayEndpoint(settings) == Endpoint{"10.1.0.4", 0});
    settings.relay = {"10.1.0.5", 9'000};
    CHECK(relayEndpoint(settings) == Endpoint{"10.1.0.5", 9'000});
}
