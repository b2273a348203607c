#include "support/fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

/// The only host of its failure domain, which also has engine 2.
constexpr std::size_t PartitionedHost = 2;

std::uint64_t configurationVersionOf(Fleet &fleet, std::size_t host)
{
    return nlohmann::json::parse(fleet.status(host)).at("configuration_version");
}

/// Returns how many of \a count questions through the partitioned host get a complete response.
int countCompleteResponses(Fleet &fleet, int count)
{
    int complete = 0;
    for (int i = 0; i < count; ++i) {
        const std::optional<HttpResponse> response = fleet.ask(PartitionedHost, 500);
        if (response && response->status == 200
            && response->body.find("data: [DONE]") != std::string::npos)
            ++complete;
    }
    return complete;
}

} // namespace

TEST_CASE("A partitioned failure domain keeps serving and never reverts its configuration",
          "[EntryHost][CutDomain]")
{
    constexpr int QuestionCount = 20;
    Fleet fleet(FleetShape{});
    fleet.storeConfiguration(2);
    REQUIRE(fleet.runUntil([&fleet] {
        for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
            if (configurationVersionOf(fleet, host) != 2)
                return false;
        }
        return true;
    }));
    CHECK(countCompleteResponses(fleet, QuestionCount) == QuestionCount);

    // The partition as seen by the cut-off host: the platform is unreachable, all peers are gone
    // and the servers of the other domains do not respond.
    fakes::PlatformFaults faults;
    faults.down = true;
    fleet.platform().setFaults(faults);
    fleet.killHost(0);
    fleet.killHost(1);
    fakes::EngineBehaviour frozen;
    frozen.frozen = true;
    fleet.engine(0).setBehaviour(frozen);
    fleet.engine(1).setBehaviour(frozen);

    CHECK(countCompleteResponses(fleet, QuestionCount) == QuestionCount);
    const std::optional<HttpResponse> refused = fleet.order(PartitionedHost, "topper");
    REQUIRE(refused);
    CHECK(refused->status >= 500);
    CHECK(refused->body.find("\"verdict\":\"not_run\"") != std::string::npos);
    CHECK_FALSE(refused->header("Retry-After").empty());
    CHECK(fleet.orderCount("topper") == 0);
    CHECK(configurationVersionOf(fleet, PartitionedHost) == 2);

    // The platform comes back with a stale configuration, and the other hosts restart without one.
    faults.down = false;
    faults.stale = true;
    fleet.platform().setFaults(faults);
    fleet.engine(0).setBehaviour({});
    fleet.engine(1).setBehaviour({});
    fleet.startHost(0);
    fleet.startHost(1);
    fleet.publishHosts();
    REQUIRE(fleet.runUntil([&fleet] {
        CHECK(configurationVersionOf(fleet, PartitionedHost) == 2);
        return configurationVersionOf(fleet, 0) == 2 && configurationVersionOf(fleet, 1) == 2;
    }));
    fleet.platform().setFaults({});
    CHECK(countCompleteResponses(fleet, QuestionCount) == QuestionCount);
    CHECK(fleet.runUntil([&fleet] {
        const std::optional<HttpResponse> retried = fleet.order(PartitionedHost, "topper");
        return retried && retried->status == 200;
    }));
    CHECK(fleet.orderCount("topper") == 1);
}
