#pragma once

#include "coordination/watch_schedule.h"
#include "core/metrics.h"
#include "gateway/collection_follower.h"
#include "gateway/collection_replica.h"
#include "transport/event_loop.h"

#include <functional>
#include <memory>

namespace dotterel {

/// Keeps this host's copy of one collection of the platform up to date: from the store, and from
/// peers while the store does not answer this host or this host does not watch it.
class CollectionFeed
{
public:
    /// Circumstances of changes.
    struct ChangeContext
    {
        bool mayHaveLapsed = false; ///< Removals may be entries that expired during an outage.
        bool mayBeRestored = false; ///< Entries may be older ones of a restored copy.
        bool fromPeer = false;      ///< Learned from another host, not from the store.
    };
    /// Receives objects that changed on this host.
    using Listener =
            std::function<void(const std::vector<CollectionObject> &, const ChangeContext &)>;
    /// Announces changed objects to the linked peers.
    using Announcer = std::function<void(const ObjectAnnouncement &)>;

    /// Callbacks for events that concern the host beyond the collection.
    struct HostEvents
    {
        std::function<void()> silentConnection;            ///< A watch got no response in time.
        std::function<void(std::uint64_t era)> eraChanged; ///< The store is in a later era.
    };

    CollectionFeed(EventLoop &loop, CollectionStore &store, Collection collection,
                   RandomSource &random, Listener listener, Announcer announcer,
                   HostEvents hostEvents, Metrics &metrics, EventLog &log);
    ~CollectionFeed();

    /// Lists the collection once. Whether the store is watched afterwards is set by setWatching().
    void start();

    /// Sets the turn of this host among those that watch the store; nullopt if it relies on
    /// announcements of peers that do.
    void setWatching(const std::optional<WatchTurn> &turn);

    /// Repeats a waiting watch on a new connection, since its connection may be silent. \a reason
    /// is logged.
    void renewWatch(const char *reason);

    /// Handles the news that the store is in \a era: lists the collection again at once if the era
    /// is later than the known one. \a source is logged.
    void learnEra(std::uint64_t era, const char *source);

    /// Handles an announcement that a peer sent over \a link.
    void onAnnouncement(std::uint64_t link, const ObjectAnnouncement &announcement,
                        PeerLocality place);

    /// Applies objects that a peer sent.
    void onObjectOffer(const ObjectOffer &offer);

    /// Returns the requests to peers that are due now, with their links, and removes them.
    std::vector<std::pair<std::uint64_t, ObjectRequest>> takeDueRequests();

    /// Returns when takeDueRequests() is due next, or nothing if no request is pending.
    std::optional<TimePoint> nextRequestDue() const { return this->localObjects.nextRequestDue(); }

    /// Returns this host's copy of the collection.
    const CollectionReplica &objects() const { return this->localObjects; }

    /// See CollectionReplica::disregardVersion().
    void disregardVersion(const std::string &name) { this->localObjects.disregardVersion(name); }

    /// Returns true once the collection was read as a whole, from the store or from a peer.
    bool isKnown() const { return this->known; }

    /// Returns true while calls of this host to the store fail.
    bool isStoreUnavailable() const { return this->follower.isStoreUnreachable(); }

private:
    void scheduleNextCall();
    void restartCalls();
    /// Completes the era of \a page. Returns false if the page belongs to an earlier era.
    bool resolveEra(CollectionPage &page);
    void logRejectedEra(const CollectionPage &page);
    void enterEra(std::uint64_t era, std::uint64_t revision, const char *source);
    bool isWatchWaiting() const;
    void callStore(const CollectionRequest &step);
    /// Makes the next call if an exception has ended the chain of calls.
    void resumeCalls();
    void onPage(CollectionRequest::Kind kind, const CollectionStore::PageResult &page);
    void reportOutdatedObjects(const CollectionPage &page);
    void reportUnidentifiedObjects(const CollectionPage &page);
    void publishChanges(const std::vector<CollectionObject> &changes, bool fromPeer);
    /// Returns true if this host has nothing of the collection, so that the store is asked further.
    bool isMissing() const;

    EventLoop &loop;
    CollectionStore &store;
    CollectionFollower follower;
    CollectionReplica localObjects;
    Listener listener;
    Announcer announcer;
    Metrics &metrics;
    EventLog &log;
    EventLoop::TimerHandle callTimer;
    EventLoop::TimerHandle resumeTimer;
    std::weak_ptr<void> callInProgress; ///< Until the callback of the last call runs or is lost.
    bool watching = true;
    bool callPending = false; ///< A call to the store is running or scheduled.
    WatchSchedule watchSchedule;
    std::unique_ptr<StoreCall> watchCall;
    std::optional<TimePoint> watchStartedAt; ///< Set while a watch waits at the store.
    std::optional<TimePoint> lastRenewal;
    TimePoint turnsBeganAt;       ///< When the watches of all hosts ended together.
    bool watchContinues = false;  ///< The previous watch kept its turn and ended without a change.
    bool confirmsWatch = false;   ///< The watch only shows whether the store answers.
    bool watchRenewed = false;    ///< The next watch replaces one that may be silent.
    std::uint64_t callNumber = 0; ///< Responses to earlier calls are ignored.
    HostEvents hostEvents;
    bool known = false;
    bool eraRejected = false; ///< Logged; until a response states a valid era.
    std::shared_ptr<bool> alive =
            std::make_shared<bool>(true); ///< False for callbacks that run after destruction.
};

} // namespace dotterel
