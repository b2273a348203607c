#include "gateway/forward_controller.h"

#include "gateway/response_status.h"
#include "transport/body_framing.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Retry delay sent to callers if there is no usable server or no configuration yet.
constexpr Duration NoServerRetryAfter = std::chrono::milliseconds(500);
/// Callers of a host that exits may try another one at once.
constexpr Duration ShutdownRetryAfter = Duration::zero();

constexpr int StatusUnavailable = 503;
constexpr int StatusBadGateway = 502;
constexpr int StatusGatewayTimeout = 504;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Returns the HTTP status of a refusal. 503 guarantees that the request has not run and will not
/// run, so it is used only if no attempt may have run.
int refusalStatus(const ReasonInfo &info, bool mayHaveRun)
{
    if (info.reason == Reason::UnknownRoute || info.reason == Reason::UnknownKey)
        return info.httpStatus;
    if (info.reason == Reason::DeadlineExceeded)
        return mayHaveRun ? StatusGatewayTimeout : StatusUnavailable;
    return mayHaveRun ? StatusBadGateway : StatusUnavailable;
}

/// Returns the name of the framing of a response; empty before its head.
std::string framingName(const ForwardAttempt &attempt)
{
    if (attempt.status == 0)
        return {};
    return std::string(bodyFramingName(bodyFraming(attempt.status, attempt.headers)));
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ",") + name;
    return text;
}

std::int64_t lastEventNumber(const ForwardCall &call)
{
    return call.lastEventId ? static_cast<std::int64_t>(*call.lastEventId) : -1;
}

} // namespace

ForwardController::ForwardController(const GatewayProtocol &protocol, ServerFleet &fleet,
                                     PromptPlacement &promptPlacement,
                                     ServicePlacement &servicePlacement, RetryBudget &retryBudget,
                                     CrashGuard &crashGuard, PromptPartGuard &partGuard,
                                     ServiceReach &reach, RelayPeers &relayPeers,
                                     ForwardEffects &effects, RandomSource &random, HostId hostName,
                                     std::uint32_t senderHash, Metrics &metrics, EventLog &log)
    : protocol(protocol)
    , fleet(fleet)
    , promptPlacement(promptPlacement)
    , promptHold(PromptHoldSettings{})
    , servicePlacement(servicePlacement)
    , retryBudget(retryBudget)
    , retryLending(retryBudget, senderHash, random)
    , crashGuard(crashGuard)
    , partGuard(partGuard)
    , reach(reach)
    , relayPeers(relayPeers)
    , effects(effects)
    , random(random)
    , hostName(std::move(hostName))
    , senderHash(senderHash)
    , metrics(metrics)
    , log(log)
    , doubtfulEnds(DoubtfulEndLimits{})
    , memoryReleases(MemoryReleaseTimings{})
{}

void ForwardController::onRequest(HttpCallId id, HttpMessageHead &&head,
                                  std::shared_ptr<const std::string> body, TimePoint now)
{
    if (now >= this->nextSettling)
        this->settleDoubtfulEnds(now);
    ForwardCall &call = this->calls[id];
    call.id = id;
    call.head = std::move(head);
    call.body = std::move(body);
    call.arrivedAt = now;
    call.fairnessDraw = this->random.nextDouble();
    call.metadata = this->protocol.parseRequestHeaders(call.head.headers);
    if (!this->admit(call, now))
        return;
    this->metrics.count(Counter::RequestsAdmitted, 1);
    const Duration callerTimeout = call.metadata.callerTimeout.value_or(call.route->timeout);
    call.deadline = this->deadlineAfter(std::min(callerTimeout, call.route->timeout), now);
    this->dispatch(call, now);
}

TimePoint ForwardController::deadlineAfter(Duration timeLeft, TimePoint now) const
{
    return this->exitAt ? std::min(now + timeLeft, *this->exitAt) : now + timeLeft;
}

bool ForwardController::admit(ForwardCall &call, TimePoint now)
{
    if (!this->admitting) {
        this->refuse(call, Reason::ShuttingDown, ShutdownRetryAfter, now);
        return false;
    }
    if (!this->routeTable || !this->routeTable->configuration()) {
        this->refuse(call, Reason::NoConfiguration, NoServerRetryAfter, now);
        return false;
    }
    call.configuration = this->routeTable->configuration();
    call.route = this->routeTable->findRoute(call.metadata.hostName, call.head.target);
    if (call.route == nullptr) {
        this->refuse(call, Reason::UnknownRoute, std::nullopt, now, call.head.target);
        return false;
    }
    call.priority = call.route->priority;
    if (!call.configuration->requiresApiKeys || call.route->allowsAnonymous)
        return true;
    const GatewayWorkspace *workspace = this->routeTable->findWorkspace(call.metadata.apiKey);
    if (workspace == nullptr) {
        this->refuse(call, Reason::UnknownKey, std::nullopt, now, call.route->name);
        return false;
    }
    call.workspace = workspace->name;
    call.priority = workspace->priority.value_or(call.route->priority);
    return true;
}

void ForwardController::onCallerDisconnected(HttpCallId id, TimePoint now)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    ForwardCall &call = found->second;
    this->log.write(Event::CallerLeft,
                    {{"request", call.metadata.requestId},
                     {"waited_ms", toMs(now - call.arrivedAt)},
                     {"had_server", call.attempt ? call.attempt->server : ServerId()}});
    this->abandonAttempt(call, now);
    this->removeCall(call, now);
}

void ForwardController::onCallerDrained(HttpCallId id, TimePoint now)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || !found->second.readingPaused || !found->second.attempt)
        return;
    ForwardCall &call = found->second;
    call.readingPaused = false;
    // Nothing was read during the pause, so the server cannot be blamed for it.
    call.attempt->lastDataAt = now;
    call.attempt->lastEventAt = now;
    this->effects.pauseAttempt(call.attempt->id, false);
    this->scheduleTimer(call, now);
}

void ForwardController::onTimer(TimePoint now)
{
    if (!this->timers.empty() && now - this->timers.begin()->first > MaxTimerDelay)
        this->resumedAt = now;
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        const HttpCallId id = this->timers.begin()->second;
        this->timers.erase(this->timers.begin());
        const auto found = this->calls.find(id);
        if (found == this->calls.end())
            continue;
        ForwardCall &call = found->second;
        if (now >= call.deadline) {
            this->abandonAttempt(call, now);
            this->refuse(call, Reason::DeadlineExceeded, std::nullopt, now);
            continue;
        }
        if (!call.reservations.empty() && now >= call.reservationsDue
            && !this->onReservationsDue(call, now))
            continue;
        if (call.heldUntil && now >= *call.heldUntil) {
            call.heldUntil.reset();
            if (call.awaitedRetry)
                this->tryAwaitedRetry(call, now);
            else
                this->dispatch(call, now);
            continue;
        }
        // An inactive server may still respond, so its attempt is cancelled only if a retry is
        // allowed.
        if (!call.awaitedRetry && this->isReplaceable(call, now)) {
            if (this->tryConsumeRetry(call, now)) {
                this->replaceSilentAttempt(call, now);
                continue;
            }
            if (this->awaitRetry(call, RetryReason::FirstTokenTimeout, now))
                continue;
        }
        this->scheduleTimer(call, now);
    }
    this->sendDueReleases(now);
}

void ForwardController::beginDrain(TimePoint newExitAt)
{
    this->exitAt = newExitAt;
    for (auto &[id, call] : this->calls) {
        if (!call.attempt && !call.mayHaveRun)
            call.deadline = std::min(call.deadline, newExitAt);
    }
}

void ForwardController::endAll(TimePoint now)
{
    while (!this->calls.empty()) {
        ForwardCall &call = this->calls.begin()->second;
        this->abandonAttempt(call, now);
        this->refuse(call, Reason::DeadlineExceeded, NoServerRetryAfter, now, "shutdown");
    }
}

std::optional<TimePoint> ForwardController::nextTimer() const
{
    const std::optional<TimePoint> releaseDue = this->memoryReleases.nextDue();
    if (this->timers.empty())
        return releaseDue;
    const TimePoint callDue = this->timers.begin()->first;
    return releaseDue ? std::min(callDue, *releaseDue) : callDue;
}

void ForwardController::scheduleTimer(const ForwardCall &call, TimePoint now)
{
    TimePoint due = call.deadline;
    if (call.heldUntil)
        due = std::min(due, *call.heldUntil);
    if (!call.reservations.empty())
        due = std::min(due, call.reservationsDue);
    // An inactivity limit that has passed without a retry being allowed is not scheduled again: the
    // timer would be due at once and fire in a loop.
    if (call.attempt && this->inactivityDeadline(call) > now)
        due = std::min(due, this->inactivityDeadline(call));
    this->timers.emplace(due, call.id);
}

void ForwardController::refuse(ForwardCall &call, Reason reason, std::optional<Duration> retryAfter,
                               TimePoint now, const std::string &detail)
{
    const ReasonInfo &info = reasonInfo(reason);
    const int status = refusalStatus(info, call.mayHaveRun);
    this->metrics.countRefusal(reason);
    this->metrics.observe(LatencySpan::Refusal, now - call.arrivedAt);
    const Verdict verdict = call.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
    this->log.write(
            Event::RequestRefused,
            {{"request", call.metadata.requestId},
             {"route", call.route != nullptr ? call.route->name : std::string()},
             {"reason", std::string(info.name)},
             {"status", status},
             {"verdict", std::string(verdictName(verdict))},
             {"attempts", static_cast<std::int64_t>(call.attemptsSent)},
             {"answer_begun", call.responseStarted},
             {"waited_ms", toMs(now - call.arrivedAt)},
             {"retry_after_ms", retryAfter ? toMs(*retryAfter) : -1},
             {"configuration",
              call.configuration ? static_cast<std::int64_t>(call.configuration->version) : 0},
             {"detail", detail}});
    if (call.responseStarted)
        this->effects.abortResponse(call.id);
    else
        this->sendRefusal(call, status, reason, call.mayHaveRun ? std::nullopt : retryAfter);
    this->removeCall(call, now);
}

void ForwardController::sendRefusal(const ForwardCall &call, int status, Reason reason,
                                    std::optional<Duration> retryAfter)
{
    HttpHeaders headers = this->protocol.refusalHeaders(call.metadata, retryAfter);
    if (call.relay)
        addRelayRefusal(headers, {call.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun, reason,
                                  retryAfter});
    this->effects.sendResponse(call.id, status, headers, "");
}

void ForwardController::finish(ForwardCall &call, int status, TimePoint now)
{
    this->metrics.count(Counter::RequestsFinished, 1);
    this->metrics.observe(LatencySpan::Answer, now - call.arrivedAt);
    if (call.timeToFirstEvent > Duration::zero())
        this->metrics.observe(LatencySpan::LongestPause, call.longestEventGap);
    const ForwardAttempt noAttempt;
    const ForwardAttempt &attempt = call.attempt ? *call.attempt : noAttempt;
    this->log.write(Event::RequestFinished,
                    {{"request", call.metadata.requestId},
                     {"route", call.route->name},
                     {"status", status},
                     {"server", attempt.server},
                     {"through", attempt.relayHost},
                     {"attempts", static_cast<std::int64_t>(call.attemptsSent)},
                     {"framing", framingName(attempt)},
                     {"body_bytes", static_cast<std::int64_t>(attempt.bodyBytes)},
                     {"events_passed", lastEventNumber(call)},
                     {"prompt_tokens", static_cast<std::int64_t>(call.metadata.promptTokens)},
                     {"predicted_ms", toMs(attempt.predictedLatency)},
                     {"first_event_ms", toMs(call.timeToFirstEvent)},
                     {"longest_pause_ms", toMs(call.longestEventGap)},
                     {"took_ms", toMs(now - call.arrivedAt)}});
    if (isSuccess(status) && call.attempt && !call.attempt->isRelayed())
        this->recordSuccess(call, now);
    this->endAttempt(call, AttemptOutcome::Answered, now);
    this->removeCall(call, now);
}

void ForwardController::removeCall(ForwardCall &call, TimePoint now)
{
    if (call.attempt) {
        this->callsByAttempt.erase(call.attempt->id);
        this->totalHeldBytes -= call.attempt->heldBytes;
    }
    this->endRetryWait(call);
    this->releaseReservations(call, now);
    this->calls.erase(call.id);
}

ForwardCall *ForwardController::findCall(ForwardAttemptId attempt)
{
    const auto found = this->callsByAttempt.find(attempt);
    if (found == this->callsByAttempt.end())
        return nullptr;
    const auto call = this->calls.find(found->second);
    return call == this->calls.end() ? nullptr : &call->second;
}

void ForwardController::logFailedAttempt(const ForwardCall &call, std::string_view outcome,
                                         Verdict verdict, TimePoint now)
{
    const ForwardAttempt &attempt = *call.attempt;
    this->log.write(Event::AttemptFailed,
                    {{"request", call.metadata.requestId},
                     {"server", attempt.server},
                     {"through", attempt.relayHost},
                     {"outcome", std::string(outcome)},
                     {"status", attempt.status},
                     {"verdict", std::string(verdictName(verdict))},
                     {"predicted_ms", toMs(attempt.predictedLatency)},
                     {"took_ms", toMs(now - attempt.sentAt)},
                     {"reused", attempt.reusedConnection},
                     {"shared_parts", joined(call.metadata.sharedPromptParts)},
                     {"faulty_server", attempt.metadata.faultyServer},
                     {"framing", framingName(attempt)},
                     {"body_bytes", static_cast<std::int64_t>(attempt.bodyBytes)},
                     {"torn_bytes", static_cast<std::int64_t>(attempt.splitter.remainder().size())},
                     {"events_passed", lastEventNumber(call)}});
}

} // namespace dotterel
