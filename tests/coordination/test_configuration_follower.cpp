#include "coordination/configuration_follower.h"
#include "core/hashing.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace dotterel;

namespace {

constexpr std::uint64_t VersionCount = 8;
constexpr std::size_t WorkspaceCount = 110;
/// Large enough to split the configuration into chunks.
constexpr std::size_t NamePaddingBytes = 300;

/// In version V, workspace V has the share V. Every third version is small and has no chunks.
Configuration configurationOfVersion(std::uint64_t version)
{
    Configuration configuration;
    configuration.version = version;
    if (version % 3 == 0) {
        configuration.workspaces["only"] = {"only", static_cast<double>(version)};
        return configuration;
    }
    for (std::size_t i = 0; i < WorkspaceCount; ++i) {
        const std::string name = std::to_string(i) + std::string(NamePaddingBytes, 'w');
        configuration.workspaces[name] = {name, i == version ? static_cast<double>(version) : 0.5};
    }
    return configuration;
}

const EncodedConfiguration &storedVersion(std::uint64_t version)
{
    static std::map<std::uint64_t, EncodedConfiguration> stored;
    if (stored.count(version) == 0)
        stored[version] = encodeConfiguration(configurationOfVersion(version), "nonce");
    return stored[version];
}

std::string sharesOf(const Configuration &configuration)
{
    std::string text;
    for (const auto &[name, workspace] : configuration.workspaces)
        text += name + ' ' + std::to_string(workspace.share) + '\n';
    return text;
}

/// Delivers the root of \a version and a subset of its chunks that is selected by \a seed.
void deliver(ConfigurationFollower &follower, std::uint64_t version, std::uint64_t seed)
{
    follower.offerRoot(storedVersion(version).root);
    for (const ConfigurationChunk &chunk : storedVersion(version).chunks) {
        if (hash64(chunk.name + std::to_string(seed)) % 16 != 0)
            follower.offerChunk(chunk.name, chunk.text);
    }
}

} // namespace

TEST_CASE("The active configuration is never replaced by an older version",
          "[Coordination][ConfigurationFollower]")
{
    NullMetrics metrics;
    NullEventLog log;
    std::vector<Configuration> applied;
    const auto listener = [&applied](const Configuration &configuration) {
        applied.push_back(configuration);
    };

    SECTION("only complete versions are applied when deliveries are reordered, repeated or lost")
    {
        rc::check([&] {
            applied.clear();
            ConfigurationFollower follower(listener, metrics, log);
            const auto versions = *rc::gen::container<std::vector<std::uint64_t>>(
                    rc::gen::inRange<std::uint64_t>(1, VersionCount + 1));
            for (std::size_t i = 0; i < versions.size(); ++i)
                deliver(follower, versions[i], i);
            const std::uint64_t last = VersionCount + 2;
            deliver(follower, last, 0);
            for (const std::string &name : follower.missingChunks()) {
                for (const ConfigurationChunk &chunk : storedVersion(last).chunks) {
                    if (chunk.name == name)
                        follower.offerChunk(name, chunk.text);
                }
            }
            RC_ASSERT(follower.current().version == last);
            std::uint64_t previousVersion = 0;
            for (const Configuration &configuration : applied) {
                RC_ASSERT(configuration.version > previousVersion);
                RC_ASSERT(sharesOf(configuration)
                          == sharesOf(configurationOfVersion(configuration.version)));
                previousVersion = configuration.version;
            }
        });
    }
    SECTION("a starting host does not apply a stale root that is older than its peers' version")
    {
        rc::check([&] {
            applied.clear();
            ConfigurationFollower follower(listener, metrics, log);
            follower.beginStartup();
            const std::uint64_t stale = *rc::gen::inRange<std::uint64_t>(1, VersionCount);
            const std::uint64_t newest =
                    *rc::gen::inRange<std::uint64_t>(stale + 1, VersionCount + 1);
            follower.offerRoot(storedVersion(stale).root);
            for (const ConfigurationChunk &chunk : storedVersion(stale).chunks)
                follower.offerChunk(chunk.name, chunk.text);
            follower.onPeerVersion(newest);
            RC_ASSERT(applied.empty());
            follower.offerRoot(storedVersion(newest).root);
            for (const ConfigurationChunk &chunk : storedVersion(newest).chunks)
                follower.offerChunk(chunk.name, chunk.text);
            RC_ASSERT(applied.size() == 1);
            RC_ASSERT(applied.front().version == newest);
        });
    }
    SECTION("a host without peers applies the stored configuration at the end of its startup")
    {
        ConfigurationFollower follower(listener, metrics, log);
        follower.beginStartup();
        CHECK_FALSE(follower.offerRoot(storedVersion(3).root));
        follower.endStartup();
        CHECK(follower.current().version == 3);
    }
    SECTION("a chunk whose text does not match the hash in its name is rejected")
    {
        ConfigurationFollower follower(listener, metrics, log);
        follower.offerRoot(storedVersion(1).root);
        const std::string name = follower.missingChunks().front();
        follower.offerChunk(name, storedVersion(1).chunks.back().text + " ");
        CHECK(follower.missingChunks().front() == name);
    }
}
