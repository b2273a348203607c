#include "entry_host/entry_host.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr Duration WatchWait = std::chrono::seconds(20);
constexpr Duration WatchRetry = std::chrono::milliseconds(500);
constexpr Duration FarewellTime = std::chrono::milliseconds(50);
constexpr int SilentHeartbeats = 8;
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);
constexpr std::size_t MostOperatorBodyBytes = 64UL * 1024;
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

RequestLimits limitsOf(const Settings &settings)
{
    RequestLimits limits;
    limits.maxInFlight = settings.maxRequestsInFlight;
    return limits;
}

} // namespace

EntryHost::EntryHost(EventLoop &loop, const Settings &settings, Incarnation incarnation,
                     EventLog &log)
    : loop(loop)
    , settings(settings)
    , identity{settings.host, incarnation, settings.failureDomain}
    , log(log)
    , random(incarnation)
    , httpClient(loop)
    , platform(loop, this->httpClient, settings.platform, settings.platformTimeout, this->metrics)
    , directory(log, this->metrics)
    , placement(this->directory, this->random)
    , controller(limitsOf(settings), this->directory, this->placement, *this, this->metrics, log)
    , ledger(this->identity, this->platform, this->random, log)
    , follower(
              [this](const Configuration &configuration) {
                  this->applyConfiguration(configuration);
              },
              this->metrics, log)
    , membership(this->identity, settings.heartbeatInterval, this->metrics, log)
    , backend(loop, this->httpClient, this->identity, *this)
    , callerApi(loop, settings, this->identity, *this)
    , mesh(loop, settings.peers, settings.host, settings.heartbeatInterval * SilentHeartbeats,
           *this, this->random, this->metrics, log)
    , agent(loop, settings.heartbeatInterval, this->membership, this->mesh, this->platform, *this)
    , operatorServer(
              loop, settings.operators, MostOperatorBodyBytes,
              [this](const HttpExchangePointer &exchange) { this->handleOperator(exchange); })
{
    this->log.write(Event::HostStarted, {{"failure_domain", settings.failureDomain},
                                         {"incarnation", std::to_string(incarnation)},
                                         {"callers", this->callers().text()},
                                         {"operators", this->operators().text()},
                                         {"peers", this->peers().text()}});
    this->watchConfiguration();
}

EntryHost::~EntryHost() = default;

void EntryHost::beginShutdown(std::function<void()> finished)
{
    if (this->shuttingDown)
        return;
    this->shuttingDown = true;
    this->shutdownFinished = std::move(finished);
    this->membership.beginLeaving();
    this->log.write(Event::ShutdownBegan, {});
    // The balancer needs a moment to see that the host is not ready; until then it sends requests,
    // which are served.
    this->graceTimer = this->loop.after(this->settings.shutdownGrace, [this] {
        this->controller.beginShutdown();
        this->callerApi.stopListening();
        this->drainTimer =
                this->loop.every(DrainCheckInterval, [this] { this->finishShutdownIfIdle(); });
    });
}

void EntryHost::finishShutdownIfIdle()
{
    if (this->controller.inFlight() > 0 || this->ledger.pending() > 0)
        return;
    this->drainTimer.reset();
    this->log.write(Event::ShutdownDone, {});
    this->agent.sayFarewell();
    this->drainTimer = this->loop.after(FarewellTime, [this] { this->shutdownFinished(); });
}

void EntryHost::sendAttempt(const AttemptOrder &order)
{
    this->backend.send(order);
}

void EntryHost::cancelAttempt(const AttemptId &attempt)
{
    this->backend.cancel(attempt);
}

void EntryHost::claimOrder(const OrderClaim &claim)
{
    const RequestId request = claim.request;
    this->ledger.claim(claim, [this, request](const ClaimOutcome &outcome, TimePoint now) {
        this->controller.onClaimSettled(request, outcome, now);
        this->armTimer();
    });
}

void EntryHost::recordOrderAnswer(const OrderClaim &claim, const ServiceAnswer &answer)
{
    this->ledger.recordAnswer(claim, answer);
}

void EntryHost::releaseOrder(const OrderClaim &claim)
{
    this->ledger.release(claim);
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
    this->callerApi.refuse(request, failure);
}

void EntryHost::onToken(const AttemptId &attempt, const AnswerToken &token)
{
    this->controller.onToken(attempt, token, this->loop.now());
}

void EntryHost::onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end)
{
    this->controller.onAnswerEnd(attempt, end, this->loop.now());
    this->armTimer();
}

void EntryHost::onServiceAnswer(const AttemptId &attempt, const ServiceAnswer &answer)
{
    this->controller.onServiceAnswer(attempt, answer, this->loop.now());
    this->armTimer();
}

void EntryHost::onAttemptFailed(const AttemptId &attempt, const AttemptFailure &failure)
{
    this->controller.onAttemptFailed(attempt, failure, this->loop.now());
    this->armTimer();
}

void EntryHost::onRequest(const Request &request)
{
    this->controller.submit(request, this->loop.now());
    this->armTimer();
}

void EntryHost::onMalformedRequest(const Failure &failure)
{
    this->metrics.countRefusal(failure.reason);
    this->log.write(Event::RequestRefused,
                    {{"reason", std::string(reasonInfo(failure.reason).name)},
                     {"verdict", std::string(verdictName(failure.verdict))},
                     {"detail", failure.detail}});
}

void EntryHost::onCallerGone(const RequestId &request)
{
    this->controller.onCallerGone(request, this->loop.now());
    this->armTimer();
}

void EntryHost::onPeerLinked(std::uint64_t link)
{
    this->agent.onPeerLinked(link);
}

void EntryHost::onPeerMessage(std::uint64_t link, const PeerMessage &message)
{
    this->agent.onPeerMessage(link, message);
    if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&message)) {
        const std::uint64_t known = this->follower.current().version;
        if (heartbeat->sender.configurationVersion > known)
            this->mesh.send(link, ConfigurationRequest{known});
    } else if (const ConfigurationRequest *request = std::get_if<ConfigurationRequest>(&message)) {
        if (this->follower.current().version > request->knownVersion)
            this->mesh.send(link, ConfigurationOffer{this->follower.current().version,
                                                     this->follower.currentText()});
    } else if (const ConfigurationOffer *offer = std::get_if<ConfigurationOffer>(&message)) {
        this->follower.offer(offer->text);
    }
}

void EntryHost::onHostList(const std::vector<ListedHost> &hosts)
{
    for (const ListedHost &host : hosts) {
        if (host.role == "backend" && host.leaving)
            this->directory.markDraining(host.id);
    }
}

void EntryHost::onServerNotice(const ServerNotice &notice)
{
    if (notice.draining)
        this->directory.markDraining(notice.server);
}

void EntryHost::beforeHeartbeat()
{
    for (const ServerId &server : this->directory.draining())
        this->membership.publish({server, 1, true});
}

void EntryHost::applyConfiguration(const Configuration &configuration)
{
    this->agent.announceConfiguration(configuration.version);
    this->directory.applyConfiguration(configuration);
    this->controller.applyConfiguration(configuration);
    this->log.write(Event::HostReady,
                    {{"version", static_cast<std::int64_t>(configuration.version)}});
}

void EntryHost::watchConfiguration()
{
    this->platform.watch(
            ConfigurationKey, this->watchedVersion, WatchWait,
            [this](const ObjectStore::ReadResult &result, TimePoint) {
                const bool reachable = result || result.error() == StoreError::NotFound;
                if (reachable != this->platformReachable)
                    this->log.write(
                            reachable ? Event::PlatformReachable : Event::PlatformUnavailable, {});
                this->platformReachable = reachable;
                if (result) {
                    this->watchedVersion = result->version;
                    this->follower.offer(result->value);
                }
                this->watchTimer = this->loop.after(result ? Duration::zero() : WatchRetry,
                                                    [this] { this->watchConfiguration(); });
            });
}

void EntryHost::armTimer()
{
    const std::optional<TimePoint> next = this->controller.nextTimer();
    if (!next) {
        this->deadlineTimer.reset();
        return;
    }
    this->deadlineTimer = this->loop.after(*next - this->loop.now(), [this] {
        this->controller.onTimer(this->loop.now());
        this->armTimer();
    });
}

void EntryHost::handleOperator(const HttpExchangePointer &exchange)
{
    const std::string path = exchange->path();
    if (path == "/healthz") {
        exchange->reply(StatusOk, {}, "ok\n");
    } else if (path == "/readyz") {
        const bool ready = !this->shuttingDown && this->follower.current().version > 0;
        exchange->reply(ready ? StatusOk : StatusUnavailable, {},
                        ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        exchange->reply(StatusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                        this->metrics.text());
    } else if (path == "/status") {
        exchange->reply(StatusOk, {{"Content-Type", "application/json"}}, this->statusDocument());
    } else {
        exchange->reply(StatusNotFound, {}, "routes are /healthz, /readyz, /metrics and /status\n");
    }
}

std::string EntryHost::statusDocument() const
{
    nlohmann::ordered_json json;
    json["host"] = this->identity.host;
    json["incarnation"] = this->identity.incarnation;
    json["failure_domain"] = this->identity.failureDomain;
    json["configuration_version"] = this->follower.current().version;
    json["shutting_down"] = this->shuttingDown;
    json["platform_reachable"] = this->platformReachable;
    json["requests_in_flight"] = this->controller.inFlight();
    json["peer_links"] = this->mesh.openLinks();
    json["members"] = nlohmann::ordered_json::array();
    for (const MemberRecord &member : this->membership.live()) {
        json["members"].push_back({{"host", member.identity.host},
                                   {"incarnation", member.identity.incarnation},
                                   {"failure_domain", member.identity.failureDomain},
                                   {"configuration_version", member.configurationVersion},
                                   {"state", memberStateName(member.state)},
                                   {"leaving", member.leaving}});
    }
    json["backend_servers"] = nlohmann::ordered_json::array();
    for (const auto &[id, server] : this->follower.current().servers) {
        const ServerState state = this->directory.state(id, this->loop.now());
        json["backend_servers"].push_back(
                {{"id", id}, {"pool", server.pool}, {"state", serverStateName(state)}});
    }
    return json.dump();
}

} // namespace dotterel
