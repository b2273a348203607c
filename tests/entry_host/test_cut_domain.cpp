#include "support/fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

constexpr std::size_t CutHost =
        2; ///< The only host of its failure domain, which also has engine 2.

std::uint64_t versionOf(Fleet &fleet, std::size_t host)
{
    return nlohmann::json::parse(fleet.status(host)).at("configuration_version");
}

/// Returns how many of \a count questions through the partitioned host get a complete response.
int answered(Fleet &fleet, int count)
{
    int whole = 0;
    for (int i = 0; i < count; ++i) {
        const std::optional<HttpResponse> answer = fleet.ask(CutHost, 500);
        if (answer && answer->status == 200
            && answer->body.find("data: [DONE]") != std::string::npos)
            ++whole;
    }
    return whole;
}

} // namespace

TEST_CASE("A partitioned failure domain keeps serving and never reverts its configuration",
          "[EntryHost][CutDomain]")
{
    constexpr int Questions = 20;
    Fleet fleet(FleetShape{});
    fleet.storeConfiguration(2);
    REQUIRE(fleet.runUntil([&fleet] {
        for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
            if (versionOf(fleet, host) != 2)
                return false;
        }
        return true;
    }));
    CHECK(answered(fleet, Questions) == Questions);

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

    CHECK(answered(fleet, Questions) == Questions);
    const std::optional<HttpResponse> refused = fleet.order(CutHost, "topper");
    REQUIRE(refused);
    CHECK(refused->status >= 500);
    CHECK(refused->body.find("\"verdict\":\"not_run\"") != std::string::npos);
    CHECK_FALSE(refused->header("Retry-After").empty());
    CHECK(fleet.orderCount("topper") == 0);
    CHECK(versionOf(fleet, CutHost) == 2);

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
        CHECK(versionOf(fleet, CutHost) == 2);
        return versionOf(fleet, 0) == 2 && versionOf(fleet, 1) == 2;
    }));
    fleet.platform().setFaults({});
    CHECK(answered(fleet, Questions) == Questions);
    CHECK(fleet.runUntil([&fleet] {
        const std::optional<HttpResponse> again = fleet.order(CutHost, "topper");
        return again && again->status == 200;
    }));
    CHECK(fleet.orderCount("topper") == 1);
}
