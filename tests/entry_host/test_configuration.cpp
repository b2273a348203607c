#include "state/configuration_repository.h"
#include "support/fleet.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

constexpr Duration ApplyTimeLimit = std::chrono::seconds(4);
constexpr std::size_t HostCount = 6;

FleetShape shape()
{
    FleetShape shape;
    shape.hosts = HostCount;
    return shape;
}

std::uint64_t configurationVersionOf(Fleet &fleet, std::size_t host)
{
    return nlohmann::json::parse(fleet.status(host)).at("configuration_version");
}

bool allHostsHaveVersion(Fleet &fleet, std::uint64_t version)
{
    for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
        if (configurationVersionOf(fleet, host) != version)
            return false;
    }
    return true;
}

/// Waits until all hosts have applied \a version. Checks every 20 ms, as each check calls the
/// status API of every host. Returns false if that takes longer than ApplyTimeLimit.
bool allHostsReachVersion(Fleet &fleet, std::uint64_t version)
{
    const TimePoint start = fleet.eventLoop().now();
    while (!allHostsHaveVersion(fleet, version)) {
        if (fleet.eventLoop().now() - start > ApplyTimeLimit)
            return false;
        fleet.runFor(std::chrono::milliseconds(20));
    }
    if (std::getenv("DOTTEREL_SHOW_FIGURES") != nullptr)
        WARN("applied after " << toSeconds(fleet.eventLoop().now() - start) << " s");
    return true;
}

/// Stores a configuration with \a workspaces additional workspaces and returns its version.
std::uint64_t storeLargeConfiguration(Fleet &fleet, std::size_t workspaces)
{
    NullMetrics metrics;
    HttpObjectStore store(fleet.eventLoop(), fleet.httpClient(), fleet.platform().endpoint(),
                          std::chrono::seconds(5), metrics);
    ConfigurationRepository repository(store);
    std::uint64_t version = 0;
    repository.load([&](const tl::expected<Configuration, std::string> &loaded) {
        REQUIRE(loaded);
        Configuration configuration = *loaded;
        for (std::size_t i = 0; i < workspaces; ++i) {
            const std::string name = "workspace-" + std::to_string(i);
            configuration.workspaces[name] = {name, 1.0};
        }
        repository.replace(configuration, loaded->version, [&version](const auto &result) {
            REQUIRE(result);
            version = *result;
        });
    });
    REQUIRE(fleet.runUntil([&version] { return version > 0; }));
    return version;
}

} // namespace

TEST_CASE("All reachable hosts apply a new configuration within 4 s", "[EntryHost][Configuration]")
{
    Fleet fleet(shape());
    fakes::PlatformFaults faults;

    SECTION("the platform fails after it has notified one host of the change")
    {
        faults.wokenWatches = 1;
        fleet.platform().setFaults(faults);
        fleet.storeConfiguration(2);
        faults.down = true;
        fleet.platform().setFaults(faults);
        CHECK(allHostsReachVersion(fleet, 2));
    }
    SECTION("no waiting watch is answered, as if all connections to the platform were silent")
    {
        fleet.runFor(std::chrono::seconds(2));
        faults.wokenWatches = 0;
        fleet.platform().setFaults(faults);
        fleet.storeConfiguration(2);
        CHECK(allHostsReachVersion(fleet, 2));
    }
    SECTION("peers pass on the chunks of a large configuration while the platform is down")
    {
        faults.wokenWatches = 1;
        fleet.platform().setFaults(faults);
        const std::uint64_t version = storeLargeConfiguration(fleet, 3'000);
        CHECK(fleet.runUntil([&] {
            for (std::size_t host = 0; host < HostCount; ++host) {
                if (configurationVersionOf(fleet, host) == version)
                    return true;
            }
            return false;
        }));
        faults.down = true;
        fleet.platform().setFaults(faults);
        CHECK(allHostsReachVersion(fleet, version));
    }
    SECTION("a host that starts while the object API is down gets it from peers")
    {
        faults.objectsDown = true;
        fleet.platform().setFaults(faults);
        fleet.startHost(0);
        fleet.publishHosts();
        CHECK(fleet.runUntil([&fleet] { return configurationVersionOf(fleet, 0) == 1; },
                             ApplyTimeLimit));
    }
    SECTION("a host that starts while the platform is stale never applies the older version")
    {
        fleet.storeConfiguration(2);
        REQUIRE(allHostsReachVersion(fleet, 2));
        faults.stale = true;
        fleet.platform().setFaults(faults);
        fleet.startHost(0);
        fleet.publishHosts();
        std::uint64_t firstVersion = 0;
        CHECK(fleet.runUntil([&] { return (firstVersion = configurationVersionOf(fleet, 0)) > 0; },
                             ApplyTimeLimit));
        CHECK(firstVersion == 2);
    }
    SECTION("stale responses do not cause a busy loop of watch calls")
    {
        fleet.storeConfiguration(2);
        faults.stale = true;
        fleet.platform().setFaults(faults);
        fleet.storeConfiguration(3);
        fleet.runFor(std::chrono::milliseconds(200));
        const std::uint64_t callsBefore = fleet.platform().calls();
        fleet.runFor(std::chrono::seconds(1));
        CHECK(fleet.platform().calls() - callsBefore < 10 * HostCount);
        CHECK(allHostsReachVersion(fleet, 2));
    }
}
