#include "gateway/forward_controller.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
constexpr int FirstServerError = 500;
/// Answers up to this size are passed on when they are whole, so that a spoiled one can be
/// replaced.
constexpr std::size_t MostHeldBytes = 256UL * 1024;
/// A server's answer is read no further while the caller leaves this much.
constexpr std::size_t MostUnsentBytes = 256UL * 1024;

/// Returns true for a status that tells callers that their request has not run, which only a server
/// that says so itself can know.
bool promisesNotRun(int status)
{
    constexpr int Timeout = 408;
    constexpr int Misdirected = 421;
    constexpr int TooMany = 429;
    constexpr int Unavailable = 503;
    return status == Timeout || status == Misdirected || status == TooMany || status == Unavailable;
}

bool isSuccess(int status)
{
    return status >= FirstSuccess && status < FirstRedirect;
}

} // namespace

void ForwardController::onAttemptHead(ForwardAttemptId id, int status, const HttpHeaders &headers,
                                      TimePoint now)
{
    ForwardCall *call = this->callOf(id);
    if (call == nullptr)
        return;
    ForwardAttempt &attempt = *call->attempt;
    attempt.status = status;
    attempt.headers = headers;
    attempt.heard = now;
    attempt.facts = this->protocol.readAnswer(status, headers);
    if (attempt.facts.load)
        this->services.onReported(attempt.server, *attempt.facts.load, now);
    if (!attempt.facts.notRun && !attempt.facts.wrongServer)
        call->mayHaveRun = true;
}

void ForwardController::onAttemptData(ForwardAttemptId id, std::string_view bytes, TimePoint now)
{
    ForwardCall *call = this->callOf(id);
    if (call == nullptr)
        return;
    ForwardAttempt &attempt = *call->attempt;
    attempt.heard = now;
    const bool sound =
            isSuccess(attempt.status) && attempt.facts.isSigned && !attempt.facts.isEncoded;
    if (sound && call->route->kind == RouteKind::Stream)
        return this->passEvents(*call, bytes, now);
    if (call->answerBegun && call->lastEvent == std::nullopt)
        return this->passPart(*call, bytes);
    attempt.body.append(bytes);
    if (attempt.body.size() <= MostHeldBytes || !sound || call->answerBegun)
        return;
    this->beginAnswer(*call);
    const std::string held = std::move(attempt.body);
    attempt.body.clear();
    this->passPart(*call, held);
}

void ForwardController::beginAnswer(ForwardCall &call)
{
    if (call.answerBegun)
        return;
    call.answerBegun = true;
    this->effects.startAnswer(call.id, call.attempt->status,
                              this->protocol.answerHeaders(call.attempt->headers), std::nullopt);
}

void ForwardController::passPart(ForwardCall &call, std::string_view bytes)
{
    const std::size_t unsent = this->effects.sendPart(call.id, bytes);
    if (unsent > MostUnsentBytes && !call.paused) {
        call.paused = true;
        this->effects.pauseAttempt(call.attempt->id, true);
    }
}

void ForwardController::passEvents(ForwardCall &call, std::string_view bytes, TimePoint now)
{
    ForwardAttempt &attempt = *call.attempt;
    for (const StreamEvent &event : attempt.splitter.feed(bytes)) {
        if (!attempt.firstEvent) {
            attempt.firstEvent = true;
            if (attempt.isPrompt) {
                this->prompts.onFirstEvent({this->sender, attempt.id}, now);
                this->effects.tellPrompt({PromptUpdateKind::FirstEvent,
                                          attempt.id,
                                          hash32(attempt.server),
                                          {},
                                          {},
                                          {}});
            }
        }
        // A run that goes on begins after the last event; one that does not is no continuation.
        if (event.id && call.lastEvent && *event.id <= *call.lastEvent)
            continue;
        if (event.id)
            call.lastEvent = event.id;
        if (call.firstEvent == Duration::zero()) {
            call.firstEvent = now - call.arrived;
            this->metrics.observeFirstToken(lengthBand(call.facts.promptTokens), call.firstEvent);
        } else {
            call.longestPause = std::max(call.longestPause, now - call.eventPassed);
        }
        call.eventPassed = now;
        this->beginAnswer(call);
        this->passPart(call, event.bytes);
    }
}

void ForwardController::onAttemptComplete(ForwardAttemptId id, TimePoint now)
{
    ForwardCall *call = this->callOf(id);
    if (call == nullptr)
        return;
    const ForwardAttempt &attempt = *call->attempt;
    if (attempt.facts.wrongServer || attempt.facts.notRun) {
        this->logAttempt(*call, "refused", Verdict::NotRun, now);
        this->endAttempt(
                *call,
                attempt.facts.wrongServer ? AttemptOutcome::Leaving : AttemptOutcome::Refused, now);
        return this->attemptLost(*call, {Verdict::NotRun, RetryReason::Refused}, now);
    }
    const bool spoiled =
            isSuccess(attempt.status) && (!attempt.facts.isSigned || attempt.facts.isEncoded);
    if (spoiled || attempt.status >= FirstServerError || promisesNotRun(attempt.status))
        return this->replaceOrPass(*call, spoiled, now);
    if (isSuccess(attempt.status) && call->route->kind == RouteKind::Stream)
        return this->completeStream(*call, now);
    this->completeAnswer(*call, now);
}

void ForwardController::replaceOrPass(ForwardCall &call, bool spoiled, TimePoint now)
{
    const int status = call.attempt->status;
    this->logAttempt(call, spoiled ? "spoiled" : "failed", Verdict::Ran, now);
    // A server's own failure is an answer; it is replaced only where another server may try.
    const bool replace =
            this->mayRepeat(call, Verdict::Ran, now) && this->retries.withdraw(call.pool, now);
    const bool passable = !spoiled && !promisesNotRun(status) && !call.answerBegun;
    if (!replace && passable) {
        this->effects.answer(call.id, status, this->protocol.answerHeaders(call.attempt->headers),
                             call.attempt->body);
        this->endAttempt(call, AttemptOutcome::Failed, now);
        return this->finish(call, status, now);
    }
    this->endAttempt(call, AttemptOutcome::Failed, now);
    if (!replace) {
        call.mayHaveRun = true;
        return this->refuse(call, Reason::BackendFailed, std::nullopt, now);
    }
    this->attemptLost(call, {Verdict::Ran, RetryReason::ServerFailed, false, true}, now);
}

void ForwardController::completeStream(ForwardCall &call, TimePoint now)
{
    this->beginAnswer(call);
    const std::string rest = call.attempt->splitter.rest();
    if (!rest.empty())
        this->passPart(call, rest);
    this->effects.endAnswer(call.id);
    this->finish(call, call.attempt->status, now);
}

void ForwardController::completeAnswer(ForwardCall &call, TimePoint now)
{
    const ForwardAttempt &attempt = *call.attempt;
    if (call.answerBegun)
        this->effects.endAnswer(call.id);
    else
        this->effects.answer(call.id, attempt.status, this->protocol.answerHeaders(attempt.headers),
                             attempt.body);
    this->finish(call, attempt.status, now);
}

void ForwardController::onAttemptFailed(ForwardAttemptId id, const HttpFailure &failure,
                                        TimePoint now)
{
    ForwardCall *call = this->callOf(id);
    if (call == nullptr)
        return;
    const bool unreached = failure.kind == HttpFailureKind::ConnectFailed;
    // The server closed an idle connection while the request was on its way.
    const bool stale = failure.keptConnection && failure.kind == HttpFailureKind::ConnectionLost;
    Verdict verdict = failure.verdict;
    if (call->attempt->status != 0 && call->attempt->facts.notRun)
        verdict = Verdict::NotRun;
    this->logAttempt(*call,
                     unreached ? "unreachable"
                     : stale   ? "stale_connection"
                               : "broken",
                     verdict, now);
    const ServerId server = call->attempt->server;
    const bool begunToRun = verdict != Verdict::NotRun && !stale;
    this->endAttempt(*call,
                     unreached ? AttemptOutcome::Unreachable
                     : stale   ? AttemptOutcome::Refused
                               : AttemptOutcome::Failed,
                     now);
    if (begunToRun)
        this->noteCrash(*call, server, now);
    if (stale)
        call->tried.erase(server);
    const RetryReason reason = unreached ? RetryReason::ConnectFailed : RetryReason::AnswerCut;
    this->attemptLost(*call, {verdict, reason, stale}, now);
}

void ForwardController::noteCrash(ForwardCall &call, const ServerId &server, TimePoint now)
{
    const CrashNotice notice = this->crashes.onServerDied(this->fingerprintOf(call), server, now);
    this->effects.tellCrash(notice);
}

void ForwardController::endAttempt(ForwardCall &call, AttemptOutcome evidence, TimePoint now)
{
    if (!call.attempt)
        return;
    const ForwardAttempt &attempt = *call.attempt;
    this->fleet.onAttemptOutcome(attempt.server, evidence, now);
    if (attempt.isPrompt) {
        this->prompts.onEnded({this->sender, attempt.id}, now);
        const bool unanswered =
                evidence == AttemptOutcome::Unreachable || evidence == AttemptOutcome::Silent;
        const PromptUpdateKind step =
                unanswered ? PromptUpdateKind::Unanswered : PromptUpdateKind::Ended;
        this->effects.tellPrompt({step, attempt.id, hash32(attempt.server), {}, {}, {}});
        this->releaseMemory(call);
    } else {
        this->services.onEnded(attempt.server);
    }
    this->attempts.erase(attempt.id);
    call.attempt.reset();
}

void ForwardController::dropAttempt(ForwardCall &call, TimePoint now)
{
    if (!call.attempt)
        return;
    // A cancelled request may still run unless its server said otherwise.
    call.mayHaveRun = true;
    this->effects.cancelAttempt(call.attempt->id);
    const ForwardAttempt attempt = *call.attempt;
    if (attempt.isPrompt) {
        this->prompts.onEnded({this->sender, attempt.id}, now);
        this->effects.tellPrompt({PromptUpdateKind::Ended, attempt.id, 0, {}, {}, {}});
        this->releaseMemory(call);
    } else {
        this->services.onEnded(attempt.server);
    }
    this->attempts.erase(attempt.id);
    call.attempt.reset();
}

} // namespace dotterel
