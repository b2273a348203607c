#include "gateway/forward_controller.h"

#include <algorithm>

namespace dotterel {

namespace {

/// A caller that finds no server, or a host without configuration, asks again after this.
constexpr Duration NoServerRetryAfter = std::chrono::milliseconds(500);

constexpr int StatusUnavailable = 503;
constexpr int StatusBadGateway = 502;
constexpr int StatusGatewayTimeout = 504;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Returns the status of a refusal. 503 promises that the request has not run and never will.
int refusalStatus(const ReasonInfo &info, bool mayHaveRun)
{
    if (info.reason == Reason::UnknownRoute || info.reason == Reason::UnknownKey)
        return info.httpStatus;
    if (info.reason == Reason::DeadlineExceeded)
        return mayHaveRun ? StatusGatewayTimeout : StatusUnavailable;
    return mayHaveRun ? StatusBadGateway : StatusUnavailable;
}

} // namespace

ForwardController::ForwardController(const GatewayProtocol &protocol, ServerFleet &fleet,
                                     PromptPlacement &prompts, ServicePlacement &services,
                                     RetryAllowance &retries, CrashGuard &crashes,
                                     ForwardEffects &effects, RandomSource &random,
                                     std::uint32_t sender, Metrics &metrics, EventLog &log)
    : protocol(protocol)
    , fleet(fleet)
    , prompts(prompts)
    , services(services)
    , retries(retries)
    , crashes(crashes)
    , effects(effects)
    , random(random)
    , sender(sender)
    , metrics(metrics)
    , log(log)
{}

void ForwardController::onRequest(HttpCallId id, HttpHead &&head,
                                  std::shared_ptr<const std::string> body, TimePoint now)
{
    ForwardCall &call = this->calls[id];
    call.id = id;
    call.head = std::move(head);
    call.body = std::move(body);
    call.arrived = now;
    call.facts = this->protocol.readCaller(call.head.headers);
    if (!this->admit(call, now))
        return;
    this->metrics.count(Counter::RequestsAdmitted, 1);
    const Duration patience = call.facts.patience.value_or(call.route->timeout);
    call.deadline = now + std::min(patience, call.route->timeout);
    this->dispatch(call, now);
}

bool ForwardController::admit(ForwardCall &call, TimePoint now)
{
    if (!this->routes || !this->routes->configuration()) {
        this->refuse(call, Reason::NoConfiguration, NoServerRetryAfter, now);
        return false;
    }
    call.configuration = this->routes->configuration();
    call.route = this->routes->find(call.facts.host, call.head.target);
    if (call.route == nullptr) {
        this->refuse(call, Reason::UnknownRoute, std::nullopt, now, call.head.target);
        return false;
    }
    if (!call.configuration->needsKeys || call.route->isOpen)
        return true;
    const GatewayWorkspace *workspace = this->routes->workspace(call.facts.key);
    if (workspace == nullptr) {
        this->refuse(call, Reason::UnknownKey, std::nullopt, now, call.route->name);
        return false;
    }
    call.workspace = workspace->name;
    return true;
}

void ForwardController::onCallerGone(HttpCallId id, TimePoint now)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    ForwardCall &call = found->second;
    this->log.write(Event::CallerLeft,
                    {{"request", call.facts.requestId},
                     {"waited_ms", toMs(now - call.arrived)},
                     {"had_server", call.attempt ? call.attempt->server : ServerId()}});
    this->dropAttempt(call, now);
    this->forget(call);
}

void ForwardController::onCallerDrained(HttpCallId id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || !found->second.paused || !found->second.attempt)
        return;
    found->second.paused = false;
    this->effects.pauseAttempt(found->second.attempt->id, false);
}

void ForwardController::onTimer(TimePoint now)
{
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        const HttpCallId id = this->timers.begin()->second;
        this->timers.erase(this->timers.begin());
        const auto found = this->calls.find(id);
        if (found == this->calls.end())
            continue;
        ForwardCall &call = found->second;
        if (now >= call.deadline) {
            this->dropAttempt(call, now);
            this->refuse(call, Reason::DeadlineExceeded, std::nullopt, now);
            continue;
        }
        if (!call.tickets.empty() && now >= call.ticketsDue && !this->onTicketsDue(call, now))
            continue;
        // A silent server may still answer: its attempt ends only if another one may follow.
        if (call.attempt && now >= this->attemptLimit(call)
            && this->mayRepeat(call, Verdict::MayHaveRun, now)
            && this->retries.withdraw(call.pool, now)) {
            this->logAttempt(call, "silent", Verdict::MayHaveRun, now);
            this->effects.cancelAttempt(call.attempt->id);
            const bool silent = call.attempt->status == 0;
            this->endAttempt(call, silent ? AttemptOutcome::Silent : AttemptOutcome::Failed, now);
            this->attemptLost(
                    call, {Verdict::MayHaveRun, RetryReason::FirstTokenTimeout, false, true}, now);
            continue;
        }
        this->schedule(call, now);
    }
}

std::optional<TimePoint> ForwardController::nextTimer() const
{
    if (this->timers.empty())
        return std::nullopt;
    return this->timers.begin()->first;
}

void ForwardController::schedule(const ForwardCall &call, TimePoint now)
{
    TimePoint due = call.deadline;
    if (!call.tickets.empty())
        due = std::min(due, call.ticketsDue);
    // A limit that has passed without a further attempt does not count any more.
    if (call.attempt && this->attemptLimit(call) > now)
        due = std::min(due, this->attemptLimit(call));
    this->timers.emplace(due, call.id);
}

void ForwardController::refuse(ForwardCall &call, Reason reason, std::optional<Duration> retryAfter,
                               TimePoint now, const std::string &detail)
{
    const ReasonInfo &info = reasonInfo(reason);
    const int status = refusalStatus(info, call.mayHaveRun);
    this->metrics.countRefusal(reason);
    this->metrics.observe(LatencySpan::Refusal, now - call.arrived);
    const Verdict verdict = call.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
    this->log.write(
            Event::RequestRefused,
            {{"request", call.facts.requestId},
             {"route", call.route != nullptr ? call.route->name : std::string()},
             {"reason", std::string(info.name)},
             {"status", status},
             {"verdict", std::string(verdictName(verdict))},
             {"attempts", static_cast<std::int64_t>(call.sends)},
             {"answer_begun", call.answerBegun},
             {"waited_ms", toMs(now - call.arrived)},
             {"retry_after_ms", retryAfter ? toMs(*retryAfter) : -1},
             {"configuration",
              call.configuration ? static_cast<std::int64_t>(call.configuration->version) : 0},
             {"detail", detail}});
    if (call.answerBegun)
        this->effects.abortAnswer(call.id);
    else
        this->effects.answer(call.id, status,
                             this->protocol.refusalHeaders(
                                     call.facts, call.mayHaveRun ? std::nullopt : retryAfter),
                             "");
    this->forget(call);
}

void ForwardController::finish(ForwardCall &call, int status, TimePoint now)
{
    this->metrics.count(Counter::RequestsFinished, 1);
    this->metrics.observe(LatencySpan::Answer, now - call.arrived);
    if (call.firstEvent > Duration::zero())
        this->metrics.observe(LatencySpan::LongestPause, call.longestPause);
    this->log.write(Event::RequestFinished,
                    {{"request", call.facts.requestId},
                     {"route", call.route->name},
                     {"status", status},
                     {"server", call.attempt ? call.attempt->server : ServerId()},
                     {"attempts", static_cast<std::int64_t>(call.sends)},
                     {"prompt_tokens", static_cast<std::int64_t>(call.facts.promptTokens)},
                     {"predicted_ms", call.attempt ? toMs(call.attempt->predicted) : 0},
                     {"first_event_ms", toMs(call.firstEvent)},
                     {"longest_pause_ms", toMs(call.longestPause)},
                     {"took_ms", toMs(now - call.arrived)}});
    if (!this->crashes.empty()) {
        const std::string &fingerprint = this->fingerprintOf(call);
        if (this->crashes.crashes(fingerprint, now) > 0)
            this->effects.tellCrash(this->crashes.onFinished(fingerprint, now));
    }
    this->endAttempt(call, AttemptOutcome::Answered, now);
    this->forget(call);
}

void ForwardController::forget(ForwardCall &call)
{
    if (call.attempt)
        this->attempts.erase(call.attempt->id);
    this->releaseMemory(call);
    this->calls.erase(call.id);
}

const std::string &ForwardController::fingerprintOf(ForwardCall &call)
{
    if (call.fingerprint.empty()) {
        std::string content = call.head.target;
        content += '\n';
        if (call.body)
            content += *call.body;
        call.fingerprint = CrashGuard::fingerprint(call.workspace, content);
    }
    return call.fingerprint;
}

ForwardCall *ForwardController::callOf(ForwardAttemptId attempt)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end())
        return nullptr;
    const auto call = this->calls.find(found->second);
    return call == this->calls.end() ? nullptr : &call->second;
}

void ForwardController::logAttempt(const ForwardCall &call, const char *outcome, Verdict verdict,
                                   TimePoint now)
{
    const ForwardAttempt &attempt = *call.attempt;
    this->log.write(
            Event::AttemptFailed,
            {{"request", call.facts.requestId},
             {"server", attempt.server},
             {"outcome", std::string(outcome)},
             {"status", attempt.status},
             {"verdict", std::string(verdictName(verdict))},
             {"predicted_ms", toMs(attempt.predicted)},
             {"took_ms", toMs(now - attempt.sent)},
             {"events_passed", call.lastEvent ? static_cast<std::int64_t>(*call.lastEvent) : -1}});
}

} // namespace dotterel
