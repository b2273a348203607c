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

/// Reads and replaces the configuration in the object API, for operators. Chunks are written first;
/// one conditional write of the root puts them all in force.
class ConfigurationRepository
{
public:
    /// The result of a replacement: the new version, or a sentence that says what went wrong.
    using StoreCallback = std::function<void(const tl::expected<std::uint64_t, std::string> &)>;
    using LoadCallback = std::function<void(const tl::expected<Configuration, std::string> &)>;

    explicit ConfigurationRepository(ObjectStore &store);

    /// Reads the configuration; it has version 0 if none has been stored.
    void load(LoadCallback callback);

    /// Stores \a configuration as the successor of version \a baseVersion. Fails if another
    /// operator was quicker, and says what the other one changed since load().
    void replace(Configuration configuration, std::uint64_t baseVersion, StoreCallback callback);

private:
    struct Loading;
    struct Replacing;
    using LoadingPointer = std::shared_ptr<Loading>;
    using ReplacingPointer = std::shared_ptr<Replacing>;

    void loadChunk(const LoadingPointer &loading, std::size_t index);
    void compareBase(const ReplacingPointer &replacing, const ObjectStore::ReadResult &root);
    void writeChunk(const ReplacingPointer &replacing, std::size_t index, int tries);
    void repeatChunk(const ReplacingPointer &replacing, std::size_t index, int tries);
    void writeRoot(const ReplacingPointer &replacing);
    void readBack(const ReplacingPointer &replacing, bool conflict);
    void reportConflict(const ReplacingPointer &replacing);

    ObjectStore &store;
    Configuration lastLoaded;
};

} // namespace dotterel
