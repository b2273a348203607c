#pragma once

#include "coordination/request.h"
#include "core/metrics.h"

namespace dotterel {

/// When a caller may ask again after something failed that is likely to be mended soon.
constexpr Duration RetryAfterFailure = std::chrono::seconds(2);

/// Failure of a request that crashes the backend servers it runs on.
Failure crashFailure();

/// Failure of a request whose deadline passed.
Failure deadlineFailure(Verdict verdict);

/// Failure of a request that may not be retried because too much is retried already.
Failure budgetFailure(Verdict verdict);

/// Failure of a request whose caller does not read its answer.
Failure slowCallerFailure();

/// Failure of an attempt whose answer is not whole; \a detail is a sentence for the caller.
AttemptFailure cutAnswer(const char *detail);

/// Failure of an order that \a result leaves without a claim.
Failure claimFailure(ClaimResult result);

/// Returns why \a failure leads to another attempt.
RetryReason retryReasonOf(const AttemptFailure &failure);

} // namespace dotterel
