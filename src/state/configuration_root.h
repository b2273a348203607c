#pragma once

#include "state/configuration.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// Key of the object that holds the root of the configuration.
inline constexpr const char *ConfigurationKey = "config/root";

/// A part of a large configuration: the workspaces or servers of one bucket of names. Its name is
/// the hash of its text, so that a name never means two texts.
struct ConfigurationChunk
{
    std::string name;
    std::string text;
};

/// What the root object says. A small configuration stands in it whole and names no chunks.
struct ConfigurationRoot
{
    Configuration own; ///< Everything but what the chunks hold.
    std::string nonce; ///< Of the write that stored it.
    std::vector<std::string> chunks;
};

/// A configuration as it is stored.
struct StoredConfiguration
{
    std::string root;
    std::vector<ConfigurationChunk> chunks;
};

/// Returns the key of the object that holds the chunk called \a name.
std::string configurationChunkKey(const std::string &name);

/// Returns \a configuration as it is stored by the write called \a nonce.
StoredConfiguration storedConfiguration(const Configuration &configuration,
                                        const std::string &nonce);

/// Reads a root; the error says what was wrong.
tl::expected<ConfigurationRoot, std::string> configurationRoot(std::string_view text);

/// Reads the chunk called \a name; fails if \a text does not have this hash.
tl::expected<Configuration, std::string> configurationChunk(const std::string &name,
                                                            std::string_view text);

/// Adds the workspaces and servers of \a part to \a whole, or takes them out.
void addPart(Configuration &whole, const Configuration &part);
void removePart(Configuration &whole, const Configuration &part);

/// Says in one line what differs between two configurations.
std::string describeChanges(const Configuration &before, const Configuration &after);

} // namespace dotterel
