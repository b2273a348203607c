#include "coordination/configuration_follower.h"
#include "fakes/fake_object_store.h"
#include "state/configuration_repository.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace dotterel;

namespace {

/// An operator with a store client and a repository of its own. Calls wait for their result.
struct OperatorClient
{
    OperatorClient(fakes::VirtualTime &time, fakes::FakeObjects &objects, RandomSource &random)
        : time(time)
        , store(time, objects, random)
        , repository(this->store)
    {}

    Configuration load()
    {
        Configuration result;
        this->repository.load([&result](const auto &loaded) {
            REQUIRE(loaded);
            result = *loaded;
        });
        this->time.runFor(std::chrono::seconds(300));
        return result;
    }
    tl::expected<std::uint64_t, std::string> replace(const Configuration &configuration,
                                                     std::uint64_t base)
    {
        tl::expected<std::uint64_t, std::string> result = tl::unexpected(std::string("no result"));
        this->repository.replace(configuration, base,
                                 [&result](const auto &outcome) { result = outcome; });
        this->time.runFor(std::chrono::seconds(300));
        return result;
    }

    fakes::VirtualTime &time;
    fakes::FakeObjectStore store;
    ConfigurationRepository repository;
};

Configuration makeLargeConfiguration(std::size_t workspaces)
{
    Configuration configuration;
    for (std::size_t i = 0; i < workspaces; ++i) {
        const std::string name = "workspace-" + std::to_string(i);
        configuration.workspaces[name] = {name, 1.0};
    }
    for (std::size_t i = 0; i < workspaces / 30; ++i) {
        BackendServer server;
        server.id = "engine-" + std::to_string(i);
        server.pool = "cake-model";
        server.endpoint.address = "10.0.0.1";
        configuration.servers[server.id] = server;
    }
    return configuration;
}

} // namespace

TEST_CASE("Operators load and replace the configuration", "[State][ConfigurationRepository]")
{
    fakes::VirtualTime time;
    fakes::FakeObjects objects;
    SeededRandom random(1);
    OperatorClient first(time, objects, random);
    OperatorClient second(time, objects, random);
    CHECK(first.load().version == 0);
    REQUIRE(first.replace(makeLargeConfiguration(100), 0) == 1U);

    SECTION("after a concurrent change the error describes the other operator's change")
    {
        Configuration firstChange = first.load();
        Configuration secondChange = second.load();
        firstChange.workspaces["workspace-7"].share = 3;
        secondChange.workspaces["workspace-8"].share = 4;
        CHECK(first.replace(firstChange, 1) == 2U);
        const auto rejected = second.replace(secondChange, 1);
        REQUIRE_FALSE(rejected);
        CHECK(rejected.error().find("version 2 changed: workspace workspace-7")
              != std::string::npos);
        CHECK(second.load().workspaces.at("workspace-8").share == 1.0);
    }
    SECTION("a replacement succeeds if the responses to its writes are lost")
    {
        fakes::ObjectStoreFaults faults;
        faults.loseAnswer = 1;
        first.store.setFaults(faults);
        const auto stored = first.replace(makeLargeConfiguration(3'000), 1);
        INFO((stored ? "" : stored.error()));
        CHECK(stored == 2U);
        CHECK(second.load().workspaces.size() == 3'000);
    }
    SECTION("the reported result is correct under store faults")
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            const std::uint64_t base = second.load().version;
            fakes::ObjectStoreFaults faults;
            faults.loseAnswer = 0.3;
            faults.loseRequest = 0.2;
            faults.stale = 0.2;
            first.store.setFaults(faults);
            Configuration changed = makeLargeConfiguration(100);
            changed.workspaces["workspace-0"].share = static_cast<double>(seed);
            const auto result = first.replace(changed, base);
            const Configuration present = second.load();
            if (result)
                CHECK(present.workspaces.at("workspace-0").share == static_cast<double>(seed));
            else if (present.version != base)
                CHECK(result.error().find("not known") != std::string::npos);
        }
    }
    SECTION("19,000 workspaces: a change of one rewrites one chunk and the root")
    {
        REQUIRE(first.replace(makeLargeConfiguration(19'000), 1) == 2U);
        Configuration changed = first.load();
        changed.workspaces["workspace-77"].share = 2;
        const EncodedConfiguration initial =
                encodeConfiguration(makeLargeConfiguration(19'000), "nonce");
        std::size_t largestChunk = 0;
        std::size_t totalChunkBytes = 0;
        for (const ConfigurationChunk &chunk : initial.chunks) {
            largestChunk = std::max(largestChunk, chunk.text.size());
            totalChunkBytes += chunk.text.size();
        }
        CHECK(largestChunk < 48UL * 1024);
        const std::uint64_t writesBefore = first.store.writes();
        CHECK(first.replace(changed, 2) == 3U);
        CHECK(first.store.writes() - writesBefore == 2);

        NullMetrics metrics;
        NullEventLog log;
        ConfigurationFollower follower([](const Configuration &) {}, metrics, log);
        const auto deliverMissing = [&follower](const EncodedConfiguration &encoded) {
            follower.offerRoot(encoded.root);
            std::size_t bytes = encoded.root.size();
            for (const ConfigurationChunk &chunk : encoded.chunks) {
                const std::vector<std::string> missing = follower.missingChunks();
                if (std::find(missing.begin(), missing.end(), chunk.name) == missing.end())
                    continue;
                bytes += chunk.text.size();
                follower.offerChunk(chunk.name, chunk.text);
            }
            return bytes;
        };
        Configuration previous = makeLargeConfiguration(19'000);
        previous.version = 2;
        changed.version = 3;
        deliverMissing(encodeConfiguration(previous, "a"));
        const EncodedConfiguration encodedChange = encodeConfiguration(changed, "b");
        const std::clock_t startClock = std::clock();
        const std::size_t bytes = deliverMissing(encodedChange);
        const double milliseconds =
                1e3 * static_cast<double>(std::clock() - startClock) / CLOCKS_PER_SEC;
        CHECK(follower.current().version == 3);
        CHECK(bytes < 64UL * 1024);
        if (std::getenv("DOTTEREL_SHOW_FIGURES") != nullptr)
            WARN("chunks " << initial.chunks.size() << ", all " << totalChunkBytes << " B, largest "
                           << largestChunk << " B, root " << initial.root.size() << " B; a change: "
                           << bytes << " B to a host, " << milliseconds << " ms of CPU time");
    }
}
