#include "gateway/collection_follower.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Bounds of the backoff after a failed request. The upper bound stays well below the time within
/// which a new configuration has to be in force; the lower one limits the number of requests, each
/// of which is metered.
constexpr Duration InitialBackoff = std::chrono::milliseconds(100);
constexpr Duration MaxBackoff = std::chrono::milliseconds(800);
constexpr int MaxBackoffDoublings = 3;
/// Bounds of the random delay between a change in the server collection and the next watch. Servers
/// start and leave in groups, and each watch is a metered request, so the delay batches several
/// changes into one request. It stays well below the time within which a leaving server must stop
/// getting new requests. It is random, so that one host sees a change early and announces it to the
/// others.
constexpr Duration MinWatchDelay = std::chrono::milliseconds(200);
constexpr Duration MaxWatchDelay = std::chrono::milliseconds(600);

} // namespace

CollectionFollower::CollectionFollower(Collection collection, RandomSource &random, EventLog &log)
    : collection(collection)
    , random(random)
    , log(log)
{}

CollectionRequest CollectionFollower::nextRequest()
{
    CollectionRequest request;
    if (this->revision) {
        request.kind = CollectionRequest::Kind::Watch;
        request.revision = *this->revision;
        request.delay = this->watchDelay;
    }
    if (this->consecutiveFailures > 0) {
        const int doublings = std::min(this->consecutiveFailures - 1, MaxBackoffDoublings);
        const Duration maxDelay = std::min(MaxBackoff, InitialBackoff * (1 << doublings));
        // The jitter spreads the retries of hosts that lost the connection to the store at the same
        // time.
        // The next request uses a new connection, which may work.
        if (this->connectionSilent)
            return request;
        request.delay = fromSeconds(toSeconds(maxDelay) * (0.5 + 0.5 * this->random.nextDouble()));
    }
    return request;
}

void CollectionFollower::onListed(std::uint64_t newRevision, TimePoint now)
{
    this->revision = newRevision;
    this->watchDelay = Duration::zero();
    this->onRequestSucceeded(now);
}

void CollectionFollower::onWatched(std::uint64_t newRevision, TimePoint now)
{
    this->watchDelay = Duration::zero();
    if (this->revision && newRevision > *this->revision) {
        this->revision = newRevision;
        if (this->collection == Collection::Servers)
            this->watchDelay = fromSeconds(toSeconds(MinWatchDelay)
                                           + toSeconds(MaxWatchDelay - MinWatchDelay)
                                                     * this->random.nextDouble());
    }
    this->onRequestSucceeded(now);
}

void CollectionFollower::onFailed(StoreError error, TimePoint now)
{
    this->onWatchRepeated();
    if (error == StoreError::NotFound) {
        this->log.write(Event::PlatformHistoryLost,
                        {{"collection", std::string(collectionName(this->collection))}});
        this->revision.reset();
        // The collection is listed again without delay; entries may have expired in the gap.
        this->reconnectedAt = now;
        return;
    }
    if (this->consecutiveFailures == 0)
        this->log.write(Event::PlatformUnavailable,
                        {{"collection", std::string(collectionName(this->collection))},
                         {"error", std::string(storeErrorName(error))}});
    // Only the first missing response may be due to a silent connection.
    this->connectionSilent =
            error == StoreError::NoResponse && this->consecutiveFailures == 0 && this->revision;
    ++this->consecutiveFailures;
}

void CollectionFollower::onEraChanged(TimePoint now)
{
    this->revision.reset();
    this->watchDelay = Duration::zero();
    // Entries written since the copy was made are missing until they are written again.
    this->reconnectedAt = now;
    this->eraChangedAt = now;
}

void CollectionFollower::onRequestSucceeded(TimePoint now)
{
    if (this->consecutiveFailures > 0) {
        this->log.write(Event::PlatformReachable,
                        {{"collection", std::string(collectionName(this->collection))},
                         {"failures", static_cast<std::int64_t>(this->consecutiveFailures)}});
        this->reconnectedAt = now;
    }
    this->consecutiveFailures = 0;
    this->connectionSilent = false;
}

bool CollectionFollower::eraChangedWithin(Duration window, TimePoint now) const
{
    return this->eraChangedAt && now - *this->eraChangedAt < window;
}

bool CollectionFollower::reconnectedWithin(Duration window, TimePoint now) const
{
    return this->reconnectedAt && now - *this->reconnectedAt < window;
}

} // namespace dotterel
