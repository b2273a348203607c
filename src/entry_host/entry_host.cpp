#include "entry_host/entry_host.h"

namespace dotterel {

namespace {

constexpr Duration GoodbyeFlushTime = std::chrono::milliseconds(200);
constexpr int PeerTimeoutHeartbeats = 8;
constexpr int StartupPeerWaitHeartbeats = 3;
constexpr Duration LedgerTimerInterval = std::chrono::milliseconds(5);
constexpr Duration LedgerFlushTimeout = std::chrono::seconds(10);
constexpr Duration LoadPollInterval = std::chrono::seconds(1);
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);
constexpr Duration IdleTimeBeforeExit = std::chrono::milliseconds(500);
constexpr Duration LateRequestLimit = std::chrono::seconds(10);

RequestLimits requestLimitsOf(const Settings &settings)
{
    RequestLimits limits;
    limits.maxInFlight = settings.maxRequestsInFlight;
    return limits;
}

} // namespace

EntryHost::EntryHost(EventLoop &loop, const Settings &settings, Incarnation incarnation,
                     EventLog &log, std::function<void()> onDrainFinished)
    : loop(loop)
    , settings(settings)
    , identity{settings.host, incarnation, settings.failureDomain}
    , log(log)
    , random(incarnation)
    , httpClient(loop)
    , platform(loop, this->httpClient, settings.platform, settings.platformTimeout, this->metrics)
    , serverDirectory(log, this->metrics)
    , placement(this->serverDirectory, this->random, PlacementSettings{}, this->identity,
                loop.wallTime() - loop.now().time_since_epoch().count() / 1'000)
    , crashGuard(CrashLimits{}, this->metrics, log)
    , controller(requestLimitsOf(settings), this->serverDirectory, this->placement,
                 this->crashGuard, *this, this->metrics, log)
    , orderLedger(this->identity, this->platform, *this, *this, this->random, log)
    , configurationFeed(
              loop, this->platform, this->peerMesh,
              [this](const Configuration &accepted) { this->applyConfiguration(accepted); },
              this->metrics, log)
    , membership(this->identity, settings.heartbeatInterval, this->metrics, log)
    , loadPoller(this->httpClient, settings.host,
                 [this](const ServerId &server, const LoadReport &report) {
                     this->onLoadReport(server, report);
                 })
    , backendClient(loop, this->httpClient, this->identity, *this)
    , callerApi(loop, settings, this->identity, *this)
    , peerMesh(loop, settings.peers, settings.host,
               settings.heartbeatInterval * PeerTimeoutHeartbeats, *this, this->random,
               this->metrics, log)
    , membershipDriver(loop, settings.heartbeatInterval, this->membership, this->peerMesh,
                       this->platform, *this)
    , drainingServerProber(loop, this->httpClient, this->identity, this->serverDirectory)
    , memorySweeper(loop, this->httpClient, this->membership, this->serverDirectory, this->metrics,
                    log)
    , operatorApi(loop, settings.operators, *this, this->metrics)
    , onDrainFinished(std::move(onDrainFinished))
{
    this->log.write(Event::HostStarted, {{"failure_domain", settings.failureDomain},
                                         {"incarnation", std::to_string(incarnation)},
                                         {"callers", this->callers().text()},
                                         {"operators", this->operators().text()},
                                         {"peers", this->peers().text()}});
    this->loadPollTimer = loop.every(LoadPollInterval, [this] { this->pollLoads(); });
    this->configurationFeed.start(settings.heartbeatInterval * StartupPeerWaitHeartbeats);
}

EntryHost::~EntryHost()
{
    // Open connections are closed when their server is destroyed; their callbacks must not start a
    // timer that has been destroyed before.
    this->destroying = true;
}

void EntryHost::beginShutdown(std::function<void()> finished)
{
    if (this->shuttingDown)
        return;
    this->shuttingDown = true;
    this->shutdownFinished = std::move(finished);
    this->membership.beginLeaving();
    this->log.write(Event::ShutdownBegan, {});
    this->callerApi.closeAfterReplies();
    // The load balancer needs time to see that the host is not ready. Until then it still sends
    // requests, which are served.
    this->shutdownGraceTimer = this->loop.after(this->settings.shutdownGrace, [this] {
        this->callerApi.stopListening();
        this->idleSince = this->loop.now();
        this->shutdownDrainTimer =
                this->loop.every(DrainCheckInterval, [this] { this->finishShutdownWhenIdle(); });
        // Requests that still arrive on open connections are served until LateRequestLimit.
        this->shutdownGraceTimer =
                this->loop.after(LateRequestLimit, [this] { this->controller.beginShutdown(); });
    });
}

void EntryHost::finishShutdownWhenIdle()
{
    const TimePoint now = this->loop.now();
    // A request that is still being received is not in flight yet; only its bytes show it.
    const std::uint64_t received = this->callerApi.receivedBytes();
    const bool busy = this->controller.inFlight() > 0 || !this->callerApi.idle();
    if (busy || received != this->lastReceivedBytes)
        this->idleSince = now;
    this->lastReceivedBytes = received;
    if (now - this->idleSince < IdleTimeBeforeExit)
        return;
    // Order outcomes are written first, but a store that stays unavailable only delays the shutdown
    // by LedgerFlushTimeout.
    if (!this->ledgerFlushDeadline)
        this->ledgerFlushDeadline = now + LedgerFlushTimeout;
    if (this->orderLedger.pendingCount() > 0 && now < *this->ledgerFlushDeadline)
        return;
    this->shutdownDrainTimer.reset();
    this->log.write(Event::ShutdownDone, {});
    this->membershipDriver.announceShutdown();
    const TimePoint end = now + GoodbyeFlushTime;
    this->shutdownDrainTimer = this->loop.every(DrainCheckInterval, [this, end] {
        if (this->peerMesh.unsentBytes() > 0 && this->loop.now() < end)
            return;
        this->shutdownDrainTimer.reset();
        this->peerMesh.closeAllLinks();
        if (this->shutdownFinished)
            this->shutdownFinished();
    });
}

void EntryHost::sendAttempt(const AttemptRequest &order)
{
    this->backendClient.send(order);
}

void EntryHost::cancelAttempt(const AttemptId &attempt)
{
    this->backendClient.cancel(attempt);
}

void EntryHost::pauseAttempt(const AttemptId &attempt, bool paused)
{
    this->backendClient.pause(attempt, paused);
}

void EntryHost::broadcastCrashNotice(const CrashNotice &notice)
{
    this->peerMesh.broadcast(notice);
}

void EntryHost::claimOrder(const OrderClaim &claim)
{
    const RequestId request = claim.request;
    this->orderLedger.claim(claim, [this, request](const ClaimOutcome &outcome, TimePoint now) {
        this->controller.onClaimSettled(request, outcome, now);
        this->scheduleControllerTimer();
    });
    this->startLedgerTimer();
}

void EntryHost::startLedgerTimer()
{
    if (!this->ledgerTimer)
        this->ledgerTimer =
                this->loop.every(LedgerTimerInterval, [this] { this->runDueLedgerTimers(); });
}

void EntryHost::replicateOutcome(const OrderOutcome &outcome)
{
    this->peerMesh.broadcast(
            OrderOutcomeOffer{outcome.name, outcome.version, encodeOrderRecord(outcome.record)});
}

void EntryHost::runDueLedgerTimers()
{
    const TimePoint now = this->loop.now();
    const std::optional<TimePoint> next = this->orderLedger.nextTimer();
    if (next && *next <= now)
        this->orderLedger.onTimer(now);
}

void EntryHost::recordOrderAnswer(const OrderClaim &claim, const ServiceAnswer &answer)
{
    this->orderLedger.recordAnswer(claim, answer);
}

void EntryHost::releaseOrder(const OrderClaim &claim)
{
    this->orderLedger.recordNotRun(claim);
}

void EntryHost::deliverText(const RequestId &request, const std::string &text)
{
    this->callerApi.deliverText(request, text);
}

void EntryHost::finishAnswer(const RequestId &request, std::uint64_t tokens)
{
    this->callerApi.finishAnswer(request, tokens);
}

void EntryHost::deliverServiceAnswer(const RequestId &request, const ServiceAnswer &answer)
{
    this->callerApi.deliverServiceAnswer(request, answer);
}

void EntryHost::refuse(const RequestId &request, const Failure &failure)
{
    this->orderLedger.onRequestRefused(request, failure.verdict);
    this->callerApi.refuse(request, failure);
}

bool EntryHost::isBelievedAlive(const HostId &host, Incarnation incarnation) const
{
    for (const MemberRecord &member : this->membership.liveMembers()) {
        if (member.identity.host == host && member.identity.incarnation == incarnation)
            return true;
    }
    return false;
}

void EntryHost::onToken(const AttemptId &attempt, const AnswerToken &token)
{
    this->controller.onToken(attempt, token, this->loop.now());
    this->scheduleDispatchUpdate();
}

void EntryHost::onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end)
{
    this->controller.onAnswerEnd(attempt, end, this->loop.now());
    this->scheduleControllerTimer();
}

void EntryHost::onServiceAnswer(const AttemptId &attempt, const ServiceAnswer &answer)
{
    this->controller.onServiceAnswer(attempt, answer, this->loop.now());
    this->scheduleControllerTimer();
}

void EntryHost::onAttemptFailed(const AttemptId &attempt, const AttemptFailure &failure)
{
    this->controller.onAttemptFailed(attempt, failure, this->loop.now());
    this->scheduleControllerTimer();
}

void EntryHost::onRequest(const Request &request)
{
    this->controller.submit(request, this->loop.now());
    this->scheduleControllerTimer();
}

void EntryHost::onMalformedRequest(const Failure &failure)
{
    this->metrics.countRefusal(failure.reason);
    this->log.write(Event::RequestRefused,
                    {{"reason", std::string(reasonInfo(failure.reason).name)},
                     {"verdict", std::string(verdictName(failure.verdict))},
                     {"detail", failure.detail}});
}

void EntryHost::onCallerDisconnected(const RequestId &request)
{
    this->controller.onCallerGone(request, this->loop.now());
    this->scheduleControllerTimer();
}

void EntryHost::onCallerBlocked(const RequestId &request, bool blocked)
{
    this->controller.onCallerBlocked(request, blocked, this->loop.now());
    this->scheduleControllerTimer();
}

void EntryHost::scheduleControllerTimer()
{
    if (this->destroying)
        return;
    this->scheduleDispatchUpdate();
    const std::optional<TimePoint> next = this->controller.nextTimer();
    if (!next) {
        this->controllerTimer.reset();
        return;
    }
    this->controllerTimer = this->loop.after(*next - this->loop.now(), [this] {
        this->controller.onTimer(this->loop.now());
        this->scheduleControllerTimer();
    });
}

bool EntryHost::isReady() const
{
    return !this->shuttingDown && this->configurationFeed.current().version > 0;
}

HostStatus EntryHost::status() const
{
    HostStatus status;
    status.identity = this->identity;
    status.configurationVersion = this->configurationFeed.current().version;
    status.shuttingDown = this->shuttingDown;
    status.platformReachable = this->configurationFeed.isPlatformReachable();
    status.requestsInFlight = this->controller.inFlight();
    status.peerLinks = this->peerMesh.openLinks();
    for (const MemberRecord &member : this->membership.liveMembers())
        status.members.push_back({member.identity, member.configurationVersion, member.leaving});
    for (const auto &[id, server] : this->configurationFeed.current().servers) {
        const ServerState state = this->serverDirectory.state(id, this->loop.now());
        status.servers.push_back({id, server.pool, std::string(serverStateName(state))});
    }
    return status;
}

void EntryHost::drain()
{
    this->beginShutdown(this->onDrainFinished);
}

} // namespace dotterel
