#include "gateway/collection_follower.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Bounds of the backoff after a failed request. The upper bound stays well below the time within
/// which a new configuration has to be in force; the lower one limits the number of requests, which
/// are metered.
constexpr Duration FirstBackoff = std::chrono::milliseconds(100);
constexpr Duration LongestBackoff = std::chrono::milliseconds(800);
constexpr int MostDoublings = 3;
/// Bounds of the random delay between a change in the server collection and the next watch. Servers
/// start and leave in groups, so that the delay combines several changes in one request; each watch
/// is a metered request. The delay stays well below the time within which a leaving server must
/// get no new work. It differs between hosts, so that one of them sees a change early and announces
/// it to the others.
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
        // The jitter keeps hosts that lost the store at the same time from retrying at the same
        // time.
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
        // The collection is listed again without delay; entries may have expired in the gap.
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
