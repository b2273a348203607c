#include "state/configuration_codec.h"
#include "state/settings.h"
#include "state/sheet_reader.h"
#include "state/text_file.h"

#include <catch2/catch.hpp>

using namespace dotterel;

TEST_CASE("The examples are good input", "[OperatorTools][Examples]")
{
    const auto example = [](const std::string &name) {
        constexpr std::size_t MostBytes = 64UL * 1024;
        const auto text = readTextFile(DOTTEREL_SOURCE_DIR "/examples/" + name, MostBytes);
        REQUIRE(text);
        return *text;
    };
    CHECK(settingsFromYaml(example("settings.yaml"), "settings.yaml"));
    CHECK(configurationFromYaml(example("configuration.yaml"), "configuration.yaml"));
    const auto sheet = readSheet(example("planilla.csv"), "planilla.csv");
    REQUIRE(sheet);
    CHECK(sheet->exportedAt);
    CHECK(sheet->workspaces.size() == 3);
    CHECK(sheet->idempotencyMarks.size() == 3);
}
