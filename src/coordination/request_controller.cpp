#include "coordination/request_controller.h"

#include "coordination/request_failures.h"
#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

OrderClaim makeClaim(const Request &request, TimePoint deadline)
{
    return {request.id, request.workspace, request.idempotencyKey,
            hash128Hex(request.method + '\n' + request.target + '\n' + *request.body), deadline};
}

} // namespace

RequestController::RequestController(const RequestLimits &limits, BackendDirectory &directory,
                                     Placement &placement, CrashGuard &crashGuard,
                                     RequestEffects &effects, Metrics &metrics, EventLog &log)
    : limits(limits)
    , directory(directory)
    , placement(placement)
    , crashGuard(crashGuard)
    , effects(effects)
    , metrics(metrics)
    , log(log)
    , admission(limits)
    , retryBudget(limits.retryRatio, limits.retryReserveTokens)
{}

void RequestController::applyConfiguration(const Configuration &configuration)
{
    this->admission.applyConfiguration(configuration);
}

void RequestController::beginShutdown()
{
    this->admission.beginShutdown();
}

void RequestController::submit(const Request &request, TimePoint now)
{
    RequestEntry entry;
    entry.request = request;
    entry.arrival = now;
    const std::optional<Failure> failure =
            this->admission.check(request, this->requests.size(), this->queuedBytes);
    if (failure) {
        this->refuse(entry, *failure, now);
        return;
    }
    const RequestClass &requestClass = this->admission.requestClass(request);
    entry.kind = this->admission.poolKind(request);
    entry.idempotent = requestClass.idempotent;
    entry.deadline = now + requestClass.deadline;
    this->crashCount(entry, now);
    if (!entry.fingerprint.empty() && this->crashGuard.shouldRefuse(entry.fingerprint, now)) {
        this->refuse(entry, crashSuspectFailure(), now);
        return;
    }
    this->metrics.count(Counter::RequestsAdmitted, 1);
    this->queuedBytes += request.body->size();
    RequestEntry &stored = this->requests.emplace(request.id, std::move(entry)).first->second;
    this->setTimer(stored, stored.deadline);
    this->metrics.set(Gauge::RequestsInFlight, static_cast<double>(this->requests.size()));
    this->metrics.set(Gauge::QueuedBytes, static_cast<double>(this->queuedBytes));
    if (stored.idempotent) {
        this->dispatch(stored, now);
        return;
    }
    stored.phase = RequestPhase::Claiming;
    this->effects.claimOrder(makeClaim(stored.request, stored.deadline));
}

void RequestController::onClaimSettled(const RequestId &request, const ClaimOutcome &outcome,
                                       TimePoint now)
{
    const auto abandoned = this->abandonedClaims.find(request);
    if (abandoned != this->abandonedClaims.end()) {
        // The caller was told that the order did not run, so its key must become usable again.
        if (outcome.result == ClaimResult::Claimed)
            this->effects.releaseOrder(abandoned->second);
        this->abandonedClaims.erase(abandoned);
        return;
    }
    const auto found = this->requests.find(request);
    if (found == this->requests.end() || found->second.phase != RequestPhase::Claiming)
        return;
    RequestEntry &entry = found->second;
    switch (outcome.result) {
    case ClaimResult::Claimed:
        entry.phase = RequestPhase::Running;
        entry.claimed = true;
        this->metrics.count(Counter::OrdersClaimed, 1);
        this->log.write(Event::OrderClaimed, {{"request", request}});
        this->dispatch(entry, now);
        return;
    case ClaimResult::AlreadyFinished:
        this->effects.deliverServiceAnswer(request, outcome.answer);
        this->removeRequest(entry);
        return;
    default:
        entry.phase = RequestPhase::Running;
        this->log.write(Event::OrderClaimFailed, {{"request", request}});
        this->refuse(entry, claimFailure(outcome.result), now);
        return;
    }
}

void RequestController::onToken(const AttemptId &attempt, const AnswerToken &token, TimePoint now)
{
    RequestEntry *entry = this->findByAttempt(attempt);
    if (entry == nullptr || token.attempt != attempt || token.index < entry->nextIndex) {
        this->discardForeignBytes(attempt, token.text.size());
        return;
    }
    if (token.index > entry->nextIndex) {
        // A token was lost, so the rest of this stream is unusable.
        this->effects.cancelAttempt(attempt);
        this->onAttemptFailed(attempt, truncatedAnswerFailure("a token is missing from the answer"),
                              now);
        return;
    }
    entry->lastActivity = now;
    this->lastTokenTimes[entry->server] = now;
    if (!entry->receivedToken)
        this->onFirstToken(*entry, now);
    ++entry->nextIndex;
    this->effects.deliverText(entry->request.id, token.text);
}

void RequestController::onFirstToken(RequestEntry &entry, TimePoint now)
{
    entry.receivedToken = true;
    this->placement.onFirstToken(entry.attempt, now);
    this->directory.markUp(entry.server);
    if (entry.nextIndex == 0)
        this->metrics.observeFirstToken(lengthBand(entry.request.promptTokens),
                                        now - entry.arrival);
    if (!entry.silenceTimeout)
        return;
    entry.silenceTimeout = this->limits.tokenTimeout;
    this->setTimer(entry, this->nextTimerTime(entry, now));
}

void RequestController::onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end, TimePoint now)
{
    RequestEntry *entry = this->findByAttempt(attempt);
    if (entry == nullptr || end.attempt != attempt) {
        this->discardForeignBytes(attempt, 1);
        return;
    }
    if (end.count != entry->nextIndex) {
        this->onAttemptFailed(
                attempt, truncatedAnswerFailure("the answer was truncated before its last token"),
                now);
        return;
    }
    this->completeAttempt(*entry, now);
    this->effects.finishAnswer(entry->request.id, end.count);
    this->removeRequest(*entry);
}

void RequestController::onServiceAnswer(const AttemptId &attempt, const ServiceAnswer &answer,
                                        TimePoint now)
{
    RequestEntry *entry = this->findByAttempt(attempt);
    if (entry == nullptr)
        return;
    this->directory.markUp(entry->server);
    this->completeAttempt(*entry, now);
    if (!entry->idempotent)
        this->effects.recordOrderAnswer(makeClaim(entry->request, entry->deadline), answer);
    this->effects.deliverServiceAnswer(entry->request.id, answer);
    this->removeRequest(*entry);
}

void RequestController::onAttemptFailed(const AttemptId &attempt, const AttemptFailure &failure,
                                        TimePoint now)
{
    RequestEntry *entry = this->findByAttempt(attempt);
    if (entry == nullptr)
        return;
    this->log.write(Event::AttemptFailed,
                    {{"attempt", attempt},
                     {"server", entry->server},
                     {"reason", std::string(reasonInfo(failure.failure.reason).name)},
                     {"verdict", std::string(verdictName(failure.failure.verdict))}});
    this->applyServerFault(*entry, failure, now);
    entry->excluded.push_back(failure.failedServer.empty() ? entry->server : failure.failedServer);
    entry->verdict = std::max(entry->verdict, failure.failure.verdict);
    this->endAttempt(*entry, now);
    this->retryOrRefuse(*entry, failure, now);
}

void RequestController::onCallerGone(const RequestId &request, TimePoint now)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    RequestEntry &entry = found->second;
    this->log.write(Event::CallerLeft, {{"request", request}});
    // An order continues, so that its answer is recorded for a retry by the caller.
    if (!entry.idempotent)
        return;
    this->refuse(
            entry,
            {entry.verdict, Reason::CallerGone, "the caller closed its connection", std::nullopt},
            now);
}

void RequestController::onCallerBlocked(const RequestId &request, bool blocked, TimePoint now)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    RequestEntry &entry = found->second;
    entry.blockedSince.reset();
    entry.lastActivity = now;
    if (blocked) {
        entry.blockedSince = now;
        this->setTimer(entry, this->nextTimerTime(entry, now));
    }
    if (!entry.attempt.empty())
        this->effects.pauseAttempt(entry.attempt, blocked);
}

bool RequestController::onCrashNotice(const CrashNotice &notice, TimePoint now)
{
    return this->crashGuard.onNotice(notice, now);
}

void RequestController::retryOrRefuse(RequestEntry &entry, const AttemptFailure &failure,
                                      TimePoint now)
{
    Failure final = failure.failure;
    final.verdict = entry.verdict;
    if (!entry.fingerprint.empty() && this->crashGuard.shouldRefuse(entry.fingerprint, now)) {
        this->refuse(entry, crashSuspectFailure(), now);
        return;
    }
    const bool isSafeToRetry = failure.failure.isSafeToRetry(entry.idempotent);
    if (!isSafeToRetry || !this->canRetry(entry, now)) {
        this->refuse(entry, final, now);
        return;
    }
    // An attempt that did not run used no capacity, so its retry is free of charge.
    const bool costsWork = failure.failure.verdict != Verdict::NotRun;
    if (costsWork && !this->retryBudget.tryConsume(entry.retryCost())) {
        this->refuse(entry, retryBudgetFailure(entry.verdict), now);
        return;
    }
    this->metrics.countRetry(retryReason(failure));
    this->dispatch(entry, now);
}

void RequestController::applyServerFault(RequestEntry &entry, const AttemptFailure &failure,
                                         TimePoint now)
{
    switch (failure.serverFault) {
    case ServerFault::None:
        return;
    case ServerFault::Draining:
        this->directory.markDraining(entry.server);
        return;
    case ServerFault::Unreachable:
        this->directory.markDown(entry.server, now);
        return;
    case ServerFault::ConnectionLost:
        this->directory.markDown(entry.server, now);
        if (entry.fingerprint.empty())
            entry.fingerprint =
                    CrashGuard::fingerprint(entry.request.workspace, *entry.request.body);
        this->effects.broadcastCrashNotice(
                this->crashGuard.onServerCrashed(entry.fingerprint, entry.server, now));
    }
}

bool RequestController::canRetry(const RequestEntry &entry, TimePoint now) const
{
    return entry.attempts < this->limits.maxAttempts && now < entry.deadline;
}

void RequestController::refuse(RequestEntry &entry, Failure failure, TimePoint now)
{
    this->metrics.countRefusal(failure.reason);
    this->log.write(Event::RequestRefused,
                    {{"request", entry.request.id},
                     {"reason", std::string(reasonInfo(failure.reason).name)},
                     {"verdict", std::string(verdictName(failure.verdict))},
                     {"detail", failure.detail}});
    if (!entry.attempt.empty()) {
        const AttemptId attempt = entry.attempt;
        this->endAttempt(entry, now);
        this->effects.cancelAttempt(attempt);
    }
    this->releaseClaim(entry, failure.verdict);
    this->effects.refuse(entry.request.id, failure);
    this->removeRequest(entry);
}

void RequestController::releaseClaim(const RequestEntry &entry, Verdict verdict)
{
    if (entry.idempotent || this->requests.count(entry.request.id) == 0)
        return;
    const OrderClaim claim = makeClaim(entry.request, entry.deadline);
    if (entry.phase == RequestPhase::Claiming)
        this->abandonedClaims.emplace(entry.request.id, claim);
    else if (entry.claimed && verdict == Verdict::NotRun)
        this->effects.releaseOrder(claim);
}

void RequestController::completeAttempt(RequestEntry &entry, TimePoint now)
{
    if (this->crashCount(entry, now) > 0)
        this->effects.broadcastCrashNotice(this->crashGuard.onFinished(entry.fingerprint, now));
    this->endAttempt(entry, now);
    this->metrics.count(Counter::RequestsFinished, 1);
    this->log.write(Event::RequestFinished, {{"request", entry.request.id}});
}

void RequestController::removeRequest(const RequestEntry &entry)
{
    const RequestId request = entry.request.id;
    const auto found = this->requests.find(request);
    // A request refused on arrival was never stored.
    if (found == this->requests.end())
        return;
    this->timers.erase({entry.timerDue, request});
    this->queuedBytes -= entry.request.body->size();
    this->requests.erase(found);
    this->metrics.set(Gauge::RequestsInFlight, static_cast<double>(this->requests.size()));
    this->metrics.set(Gauge::QueuedBytes, static_cast<double>(this->queuedBytes));
}

std::size_t RequestController::crashCount(RequestEntry &entry, TimePoint now)
{
    if (this->crashGuard.empty())
        return 0;
    if (entry.fingerprint.empty())
        entry.fingerprint = CrashGuard::fingerprint(entry.request.workspace, *entry.request.body);
    return this->crashGuard.crashCount(entry.fingerprint, now);
}

RequestEntry *RequestController::findByAttempt(const AttemptId &attempt)
{
    const auto request = this->attempts.find(attempt);
    return request == this->attempts.end() ? nullptr : &this->requests.at(request->second);
}

void RequestController::discardForeignBytes(const AttemptId &attempt, std::size_t bytes)
{
    this->metrics.count(Counter::ForeignBytesDropped, bytes);
    this->log.write(Event::ForeignBytesDropped, {{"attempt", attempt}});
}

} // namespace dotterel
