// What a gateway host hears from the store and from the other hosts.

#include "coordination/member_topology.h"
#include "core/hashing.h"
#include "entry_host/gateway_host.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Hosts of a failure domain that follow the store and tell the others. Several may be lost at once
/// before membership notices; each costs a counted call for every change.
constexpr std::size_t FollowersPerDomain = 4;
constexpr const char *FollowDuty = "follow";
/// Up to so many hosts, all follow the store: the calls are few.
constexpr std::size_t MostHostsThatAllFollow = 16;

} // namespace

void GatewayHost::onPeerLinked(std::uint64_t link)
{
    this->agent.onPeerLinked(link);
    // A host that lacks something asks for it; most often neither does.
    this->mesh.send(link, this->configurationFeed.objects().fullAnnouncement());
    this->mesh.send(link, this->serverFeed.objects().fullAnnouncement());
}

void GatewayHost::onPeerMessage(std::uint64_t link, const PeerMessage &message)
{
    this->agent.onPeerMessage(link, message);
    if (const auto *notice = std::get_if<CrashNotice>(&message)) {
        if (this->crashes.onNotice(*notice, this->loop.now()))
            this->mesh.broadcast(*notice);
    } else if (const auto *announcement = std::get_if<ObjectAnnouncement>(&message)) {
        if (CollectionFeed *feed = this->feedOf(announcement->collection))
            feed->onAnnounced(link, *announcement, this->placeOf(link));
        this->askPeers();
    } else if (const auto *request = std::get_if<ObjectRequest>(&message)) {
        if (const CollectionFeed *feed = this->feedOf(request->collection))
            this->mesh.send(link, feed->objects().offerFor(*request));
    } else if (const auto *offer = std::get_if<ObjectOffer>(&message)) {
        if (CollectionFeed *feed = this->feedOf(offer->collection))
            feed->onOffered(*offer);
    }
}

PeerLocality GatewayHost::placeOf(std::uint64_t link) const
{
    return this->nearHosts.count(this->mesh.peerOf(link)) > 0 ? PeerLocality::SameDomain
                                                              : PeerLocality::OtherDomain;
}

CollectionFeed *GatewayHost::feedOf(std::uint8_t collection)
{
    if (collection == static_cast<std::uint8_t>(Collection::Configuration))
        return &this->configurationFeed;
    if (collection == static_cast<std::uint8_t>(Collection::Servers))
        return &this->serverFeed;
    return nullptr;
}

void GatewayHost::onHostList(const std::vector<ListedHost> &hosts)
{
    if (this->shuttingDown)
        return;
    const HostEntryChanges changes =
            this->entryKeeper.reconcile(hosts, this->membership.live(), this->loop.now());
    for (const HostId &host : changes.stale)
        this->removeEntry(host);
    for (const MemberRecord &member : changes.missing)
        this->restoreEntry(member);
}

void GatewayHost::removeEntry(const HostId &host)
{
    // A call that fails is made again after the next reading of the list.
    this->store.remove(Collection::Hosts, host, [&log = this->log, host](const auto &removed) {
        log.write(Event::HostEntryRemoved,
                  {{"member", host},
                   {"outcome", std::string(removed ? "done" : storeErrorName(removed.error()))}});
    });
}

void GatewayHost::restoreEntry(const MemberRecord &member)
{
    ListedHost entry;
    entry.id = member.identity.host;
    entry.failureDomain = member.identity.failureDomain;
    entry.address = member.peers.address;
    entry.peerPort = member.peers.port;
    this->store.put(
            Collection::Hosts, entry.id, encodeHostEntry(entry),
            [&log = this->log, host = entry.id](const auto &written) {
                log.write(Event::HostEntryRestored,
                          {{"member", host},
                           {"outcome",
                            std::string(written ? "done" : storeErrorName(written.error()))}});
            });
}

void GatewayHost::onServerNotice(const ServerNotice & /*notice*/) {}

void GatewayHost::beforeHeartbeat()
{
    std::vector<Endpoint> peers;
    std::set<std::uint32_t> present;
    const std::vector<MemberRecord> live = this->membership.live();
    this->nearHosts.clear();
    for (const MemberRecord &member : live) {
        if (member.identity.failureDomain == this->identity.failureDomain)
            this->nearHosts.insert(member.identity.host);
        present.insert(promptSenderHash(member.identity));
        if (member.identity.host != this->identity.host)
            peers.push_back(member.peers);
    }
    this->chooseFollowers(live);
    this->askPeers();
    for (const std::uint32_t sender : this->senders) {
        if (present.count(sender) == 0)
            this->prompts.onSenderGone(sender);
    }
    this->senders = std::move(present);
    this->news.setPeers(std::move(peers));
    this->retries.setHosts(std::max<std::size_t>(live.size(), this->settings.sharedHosts));
}

void GatewayHost::chooseFollowers(const std::vector<MemberRecord> &live)
{
    // Without links nobody tells this host anything. Few hosts follow the store themselves anyway.
    const bool follows = this->mesh.openLinks() == 0 || live.size() <= MostHostsThatAllFollow
                         || hasDuty(this->identity, live, FollowDuty, FollowersPerDomain);
    this->configurationFeed.setFollowing(follows);
    this->serverFeed.setFollowing(follows);
}

void GatewayHost::askPeers()
{
    std::optional<TimePoint> next;
    for (CollectionFeed *feed : {&this->configurationFeed, &this->serverFeed}) {
        for (const auto &[link, request] : feed->takeDueRequests())
            this->mesh.send(link, request);
        const std::optional<TimePoint> due = feed->nextRequestDue();
        if (due && (!next || *due < *next))
            next = due;
    }
    this->askTimer.reset();
    if (next)
        this->askTimer = this->loop.after(*next - this->loop.now(), [this] { this->askPeers(); });
}

void GatewayHost::onConfiguration(const std::vector<CollectedObject> &objects)
{
    for (const CollectedObject &object : objects) {
        if (object.removed)
            continue;
        const auto read = this->protocol.readConfiguration(object.text);
        if (!read) {
            this->log.write(Event::ConfigurationRejected,
                            {{"object", object.name},
                             {"revision", static_cast<std::int64_t>(object.revision)},
                             {"error", read.error()}});
            continue;
        }
        const auto &current = this->routes->configuration();
        if (current && read->version <= current->version)
            continue;
        this->routes =
                std::make_shared<RouteTable>(std::make_shared<const GatewayConfiguration>(*read));
        this->controller.setRoutes(this->routes);
        this->server.setLimits(this->serverLimits());
        this->agent.announceConfiguration(read->version);
        this->metrics.set(Gauge::ConfigurationVersion, static_cast<double>(read->version));
        this->log.write(Event::ConfigurationApplied,
                        {{"version", static_cast<std::int64_t>(read->version)},
                         {"revision", static_cast<std::int64_t>(object.revision)},
                         {"routes", static_cast<std::int64_t>(read->routes.size())},
                         {"store_away", this->configurationFeed.isStoreAway()}});
    }
}

void GatewayHost::onServers(const std::vector<CollectedObject> &objects, bool mayHaveLapsed)
{
    const TimePoint now = this->loop.now();
    for (const CollectedObject &object : objects) {
        if (object.removed) {
            this->fleet.remove(object.name, mayHaveLapsed, now);
            continue;
        }
        const auto read = this->protocol.readServer(object.name, object.text);
        if (!read) {
            this->log.write(Event::ObjectRejected,
                            {{"collection", std::string("servers")},
                             {"object", object.name},
                             {"revision", static_cast<std::int64_t>(object.revision)},
                             {"error", read.error()}});
            this->fleet.remove(object.name, false, now);
            continue;
        }
        if (this->fleet.put(*read, now))
            this->prompts.onServerReset(read->id);
        this->serversByHash[hash32(read->id)] = read->id;
    }
    this->metrics.set(Gauge::BackendServersUsable, static_cast<double>(this->fleet.all().size()));
}

const EngineProfile *GatewayHost::engineOf(const ServerId &server) const
{
    const GatewayServer *known = this->fleet.find(server);
    if (known == nullptr || !this->routes->configuration())
        return nullptr;
    const auto &pools = this->routes->configuration()->pools;
    const auto pool = pools.find(known->pool);
    return pool == pools.end() || !pool->second.engine ? nullptr : &*pool->second.engine;
}

void GatewayHost::onPromptNews(const PromptUpdateBatch &arrived)
{
    const TimePoint now = this->loop.now();
    for (const PromptUpdate &item : arrived.updates) {
        const PromptKey key{arrived.senderHash, item.sequence};
        switch (item.kind) {
        case PromptUpdateKind::Dispatched:
            this->dispatchedElsewhere(arrived, item);
            break;
        case PromptUpdateKind::FirstEvent:
            this->prompts.onFirstEvent(key, now);
            this->noteEvidence(item.serverHash, AttemptOutcome::Answered);
            break;
        case PromptUpdateKind::Unanswered:
            this->prompts.onEnded(key, now);
            this->noteEvidence(item.serverHash, AttemptOutcome::Silent);
            break;
        case PromptUpdateKind::Ended:
            this->prompts.onEnded(key, now);
            break;
        }
    }
}

void GatewayHost::dispatchedElsewhere(const PromptUpdateBatch &arrived, const PromptUpdate &item)
{
    EnginePrompt prompt;
    prompt.key = {arrived.senderHash, item.sequence};
    prompt.demand = item.demand;
    prompt.prefillEngines = item.helperHashes.size() + 1;
    prompt.dispatchedAt = this->loop.now();
    prompt.memoryTokens = item.demand.promptTokens + item.demand.outputTokens;
    for (const std::uint64_t held : item.helperMemoryTokens)
        prompt.memoryTokens -= std::min(prompt.memoryTokens, held);
    this->addPrompt(item.serverHash, prompt);
    prompt.isHelper = true;
    for (std::size_t index = 0; index < item.helperHashes.size(); ++index) {
        prompt.memoryTokens = item.helperMemoryTokens[index];
        this->addPrompt(item.helperHashes[index], prompt);
    }
}

void GatewayHost::addPrompt(std::uint32_t server, const EnginePrompt &prompt)
{
    const auto id = this->serversByHash.find(server);
    if (id == this->serversByHash.end())
        return;
    if (const EngineProfile *engine = this->engineOf(id->second))
        this->prompts.onDispatched(id->second, *engine, prompt, this->loop.now());
}

void GatewayHost::noteEvidence(std::uint32_t server, AttemptOutcome evidence)
{
    const auto id = this->serversByHash.find(server);
    if (id != this->serversByHash.end())
        this->fleet.onAttemptOutcome(id->second, evidence, this->loop.now());
}

} // namespace dotterel
