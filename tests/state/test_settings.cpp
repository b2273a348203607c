#include "state/settings.h"

#include <catch2/catch.hpp>
#include <random>

using namespace dotterel;

namespace {

const std::string Good = "host: centro-a-1\n"
                         "failure-domain: centro-a\n"
                         "callers: {address: 127.0.0.1, port: 8080}\n"
                         "operators: {address: 127.0.0.1, port: 8081}\n"
                         "peers: {address: 127.0.0.1, port: 0}\n"
                         "platform: {address: 10.0.0.9, port: 7000}\n";

std::string faultsOf(const std::string &text)
{
    const auto settings = settingsFromYaml(text, "host.yaml");
    std::string texts;
    if (!settings) {
        for (const YamlFault &fault : settings.error())
            texts += fault.text() + "\n";
    }
    return texts;
}

} // namespace

TEST_CASE("Settings are checked key by key", "[State][Settings]")
{
    SECTION("a good file is taken, with what it leaves out at its default")
    {
        const auto settings = settingsFromYaml(Good + "shutdown-grace-ms: 50\n", "host.yaml");
        REQUIRE(settings);
        CHECK(settings->callers == Endpoint{"127.0.0.1", 8080});
        CHECK(settings->shutdownGrace == std::chrono::milliseconds(50));
        CHECK(settings->heartbeatInterval == Settings().heartbeatInterval);
        CHECK(settings->logThreshold == Severity::Info);
    }
    SECTION("each fault names file, line, key and what is allowed")
    {
        struct Row
        {
            std::string added;
            std::string fault;
        };
        const std::vector<Row> rows = {
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
                {"#" + std::string(MostSettingsBytes, 'a'), "at most 65536 are read"},
        };
        for (const Row &row : rows)
            CHECK_THAT(faultsOf(Good + row.added), Catch::Contains(row.fault));
    }
    SECTION("a file that is no map is refused")
    {
        for (const char *text : {"", "# nothing\n", "just text", "[1, 2]", "3"}) {
            INFO(text);
            CHECK_THAT(faultsOf(text), Catch::Contains("must be a map of keys and values"));
        }
    }
    SECTION("endpoints")
    {
        struct Row
        {
            std::string line; ///< In place of the one for operators.
            std::string fault;
        };
        const std::vector<Row> rows = {
                {"", "operators: is missing; it must be a map of `address`"},
                {"operators: 8081", "host.yaml:4: operators: must be a map of keys and values"},
                {"operators: {address: localhost, port: 1}",
                 "host.yaml:4: operators.address: must be an IP number, not \"localhost\""},
                {"operators: {address: 127.0.0.1}", "operators.port: is missing"},
                {"operators: {address: 127.0.0.1, port: 65536}", "from 0 to 65535"},
                {"operators: {address: 127.0.0.1, port: 1, tls: yes}", "operators.tls: unknown"},
                {"operators: {address: 127.0.0.1, port: 8080}",
                 "operators: must differ from callers, which is 127.0.0.1:8080 too"},
                {"operators: {address: 0.0.0.0, port: 8080}",
                 "operators: must differ from callers"},
        };
        const std::string line = "operators: {address: 127.0.0.1, port: 8081}";
        for (const Row &row : rows) {
            std::string text = Good;
            text.replace(text.find(line), line.size(), row.line);
            CHECK_THAT(faultsOf(text), Catch::Contains(row.fault));
        }
    }
    SECTION("a name with a space cannot be told apart in logs")
    {
        CHECK_THAT(faultsOf("host: a b\n"), Catch::Contains("host: must be letters, digits"));
    }
    SECTION("all faults come at once")
    {
        CHECK(settingsFromYaml("colour: red\n", "f").error().size() == 7);
    }
}

TEST_CASE("No bytes harm the reader of settings", "[State][Settings][Fuzz]")
{
    for (std::uint32_t seed = 1; seed <= 2'000; ++seed) {
        std::mt19937 random(seed);
        std::string text = Good;
        for (int i = 0; i < 3; ++i) {
            constexpr std::string_view Bytes = "{}[]:,-&*!|>'\"%@`#? \n\t\\0~";
            const std::size_t at = random() % text.size();
            if (random() % 3 == 0)
                text.erase(at, random() % 8);
            else
                text.insert(at, 1, Bytes[random() % Bytes.size()]);
        }
        INFO("seed " << seed << "\n" << text);
        const auto settings = settingsFromYaml(text, "host.yaml");
        REQUIRE((settings || !settings.error().empty()));
    }
    const std::string deep(20'000, '[');
    CHECK_FALSE(faultsOf(deep).empty());
}
