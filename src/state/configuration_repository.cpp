#include "state/configuration_repository.h"

#include "state/configuration_codec.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr const char *RootKey = "config/root";

} // namespace

ConfigurationRepository::ConfigurationRepository(ObjectStore &store)
    : store(store)
{}

void ConfigurationRepository::load(LoadCallback callback)
{
    this->store.read(RootKey, [callback = std::move(callback)](
                                      const ObjectStore::ReadResult &result, TimePoint) {
        if (result)
            callback(configurationFromJson(result->value));
        else if (result.error() == StoreError::NotFound)
            callback(Configuration{});
        else
            callback(tl::unexpected("the configuration cannot be read: "
                                    + std::string(storeErrorName(result.error()))));
    });
}

void ConfigurationRepository::replace(Configuration configuration, std::uint64_t baseVersion,
                                      StoreCallback callback)
{
    configuration.version = baseVersion + 1;
    const std::string text = configurationToJson(configuration).dump();
    this->store.read(RootKey, [this, text, baseVersion, callback = std::move(callback)](
                                      const ObjectStore::ReadResult &result, TimePoint) {
        const bool absent = !result && result.error() == StoreError::NotFound;
        if (!result && !absent) {
            callback(tl::unexpected("the configuration cannot be read: "
                                    + std::string(storeErrorName(result.error()))));
            return;
        }
        const auto stored = absent ? tl::expected<Configuration, std::string>(Configuration{})
                                   : configurationFromJson(result->value);
        if (!stored || stored->version != baseVersion) {
            callback(tl::unexpected(std::string("another change came first; nothing was written")));
            return;
        }
        this->store.write(
                RootKey, text, absent ? 0 : result->version,
                [baseVersion, callback](const ObjectStore::WriteResult &written, TimePoint) {
                    if (written)
                        callback(baseVersion + 1);
                    else
                        callback(tl::unexpected("the configuration was not stored: "
                                                + std::string(storeErrorName(written.error()))));
                });
    });
}

} // namespace dotterel
