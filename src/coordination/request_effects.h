#pragma once

#include "coordination/request.h"
#include "protocol/crash_notice.h"

namespace dotterel {

/// Side effects that a RequestController requests from its host. Each request ends with exactly one
/// call of finishAnswer(), deliverServiceAnswer() or refuse().
class RequestEffects
{
public:
    virtual ~RequestEffects() = default;

    /// Sends \a attempt to its backend server.
    virtual void sendAttempt(const AttemptRequest &attempt) = 0;

    /// Cancels \a attempt here and at the backend server.
    virtual void cancelAttempt(const AttemptId &attempt) = 0;

    /// Pauses or resumes reading the answer of \a attempt, so that a slow caller exerts
    /// back-pressure on the engine instead of filling memory.
    virtual void pauseAttempt(const AttemptId &attempt, bool paused) = 0;

    /// Claims an order; the outcome is passed to RequestController::onClaimSettled().
    virtual void claimOrder(const OrderClaim &claim) = 0;

    /// Records the answer of a claimed order that ran.
    virtual void recordOrderAnswer(const OrderClaim &claim, const ServiceAnswer &answer) = 0;

    /// Records that a claimed order did not run, so that its key can be used again.
    virtual void releaseOrder(const OrderClaim &claim) = 0;

    /// Sends the next part of a model's answer to the caller.
    virtual void deliverText(const RequestId &request, const std::string &text) = 0;

    /// Completes the answer to the caller, after \a tokens tokens.
    virtual void finishAnswer(const RequestId &request, std::uint64_t tokens) = 0;

    /// Sends the complete answer of a plain service to the caller.
    virtual void deliverServiceAnswer(const RequestId &request, const ServiceAnswer &answer) = 0;

    /// Sends \a notice about a request that may crash backend servers to the other entry hosts.
    virtual void broadcastCrashNotice(const CrashNotice &notice) = 0;

    /// Sends the final failure to the caller.
    virtual void refuse(const RequestId &request, const Failure &failure) = 0;
};

} // namespace dotterel
