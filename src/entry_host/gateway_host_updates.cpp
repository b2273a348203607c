// The part of GatewayHost that handles updates from the store and from the other entry hosts.

#include "coordination/member_topology.h"
#include "core/hashing.h"
#include "core/json_input.h"
#include "entry_host/gateway_host.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Number of hosts that watch the store and announce changes to the others, over all failure
/// domains. Several, since many hosts may fail at once before membership detects it; few, since
/// each watcher costs one metered store call per change.
constexpr std::size_t StoreWatchers = 10;
/// In each failure domain, since domains can be cut off from each other.
constexpr std::size_t MinStoreWatchersPerDomain = 2;
constexpr const char *WatchStoreDuty = "follow";
/// A link without a message for this many heartbeat intervals counts as silent. Most links of a
/// host must be silent in two checks in a row, and no time must be missing between the checks,
/// which would mean that this process was suspended.
constexpr int SilentLinkIntervals = 3;
constexpr std::size_t MinSilentLinks = 2;
constexpr int RequiredSilentChecks = 2;
constexpr int SuspensionIntervals = 2;
/// Up to this number of live hosts every host watches the store, as the calls are few.
constexpr std::size_t MaxHostsThatAllWatch = 16;

/// Returns why \a object is rejected, whose text was not accepted because of \a parseError.
std::string rejectionReason(const CollectionObject &object, const std::string &parseError)
{
    return shortened(object.defect.empty() ? parseError : object.defect);
}

/// Returns the turn of \a self if \a perDomain hosts of each failure domain watch the store.
WatchTurn turnAmongDomains(const HostIdentity &self, const std::vector<MemberRecord> &live,
                           const std::set<std::string> &domains, std::size_t perDomain)
{
    const std::size_t rank = taskRank(self, live, WatchStoreDuty);
    const auto domain = std::distance(domains.begin(), domains.find(self.failureDomain));
    return {rank * domains.size() + static_cast<std::size_t>(domain), domains.size() * perDomain};
}

} // namespace

void GatewayHost::onPeerLinkOpened(std::uint64_t link)
{
    this->membershipDriver.onPeerLinkOpened(link);
    // Both sides announce what they have; a side that lacks an object requests it. Usually neither
    // does.
    this->peerMesh.send(link, this->configurationFeed.objects().fullAnnouncement());
    this->peerMesh.send(link, this->serverFeed.objects().fullAnnouncement());
    // An empty announcement tells the peer that no failure domain is out of service.
    if (this->followsDomains() && this->domainFeed.isKnown())
        this->peerMesh.send(link, this->domainFeed.objects().fullAnnouncement());
    this->sendCrashNotices(link);
}

void GatewayHost::onPeerMessage(std::uint64_t link, const PeerMessage &message)
{
    this->membershipDriver.onPeerMessage(link, message);
    if (const auto *notice = std::get_if<CrashNotice>(&message)) {
        if (this->controller.onCrashNotice(*notice, this->loop.now())) {
            this->peerMesh.broadcast(*notice);
            this->scheduleSuspectWrites();
        }
    } else if (const auto *announcement = std::get_if<ObjectAnnouncement>(&message)) {
        if (CollectionFeed *feed = this->feedForCollection(announcement->collection))
            feed->onAnnouncement(link, *announcement, this->peerLocation(link));
        this->requestObjectsFromPeers();
    } else if (const auto *request = std::get_if<ObjectRequest>(&message)) {
        if (const CollectionFeed *feed = this->feedForCollection(request->collection))
            this->peerMesh.send(link, feed->objects().offerFor(*request));
    } else if (const auto *offer = std::get_if<ObjectOffer>(&message)) {
        if (CollectionFeed *feed = this->feedForCollection(offer->collection))
            feed->onObjectOffer(*offer);
    }
}

PeerLocality GatewayHost::peerLocation(std::uint64_t link) const
{
    return this->sameDomainHosts.count(this->peerMesh.peerOf(link)) > 0 ? PeerLocality::SameDomain
                                                                        : PeerLocality::OtherDomain;
}

void GatewayHost::onHostList(const std::vector<HostListEntry> &hosts)
{
    if (this->shuttingDown)
        return;
    this->listedHosts = hosts.size();
    std::vector<Endpoint> listed;
    listed.reserve(hosts.size());
    for (const HostListEntry &host : hosts)
        listed.push_back({host.address, host.peerPort});
    this->promptUpdatePeers.setListed(listed);
    this->updatePromptPeers();
    const HostEntryChanges changes =
            this->entryKeeper.reconcile(hosts, this->membership.liveMembers(), this->loop.now());
    for (const HostId &host : changes.stale)
        this->removeHostEntry(host);
    for (const MemberRecord &member : changes.missing)
        this->restoreHostEntry(member);
}

void GatewayHost::removeHostEntry(const HostId &host)
{
    // A failed call is retried after the next read of the host list.
    this->store.remove(Collection::Hosts, host, [&log = this->log, host](const auto &removed) {
        log.write(Event::HostEntryRemoved,
                  {{"member", host},
                   {"outcome", std::string(removed ? "done" : storeErrorName(removed.error()))}});
    });
}

void GatewayHost::restoreHostEntry(const MemberRecord &member)
{
    HostListEntry entry;
    entry.id = member.identity.host;
    entry.failureDomain = member.identity.failureDomain;
    entry.address = member.peerEndpoint.address;
    entry.peerPort = member.peerEndpoint.port;
    this->store.put(
            Collection::Hosts, entry.id, encodeHostEntry(entry),
            [&log = this->log, host = entry.id](const auto &written) {
                log.write(Event::HostEntryRestored,
                          {{"member", host},
                           {"outcome",
                            std::string(written ? "done" : storeErrorName(written.error()))}});
            });
}

void GatewayHost::onServerNotice(const ServerDrainNotice & /*notice*/) {}

void GatewayHost::beforeHeartbeat()
{
    std::vector<Endpoint> peers;
    std::vector<UpdatePeer> updatePeers;
    std::set<std::uint32_t> liveSenders;
    const std::vector<MemberRecord> live = this->membership.liveMembers();
    this->sameDomainHosts.clear();
    for (const MemberRecord &member : live) {
        if (member.identity.failureDomain == this->identity.failureDomain)
            this->sameDomainHosts.insert(member.identity.host);
        const std::uint32_t sender = promptSenderHash(member.identity);
        liveSenders.insert(sender);
        if (member.identity.host == this->identity.host)
            continue;
        peers.push_back(member.peerEndpoint);
        updatePeers.push_back({member.peerEndpoint, member.identity.failureDomain, sender,
                               member.forwardsUpdates && !member.leaving});
        if (this->promptSenders.count(sender) > 0)
            continue;
        this->promptUpdates.sendRunning(member.peerEndpoint,
                                        this->controller.runningPrompts(this->loop.now()));
        this->sendServerNotices(member.peerEndpoint);
    }
    this->updateStoreWatching(live);
    this->checkPeerLinks();
    this->repeatCrashNotices();
    this->writeSuspectEntries();
    this->requestObjectsFromPeers();
    for (const std::uint32_t sender : this->promptSenders) {
        if (liveSenders.count(sender) == 0)
            this->promptPlacement.onSenderGone(sender);
    }
    this->promptSenders = std::move(liveSenders);
    this->promptUpdatePeers.setLive(peers);
    this->liveUpdatePeers = std::move(updatePeers);
    std::vector<std::uint32_t> lenders;
    for (const UpdatePeer &peer : this->liveUpdatePeers)
        lenders.push_back(peer.senderHash);
    this->controller.setRetryLenders(std::move(lenders));
    this->updatePromptPeers();
    this->retryAllowance.setHostCount(
            std::max<std::size_t>(live.size(), this->settings.sharedHosts));
    this->shareLimits(live.size());
    this->updateRelayPeers(live);
    this->checkReach();
}

void GatewayHost::updateStoreWatching(const std::vector<MemberRecord> &live)
{
    std::set<std::string> domains;
    for (const MemberRecord &member : live)
        domains.insert(member.identity.failureDomain);
    const std::size_t watchersPerDomain =
            std::max(MinStoreWatchersPerDomain, (StoreWatchers + domains.size() - 1)
                                                        / std::max<std::size_t>(1, domains.size()));
    // Without links this host gets no announcements from peers, so it watches the store itself.
    const bool watchesStore =
            this->peerMesh.openLinks() == 0 || live.size() <= MaxHostsThatAllWatch
            || isTaskAssigned(this->identity, live, WatchStoreDuty, watchersPerDomain);
    std::optional<WatchTurn> turn;
    if (watchesStore)
        turn = live.size() <= MaxHostsThatAllWatch
                       ? turnAmong(this->identity, live)
                       : turnAmongDomains(this->identity, live, domains, watchersPerDomain);
    this->setWatchTurn(turn);
}

void GatewayHost::checkPeerLinks()
{
    const TimePoint now = this->loop.now();
    const Duration interval = this->settings.heartbeatInterval;
    const bool wasSuspended =
            this->lastLinkCheck && now - *this->lastLinkCheck >= interval * SuspensionIntervals;
    this->lastLinkCheck = now;
    const std::size_t silent = this->peerMesh.silentLinks(interval * SilentLinkIntervals);
    const bool mostSilent =
            silent >= MinSilentLinks && 2 * silent > this->peerMesh.openLinks() && !wasSuspended;
    this->silentLinkChecks = mostSilent ? this->silentLinkChecks + 1 : 0;
    if (this->silentLinkChecks != RequiredSilentChecks)
        return;
    // The links of this host fell silent together, so its other connections may be silent too.
    this->peerMesh.closeSilentLinks(interval * SilentLinkIntervals);
    this->renewWatches("peer_links_silent");
}

void GatewayHost::renewWatches(const char *reason)
{
    for (CollectionFeed *feed : this->activeFeeds())
        feed->renewWatch(reason);
}

void GatewayHost::requestObjectsFromPeers()
{
    std::optional<TimePoint> nextDue;
    for (CollectionFeed *feed : this->activeFeeds()) {
        for (const auto &[link, request] : feed->takeDueRequests())
            this->peerMesh.send(link, request);
        const std::optional<TimePoint> feedDue = feed->nextRequestDue();
        if (feedDue && (!nextDue || *feedDue < *nextDue))
            nextDue = feedDue;
    }
    this->objectRequestTimer.reset();
    if (nextDue)
        this->objectRequestTimer = this->loop.after(*nextDue - this->loop.now(),
                                                    [this] { this->requestObjectsFromPeers(); });
}

void GatewayHost::applyConfigurationObjects(const std::vector<CollectionObject> &objects)
{
    for (const CollectionObject &object : objects) {
        if (object.removed)
            continue;
        const auto parsed = this->protocol.parseConfiguration(object.text);
        if (!parsed) {
            this->configurationFeed.disregardVersion(object.name);
            this->metrics.count(Counter::ObjectsRejected, 1);
            this->log.write(Event::ConfigurationRejected,
                            {{"object", shortened(object.name)},
                             {"revision", static_cast<std::int64_t>(object.revision)},
                             {"error", rejectionReason(object, parsed.error())}});
            continue;
        }
        const auto &current = this->routes->configuration();
        if (current && parsed->version <= current->version)
            continue;
        this->routes =
                std::make_shared<RouteTable>(std::make_shared<const GatewayConfiguration>(*parsed));
        this->fleet.setPools(parsed->pools);
        this->controller.setRouteTable(this->routes);
        this->callerServer.setLimits(this->callerServerLimits());
        this->relayListener.server().setLimits(this->relayServerLimits());
        this->membershipDriver.announceConfiguration(parsed->version);
        this->metrics.set(Gauge::ConfigurationVersion, static_cast<double>(parsed->version));
        this->log.write(Event::ConfigurationApplied,
                        {{"version", static_cast<std::int64_t>(parsed->version)},
                         {"revision", static_cast<std::int64_t>(object.revision)},
                         {"routes", static_cast<std::int64_t>(parsed->routes.size())},
                         {"store_away", this->configurationFeed.isStoreUnavailable()}});
    }
}

void GatewayHost::applyServerObjects(const std::vector<CollectionObject> &objects,
                                     const CollectionFeed::ChangeContext &context)
{
    const TimePoint now = this->loop.now();
    for (const CollectionObject &object : objects) {
        if (object.removed) {
            this->fleet.remove(object.name, context.mayHaveLapsed, now);
            this->reach.onServerRemoved(object.name);
            continue;
        }
        auto parsed = this->protocol.parseServer(object.name, object.text);
        if (!parsed) {
            this->metrics.count(Counter::ObjectsRejected, 1);
            this->log.write(Event::ObjectRejected,
                            {{"collection", std::string("servers")},
                             {"object", shortened(object.name)},
                             {"revision", static_cast<std::int64_t>(object.revision)},
                             {"error", rejectionReason(object, parsed.error())}});
            this->fleet.remove(object.name, false, now);
            this->reach.onServerRemoved(object.name);
            continue;
        }
        if (context.mayBeRestored)
            this->fleet.doubtIfDeparted(*parsed, now);
        // A copy of the store cannot show that the server is warm now.
        if (context.mayBeRestored && parsed->warmUpLeft == Duration::zero())
            parsed->warmUpLeft.reset();
        const GatewayServer *known = this->fleet.find(parsed->id);
        if (known == nullptr || known->incarnation != parsed->incarnation)
            this->reach.onServerStarted(parsed->pool, parsed->id, now);
        if (this->fleet.put(*parsed, now))
            this->promptPlacement.onServerReset(parsed->id);
        this->serversByHash[hash32(parsed->id)] = parsed->id;
    }
    this->controller.onServersChanged(now);
    this->metrics.set(Gauge::BackendServersUsable,
                      static_cast<double>(this->fleet.all(this->loop.now()).size()));
}

} // namespace dotterel
