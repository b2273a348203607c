// The part of ForwardController that spends the retry budget of the fleet.

#include "core/hashing.h"
#include "gateway/forward_controller.h"

namespace dotterel {

bool ForwardController::tryConsumeRetry(ForwardCall &call, TimePoint now)
{
    return this->retryLending.tryConsume(call.pool, call.id, call.demand.value, now);
}

bool ForwardController::awaitRetry(ForwardCall &call, RetryReason reason, TimePoint now)
{
    if (!this->retryLending.hasHosts()
        || call.deadline - now < RetryLending::MaxWait + MinAttemptTime)
        return false;
    call.awaitedRetry = AwaitedRetry{reason, now};
    call.heldUntil = now + RetryLending::RoundInterval;
    this->retryLending.await(call.pool, call.id, call.demand.value);
    this->metrics.count(Counter::RetriesAwaited, 1);
    this->scheduleTimer(call, now);
    this->askForRetries(call.pool, now);
    return true;
}

void ForwardController::endRetryWait(ForwardCall &call)
{
    if (!call.awaitedRetry)
        return;
    call.awaitedRetry.reset();
    call.heldUntil.reset();
    this->retryLending.endWait(call.pool, call.id);
}

void ForwardController::tryAwaitedRetry(ForwardCall &call, TimePoint now)
{
    const AwaitedRetry awaited = *call.awaitedRetry;
    // The server of an inactive attempt may have gone on meanwhile.
    const bool isInactive = call.attempt.has_value();
    if (isInactive && !this->isReplaceable(call, now)) {
        this->endRetryWait(call);
        return this->scheduleTimer(call, now);
    }
    if (this->tryConsumeRetry(call, now)) {
        this->endRetryWait(call);
        if (isInactive)
            return this->replaceSilentAttempt(call, now);
        this->metrics.countRetry(awaited.reason);
        return this->dispatch(call, now);
    }
    if (now - awaited.since < RetryLending::MaxWait) {
        call.heldUntil = now + RetryLending::RoundInterval;
        this->scheduleTimer(call, now);
        return this->askForRetries(call.pool, now);
    }
    this->endRetryWait(call);
    this->metrics.count(Counter::RetriesWithheld, 1);
    if (isInactive)
        return this->scheduleTimer(call, now);
    this->refuse(call, Reason::RetryBudgetExhausted, this->delayWithoutServer(call.pool, now), now);
}

void ForwardController::askForRetries(const std::string &pool, TimePoint now)
{
    for (const RetryLending::AddressedAsk &ask : this->retryLending.takeAsks(pool, now))
        this->effects.sendRetryAsk(ask.host, ask.ask);
}

void ForwardController::onRetryAsk(std::uint32_t host, const RetryAsk &ask, TimePoint now)
{
    const std::string pool = this->poolByHash(ask.poolHash);
    if (pool.empty())
        return;
    if (const std::optional<RetryLoan> loan = this->retryLending.onAsk(pool, host, ask, now))
        this->effects.sendRetryLoan(host, *loan);
}

void ForwardController::onRetryLoan(std::uint32_t host, const RetryLoan &loan, TimePoint now)
{
    const std::string pool = this->poolByHash(loan.poolHash);
    if (pool.empty() || !this->retryLending.onLoan(pool, host, loan, now))
        return;
    for (const RetryLending::RequestId request : this->retryLending.waiting(pool)) {
        const auto call = this->calls.find(request);
        if (call == this->calls.end() || !call->second.awaitedRetry)
            continue;
        // The next ones are worth less.
        if (this->retryBudget.available(pool, now) < 1)
            return;
        this->tryAwaitedRetry(call->second, now);
    }
}

std::string ForwardController::poolByHash(std::uint32_t hash) const
{
    if (!this->routeTable || !this->routeTable->configuration())
        return {};
    for (const auto &[name, pool] : this->routeTable->configuration()->pools) {
        if (hash32(name) == hash)
            return name;
    }
    return {};
}

bool ForwardController::isReplaceable(const ForwardCall &call, TimePoint now) const
{
    return call.attempt && now >= this->inactivityDeadline(call)
           && this->mayRetry(call, Verdict::MayHaveRun, now);
}

void ForwardController::replaceSilentAttempt(ForwardCall &call, TimePoint now)
{
    this->logFailedAttempt(call, "silent", Verdict::MayHaveRun, now);
    this->doubtGivenUp(call, now);
    this->effects.cancelAttempt(call.attempt->id);
    const bool noResponse = call.attempt->status == 0;
    if (!call.attempt->isRelayed())
        this->recordPathFailure(call, call.attempt->server, true, call.attempt->lastDataAt, now);
    this->endAttempt(call, noResponse ? AttemptOutcome::Silent : AttemptOutcome::Failed, now);
    this->retryOrRefuse(call, {Verdict::MayHaveRun, RetryReason::FirstTokenTimeout, false, true},
                        now);
}

} // namespace dotterel
