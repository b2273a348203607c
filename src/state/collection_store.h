#pragma once

#include "core/time.h"
#include "state/object_store.h"

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// Objects of one sort that the platform keeps together.
enum class Collection : std::uint8_t {
    Configuration,
    Servers, ///< Backend servers; they write their entries themselves.
    Hosts,   ///< Entry hosts.
};

/// How recent a list has to be.
enum class ListFreshness {
    Current,
    MayBeStale, ///< Seconds old, for a fraction of the cost.
};

/// Returns the external name of \a collection.
std::string_view collectionName(Collection collection);

/// An object, or that it is gone.
struct CollectedObject
{
    std::string name;
    std::uint64_t revision = 0; ///< Of the store; a later change of any object has a higher one.
    bool removed = false;
    std::string text; ///< As it is written there.
};

/// Objects as of one revision.
struct CollectedPage
{
    std::vector<CollectedObject> objects;
    std::uint64_t revision = 0;
};

/// Collections of the platform that are listed and watched as a whole. Every call is asynchronous
/// and calls back once.
class CollectionStore
{
public:
    using PageResult = tl::expected<CollectedPage, StoreError>;
    using PageCallback = std::function<void(const PageResult &)>;
    using WriteCallback = std::function<void(const tl::expected<void, StoreError> &)>;

    virtual ~CollectionStore() = default;

    /// Reads the whole of \a collection.
    virtual void list(Collection collection, ListFreshness freshness, PageCallback callback) = 0;

    /// Answers with the changes after \a revision as soon as there is one, or with none after
    /// \a wait. NotFound means that the store has dropped that much of its history.
    virtual void watch(Collection collection, std::uint64_t revision, Duration wait,
                       PageCallback callback) = 0;

    /// Writes the object \a name, whatever it was.
    virtual void put(Collection collection, const std::string &name, const std::string &text,
                     WriteCallback callback) = 0;

    /// Removes the object \a name.
    virtual void remove(Collection collection, const std::string &name, WriteCallback callback) = 0;
};

} // namespace dotterel
