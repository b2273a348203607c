#include "state/configuration_root.h"

#include "core/hashing.h"
#include "core/json_input.h"
#include "state/configuration_codec.h"

#include <functional>

#include <array>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

/// A configuration up to this size is stored in the root object alone. Root and chunks must fit
/// into a peer frame of 64 KB.
constexpr std::size_t MaxRootBytes = 32UL * 1024;

/// Numbers of hash buckets. A change of one workspace or server rewrites only its bucket.
constexpr std::size_t WorkspaceBucketCount = 64;
constexpr std::size_t ServerBucketCount = 16;

constexpr std::size_t MaxDescribedChanges = 5;

std::string encodeRoot(const Configuration &inlineConfiguration, const std::string &nonce,
                       const std::vector<ConfigurationChunk> &chunks)
{
    nlohmann::json json = configurationToJson(inlineConfiguration);
    json["nonce"] = nonce;
    json["chunks"] = nlohmann::json::array();
    for (const ConfigurationChunk &chunk : chunks)
        json["chunks"].push_back(chunk.name);
    return json.dump();
}

void appendChunk(const Configuration &part, std::vector<ConfigurationChunk> &chunks)
{
    if (part.workspaces.empty() && part.servers.empty())
        return;
    const std::string text = configurationToJson(part).dump();
    chunks.push_back({hash128Hex(text), text});
}

template <typename Value>
void appendChanges(const std::string &kind, const std::map<std::string, Value> &before,
                   const std::map<std::string, Value> &after,
                   const std::function<nlohmann::json(const Configuration &)> &encode,
                   std::map<std::string, Value> Configuration::*member,
                   std::vector<std::string> &changes)
{
    const auto encodedValue = [&](const std::map<std::string, Value> &values,
                                  const std::string &name) {
        Configuration single;
        const auto found = values.find(name);
        if (found != values.end())
            (single.*member)[name] = found->second;
        return encode(single).dump();
    };
    std::map<std::string, Value> all = before;
    all.insert(after.begin(), after.end());
    for (const auto &[name, value] : all) {
        if (encodedValue(before, name) == encodedValue(after, name))
            continue;
        changes.push_back(kind);
        changes.back().append(" ").append(name);
    }
}

} // namespace

std::string configurationChunkKey(const std::string &name)
{
    return "config/chunks/" + name;
}

EncodedConfiguration encodeConfiguration(const Configuration &configuration,
                                         const std::string &nonce)
{
    const std::string whole = encodeRoot(configuration, nonce, {});
    if (whole.size() <= MaxRootBytes)
        return {whole, {}};
    std::array<Configuration, WorkspaceBucketCount> workspaces;
    for (const auto &[name, workspace] : configuration.workspaces)
        workspaces[hash64(name) % WorkspaceBucketCount].workspaces[name] = workspace;
    std::array<Configuration, ServerBucketCount> servers;
    for (const auto &[id, server] : configuration.servers)
        servers[hash64(id) % ServerBucketCount].servers[id] = server;
    std::vector<ConfigurationChunk> chunks;
    for (const Configuration &part : workspaces)
        appendChunk(part, chunks);
    for (const Configuration &part : servers)
        appendChunk(part, chunks);
    Configuration inlineConfiguration = configuration;
    inlineConfiguration.workspaces.clear();
    inlineConfiguration.servers.clear();
    return {encodeRoot(inlineConfiguration, nonce, chunks), chunks};
}

tl::expected<ConfigurationRoot, std::string> decodeConfigurationRoot(std::string_view text)
{
    const tl::expected<Configuration, std::string> inlineConfiguration =
            configurationFromJson(text);
    if (!inlineConfiguration)
        return tl::unexpected(inlineConfiguration.error());
    try {
        const nlohmann::json json = parseJsonOrDiscard(text);
        return ConfigurationRoot{*inlineConfiguration, json.value("nonce", std::string()),
                                 json.value("chunks", std::vector<std::string>())};
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

tl::expected<Configuration, std::string> decodeConfigurationChunk(const std::string &name,
                                                                  std::string_view text)
{
    if (hash128Hex(text) != name)
        return tl::unexpected(std::string("chunk name does not match the hash of its content"));
    return configurationFromJson(text);
}

void addWorkspacesAndServers(Configuration &whole, const Configuration &part)
{
    whole.workspaces.insert(part.workspaces.begin(), part.workspaces.end());
    whole.servers.insert(part.servers.begin(), part.servers.end());
}

void removeWorkspacesAndServers(Configuration &whole, const Configuration &part)
{
    for (const auto &[name, workspace] : part.workspaces)
        whole.workspaces.erase(name);
    for (const auto &[id, server] : part.servers)
        whole.servers.erase(id);
}

std::string describeChanges(const Configuration &before, const Configuration &after)
{
    std::vector<std::string> changes;
    const auto encode = [](const Configuration &single) { return configurationToJson(single); };
    appendChanges<Workspace>("workspace", before.workspaces, after.workspaces, encode,
                             &Configuration::workspaces, changes);
    appendChanges<RequestClass>("request class", before.requestClasses, after.requestClasses,
                                encode, &Configuration::requestClasses, changes);
    appendChanges<Pool>("pool", before.pools, after.pools, encode, &Configuration::pools, changes);
    appendChanges<BackendServer>("backend server", before.servers, after.servers, encode,
                                 &Configuration::servers, changes);
    std::string text;
    for (std::size_t i = 0; i < changes.size() && i < MaxDescribedChanges; ++i)
        text += (i == 0 ? "" : ", ") + changes[i];
    if (changes.size() > MaxDescribedChanges)
        text += " and " + std::to_string(changes.size() - MaxDescribedChanges) + " more";
    return text.empty() ? "policy weights or sheet export time" : text;
}

} // namespace dotterel
