#include "coordination/configuration_follower.h"
#include "core/hashing.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace dotterel;

namespace {

constexpr std::uint64_t Versions = 8;
constexpr std::size_t Workspaces = 110;
constexpr std::size_t NameBytes = 300; ///< Long enough that the root names chunks.

/// Version V sets the share of workspace V to V; every third version is small and has no chunks.
Configuration configurationAt(std::uint64_t version)
{
    Configuration configuration;
    configuration.version = version;
    if (version % 3 == 0) {
        configuration.workspaces["only"] = {"only", static_cast<double>(version)};
        return configuration;
    }
    for (std::size_t i = 0; i < Workspaces; ++i) {
        const std::string name = std::to_string(i) + std::string(NameBytes, 'w');
        configuration.workspaces[name] = {name, i == version ? static_cast<double>(version) : 0.5};
    }
    return configuration;
}

const StoredConfiguration &storedAt(std::uint64_t version)
{
    static std::map<std::uint64_t, StoredConfiguration> stored;
    if (stored.count(version) == 0)
        stored[version] = storedConfiguration(configurationAt(version), "nonce");
    return stored[version];
}

std::string sharesOf(const Configuration &configuration)
{
    std::string text;
    for (const auto &[name, workspace] : configuration.workspaces)
        text += name + ' ' + std::to_string(workspace.share) + '\n';
    return text;
}

/// Delivers one root and, in a drawn order and with gaps, the chunks that it lacks.
void deliver(ConfigurationFollower &follower, std::uint64_t version, std::uint64_t seed)
{
    follower.offer(storedAt(version).root);
    for (const ConfigurationChunk &chunk : storedAt(version).chunks) {
        if (hash64(chunk.name + std::to_string(seed)) % 16 != 0)
            follower.offerChunk(chunk.name, chunk.text);
    }
}

} // namespace

TEST_CASE("A configuration never reverts", "[Coordination][ConfigurationFollower]")
{
    NullMetrics metrics;
    NullEventLog log;
    std::vector<Configuration> heard;
    const auto listener = [&heard](const Configuration &configuration) {
        heard.push_back(configuration);
    };

    SECTION("in any order of delivery, with duplicates and gaps, each version is whole")
    {
        rc::check([&] {
            heard.clear();
            ConfigurationFollower follower(listener, metrics, log);
            const auto order = *rc::gen::container<std::vector<std::uint64_t>>(
                    rc::gen::inRange<std::uint64_t>(1, Versions + 1));
            for (std::size_t i = 0; i < order.size(); ++i)
                deliver(follower, order[i], i);
            const std::uint64_t last = Versions + 2;
            deliver(follower, last, 0);
            for (const std::string &name : follower.missing()) {
                for (const ConfigurationChunk &chunk : storedAt(last).chunks) {
                    if (chunk.name == name)
                        follower.offerChunk(name, chunk.text);
                }
            }
            RC_ASSERT(follower.current().version == last);
            std::uint64_t before = 0;
            for (const Configuration &configuration : heard) {
                RC_ASSERT(configuration.version > before);
                RC_ASSERT(sharesOf(configuration)
                          == sharesOf(configurationAt(configuration.version)));
                before = configuration.version;
            }
        });
    }
    SECTION("a host that starts with a stale platform waits for what its peers know")
    {
        rc::check([&] {
            heard.clear();
            ConfigurationFollower follower(listener, metrics, log);
            follower.beginStart();
            const std::uint64_t stale = *rc::gen::inRange<std::uint64_t>(1, Versions);
            const std::uint64_t newest = *rc::gen::inRange<std::uint64_t>(stale + 1, Versions + 1);
            follower.offer(storedAt(stale).root);
            for (const ConfigurationChunk &chunk : storedAt(stale).chunks)
                follower.offerChunk(chunk.name, chunk.text);
            follower.onPeerVersion(newest);
            RC_ASSERT(heard.empty());
            follower.offer(storedAt(newest).root);
            for (const ConfigurationChunk &chunk : storedAt(newest).chunks)
                follower.offerChunk(chunk.name, chunk.text);
            RC_ASSERT(heard.size() == 1);
            RC_ASSERT(heard.front().version == newest);
        });
    }
    SECTION("a host without peers starts with what the platform says")
    {
        ConfigurationFollower follower(listener, metrics, log);
        follower.beginStart();
        CHECK_FALSE(follower.offer(storedAt(3).root));
        follower.endStart();
        CHECK(follower.current().version == 3);
    }
    SECTION("a chunk with another text than its name says is not taken")
    {
        ConfigurationFollower follower(listener, metrics, log);
        follower.offer(storedAt(1).root);
        const std::string name = follower.missing().front();
        follower.offerChunk(name, storedAt(1).chunks.back().text + " ");
        CHECK(follower.missing().front() == name);
    }
}
