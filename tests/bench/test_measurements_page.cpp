#include "bench/bench_report.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>

using namespace dotterel::bench;

namespace {

using Lines = std::vector<std::string>;

/// Returns the generated blocks of the committed page by name.
std::map<std::string, Lines> blocksOfPage()
{
    std::ifstream file(std::string(DOTTEREL_SOURCE_DIR) + "/docs/MEASUREMENTS.md");
    std::map<std::string, Lines> blocks;
    std::string name;
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string mark;
        std::string action;
        words >> mark >> action;
        if (mark == "<!--" && action == "begin")
            words >> name;
        else if (mark == "<!--" && action == "end")
            name.clear();
        else if (!name.empty())
            blocks[name].push_back(line);
    }
    return blocks;
}

Lines linesOf(const std::string &text)
{
    std::istringstream stream(text);
    Lines lines;
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

} // namespace

TEST_CASE("The committed tables match what the bench writes", "[Bench][MeasurementsPage]")
{
    const std::map<std::string, TableKind> kinds = {
            {"policies", TableKind::Policies}, {"bands", TableKind::Bands},
            {"variants", TableKind::Policies}, {"reports", TableKind::Policies},
            {"chunks", TableKind::Policies},   {"weights", TableKind::Policies},
            {"faults", TableKind::Faults},     {"greed", TableKind::Faults},
            {"storm", TableKind::Faults},      {"peers", TableKind::Policies}};
    const std::map<std::string, Lines> blocks = blocksOfPage();
    for (const std::string workload : {"harinal", "almacenes"}) {
        for (const auto &[name, kind] : kinds) {
            INFO(workload << " " << name);
            std::string blockName = workload;
            blockName += "-";
            blockName += name;
            const auto block = blocks.find(blockName);
            REQUIRE(block != blocks.end());
            const Lines &lines = block->second;
            const Lines header = linesOf(reportTable(kind, {}));
            REQUIRE(lines.size() > header.size());
            CHECK(std::equal(header.begin(), header.end(), lines.begin()));
            for (const std::string &line : lines)
                CHECK(std::count(line.begin(), line.end(), '|')
                      == std::count(header[0].begin(), header[0].end(), '|'));
        }
    }
}
