#pragma once

#include "core/random_source.h"
#include "state/configuration.h"
#include "state/configuration_root.h"
#include "state/object_store.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace dotterel {

/// Loads and replaces the configuration in the object store, for operator commands. Chunks are
/// written first; one conditional write of the root then makes them all effective atomically.
class ConfigurationRepository
{
public:
    /// Result of replace(): the new version, or an error message.
    using StoreCallback = std::function<void(const tl::expected<std::uint64_t, std::string> &)>;
    using LoadCallback = std::function<void(const tl::expected<Configuration, std::string> &)>;

    explicit ConfigurationRepository(ObjectStore &store);

    /// Reads the configuration. The result has version 0 if none has been stored.
    void load(LoadCallback callback);

    /// Stores \a configuration as version \a baseVersion + 1. Fails if the stored version is not
    /// \a baseVersion; the error then lists what another operator changed since load().
    void replace(Configuration configuration, std::uint64_t baseVersion, StoreCallback callback);

private:
    struct LoadOperation;
    struct ReplaceOperation;
    using LoadOperationPointer = std::shared_ptr<LoadOperation>;
    using ReplaceOperationPointer = std::shared_ptr<ReplaceOperation>;

    void loadChunk(const LoadOperationPointer &operation, std::size_t index);
    void checkBaseVersion(const ReplaceOperationPointer &operation,
                          const ObjectStore::ReadResult &root);
    void writeChunk(const ReplaceOperationPointer &operation, std::size_t index, int attempt);
    void retryChunk(const ReplaceOperationPointer &operation, std::size_t index, int attempt);
    void writeRoot(const ReplaceOperationPointer &operation);
    void verifyRootWrite(const ReplaceOperationPointer &operation, bool conflict);
    void reportConflict(const ReplaceOperationPointer &operation);

    ObjectStore &store;
    Configuration lastLoaded;
};

} // namespace dotterel
