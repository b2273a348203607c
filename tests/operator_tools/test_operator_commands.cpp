#include "operator_tools/operator_commands.h"

#include "state/sheet_text.h"
#include "support/child_process.h"
#include "support/fleet.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace dotterel;
using namespace dotterel::support;

namespace {

/// A file that goes with the object.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content)
    {
        close(mkstemp(this->path.data()));
        std::ofstream(this->path) << content;
    }
    ~TemporaryFile() { std::remove(this->path.c_str()); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    std::string path = "/tmp/dotterel-test-XXXXXX";
};

/// A fleet and what an operator at its platform types.
struct Console
{
    Fleet fleet{FleetShape{2, 2, 2, 1}};
    std::string output;
    std::string errors;

    int run(std::vector<std::string> arguments)
    {
        const Endpoint platform = this->fleet.platform().endpoint();
        arguments.insert(arguments.begin(), {"-t", "1000", "-p", std::to_string(platform.port)});
        const auto line = parseCommandLine(arguments);
        if (!line) {
            this->errors = line.error().text;
            return static_cast<int>(line.error().code);
        }
        Deployment deployment(this->fleet.eventLoop(), this->fleet.httpClient(), line->platform,
                              line->timeout);
        std::ostringstream out;
        std::ostringstream err;
        OperatorCommands commands(deployment, this->fleet.eventLoop(), out, err);
        const ExitCode code = commands.run(*line);
        this->output = out.str();
        this->errors = err.str();
        return static_cast<int>(code);
    }
};

std::string sheetText(const std::string &exported, const std::string &share)
{
    return "tipo;nombre;cuota;exportado\nplanilla;;;" + exported + "\nespacio;harinal;" + share
           + ";\n";
}

} // namespace

TEST_CASE("Operators change the configuration", "[OperatorTools][OperatorCommands]")
{
    Console console;
    const TemporaryFile file("workspaces:\n  - {name: harinal, share: 4}\n");

    SECTION("a dry run shows and writes nothing")
    {
        CHECK(console.run({"apply", "--dry-run", file.path}) == 0);
        CHECK_THAT(console.output, Catch::Contains("~ workspace harinal: share 1 -> 4"));
        CHECK_THAT(console.output, Catch::Contains("dry run: nothing was written"));
        CHECK(console.run({"diff", file.path}) == 6);
    }
    SECTION("what a file does not name is kept, and named")
    {
        CHECK(console.run({"apply", file.path}) == 0);
        CHECK_THAT(console.output, Catch::Contains("kept, not in the file: class order"));
        CHECK_THAT(console.output, Catch::Contains("configuration 2 stored"));
        CHECK(console.run({"apply", file.path}) == 0);
        CHECK_THAT(console.output, Catch::Contains("no change to configuration 2"));
        CHECK(console.run({"get", "workspaces", "--json"}) == 0);
        CHECK(nlohmann::json::parse(console.output).at(0).at("share") == 4);
        CHECK(console.run({"get", "classes"}) == 0);
        CHECK_THAT(console.output, Catch::Contains("review"));
    }
    SECTION("a removal is asked for and listed")
    {
        const TemporaryFile pools(
                "pools:\n  - {name: cake-model, kind: model}\n"
                "backend-servers:\n  - {id: engine-0, pool: cake-model, address: 127.0.0.1, "
                "port: 1, failure-domain: centro-a}\n");
        CHECK(console.run({"apply", "--prune", "--dry-run", pools.path}) == 0);
        CHECK_THAT(console.output, Catch::Contains("- pool shop-orders: kind service"));
        CHECK_THAT(console.output, Catch::Contains("- server orders-0:"));
    }
    SECTION("a sheet is taken once, and yesterday's is refused")
    {
        const TemporaryFile today(sheetText("2026-12-02T06:00:00-03:00", "2,5"));
        const TemporaryFile yesterday(sheetText("2026-12-01T06:00:00-03:00", "9"));
        CHECK(console.run({"sheet", today.path}) == 0);
        CHECK_THAT(console.output, Catch::Contains("share 1 -> 2.5"));
        CHECK(console.run({"sheet", today.path}) == 0);
        CHECK_THAT(console.output, Catch::Contains("no change to configuration 2"));
        CHECK(console.run({"sheet", yesterday.path}) == 5);
        CHECK_THAT(console.errors, Catch::Contains("was exported 2026-12-01T09:00:00Z, before"));
    }
    SECTION("a change by hand after the export stands against the sheet")
    {
        const TemporaryFile sheet(sheetText("2026-12-02T06:00:00-03:00", "2,5"));
        CHECK(console.run({"apply", file.path}) == 0);
        CHECK(console.run({"sheet", sheet.path}) == 5);
        CHECK_THAT(console.errors, Catch::Contains(": row 3: workspace harinal was changed"));
        CHECK(console.run({"sheet", "--keep-newer", sheet.path}) == 0);
        CHECK_THAT(console.output, Catch::Contains("kept: workspace harinal was changed"));
    }
    SECTION("bad input changes nothing and says where it is wrong")
    {
        struct Row
        {
            std::vector<std::string> command;
            std::string content;
            int code;
            std::string message;
        };
        const std::vector<Row> rows = {
                {{"apply"}, "workspaces:\n  - {name: a, share: x}\n", 3, ":2: workspaces.share:"},
                {{"apply"}, "", 3, "is empty"},
                {{"apply"}, "[1, 2]", 3, "must be a map"},
                {{"apply"}, "a: [", 3, ":1"},
                {{"sheet"}, "tipo;nombre\nplaza;a\n", 3, "row 2, column A (tipo)"},
                {{"sheet"}, "tipo;nombre\n", 3, "the export time is missing"},
                {{"sheet", "--exported", "now"}, "tipo;nombre\n", 3, "missing or malformed"},
                {{"sheet"}, sheetText("2126-12-02T06:00:00Z", "2"), 3, "lies in the future"},
                {{"sheet", "--exported", "2026-12-02T06:00:00Z"},
                 sheetText("2026-12-02T06:00:00Z", "2"),
                 2,
                 "carries its export time"},
        };
        for (const Row &row : rows) {
            const TemporaryFile bad(row.content);
            std::vector<std::string> arguments = row.command;
            arguments.push_back(bad.path);
            CHECK(console.run(arguments) == row.code);
            CHECK_THAT(console.errors, Catch::Contains(row.message));
        }
        CHECK(console.run({"apply", "/nowhere/at/all"}) == 3);
        CHECK(console.run({"get", "tables"}) == 2);
        CHECK_THAT(console.errors, Catch::Contains("kinds are workspaces, classes, pools"));
        CHECK(console.run({"drain", "nobody"}) == 3);
        CHECK(console.run({"get"}) == 0);
        CHECK_THAT(console.output, Catch::Contains("configuration version 1\n"));
    }
    SECTION("a write whose answer is lost is read back and not called a conflict")
    {
        console.fleet.platform().setFaults({false, true, false, Duration::zero()});
        CHECK(console.run({"apply", file.path}) == 0);
        CHECK_THAT(console.output, Catch::Contains("configuration 2 stored"));
    }
    SECTION("a platform that is down is a failure with its cause")
    {
        console.fleet.platform().setFaults({true, false, false, Duration::zero()});
        CHECK(console.run({"apply", file.path}) == 1);
        CHECK_THAT(console.errors, Catch::Contains("the configuration cannot be read"));
        CHECK(console.run({"status"}) == 1);
    }
}

TEST_CASE("Of two operators at once one loses and is told why", "[OperatorTools][OperatorCommands]")
{
    Console console;
    console.fleet.platform().setFaults({false, false, false, std::chrono::milliseconds(100)});
    const std::string port = std::to_string(console.fleet.platform().endpoint().port);
    const TemporaryFile first("workspaces:\n  - {name: harinal, share: 4}\n");
    const TemporaryFile second("workspaces:\n  - {name: almacenes, share: 2}\n");
    const TemporaryFile firstOutput("");
    const TemporaryFile secondOutput("");
    const std::string program = DOTTEREL_BINARY_DIR "/dotterelctl";
    ChildProcess one({program, "-p", port, "apply", first.path}, firstOutput.path);
    ChildProcess two({program, "-p", port, "apply", second.path}, secondOutput.path);
    REQUIRE(console.fleet.runUntil([&] { return !one.running() && !two.running(); }));
    CHECK(one.wait() + two.wait() == 4);
    const std::string loser = one.wait() == 4 ? one.output() : two.output();
    const std::string change = one.wait() == 4 ? "+ workspace almacenes: share 2"
                                               : "~ workspace harinal: share 1 -> 4";
    CHECK_THAT(loser, Catch::Contains(change));
}

TEST_CASE("Operators see and drain the fleet", "[OperatorTools][OperatorCommands]")
{
    Console console;

    SECTION("a host that does not answer is a row")
    {
        console.fleet.killHost(1);
        CHECK(console.run({"status"}) == 0);
        CHECK_THAT(console.output, Catch::Contains("stored configuration: 1"));
        CHECK_THAT(console.output, Catch::Contains("unreachable: cannot connect"));
        CHECK_THAT(console.output, Catch::Contains("up for 1"));
        CHECK(console.run({"status", "--json"}) == 0);
        const nlohmann::json json = nlohmann::json::parse(console.output);
        CHECK(json.at("hosts").at(0).at("status").at("configuration_version") == 1);
        CHECK(json.at("hosts").at(1).at("reachable") == false);
    }
    SECTION("a backend server drains on every host until it is taken back")
    {
        CHECK(console.run({"drain", "engine-0"}) == 0);
        const auto seen = [&console](const std::string &state) {
            console.run({"status"});
            return console.output.find(state) != std::string::npos;
        };
        CHECK(console.fleet.runUntil([&seen] { return seen("draining for 2"); }));
        for (std::size_t i = 0; i < 6; ++i) {
            const auto answer = console.fleet.ask(i % 2, 1'000);
            REQUIRE(answer);
            CHECK(answer->status == 200);
        }
        CHECK(console.fleet.engine(0).started() == 0);
        CHECK(console.run({"drain", "engine-0"}) == 0);
        CHECK_THAT(console.output, Catch::Contains("no change"));
        CHECK(console.run({"undrain", "engine-0"}) == 0);
        CHECK(console.fleet.runUntil([&seen] { return !seen("draining"); }));
    }
    SECTION("an entry host is told to finish and go")
    {
        CHECK(console.run({"drain", "host-1"}) == 0);
        CHECK(console.run({"status"}) == 0);
        CHECK_THAT(console.output, Catch::Contains("draining"));
        console.fleet.runFor(std::chrono::milliseconds(200));
    }
}
