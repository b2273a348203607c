#pragma once

#include "core/event_log.h"
#include "core/metrics.h"
#include "state/configuration_root.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// Tracks the active configuration of a host: the highest version of which the root and all chunks
/// have been received, regardless of the order and the source in which they arrive. Performs no I/O
/// and reads no clock.
class ConfigurationFollower
{
public:
    using Listener = std::function<void(const Configuration &)>;

    /// Calls \a listener for each configuration that becomes active.
    ConfigurationFollower(Listener listener, Metrics &metrics, EventLog &log);

    /// Defers activation of the first configuration until it is at least as new as the version of a
    /// peer, or until endStartup(): a starting host may read a stale root from the object API.
    void beginStartup() { this->isStarting = true; }
    void endStartup();

    /// Called when a peer reports \a version as its active configuration.
    void onPeerVersion(std::uint64_t version);

    /// Processes the stored text of a root that was received from the object API or from a peer.
    /// Returns true if a configuration became active.
    bool offerRoot(const std::string &rootText);

    /// Processes a received chunk. Returns true if a configuration became active.
    bool offerChunk(const std::string &name, const std::string &text);

    /// Returns the names of the chunks that the pending root still lacks.
    std::vector<std::string> missingChunks() const;

    /// Returns the highest version of which a root was received, complete or not.
    std::uint64_t latestRootVersion() const;

    /// Returns the active configuration; its version is 0 if there is none.
    const Configuration &current() const { return this->configuration; }

    /// Returns the stored text of the active root, for peers that have an older version.
    const std::string &currentRootText() const { return this->activeRootText; }

    /// Returns the stored text of a chunk, for peers; null if the chunk is not known.
    const std::string *chunkText(const std::string &name) const;

private:
    struct Chunk
    {
        std::string text;
        Configuration contents;
    };
    struct PendingRoot
    {
        ConfigurationRoot root;
        std::string rootText;
    };

    bool applyIfComplete();
    Configuration assemble(const ConfigurationRoot &root) const;
    void removeUnusedChunks();

    Listener listener;
    Metrics &metrics;
    EventLog &log;
    bool isStarting = false;
    std::uint64_t highestPeerVersion = 0;
    Configuration configuration;
    std::string activeRootText;
    std::vector<std::string> activeChunkNames; ///< Of the active configuration.
    std::optional<PendingRoot> pending;
    std::map<std::string, Chunk> chunks;
};

} // namespace dotterel
