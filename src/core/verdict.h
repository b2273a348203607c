#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// Whether a request may have been executed by a backend server.
enum class Verdict {
    NotRun,     ///< No backend server received any byte of the request that it could act on.
    MayHaveRun, ///< Bytes were sent to a backend server and the outcome is unknown.
    Ran,        ///< A backend server confirmed that it executed the request.
};

/// Why a request was refused or abandoned. Refusals are counted per reason.
enum class Reason {
    MalformedRequest,
    BodyTooLarge,
    UnknownWorkspace,
    UnknownRequestClass,
    UnknownPool,
    MissingIdempotencyKey,
    KeyReusedWithOtherBody,
    OrderInProgress,
    OrderOutcomeUnknown,
    NoConfiguration,
    NoBackendServer,
    DeadlineUnreachable,
    DeadlineExceeded,
    WorkspaceOverShare,
    PromptTooLong,
    MemoryUnavailable,
    PlatformUnavailable,
    BackendConnectFailed,
    BackendRefused,
    BackendFailed,
    AnswerCut,
    CrashesBackendServers,
    ShuttingDown,
    CallerGone,
    TooManyRequests,
    RetryBudgetExhausted,
    CallerTooSlow,
    UnknownRoute,
    UnknownKey,
    ServersLimited,
    ServiceOutOfReach,
};

/// Static properties of a Reason.
struct ReasonInfo
{
    Reason reason;
    std::string_view name;
    int httpStatus;
    bool retryable; ///< Whether the caller is told when to retry.
};

/// Returns the properties of all reasons, in the order of the enum.
const std::vector<ReasonInfo> &reasonTable();

/// Returns the properties of \a reason.
const ReasonInfo &reasonInfo(Reason reason);

/// Returns the external name of \a verdict: "not_run", "may_have_run" or "ran".
std::string_view verdictName(Verdict verdict);

/// Returns the verdict with the external name \a name, if any.
std::optional<Verdict> verdictFromName(std::string_view name);

/// Returns the reason with the external name \a name, if any.
std::optional<Reason> reasonFromName(std::string_view name);

/// The outcome of a failed request or attempt.
struct Failure
{
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::MalformedRequest;
    std::string detail;
    std::optional<Duration> retryAfter; ///< How long the caller should wait before it retries.

    /// Returns true if a retry is safe: the request is idempotent or has certainly not been
    /// executed.
    bool isSafeToRetry(bool idempotent) const
    {
        return idempotent || this->verdict == Verdict::NotRun;
    }
};

} // namespace dotterel
