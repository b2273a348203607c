#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// An object in the platform's store.
struct StoredObject
{
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Rises with each write of the key; 0 if absent.
};

/// Reason why a call to the object store failed.
enum class StoreError {
    NotFound,
    Conflict,       ///< The expected version did not match; nothing was written.
    Unavailable,    ///< A read failed, or a write did not reach the store.
    UnknownOutcome, ///< No response to a write, which may take effect, even later.
    TooLarge,       ///< The value is larger than one megabyte.
    NoResponse,     ///< A read got no response within its time limit.
};

/// Returns the external name of \a error.
std::string_view storeErrorName(StoreError error);

/// Client interface to the platform's object store: versioned values, conditional writes and
/// watches. Every call is asynchronous and invokes its callback exactly once, with the time at
/// which the response arrived.
class ObjectStore
{
public:
    using ReadResult = tl::expected<StoredObject, StoreError>;
    using ReadCallback = std::function<void(const ReadResult &, TimePoint now)>;
    using WriteResult = tl::expected<std::uint64_t, StoreError>;
    using WriteCallback = std::function<void(const WriteResult &, TimePoint now)>;
    using ListResult = tl::expected<std::vector<StoredObject>, StoreError>;
    using ListCallback = std::function<void(const ListResult &, TimePoint now)>;

    virtual ~ObjectStore() = default;

    /// Reads \a key. The result may be stale: an earlier version, or NotFound for a new key.
    virtual void read(const std::string &key, ReadCallback callback) = 0;

    /// Writes \a key if its version is \a expectedVersion; 0 means that the key must not exist.
    /// Returns the new version.
    virtual void write(const std::string &key, const std::string &value,
                       std::uint64_t expectedVersion, WriteCallback callback) = 0;

    /// Removes \a key if its version is \a expectedVersion.
    virtual void remove(const std::string &key, std::uint64_t expectedVersion,
                        WriteCallback callback) = 0;

    /// Lists the objects whose keys begin with \a prefix, sorted by key.
    virtual void list(const std::string &prefix, ListCallback callback) = 0;

    /// Returns \a key as soon as its version exceeds \a knownVersion, or NotFound after \a wait.
    virtual void watch(const std::string &key, std::uint64_t knownVersion, Duration wait,
                       ReadCallback callback) = 0;
};

/// An entry of the platform's host list.
struct HostListEntry
{
    std::string id;
    std::string role; ///< "entry" or "backend".
    std::string failureDomain;
    std::string address;
    std::uint16_t peerPort = 0;
    std::uint16_t operatorPort = 0;
    bool leaving = false;
};

/// Client interface to the platform's list of live and leaving hosts. The list is updated with a
/// delay.
class HostList
{
public:
    using Result = tl::expected<std::vector<HostListEntry>, StoreError>;
    using Callback = std::function<void(const Result &, TimePoint now)>;

    virtual ~HostList() = default;

    virtual void readHosts(Callback callback) = 0;
};

} // namespace dotterel
