#include "coordination/request_failures.h"

namespace dotterel {

Failure crashSuspectFailure()
{
    // An earlier attempt, possibly through another host, started to run.
    return {Verdict::MayHaveRun, Reason::CrashesBackendServers,
            "backend servers crashed repeatedly while running this request", std::nullopt};
}

Failure deadlineFailure(Verdict verdict)
{
    return {verdict, Reason::DeadlineExceeded, "the deadline of the request class was exceeded",
            FailureRetryDelay};
}

Failure retryBudgetFailure(Verdict verdict)
{
    return {verdict, Reason::RetryBudgetExhausted,
            "an attempt failed and the retry budget of this host is exhausted", FailureRetryDelay};
}

Failure stalledCallerFailure()
{
    return {Verdict::MayHaveRun, Reason::CallerTooSlow,
            "the caller did not read its answer in time", std::nullopt};
}

AttemptFailure truncatedAnswerFailure(const char *detail)
{
    return {{Verdict::MayHaveRun, Reason::AnswerCut, detail, FailureRetryDelay}, ServerFault::None};
}

RetryReason retryReason(const AttemptFailure &failure)
{
    switch (failure.failure.reason) {
    case Reason::BackendConnectFailed:
        return RetryReason::ConnectFailed;
    case Reason::BackendRefused:
        return RetryReason::Refused;
    case Reason::AnswerCut:
        return RetryReason::AnswerCut;
    default:
        return RetryReason::ServerFailed;
    }
}

Failure claimFailure(ClaimResult result)
{
    switch (result) {
    case ClaimResult::InProgress:
        return {Verdict::MayHaveRun, Reason::OrderInProgress,
                "another request is running the order", FailureRetryDelay};
    case ClaimResult::OutcomeUnknown:
        return {Verdict::MayHaveRun, Reason::OrderOutcomeUnknown,
                "the order was started, but its outcome is unknown", std::nullopt};
    case ClaimResult::BodyMismatch:
        return {Verdict::NotRun, Reason::KeyReusedWithOtherBody,
                "the Idempotency-Key was already used with another body", std::nullopt};
    default:
        return {Verdict::NotRun, Reason::PlatformUnavailable,
                "the order could not be claimed and was not dispatched", FailureRetryDelay};
    }
}

} // namespace dotterel
