#pragma once

#include "core/random_source.h"
#include "state/configuration.h"
#include "state/object_store.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace dotterel {

/// Reads and replaces the configuration in the object API, for operators.
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
    /// operator was quicker.
    void replace(Configuration configuration, std::uint64_t baseVersion, StoreCallback callback);

private:
    ObjectStore &store;
};

} // namespace dotterel
