#include "entry_host/gateway_host.h"

#include "coordination/member_topology.h"
#include "core/hashing.h"
#include "core/json_input.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr int PeerTimeoutHeartbeats = 8;
constexpr std::size_t MaxReadinessRequestBytes = 1'024;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr std::uint64_t BytesPerMb = 1'024UL * 1'024;
/// File descriptors reserved for files, and for connections to servers, peers and the store. The
/// rest of the limit is available to callers.
constexpr std::uint64_t ReservedFileDescriptors = 200;
constexpr std::uint64_t ReservedOutgoingDescriptors = 600;
/// Connections for requests of other hosts.
constexpr std::uint64_t ReservedRelayDescriptors = 200;
/// Buffered request bodies may take this fraction (1/4) of the memory of the process.
constexpr std::uint64_t BufferedBodyMemoryDivisor = 4;
/// Responses that are held back may take this fraction (1/8) of it.
constexpr std::uint64_t HeldResponseMemoryDivisor = 8;
/// The load balancer checks readiness once a second and removes a host after two failed checks.
constexpr Duration LoadBalancerReactionTime = std::chrono::milliseconds(2'600);
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);
/// Time at the end of a shutdown for what links to other hosts still have to send; part of
/// ShutdownExitMargin.
constexpr Duration PeerFlushTime = std::chrono::milliseconds(200);
/// Part of the shutdown limit that is kept for flushing the last bytes and exiting the process.
constexpr Duration ShutdownExitMargin = std::chrono::milliseconds(400);
constexpr Duration RegistrationRetryInterval = std::chrono::seconds(1);
constexpr std::size_t MaxIncomingFrameBytes = 2UL * 1024 * 1024;

ServerFleetTimings fleetTimingsOf(const Settings &settings)
{
    ServerFleetTimings timings;
    timings.pace.initialWindow = settings.serverPaceWindow;
    return timings;
}

RetryBudgetLimits retryBoundOf(const Settings &settings)
{
    RetryBudgetLimits bound;
    bound.ratio = settings.retryRatio;
    bound.slack = settings.retrySlack;
    bound.window = fromSeconds(settings.retryWindowSeconds);
    return bound;
}

} // namespace

GatewayHost::GatewayHost(EventLoop &loop, const Settings &settings, Incarnation incarnation,
                         const GatewayProtocol &protocol, CollectionStore &store,
                         std::string readinessPath, EventLog &log,
                         std::function<void()> onDrainFinished)
    : loop(loop)
    , settings(settings)
    , identity{settings.host, incarnation, settings.failureDomain}
    , protocol(protocol)
    , store(store)
    , readinessPath(std::move(readinessPath))
    , log(log)
    , random(incarnation)
    , fleet(fleetTimingsOf(settings), log, promptSenderHash(this->identity))
    , silenceReplies(SilenceReplySettings{}, this->random)
    , promptPlacement(PromptPlacementSettings{}, settings.failureDomain, this->fleet, this->random)
    , servicePlacement(settings.failureDomain, this->fleet, this->random)
    , retryAllowance(retryBoundOf(settings))
    , crashGuard(CrashLimits{}, this->metrics, log)
    , partGuard(PromptPartLimits{}, this->metrics, log)
    , suspectKeeper(CrashSuspectKeeping{})
    , reach(log)
    , domainService(DomainServiceTimings{}, log)
    , relayPeers(settings.failureDomain, this->random)
    , controller(protocol, this->fleet, this->promptPlacement, this->servicePlacement,
                 this->retryAllowance, this->crashGuard, this->partGuard, this->reach,
                 this->relayPeers, *this, this->random, settings.host,
                 promptSenderHash(this->identity), this->metrics, log)
    , httpClient(loop, KeepAliveHttpClientLimits{})
    , attempts(loop, this->httpClient, this->controller,
               [this] { this->scheduleControllerTimer(); })
    , callerServer(loop, settings.callers, this->callerServerLimits(), *this)
    , relayListener(
              loop, relayEndpoint(settings), this->relayServerLimits(), this->controller,
              [this] { this->scheduleControllerTimer(); }, log)
    , membership(this->identity, settings.heartbeatInterval, this->metrics, log)
    , peerMesh(loop, settings.peers, settings.host,
               settings.heartbeatInterval * PeerTimeoutHeartbeats, *this, this->random,
               this->metrics, log, MaxIncomingFrameBytes)
    , hostList(store, loop, this->metrics, log)
    , entryKeeper(this->identity)
    , membershipDriver(loop, settings.heartbeatInterval, this->membership, this->peerMesh,
                       this->hostList, *this)
    , updateRoutes(UpdateRouteSettings{}, settings.failureDomain, this->random)
    , promptUpdates(
              loop, this->peerMesh.endpoint(), promptSenderHash(this->identity), this->updateRoutes,
              [this](const PromptUpdateBatch &update) { this->onPromptUpdates(update); },
              this->metrics, log)
    , promptUpdatePeers(this->peerMesh.endpoint(), loop.now())
    , configurationFeed(
              loop, store, Collection::Configuration, this->random,
              [this](const std::vector<CollectionObject> &objects,
                     const CollectionFeed::ChangeContext & /*context*/) {
                  this->applyConfigurationObjects(objects);
              },
              [this](const ObjectAnnouncement &message) { this->peerMesh.broadcast(message); },
              this->feedEvents(Collection::Configuration), this->metrics, log)
    , serverFeed(
              loop, store, Collection::Servers, this->random,
              [this](const std::vector<CollectionObject> &objects,
                     const CollectionFeed::ChangeContext &context) {
                  this->applyServerObjects(objects, context);
              },
              [this](const ObjectAnnouncement &message) { this->peerMesh.broadcast(message); },
              this->feedEvents(Collection::Servers), this->metrics, log)
    , domainFeed(
              loop, store, Collection::DomainsOutOfService, this->random,
              [this](const std::vector<CollectionObject> &objects,
                     const CollectionFeed::ChangeContext &context) {
                  this->applyDomainObjects(objects, context);
              },
              [this](const ObjectAnnouncement &message) { this->peerMesh.broadcast(message); },
              this->feedEvents(Collection::DomainsOutOfService), this->metrics, log)
    , suspectFeed(
              loop, store, Collection::CrashSuspects, this->random,
              [this](const std::vector<CollectionObject> &objects,
                     const CollectionFeed::ChangeContext & /*context*/) {
                  this->applySuspectObjects(objects);
              },
              // Hosts tell each other of suspects by crash notices.
              [](const ObjectAnnouncement & /*message*/) {},
              this->feedEvents(Collection::CrashSuspects), this->metrics, log)
    , readinessServer(loop, settings.readiness, MaxReadinessRequestBytes,
                      [this](const HttpExchangePtr &exchange) {
                          const bool ready =
                                  exchange->path() == this->readinessPath && this->isReady();
                          exchange->reply(ready ? StatusOk : StatusUnavailable, {}, "");
                      })
    , operatorApi(loop, settings.operators, *this, this->metrics)
    , startedAt(loop.now())
    , onDrainFinished(std::move(onDrainFinished))
{
    this->membership.setForwardsUpdates();
    this->membership.setRelayPort(this->relayListener.server().endpoint().port);
    // A host that does not know the others yet would try each refused part by itself.
    this->partGuard.setTrialDuty([this](const std::string &key) {
        return this->hasFoundPeers() && this->isOwnTask(key);
    });
    this->controller.setRouteTable(this->routes);
    this->controller.setResponseLimits(this->heldResponseLimits());
    this->retryAllowance.setHostCount(settings.sharedHosts);
    this->log.write(Event::HostStarted,
                    {{"failure_domain", settings.failureDomain},
                     {"incarnation", std::to_string(incarnation)},
                     {"callers", this->callers().text()},
                     {"operators", this->operators().text()},
                     {"peers", this->peerMesh.endpoint().text()},
                     {"relay", this->relayListener.server().endpoint().text()}});
    for (CollectionFeed *feed : this->activeFeeds())
        feed->start();
    this->suspectFeed.start();
    this->registerHostEntry();
}

GatewayHost::~GatewayHost()
{
    *this->alive = false;
}

KeepAliveHttpServerLimits GatewayHost::callerServerLimits() const
{
    KeepAliveHttpServerLimits limits;
    if (this->routes && this->routes->configuration()) {
        const CallerLimits &callers = this->routes->configuration()->limits;
        limits.maxHeadBytes = callers.maxHeadBytes;
        limits.maxBodyBytes = callers.maxBodyBytes;
        limits.headTimeout = callers.headTimeout;
        limits.idleTimeout = callers.idleTimeout;
    }
    limits.maxBufferedBytes = this->settings.memoryMb * BytesPerMb / BufferedBodyMemoryDivisor;
    const std::uint64_t reservedDescriptors =
            ReservedFileDescriptors + ReservedOutgoingDescriptors + ReservedRelayDescriptors;
    limits.maxConnections = this->settings.maxOpenFiles > 2 * reservedDescriptors
                                    ? this->settings.maxOpenFiles - reservedDescriptors
                                    : this->settings.maxOpenFiles / 2;
    return limits;
}

KeepAliveHttpServerLimits GatewayHost::relayServerLimits() const
{
    KeepAliveHttpServerLimits limits = this->callerServerLimits();
    limits.maxBufferedBytes /= 2;
    limits.maxConnections = std::min<std::size_t>(limits.maxConnections, ReservedRelayDescriptors);
    // The envelope adds to a head that the caller's host has checked.
    limits.maxHeadBytes *= 2;
    return limits;
}

ResponseLimits GatewayHost::heldResponseLimits() const
{
    ResponseLimits limits;
    limits.maxHeldBytes = this->settings.maxHeldResponseBytes;
    limits.maxTotalHeldBytes = this->settings.memoryMb * BytesPerMb / HeldResponseMemoryDivisor;
    return limits;
}

void GatewayHost::registerHostEntry()
{
    HostListEntry host;
    host.id = this->identity.host;
    host.failureDomain = this->identity.failureDomain;
    const Endpoint peers = this->peerMesh.endpoint();
    host.address = peers.address;
    host.peerPort = peers.port;
    this->store.put(Collection::Hosts, host.id, encodeHostEntry(host), [this](const auto &written) {
        this->registered = written.has_value();
        if (this->registered || this->shuttingDown)
            return;
        this->registrationTimer =
                this->loop.after(RegistrationRetryInterval, [this] { this->registerHostEntry(); });
    });
}

void GatewayHost::applySettings(const Settings &newSettings)
{
    this->retryAllowance.setLimits(retryBoundOf(newSettings));
    this->settings.memoryMb = newSettings.memoryMb;
    this->settings.maxOpenFiles = newSettings.maxOpenFiles;
    this->settings.shutdownLimitSeconds = newSettings.shutdownLimitSeconds;
    this->settings.maxHeldResponseBytes = newSettings.maxHeldResponseBytes;
    this->callerServer.setLimits(this->callerServerLimits());
    this->relayListener.server().setLimits(this->relayServerLimits());
    this->controller.setResponseLimits(this->heldResponseLimits());
    this->log.write(Event::SettingsReloaded, {});
}

void GatewayHost::reportFault(std::string_view source, const std::exception &error)
{
    this->metrics.count(Counter::HandlingFailures, 1);
    this->log.write(Event::HandlingFailed, {{"source", std::string(source)},
                                            {"error", std::string(shortened(error.what()))}});
}

void GatewayHost::beginShutdown(std::function<void()> finished)
{
    if (finished)
        this->shutdownFinished = std::move(finished);
    // A drain may have ended without a receiver of its end.
    if (this->shutdownDone && this->drainTimer == nullptr)
        return this->reportShutdown();
    if (this->shuttingDown)
        return;
    this->shuttingDown = true;
    this->shutdownDeadline = this->loop.now() + fromSeconds(this->settings.shutdownLimitSeconds)
                             - ShutdownExitMargin;
    this->log.write(Event::ShutdownBegan,
                    {{"in_flight", static_cast<std::int64_t>(this->controller.inFlight())}});
    this->controller.beginDrain(this->shutdownDeadline);
    this->membership.beginLeaving();
    this->callerServer.closeAfterReplies();
    this->relayListener.server().closeAfterReplies();
    this->drainTimer = this->loop.after(LoadBalancerReactionTime, [this] {
        this->callerServer.stopListening();
        // A request that arrives later, on a kept connection or with a slow body, might not finish
        // before the limit. Load balancers now lead callers to other hosts.
        this->controller.stopAdmitting();
        this->callerServer.closeIdleConnections();
        this->relayListener.server().stopListening();
        this->relayListener.server().closeIdleConnections();
        this->drainTimer =
                this->loop.every(DrainCheckInterval, [this] { this->finishShutdownWhenIdle(); });
    });
}

void GatewayHost::finishShutdownWhenIdle()
{
    const bool idle = this->controller.inFlight() == 0 && this->callerServer.isIdle()
                      && this->relayListener.server().isIdle()
                      && !this->controller.isReleasingMemory();
    if (!idle && this->loop.now() < this->shutdownDeadline)
        return;
    this->drainTimer.reset();
    this->log.write(Event::ShutdownDone,
                    {{"in_flight", static_cast<std::int64_t>(this->controller.inFlight())}});
    // Callers get a verdict instead of a closed connection.
    this->controller.endAll(this->loop.now());
    this->membershipDriver.announceShutdown();
    this->store.remove(Collection::Hosts, this->identity.host, [](const auto & /*removed*/) {});
    this->shutdownDone = true;
    this->reportShutdown();
}

void GatewayHost::reportShutdown()
{
    const TimePoint end = this->loop.now() + PeerFlushTime;
    this->drainTimer = this->loop.every(DrainCheckInterval, [this, end] {
        if (this->peerMesh.unsentBytes() > 0 && this->loop.now() < end)
            return;
        this->drainTimer.reset();
        this->peerMesh.closeAllLinks();
        if (this->shutdownFinished)
            this->shutdownFinished();
    });
}

void GatewayHost::scheduleControllerTimer()
{
    const std::optional<TimePoint> next = this->controller.nextTimer();
    if (next == this->controllerTimerDue)
        return;
    this->controllerTimerDue = next;
    this->controllerTimer.reset();
    if (!next)
        return;
    const Duration wait = std::max(Duration::zero(), *next - this->loop.now());
    this->controllerTimer = this->loop.after(wait, [this] {
        this->controllerTimerDue.reset();
        this->controller.onTimer(this->loop.now());
        this->scheduleControllerTimer();
    });
}

bool GatewayHost::isReady() const
{
    return !this->shuttingDown && this->routes && this->routes->configuration()
           && !this->fleet.all(this->loop.now()).empty() && this->knowsDomains()
           && this->knowsSuspects();
}

HostStatus GatewayHost::status() const
{
    HostStatus status;
    status.identity = this->identity;
    status.configurationVersion =
            this->routes->configuration() ? this->routes->configuration()->version : 0;
    status.shuttingDown = this->shuttingDown;
    status.platformReachable = !this->configurationFeed.isStoreUnavailable();
    status.requestsInFlight = this->controller.inFlight();
    status.peerLinks = this->peerMesh.openLinks();
    for (const MemberRecord &member : this->membership.liveMembers())
        status.members.push_back({member.identity, member.configurationVersion, member.leaving});
    for (const GatewayServer *known : this->fleet.all(this->loop.now())) {
        const bool isLimited = this->fleet.limits().rate(known->id, this->loop.now()).has_value();
        const bool isWarmingUp = this->fleet.isWarmingUp(known->id, this->loop.now());
        const char *state = isWarmingUp ? "warming_up" : isLimited ? "limited" : "up";
        if (this->fleet.isOutOfService(*known))
            state = "out_of_service";
        if (this->fleet.isDraining(known->id))
            state = "draining";
        status.servers.push_back({known->id, known->pool, state});
    }
    return status;
}

void GatewayHost::drain()
{
    this->beginShutdown(this->onDrainFinished);
}

} // namespace dotterel
