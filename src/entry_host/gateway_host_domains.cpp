// The part of GatewayHost that joins the collections of the store with each other, and follows
// which failure domains are out of service.

#include "entry_host/gateway_host.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Time for the first links to other hosts, which tell a host whether it is one of those that watch
/// which failure domains are out of service. Until then it has what it listed.
constexpr Duration LinkPatience = std::chrono::seconds(2);

} // namespace

bool GatewayHost::followsDomains() const
{
    return this->settings.domainServiceLimit > Duration::zero();
}

std::vector<CollectionFeed *> GatewayHost::activeFeeds()
{
    std::vector<CollectionFeed *> feeds = {&this->configurationFeed, &this->serverFeed};
    if (this->followsDomains())
        feeds.push_back(&this->domainFeed);
    return feeds;
}

CollectionFeed *GatewayHost::feedForCollection(std::uint8_t collection)
{
    for (CollectionFeed *feed : this->activeFeeds()) {
        if (collection == static_cast<std::uint8_t>(feed->objects().collection()))
            return feed;
    }
    return nullptr;
}

CollectionFeed::HostEvents GatewayHost::feedEvents(Collection collection)
{
    return {[this, collection] {
                for (CollectionFeed *feed : this->activeFeeds()) {
                    if (feed->objects().collection() != collection)
                        feed->renewWatch("other_watch_silent");
                }
            },
            [this, collection](std::uint64_t era) { this->onPlatformEra(era, collection); }};
}

void GatewayHost::onPlatformEra(std::uint64_t era, Collection source)
{
    for (CollectionFeed *feed : this->activeFeeds()) {
        if (feed->objects().collection() != source)
            feed->learnEra(era, "other_collection");
    }
    if (this->shuttingDown || era <= this->registeredEra)
        return;
    this->registeredEra = era;
    this->suspectKeeper.onStoreRestored(this->loop.now());
    this->registerHostEntry();
}

void GatewayHost::setWatchTurn(const std::optional<WatchTurn> &turn)
{
    this->configurationFeed.setWatching(turn);
    this->serverFeed.setWatching(turn);
    if (this->followsDomains() && this->loop.now() - this->startedAt >= LinkPatience)
        this->domainFeed.setWatching(turn);
}

void GatewayHost::applyDomainObjects(const std::vector<CollectionObject> &objects,
                                     const CollectionFeed::ChangeContext &context)
{
    if (this->domainService.apply(objects, context.fromPeer ? "peer" : "store", this->loop.now()))
        this->onDomainServiceChanged();
    this->scheduleDomainTimer();
}

void GatewayHost::onDomainServiceChanged()
{
    const std::set<std::string> domains = this->domainService.outOfService();
    this->fleet.setDomainsOutOfService(domains);
    this->metrics.set(Gauge::FailureDomainsOutOfService, static_cast<double>(domains.size()));
}

void GatewayHost::scheduleDomainTimer()
{
    this->domainTimer.reset();
    const std::optional<TimePoint> next = this->domainService.nextTimer();
    if (!next)
        return;
    const Duration wait = std::max(Duration::zero(), *next - this->loop.now());
    this->domainTimer = this->loop.after(wait, [this] {
        if (this->domainService.onTimer(this->loop.now()))
            this->onDomainServiceChanged();
        this->scheduleDomainTimer();
    });
}

bool GatewayHost::knowsDomains() const
{
    return !this->followsDomains() || this->domainFeed.isKnown()
           || this->loop.now() - this->startedAt >= this->settings.domainServiceLimit;
}

} // namespace dotterel
