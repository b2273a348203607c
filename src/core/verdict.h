#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// Whether a request may have taken effect at a backend server.
enum class Verdict {
    NotRun,     ///< No byte of the request reached a backend server that could act on it.
    MayHaveRun, ///< Bytes left the process and the outcome is unknown.
    Ran,        ///< A backend server confirmed that it ran the request.
};

/// Why a request was refused or given up. Each reason has a counter of its own.
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
};

/// Static properties of a Reason.
struct ReasonInfo
{
    Reason reason;
    std::string_view name;
    int httpStatus;
    bool retryable; ///< Whether the caller is told when to ask again.
};

/// Returns all rows of the table of reasons, in the order of the enum.
const std::vector<ReasonInfo> &reasonTable();

/// Returns the properties of \a reason.
const ReasonInfo &reasonInfo(Reason reason);

/// Returns the external name of \a verdict: "not_run", "may_have_run" or "ran".
std::string_view verdictName(Verdict verdict);

/// Returns the verdict called \a name, if there is one.
std::optional<Verdict> verdictFromName(std::string_view name);

/// Returns the reason called \a name, if there is one.
std::optional<Reason> reasonFromName(std::string_view name);

/// The final outcome of a request or an attempt that did not succeed.
struct Failure
{
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::MalformedRequest;
    std::string detail;
    std::optional<Duration> retryAfter; ///< When the caller may ask again.

    /// Returns true if running the request again cannot run it twice.
    bool mayRunAgain(bool idempotent) const
    {
        return idempotent || this->verdict == Verdict::NotRun;
    }
};

} // namespace dotterel
