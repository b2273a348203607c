#include "entry_host/collection_feed.h"

#include <set>

namespace dotterel {

namespace {

/// Intervals between the ends of the watches of two hosts; each end is one metered call. With the
/// time limit of a response and the time in which peers hand on a change, the interval of the
/// servers stays below the time within which a confirmed change must be in force. A host that finds
/// one of its watches silent renews the other one, so that the other interval may be longer.
constexpr Duration ServerTurnInterval = std::chrono::seconds(2);
constexpr Duration OtherTurnInterval = std::chrono::seconds(8);
/// Number of turns over which hosts spread that do not know each other yet.
constexpr std::size_t FirstTurns = 6;
/// The store delivers a change to all watchers within a few tens of milliseconds. A watcher
/// requests an announced object from a peer only if the store has not delivered it after this
/// delay.
constexpr Duration WatcherRequestDelay = std::chrono::milliseconds(250);
/// Limits the calls while peers announce objects that the store does not deliver.
constexpr Duration MinRenewalInterval = std::chrono::seconds(3);
/// Removals within this time after the end of a store outage may be entries that expired during it.
constexpr Duration ExpiryWindowAfterOutage = std::chrono::seconds(2);

/// How often a feed checks whether its chain of calls goes on.
constexpr Duration ResumeInterval = std::chrono::seconds(1);

} // namespace

CollectionFeed::CollectionFeed(EventLoop &loop, CollectionStore &store, Collection collection,
                               RandomSource &random, Listener listener, Announcer announcer,
                               HostEvents hostEvents, Metrics &metrics, EventLog &log)
    : loop(loop)
    , store(store)
    , follower(collection, random, log)
    , localObjects(collection)
    , listener(std::move(listener))
    , announcer(std::move(announcer))
    , metrics(metrics)
    , log(log)
    , watchSchedule(collection == Collection::Servers ? ServerTurnInterval : OtherTurnInterval,
                    {random.nextBelow(FirstTurns), FirstTurns})
    , turnsBeganAt(loop.now())
    , hostEvents(std::move(hostEvents))
{
    // A list is enough unless the host turns out to be one of those that watch.
    this->watching = !isUsuallyEmpty(collection);
}

CollectionFeed::~CollectionFeed()
{
    *this->alive = false;
}

void CollectionFeed::start()
{
    this->resumeTimer = this->loop.every(ResumeInterval, [this] { this->resumeCalls(); });
    this->scheduleNextCall();
}

void CollectionFeed::setWatching(const std::optional<WatchTurn> &turn)
{
    const bool starts = turn && !this->watching;
    this->watching = turn.has_value();
    if (turn)
        this->watchSchedule.setTurn(*turn);
    this->localObjects.setRequestDelay(turn ? WatcherRequestDelay : Duration::zero());
    if (starts && !this->callPending)
        this->scheduleNextCall();
}

void CollectionFeed::scheduleNextCall()
{
    this->callPending = false;
    // A host that does not watch the store still lists it once, since peers may not have the
    // collection either.
    if (!this->watching && !this->isMissing())
        return;
    this->callPending = true;
    const CollectionRequest next = this->follower.nextRequest();
    if (next.delay <= Duration::zero())
        return this->callStore(next);
    this->callTimer = this->loop.after(next.delay, [this, next] {
        this->callTimer.reset();
        this->callStore(next);
    });
}

void CollectionFeed::resumeCalls()
{
    if (!this->callPending || this->callTimer || !this->callInProgress.expired())
        return;
    this->watchStartedAt.reset();
    this->watchContinues = false;
    this->follower.onFailed(StoreError::Unavailable, this->loop.now());
    this->scheduleNextCall();
}

void CollectionFeed::callStore(const CollectionRequest &step)
{
    this->metrics.count(Counter::PlatformReads, 1);
    const auto progress = std::make_shared<char>();
    this->callInProgress = progress;
    const auto callback = [this, kind = step.kind, number = ++this->callNumber, progress,
                           alive = this->alive](const CollectionStore::PageResult &page) {
        if (!*alive || number != this->callNumber)
            return;
        this->callInProgress.reset();
        this->onPage(kind, page);
    };
    if (step.kind == CollectionRequest::Kind::List) {
        this->store.list(this->localObjects.collection(), ListFreshness::Current, callback);
        return;
    }
    const TimePoint now = this->loop.now();
    this->watchStartedAt = now;
    // A store that does not answer loses a watch, and only the end of its wait shows this. A long
    // watch is therefore sent to a store that has answered.
    this->confirmsWatch = this->watchRenewed || this->follower.isStoreUnreachable();
    this->watchRenewed = false;
    const Duration wait =
            this->confirmsWatch
                    ? WatchSchedule::ConfirmationWait
                    : this->watchSchedule.nextWait(this->watchContinues, now - this->turnsBeganAt);
    this->watchCall =
            this->store.watch(this->localObjects.collection(), step.revision, wait, callback);
}

bool CollectionFeed::isWatchWaiting() const
{
    return this->watchStartedAt && this->loop.now() - *this->watchStartedAt >= WatcherRequestDelay;
}

void CollectionFeed::renewWatch(const char *reason)
{
    const TimePoint now = this->loop.now();
    if (!this->isWatchWaiting()
        || (this->lastRenewal && now - *this->lastRenewal < MinRenewalInterval))
        return;
    this->lastRenewal = now;
    this->metrics.count(Counter::WatchesRenewed, 1);
    this->log.write(Event::WatchRenewed,
                    {{"collection", std::string(collectionName(this->localObjects.collection()))},
                     {"reason", std::string(reason)},
                     {"waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                           now - *this->watchStartedAt)
                                           .count()}});
    this->watchStartedAt.reset();
    this->watchCall.reset();
    this->watchContinues = false;
    this->watchRenewed = true;
    this->turnsBeganAt = now;
    this->follower.onWatchRepeated();
    this->scheduleNextCall();
}

void CollectionFeed::onPage(CollectionRequest::Kind kind, const CollectionStore::PageResult &page)
{
    const TimePoint now = this->loop.now();
    this->watchStartedAt.reset();
    this->watchContinues = page && kind == CollectionRequest::Kind::Watch && !this->confirmsWatch
                           && page->objects.empty();
    // An outage or a change ends the watches of all hosts at about the same time.
    if (page ? !page->objects.empty() : !this->follower.isStoreUnreachable())
        this->turnsBeganAt = now;
    if (!page) {
        this->follower.onFailed(page.error(), now);
        if (page.error() == StoreError::NoResponse && kind == CollectionRequest::Kind::Watch) {
            this->metrics.count(Counter::PlatformWatchTimeouts, 1);
            this->hostEvents.silentConnection();
        }
        return this->scheduleNextCall();
    }
    CollectionPage current = *page;
    const std::uint64_t knownEra = this->localObjects.era();
    if (!this->resolveEra(current)) {
        this->follower.onFailed(StoreError::Unavailable, now);
        return this->scheduleNextCall();
    }
    this->metrics.set(Gauge::PlatformRevision, static_cast<double>(current.revision));
    this->metrics.set(Gauge::PlatformEra, static_cast<double>(current.era));
    if (current.era > knownEra && !this->isMissing()) {
        this->enterEra(current.era, current.revision, "store");
        // The changes of a watch are not complete: it began in the earlier era.
        if (kind == CollectionRequest::Kind::Watch)
            return this->scheduleNextCall();
    }
    this->reportOutdatedObjects(current);
    this->reportUnidentifiedObjects(current);
    if (kind == CollectionRequest::Kind::List) {
        this->follower.onListed(current.revision, now);
        this->known = true;
        this->publishChanges(this->localObjects.onListed(current), false);
    } else {
        this->follower.onWatched(current.revision, now);
        this->publishChanges(this->localObjects.onChanged(current.objects), false);
    }
    this->scheduleNextCall();
}

bool CollectionFeed::resolveEra(CollectionPage &page)
{
    const std::uint64_t knownEra = this->localObjects.era();
    const bool isEarlier = page.era > 0 && page.era < knownEra;
    if (page.hasUnreadableEra || isEarlier)
        this->logRejectedEra(page);
    else if (page.era > 0)
        this->eraRejected = false;
    if (isEarlier)
        return false;
    // A store that states no era is taken to be in the known one.
    if (page.era == 0)
        page.era = knownEra;
    for (CollectionObject &object : page.objects)
        object.era = page.era;
    return true;
}

void CollectionFeed::logRejectedEra(const CollectionPage &page)
{
    if (this->eraRejected)
        return;
    this->eraRejected = true;
    this->log.write(Event::PlatformEraRejected,
                    {{"collection", std::string(collectionName(this->localObjects.collection()))},
                     {"reason", std::string(page.hasUnreadableEra ? "unreadable" : "earlier")},
                     {"era", static_cast<std::int64_t>(page.era)},
                     {"known_era", static_cast<std::int64_t>(this->localObjects.era())},
                     {"revision", static_cast<std::int64_t>(page.revision)}});
}

void CollectionFeed::enterEra(std::uint64_t era, std::uint64_t revision, const char *source)
{
    const std::uint64_t previousEra = this->localObjects.era();
    this->metrics.count(Counter::PlatformEraChanges, 1);
    this->log.write(Event::PlatformEraChanged,
                    {{"collection", std::string(collectionName(this->localObjects.collection()))},
                     {"source", std::string(source)},
                     {"era", static_cast<std::int64_t>(era)},
                     {"previous_era", static_cast<std::int64_t>(previousEra)},
                     {"revision", static_cast<std::int64_t>(revision)},
                     {"previous_revision",
                      static_cast<std::int64_t>(this->follower.watchedRevision().value_or(0))}});
    this->localObjects.learnEra(era);
    this->turnsBeganAt = this->loop.now();
    this->follower.onEraChanged(this->loop.now());
    this->hostEvents.eraChanged(era);
}

void CollectionFeed::learnEra(std::uint64_t era, const char *source)
{
    if (era <= this->localObjects.era())
        return;
    if (this->isMissing())
        return this->localObjects.learnEra(era);
    this->enterEra(era, 0, source);
    this->restartCalls();
}

void CollectionFeed::restartCalls()
{
    ++this->callNumber;
    this->watchStartedAt.reset();
    this->watchCall.reset();
    this->callTimer.reset();
    this->scheduleNextCall();
}

void CollectionFeed::reportOutdatedObjects(const CollectionPage &page)
{
    for (const CollectionObject &object : page.objects) {
        const std::optional<CollectionObject> known = this->localObjects.reportOutdated(object);
        if (!known)
            continue;
        this->metrics.count(Counter::OutdatedObjects, 1);
        this->log.write(
                Event::ObjectOutdated,
                {{"collection", std::string(collectionName(this->localObjects.collection()))},
                 {"object", object.name},
                 {"era", static_cast<std::int64_t>(object.era)},
                 {"revision", static_cast<std::int64_t>(object.revision)},
                 {"version", static_cast<std::int64_t>(object.version)},
                 {"known_era", static_cast<std::int64_t>(known->era)},
                 {"known_revision", static_cast<std::int64_t>(known->revision)},
                 {"known_version", static_cast<std::int64_t>(known->version)},
                 {"store_revision", static_cast<std::int64_t>(page.revision)}});
    }
}

void CollectionFeed::reportUnidentifiedObjects(const CollectionPage &page)
{
    const std::string collection(collectionName(this->localObjects.collection()));
    this->metrics.count(Counter::ObjectsRejected, page.unidentified.size());
    // One line a reason: a watch or list may return many such objects.
    for (const std::string &reason :
         std::set<std::string>(page.unidentified.begin(), page.unidentified.end()))
        this->log.write(Event::ObjectRejected,
                        {{"collection", collection},
                         {"object", std::string()},
                         {"revision", static_cast<std::int64_t>(page.revision)},
                         {"error", reason}});
}

bool CollectionFeed::isMissing() const
{
    const bool mayBeEmpty = isUsuallyEmpty(this->localObjects.collection());
    return this->localObjects.empty() && !(mayBeEmpty && this->known);
}

void CollectionFeed::publishChanges(const std::vector<CollectionObject> &changes, bool fromPeer)
{
    if (changes.empty())
        return;
    this->announcer(this->localObjects.announcement(changes));
    const TimePoint now = this->loop.now();
    ChangeContext context;
    context.mayHaveLapsed = this->follower.reconnectedWithin(ExpiryWindowAfterOutage, now);
    context.fromPeer = fromPeer;
    context.mayBeRestored = this->follower.eraChangedWithin(ExpiryWindowAfterOutage, now);
    this->listener(changes, context);
}

void CollectionFeed::onAnnouncement(std::uint64_t link, const ObjectAnnouncement &announcement,
                                    PeerLocality place)
{
    for (const AnnouncedObject &object : announcement.objects)
        this->learnEra(object.era, "peer");
    this->publishChanges(
            this->localObjects.onAnnounced(link, announcement, this->loop.now(), place), true);
    this->known = this->known || !this->nextRequestDue();
}

void CollectionFeed::onObjectOffer(const ObjectOffer &offer)
{
    std::vector<CollectionObject> objects;
    objects.reserve(offer.objects.size());
    for (const OfferedObject &object : offer.objects)
        objects.push_back({object.name, object.revision, object.removed, object.text, object.era,
                           object.version});
    this->publishChanges(this->localObjects.onChanged(objects), true);
    this->known = this->known || !this->nextRequestDue();
}

std::vector<std::pair<std::uint64_t, ObjectRequest>> CollectionFeed::takeDueRequests()
{
    auto requests = this->localObjects.takeDueRequests(this->loop.now());
    // The store delivers a change to all watchers at about the same time.
    if (!requests.empty())
        this->renewWatch("peer_is_ahead");
    return requests;
}

} // namespace dotterel
