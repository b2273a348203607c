// The part of ForwardController that handles attempts that fail or end.

#include "core/hashing.h"
#include "gateway/forward_controller.h"

namespace dotterel {

namespace {

/// The loss of a connection that was closed before the request was sent shows within a round trip.
/// A connection that is lost later was lost while the request was at the server.
constexpr Duration MaxStaleDetectionTime = std::chrono::milliseconds(20);
/// A new connection that is lost this early, with no byte of a response, may have been reset by the
/// path to the server, in whose place something else accepted it.
constexpr Duration MaxPathResetTime = std::chrono::milliseconds(50);

} // namespace

void ForwardController::onResponseBroken(ForwardCall &call, std::string_view outcome,
                                         Verdict verdict, TimePoint now)
{
    if (call.attempt->isRelayed())
        return this->onRelayFailed(call, outcome, verdict, now);
    this->logFailedAttempt(call, outcome, verdict, now);
    const ServerId server = call.attempt->server;
    if (verdict != Verdict::NotRun)
        this->accuseParts(call, outcome, now);
    this->endAttempt(call, AttemptOutcome::Failed, now);
    if (verdict != Verdict::NotRun)
        this->reportCrash(call, server, outcome, now);
    this->retryOrRefuse(call, {verdict, RetryReason::AnswerCut}, now);
    this->withdrawRefusedPrompts(now);
}

void ForwardController::onAttemptFailed(ForwardAttemptId id, const HttpFailure &failure,
                                        TimePoint now)
{
    ForwardCall *call = this->findCall(id);
    if (call == nullptr)
        return;
    call->attempt->reusedConnection = failure.reusedConnection;
    const bool connectFailed = failure.kind == HttpFailureKind::ConnectFailed;
    if (call->attempt->isRelayed()) {
        if (connectFailed)
            this->relayPeers.onUnreachable(call->attempt->relayHost, now);
        return this->onRelayFailed(*call, connectFailed ? "unreachable" : "broken", failure.verdict,
                                   now);
    }
    // The server may have closed the reused connection before the request reached it.
    const bool lostAtOnce = failure.reusedConnection
                            && failure.kind == HttpFailureKind::ConnectionLost
                            && now - call->attempt->sentAt < MaxStaleDetectionTime;
    Verdict verdict = failure.verdict;
    if (call->attempt->status != 0 && call->attempt->metadata.notRun)
        verdict = Verdict::NotRun;
    const TimePoint sentAt = call->attempt->sentAt;
    const bool resetAtOnce = !failure.reusedConnection
                             && failure.kind == HttpFailureKind::ConnectionLost
                             && call->attempt->status == 0 && now - sentAt < MaxPathResetTime;
    // The one retry that a route may allow has to take another path.
    if (resetAtOnce)
        this->recordPathFailure(*call, call->attempt->server, true, sentAt, now);
    if (!connectFailed && !lostAtOnce)
        return this->onResponseBroken(*call, "broken", verdict, now);
    this->logFailedAttempt(*call, connectFailed ? "unreachable" : "lost_at_once", verdict, now);
    const ServerId server = call->attempt->server;
    if (connectFailed) {
        const bool wasSilent = now - call->attempt->sentAt >= ConnectTimeout;
        this->recordPathFailure(*call, call->attempt->server, wasSilent,
                                wasSilent ? call->attempt->sentAt : now, now);
    }
    if (connectFailed && now - call->attempt->sentAt < ConnectTimeout) {
        if (this->fleet.onConnectionRefused(server, now))
            this->publishWarmUp(server, now);
        if (this->reach.isOutOfReach(call->pool))
            this->fleet.forgetRefusedConnections(call->pool);
    }
    if (lostAtOnce)
        this->doubtEnd(*call, DoubtfulEndKind::LostAtOnce, call->attempt->sentAt, now);
    this->endAttempt(*call, connectFailed ? AttemptOutcome::Unreachable : AttemptOutcome::Refused,
                     now);
    if (connectFailed && call->unverifiedServer == server) {
        // The server did not close an idle connection, it crashed: the earlier attempt counts.
        call->unverifiedServer.clear();
        ++call->attemptsSent;
    }
    if (lostAtOnce) {
        call->triedServers.erase(server);
        call->unverifiedServer = server;
    }
    this->settleDoubtfulEnds(now);
    const RetryReason reason = connectFailed ? RetryReason::ConnectFailed : RetryReason::AnswerCut;
    this->retryOrRefuse(*call, {verdict, reason, lostAtOnce}, now);
}

void ForwardController::endAttempt(ForwardCall &call, AttemptOutcome outcome, TimePoint now)
{
    if (!call.attempt)
        return;
    const ForwardAttempt &attempt = *call.attempt;
    if (!attempt.isRelayed())
        this->fleet.onAttemptOutcome(attempt.server, outcome, now, attempt.sentAt);
    if (attempt.isRelayed()) {
        this->relayPeers.onEnded(attempt.relayHost);
    } else if (attempt.isPrompt) {
        const bool noResponse =
                outcome == AttemptOutcome::Unreachable || outcome == AttemptOutcome::Silent;
        const PromptKey key{this->senderHash, attempt.id};
        this->fleet.onPromptEnded(key);
        if (outcome == AttemptOutcome::Silent)
            this->promptPlacement.onSilent(key, now);
        else
            this->promptPlacement.onEnded(key, now);
        const PromptUpdateKind updateKind =
                noResponse ? PromptUpdateKind::Unanswered : PromptUpdateKind::Ended;
        this->effects.publishPromptUpdate(
                {updateKind, attempt.id, hash32(attempt.server), {}, {}, {}});
        this->releaseReservations(call, now);
    } else {
        this->servicePlacement.onEnded(attempt.server);
    }
    this->totalHeldBytes -= attempt.heldBytes;
    this->callsByAttempt.erase(attempt.id);
    call.attempt.reset();
}

void ForwardController::abandonAttempt(ForwardCall &call, TimePoint now)
{
    if (!call.attempt)
        return;
    this->doubtGivenUp(call, now);
    // The server may still run the request despite the cancellation.
    call.mayHaveRun = true;
    this->effects.cancelAttempt(call.attempt->id);
    const ForwardAttempt &attempt = *call.attempt;
    if (attempt.isRelayed()) {
        this->relayPeers.onEnded(attempt.relayHost);
    } else if (attempt.isPrompt) {
        this->promptPlacement.onEnded({this->senderHash, attempt.id}, now);
        this->fleet.onPromptEnded({this->senderHash, attempt.id});
        this->effects.publishPromptUpdate({PromptUpdateKind::Ended, attempt.id, 0, {}, {}, {}});
        this->releaseReservations(call, now);
    } else {
        this->servicePlacement.onEnded(attempt.server);
    }
    this->totalHeldBytes -= attempt.heldBytes;
    this->callsByAttempt.erase(attempt.id);
    call.attempt.reset();
}

} // namespace dotterel
