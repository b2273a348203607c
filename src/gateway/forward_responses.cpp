#include "gateway/forward_controller.h"

#include "core/hashing.h"
#include "gateway/response_status.h"
#include "gateway/stream_end.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Reading the server's response pauses while more than this is queued for the caller.
constexpr std::size_t MaxQueuedBytes = 256UL * 1024;
/// A response that goes on this long after its first event shows that beginning it did no harm.
constexpr Duration SoundResponseTime = std::chrono::milliseconds(500);

/// Returns true if \a event consists of comments, which say nothing about the progress of a stream.
bool consistsOfComments(std::string_view event)
{
    bool startsLine = true;
    for (const char byte : event) {
        const bool endsLine = byte == '\n' || byte == '\r';
        if (startsLine && !endsLine && byte != ':')
            return false;
        startsLine = endsLine;
    }
    return true;
}

} // namespace

void ForwardController::onAttemptHead(ForwardAttemptId id, int status, const HttpHeaders &headers,
                                      TimePoint now)
{
    ForwardCall *call = this->findCall(id);
    if (call == nullptr)
        return;
    ForwardAttempt &attempt = *call->attempt;
    attempt.status = status;
    attempt.headers = headers;
    attempt.lastDataAt = now;
    attempt.metadata = this->protocol.parseResponseHead(status, headers);
    if (attempt.isRelayed()) {
        // What a server says of itself is for the host that asked it.
        attempt.relayRefusal = parseRelayRefusal(headers);
        call->mayHaveRun = call->mayHaveRun || !attempt.relayRefusal
                           || attempt.relayRefusal->verdict != Verdict::NotRun;
        return;
    }
    this->reach.onContact(call->pool, attempt.server, now);
    this->recordAnnouncements(attempt.server, attempt.metadata, attempt.sentAt, now);
    if (attempt.metadata.load && !attempt.metadata.isWrongServer)
        this->servicePlacement.onLoadReported(attempt.server, *attempt.metadata.load, now);
    if (!attempt.metadata.notRun && !attempt.metadata.isWrongServer)
        call->mayHaveRun = true;
}

void ForwardController::onServerHeaders(const ServerId &server, int status,
                                        const HttpHeaders &headers, TimePoint sentAt, TimePoint now)
{
    this->recordAnnouncements(server, this->protocol.parseResponseHead(status, headers), sentAt,
                              now);
}

void ForwardController::recordAnnouncements(const ServerId &server,
                                            const ResponseMetadata &metadata, TimePoint sentAt,
                                            TimePoint now)
{
    // A server that has taken over the address speaks for itself only.
    const GatewayServer *known = metadata.isWrongServer ? nullptr : this->fleet.find(server);
    if (known == nullptr)
        return;
    if (metadata.serverLeaving && this->fleet.onLeavingAnnounced(server, now))
        this->effects.publishServerLeaving({hash32(server), known->incarnation});
    if (metadata.hasInvalidLimit) {
        this->metrics.count(Counter::ServerLimitsInvalid, 1);
        this->log.write(Event::ServerLimitInvalid, {{"server", server}});
    } else if (this->fleet.limits().onAnswer(server, known->incarnation, metadata.requestLimit,
                                             sentAt, now)) {
        this->metrics.count(Counter::ServerLimitChanges, 1);
        this->publishLimit(server);
    }
    if (metadata.warmUpLeft
        && this->fleet.onWarmUpAnswer(server, *metadata.warmUpLeft, sentAt, now))
        this->publishWarmUp(server, now);
    if (!metadata.requestedPause)
        return;
    this->metrics.count(Counter::ServerPauses, 1);
    this->fleet.onPauseRequested(server, *metadata.requestedPause, now);
}

void ForwardController::onAttemptData(ForwardAttemptId id, std::string_view bytes, TimePoint now)
{
    ForwardCall *call = this->findCall(id);
    if (call == nullptr)
        return;
    ForwardAttempt &attempt = *call->attempt;
    attempt.lastDataAt = now;
    attempt.bodyBytes += bytes.size();
    if (!attempt.isRelayed()) {
        if (!attempt.metadata.isWrongServer)
            this->fleet.onSignOfLife(attempt.server, now);
        this->reach.onContact(call->pool, attempt.server, now);
    }
    if (this->passesOnEvents(*call))
        this->forwardEvents(*call, bytes, now);
    else if (call->responseStarted && !call->lastEventId)
        return this->forwardData(*call, bytes);
    else if (!attempt.isDiscarded())
        attempt.unforwardedBody.append(bytes);
    this->countHeldBytes(attempt);
    this->enforceResponseLimits(*call, now);
}

bool ForwardController::passesOnEvents(const ForwardCall &call)
{
    return call.route->kind == RouteKind::Stream && isSuccess(call.attempt->status)
           && call.attempt->hasGenuineBody();
}

bool ForwardController::mayPassOnUnfinished(const ForwardCall &call)
{
    const ForwardAttempt &attempt = *call.attempt;
    return !call.responseStarted && !attempt.isDiscarded() && !passesOnEvents(call)
           && !isServerError(attempt.status);
}

void ForwardController::beginResponse(ForwardCall &call)
{
    if (call.responseStarted)
        return;
    call.responseStarted = true;
    this->effects.startResponse(call.id, call.attempt->status,
                                this->protocol.forwardedResponseHeaders(call.attempt->headers),
                                std::nullopt);
}

void ForwardController::forwardData(ForwardCall &call, std::string_view bytes)
{
    const std::size_t queued = this->effects.sendResponseData(call.id, bytes);
    if (queued > MaxQueuedBytes && !call.readingPaused) {
        call.readingPaused = true;
        this->effects.pauseAttempt(call.attempt->id, true);
    }
}

void ForwardController::forwardEvents(ForwardCall &call, std::string_view bytes, TimePoint now)
{
    ForwardAttempt &attempt = *call.attempt;
    if (attempt.firstEventReceived && !attempt.isRelayed()
        && now - attempt.firstEventAt >= SoundResponseTime)
        this->recordSoundParts(call, now);
    for (const StreamEvent &event : attempt.splitter.feed(bytes)) {
        const bool isComment = consistsOfComments(event.bytes);
        if (!isComment)
            attempt.lastEventAt = now;
        if (!attempt.firstEventReceived) {
            attempt.firstEventReceived = true;
            attempt.firstEventAt = now;
            attempt.lastEventAt = now;
            if (attempt.isPrompt) {
                this->promptPlacement.onFirstEvent({this->senderHash, attempt.id}, now);
                this->metrics.observeFirstTokenDelay(lengthBand(call.metadata.promptTokens),
                                                     now - attempt.sentAt
                                                             - attempt.predictedLatency);
                this->fleet.onPromptFirstEvent({this->senderHash, attempt.id}, now);
                this->effects.publishPromptUpdate({PromptUpdateKind::FirstEvent,
                                                   attempt.id,
                                                   hash32(attempt.server),
                                                   {},
                                                   {},
                                                   {}});
            }
        }
        // A resumed stream starts after the last forwarded event. If the server starts again from
        // the beginning instead, the events that were forwarded already are dropped.
        if (event.id && call.lastEventId && *event.id <= *call.lastEventId) {
            attempt.lastRepeatedEventId = event.id;
            continue;
        }
        attempt.sentNewEvent = attempt.sentNewEvent || !isComment;
        if (event.id)
            call.lastEventId = event.id;
        if (call.timeToFirstEvent == Duration::zero()) {
            call.timeToFirstEvent = now - call.arrivedAt;
            this->metrics.observeFirstToken(lengthBand(call.metadata.promptTokens),
                                            call.timeToFirstEvent);
        } else {
            call.longestEventGap = std::max(call.longestEventGap, now - call.lastEventAt);
        }
        call.lastEventAt = now;
        this->beginResponse(call);
        this->forwardData(call, event.bytes);
    }
}

void ForwardController::onAttemptComplete(ForwardAttemptId id, TimePoint now)
{
    ForwardCall *call = this->findCall(id);
    if (call == nullptr)
        return;
    const ForwardAttempt &attempt = *call->attempt;
    if (attempt.isRelayed())
        return this->onRelayComplete(*call, now);
    if (attempt.metadata.isWrongServer || attempt.metadata.notRun) {
        this->avoidRefusingHelpers(*call);
        this->logFailedAttempt(*call, "refused", Verdict::NotRun, now);
        this->endAttempt(*call,
                         attempt.metadata.isWrongServer ? AttemptOutcome::Leaving
                                                        : AttemptOutcome::Refused,
                         now);
        return this->retryOrRefuse(*call, {Verdict::NotRun, RetryReason::Refused}, now);
    }
    const bool invalidResponse =
            attempt.exceededLimit || (isSuccess(attempt.status) && !attempt.hasGenuineBody());
    // A caller that has received events of a stream can only be given the rest of it.
    const bool continuesResponse = !call->responseStarted || isSuccess(attempt.status);
    if (invalidResponse || isServerError(attempt.status) || impliesNotRun(attempt.status)
        || !continuesResponse)
        return this->retryOrForward(*call, invalidResponse, now);
    if (isSuccess(attempt.status) && call->route->kind == RouteKind::Stream)
        return this->completeStream(*call, now);
    this->completeResponse(*call, now);
}

void ForwardController::avoidRefusingHelpers(ForwardCall &call)
{
    const ForwardAttempt &attempt = *call.attempt;
    const std::string &faulty = attempt.metadata.faultyServer;
    bool named = faulty == attempt.server;
    for (const PrefillHelper &helper : attempt.helpers) {
        const GatewayServer *server = this->fleet.find(helper.server);
        const bool isFaulty =
                faulty == helper.server || (server != nullptr && faulty == server->endpoint.text());
        if (isFaulty)
            call.triedServers.insert(helper.server);
        named = named || isFaulty;
    }
    if (named)
        return;
    for (const PrefillHelper &helper : attempt.helpers)
        call.triedServers.insert(helper.server);
}

void ForwardController::retryOrForward(ForwardCall &call, bool invalidResponse, TimePoint now)
{
    const int status = call.attempt->status;
    this->logFailedAttempt(call, invalidResponse ? "spoiled" : "failed", Verdict::Ran, now);
    // An error status of the server is a valid response; it is replaced only if a retry is allowed.
    const bool allowed = this->mayRetry(call, Verdict::Ran, now);
    const bool charged = allowed && this->tryConsumeRetry(call, now);
    const bool forwardable = !invalidResponse && !impliesNotRun(status) && !call.responseStarted;
    if (!charged && forwardable) {
        this->effects.sendResponse(call.id, status,
                                   this->protocol.forwardedResponseHeaders(call.attempt->headers),
                                   call.attempt->unforwardedBody);
        this->endAttempt(call, AttemptOutcome::Failed, now);
        return this->finish(call, status, now);
    }
    this->endAttempt(call, AttemptOutcome::Failed, now);
    if (!allowed) {
        call.mayHaveRun = true;
        return this->refuse(call, Reason::BackendFailed, std::nullopt, now);
    }
    this->retryOrRefuse(call, {Verdict::Ran, RetryReason::ServerFailed, false, charged}, now);
}

void ForwardController::completeStream(ForwardCall &call, TimePoint now)
{
    const ForwardAttempt &attempt = *call.attempt;
    StreamProgress progress;
    progress.framing = bodyFraming(attempt.status, attempt.headers);
    progress.insideEvent = attempt.splitter.isInsideEvent();
    progress.hasNewEvents = attempt.sentNewEvent;
    progress.endsBeforeResume =
            attempt.lastRepeatedEventId && attempt.lastRepeatedEventId < call.lastEventId;
    progress.continuesResponse = call.responseStarted;
    const StreamEnd end = judgeStreamEnd(progress);
    if (end != StreamEnd::Complete) {
        this->metrics.count(Counter::StreamsTorn, 1);
        return this->onResponseBroken(call, streamEndName(end), Verdict::MayHaveRun, now);
    }
    this->beginResponse(call);
    // Blank lines after the last event.
    const std::string remainder = attempt.splitter.remainder();
    if (!remainder.empty())
        this->forwardData(call, remainder);
    this->effects.endResponse(call.id);
    this->finish(call, call.attempt->status, now);
}

void ForwardController::completeResponse(ForwardCall &call, TimePoint now)
{
    const ForwardAttempt &attempt = *call.attempt;
    if (call.responseStarted)
        this->effects.endResponse(call.id);
    else
        this->effects.sendResponse(call.id, attempt.status,
                                   this->protocol.forwardedResponseHeaders(attempt.headers),
                                   attempt.unforwardedBody);
    this->finish(call, attempt.status, now);
}

} // namespace dotterel
