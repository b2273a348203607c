#pragma once

#include "gateway/collection_follower.h"
#include "gateway/collection_replica.h"
#include "transport/event_loop.h"

#include <functional>
#include <memory>

namespace dotterel {

/// Keeps one collection of the platform up to date on this host: from the store, and from peers
/// while the store turns this host away.
class CollectionFeed
{
public:
    /// Gets objects that are new here. \a mayHaveLapsed is true if removals may come from an outage
    /// of the store.
    using Listener = std::function<void(const std::vector<CollectedObject> &, bool mayHaveLapsed)>;
    /// Tells linked peers what is known now.
    using Announcer = std::function<void(const ObjectAnnouncement &)>;

    CollectionFeed(EventLoop &loop, CollectionStore &store, Collection collection,
                   RandomSource &random, Listener listener, Announcer announcer, EventLog &log);
    ~CollectionFeed();

    /// Lists the collection once and goes on as setFollowing() says.
    void start();

    /// Sets whether this host follows the store, or hears of changes from peers that do.
    void setFollowing(bool follows);

    /// Takes over what a peer announced on \a link.
    void onAnnounced(std::uint64_t link, const ObjectAnnouncement &announcement,
                     PeerLocality place);

    /// Takes over what a peer sent.
    void onOffered(const ObjectOffer &offer);

    /// Returns requests to peers that are due, by link.
    std::vector<std::pair<std::uint64_t, ObjectRequest>> takeDueRequests();

    /// When takeDueRequests() is due next, if ever.
    std::optional<TimePoint> nextRequestDue() const { return this->shared.nextRequestDue(); }

    /// What this host knows.
    const CollectionReplica &objects() const { return this->shared; }

    /// Returns true if the store does not answer this host.
    bool isStoreAway() const { return this->follower.isStoreUnreachable(); }

private:
    void step();
    void call(const CollectionRequest &step);
    void onPage(CollectionRequest::Kind kind, const CollectionStore::PageResult &page);
    void pass(const std::vector<CollectedObject> &news);

    EventLoop &loop;
    CollectionStore &store;
    CollectionFollower follower;
    CollectionReplica shared;
    Listener listener;
    Announcer announcer;
    EventLoop::TimerHandle timer;
    bool following = true;
    bool calling = false; ///< A call to the store is open or due.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Seen by calls that end late.
};

} // namespace dotterel
