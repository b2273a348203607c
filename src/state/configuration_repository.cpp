#include "state/configuration_repository.h"

#include "core/hashing.h"

#include <algorithm>
#include <random>

namespace dotterel {

namespace {

/// Tries of a write whose outcome is unknown.
constexpr int MostTries = 4;

std::string unreadable(StoreError error)
{
    return "the configuration cannot be read: " + std::string(storeErrorName(error));
}

/// Operators run one command in a process, so nothing can be repeated from a seed here.
std::string drawNonce()
{
    std::random_device device;
    const std::uint64_t high = device();
    return toHex((high << 32U) | device());
}

} // namespace

/// A configuration that is being read.
struct ConfigurationRepository::Loading
{
    LoadCallback callback;
    ConfigurationRoot root;
    Configuration whole;
};

/// A configuration that is being stored.
struct ConfigurationRepository::Replacing
{
    StoreCallback callback;
    std::uint64_t newVersion = 0;
    std::string nonce;
    StoredConfiguration stored;
    std::uint64_t expectedVersion = 0; ///< Of the root object.
    std::vector<ConfigurationChunk> newChunks;
    int rootTries = 0;
};

ConfigurationRepository::ConfigurationRepository(ObjectStore &store)
    : store(store)
{}

void ConfigurationRepository::load(LoadCallback callback)
{
    this->store.read(ConfigurationKey, [this, callback = std::move(callback)](
                                               const ObjectStore::ReadResult &result, TimePoint) {
        const bool absent = !result && result.error() == StoreError::NotFound;
        if (!result && !absent) {
            callback(tl::unexpected(unreadable(result.error())));
            return;
        }
        const LoadingPointer loading = std::make_shared<Loading>();
        loading->callback = callback;
        if (result) {
            const tl::expected<ConfigurationRoot, std::string> root =
                    configurationRoot(result->value);
            if (!root) {
                callback(tl::unexpected(root.error()));
                return;
            }
            loading->root = *root;
        }
        loading->whole = loading->root.own;
        this->loadChunk(loading, 0);
    });
}

void ConfigurationRepository::loadChunk(const LoadingPointer &loading, std::size_t index)
{
    if (index == loading->root.chunks.size()) {
        this->lastLoaded = loading->whole;
        loading->callback(loading->whole);
        return;
    }
    const std::string &name = loading->root.chunks[index];
    this->store.read(
            configurationChunkKey(name),
            [this, loading, index, name](const ObjectStore::ReadResult &result, TimePoint) {
                if (!result) {
                    loading->callback(tl::unexpected(unreadable(result.error())));
                    return;
                }
                const tl::expected<Configuration, std::string> part =
                        configurationChunk(name, result->value);
                if (!part) {
                    loading->callback(tl::unexpected(part.error()));
                    return;
                }
                addPart(loading->whole, *part);
                this->loadChunk(loading, index + 1);
            });
}

void ConfigurationRepository::replace(Configuration configuration, std::uint64_t baseVersion,
                                      StoreCallback callback)
{
    const ReplacingPointer replacing = std::make_shared<Replacing>();
    replacing->callback = std::move(callback);
    replacing->newVersion = baseVersion + 1;
    replacing->nonce = drawNonce();
    configuration.version = replacing->newVersion;
    replacing->stored = storedConfiguration(configuration, replacing->nonce);
    this->store.read(ConfigurationKey,
                     [this, replacing](const ObjectStore::ReadResult &result, TimePoint) {
                         this->compareBase(replacing, result);
                     });
}

void ConfigurationRepository::compareBase(const ReplacingPointer &replacing,
                                          const ObjectStore::ReadResult &root)
{
    if (!root && root.error() != StoreError::NotFound) {
        replacing->callback(tl::unexpected(unreadable(root.error())));
        return;
    }
    ConfigurationRoot present;
    if (root) {
        const tl::expected<ConfigurationRoot, std::string> decoded = configurationRoot(root->value);
        if (!decoded) {
            replacing->callback(tl::unexpected(decoded.error()));
            return;
        }
        present = *decoded;
        replacing->expectedVersion = root->version;
    }
    if (present.own.version + 1 != replacing->newVersion) {
        this->reportConflict(replacing);
        return;
    }
    for (const ConfigurationChunk &chunk : replacing->stored.chunks) {
        const bool known = std::find(present.chunks.begin(), present.chunks.end(), chunk.name)
                           != present.chunks.end();
        if (!known)
            replacing->newChunks.push_back(chunk);
    }
    this->writeChunk(replacing, 0, 1);
}

void ConfigurationRepository::writeChunk(const ReplacingPointer &replacing, std::size_t index,
                                         int tries)
{
    if (index == replacing->newChunks.size()) {
        this->writeRoot(replacing);
        return;
    }
    const ConfigurationChunk &chunk = replacing->newChunks[index];
    this->store.write(
            configurationChunkKey(chunk.name), chunk.text, 0,
            [this, replacing, index, tries](const ObjectStore::WriteResult &result, TimePoint) {
                // The name is the hash of the text, so a chunk that exists is the one wanted.
                if (result || result.error() == StoreError::Conflict)
                    this->writeChunk(replacing, index + 1, 1);
                else if (tries < MostTries)
                    this->repeatChunk(replacing, index, tries);
                else
                    replacing->callback(
                            tl::unexpected("the configuration was not stored: "
                                           + std::string(storeErrorName(result.error()))));
            });
}

void ConfigurationRepository::repeatChunk(const ReplacingPointer &replacing, std::size_t index,
                                          int tries)
{
    const std::string &name = replacing->newChunks[index].name;
    this->store.read(
            configurationChunkKey(name),
            [this, replacing, index, tries](const ObjectStore::ReadResult &result, TimePoint) {
                const bool stored = result && result->value == replacing->newChunks[index].text;
                this->writeChunk(replacing, stored ? index + 1 : index, stored ? 1 : tries + 1);
            });
}

void ConfigurationRepository::writeRoot(const ReplacingPointer &replacing)
{
    ++replacing->rootTries;
    this->store.write(ConfigurationKey, replacing->stored.root, replacing->expectedVersion,
                      [this, replacing](const ObjectStore::WriteResult &result, TimePoint) {
                          if (result)
                              replacing->callback(replacing->newVersion);
                          else if (result.error() == StoreError::Conflict)
                              this->readBack(replacing, true);
                          else if (result.error() == StoreError::UnknownOutcome)
                              this->readBack(replacing, false);
                          else
                              replacing->callback(tl::unexpected(
                                      "the configuration was not stored: "
                                      + std::string(storeErrorName(result.error()))));
                      });
}

void ConfigurationRepository::readBack(const ReplacingPointer &replacing, bool conflict)
{
    this->store.read(ConfigurationKey, [this, replacing, conflict](
                                               const ObjectStore::ReadResult &result, TimePoint) {
        const tl::expected<ConfigurationRoot, std::string> root =
                result ? configurationRoot(result->value)
                       : tl::expected<ConfigurationRoot, std::string>(ConfigurationRoot{});
        if (root && root->nonce == replacing->nonce) {
            replacing->callback(replacing->newVersion);
            return;
        }
        const bool moved = result && result->version > replacing->expectedVersion;
        if (conflict && (moved || replacing->rootTries == 1)) {
            this->reportConflict(replacing);
        } else if (replacing->rootTries < MostTries) {
            // Both writes ask for the same version, so at most one of them takes effect.
            this->writeRoot(replacing);
        } else {
            replacing->callback(tl::unexpected(std::string(
                    "it is not known whether the configuration was stored; look at it with get "
                    "before you apply it again")));
        }
    });
}

void ConfigurationRepository::reportConflict(const ReplacingPointer &replacing)
{
    const Configuration before = this->lastLoaded;
    this->load([replacing, before](const tl::expected<Configuration, std::string> &present) {
        std::string message = "another change came first; nothing was written";
        if (present && before.version + 1 == replacing->newVersion
            && present->version != before.version)
            message += "; version " + std::to_string(present->version)
                       + " changed: " + describeChanges(before, *present);
        replacing->callback(tl::unexpected(message));
    });
}

} // namespace dotterel
