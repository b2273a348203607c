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
        this->expire(this->requests.at(this->timers.begin()->second), now);
}

std::optional<TimePoint> RequestController::nextTimer() const
{
    if (this->timers.empty())
        return std::nullopt;
    return this->timers.begin()->first;
}

void RequestController::expire(RequestEntry &entry, TimePoint now)
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
    const bool isSilent = !entry.attempt.empty() && entry.patience && !entry.blockedSince
                          && now >= entry.lastToken + *entry.patience;
    if (entry.phase == RequestPhase::Waiting)
        this->dispatch(entry, now);
    else if (isSilent)
        this->giveUpAttempt(entry, now);
    // Both calls can end the request.
    const auto found = this->requests.find(id);
    if (found != this->requests.end())
        this->arm(found->second, this->nextLook(found->second, now));
}

TimePoint RequestController::nextLook(const RequestEntry &entry, TimePoint now) const
{
    TimePoint next = entry.deadline;
    if (entry.blockedSince)
        next = std::min(next, *entry.blockedSince + this->limits.callerStallTimeout);
    else if (!entry.attempt.empty() && entry.patience)
        next = std::min(next, entry.lastToken + *entry.patience);
    if (entry.phase == RequestPhase::Waiting)
        next = std::min(next, now + SuspectPollInterval);
    return next;
}

void RequestController::arm(RequestEntry &entry, TimePoint time)
{
    this->timers.erase({entry.timer, entry.request.id});
    entry.timer = time;
    this->timers.emplace(time, entry.request.id);
}

std::optional<Duration> RequestController::firstPatience(const RequestEntry &entry,
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
    const Duration patience =
            this->limits.firstTokenSlack
            + fromSeconds(toSeconds(expected) * this->limits.firstTokenTimeoutFactor);
    // A timeout is useless if too little time is left for another attempt.
    if (remaining - patience < expected)
        return std::nullopt;
    return patience;
}

void RequestController::giveUpAttempt(RequestEntry &entry, TimePoint now)
{
    entry.patience.reset();
    if (!this->mayTryAgain(entry, now))
        return;
    entry.excluded.push_back(entry.server);
    const PlacementResult choice = this->placement.choose(entry.query(), now);
    const bool inTime = choice && now + choice->predictedFirstToken < entry.deadline;
    if (!inTime)
        return;
    if (!this->retryBudget.tryConsume(entry.work())) {
        this->metrics.count(Counter::RetriesWithheld, 1);
        return;
    }
    this->metrics.countRetry(entry.heard ? RetryReason::TokenTimeout
                                         : RetryReason::FirstTokenTimeout);
    this->log.write(Event::AttemptFailed, {{"attempt", entry.attempt},
                                           {"server", entry.server},
                                           {"reason", std::string("silent")}});
    // A server that still sends tokens to other requests is slow, not down.
    const auto lastTokenTime = this->lastHeard.find(entry.server);
    if (lastTokenTime == this->lastHeard.end() || lastTokenTime->second <= entry.lastToken)
        this->directory.markDown(entry.server, now);
    entry.verdict = Verdict::MayHaveRun;
    const AttemptId attempt = entry.attempt;
    this->endAttempt(entry, now);
    this->effects.cancelAttempt(attempt);
    this->start(entry, *choice, now);
}

} // namespace dotterel
