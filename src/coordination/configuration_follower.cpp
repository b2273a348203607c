#include "coordination/configuration_follower.h"

#include <algorithm>
#include <set>

namespace dotterel {

ConfigurationFollower::ConfigurationFollower(Listener listener, Metrics &metrics, EventLog &log)
    : listener(std::move(listener))
    , metrics(metrics)
    , log(log)
{}

void ConfigurationFollower::endStart()
{
    this->starting = false;
    this->applyIfWhole();
}

void ConfigurationFollower::onPeerVersion(std::uint64_t version)
{
    this->highestPeerVersion = std::max(this->highestPeerVersion, version);
    if (this->starting)
        this->applyIfWhole();
}

bool ConfigurationFollower::offer(const std::string &rootText)
{
    const tl::expected<ConfigurationRoot, std::string> offered = configurationRoot(rootText);
    if (!offered) {
        this->log.write(Event::ConfigurationRejected, {{"error", offered.error()}});
        return false;
    }
    if (offered->own.version <= this->offeredVersion())
        return false;
    this->pending = Pending{*offered, rootText};
    return this->applyIfWhole();
}

bool ConfigurationFollower::offerChunk(const std::string &name, const std::string &chunkText)
{
    const std::vector<std::string> wanted = this->missing();
    if (std::find(wanted.begin(), wanted.end(), name) == wanted.end())
        return false;
    const tl::expected<Configuration, std::string> part = configurationChunk(name, chunkText);
    if (!part) {
        this->log.write(Event::ConfigurationRejected, {{"error", part.error()}});
        return false;
    }
    this->chunks[name] = {chunkText, *part};
    return this->applyIfWhole();
}

std::uint64_t ConfigurationFollower::offeredVersion() const
{
    return this->pending ? this->pending->root.own.version : this->configuration.version;
}

std::vector<std::string> ConfigurationFollower::missing() const
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

bool ConfigurationFollower::applyIfWhole()
{
    if (!this->pending || !this->missing().empty())
        return false;
    const std::uint64_t version = this->pending->root.own.version;
    const bool peersReached = this->highestPeerVersion > 0 && version >= this->highestPeerVersion;
    if (this->starting && !peersReached)
        return false;
    this->starting = false;
    this->configuration = this->assemble(this->pending->root);
    this->text = this->pending->text;
    this->chunkNames = this->pending->root.chunks;
    this->pending.reset();
    this->dropUnusedChunks();
    this->metrics.set(Gauge::ConfigurationVersion, static_cast<double>(version));
    this->log.write(Event::ConfigurationApplied, {{"version", static_cast<std::int64_t>(version)}});
    this->listener(this->configuration);
    return true;
}

Configuration ConfigurationFollower::assemble(const ConfigurationRoot &root) const
{
    Configuration whole = root.own;
    if (root.chunks.empty())
        return whole;
    // Only the chunks that changed are worked on.
    const std::set<std::string> before(this->chunkNames.begin(), this->chunkNames.end());
    const std::set<std::string> after(root.chunks.begin(), root.chunks.end());
    if (!before.empty()) {
        whole.workspaces = this->configuration.workspaces;
        whole.servers = this->configuration.servers;
    }
    for (const std::string &name : before) {
        if (after.count(name) == 0)
            removePart(whole, this->chunks.at(name).part);
    }
    for (const std::string &name : after) {
        if (before.count(name) == 0)
            addPart(whole, this->chunks.at(name).part);
    }
    return whole;
}

void ConfigurationFollower::dropUnusedChunks()
{
    const std::set<std::string> used(this->chunkNames.begin(), this->chunkNames.end());
    for (auto row = this->chunks.begin(); row != this->chunks.end();)
        row = used.count(row->first) > 0 ? std::next(row) : this->chunks.erase(row);
}

} // namespace dotterel
