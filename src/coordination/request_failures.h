#pragma once

#include "coordination/request.h"
#include "core/metrics.h"

namespace dotterel {

/// Retry-After time for failures that are likely to be transient.
constexpr Duration FailureRetryDelay = std::chrono::seconds(2);

/// Failure of a request on which backend servers crash repeatedly.
Failure crashSuspectFailure();

/// Failure of a request whose deadline passed.
Failure deadlineFailure(Verdict verdict);

/// Failure of a request that cannot be retried because the retry budget is exhausted.
Failure retryBudgetFailure(Verdict verdict);

/// Failure of a request whose caller does not read its answer.
Failure stalledCallerFailure();

/// Failure of an attempt whose answer is incomplete; \a detail is shown to the caller.
AttemptFailure truncatedAnswerFailure(const char *detail);

/// Failure of an order whose claim failed with \a result.
Failure claimFailure(ClaimResult result);

/// Returns the reason under which a retry after \a failure is counted.
RetryReason retryReason(const AttemptFailure &failure);

} // namespace dotterel
