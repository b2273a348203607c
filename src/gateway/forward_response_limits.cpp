// Bounds the memory that responses of backend servers take before they are passed on.

#include "gateway/forward_controller.h"

#include <algorithm>

namespace dotterel {

void ForwardController::countHeldBytes(ForwardAttempt &attempt)
{
    this->totalHeldBytes -= attempt.heldBytes;
    attempt.heldBytes = attempt.unforwardedBody.size() + attempt.splitter.remainder().size();
    this->totalHeldBytes += attempt.heldBytes;
}

void ForwardController::enforceResponseLimits(ForwardCall &call, TimePoint now)
{
    const ForwardAttempt &attempt = *call.attempt;
    const std::size_t bytes = attempt.isDiscarded() ? attempt.bodyBytes : attempt.heldBytes;
    if (bytes > this->responseLimits.maxHeldBytes)
        return this->onLimitExceeded(call, this->responseLimits.maxHeldBytes, now);
    if (this->totalHeldBytes <= this->responseLimits.maxTotalHeldBytes)
        return;
    // The largest one makes room, so that short responses of other servers are not affected.
    const auto largest = std::max_element(
            this->calls.begin(), this->calls.end(), [](const auto &left, const auto &right) {
                const auto heldBytes = [](const ForwardCall &candidate) {
                    return candidate.attempt ? candidate.attempt->heldBytes : 0;
                };
                return heldBytes(left.second) < heldBytes(right.second);
            });
    this->onLimitExceeded(largest->second, this->responseLimits.maxTotalHeldBytes, now);
}

void ForwardController::onLimitExceeded(ForwardCall &call, std::size_t limit, TimePoint now)
{
    ForwardAttempt &attempt = *call.attempt;
    if (this->mayPassOnUnfinished(call)) {
        this->beginResponse(call);
        const std::string held = std::move(attempt.unforwardedBody);
        attempt.unforwardedBody.clear();
        this->countHeldBytes(attempt);
        return this->forwardData(call, held);
    }
    this->metrics.count(Counter::ResponsesTooLarge, 1);
    this->log.write(Event::ResponseTooLarge,
                    {{"request", call.metadata.requestId},
                     {"server", attempt.server},
                     {"status", attempt.status},
                     {"body_bytes", static_cast<std::int64_t>(attempt.bodyBytes)},
                     {"held_bytes", static_cast<std::int64_t>(attempt.heldBytes)},
                     {"limit_bytes", static_cast<std::int64_t>(limit)}});
    this->effects.cancelAttempt(attempt.id);
    if (this->passesOnEvents(call)) {
        // Unlike a broken connection, this is no sign that the server has crashed.
        this->logFailedAttempt(call, "too_large", Verdict::MayHaveRun, now);
        this->endAttempt(call, AttemptOutcome::Failed, now);
        return this->retryOrRefuse(call, {Verdict::MayHaveRun, RetryReason::AnswerCut}, now);
    }
    attempt.unforwardedBody.clear();
    this->countHeldBytes(attempt);
    attempt.exceededLimit = true;
    this->onAttemptComplete(attempt.id, now);
}

} // namespace dotterel
