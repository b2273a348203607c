// The part of ForwardController that hands requests to other hosts, and takes over theirs, because
// a host reaches no server of a pool.

#include "gateway/forward_controller.h"
#include "gateway/response_status.h"

namespace dotterel {

namespace {

/// Hosts that are asked for one request.
constexpr std::size_t MaxRelayAttempts = 3;
/// Failed connects of one request, with no word from the pool meanwhile, after which another host
/// is asked. An attempt that was silent or reset weighs as many: it costs as much time as the
/// caller can spare, or one of the attempts that the route allows.
constexpr std::size_t PathFailuresBeforeRelay = 2;
constexpr Duration RelayConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration TransportTimeoutMargin = std::chrono::seconds(1);

} // namespace

void ForwardController::onRelayedRequest(HttpCallId id, HttpMessageHead &&head,
                                         std::shared_ptr<const std::string> body,
                                         const RelayEnvelope &envelope, TimePoint now)
{
    ForwardCall &call = this->calls[id];
    call.id = id;
    call.head = std::move(head);
    call.body = std::move(body);
    call.arrivedAt = now;
    call.metadata = this->protocol.parseRequestHeaders(call.head.headers);
    call.metadata.callerTimeout = envelope.timeLeft;
    if (envelope.resumeAfter)
        call.metadata.resumeAfter = envelope.resumeAfter;
    call.relay = envelope;
    call.workspace = envelope.workspace;
    call.attemptsSent = envelope.attemptsSent;
    call.pool = envelope.pool;
    call.deadline = this->deadlineAfter(envelope.timeLeft, now);
    if (this->routeTable && this->routeTable->configuration()) {
        call.configuration = this->routeTable->configuration();
        call.route = this->routeTable->findRoute(call.metadata.hostName, call.head.target);
        // The workspace's own priority is known by its key, which stays at the origin.
        call.priority = call.route != nullptr ? call.route->priority : 0;
    }
    if (!this->admitting)
        return this->refuse(call, Reason::ShuttingDown, std::nullopt, now);
    // This host may have another configuration than the origin, which decided about the route.
    if (call.route == nullptr || call.configuration->pools.count(call.pool) == 0)
        return this->refuse(call, Reason::NoConfiguration, std::nullopt, now, call.head.target);
    this->metrics.count(Counter::RelayedRequestsTaken, 1);
    this->log.write(Event::RelayedRequestTaken, {{"request", call.metadata.requestId},
                                                 {"origin", envelope.origin},
                                                 {"pool", call.pool}});
    this->dispatch(call, now);
}

void ForwardController::recordPathFailure(ForwardCall &call, const ServerId &server,
                                          bool usedAttempt, TimePoint since, TimePoint now)
{
    const std::size_t poolSize = this->fleet.size(call.pool, now);
    if (this->reach.onFailure(call.pool, server, poolSize, since, now))
        call.pathFailures += usedAttempt ? PathFailuresBeforeRelay : 1;
}

bool ForwardController::relay(ForwardCall &call, TimePoint now)
{
    const bool isNeeded =
            this->reach.isOutOfReach(call.pool) || call.pathFailures >= PathFailuresBeforeRelay;
    if (call.relay || !isNeeded || call.triedHosts.size() >= MaxRelayAttempts)
        return false;
    const std::optional<RelayPeer> peer = this->relayPeers.choose(call.pool, call.triedHosts, now);
    if (!peer)
        return false;
    call.triedHosts.insert(peer->host);
    call.attempt = ForwardAttempt();
    ForwardAttempt &attempt = *call.attempt;
    attempt.id = this->nextAttemptId++;
    attempt.relayHost = peer->host;
    attempt.predictedLatency = call.route->latencyGoal;
    attempt.sentAt = now;
    attempt.lastDataAt = now;
    call.readingPaused = false;
    this->callsByAttempt.emplace(attempt.id, call.id);
    this->relayPeers.onSent(peer->host);
    RelayEnvelope envelope;
    envelope.origin = this->hostName;
    envelope.pool = call.pool;
    envelope.workspace = call.workspace;
    envelope.timeLeft = call.deadline - now;
    envelope.waited = earlierWait(call) + (now - call.arrivedAt);
    envelope.attemptsSent = call.attemptsSent;
    envelope.resumeAfter = call.lastEventId ? call.lastEventId : call.metadata.resumeAfter;
    HttpRequest request;
    request.endpoint = peer->endpoint;
    request.method = call.head.method;
    request.target = call.head.target;
    request.headers = withRelayEnvelope(this->protocol.relayHeaders(call.head.headers), envelope);
    request.body = call.body;
    request.timeout = envelope.timeLeft + TransportTimeoutMargin;
    request.connectTimeout = RelayConnectTimeout;
    request.requireNewConnection = !call.route->isRetryable();
    request.echoedHeader = this->protocol.expectedEcho(call.metadata);
    this->metrics.count(Counter::RequestsRelayed, 1);
    this->log.write(Event::RequestRelayed,
                    {{"request", call.metadata.requestId},
                     {"route", call.route->name},
                     {"to_host", peer->host},
                     {"endpoint", peer->endpoint.text()},
                     {"pool", call.pool},
                     {"out_of_reach", this->reach.isOutOfReach(call.pool)},
                     {"path_failures", static_cast<std::int64_t>(call.pathFailures)}});
    this->effects.sendAttempt(attempt.id, request);
    this->scheduleTimer(call, now);
    return true;
}

void ForwardController::onRelayComplete(ForwardCall &call, TimePoint now)
{
    const ForwardAttempt &attempt = *call.attempt;
    if (!attempt.relayRefusal) {
        // The other host has made the attempts that the route allows.
        if (attempt.exceededLimit || (call.responseStarted && !isSuccess(attempt.status)))
            return this->onRelayFailed(call, "failed", Verdict::MayHaveRun, now);
        if (isSuccess(attempt.status) && call.route->kind == RouteKind::Stream)
            return this->completeStream(call, now);
        return this->completeResponse(call, now);
    }
    const RelayRefusal refusal = *attempt.relayRefusal;
    const bool mayAskAnother = refusal.verdict == Verdict::NotRun
                               && (refusal.reason == Reason::ServiceOutOfReach
                                   || refusal.reason == Reason::NoConfiguration
                                   || refusal.reason == Reason::ShuttingDown);
    if (refusal.reason == Reason::ServiceOutOfReach)
        this->relayPeers.onRefused(attempt.relayHost, call.pool, now);
    if (mayAskAnother)
        return this->onRelayFailed(call, reasonInfo(refusal.reason).name, refusal.verdict, now);
    this->logFailedAttempt(call, reasonInfo(refusal.reason).name, refusal.verdict, now);
    this->endAttempt(call, AttemptOutcome::Refused, now);
    if (refusal.verdict != Verdict::NotRun)
        call.mayHaveRun = true;
    this->refuse(call, refusal.reason, refusal.retryAfter, now, "refused by another host");
}

void ForwardController::onRelayFailed(ForwardCall &call, std::string_view outcome, Verdict verdict,
                                      TimePoint now)
{
    this->logFailedAttempt(call, outcome, verdict, now);
    this->endAttempt(call, AttemptOutcome::Failed, now);
    if (verdict != Verdict::NotRun) {
        call.mayHaveRun = true;
        ++call.attemptsSent;
    }
    if (!this->mayRetry(call, verdict, now)) {
        const Reason reason = call.mayHaveRun ? Reason::BackendFailed : Reason::ServiceOutOfReach;
        return this->refuse(call, reason, this->delayWithoutServer(call.pool, now), now);
    }
    this->endRetryWait(call);
    if (verdict != Verdict::NotRun && !this->tryConsumeRetry(call, now)) {
        if (this->awaitRetry(call, RetryReason::ServerFailed, now))
            return;
        this->metrics.count(Counter::RetriesWithheld, 1);
        return this->refuse(call, Reason::RetryBudgetExhausted, std::nullopt, now);
    }
    this->dispatch(call, now);
}

void ForwardController::refuseOutOfReach(ForwardCall &call, TimePoint now)
{
    this->refuse(call, Reason::ServiceOutOfReach, this->delayWithoutServer(call.pool, now), now,
                 call.pool);
}

} // namespace dotterel
