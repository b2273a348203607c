#pragma once

#include "coordination/request.h"
#include "protocol/crash_notice.h"

namespace dotterel {

/// What a RequestController has its host do. Each request ends with exactly one call of
/// finishAnswer(), deliverServiceAnswer() or refuse().
class RequestEffects
{
public:
    virtual ~RequestEffects() = default;

    /// Sends \a order to its backend server.
    virtual void sendAttempt(const AttemptOrder &order) = 0;

    /// Stops \a attempt and has the backend server drop it.
    virtual void cancelAttempt(const AttemptId &attempt) = 0;

    /// Stops reading the answer of \a attempt, or goes on, so that a caller that does not read
    /// holds the engine back instead of filling memory.
    virtual void pauseAttempt(const AttemptId &attempt, bool paused) = 0;

    /// Claims an order; onClaimSettled() gets the outcome.
    virtual void claimOrder(const OrderClaim &claim) = 0;

    /// Records that the claimed order ran and what it answered.
    virtual void recordOrderAnswer(const OrderClaim &claim, const ServiceAnswer &answer) = 0;

    /// Records that the claimed order was not run, so that its key may be used again.
    virtual void releaseOrder(const OrderClaim &claim) = 0;

    /// Passes the next piece of a model's answer to the caller.
    virtual void deliverText(const RequestId &request, const std::string &text) = 0;

    /// Tells the caller that the answer is whole; it had \a tokens tokens.
    virtual void finishAnswer(const RequestId &request, std::uint64_t tokens) = 0;

    /// Passes the whole answer of a plain service to the caller.
    virtual void deliverServiceAnswer(const RequestId &request, const ServiceAnswer &answer) = 0;

    /// Tells the other entry hosts of a request that may crash backend servers.
    virtual void announceCrash(const CrashNotice &notice) = 0;

    /// Gives the caller its final refusal.
    virtual void refuse(const RequestId &request, const Failure &failure) = 0;
};

} // namespace dotterel
