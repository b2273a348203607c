#include "operator_tools/command_line.h"

#include <catch2/catch.hpp>

using namespace dotterel;

TEST_CASE("The command line of dotterelctl is checked whole", "[OperatorTools][CommandLine]")
{
    SECTION("a good one is read, with options before and after the command")
    {
        const auto line = parseCommandLine(
                {"--platform-port", "80", "sheet", "--dry-run", "a.csv", "-a", "::1"});
        REQUIRE(line);
        CHECK(line->command == Command::Sheet);
        CHECK(line->platform == Endpoint{"::1", 80});
        CHECK(line->arguments == std::vector<std::string>{"a.csv"});
        CHECK(line->dryRun);
        CHECK_FALSE(line->prune);
    }
    SECTION("a bad one gets one sentence that says what is allowed")
    {
        struct Row
        {
            std::vector<std::string> arguments;
            std::string message;
        };
        const std::vector<Row> rows = {
                {{}, "a command is missing; it is one of apply, diff, sheet, get, status"},
                {{"aply"}, "unknown command \"aply\"; it is one of apply, diff"},
                {{"--colour"}, "dotterelctl: --colour: unknown option; see dotterelctl --help"},
                {{"status", "-p", "1", "--prune"}, "dotterelctl status: --prune: unknown option"},
                {{"apply", "-p", "1"}, "dotterelctl apply: FILE is missing"},
                {{"apply", "-p", "1", "a", "b"}, "too many arguments; it takes FILE"},
                {{"status", "-p", "1", "now"}, "too many arguments; it takes none"},
                {{"status"}, "--platform-port must be given, from 1 to 65535"},
                {{"status", "-p", "70000"}, "--platform-port must be given, from 1 to 65535"},
                {{"status", "-p", "x"}, "x: invalid numeric value"},
                {{"status", "-p"}, "-p: missing argument"},
                {{"status", "-p", "1", "-a", "localhost"},
                 "must be an IP number, not \"localhost\""},
                {{"status", "-p", "1", "-t", "0"}, "--timeout-ms must be from 1 to 600000"},
        };
        for (const Row &row : rows) {
            const auto line = parseCommandLine(row.arguments);
            REQUIRE_FALSE(line);
            CHECK(line.error().code == ExitCode::BadUsage);
            CHECK_THAT(line.error().text, Catch::Contains(row.message));
        }
    }
    SECTION("help names every command and every exit code")
    {
        const auto help = parseCommandLine({"--help"});
        REQUIRE_FALSE(help);
        CHECK(help.error().code == ExitCode::Done);
        for (const CommandInfo &info : commandTable())
            CHECK_THAT(help.error().text, Catch::Contains(std::string(info.summary)));
        for (const ExitCodeInfo &info : exitCodeTable())
            CHECK_THAT(help.error().text, Catch::Contains(std::string(info.meaning)));
    }
    SECTION("each command has help of its own")
    {
        for (const CommandInfo &info : commandTable()) {
            const auto help = parseCommandLine({std::string(info.name), "--help"});
            REQUIRE_FALSE(help);
            CHECK(help.error().code == ExitCode::Done);
            CHECK_THAT(help.error().text, Catch::Contains("dotterelctl " + std::string(info.name)));
            CHECK_THAT(help.error().text, Catch::Contains("--platform-port"));
        }
    }
}
