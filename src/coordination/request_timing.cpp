// Timers of RequestController: deadlines, silent attempts and stalled callers.
#include "coordination/request_controller.h"
#include "coordination/request_failures.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr Duration SuspectPollInterval = std::chrono::milliseconds(50);

} // namespace

void RequestController::onTimer(TimePoint now)
{
    while (!this->timers.empty() && this->timers.begin()->first <= now)
        this->handleTimer(this->requests.at(this->timers.begin()->second), now);
}

std::optional<TimePoint> RequestController::nextTimer() const
{
    if (this->timers.empty())
        return std::nullopt;
    return this->timers.begin()->first;
}

void RequestController::handleTimer(RequestEntry &entry, TimePoint now)
{
    if (now >= entry.deadline) {
        const bool running = !entry.attempt.empty();
        this->refuse(entry, deadlineFailure(running ? Verdict::MayHaveRun : entry.verdict), now);
        return;
    }
    if (entry.blockedSince && now >= *entry.blockedSince + this->limits.callerStallTimeout) {
        this->refuse(entry, stalledCallerFailure(), now);
        return;
    }
    const RequestId id = entry.request.id;
    const bool isSilent = !entry.attempt.empty() && entry.silenceTimeout && !entry.blockedSince
                          && now >= entry.lastActivity + *entry.silenceTimeout;
    if (entry.phase == RequestPhase::WaitingForServer)
        this->dispatch(entry, now);
    else if (isSilent)
        this->retrySilentAttempt(entry, now);
    // Both calls can end the request.
    const auto found = this->requests.find(id);
    if (found != this->requests.end())
        this->setTimer(found->second, this->nextTimerTime(found->second, now));
}

TimePoint RequestController::nextTimerTime(const RequestEntry &entry, TimePoint now) const
{
    TimePoint next = entry.deadline;
    if (entry.blockedSince)
        next = std::min(next, *entry.blockedSince + this->limits.callerStallTimeout);
    else if (!entry.attempt.empty() && entry.silenceTimeout)
        next = std::min(next, entry.lastActivity + *entry.silenceTimeout);
    if (entry.phase == RequestPhase::WaitingForServer)
        next = std::min(next, now + SuspectPollInterval);
    return next;
}

void RequestController::setTimer(RequestEntry &entry, TimePoint time)
{
    this->timers.erase({entry.timerDue, entry.request.id});
    entry.timerDue = time;
    this->timers.emplace(time, entry.request.id);
}

std::optional<Duration> RequestController::firstTokenTimeout(const RequestEntry &entry,
                                                             const PlacementChoice &choice,
                                                             TimePoint now) const
{
    if (!entry.idempotent)
        return std::nullopt;
    Duration expected = choice.predictedFirstToken;
    if (expected == Duration::zero() && entry.kind == PoolKind::Model)
        expected = fromSeconds(static_cast<double>(entry.request.promptTokens)
                               / static_cast<double>(this->limits.minPrefillTokensPerSecond));
    const Duration remaining = entry.deadline - now;
    if (entry.kind == PoolKind::Service)
        return std::max(this->limits.firstTokenSlack, remaining / 2);
    const Duration silenceTimeout =
            this->limits.firstTokenSlack
            + fromSeconds(toSeconds(expected) * this->limits.firstTokenTimeoutFactor);
    // A timeout is useless if too little time is left for another attempt.
    if (remaining - silenceTimeout < expected)
        return std::nullopt;
    return silenceTimeout;
}

void RequestController::retrySilentAttempt(RequestEntry &entry, TimePoint now)
{
    entry.silenceTimeout.reset();
    if (!this->canRetry(entry, now))
        return;
    entry.excluded.push_back(entry.server);
    const PlacementResult choice = this->placement.choose(entry.query(), now);
    const bool inTime = choice && now + choice->predictedFirstToken < entry.deadline;
    if (!inTime)
        return;
    if (!this->retryBudget.tryConsume(entry.retryCost())) {
        this->metrics.count(Counter::RetriesWithheld, 1);
        return;
    }
    this->metrics.countRetry(entry.receivedToken ? RetryReason::TokenTimeout
                                                 : RetryReason::FirstTokenTimeout);
    this->log.write(Event::AttemptFailed, {{"attempt", entry.attempt},
                                           {"server", entry.server},
                                           {"reason", std::string("silent")}});
    // A server that still sends tokens to other requests is slow, not down.
    const auto lastTokenTime = this->lastTokenTimes.find(entry.server);
    if (lastTokenTime == this->lastTokenTimes.end() || lastTokenTime->second <= entry.lastActivity)
        this->directory.markDown(entry.server, now);
    entry.verdict = Verdict::MayHaveRun;
    const AttemptId attempt = entry.attempt;
    this->endAttempt(entry, now);
    this->effects.cancelAttempt(attempt);
    this->startAttempt(entry, *choice, now);
}

} // namespace dotterel
