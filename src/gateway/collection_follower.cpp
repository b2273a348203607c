#include "gateway/collection_follower.h"

#include <algorithm>

namespace dotterel {

namespace {

/// First wait after a failure, and the longest one: a store that is back must be noticed well
/// within the time in which a configuration has to be in force, and calls are counted.
constexpr Duration FirstBackoff = std::chrono::milliseconds(100);
constexpr Duration LongestBackoff = std::chrono::milliseconds(800);
constexpr int MostDoublings = 3;
/// Wait between two watches of the servers, the shortest and the longest: they start and leave in
/// groups, and each watch is a counted call. Well below the time in which a leaving server must get
/// no new work; hosts draw it apart, so that one of them hears of a change at once and tells the
/// others.
constexpr Duration ShortestPause = std::chrono::milliseconds(200);
constexpr Duration LongestPause = std::chrono::milliseconds(600);

} // namespace

CollectionFollower::CollectionFollower(Collection collection, RandomSource &random, EventLog &log)
    : collection(collection)
    , random(random)
    , log(log)
{}

FollowStep CollectionFollower::next()
{
    FollowStep step;
    if (this->revision) {
        step.kind = FollowStep::Kind::Watch;
        step.revision = *this->revision;
        step.after = this->pause;
    }
    if (this->failures > 0) {
        const int doublings = std::min(this->failures - 1, MostDoublings);
        const Duration longest = std::min(LongestBackoff, FirstBackoff * (1 << doublings));
        // Hosts that lost the store together must not come back together.
        step.after = fromSeconds(toSeconds(longest) * (0.5 + 0.5 * this->random.unit()));
    }
    return step;
}

void CollectionFollower::onListed(std::uint64_t newRevision, TimePoint now)
{
    this->revision = newRevision;
    this->pause = Duration::zero();
    this->onAnswered(now);
}

void CollectionFollower::onWatched(std::uint64_t newRevision, TimePoint now)
{
    this->pause = Duration::zero();
    if (this->revision && newRevision > *this->revision) {
        this->revision = newRevision;
        if (this->collection == Collection::Servers)
            this->pause =
                    fromSeconds(toSeconds(ShortestPause)
                                + toSeconds(LongestPause - ShortestPause) * this->random.unit());
    }
    this->onAnswered(now);
}

void CollectionFollower::onFailed(StoreError error, TimePoint now)
{
    if (error == StoreError::NotFound) {
        this->log.write(Event::PlatformHistoryLost,
                        {{"collection", std::string(collectionName(this->collection))}});
        this->revision.reset();
        // What was missed is listed at once; entries may have lapsed in the gap.
        this->backSince = now;
        return;
    }
    if (this->failures == 0)
        this->log.write(Event::PlatformUnavailable,
                        {{"collection", std::string(collectionName(this->collection))},
                         {"error", std::string(storeErrorName(error))}});
    ++this->failures;
}

void CollectionFollower::onAnswered(TimePoint now)
{
    if (this->failures > 0) {
        this->log.write(Event::PlatformReachable,
                        {{"collection", std::string(collectionName(this->collection))},
                         {"failures", static_cast<std::int64_t>(this->failures)}});
        this->backSince = now;
    }
    this->failures = 0;
}

bool CollectionFollower::cameBackWithin(Duration span, TimePoint now) const
{
    return this->backSince && now - *this->backSince < span;
}

} // namespace dotterel
