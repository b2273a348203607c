#pragma once

#include "core/event_log.h"
#include "core/random_source.h"
#include "state/collection_store.h"

#include <optional>

namespace dotterel {

/// What a CollectionFollower does next.
struct FollowStep
{
    enum class Kind { List, Watch };
    Kind kind = Kind::List;
    std::uint64_t revision = 0;        ///< From which to watch.
    Duration after = Duration::zero(); ///< Wait before the call.
};

/// Follows a collection of the store: lists it, watches on from there, lists again when the history
/// is lost, and backs off while the store is away or turns this host away. Pure.
class CollectionFollower
{
public:
    CollectionFollower(Collection collection, RandomSource &random, EventLog &log);

    /// What to do now.
    FollowStep next();

    /// The list came; watching goes on from \a revision.
    void onListed(std::uint64_t revision, TimePoint now);

    /// A watch answered, with the store at \a revision.
    void onWatched(std::uint64_t revision, TimePoint now);

    /// A call failed with \a error.
    void onFailed(StoreError error, TimePoint now);

    /// Returns true if the store does not answer this host.
    bool isAway() const { return this->failures > 0; }

    /// Returns true if the store came back less than \a span ago, so that entries may be missing
    /// which lapsed meanwhile.
    bool cameBackWithin(Duration span, TimePoint now) const;

private:
    void onAnswered(TimePoint now);

    Collection collection;
    RandomSource &random;
    EventLog &log;
    std::optional<std::uint64_t> revision; ///< None until listed.
    Duration pause = Duration::zero();     ///< Before the next watch.
    int failures = 0;
    std::optional<TimePoint> backSince;
};

} // namespace dotterel
