#pragma once

#include "core/event_log.h"
#include "core/random_source.h"
#include "state/collection_store.h"

#include <optional>

namespace dotterel {

/// Next store request of a CollectionFollower.
struct CollectionRequest
{
    enum class Kind { List, Watch };
    Kind kind = Kind::List;
    std::uint64_t revision = 0;        ///< Start revision of a watch.
    Duration delay = Duration::zero(); ///< Time to wait before sending.
};

/// State machine that follows the changes of one collection of the store. Lists it, watches it
/// from the revision of the list, lists it again when the store has compacted the watched history,
/// and backs off while the store is unreachable or rejects this host. Performs no I/O.
class CollectionFollower
{
public:
    CollectionFollower(Collection collection, RandomSource &random, EventLog &log);

    /// Returns the request to send next.
    CollectionRequest nextRequest();

    /// Handles a list response; the next watch starts at \a revision.
    void onListed(std::uint64_t revision, TimePoint now);

    /// Handles a watch response; the store is now at \a revision.
    void onWatched(std::uint64_t revision, TimePoint now);

    /// Handles a request that failed with \a error.
    void onFailed(StoreError error, TimePoint now);

    /// The current watch is repeated: the next request is not delayed to batch changes.
    void onWatchRepeated() { this->watchDelay = Duration::zero(); }

    /// Handles a change of the era of the store: the collection is listed again at once.
    void onEraChanged(TimePoint now);

    /// Returns the revision from which the collection is watched; nullopt before a list.
    std::optional<std::uint64_t> watchedRevision() const { return this->revision; }

    /// Returns true if a request has failed, other than with NotFound, since the last success.
    bool isStoreUnreachable() const { return this->consecutiveFailures > 0; }

    /// Returns true if the era of the store changed less than \a window ago. Entries may then be
    /// those of the copy from which it was restored.
    bool eraChangedWithin(Duration window, TimePoint now) const;

    /// Returns true if the store became reachable, or lost its history, less than \a window ago.
    /// Entries that expired during the outage may then be missing from the store.
    bool reconnectedWithin(Duration window, TimePoint now) const;

private:
    void onRequestSucceeded(TimePoint now);

    Collection collection;
    RandomSource &random;
    EventLog &log;
    std::optional<std::uint64_t> revision;  ///< Not set before the first list.
    Duration watchDelay = Duration::zero(); ///< Delay before the next watch.
    int consecutiveFailures = 0;
    bool connectionSilent = false; ///< The latest failure may be due to its connection alone.
    std::optional<TimePoint> reconnectedAt;
    std::optional<TimePoint> eraChangedAt;
};

} // namespace dotterel
