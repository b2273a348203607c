#include "bench/bench_report.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace dotterel;
using namespace dotterel::bench;

namespace {

std::string contentOf(const std::string &path)
{
    std::ifstream file(std::string(DOTTEREL_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Workload smokeWorkload()
{
    Workload workload = workloadFromYaml(contentOf("examples/workloads/harinal.yaml"), "w").value();
    workload.warmUp = std::chrono::seconds(2);
    workload.measured = std::chrono::seconds(20);
    return workload;
}

RunSettings runOf(const std::string &policy, double load, Fault fault = Fault::None)
{
    RunSettings settings;
    settings.policy = policy;
    settings.load = load;
    settings.fault = fault;
    return settings;
}

std::string jsonOf(const Workload &workload, const RunSettings &settings)
{
    return reportJson(workload, {{settings, {summarise(runBench(workload, settings))}}});
}

} // namespace

TEST_CASE("The bench drives real decisions in virtual time", "[Bench][BenchRun]")
{
    const Workload workload = smokeWorkload();

    SECTION("the same seed gives the same figures, another seed gives others")
    {
        RunSettings settings = runOf("work-ahead", 0.85);
        const std::string first = jsonOf(workload, settings);
        CHECK(first == jsonOf(workload, settings));
        settings.seed = 2;
        CHECK(first != jsonOf(workload, settings));
    }
    SECTION("every policy answers or refuses each request once")
    {
        for (const BenchPolicy &policy : benchPolicies()) {
            INFO(policy.name);
            const RunRecord record = runBench(workload, runOf(policy.name, 0.7));
            REQUIRE(record.requests.size() > 50);
            for (const RequestRecord &request : record.requests)
                CHECK(request.finished != request.refusal.has_value());
        }
    }
    SECTION("the policy keeps short prompts quicker than the strong baseline")
    {
        const auto p95 = [&workload](const std::string &policy) {
            return summarise(runBench(workload, runOf(policy, 0.85))).shortSlowdown.p95;
        };
        CHECK(p95("work-ahead") < p95("two-choices"));
    }
    SECTION("a server that fails leaves no request without its end")
    {
        for (const Fault fault : {Fault::Death, Fault::Freeze, Fault::Slowness}) {
            INFO(faultName(fault));
            const RunRecord record = runBench(workload, runOf("work-ahead", 0.7, fault));
            for (const RequestRecord &request : record.requests)
                CHECK(request.finished != request.refusal.has_value());
        }
    }
    SECTION("callers that ask again at once raise no engine work")
    {
        RunSettings settings = runOf("work-ahead", 1.2);
        settings.retryStorm = true;
        CHECK(runBench(workload, settings).workRatio <= 1.1);
    }
}

TEST_CASE("Workload files are checked as a whole", "[Bench][BenchSettings]")
{
    CHECK(workloadFromYaml(contentOf("examples/workloads/almacenes.yaml"), "w"));
    const auto faulty = workloadFromYaml("name: x\nservers: 0\nhots: 3\nworkspaces:\n"
                                         "  - {name: a, traffic: -1}\n",
                                         "w.yaml");
    REQUIRE_FALSE(faulty);
    std::string text;
    for (const YamlError &fault : faulty.error())
        text += fault.text() + "\n";
    CHECK(text.find("w.yaml:2: servers: must be a whole number from 1 to 1000") == 0);
    CHECK(text.find("hots: unknown key") != std::string::npos);
    CHECK(text.find("traffic: must be") != std::string::npos);
    CHECK(text.find("lengths: must not be empty") != std::string::npos);
}

TEST_CASE("Percentiles are those of the nearest rank", "[Bench][BenchReport]")
{
    std::vector<double> values;
    for (int i = 100; i >= 1; --i)
        values.push_back(i);
    const Percentiles points = percentilesOf(values);
    CHECK(points.p50 == 50);
    CHECK(points.p95 == 95);
    CHECK(points.p99 == 99);
    CHECK(percentilesOf({}).p99 == 0);
}
