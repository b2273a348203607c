#include "coordination/request_failures.h"

namespace dotterel {

Failure crashFailure()
{
    // An earlier attempt, perhaps through another host, began to run.
    return {Verdict::MayHaveRun, Reason::CrashesBackendServers,
            "backend servers died each time they ran this request", std::nullopt};
}

Failure deadlineFailure(Verdict verdict)
{
    return {verdict, Reason::DeadlineExceeded, "the deadline of the request class passed",
            RetryAfterFailure};
}

Failure budgetFailure(Verdict verdict)
{
    return {verdict, Reason::RetryBudgetExhausted,
            "an attempt failed and this host already retries as much as it may", RetryAfterFailure};
}

Failure slowCallerFailure()
{
    return {Verdict::MayHaveRun, Reason::CallerTooSlow, "the caller did not read its answer",
            std::nullopt};
}

AttemptFailure cutAnswer(const char *detail)
{
    return {{Verdict::MayHaveRun, Reason::AnswerCut, detail, RetryAfterFailure}, ServerFault::None};
}

RetryReason retryReasonOf(const AttemptFailure &failure)
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
        return {Verdict::MayHaveRun, Reason::OrderInProgress, "the order is being run",
                RetryAfterFailure};
    case ClaimResult::OutcomeUnknown:
        return {Verdict::MayHaveRun, Reason::OrderOutcomeUnknown,
                "the order was started and its outcome is not known", std::nullopt};
    case ClaimResult::BodyMismatch:
        return {Verdict::NotRun, Reason::KeyReusedWithOtherBody,
                "the Idempotency-Key was used for another order", std::nullopt};
    default:
        return {Verdict::NotRun, Reason::PlatformUnavailable,
                "the order could not be claimed and was not sent", RetryAfterFailure};
    }
}

} // namespace dotterel
