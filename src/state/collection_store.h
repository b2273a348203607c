#pragma once

#include "core/time.h"
#include "state/object_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// A group of objects in the platform's store that is listed and watched as a whole.
enum class Collection : std::uint8_t {
    Configuration,
    Servers, ///< Backend servers, which write their own entries.
    Hosts,   ///< Entry hosts.
    /// Failure domains that operators have put out of service, one object each while they are.
    DomainsOutOfService,
    /// Requests and parts of prompts that crash backend servers, one object each.
    CrashSuspects,
};

/// Required consistency of a list.
enum class ListFreshness {
    Current,
    MayBeStale, ///< Up to seconds old; costs the store a fraction of a current one.
};

/// Returns true if \a collection has no objects in normal operation.
bool isUsuallyEmpty(Collection collection);

/// Returns the external name of \a collection.
std::string_view collectionName(Collection collection);

/// One object of a collection, or its removal.
struct CollectionObject
{
    std::string name;
    std::uint64_t revision = 0; ///< Store-wide; rises with every change of one era.
    bool removed = false;
    std::string text; ///< The stored value.
    /// Rises each time the store is restored from a copy. What the store acknowledged since the
    /// copy was made is then lost, and its revisions are given out again. 0 if unknown.
    std::uint64_t era = 0;
    /// Version that the writer gave the object; it never goes back. 0 if the object has none.
    std::uint64_t version = 0;
    /// Why the store's value is left out; empty if it is not. Peers are told an empty text.
    std::string defect = {};
};

/// Returns true if \a candidate is a later state of its object than \a known. Versions decide, as
/// the restored copy of a versioned object is an older one; then the era and the revision.
bool isLaterState(const CollectionObject &candidate, const CollectionObject &known);

/// The objects of a list or the changes of a watch, up to one revision.
struct CollectionPage
{
    std::vector<CollectionObject> objects;
    std::uint64_t revision = 0;
    std::uint64_t era = 0;         ///< 0 if the store does not state it.
    bool hasUnreadableEra = false; ///< The store stated an era that is not a positive integer.
    /// Why objects that cannot be told apart are left out, one reason each.
    std::vector<std::string> unidentified = {};
};

/// A running call. Destroying it abandons the call: its callback is not invoked.
class StoreCall
{
public:
    virtual ~StoreCall() = default;
};

/// Client interface to the platform's collections. Every call is asynchronous and invokes its
/// callback exactly once.
class CollectionStore
{
public:
    using PageResult = tl::expected<CollectionPage, StoreError>;
    using PageCallback = std::function<void(const PageResult &)>;
    using WriteCallback = std::function<void(const tl::expected<void, StoreError> &)>;

    virtual ~CollectionStore() = default;

    /// Lists all objects of \a collection.
    virtual void list(Collection collection, ListFreshness freshness, PageCallback callback) = 0;

    /// Returns the changes after \a revision as soon as there is one, or an empty page after
    /// \a wait. Fails with NotFound if the store no longer has the history since \a revision, and
    /// with NoResponse if the response is overdue. The returned call may be null.
    virtual std::unique_ptr<StoreCall> watch(Collection collection, std::uint64_t revision,
                                             Duration wait, PageCallback callback) = 0;

    /// Writes the object \a name unconditionally.
    virtual void put(Collection collection, const std::string &name, const std::string &text,
                     WriteCallback callback) = 0;

    virtual void remove(Collection collection, const std::string &name, WriteCallback callback) = 0;
};

} // namespace dotterel
