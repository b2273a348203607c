#include "core/event_log.h"
#include "core/metric_catalogue.h"
#include "core/prometheus_metrics.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace dotterel;

namespace {

std::string sourceText(const std::string &path)
{
    std::ifstream file(std::string(DOTTEREL_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns how many enumerators `enum class name` has in the header \a path.
std::size_t enumeratorCount(const std::string &path, const std::string &name)
{
    const std::string text = sourceText(path);
    const std::size_t enumStart = text.find("enum class " + name);
    REQUIRE(enumStart != std::string::npos);
    const std::string body = text.substr(enumStart, text.find("};", enumStart) - enumStart);
    const std::regex enumerator("\n    [A-Z][A-Za-z0-9]*( = [0-9]+)?,");
    return static_cast<std::size_t>(std::distance(
            std::sregex_iterator(body.begin(), body.end(), enumerator), std::sregex_iterator()));
}

} // namespace

TEST_CASE("Each enumerator has a row in its table", "[Core][Tables]")
{
    struct Row
    {
        const char *path;
        const char *name;
        std::size_t expectedRows;
    };
    const std::vector<Row> expectedTables = {
            {"src/core/metrics.h", "Counter", allValues(counterName).size()},
            {"src/core/metrics.h", "Gauge", allValues(gaugeName).size()},
            {"src/core/metrics.h", "RetryReason", allValues(retryReasonName).size()},
            {"src/core/metrics.h", "LengthBand", allValues(lengthBandName).size()},
            {"src/core/verdict.h", "Verdict", allValues(verdictName).size()},
            {"src/core/verdict.h", "Reason", reasonTable().size()},
            {"src/core/event_log.h", "Severity", allValues(severityName).size()},
            {"src/core/event_log.h", "Event", eventTable().size()},
    };
    for (const Row &row : expectedTables) {
        INFO(row.path << ": " << row.name << "; add a row for the new value to its table");
        CHECK(enumeratorCount(row.path, row.name) == row.expectedRows);
    }
    SECTION("event numbers are ascending and names are unique")
    {
        std::set<std::string_view> names;
        int previousNumber = 0;
        for (const EventInfo &info : eventTable()) {
            INFO(info.name);
            CHECK(static_cast<int>(info.event) > previousNumber);
            CHECK(names.insert(info.name).second);
            CHECK_FALSE(info.meaning.empty());
            previousNumber = static_cast<int>(info.event);
        }
    }
    SECTION("every metric and retry reason has a description")
    {
        for (const MetricInfo &info : metricCatalogue()) {
            INFO(info.name << "; add a description in src/core/metric_catalogue.cpp");
            CHECK_FALSE(info.meaning.empty());
        }
        for (const RetryReason reason : allValues(retryReasonName)) {
            INFO(retryReasonName(reason) << "; add a description in src/core/metric_catalogue.cpp");
            CHECK_FALSE(retryReasonMeaning(reason).empty());
        }
    }
}

TEST_CASE("Every metric is exported in the Prometheus text format", "[Core][PrometheusMetrics]")
{
    PrometheusMetrics metrics;
    for (const ReasonInfo &info : reasonTable())
        metrics.countRefusal(info.reason);
    for (const RetryReason reason : allValues(retryReasonName))
        metrics.countRetry(reason);
    for (const Counter counter : allValues(counterName))
        metrics.count(counter, 1);
    for (const Gauge gauge : allValues(gaugeName))
        metrics.set(gauge, 2);
    for (const LengthBand band : allValues(lengthBandName)) {
        metrics.observeFirstToken(band, std::chrono::milliseconds(20));
        metrics.observeFirstTokenDelay(band, std::chrono::milliseconds(20));
    }
    const std::string text = metrics.text();

    SECTION("with TYPE and HELP lines for exactly the metrics of the catalogue")
    {
        std::size_t typeLines = 0;
        for (std::size_t position = text.find("# TYPE"); position != std::string::npos;
             position = text.find("# TYPE", position + 1))
            ++typeLines;
        CHECK(typeLines == metricCatalogue().size());
        for (const MetricInfo &info : metricCatalogue()) {
            CHECK_THAT(text, Catch::Contains("# TYPE " + info.name + " "
                                             + std::string(metricTypeName(info.type)) + "\n"));
            CHECK_THAT(text,
                       Catch::Contains("# HELP " + info.name + " " + std::string(info.meaning)));
        }
    }
    SECTION("with a sample for each reason")
    {
        for (const ReasonInfo &info : reasonTable())
            CHECK_THAT(text, Catch::Contains("dotterel_refusals_total{reason=\""
                                             + std::string(info.name) + "\"} 1\n"));
    }
    SECTION("with well-formed lines")
    {
        const std::regex linePattern(
                R"(# (HELP|TYPE) [a-z_]+ .+|[a-z_]+(\{[a-z_]+="[^"]*"(,[a-z_]+="[^"]*")?\})? [0-9.e+Inf-]+)");
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            INFO(line);
            CHECK(std::regex_match(line, linePattern));
        }
    }
}
