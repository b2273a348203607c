#include "coordination/configuration_follower.h"

#include <algorithm>
#include <set>

namespace dotterel {

ConfigurationFollower::ConfigurationFollower(Listener listener, Metrics &metrics, EventLog &log)
    : listener(std::move(listener))
    , metrics(metrics)
    , log(log)
{}

void ConfigurationFollower::endStartup()
{
    this->isStarting = false;
    this->applyIfComplete();
}

void ConfigurationFollower::onPeerVersion(std::uint64_t version)
{
    this->highestPeerVersion = std::max(this->highestPeerVersion, version);
    if (this->isStarting)
        this->applyIfComplete();
}

bool ConfigurationFollower::offerRoot(const std::string &rootText)
{
    const tl::expected<ConfigurationRoot, std::string> offered = decodeConfigurationRoot(rootText);
    if (!offered) {
        this->log.write(Event::ConfigurationRejected, {{"error", offered.error()}});
        return false;
    }
    if (offered->inlineConfiguration.version <= this->latestRootVersion())
        return false;
    this->pending = PendingRoot{*offered, rootText};
    return this->applyIfComplete();
}

bool ConfigurationFollower::offerChunk(const std::string &name, const std::string &chunkText)
{
    const std::vector<std::string> missingNames = this->missingChunks();
    if (std::find(missingNames.begin(), missingNames.end(), name) == missingNames.end())
        return false;
    const tl::expected<Configuration, std::string> contents =
            decodeConfigurationChunk(name, chunkText);
    if (!contents) {
        this->log.write(Event::ConfigurationRejected, {{"error", contents.error()}});
        return false;
    }
    this->chunks[name] = {chunkText, *contents};
    return this->applyIfComplete();
}

std::uint64_t ConfigurationFollower::latestRootVersion() const
{
    return this->pending ? this->pending->root.inlineConfiguration.version
                         : this->configuration.version;
}

std::vector<std::string> ConfigurationFollower::missingChunks() const
{
    std::vector<std::string> names;
    if (!this->pending)
        return names;
    for (const std::string &name : this->pending->root.chunks) {
        if (this->chunks.count(name) == 0)
            names.push_back(name);
    }
    return names;
}

const std::string *ConfigurationFollower::chunkText(const std::string &name) const
{
    const auto found = this->chunks.find(name);
    return found == this->chunks.end() ? nullptr : &found->second.text;
}

bool ConfigurationFollower::applyIfComplete()
{
    if (!this->pending || !this->missingChunks().empty())
        return false;
    const std::uint64_t version = this->pending->root.inlineConfiguration.version;
    const bool matchesPeers = this->highestPeerVersion > 0 && version >= this->highestPeerVersion;
    if (this->isStarting && !matchesPeers)
        return false;
    this->isStarting = false;
    this->configuration = this->assemble(this->pending->root);
    this->activeRootText = this->pending->rootText;
    this->activeChunkNames = this->pending->root.chunks;
    this->pending.reset();
    this->removeUnusedChunks();
    this->metrics.set(Gauge::ConfigurationVersion, static_cast<double>(version));
    this->log.write(Event::ConfigurationApplied, {{"version", static_cast<std::int64_t>(version)}});
    this->listener(this->configuration);
    return true;
}

Configuration ConfigurationFollower::assemble(const ConfigurationRoot &root) const
{
    Configuration assembled = root.inlineConfiguration;
    if (root.chunks.empty())
        return assembled;
    // Applies only the chunks that differ from the active configuration.
    const std::set<std::string> oldNames(this->activeChunkNames.begin(),
                                         this->activeChunkNames.end());
    const std::set<std::string> newNames(root.chunks.begin(), root.chunks.end());
    if (!oldNames.empty()) {
        assembled.workspaces = this->configuration.workspaces;
        assembled.servers = this->configuration.servers;
    }
    for (const std::string &name : oldNames) {
        if (newNames.count(name) == 0)
            removeWorkspacesAndServers(assembled, this->chunks.at(name).contents);
    }
    for (const std::string &name : newNames) {
        if (oldNames.count(name) == 0)
            addWorkspacesAndServers(assembled, this->chunks.at(name).contents);
    }
    return assembled;
}

void ConfigurationFollower::removeUnusedChunks()
{
    const std::set<std::string> usedNames(this->activeChunkNames.begin(),
                                          this->activeChunkNames.end());
    for (auto chunk = this->chunks.begin(); chunk != this->chunks.end();)
        chunk = usedNames.count(chunk->first) > 0 ? std::next(chunk) : this->chunks.erase(chunk);
}

} // namespace dotterel
