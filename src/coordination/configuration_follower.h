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

/// Decides which configuration is in force on a host: always the highest version that it has seen
/// whole, whatever the order and the way in which roots and chunks arrive. Pure.
class ConfigurationFollower
{
public:
    using Listener = std::function<void(const Configuration &)>;

    /// \a listener hears each configuration that comes into force.
    ConfigurationFollower(Listener listener, Metrics &metrics, EventLog &log);

    /// Holds back the first configuration until a peer's version is known and reached, or until
    /// endStart(): a host that starts may get a stale answer from the object API.
    void beginStart() { this->starting = true; }
    void endStart();

    /// A peer has \a version in force.
    void onPeerVersion(std::uint64_t version);

    /// Offers a root, as stored text, from the object API or from a peer. Returns true if a
    /// configuration came into force.
    bool offer(const std::string &rootText);

    /// Offers a chunk. Returns true if a configuration came into force.
    bool offerChunk(const std::string &name, const std::string &text);

    /// Returns the chunks that the highest offered version still lacks.
    std::vector<std::string> missing() const;

    /// Returns the highest version that was offered, whole or not.
    std::uint64_t offeredVersion() const;

    /// Returns the configuration in force; its version is 0 if there is none.
    const Configuration &current() const { return this->configuration; }

    /// Returns the root of the configuration in force, for peers that have an older one.
    const std::string &currentText() const { return this->text; }

    /// Returns the text of a chunk of the configuration in force, for peers; null if unknown.
    const std::string *chunkText(const std::string &name) const;

private:
    struct Chunk
    {
        std::string text;
        Configuration part;
    };
    struct Pending
    {
        ConfigurationRoot root;
        std::string text;
    };

    bool applyIfWhole();
    Configuration assemble(const ConfigurationRoot &root) const;
    void dropUnusedChunks();

    Listener listener;
    Metrics &metrics;
    EventLog &log;
    bool starting = false;
    std::uint64_t highestPeerVersion = 0;
    Configuration configuration;
    std::string text;
    std::vector<std::string> chunkNames; ///< Of the configuration in force.
    std::optional<Pending> pending;
    std::map<std::string, Chunk> chunks;
};

} // namespace dotterel
