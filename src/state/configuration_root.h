#pragma once

#include "state/configuration.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// Key of the configuration's root object.
inline constexpr const char *ConfigurationRootKey = "config/root";

/// A part of a large configuration: the workspaces or servers of one hash bucket. A chunk is named
/// by the hash of its text, so the content of a name never changes.
struct ConfigurationChunk
{
    std::string name;
    std::string text;
};

/// The decoded root object. It contains a small configuration completely and lists no chunks then.
struct ConfigurationRoot
{
    Configuration inlineConfiguration; ///< Everything that is not in chunks.
    std::string nonce;                 ///< Identifies the write that stored it.
    std::vector<std::string> chunks;
};

/// A configuration encoded as the objects that store it.
struct EncodedConfiguration
{
    std::string root;
    std::vector<ConfigurationChunk> chunks;
};

/// Returns the object key of the chunk \a name.
std::string configurationChunkKey(const std::string &name);

/// Encodes \a configuration for a write that is identified by \a nonce.
EncodedConfiguration encodeConfiguration(const Configuration &configuration,
                                         const std::string &nonce);

/// Decodes a root object. The error describes the first problem.
tl::expected<ConfigurationRoot, std::string> decodeConfigurationRoot(std::string_view text);

/// Decodes the chunk \a name. Fails if the hash of \a text is not \a name.
tl::expected<Configuration, std::string> decodeConfigurationChunk(const std::string &name,
                                                                  std::string_view text);

/// Adds the workspaces and servers of \a part to \a whole, or removes them from it.
void addWorkspacesAndServers(Configuration &whole, const Configuration &part);
void removeWorkspacesAndServers(Configuration &whole, const Configuration &part);

/// Returns a one-line summary of the differences between two configurations.
std::string describeChanges(const Configuration &before, const Configuration &after);

} // namespace dotterel
