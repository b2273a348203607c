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

/// A value in the platform's object API.
struct StoredObject
{
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Rises with each write of the key; 0 means absent.
};

/// Why a call to the object API did not succeed.
enum class StoreError {
    NotFound,
    Conflict,       ///< The condition did not hold; nothing was written.
    Unavailable,    ///< A read failed, or a write did not reach the store; nothing was written.
    UnknownOutcome, ///< The answer to a write was lost; it may take effect, even later.
    TooLarge,       ///< The value is over one megabyte.
};

/// Returns the external name of \a error.
std::string_view storeErrorName(StoreError error);

/// The platform's object API: versioned values, conditional writes and watches. Every call is
/// asynchronous; its callback gets the time at which the answer arrived and is called once.
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

    /// Reads \a key. The answer may be stale: an earlier version, or absence.
    virtual void read(const std::string &key, ReadCallback callback) = 0;

    /// Writes \a key if its version is \a expectedVersion; 0 means that it must not exist.
    /// The result is the new version.
    virtual void write(const std::string &key, const std::string &value,
                       std::uint64_t expectedVersion, WriteCallback callback) = 0;

    /// Removes \a key if its version is \a expectedVersion.
    virtual void remove(const std::string &key, std::uint64_t expectedVersion,
                        WriteCallback callback) = 0;

    /// Lists the objects whose keys begin with \a prefix, in the order of their keys.
    virtual void list(const std::string &prefix, ListCallback callback) = 0;

    /// Answers when \a key has a version above \a knownVersion, or with NotFound after \a wait.
    virtual void watch(const std::string &key, std::uint64_t knownVersion, Duration wait,
                       ReadCallback callback) = 0;
};

/// A host on the platform's list of hosts.
struct ListedHost
{
    std::string id;
    std::string role; ///< "entry" or "backend".
    std::string failureDomain;
    std::string address;
    std::uint16_t peerPort = 0;
    std::uint16_t operatorPort = 0;
    bool leaving = false;
};

/// The platform's list of live and leaving hosts, which lags.
class HostList
{
public:
    using Result = tl::expected<std::vector<ListedHost>, StoreError>;
    using Callback = std::function<void(const Result &, TimePoint now)>;

    virtual ~HostList() = default;

    /// Reads the list.
    virtual void hosts(Callback callback) = 0;
};

} // namespace dotterel
