#include "entry_host/gateway_host.h"

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
constexpr std::size_t MostIncomingFrame = 2UL * 1024 * 1024;

RetryBound retryBoundOf(const Settings &settings)
{
    RetryBound bound;
    bound.ratio = settings.retryRatio;
    bound.slack = settings.retrySlack;
    bound.window = fromSeconds(settings.retryWindowSeconds);
    return bound;
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
    , fleet(ServerFleetTimings{}, log)
    , prompts(PromptPlacementSettings{}, settings.failureDomain, this->fleet)
    , services(settings.failureDomain, this->fleet, this->random)
    , retries(retryBoundOf(settings))
    , crashes(CrashLimits{}, this->metrics, log)
    , controller(protocol, this->fleet, this->prompts, this->services, this->retries, this->crashes,
                 *this, this->random, promptSenderHash(this->identity), this->metrics, log)
    , client(loop, KeptHttpClientLimits{})
    , attempts(loop, this->client, this->controller, [this] { this->armTimer(); })
    , server(loop, settings.callers, this->serverLimits(), *this)
    , membership(this->identity, settings.heartbeatInterval, this->metrics, log)
    , mesh(loop, settings.peers, settings.host, settings.heartbeatInterval * SilentHeartbeats,
           *this, this->random, this->metrics, log, MostIncomingFrame)
    , hostList(store, loop)
    , entryKeeper(this->identity)
    , agent(loop, settings.heartbeatInterval, this->membership, this->mesh, this->hostList, *this)
    , news(loop, this->mesh.endpoint(), promptSenderHash(this->identity),
           [this](const PromptUpdateBatch &arrived) { this->onPromptNews(arrived); })
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

void GatewayHost::tellPrompt(const PromptUpdate &item)
{
    this->news.tell(item);
}

void GatewayHost::tellCrash(const CrashNotice &notice)
{
    this->mesh.broadcast(notice);
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
