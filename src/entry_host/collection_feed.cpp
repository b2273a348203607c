#include "entry_host/collection_feed.h"

namespace dotterel {

namespace {

/// Maximum duration of a long poll. Broken connections are detected by TCP keep-alive probes, so
/// this only bounds the delay after a lost response. A shorter one would cost more metered calls.
constexpr Duration WatchWait = std::chrono::seconds(20);
/// The store delivers a change to all watchers within a few tens of milliseconds. A watcher
/// requests an announced object from a peer only if the store has not delivered it after this
/// delay.
constexpr Duration AskDelayOfFollower = std::chrono::milliseconds(250);
/// Removals within this time after the end of a store outage may be entries that expired during it.
constexpr Duration LapseWindow = std::chrono::seconds(2);

} // namespace

CollectionFeed::CollectionFeed(EventLoop &loop, CollectionStore &store, Collection collection,
                               RandomSource &random, Listener listener, Announcer announcer,
                               EventLog &log)
    : loop(loop)
    , store(store)
    , follower(collection, random, log)
    , shared(collection)
    , listener(std::move(listener))
    , announcer(std::move(announcer))
{}

CollectionFeed::~CollectionFeed()
{
    *this->alive = false;
}

void CollectionFeed::start()
{
    this->step();
}

void CollectionFeed::setFollowing(bool follows)
{
    const bool begins = follows && !this->following;
    this->following = follows;
    this->shared.setRequestDelay(follows ? AskDelayOfFollower : Duration::zero());
    if (begins && !this->calling)
        this->step();
}

void CollectionFeed::step()
{
    this->calling = false;
    // A host that does not watch the store still lists it once, since peers may not have the
    // collection either.
    if (!this->following && !this->shared.empty())
        return;
    this->calling = true;
    const CollectionRequest next = this->follower.nextRequest();
    if (next.delay <= Duration::zero())
        return this->call(next);
    this->timer = this->loop.after(next.delay, [this, next] { this->call(next); });
}

void CollectionFeed::call(const CollectionRequest &step)
{
    const auto callback = [this, kind = step.kind,
                           alive = this->alive](const CollectionStore::PageResult &page) {
        if (*alive)
            this->onPage(kind, page);
    };
    if (step.kind == CollectionRequest::Kind::List)
        this->store.list(this->shared.collection(), ListFreshness::Current, callback);
    else
        this->store.watch(this->shared.collection(), step.revision, WatchWait, callback);
}

void CollectionFeed::onPage(CollectionRequest::Kind kind, const CollectionStore::PageResult &page)
{
    const TimePoint now = this->loop.now();
    if (!page) {
        this->follower.onFailed(page.error(), now);
    } else if (kind == CollectionRequest::Kind::List) {
        this->follower.onListed(page->revision, now);
        this->pass(this->shared.onListed(*page));
    } else {
        this->follower.onWatched(page->revision, now);
        this->pass(this->shared.onChanged(page->objects));
    }
    this->step();
}

void CollectionFeed::pass(const std::vector<CollectedObject> &news)
{
    if (news.empty())
        return;
    this->announcer(this->shared.announcement(news));
    this->listener(news, this->follower.reconnectedWithin(LapseWindow, this->loop.now()));
}

void CollectionFeed::onAnnounced(std::uint64_t link, const ObjectAnnouncement &announcement,
                                 PeerLocality place)
{
    this->pass(this->shared.onAnnounced(link, announcement, this->loop.now(), place));
}

void CollectionFeed::onOffered(const ObjectOffer &offer)
{
    std::vector<CollectedObject> objects;
    objects.reserve(offer.objects.size());
    for (const OfferedObject &object : offer.objects)
        objects.push_back({object.name, object.revision, object.removed, object.text});
    this->pass(this->shared.onChanged(objects));
}

std::vector<std::pair<std::uint64_t, ObjectRequest>> CollectionFeed::takeDueRequests()
{
    return this->shared.takeDueRequests(this->loop.now());
}

} // namespace dotterel
