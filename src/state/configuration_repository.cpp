#include "state/configuration_repository.h"

#include "core/hashing.h"

#include <algorithm>
#include <random>

namespace dotterel {

namespace {

/// Attempts of a write that failed or whose outcome is unknown, including the first.
constexpr int MaxAttempts = 4;

std::string readErrorText(StoreError error)
{
    return "the configuration cannot be read: " + std::string(storeErrorName(error));
}

/// Uses the system's random device: an operator command is a process of its own, so there is no
/// seeded generator from which a run could be reproduced.
std::string generateNonce()
{
    std::random_device device;
    const std::uint64_t highBits = device();
    return toHex((highBits << 32U) | device());
}

} // namespace

/// State of one load().
struct ConfigurationRepository::LoadOperation
{
    LoadCallback callback;
    ConfigurationRoot root;
    Configuration configuration;
};

/// State of one replace().
struct ConfigurationRepository::ReplaceOperation
{
    StoreCallback callback;
    std::uint64_t newVersion = 0;
    std::string nonce;
    EncodedConfiguration encoded;
    std::uint64_t expectedVersion = 0; ///< Version of the root object in the store.
    std::vector<ConfigurationChunk> missingChunks;
    int rootAttempts = 0;
};

ConfigurationRepository::ConfigurationRepository(ObjectStore &store)
    : store(store)
{}

void ConfigurationRepository::load(LoadCallback callback)
{
    this->store.read(ConfigurationRootKey,
                     [this, callback = std::move(callback)](const ObjectStore::ReadResult &result,
                                                            TimePoint) {
                         const bool isAbsent = !result && result.error() == StoreError::NotFound;
                         if (!result && !isAbsent) {
                             callback(tl::unexpected(readErrorText(result.error())));
                             return;
                         }
                         const LoadOperationPointer operation = std::make_shared<LoadOperation>();
                         operation->callback = callback;
                         if (result) {
                             const tl::expected<ConfigurationRoot, std::string> root =
                                     decodeConfigurationRoot(result->value);
                             if (!root) {
                                 callback(tl::unexpected(root.error()));
                                 return;
                             }
                             operation->root = *root;
                         }
                         operation->configuration = operation->root.inlineConfiguration;
                         this->loadChunk(operation, 0);
                     });
}

void ConfigurationRepository::loadChunk(const LoadOperationPointer &operation, std::size_t index)
{
    if (index == operation->root.chunks.size()) {
        this->lastLoaded = operation->configuration;
        operation->callback(operation->configuration);
        return;
    }
    const std::string &name = operation->root.chunks[index];
    this->store.read(
            configurationChunkKey(name),
            [this, operation, index, name](const ObjectStore::ReadResult &result, TimePoint) {
                if (!result) {
                    operation->callback(tl::unexpected(readErrorText(result.error())));
                    return;
                }
                const tl::expected<Configuration, std::string> part =
                        decodeConfigurationChunk(name, result->value);
                if (!part) {
                    operation->callback(tl::unexpected(part.error()));
                    return;
                }
                addWorkspacesAndServers(operation->configuration, *part);
                this->loadChunk(operation, index + 1);
            });
}

void ConfigurationRepository::replace(Configuration configuration, std::uint64_t baseVersion,
                                      StoreCallback callback)
{
    const ReplaceOperationPointer operation = std::make_shared<ReplaceOperation>();
    operation->callback = std::move(callback);
    operation->newVersion = baseVersion + 1;
    operation->nonce = generateNonce();
    configuration.version = operation->newVersion;
    operation->encoded = encodeConfiguration(configuration, operation->nonce);
    this->store.read(ConfigurationRootKey,
                     [this, operation](const ObjectStore::ReadResult &result, TimePoint) {
                         this->checkBaseVersion(operation, result);
                     });
}

void ConfigurationRepository::checkBaseVersion(const ReplaceOperationPointer &operation,
                                               const ObjectStore::ReadResult &root)
{
    if (!root && root.error() != StoreError::NotFound) {
        operation->callback(tl::unexpected(readErrorText(root.error())));
        return;
    }
    ConfigurationRoot current;
    if (root) {
        const tl::expected<ConfigurationRoot, std::string> decoded =
                decodeConfigurationRoot(root->value);
        if (!decoded) {
            operation->callback(tl::unexpected(decoded.error()));
            return;
        }
        current = *decoded;
        operation->expectedVersion = root->version;
    }
    if (current.inlineConfiguration.version + 1 != operation->newVersion) {
        this->reportConflict(operation);
        return;
    }
    for (const ConfigurationChunk &chunk : operation->encoded.chunks) {
        const bool alreadyStored =
                std::find(current.chunks.begin(), current.chunks.end(), chunk.name)
                != current.chunks.end();
        if (!alreadyStored)
            operation->missingChunks.push_back(chunk);
    }
    this->writeChunk(operation, 0, 1);
}

void ConfigurationRepository::writeChunk(const ReplaceOperationPointer &operation,
                                         std::size_t index, int attempt)
{
    if (index == operation->missingChunks.size()) {
        this->writeRoot(operation);
        return;
    }
    const ConfigurationChunk &chunk = operation->missingChunks[index];
    this->store.write(
            configurationChunkKey(chunk.name), chunk.text, 0,
            [this, operation, index, attempt](const ObjectStore::WriteResult &result, TimePoint) {
                // The name is the hash of the text, so an existing chunk has the same content.
                if (result || result.error() == StoreError::Conflict)
                    this->writeChunk(operation, index + 1, 1);
                else if (attempt < MaxAttempts)
                    this->retryChunk(operation, index, attempt);
                else
                    operation->callback(
                            tl::unexpected("the configuration was not stored: "
                                           + std::string(storeErrorName(result.error()))));
            });
}

void ConfigurationRepository::retryChunk(const ReplaceOperationPointer &operation,
                                         std::size_t index, int attempt)
{
    const std::string &name = operation->missingChunks[index].name;
    this->store.read(configurationChunkKey(name), [this, operation, index,
                                                   attempt](const ObjectStore::ReadResult &result,
                                                            TimePoint) {
        const bool chunkStored = result && result->value == operation->missingChunks[index].text;
        this->writeChunk(operation, chunkStored ? index + 1 : index, chunkStored ? 1 : attempt + 1);
    });
}

void ConfigurationRepository::writeRoot(const ReplaceOperationPointer &operation)
{
    ++operation->rootAttempts;
    this->store.write(ConfigurationRootKey, operation->encoded.root, operation->expectedVersion,
                      [this, operation](const ObjectStore::WriteResult &result, TimePoint) {
                          if (result)
                              operation->callback(operation->newVersion);
                          else if (result.error() == StoreError::Conflict)
                              this->verifyRootWrite(operation, true);
                          else if (result.error() == StoreError::UnknownOutcome)
                              this->verifyRootWrite(operation, false);
                          else
                              operation->callback(tl::unexpected(
                                      "the configuration was not stored: "
                                      + std::string(storeErrorName(result.error()))));
                      });
}

void ConfigurationRepository::verifyRootWrite(const ReplaceOperationPointer &operation,
                                              bool conflict)
{
    this->store.read(ConfigurationRootKey, [this, operation,
                                            conflict](const ObjectStore::ReadResult &result,
                                                      TimePoint) {
        const tl::expected<ConfigurationRoot, std::string> root =
                result ? decodeConfigurationRoot(result->value)
                       : tl::expected<ConfigurationRoot, std::string>(ConfigurationRoot{});
        if (root && root->nonce == operation->nonce) {
            operation->callback(operation->newVersion);
            return;
        }
        const bool versionAdvanced = result && result->version > operation->expectedVersion;
        if (conflict && (versionAdvanced || operation->rootAttempts == 1)) {
            this->reportConflict(operation);
        } else if (operation->rootAttempts < MaxAttempts) {
            // Both writes expect the same version, so at most one of them takes effect.
            this->writeRoot(operation);
        } else {
            operation->callback(tl::unexpected(std::string(
                    "it is not known whether the configuration was stored; check it with get "
                    "before applying it again")));
        }
    });
}

void ConfigurationRepository::reportConflict(const ReplaceOperationPointer &operation)
{
    const Configuration baseConfiguration = this->lastLoaded;
    this->load([operation,
                baseConfiguration](const tl::expected<Configuration, std::string> &current) {
        std::string message = "the configuration was changed concurrently; nothing was written";
        if (current && baseConfiguration.version + 1 == operation->newVersion
            && current->version != baseConfiguration.version)
            message += "; version " + std::to_string(current->version)
                       + " changed: " + describeChanges(baseConfiguration, *current);
        operation->callback(tl::unexpected(message));
    });
}

} // namespace dotterel
