#include "entry_host/gateway_host.h"

#include "coordination/member_topology.h"
#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr int SilentHeartbeats = 8;
constexpr std::size_t MostReadinessBytes = 1'024;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr std::uint64_t BytesPerMb = 1'024UL * 1'024;
/// Descriptors that the platform keeps for files, and those for servers, peers and the store.
constexpr std::uint64_t FileDescriptors = 200;
constexpr std::uint64_t OutgoingDescriptors = 600;
/// Of the memory of the process, what bodies of requests may take.
constexpr std::uint64_t BodyMemoryDivisor = 4;
/// The balancer asks once a second and takes a host out after two misses.
constexpr Duration NoticeTime = std::chrono::milliseconds(2'600);
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);
/// What is left of the shutdown limit for the last bytes and the end of the process.
constexpr Duration ExitMargin = std::chrono::milliseconds(400);
constexpr Duration RegisterAgain = std::chrono::seconds(1);
/// Hosts of a failure domain that follow the store and tell the others. Several may be lost at once
/// before membership notices; each costs a counted call for every change.
constexpr std::size_t FollowersPerDomain = 4;
constexpr const char *FollowDuty = "follow";
/// Up to so many hosts, all follow the store: the calls are few.
constexpr std::size_t MostHostsThatAllFollow = 16;
constexpr std::size_t MostIncomingFrame = 2UL * 1024 * 1024;

RetryBound retryBoundOf(const Settings &settings)
{
    RetryBound bound;
    bound.ratio = settings.retryRatio;
    bound.slack = settings.retrySlack;
    bound.window = fromSeconds(settings.retryWindowSeconds);
    return bound;
}

std::uint32_t senderHash(const HostIdentity &identity)
{
    return hash32(identity.host + "/" + std::to_string(identity.incarnation));
}

} // namespace

GatewayHost::GatewayHost(EventLoop &loop, const Settings &settings, Incarnation incarnation,
                         const GatewayProtocol &protocol, CollectionStore &store,
                         std::string readinessPath, EventLog &log)
    : loop(loop)
    , settings(settings)
    , identity{settings.host, incarnation, settings.failureDomain}
    , protocol(protocol)
    , store(store)
    , readinessPath(std::move(readinessPath))
    , log(log)
    , random(incarnation)
    , fleet(FleetTimes{}, log)
    , prompts(PromptPlacementSettings{}, settings.failureDomain, this->fleet)
    , services(settings.failureDomain, this->fleet, this->random)
    , retries(retryBoundOf(settings))
    , crashes(CrashLimits{}, this->metrics, log)
    , controller(protocol, this->fleet, this->prompts, this->services, this->retries, this->crashes,
                 *this, this->random, senderHash(this->identity), this->metrics, log)
    , client(loop, KeptHttpClientLimits{})
    , attempts(loop, this->client, this->controller, [this] { this->armTimer(); })
    , server(loop, settings.callers, this->serverLimits(), *this)
    , membership(this->identity, settings.heartbeatInterval, this->metrics, log)
    , mesh(loop, settings.peers, settings.host, settings.heartbeatInterval * SilentHeartbeats,
           *this, this->random, this->metrics, log, MostIncomingFrame)
    , hostList(store, loop)
    , agent(loop, settings.heartbeatInterval, this->membership, this->mesh, this->hostList, *this)
    , news(loop, this->mesh.endpoint(), senderHash(this->identity),
           [this](const PromptNews &arrived) { this->onPromptNews(arrived); })
    , configurationFeed(
              loop, store, Collection::Configuration, this->random,
              [this](const std::vector<CollectedObject> &objects, bool /*mayHaveLapsed*/) {
                  this->onConfiguration(objects);
              },
              [this](const ObjectAnnouncement &message) { this->mesh.broadcast(message); }, log)
    , serverFeed(
              loop, store, Collection::Servers, this->random,
              [this](const std::vector<CollectedObject> &objects, bool mayHaveLapsed) {
                  this->onServers(objects, mayHaveLapsed);
              },
              [this](const ObjectAnnouncement &message) { this->mesh.broadcast(message); }, log)
    , readinessServer(loop, settings.readiness, MostReadinessBytes,
                      [this](const HttpExchangePointer &exchange) {
                          const bool ready =
                                  exchange->path() == this->readinessPath && this->isReady();
                          exchange->reply(ready ? StatusOk : StatusUnavailable, {}, "");
                      })
    , operatorApi(loop, settings.operators, *this, this->metrics)
{
    this->controller.setRoutes(this->routes);
    this->retries.setHosts(settings.sharedHosts);
    this->log.write(Event::HostStarted, {{"failure_domain", settings.failureDomain},
                                         {"incarnation", std::to_string(incarnation)},
                                         {"callers", this->callers().text()},
                                         {"operators", this->operators().text()},
                                         {"peers", this->mesh.endpoint().text()}});
    this->configurationFeed.start();
    this->serverFeed.start();
    this->registerSelf();
}

GatewayHost::~GatewayHost() = default;

HttpServerLimits GatewayHost::serverLimits() const
{
    HttpServerLimits limits;
    if (this->routes && this->routes->configuration()) {
        const CallerLimits &callers = this->routes->configuration()->limits;
        limits.maxHeadBytes = callers.maxHeadBytes;
        limits.maxBodyBytes = callers.maxBodyBytes;
        limits.headTimeout = callers.headTimeout;
        limits.idleTimeout = callers.idleTimeout;
    }
    limits.maxBufferedBytes = this->settings.memoryMb * BytesPerMb / BodyMemoryDivisor;
    const std::uint64_t kept = FileDescriptors + OutgoingDescriptors;
    limits.maxConnections = this->settings.maxOpenFiles > 2 * kept
                                    ? this->settings.maxOpenFiles - kept
                                    : this->settings.maxOpenFiles / 2;
    return limits;
}

void GatewayHost::registerSelf()
{
    ListedHost host;
    host.id = this->identity.host;
    host.failureDomain = this->identity.failureDomain;
    const Endpoint peers = this->mesh.endpoint();
    host.address = peers.address;
    host.peerPort = peers.port;
    this->store.put(Collection::Hosts, host.id, encodeHostEntry(host), [this](const auto &written) {
        this->registered = written.has_value();
        if (this->registered || this->shuttingDown)
            return;
        this->registerTimer = this->loop.after(RegisterAgain, [this] { this->registerSelf(); });
    });
}

void GatewayHost::applySettings(const Settings &changed)
{
    this->retries.setBound(retryBoundOf(changed));
    this->settings.memoryMb = changed.memoryMb;
    this->settings.maxOpenFiles = changed.maxOpenFiles;
    this->settings.shutdownLimitSeconds = changed.shutdownLimitSeconds;
    this->server.setLimits(this->serverLimits());
    this->log.write(Event::SettingsReloaded, {});
}

void GatewayHost::beginShutdown(std::function<void()> finished)
{
    if (this->shuttingDown)
        return;
    this->shuttingDown = true;
    this->shutdownFinished = std::move(finished);
    this->shutdownEnds =
            this->loop.now() + fromSeconds(this->settings.shutdownLimitSeconds) - ExitMargin;
    this->log.write(Event::ShutdownBegan,
                    {{"in_flight", static_cast<std::int64_t>(this->controller.inFlight())}});
    this->membership.beginLeaving();
    this->server.closeAfterReplies();
    this->drainTimer = this->loop.after(NoticeTime, [this] {
        this->server.stopListening();
        // A request that came later on an open connection might not end in time.
        this->server.closeIdle();
        this->drainTimer =
                this->loop.every(DrainCheckInterval, [this] { this->finishShutdownIfIdle(); });
    });
}

void GatewayHost::finishShutdownIfIdle()
{
    const bool idle = this->controller.inFlight() == 0 && this->server.idle();
    if (!idle && this->loop.now() < this->shutdownEnds)
        return;
    this->drainTimer.reset();
    this->log.write(Event::ShutdownDone,
                    {{"in_flight", static_cast<std::int64_t>(this->controller.inFlight())}});
    this->agent.sayFarewell();
    this->store.remove(Collection::Hosts, this->identity.host, [](const auto & /*removed*/) {});
    this->drainTimer = this->loop.after(DrainCheckInterval, [this] {
        if (this->shutdownFinished)
            this->shutdownFinished();
    });
}

void GatewayHost::onHttpRequest(HttpCallId call, HttpHead &&head,
                                std::shared_ptr<const std::string> body)
{
    this->controller.onRequest(call, std::move(head), std::move(body), this->loop.now());
    this->armTimer();
}

void GatewayHost::onHttpPeerGone(HttpCallId call)
{
    this->controller.onCallerGone(call, this->loop.now());
    this->armTimer();
}

void GatewayHost::onHttpDrained(HttpCallId call)
{
    this->controller.onCallerDrained(call);
}

void GatewayHost::onHttpRejected(int status)
{
    this->metrics.countRefusal(Reason::MalformedRequest);
    this->log.write(Event::RequestRefused,
                    {{"reason", std::string(reasonInfo(Reason::MalformedRequest).name)},
                     {"status", status},
                     {"verdict", std::string(verdictName(Verdict::NotRun))}});
}

void GatewayHost::sendAttempt(ForwardAttemptId attempt, const HttpRequest &request)
{
    this->attempts.send(attempt, request);
}

void GatewayHost::cancelAttempt(ForwardAttemptId attempt)
{
    this->attempts.cancel(attempt);
}

void GatewayHost::pauseAttempt(ForwardAttemptId attempt, bool paused)
{
    this->attempts.pause(attempt, paused);
}

void GatewayHost::answer(HttpCallId call, int status, const HttpHeaders &headers,
                         std::string_view body)
{
    this->server.reply(call, status, headers, body);
}

void GatewayHost::startAnswer(HttpCallId call, int status, const HttpHeaders &headers,
                              std::optional<std::uint64_t> length)
{
    this->server.startReply(call, status, headers, length);
}

std::size_t GatewayHost::sendPart(HttpCallId call, std::string_view bytes)
{
    this->server.sendPart(call, bytes);
    return this->server.unsentBytes(call);
}

void GatewayHost::endAnswer(HttpCallId call)
{
    this->server.endReply(call);
}

void GatewayHost::abortAnswer(HttpCallId call)
{
    this->server.abortReply(call);
}

void GatewayHost::tellPrompt(const PromptNewsItem &item)
{
    this->news.tell(item);
}

void GatewayHost::tellCrash(const CrashNotice &notice)
{
    this->mesh.broadcast(notice);
}

void GatewayHost::onPeerLinked(std::uint64_t link)
{
    this->agent.onPeerLinked(link);
    // A host that lacks something asks for it; most often neither does.
    this->mesh.send(link, this->configurationFeed.objects().announceAll());
    this->mesh.send(link, this->serverFeed.objects().announceAll());
}

void GatewayHost::onPeerMessage(std::uint64_t link, const PeerMessage &message)
{
    this->agent.onPeerMessage(link, message);
    if (const auto *notice = std::get_if<CrashNotice>(&message)) {
        if (this->crashes.onNotice(*notice, this->loop.now()))
            this->mesh.broadcast(*notice);
    } else if (const auto *announcement = std::get_if<ObjectAnnouncement>(&message)) {
        if (CollectionFeed *feed = this->feedOf(announcement->collection))
            feed->onAnnounced(link, *announcement);
        this->askPeers();
    } else if (const auto *request = std::get_if<ObjectRequest>(&message)) {
        if (const CollectionFeed *feed = this->feedOf(request->collection))
            this->mesh.send(link, feed->objects().offer(*request));
    } else if (const auto *offer = std::get_if<ObjectOffer>(&message)) {
        if (CollectionFeed *feed = this->feedOf(offer->collection))
            feed->onOffered(*offer);
    }
}

CollectionFeed *GatewayHost::feedOf(std::uint8_t collection)
{
    if (collection == static_cast<std::uint8_t>(Collection::Configuration))
        return &this->configurationFeed;
    if (collection == static_cast<std::uint8_t>(Collection::Servers))
        return &this->serverFeed;
    return nullptr;
}

void GatewayHost::onHostList(const std::vector<ListedHost> & /*hosts*/) {}

void GatewayHost::onServerNotice(const ServerNotice & /*notice*/) {}

void GatewayHost::beforeHeartbeat()
{
    std::vector<Endpoint> peers;
    std::set<std::uint32_t> present;
    const std::vector<MemberRecord> live = this->membership.live();
    for (const MemberRecord &member : live) {
        present.insert(senderHash(member.identity));
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
        for (const auto &[link, request] : feed->takeWanted())
            this->mesh.send(link, request);
        const std::optional<TimePoint> due = feed->nextWanted();
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

void GatewayHost::onPromptNews(const PromptNews &arrived)
{
    const TimePoint now = this->loop.now();
    for (const PromptNewsItem &item : arrived.items) {
        const PromptKey key{arrived.sender, item.sequence};
        switch (item.step) {
        case PromptStep::Dispatched:
            this->dispatchedElsewhere(arrived, item);
            break;
        case PromptStep::FirstEvent:
            this->prompts.onFirstEvent(key, now);
            this->noteEvidence(item.server, ServerEvidence::Answered);
            break;
        case PromptStep::Unanswered:
            this->prompts.onEnded(key, now);
            this->noteEvidence(item.server, ServerEvidence::Silent);
            break;
        case PromptStep::Ended:
            this->prompts.onEnded(key, now);
            break;
        }
    }
}

void GatewayHost::dispatchedElsewhere(const PromptNews &arrived, const PromptNewsItem &item)
{
    EnginePrompt prompt;
    prompt.key = {arrived.sender, item.sequence};
    prompt.demand = item.demand;
    prompt.parts = item.helpers.size() + 1;
    prompt.dispatched = this->loop.now();
    prompt.memoryTokens = item.demand.promptTokens + item.demand.outputTokens;
    for (const std::uint64_t held : item.helperMemory)
        prompt.memoryTokens -= std::min(prompt.memoryTokens, held);
    this->addPrompt(item.server, prompt);
    prompt.isHelper = true;
    for (std::size_t index = 0; index < item.helpers.size(); ++index) {
        prompt.memoryTokens = item.helperMemory[index];
        this->addPrompt(item.helpers[index], prompt);
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

void GatewayHost::noteEvidence(std::uint32_t server, ServerEvidence evidence)
{
    const auto id = this->serversByHash.find(server);
    if (id != this->serversByHash.end())
        this->fleet.onEvidence(id->second, evidence, this->loop.now());
}

void GatewayHost::orderMemory(const MemoryOrder &order)
{
    const std::uint64_t id = this->nextMemoryCall++;
    const bool reserves = order.tokens > 0;
    this->memoryCalls[id] = std::make_unique<HttpFetch>(
            this->client, this->protocol.memoryRequest(order),
            [this, id, reserves, ticket = order.ticket](const std::optional<HttpResponse> &answer,
                                                        const HttpFailure & /*failure*/) {
                // The fetch calls from inside itself.
                const std::shared_ptr<HttpFetch> ended = std::move(this->memoryCalls[id]);
                this->memoryCalls.erase(id);
                this->loop.disposeLater(ended);
                if (!reserves)
                    return;
                this->controller.onMemoryAnswered(ticket, answer && answer->status == StatusOk,
                                                  this->loop.now());
                this->armTimer();
            });
}

void GatewayHost::armTimer()
{
    const std::optional<TimePoint> next = this->controller.nextTimer();
    if (next == this->armedFor)
        return;
    this->armedFor = next;
    this->callTimer.reset();
    if (!next)
        return;
    const Duration wait = std::max(Duration::zero(), *next - this->loop.now());
    this->callTimer = this->loop.after(wait, [this] {
        this->armedFor.reset();
        this->controller.onTimer(this->loop.now());
        this->armTimer();
    });
}

bool GatewayHost::isReady() const
{
    return !this->shuttingDown && this->routes && this->routes->configuration()
           && !this->fleet.all().empty();
}

HostStatus GatewayHost::status() const
{
    HostStatus status;
    status.identity = this->identity;
    status.configurationVersion =
            this->routes->configuration() ? this->routes->configuration()->version : 0;
    status.shuttingDown = this->shuttingDown;
    status.platformReachable = !this->configurationFeed.isStoreAway();
    status.requestsInFlight = this->controller.inFlight();
    status.peerLinks = this->mesh.openLinks();
    for (const MemberRecord &member : this->membership.live())
        status.members.push_back({member.identity, member.configurationVersion, member.leaving});
    for (const GatewayServer *known : this->fleet.all())
        status.servers.push_back({known->id, known->pool, known->draining ? "draining" : "up"});
    return status;
}

void GatewayHost::drain()
{
    this->beginShutdown(this->shutdownFinished);
}

} // namespace dotterel
